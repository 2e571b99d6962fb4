package steer_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestHugeLimitDoesNotInvalidateNotes(t *testing.T) {
	// A replica states a limit that is far above what notes may carry. The note about it must stay usable for its recipients.
	in := newInstance(t, "one", 1)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	told := 0
	for _, eff := range in.announce("lyric-0", notice.Announced{Limited: true, PerS: math.MaxFloat64}) {
		note, ok := eff.(steer.SendNote)
		if !ok {
			continue
		}
		told += len(note.Note.Limits)
		dropped, usable := note.Note.DropInvalid()
		assert.Assert(t, usable && dropped == 0, "%+v", note.Note)
	}
	assert.Equal(t, told, 1)
}

func TestInvalidPartOfNoteLosesThatPartAlone(t *testing.T) {
	valid := steer.Job{ID: 1, Replicas: []string{"lyric-0"}, Prompt: 5000}
	note := steer.Note{
		From: "two", Run: 1, Down: []string{"lyric-0"}, Deaths: []steer.Death{{Digest: 1, Count: 2}},
		Jobs:          []steer.Job{{ID: 2}, valid, {ID: 3, Replicas: []string{"lyric-0"}, Reservations: []int64{-1}}},
		Limits:        []steer.Limit{{Replica: "lyric-0", PerS: -1}, {Replica: "lyric-0", PerS: 2}},
		GrantRequests: []steer.GrantRequest{{Replica: "lyric-0", Value: -1}},
		Grants:        []steer.Grant{{AfterMs: 1}},
		Departures:    []steer.Departure{{Born: 1}, {Replica: "lyric-0", Born: 1}},
		GrantReturns:  []steer.GrantReturn{{Job: 1}},
	}
	dropped, usable := note.DropInvalid()
	assert.Assert(t, usable)
	assert.Equal(t, dropped, 7)
	assert.DeepEqual(t, note.Jobs, []steer.Job{valid})
	assert.Equal(t, len(note.Limits)+len(note.Departures)+len(note.Down)+len(note.Deaths), 4)
	_, usable = (&steer.Note{Down: []string{"lyric-0"}}).DropInvalid()
	assert.Assert(t, !usable, "a note without a sender")
}

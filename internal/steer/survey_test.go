package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestNewcomersSurveyIsNoLoadForThoseThatLive(t *testing.T) {
	// An instance joins others that have lived for long. Their notes are late, it believes that all died, asks the engines
	// for their load and tells of what it found. The others know of all that: counted twice, the engines look full to them,
	// and they refuse callers for four seconds while half of the slots are free.
	in := newInstance(t, "one", 1)
	in.pass(10 * time.Second)
	work := steer.Note{From: "two", Run: 1, Up: 9000}
	for id := range 9 {
		work.Jobs = append(work.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.Heard{Note: work})
	in.reduce(steer.Heard{Note: survey(9)})
	in.within(time.Millisecond, in.arrive(&short, 2000))
}

func TestSurveyIsForgottenWhereAnInstanceLivedOn(t *testing.T) {
	// A newcomer has asked the engines for their load. Then it hears of an instance that has lived for long and tells of the
	// same work. What it was told by the engines counts no longer.
	in := newInstance(t, "one", 1)
	in.pass(time.Millisecond)
	in.reduce(steer.Surveyed{Replica: "lyric-0", Running: 16, Used: 90_000})
	none[steer.Send](t, in.arrive(&short, 2000))
	in.reduce(steer.Heard{Note: steer.Note{From: "two", Run: 1, Up: 60_000, Whole: true}})
	sent := in.within(20*time.Millisecond, in.pass(10*time.Millisecond))
	assert.Equal(t, sent.Replica.Name, "lyric-0")
}

// survey is the note of an instance that has just started and was told of so many requests at the only engine.
func survey(running int) steer.Note {
	nt := steer.Note{From: "survey/lyric-0", Run: 7, Up: 400, Whole: true}
	for id := range running {
		nt.Kept = append(nt.Kept, steer.JobID(id))
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Begun: true})
	}
	return nt
}

package steer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// fullSubset returns an instance whose own engines have no free slot. It knows nothing of the engines of the two other failure domains.
func fullSubset(free int) *State {
	st := fleet{80, 78, 3}.instance(3)
	svc := st.services["lyric"]
	note := Note{From: "instance-6", Run: 1}
	for _, rep := range svc.replicas {
		if st.subsetOf(rep) != st.ownSubset(svc) {
			continue
		}
		for range rep.Slots - free {
			note.Jobs = append(note.Jobs, Job{ID: JobID(len(note.Jobs)), Replicas: []string{rep.Name}, Prompt: 1000, Answer: 100, Goal: 400, Gap: 300, Value: 1, Begun: true})
		}
	}
	st.Reduce(fleetStart, NoteReceived{Note: note})
	return st
}

// slotRequests returns the slot requests among the notes.
func slotRequests(sent []SendNote) []SlotRequest {
	var asks []SlotRequest
	for i := range sent {
		asks = append(asks, sent[i].Note.SlotRequests...)
	}
	return asks
}

func TestFullSubsetGetsHelp(t *testing.T) {
	// Guards against callers of one failure domain that are refused or late while the engines of others have free slots.
	st := fullSubset(0)
	asks := slotRequests(sentNotes(st, fleetStart, arrival(fleetStart, 1, 5000)))
	assert.Equal(t, len(asks), 1)
	svc := st.services["lyric"]
	assert.Assert(t, st.subsetOf(st.replicas[asks[0].Job.Replicas[0]]) != st.ownSubset(svc))
	assert.Assert(t, asks[0].MaxFirstMs > 0, "the engine is taken whatever it has to read")
}

func TestSubsetWithCapacityAsksForNoHelp(t *testing.T) {
	// Guards against slot requests to other failure domains although the own one serves the request in time.
	st := fullSubset(4)
	assert.Equal(t, len(slotRequests(sentNotes(st, fleetStart, arrival(fleetStart, 1, 5000)))), 0)
}

func TestHelpIsAskedForAFewTimesOnly(t *testing.T) {
	// Guards against requests that ask one engine after the other while all failure domains are full.
	st := fullSubset(0)
	now := fleetStart
	sent := sentNotes(st, now, arrival(now, 1, 5000))
	asked := 0
	for len(slotRequests(sent)) > 0 {
		asked++
		assert.Assert(t, asked <= maxSpillTries)
		job := slotRequests(sent)[0].Job
		now = now.Add(time.Millisecond)
		sent = sentNotes(st, now, NoteReceived{Note: Note{From: "instance-6", Run: 1, SlotGrants: []SlotGrant{{Job: job.ID, Refused: true, Full: true}}}})
	}
	assert.Equal(t, asked, maxSpillTries)
	assert.Equal(t, st.Waiting(), 1)
}

func TestHelpIsRefusedIfItDelaysOthers(t *testing.T) {
	// Guards against help at the cost of the callers of the failure domain that helps: a stream there would pause for too long.
	st := fleet{80, 78, 3}.instance(3)
	svc := st.services["lyric"]
	rep := st.candidates(svc)[0]
	st.Reduce(fleetStart, NoteReceived{Note: Note{From: "instance-6", Run: 1, Jobs: []Job{{ID: 1, Replicas: []string{rep.Name}, Prompt: 1000, Answer: 100, Goal: 400, Gap: 60, Value: 1, Begun: true}}}})
	ask := func(id JobID, prompt int64, value float32) SlotGrant {
		job := Job{ID: id, Replicas: []string{rep.Name}, Prompt: prompt, Answer: 100, Goal: 4000, Gap: 300, Value: value, Claim: true}
		for _, sent := range sentNotes(st, fleetStart, NoteReceived{Note: Note{From: "instance-7", Run: 1, SlotRequests: []SlotRequest{{Job: job, MaxFirstMs: 3000}}}}) {
			if len(sent.Note.SlotGrants) > 0 {
				return sent.Note.SlotGrants[0]
			}
		}
		t.Fatal("no answer")
		return SlotGrant{}
	}
	assert.Assert(t, ask(1, 30_000, 1).Refused)
	assert.Assert(t, !ask(2, 30_000, 20).Refused, "a request of far higher value is refused")
}

func TestSlotsOfLimitedEnginesAreRefused(t *testing.T) {
	// Guards against sends past a rate limit: the asking instance does not know of the limit yet, the deciding one does.
	st := fleet{80, 78, 3}.instance(3)
	rep := st.candidates(st.services["lyric"])[0]
	st.Reduce(fleetStart, ResponseReceived{Replica: rep.Name, Sent: fleetStart, Announced: notice.Announced{Limited: true, PerS: 2}})
	job := Job{ID: 1, Replicas: []string{rep.Name}, Prompt: 1000, Answer: 100, Goal: 400, Gap: 300, Value: 1, Claim: true}
	for _, sent := range sentNotes(st, fleetStart, NoteReceived{Note: Note{From: "instance-7", Run: 1, SlotRequests: []SlotRequest{{Job: job}}}}) {
		for _, grant := range sent.Note.SlotGrants {
			assert.Assert(t, grant.Refused)
			return
		}
	}
	t.Fatal("no answer")
}

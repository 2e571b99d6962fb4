package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestWaitingRequestSchedulesWakes(t *testing.T) {
	// A request waits because no engine has a free slot, and a note frees one. The shell's own tick may be 200 ms away, most of
	// the 300 ms within which the answer should begin. So the reducer has to request wake-ups while the request waits: one at a
	// time, and none afterwards.
	in := newInstance(t, "one", 1)
	nt := steer.Note{From: "two", Run: 1}
	for id := range figures.Slots {
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.NoteReceived{Note: nt})
	wake := find[steer.Wake](t, in.arrive(&short, 2000))
	assert.Assert(t, wake.After <= 10*time.Millisecond)
	none[steer.Wake](t, in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Ended: []steer.JobID{0}}}))
	effects := in.advance(wake.After)
	sent := find[steer.Send](t, effects)
	assert.Equal(t, sent.ID, steer.RequestID(1))
	none[steer.Wake](t, effects)
	none[steer.Wake](t, in.advance(time.Second))
}

// arriveLongPrompt submits a long prompt whose caller announces its timeout.
func (in *instance) arriveLongPrompt() []steer.Effect {
	in.next++
	return in.reduce(steer.Arrived{
		ID: in.next, Route: &long, Name: "request", Prompt: 100_000, Answer: 1000, Digest: 1, StatedTimeout: 15 * time.Second,
		Deadline: in.now.Add(15 * time.Second), LeavesAt: in.now.Add(12 * time.Second),
	})
}

func TestFailedRequestIsRefusedBeforeCallerLeaves(t *testing.T) {
	// The only engine falls silent while it processes a long prompt. The request must not wait for a replica until its caller
	// leaves, ten seconds later. It is refused after a part of its time, without the guarantee that it did not run, so that the
	// caller can still try elsewhere.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arriveLongPrompt())
	in.advance(3 * time.Second)
	none[steer.Finish](t, in.end(sent, steer.ResultSilent))
	none[steer.Finish](t, in.advance(2*time.Second))
	fin := find[steer.Finish](t, in.advance(1100*time.Millisecond))
	assert.Assert(t, fin.Refusal != nil && !fin.Refusal.NotRun)
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonDeadline)
}

func TestLateRequestIsRetriedOnIdleEngine(t *testing.T) {
	// An engine falls silent while it processes a long prompt, which is noticed three seconds after the answer should have
	// begun. Another engine is idle. Lateness that no placement can avoid must not count as a cost of the placement: it exceeds
	// the value of the answer, and the request would never be retried.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arriveLongPrompt())
	in.advance(6 * time.Second)
	in.reduce(steer.Listed{Replicas: replicas(2)})
	again := in.waitForSend(100*time.Millisecond, in.end(sent, steer.ResultSilent))
	assert.Equal(t, again.Replica.Name, "lyric-1")
}

func TestReplicaRefusingWithFreeSlotsIsMarkedDown(t *testing.T) {
	// Replicas are drained while the store is unavailable, so their state does not reach the instances. They refuse new
	// requests at once and look idle and therefore best, so every request would try four of them and fail. After the first
	// refusal the replica must be out of rotation for a while, here and at the other instances, which are informed once.
	in := newInstance(t, "one", 2)
	first := in.waitForSend(time.Millisecond, in.arrive(&short, 2000))
	effects := in.end(first, steer.ResultNotRun)
	assert.DeepEqual(t, announcedDown(effects), []string{first.Replica.Name})
	second := in.waitForSend(100*time.Millisecond, effects)
	assert.Assert(t, second.Replica.Name != first.Replica.Name)
	in.end(second, steer.ResultDone)
	for range 5 {
		sent := in.waitForSend(time.Millisecond, in.arrive(&short, 2000))
		assert.Equal(t, sent.Replica.Name, second.Replica.Name)
		in.end(sent, steer.ResultDone)
	}
}

func TestFullReplicaIsNotMarkedDown(t *testing.T) {
	// A replica refuses a request because all its slots are taken, as this instance knows from a note that came after the send.
	// It must stay in rotation, since it is usable again once one of its requests ends.
	in := newInstance(t, "one", 1)
	nt := steer.Note{From: "two", Run: 1}
	for id := range figures.Slots - 1 {
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.NoteReceived{Note: nt})
	sent := in.waitForSend(20*time.Millisecond, in.arrive(&short, 2000))
	nt.Jobs = []steer.Job{{ID: 99, Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true}}
	in.reduce(steer.NoteReceived{Note: nt})
	assert.Equal(t, len(announcedDown(in.end(sent, steer.ResultNotRun))), 0)
}

// announcedDown returns the names of the replicas that the effects announce as down.
func announcedDown(effects []steer.Effect) []string {
	var names []string
	for _, eff := range effects {
		if sent, ok := eff.(steer.SendNote); ok {
			names = append(names, sent.Note.Down...)
		}
	}
	return names
}

package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestWaitingRequestKeepsTheReducerAwake(t *testing.T) {
	// A request comes for which no engine has a slot, and nothing else happens at this instance. The engine has one 20 ms
	// later, of which a note tells. The shell's own tick may be 200 ms away, most of the 300 ms that the caller was
	// promised: the reducer asks to be woken for as long as the request waits, once at a time, and not any longer.
	in := newInstance(t, "one", 1)
	nt := steer.Note{From: "two", Run: 1}
	for id := range figures.Slots {
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.Heard{Note: nt})
	wake := find[steer.Wake](t, in.arrive(&short, 2000))
	assert.Assert(t, wake.After <= 10*time.Millisecond)
	none[steer.Wake](t, in.reduce(steer.Heard{Note: steer.Note{From: "two", Run: 1, Ended: []steer.JobID{0}}}))
	effects := in.pass(wake.After)
	sent := find[steer.Send](t, effects)
	assert.Equal(t, sent.ID, steer.RequestID(1))
	none[steer.Wake](t, effects)
	none[steer.Wake](t, in.pass(time.Second))
}

// arriveLong brings a long prompt whose caller says how much time it has.
func (in *instance) arriveLong() []steer.Effect {
	in.next++
	return in.reduce(steer.Arrived{
		ID: in.next, Route: &long, Name: "request", Prompt: 100_000, Answer: 1000, Digest: 1, Given: 15 * time.Second,
		Deadline: in.now.Add(15 * time.Second), Patience: in.now.Add(12 * time.Second),
	})
}

func TestRequestWhoseAttemptFailedHearsInTime(t *testing.T) {
	// The engine that was to answer a long prompt falls silent, and there is no other one. The request waited for a place
	// until its caller left, ten seconds later and with nothing to show for it. It gets its final answer after a part of its
	// time now, without the promise that it has not run, so that its caller can try elsewhere while there is time.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arriveLong())
	in.pass(3 * time.Second)
	none[steer.Finish](t, in.end(sent, steer.ResultSilent))
	none[steer.Finish](t, in.pass(2*time.Second))
	fin := find[steer.Finish](t, in.pass(1100*time.Millisecond))
	assert.Assert(t, fin.Refusal != nil && !fin.Refusal.NotRun)
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonDeadline)
}

func TestLateRequestStillGoesWhereThereIsRoom(t *testing.T) {
	// The engine that was to answer a long prompt falls silent, which shows three seconds after the answer should have
	// begun. Another engine is idle. The lateness that cannot be helped any more counted against the request like one
	// that a choice would cause, more than its answer was worth, and it was never sent again.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arriveLong())
	in.pass(6 * time.Second)
	in.reduce(steer.Listed{Replicas: replicas(2)})
	again := in.within(100*time.Millisecond, in.end(sent, steer.ResultSilent))
	assert.Equal(t, again.Replica.Name, "lyric-1")
}

func TestReplicaThatRefusesWithRoomIsLeftAlone(t *testing.T) {
	// Replicas are emptied while the store is away, so that nobody hears that they leave. They refuse at once whatever is new,
	// and having nothing to do they look like the best choice: every request tried four of them and failed. After the first
	// refusal nobody sends there for a while, here and at the others, who are told once.
	in := newInstance(t, "one", 2)
	first := in.within(time.Millisecond, in.arrive(&short, 2000))
	effects := in.end(first, steer.ResultNotRun)
	assert.DeepEqual(t, toldDown(effects), []string{first.Replica.Name})
	second := in.within(100*time.Millisecond, effects)
	assert.Assert(t, second.Replica.Name != first.Replica.Name)
	in.end(second, steer.ResultDone)
	for range 5 {
		sent := in.within(time.Millisecond, in.arrive(&short, 2000))
		assert.Equal(t, sent.Replica.Name, second.Replica.Name)
		in.end(sent, steer.ResultDone)
	}
}

func TestReplicaThatIsFullIsNotLeftAlone(t *testing.T) {
	// A replica refuses since all of its slots are taken, by requests of which the refused one is the last. It is as good as
	// before once one of them ends.
	in := newInstance(t, "one", 1)
	nt := steer.Note{From: "two", Run: 1}
	for id := range figures.Slots - 1 {
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.Heard{Note: nt})
	sent := in.within(20*time.Millisecond, in.arrive(&short, 2000))
	nt.Jobs = []steer.Job{{ID: 99, Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true}}
	in.reduce(steer.Heard{Note: nt})
	assert.Equal(t, len(toldDown(in.end(sent, steer.ResultNotRun))), 0)
}

// toldDown names the replicas of which the effects tell others that they cannot be used.
func toldDown(effects []steer.Effect) []string {
	var names []string
	for _, eff := range effects {
		if tell, ok := eff.(steer.Tell); ok {
			names = append(names, tell.Note.Down...)
		}
	}
	return names
}

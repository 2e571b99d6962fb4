package steer_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// crash ends the attempt as one whose replica crashed, and returns the effects.
func (in *instance) crash(sent steer.Send) []steer.Effect {
	return in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultBroken, Died: true})
}

// arriveCopy submits a request on the route with the same content as the others submitted so.
func (in *instance) arriveCopy(route *decl.Route, prompt int64) []steer.Effect {
	in.next++
	return in.reduce(steer.Arrived{
		ID: in.next, Route: route, Name: "copy", Organisation: "parish", Prompt: prompt, Answer: 1000, Digest: 1000,
		Deadline: in.now.Add(route.Timeout.Std()), LeavesAt: in.now.Add(max(2*time.Second, 4*route.Goal.Std())),
	})
}

// noteTo passes all notes among the effects on to the other instance.
func noteTo(other *instance, effects []steer.Effect) {
	for _, eff := range effects {
		if nt, ok := eff.(steer.SendNote); ok {
			other.reduce(steer.NoteReceived{Note: nt.Note})
		}
	}
}

// isRefused reports whether the effects refuse a request because of a quarantine, as not run.
func isRefused(effects []steer.Effect) bool {
	for _, eff := range effects {
		if fin, ok := eff.(steer.Finish); ok && fin.Refusal != nil {
			return fin.Refusal.Reason == steer.ReasonQuarantine && fin.Refusal.NotRun
		}
	}
	return false
}

func TestDeathsSeenByTwoInstancesAddUp(t *testing.T) {
	// A caller sends a request that crashes replicas through two instances at the same moment. Each sees one replica crash and
	// announces that before it hears of the other's. These are two deaths: if each instance took them for one, the request
	// would crash a third replica.
	one, two := newInstance(t, "one", 4), newInstance(t, "two", 4)
	sentOne := find[steer.Send](t, one.arrive(&update, 0))
	sentTwo := find[steer.Send](t, two.arrive(&update, 0))
	if sentOne.Replica.Name == sentTwo.Replica.Name {
		// The two replicas that crash are different ones.
		in := sentTwo
		two.end(in, steer.ResultDone)
		two.next = 0
		two.reduce(steer.NoteReceived{Note: steer.Note{From: "three", Run: 1, Down: []string{sentOne.Replica.Name}}})
		sentTwo = find[steer.Send](t, two.arrive(&update, 0))
	}
	assert.Assert(t, sentOne.Replica.Name != sentTwo.Replica.Name)
	fromOne, fromTwo := one.crash(sentOne), two.crash(sentTwo)
	noteTo(two, fromOne)
	noteTo(one, fromTwo)
	for _, in := range []*instance{one, two} {
		in.next = 0 // the same content again
		assert.Assert(t, isRefused(in.arrive(&update, 0)))
	}
}

func TestDeathsOfEndedQuarantineDoNotCount(t *testing.T) {
	// Content was in quarantine, and its time is over. A single further crash of a replica that runs it, which may have any
	// cause, must not put it back at once.
	in := newInstance(t, "one", 4)
	for range 2 {
		in.next = 0
		in.crash(find[steer.Send](t, in.arrive(&update, 0)))
		in.advance(10 * time.Second)
	}
	in.next = 0
	assert.Assert(t, isRefused(in.arrive(&update, 0)))
	in.advance(11 * time.Minute)
	in.next = 0
	in.crash(find[steer.Send](t, in.arrive(&update, 0)))
	in.advance(10 * time.Second)
	in.next = 0
	assert.Assert(t, !isRefused(in.arrive(&update, 0)))
}

func TestWaitingCopiesOfQuarantinedContentAreRefused(t *testing.T) {
	// A request waits for a replica while its content is quarantined because of crashes at another instance. It must be refused
	// at once, not sent as soon as a replica has room.
	in := newInstance(t, "one", 0)
	none[steer.Send](t, in.arrive(&short, 5000))
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Deaths: []steer.Death{
		{Digest: 1, Count: 1, ID: 1, Upstream: 1}, {Digest: 1, Count: 2, ID: 2, Upstream: 2},
	}}})
	effects := slices.Clone(in.reduce(steer.Listed{Replicas: replicas(4)}))
	for range 3 {
		effects = append(effects, in.advance(10*time.Millisecond)...)
	}
	none[steer.Send](t, effects)
	assert.Assert(t, isRefused(effects))
}

func TestCopiesOfSuspectContentRunOneAtATime(t *testing.T) {
	// A caller sends five copies of a request that crashes replicas, and the replica with all of them crashes. If all were
	// retried at once on other replicas, each would take one more replica down. One of them shows what the content does.
	in := newInstance(t, "one", 1)
	var sent []steer.Send
	for range 5 {
		sent = append(sent, find[steer.Send](t, in.arriveCopy(&short, 5000)))
	}
	in.reduce(steer.Listed{Replicas: replicas(6)})
	retried := 0
	var trial steer.Send
	for _, first := range sent {
		for _, eff := range in.crash(first) {
			if again, ok := eff.(steer.Send); ok {
				retried++
				trial = again
			}
		}
	}
	assert.Equal(t, retried, 1)
	none[steer.Send](t, in.advance(10*time.Millisecond))
	in.advance(3 * time.Second)
	none[steer.Send](t, in.crash(trial))
	none[steer.Send](t, in.advance(10*time.Millisecond))
	assert.Equal(t, in.st.Open(), 0)
}

func TestSuspicionEndsWhenContentIsAnswered(t *testing.T) {
	// Many callers of one organisation ask for the same. A replica crashes with some of these requests in flight, for another
	// reason. Once one of them is answered, the others must not wait for each other any more, and the next crash must not
	// refuse them all for ten minutes.
	in := newInstance(t, "one", 4)
	first := find[steer.Send](t, in.arriveCopy(&short, 5000))
	again := in.waitForSend(time.Second, in.crash(first))
	none[steer.Send](t, in.arriveCopy(&short, 5000))
	second := find[steer.Send](t, in.end(again, steer.ResultDone))
	third := find[steer.Send](t, in.arriveCopy(&short, 5000))
	in.end(second, steer.ResultDone)
	in.advance(3 * time.Second)
	in.waitForSend(time.Second, in.crash(third))
}

func TestInstanceThatStoodStillCatchesUpBeforeItSends(t *testing.T) {
	// The process stands still while its peers learn that a content crashes replicas. A caller's request with the content is
	// waiting for it beside their announcements when it goes on. It must ask a peer before it sends anything, or the request
	// crashes one more replica. If no peer answers, it goes on after a short while.
	for name, answer := range map[string]bool{"peer answers": true, "no peer answers": false} {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 4)
			in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
			find[steer.RequestDeaths](t, in.reduce(steer.StoodStill{Gap: time.Second}))
			none[steer.Send](t, in.arrive(&long, 5000))
			if answer {
				find[steer.Send](t, in.reduce(steer.DeathsReceived{Standstill: 1}))
				return
			}
			none[steer.Send](t, in.advance(200*time.Millisecond))
			find[steer.Send](t, in.advance(150*time.Millisecond))
		})
	}
}

func TestAnswerFromBeforeAStandstillDoesNotEndTheWaitAfterIt(t *testing.T) {
	// On a machine that is too busy, the process stands still, asks a peer, and stands still again. The answer to the first
	// request, which tells nothing of what happened during the second standstill, must not end the wait after that.
	in := newInstance(t, "one", 4)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	first := find[steer.RequestDeaths](t, in.reduce(steer.StoodStill{Gap: time.Second}))
	second := find[steer.RequestDeaths](t, in.reduce(steer.StoodStill{Gap: time.Second}))
	none[steer.Send](t, in.arrive(&long, 5000))
	none[steer.Send](t, in.reduce(steer.DeathsReceived(first)))
	find[steer.Send](t, in.reduce(steer.DeathsReceived(second)))
}

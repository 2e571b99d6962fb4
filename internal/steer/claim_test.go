package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// choir is several reducers whose notes reach each other after a delay.
type choir struct {
	t     *testing.T
	now   time.Time
	delay time.Duration
	names []string
	sts   map[string]*steer.State
	post  []letter
	wakes []letter
	sends []steer.Send
}

type letter struct {
	at time.Time
	to string
	ev steer.Event
}

// newChoir returns so many instances before one engine with so many slots, all of which know each other.
func newChoir(t *testing.T, count, slots int, delay time.Duration) *choir {
	ch := &choir{t: t, now: start, delay: delay, sts: map[string]*steer.State{}}
	list := replicas(1)
	list[0].Slots = slots
	for i := range count {
		ch.names = append(ch.names, fmt.Sprintf("instance-%02d", i))
	}
	for i, name := range ch.names {
		ch.sts[name] = steer.New(steer.Options{Name: name, FailureDomain: "a", Run: 1, Seed: uint64(i) + 1})
		ch.tell(name, steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
		var others []steer.Instance
		for _, other := range ch.names {
			if other != name {
				others = append(others, steer.Instance{Name: other, FailureDomain: "a"})
			}
		}
		ch.tell(name, steer.Peered{Instances: others})
		ch.tell(name, steer.Listed{Replicas: list})
	}
	return ch
}

// tell hands an event to an instance and posts the notes that follow.
func (ch *choir) tell(name string, ev steer.Event) {
	for _, eff := range ch.sts[name].Reduce(ch.now, ev) {
		switch eff := eff.(type) {
		case steer.Tell:
			for _, other := range ch.names {
				if other != name && (eff.To == nil || slices.Contains(eff.To, other)) {
					ch.post = append(ch.post, letter{ch.now.Add(ch.delay), other, steer.Heard{Note: eff.Note}})
				}
			}
		case steer.Wake:
			ch.wakes = append(ch.wakes, letter{ch.now.Add(eff.After), name, steer.Ticked{}})
		case steer.Send:
			ch.sends = append(ch.sends, eff)
		}
	}
}

// pass lets time go by in steps of half a millisecond.
func (ch *choir) pass(period time.Duration) {
	for until := ch.now.Add(period); ch.now.Before(until); {
		ch.now = ch.now.Add(500 * time.Microsecond)
		for _, box := range []*[]letter{&ch.post, &ch.wakes} {
			due := *box
			*box = nil
			for _, let := range due {
				if let.at.After(ch.now) {
					*box = append(*box, let)
					continue
				}
				ch.tell(let.to, let.ev)
			}
		}
	}
}

func (ch *choir) arrive(name string, id steer.RequestID) {
	ch.tell(name, steer.Arrived{
		ID: id, Route: &short, Prompt: 5000, Answer: 1000, Digest: steer.Digest(id),
		Deadline: ch.now.Add(10 * time.Second), Patience: ch.now.Add(2 * time.Second),
	})
}

func TestOneSlotTakesOne(t *testing.T) {
	// Requests arrive at several instances within a note's time of each other, and an engine has one slot left. If all are
	// sent, all but one wait at the engine for as long as a stream takes, while their callers' time runs.
	for _, count := range []int{2, 3, 10, 30} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			ch := newChoir(t, count, 1, 1500*time.Microsecond)
			for i, name := range ch.names {
				ch.arrive(name, steer.RequestID(i+1))
				if i%3 == 2 {
					ch.pass(500 * time.Microsecond)
				}
			}
			ch.pass(100 * time.Millisecond)
			assert.Equal(t, len(ch.sends), 1)
		})
	}
}

func TestFreeSlotsAreTaken(t *testing.T) {
	// As many slots as requests: none may be left waiting because others might have taken its slot.
	ch := newChoir(t, 6, 6, 1500*time.Microsecond)
	for i, name := range ch.names {
		ch.arrive(name, steer.RequestID(i+1))
	}
	ch.pass(150 * time.Millisecond)
	assert.Equal(t, len(ch.sends), 6)
}

func TestCallerThatLeavesTakesItsClaimAlong(t *testing.T) {
	ch := newChoir(t, 2, 1, 1500*time.Microsecond)
	ch.arrive(ch.names[0], 1)
	ch.tell(ch.names[0], steer.CallerGone{ID: 1})
	ch.pass(10 * time.Millisecond)
	assert.Equal(t, len(ch.sends), 0)
	ch.arrive(ch.names[1], 2)
	ch.pass(20 * time.Millisecond)
	assert.Equal(t, len(ch.sends), 1)
	assert.Equal(t, ch.sends[0].ID, steer.RequestID(2))
}

func TestSecondAttemptIsHeardOf(t *testing.T) {
	// A request is sent again right after its first attempt ended. The others remember that end against a start that comes
	// late; the second attempt must not be taken for that one, or its engine counts as free.
	ch := newChoir(t, 2, 1, 1500*time.Microsecond)
	ch.arrive(ch.names[0], 1)
	ch.pass(20 * time.Millisecond)
	assert.Equal(t, len(ch.sends), 1)
	ch.tell(ch.names[0], steer.AttemptEnded{ID: 1, Attempt: 1, Result: steer.ResultNotSent})
	list := replicas(2)[:2]
	list[0].Slots, list[1].Slots = 1, 1
	for _, name := range ch.names {
		ch.tell(name, steer.Listed{Replicas: list})
	}
	ch.pass(50 * time.Millisecond)
	assert.Equal(t, len(ch.sends), 2)
	ch.arrive(ch.names[1], 2)
	ch.pass(50 * time.Millisecond)
	for _, sent := range ch.sends[2:] {
		assert.Assert(t, sent.Replica.Name != ch.sends[1].Replica.Name)
	}
}

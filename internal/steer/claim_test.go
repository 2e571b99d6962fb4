package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// claimCluster simulates several reducers whose notes arrive after a delay.
type claimCluster struct {
	t     *testing.T
	now   time.Time
	delay time.Duration
	// copyTime is how long a copy of a note takes to leave its instance, after the copies before it.
	copyTime time.Duration
	// cut holds the names of the instances to and from which no notes arrive.
	cut   map[string]bool
	names []string
	sts   map[string]*steer.State
	notes []delayedEvent
	wakes []delayedEvent
	sends []steer.Send
}

type delayedEvent struct {
	at time.Time
	to string
	ev steer.Event
}

// newClaimCluster returns a cluster of count instances that know each other and share one engine with the given slots.
func newClaimCluster(t *testing.T, count, slots int, delay time.Duration) *claimCluster {
	cc := &claimCluster{t: t, now: start, delay: delay, sts: map[string]*steer.State{}}
	list := replicas(1)
	list[0].Slots = slots
	for i := range count {
		cc.names = append(cc.names, fmt.Sprintf("instance-%02d", i))
	}
	for i, name := range cc.names {
		cc.sts[name] = steer.New(steer.Options{Name: name, FailureDomain: "a", Run: 1, Seed: uint64(i) + 1})
		cc.reduce(name, steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
		var others []steer.Instance
		for _, other := range cc.names {
			if other != name {
				others = append(others, steer.Instance{Name: other, FailureDomain: "a"})
			}
		}
		cc.reduce(name, steer.Peered{Instances: others, Listed: true})
		cc.reduce(name, steer.Listed{Replicas: list})
	}
	return cc
}

// reduce passes an event to an instance, schedules the resulting notes and wakes, and records its sends.
func (cc *claimCluster) reduce(name string, ev steer.Event) {
	for _, eff := range cc.sts[name].Reduce(cc.now, ev) {
		switch eff := eff.(type) {
		case steer.SendNote:
			delay := cc.delay
			for _, other := range cc.names {
				if other != name && (eff.To == nil || slices.Contains(eff.To, other)) {
					delay += cc.copyTime
					if cc.cut[name] || cc.cut[other] {
						continue
					}
					cc.notes = append(cc.notes, delayedEvent{cc.now.Add(delay), other, steer.NoteReceived{Note: eff.Note}})
				}
			}
		case steer.Wake:
			cc.wakes = append(cc.wakes, delayedEvent{cc.now.Add(eff.After), name, steer.Ticked{}})
		case steer.Send:
			cc.sends = append(cc.sends, eff)
		}
	}
}

// advance advances the time by the period in steps of half a millisecond and delivers the events that are due.
func (cc *claimCluster) advance(period time.Duration) {
	for until := cc.now.Add(period); cc.now.Before(until); {
		cc.now = cc.now.Add(500 * time.Microsecond)
		for _, box := range []*[]delayedEvent{&cc.notes, &cc.wakes} {
			due := *box
			*box = nil
			for _, de := range due {
				if de.at.After(cc.now) {
					*box = append(*box, de)
					continue
				}
				cc.reduce(de.to, de.ev)
			}
		}
	}
}

func (cc *claimCluster) arrive(name string, id steer.RequestID) {
	cc.reduce(name, steer.Arrived{
		ID: id, Route: &short, Prompt: 5000, Answer: 1000, Digest: steer.Digest(id),
		Deadline: cc.now.Add(10 * time.Second), LeavesAt: cc.now.Add(2 * time.Second),
	})
}

func TestLastSlotGetsOneRequest(t *testing.T) {
	// Requests arrive at several instances within the delay of a note, and an engine has one slot left. If all of them were
	// sent, all but one would wait at the engine for as long as a stream takes, while their callers' deadlines run.
	for _, count := range []int{2, 3, 10, 30} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			cc := newClaimCluster(t, count, 1, 1500*time.Microsecond)
			for i, name := range cc.names {
				cc.arrive(name, steer.RequestID(i+1))
				if i%3 == 2 {
					cc.advance(500 * time.Microsecond)
				}
			}
			cc.advance(100 * time.Millisecond)
			assert.Equal(t, len(cc.sends), 1)
		})
	}
}

func TestEveryFreeSlotIsUsed(t *testing.T) {
	// There are as many slots as requests. No request may be left waiting because another instance might have taken its
	// slot.
	cc := newClaimCluster(t, 6, 6, 1500*time.Microsecond)
	for i, name := range cc.names {
		cc.arrive(name, steer.RequestID(i+1))
	}
	cc.advance(150 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 6)
}

func TestLeavingCallerWithdrawsClaim(t *testing.T) {
	// The caller leaves while its request claims the only slot. The request must not be sent, and another one gets the slot.
	cc := newClaimCluster(t, 2, 1, 1500*time.Microsecond)
	cc.arrive(cc.names[0], 1)
	cc.reduce(cc.names[0], steer.CallerGone{ID: 1})
	cc.advance(10 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 0)
	cc.arrive(cc.names[1], 2)
	cc.advance(20 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 1)
	assert.Equal(t, cc.sends[0].ID, steer.RequestID(2))
}

func TestSecondAttemptIsBookedByPeers(t *testing.T) {
	// A request is sent again right after its first attempt ended. The other instances keep that end, so that a late start
	// of the same attempt is ignored. They must not take the second attempt for the first, or its engine would count as
	// free.
	cc := newClaimCluster(t, 2, 1, 1500*time.Microsecond)
	cc.arrive(cc.names[0], 1)
	cc.advance(20 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 1)
	cc.reduce(cc.names[0], steer.AttemptEnded{ID: 1, Attempt: 1, Result: steer.ResultNotSent, Proof: norun.Unwritten})
	list := replicas(2)[:2]
	list[0].Slots, list[1].Slots = 1, 1
	for _, name := range cc.names {
		cc.reduce(name, steer.Listed{Replicas: list})
	}
	cc.advance(50 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 2)
	cc.arrive(cc.names[1], 2)
	cc.advance(50 * time.Millisecond)
	for _, sent := range cc.sends[2:] {
		assert.Assert(t, sent.Replica.Name != cc.sends[1].Replica.Name)
	}
}

package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// slotCluster returns a fleet so large that slots are asked for, whose notes to all take some 10 ms to leave an instance.
func slotCluster(t *testing.T, slots int) *claimCluster {
	cc := newClaimCluster(t, 60, slots, 500*time.Microsecond)
	cc.copyTime = 150 * time.Microsecond
	cc.cut = map[string]bool{}
	return cc
}

// granter returns the instance that is asked for slots, which sends what it decides on at once.
func (cc *claimCluster) granter() string {
	cc.t.Helper()
	for i, name := range cc.names {
		before := len(cc.sends)
		cc.arrive(name, steer.RequestID(1000+i))
		if sent := len(cc.sends) > before; sent {
			cc.reduce(name, steer.AttemptEnded{ID: steer.RequestID(1000 + i), Attempt: 1, Result: steer.ResultDone, Begun: true})
			cc.sends = cc.sends[:before]
			return name
		}
		cc.reduce(name, steer.CallerGone{ID: steer.RequestID(1000 + i)})
	}
	cc.t.Fatal("no instance decides on the slots")
	return ""
}

func TestManyInstancesFillAnEngineNoFurtherThanItsSlots(t *testing.T) {
	// Guards against requests that wait at a full engine: 60 instances send short prompts within a few milliseconds, while a note to all
	// takes 10 ms to leave an instance, so that none knows of the others' starts and claims.
	for _, slots := range []int{1, 4, 12} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			cc := slotCluster(t, slots)
			for i, name := range cc.names {
				cc.arrive(name, steer.RequestID(i+1))
				if i%4 == 3 {
					cc.advance(500 * time.Microsecond)
				}
			}
			cc.advance(100 * time.Millisecond)
			// More than five reads at a time would make all of them late.
			assert.Assert(t, len(cc.sends) <= slots && len(cc.sends) >= min(slots, 5), len(cc.sends))
		})
	}
}

func TestSlotIsUsedThoughTheGranterIsSilent(t *testing.T) {
	// Guards against callers that wait for an instance that has ended: the request is sent once the answer is overdue, and the next
	// one asks another instance.
	cc := slotCluster(t, 4)
	granter := cc.granter()
	cc.advance(50 * time.Millisecond)
	cc.cut[granter] = true
	asking := cc.names[0]
	if asking == granter {
		asking = cc.names[1]
	}
	cc.arrive(asking, 1)
	cc.advance(11 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 0)
	cc.advance(3 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 1)
	cc.arrive(asking, 2)
	cc.advance(4 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 2)
}

func TestSlotOfLeavingCallerIsGivenBack(t *testing.T) {
	// Guards against a slot that stays taken at the granting instance although its request was never sent.
	cc := slotCluster(t, 1)
	granter := cc.granter()
	cc.advance(50 * time.Millisecond)
	first, second := cc.names[0], cc.names[1]
	if granter == first || granter == second {
		first, second = cc.names[2], cc.names[3]
	}
	cc.arrive(first, 1)
	cc.reduce(first, steer.CallerGone{ID: 1})
	cc.advance(3 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 0)
	cc.arrive(second, 2)
	cc.advance(5 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 1)
	assert.Equal(t, cc.sends[0].ID, steer.RequestID(2))
}

func TestSlotThatWasRefusedIsTakenOnceFree(t *testing.T) {
	// Guards against requests that stay away from an engine for longer than it is full.
	cc := slotCluster(t, 1)
	cc.granter()
	for range 2 {
		for _, name := range cc.names {
			cc.reduce(name, steer.Summarized{})
		}
	}
	cc.advance(50 * time.Millisecond)
	cc.arrive(cc.names[0], 1)
	cc.advance(5 * time.Millisecond)
	cc.arrive(cc.names[1], 2)
	cc.advance(60 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 1)
	cc.reduce(cc.names[0], steer.AttemptEnded{ID: 1, Attempt: 1, Result: steer.ResultDone, Begun: true})
	cc.advance(150 * time.Millisecond)
	assert.Equal(t, len(cc.sends), 2)
}

func TestInvalidSlotRequestsAreDropped(t *testing.T) {
	note := steer.Note{From: "two", SlotRequests: []steer.SlotRequest{
		{},
		{Job: steer.Job{Replicas: []string{"lyric-0"}, Prompt: -1}},
		{Job: steer.Job{Replicas: []string{"lyric-0"}}, MaxFirstMs: -1},
		{Job: steer.Job{Replicas: []string{"lyric-0"}, Prompt: 5000}, MaxFirstMs: 100},
	}}
	dropped, usable := note.DropInvalid()
	assert.Assert(t, usable)
	assert.Equal(t, dropped, 3)
	assert.Equal(t, len(note.SlotRequests), 1)
}

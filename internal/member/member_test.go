package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/member"
	"dandelionsail.example/dandelionsail/internal/wire"
)

const tick = 50 * time.Millisecond

// fleet simulates members whose messages arrive one tick later, unless they are lost.
type fleet struct {
	now    time.Time
	states []*member.State
	// down contains the members that process no events.
	down   map[int]bool
	queue  []effect.SendToPeer
	random *rand.Rand
	// loss is the fraction of messages that are lost.
	loss  float64
	bytes int
	count int
}

func newFleet(size int, seed uint64) *fleet {
	fl := &fleet{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		down:   map[int]bool{},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range size {
		inst := instance(i)
		fl.states = append(fl.states, member.New(event.Instance{Name: inst.Name, FailureDomain: "a"}, 1, seed+uint64(i)))
	}
	fl.list()
	return fl
}

func instance(number int) event.Instance {
	return event.Instance{Name: fmt.Sprintf("entry-%d", number), Peer: fmt.Sprint(number), FailureDomain: "a"}
}

func (fl *fleet) list() {
	var listed event.InstancesListed
	for i := range fl.states {
		listed.Instances = append(listed.Instances, instance(i))
	}
	for i := range fl.states {
		fl.reduce(i, listed)
	}
}

func (fl *fleet) reduce(number int, ev event.Event) {
	if fl.down[number] {
		return
	}
	for _, eff := range fl.states[number].Reduce(fl.now, ev) {
		if send, ok := eff.(effect.SendToPeer); ok {
			fl.queue = append(fl.queue, send)
		}
	}
}

// run advances the simulated time by period.
func (fl *fleet) run(period time.Duration) {
	for end := fl.now.Add(period); fl.now.Before(end); {
		fl.now = fl.now.Add(tick)
		sent := fl.queue
		fl.queue = nil
		for _, send := range sent {
			fl.deliver(send)
		}
		for i := range fl.states {
			fl.reduce(i, event.Ticked{})
		}
	}
}

func (fl *fleet) deliver(send effect.SendToPeer) {
	raw, _ := wire.Encode(send.Message)
	fl.bytes += len(raw)
	fl.count++
	if fl.random.Float64() < fl.loss {
		return
	}
	var number int
	_, _ = fmt.Sscan(send.Address, &number)
	switch msg := send.Message.(type) {
	case wire.Probe:
		fl.reduce(number, event.ProbeReceived(msg))
	case wire.ProbeAck:
		fl.reduce(number, event.ProbeAcked(msg))
	case wire.Gossip:
		fl.reduce(number, event.GossipReceived(msg))
	}
}

// countInState returns the number of running members that consider the numbered one to be in the state.
func (fl *fleet) countInState(number int, state event.MemberStatus) int {
	count := 0
	for i, st := range fl.states {
		if i == number || fl.down[i] {
			continue
		}
		if st.Members[instance(number).Name].State == state {
			count++
		}
	}
	return count
}

func TestUnresponsiveMemberIsSuspectedThenDeclaredDead(t *testing.T) {
	// One instance of thirty is killed without an announcement and answers neither direct nor indirect probes. All others
	// must suspect it and, since it does not refute that, declare it dead within ten seconds. If it was only unreachable
	// and receives messages again, it must refute its death and be alive for all others.
	fl := newFleet(30, 1)
	fl.run(5 * time.Second)
	fl.down[7] = true
	fl.run(10 * time.Second)
	assert.Equal(t, fl.countInState(7, event.StatusDead), 29)
	fl.down[7] = false
	fl.run(40 * time.Second)
	assert.Equal(t, fl.countInState(7, event.StatusAlive), 29, "a member that was only unreachable must refute its death and be alive again")
}

func TestLeavingSpreadsWithinTwoSeconds(t *testing.T) {
	// An instance drains, and an upstream leaves of which only one instance has read. All instances must know of both
	// within two seconds, since otherwise they would send new work there. A draining instance that has ended or was killed
	// must be declared dead, so that what it left behind can be swept.
	fl := newFleet(60, 2)
	fl.run(3 * time.Second)
	fl.reduce(3, event.DrainStarted{})
	fl.reduce(5, event.UpstreamsListed{Upstreams: []event.Upstream{{Name: "lyric-0", Address: "x", Leaving: true}}})
	fl.run(2 * time.Second)
	assert.Equal(t, fl.countInState(3, event.StatusLeaving), 59)
	for i, st := range fl.states {
		assert.Equal(t, len(st.LeavingUpstreams), 1, "%d", i)
	}
	fl.down[3] = true
	fl.run(10 * time.Second)
	assert.Equal(t, fl.countInState(3, event.StatusDead), 59)
}

func TestGossipAboutDelistedUpstreamStops(t *testing.T) {
	// An upstream leaves and disappears from the list while updates about it still circulate. They must stop: an instance
	// that has forgotten the upstream too early would take a late update for a new one and forward it again.
	fl := newFleet(20, 4)
	fl.run(3 * time.Second)
	up := event.Upstream{Name: "lyric-0", Address: "x", Leaving: true}
	fl.reduce(5, event.UpstreamsListed{Upstreams: []event.Upstream{up}})
	for range 20 {
		fl.run(time.Second)
		for i := range fl.states {
			fl.reduce(i, event.UpstreamsListed{})
		}
	}
	fl.count = 0
	fl.run(10 * time.Second)
	assert.Assert(t, fl.count <= 2*10*20+2*20, "%d messages of 20 members in 10 s", fl.count)
}

func TestMembersConvergeAfterMessageLoss(t *testing.T) {
	// With up to 15% of all messages lost, healthy members are suspected again and again and have to refute that. Once
	// messages are no longer lost, all members must agree that all are alive.
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.IntRange(2, 12).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		fl.loss = rapid.Float64Range(0, 0.15).Draw(t, "loss")
		fl.run(20 * time.Second)
		fl.loss = 0
		fl.run(30 * time.Second)
		for i := range fl.states {
			assert.Equal(t, fl.countInState(i, event.StatusAlive), len(fl.states)-1)
		}
	})
}

func TestUpdateOfEarlierRunIsIgnored(t *testing.T) {
	// An instance that left is replaced by one of the same name at another address. Updates about the earlier run still
	// circulate and must not be applied to the new one.
	fl := newFleet(2, 3)
	st := fl.states[0]
	st.Reduce(fl.now, event.GossipReceived{Words: []event.StatusUpdate{{Name: "entry-1", State: event.StatusLeaving, Incarnation: 1}}})
	assert.Assert(t, !st.Trusted("entry-1"))
	next := instance(1)
	next.Peer = "9"
	st.Reduce(fl.now, event.InstancesListed{Instances: []event.Instance{instance(0), next}})
	st.Reduce(fl.now, event.GossipReceived{Words: []event.StatusUpdate{{Name: "entry-1", State: event.StatusAlive, Incarnation: 2}}})
	st.Reduce(fl.now, event.GossipReceived{Words: []event.StatusUpdate{{Name: "entry-1", State: event.StatusLeaving, Incarnation: 1}}})
	assert.Assert(t, st.Trusted("entry-1"))
}

// BenchmarkFleet measures the cost of one member per second by fleet size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{3, 10, 30, 60, 430} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			fl := newFleet(size, 1)
			fl.run(3 * time.Second)
			fl.bytes, fl.count = 0, 0
			for b.Loop() {
				fl.run(time.Second)
			}
			seconds := float64(b.N) * float64(size)
			b.ReportMetric(float64(fl.bytes)/seconds, "B/member/s")
			b.ReportMetric(float64(fl.count)/seconds, "messages/member/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/member/s")
		})
	}
}

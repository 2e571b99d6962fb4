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

// fleet is a number of members whose messages arrive one tick later, unless they are lost.
type fleet struct {
	now    time.Time
	states []*member.State
	// down members neither hear nor act.
	down   map[int]bool
	queue  []effect.Tell
	random *rand.Rand
	// loss is the part of the messages that get lost.
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
		if tell, ok := eff.(effect.Tell); ok {
			fl.queue = append(fl.queue, tell)
		}
	}
}

// run lets the time pass.
func (fl *fleet) run(period time.Duration) {
	for end := fl.now.Add(period); fl.now.Before(end); {
		fl.now = fl.now.Add(tick)
		sent := fl.queue
		fl.queue = nil
		for _, tell := range sent {
			fl.deliver(tell)
		}
		for i := range fl.states {
			fl.reduce(i, event.Ticked{})
		}
	}
}

func (fl *fleet) deliver(tell effect.Tell) {
	raw, _ := wire.Encode(tell.Message)
	fl.bytes += len(raw)
	fl.count++
	if fl.random.Float64() < fl.loss {
		return
	}
	var number int
	_, _ = fmt.Sscan(tell.Address, &number)
	switch msg := tell.Message.(type) {
	case wire.Probe:
		fl.reduce(number, event.Probed(msg))
	case wire.ProbeAck:
		fl.reduce(number, event.ProbeAcked(msg))
	case wire.Gossip:
		fl.reduce(number, event.Gossiped(msg))
	}
}

// views counts how many of the members that are up say that the numbered one is in the state.
func (fl *fleet) views(number int, state event.WordState) int {
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

func TestDeathIsSuspectedThenDeclared(t *testing.T) {
	// One instance of thirty is killed without a word. Its next probes go unanswered, first the direct ones, then those
	// by others; all suspect it within a few seconds and, as it refutes nothing, declare it dead.
	fl := newFleet(30, 1)
	fl.run(5 * time.Second)
	fl.down[7] = true
	fl.run(10 * time.Second)
	assert.Equal(t, fl.views(7, event.WordDead), 29)
	fl.down[7] = false
	fl.run(40 * time.Second)
	assert.Equal(t, fl.views(7, event.WordAlive), 29, "a member that was only away comes back by refuting")
}

func TestLeavingIsHeardWithinTwoSeconds(t *testing.T) {
	// An instance drains, and an upstream leaves that only one instance has read of yet.
	// All instances know of both within two seconds, so that neither gets new work. When the instance has ended, or was
	// killed while it drained, it is declared dead, and what it left can be swept.
	fl := newFleet(60, 2)
	fl.run(3 * time.Second)
	fl.reduce(3, event.DrainStarted{})
	fl.reduce(5, event.UpstreamsListed{Upstreams: []event.Upstream{{Name: "lyric-0", Address: "x", Leaving: true}}})
	fl.run(2 * time.Second)
	assert.Equal(t, fl.views(3, event.WordLeaving), 59)
	for i, st := range fl.states {
		assert.Equal(t, len(st.Left), 1, "%d", i)
	}
	fl.down[3] = true
	fl.run(10 * time.Second)
	assert.Equal(t, fl.views(3, event.WordDead), 59)
}

func TestNewsComesToAnEnd(t *testing.T) {
	// An upstream leaves and is soon off the list, and words about it still go round.
	// They stop after some time: no instance takes a late one for news and passes it on anew.
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

func TestMembersConvergeAndNoRefuterIsDead(t *testing.T) {
	// A part of all messages gets lost, so that members that are well are suspected again and again. Each hears of it
	// and refutes it in time, and in the end all agree that all are alive.
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(rapid.IntRange(2, 12).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		fl.loss = rapid.Float64Range(0, 0.15).Draw(t, "loss")
		fl.run(20 * time.Second)
		fl.loss = 0
		fl.run(30 * time.Second)
		for i := range fl.states {
			assert.Equal(t, fl.views(i, event.WordAlive), len(fl.states)-1)
		}
	})
}

func TestRestartOfTheSameNameGoesBefore(t *testing.T) {
	// An instance that left is replaced by one of its name at another address.
	// Words about the one before, which still go round, say nothing about the new one.
	fl := newFleet(2, 3)
	st := fl.states[0]
	st.Reduce(fl.now, event.Gossiped{Words: []event.Word{{Name: "entry-1", State: event.WordLeaving, Incarnation: 1}}})
	assert.Assert(t, !st.Trusted("entry-1"))
	next := instance(1)
	next.Peer = "9"
	st.Reduce(fl.now, event.InstancesListed{Instances: []event.Instance{instance(0), next}})
	st.Reduce(fl.now, event.Gossiped{Words: []event.Word{{Name: "entry-1", State: event.WordAlive, Incarnation: 2}}})
	st.Reduce(fl.now, event.Gossiped{Words: []event.Word{{Name: "entry-1", State: event.WordLeaving, Incarnation: 1}}})
	assert.Assert(t, st.Trusted("entry-1"))
}

// BenchmarkFleet gives what one member spends a second, as a function of the fleet's size.
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

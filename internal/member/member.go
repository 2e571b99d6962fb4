// Package member knows which entry instances are live. The platform's list says who exists, late; a few random probes
// a second say who is alive; news of deaths and leavings spreads with the probes and, as it is urgent, ahead of them.
// What one instance spends on it does not depend on the size of the fleet.
package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Timing of the probes.
const (
	// ProbePeriod is the time between two probes that one instance starts.
	ProbePeriod = time.Second
	// AckTime is how long the answer to a direct probe may take; then others are asked to probe.
	AckTime = 300 * time.Millisecond
	// ProbeTime is how long any answer to a probe may take before the member is suspected.
	ProbeTime = 800 * time.Millisecond
	// SuspectTime is how long a suspected member has to refute.
	SuspectTime = 2 * time.Second
	// leaverMemory is how long a word about an upstream is remembered that no list names any more. It is longer than
	// words go round; one forgotten before would be taken for news and passed on, from instance to instance without end.
	leaverMemory = 2 * time.Minute
	// maxLeavers bounds what is remembered.
	maxLeavers = 20_000
	// helpers is how many others are asked to probe a member that does not answer.
	helpers = 3
)

// Member is what is known of another instance.
type Member struct {
	Instance event.Instance
	// State is WordAlive, WordSuspect, WordDead or WordLeaving.
	State event.WordState
	// Incarnation is the highest heard, 0 if nothing was heard yet.
	Incarnation uint64
	// SuspectedAt is when the suspicion began.
	SuspectedAt time.Time
}

// runApart is how far the first incarnations of two runs of one name are apart at least, in microseconds. A run raises
// its own by one with each refutation, which does not add up to it.
const runApart = 100_000

// After tells that the member runs anew since the incarnation of an earlier run.
func (mb *Member) After(incarnation uint64) bool {
	return mb.Incarnation > incarnation+runApart
}

// Live tells that the member takes part; a suspected one does until it is declared dead.
func (mb *Member) Live() bool {
	return mb.State == event.WordAlive || mb.State == event.WordSuspect
}

// State is the membership as one instance sees it.
type State struct {
	// Self is this instance; its Peer is empty until the platform lists it.
	Self event.Instance
	// Incarnation is this run's; it starts with the time, so that a replacement of the same name goes before.
	Incarnation uint64
	// Members holds every other listed instance by name.
	Members map[string]*Member
	// Changed tells that the live instances changed; who has looked resets it.
	Changed bool
	// Left holds what was told of upstreams that leave, not yet looked at.
	Left []event.Word

	// suspects names the suspected members, so that a tick does not look at all members.
	suspects  map[string]bool
	leaving   bool
	random    *rand.Rand
	now       time.Time
	effects   []effect.Effect
	round     []string
	nextProbe time.Time
	seq       uint64
	probes    map[uint64]*probe
	news      []*item
	// leavers holds the words about upstreams that leave, with the time of the last list that named them.
	leavers map[event.Word]time.Time
}

// New returns the state of an instance that knows no other.
func New(self event.Instance, incarnation, seed uint64) *State {
	return &State{
		Self:        self,
		Incarnation: incarnation,
		Members:     map[string]*Member{},
		random:      rand.New(rand.NewPCG(seed, incarnation)),
		probes:      map[uint64]*probe{},
		leavers:     map[event.Word]time.Time{},
		suspects:    map[string]bool{},
	}
}

// Reduce takes one event and returns what is to be sent. The slice is valid until the next call.
func (st *State) Reduce(now time.Time, ev event.Event) []effect.Effect {
	st.now = now
	st.effects = st.effects[:0]
	switch ev := ev.(type) {
	case event.InstancesListed:
		st.listed(ev)
	case event.UpstreamsListed:
		st.upstreamsListed(ev)
	case event.Probed:
		st.probed(ev)
	case event.ProbeAcked:
		st.acked(ev)
	case event.Gossiped:
		st.hearAll(ev.Words)
	case event.DrainStarted:
		st.leave()
	case event.Ticked:
		st.tick()
	}
	return st.effects
}

func (st *State) tell(address string, msg wire.Message) {
	if address != "" {
		st.effects = append(st.effects, effect.Tell{Address: address, Message: msg})
	}
}

// Instances returns this instance and every live other, leaving ones marked.
func (st *State) Instances() []event.Instance {
	self := st.Self
	self.Leaving = st.leaving
	list := []event.Instance{self}
	for _, mb := range st.Members {
		inst := mb.Instance
		inst.Leaving = mb.State == event.WordLeaving
		if mb.State != event.WordDead {
			list = append(list, inst)
		}
	}
	return list
}

// Trusted tells that the named instance is live and not suspected.
func (st *State) Trusted(name string) bool {
	if name == st.Self.Name {
		return !st.leaving
	}
	mb, ok := st.Members[name]
	return ok && mb.State == event.WordAlive
}

func (st *State) listed(ev event.InstancesListed) {
	named := map[string]bool{}
	for _, inst := range ev.Instances {
		named[inst.Name] = true
		if inst.Name == st.Self.Name {
			st.selfListed(inst)
			continue
		}
		if inst.Peer != "" {
			st.take(inst)
		}
	}
	for name := range st.Members {
		if !named[name] {
			delete(st.Members, name)
			st.Changed = true
		}
	}
}

// selfListed takes the address under which the others know this instance.
func (st *State) selfListed(inst event.Instance) {
	if inst.Peer != "" && inst.Peer != st.Self.Peer {
		st.Self.Peer = inst.Peer
		st.Changed = true
	}
}

func (st *State) take(inst event.Instance) {
	mb, ok := st.Members[inst.Name]
	if !ok || mb.Instance.Peer != inst.Peer {
		mb = &Member{Instance: inst, State: event.WordAlive}
		st.Members[inst.Name] = mb
		st.Changed = true
	}
	mb.Instance = inst
	if !inst.Leaving || mb.State == event.WordLeaving {
		return
	}
	if mb.Incarnation == 0 {
		// Without its incarnation the word could stick to a replacement of the same name, so it stays here.
		mb.State = event.WordLeaving
		st.Changed = true
		return
	}
	st.hear(event.Word{Name: inst.Name, State: event.WordLeaving, Incarnation: mb.Incarnation})
}

// AddressHash is the incarnation of a word about an upstream.
func AddressHash(address string) uint64 {
	return xxhash.Sum64String(address)
}

func (st *State) upstreamsListed(ev event.UpstreamsListed) {
	for _, up := range ev.Upstreams {
		word := event.Word{Name: up.Name, State: event.WordUpstreamLeaving, Incarnation: AddressHash(up.Address)}
		if up.Leaving {
			st.hear(word)
		}
		if _, ok := st.leavers[word]; ok {
			st.leavers[word] = st.now
		}
	}
	for word, at := range st.leavers {
		if st.now.Sub(at) > leaverMemory {
			delete(st.leavers, word)
		}
	}
}

// leave tells the others that this instance takes nothing new.
func (st *State) leave() {
	st.leaving = true
	st.Changed = true
	st.spread(event.Word{Name: st.Self.Name, State: event.WordLeaving, Incarnation: st.Incarnation})
}

func (st *State) tick() {
	st.followSuspects()
	st.followProbes()
	if st.Self.Peer == "" || len(st.Members) == 0 || st.now.Before(st.nextProbe) {
		return
	}
	st.nextProbe = st.now.Add(ProbePeriod)
	st.startProbe()
}

func (st *State) followSuspects() {
	for name := range st.suspects {
		mb, ok := st.Members[name]
		if !ok || mb.State != event.WordSuspect {
			delete(st.suspects, name)
			continue
		}
		if st.now.Sub(mb.SuspectedAt) >= SuspectTime {
			st.hear(event.Word{Name: name, State: event.WordDead, Incarnation: mb.Incarnation})
		}
	}
}

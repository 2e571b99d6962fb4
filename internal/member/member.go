// Package member tracks which entry instances are live. It implements a gossip protocol with probes, suspicion and
// incarnation numbers, in the manner of SWIM. The platform's list names the instances that exist, with a delay. Each
// instance probes another member every second, in random order, to find out which ones are alive. Updates about dead and
// leaving members are urgent, so they are sent to a few members at once and spread further with the probes. The cost for
// one instance does not depend on the size of the fleet.
package member

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Parameters of the failure detection.
const (
	// ProbePeriod is the time between two probes that one instance starts.
	ProbePeriod = time.Second
	// AckTimeout is how long the answer to a direct probe may take before other members are asked to probe the target.
	AckTimeout = 300 * time.Millisecond
	// ProbeTimeout is how long the answer to a probe, direct or indirect, may take before the member is suspected.
	ProbeTimeout = 800 * time.Millisecond
	// SuspectTimeout is how long a suspected member has to refute the suspicion before it is declared dead.
	SuspectTimeout = 2 * time.Second
	// leavingRetention is how long an update about a leaving upstream is remembered after the last list that named the
	// upstream. It is longer than updates circulate. An update forgotten while it still circulates would be taken for a new
	// one and forwarded from instance to instance without end.
	leavingRetention = 2 * time.Minute
	// maxLeavingUpstreams is the maximum number of updates about leaving upstreams that are remembered.
	maxLeavingUpstreams = 20_000
	// indirectProbes is the number of other members that are asked to probe a member that does not answer.
	indirectProbes = 3
)

// Member is what is known about another instance.
type Member struct {
	Instance event.Instance
	// State is StatusAlive, StatusSuspect, StatusDead or StatusLeaving.
	State event.MemberStatus
	// Incarnation is the highest one received, 0 if none was received yet.
	Incarnation uint64
	// SuspectedAt is when the suspicion began.
	SuspectedAt time.Time
}

// minRunGap is the minimum distance in microseconds between the first incarnations of two runs of the same name. A run
// raises its incarnation by one with each refutation, which never adds up to this distance.
const minRunGap = 100_000

// RestartedSince reports whether the member's current run is a later one than the run that had the given incarnation.
func (mb *Member) RestartedSince(incarnation uint64) bool {
	return mb.Incarnation > incarnation+minRunGap
}

// Live reports whether the member takes part in the protocol. A suspected one does until it is declared dead.
func (mb *Member) Live() bool {
	return mb.State == event.StatusAlive || mb.State == event.StatusSuspect
}

// State is the membership as one instance sees it.
type State struct {
	// Self is this instance. Its Peer is empty as long as its peer address is unknown.
	Self event.Instance
	// Incarnation is that of this run. Its first value is the start time, so that a later instance of the same name has a
	// higher one.
	Incarnation uint64
	// Members contains every other listed instance by name.
	Members map[string]*Member
	// Changed is set when the members, their states or this instance's own entry change. The caller resets it.
	Changed bool
	// LeavingUpstreams contains the updates about leaving upstreams that the caller has not processed yet. The caller clears
	// it.
	LeavingUpstreams []event.StatusUpdate

	// suspects contains the names of the suspected members, so that a tick does not have to check all members.
	suspects map[string]bool
	leaving  bool
	random   *rand.Rand
	now      time.Time
	effects  []effect.Effect
	// round contains the names of the members still to probe in this round.
	round     []string
	nextProbe time.Time
	seq       uint64
	// probes contains the unanswered probes by sequence number.
	probes map[uint64]*probe
	// broadcasts contains the updates still to be sent with probes.
	broadcasts []*queuedUpdate
	// leavingSeenAt contains the updates about leaving upstreams with the time of the last list that named the upstream,
	// or the time of the update itself if no list has named it since.
	leavingSeenAt map[event.StatusUpdate]time.Time
}

// New returns the state of an instance that knows no other members.
func New(self event.Instance, incarnation, seed uint64) *State {
	return &State{
		Self:          self,
		Incarnation:   incarnation,
		Members:       map[string]*Member{},
		random:        rand.New(rand.NewPCG(seed, incarnation)),
		probes:        map[uint64]*probe{},
		leavingSeenAt: map[event.StatusUpdate]time.Time{},
		suspects:      map[string]bool{},
	}
}

// Reduce applies one event and returns the messages to send. The slice is valid until the next call.
func (st *State) Reduce(now time.Time, ev event.Event) []effect.Effect {
	st.now = now
	st.effects = st.effects[:0]
	switch ev := ev.(type) {
	case event.InstancesListed:
		st.handleInstancesListed(ev)
	case event.UpstreamsListed:
		st.handleUpstreamsListed(ev)
	case event.UpstreamAnnounced:
		if ev.Leaving {
			st.apply(event.StatusUpdate{Name: ev.Upstream, State: event.StatusUpstreamLeaving, Incarnation: AddressHash(ev.Address)})
		}
	case event.ProbeReceived:
		st.handleProbeReceived(ev)
	case event.ProbeAcked:
		st.handleProbeAcked(ev)
	case event.GossipReceived:
		st.applyAll(ev.Words)
	case event.DrainStarted:
		st.startLeaving()
	case event.Ticked:
		st.tick()
	}
	return st.effects
}

func (st *State) send(address string, msg wire.Message) {
	if address != "" {
		st.effects = append(st.effects, effect.SendToPeer{Address: address, Message: msg})
	}
}

// Instances returns this instance and all members that are not dead, with Leaving set for those that leave.
func (st *State) Instances() []event.Instance {
	self := st.Self
	self.Leaving = st.leaving
	list := []event.Instance{self}
	for _, mb := range st.Members {
		inst := mb.Instance
		inst.Leaving = mb.State == event.StatusLeaving
		if mb.State != event.StatusDead {
			list = append(list, inst)
		}
	}
	return list
}

// Trusted reports whether the named instance is alive and neither suspected nor leaving.
func (st *State) Trusted(name string) bool {
	if name == st.Self.Name {
		return !st.leaving
	}
	mb, ok := st.Members[name]
	return ok && mb.State == event.StatusAlive
}

func (st *State) handleInstancesListed(ev event.InstancesListed) {
	named := map[string]bool{}
	for _, inst := range ev.Instances {
		named[inst.Name] = true
		if inst.Name == st.Self.Name {
			st.updateSelf(inst)
			continue
		}
		if inst.Peer != "" {
			st.addOrUpdate(inst)
		}
	}
	for name := range st.Members {
		if !named[name] {
			delete(st.Members, name)
			st.Changed = true
		}
	}
}

// updateSelf sets the address under which the other instances know this one.
func (st *State) updateSelf(inst event.Instance) {
	if inst.Peer != "" && inst.Peer != st.Self.Peer {
		st.Self.Peer = inst.Peer
		st.Changed = true
	}
}

func (st *State) addOrUpdate(inst event.Instance) {
	mb, ok := st.Members[inst.Name]
	if !ok || mb.Instance.Peer != inst.Peer {
		mb = &Member{Instance: inst, State: event.StatusAlive}
		st.Members[inst.Name] = mb
		st.Changed = true
	}
	mb.Instance = inst
	if !inst.Leaving || mb.State == event.StatusLeaving {
		return
	}
	if mb.Incarnation == 0 {
		// An update without an incarnation could be applied to a later instance of the same name, so it is not forwarded.
		mb.State = event.StatusLeaving
		st.Changed = true
		return
	}
	st.apply(event.StatusUpdate{Name: inst.Name, State: event.StatusLeaving, Incarnation: mb.Incarnation})
}

// AddressHash returns the incarnation of an update about an upstream at the address.
func AddressHash(address string) uint64 {
	return xxhash.Sum64String(address)
}

func (st *State) handleUpstreamsListed(ev event.UpstreamsListed) {
	for _, up := range ev.Upstreams {
		upd := event.StatusUpdate{Name: up.Name, State: event.StatusUpstreamLeaving, Incarnation: AddressHash(up.Address)}
		if up.Leaving {
			st.apply(upd)
		}
		if _, ok := st.leavingSeenAt[upd]; ok {
			st.leavingSeenAt[upd] = st.now
		}
	}
	for upd, at := range st.leavingSeenAt {
		if st.now.Sub(at) > leavingRetention {
			delete(st.leavingSeenAt, upd)
		}
	}
}

// startLeaving announces to the other instances that this one accepts no new work.
func (st *State) startLeaving() {
	st.leaving = true
	st.Changed = true
	st.broadcast(event.StatusUpdate{Name: st.Self.Name, State: event.StatusLeaving, Incarnation: st.Incarnation})
}

func (st *State) tick() {
	st.expireSuspects()
	st.checkProbes()
	if st.Self.Peer == "" || len(st.Members) == 0 || st.now.Before(st.nextProbe) {
		return
	}
	st.nextProbe = st.now.Add(ProbePeriod)
	st.startProbe()
}

func (st *State) expireSuspects() {
	for name := range st.suspects {
		mb, ok := st.Members[name]
		if !ok || mb.State != event.StatusSuspect {
			delete(st.suspects, name)
			continue
		}
		if st.now.Sub(mb.SuspectedAt) >= SuspectTimeout {
			st.apply(event.StatusUpdate{Name: name, State: event.StatusDead, Incarnation: mb.Incarnation})
		}
	}
}

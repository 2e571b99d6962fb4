// Package core composes the reducers of one instance: the life of each request, from arrival to its one end.
package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/member"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Options fix what an instance is.
type Options struct {
	Name          string
	FailureDomain string
	// Seed makes random choices repeatable.
	Seed uint64
	// Peers turns on the membership. Incarnation is this run's, higher than that of any earlier run of the name.
	Peers       bool
	Incarnation uint64
	// NameRequest gives a request its name towards upstreams and coordinators, unique over all runs of all instances.
	NameRequest func(id event.RequestID) string
	// Permits makes long prompts ask their pool's coordinator.
	Permits bool
	// Policy is how replicas are chosen; nil is route.Sail. A baseline also serves first come first served, without
	// permits and without priorities at the engines.
	Policy route.Policy
}

// State is everything an instance decides from. It belongs to one goroutine.
type State struct {
	Options Options
	// Config is the version in force, never nil and never replaced by a lower one.
	Config *decl.Config
	Admit  *admit.State
	Route  *route.State
	// Requests holds every request that has no Finish yet or whose claim is not settled.
	Requests map[event.RequestID]*Request
	// Member is the membership, nil in an instance without peers.
	Member *member.State
	// Instances is who is live by the membership, or the platform's list without one.
	Instances []event.Instance
	// Draining refuses new requests.
	Draining bool

	now time.Time
	// permits is nil in an instance without peers.
	permits   *permits
	effects   []effect.Effect
	deadlines deadlineHeap
	poison    quarantine
	table     table
	reasons   map[reasonKey]string
	// nextDemands is when the organisations' demands are told next.
	nextDemands time.Time
}

// Phase is where in its life a request is.
type Phase int

// The phases of a request.
const (
	// PhaseClaiming waits for the idempotency key to be recorded.
	PhaseClaiming Phase = iota + 1
	// PhaseQueued waits for an upstream with room.
	PhaseQueued
	// PhasePermit waits for the pool's coordinator.
	PhasePermit
	// PhaseRunning has an attempt under way.
	PhaseRunning
	// PhaseAbandoned has had its Finish and waits only for its claim to settle, to release it.
	PhaseAbandoned
)

// Request is one request's state.
type Request struct {
	event.Arrived
	Phase Phase
	Class decl.LengthClass
	// level and above place its class among the others by priority.
	level, above int
	// At is when it arrived.
	At time.Time
	// Attempt counts from 1; 0 before the first.
	Attempt int
	// Upstreams are those of the attempt under way.
	Upstreams []event.Upstream
	// Tried names the upstreams that failed it.
	Tried []string
	// Offset is how many tokens of the answer the caller has.
	Offset int64
	// Answered tells that some of the answer came.
	Answered bool
	// MayHaveRun tells that some attempt may have run or may yet run.
	MayHaveRun bool
	// Gone tells that the caller left.
	Gone bool
	// Aborted tells that an Abort was sent for the attempt under way.
	Aborted bool
	// Claimed tells that the key is recorded.
	Claimed bool
	// Permit names the reservation held, empty if none.
	Permit string
	// asked names the permit asked for, empty if none is asked for or held.
	asked string
	// NotBefore delays the next attempt after a refusal by an upstream.
	NotBefore time.Time
	// Fruitless counts the attempts in a row that brought the answer no further.
	Fruitless int
	// SentAt is when the attempt under way was sent.
	SentAt time.Time
	// Suspect tells that an upstream died while running this content.
	Suspect bool
}

// Tokens is the memory that the request needs.
func (req *Request) Tokens() int64 {
	return req.PromptTokens + req.MaxTokens
}

// New returns the state of an instance that has seen nothing yet.
func New(opts Options) *State {
	st := &State{
		Options:  opts,
		Config:   &decl.Config{},
		Admit:    admit.New(),
		Route:    route.New(opts.FailureDomain, opts.Seed),
		Requests: map[event.RequestID]*Request{},
		poison:   newQuarantine(),
		table:    newTable(&decl.Config{}),
		reasons:  map[reasonKey]string{},
	}
	if opts.Peers {
		self := event.Instance{Name: opts.Name, FailureDomain: opts.FailureDomain}
		st.Member = member.New(self, opts.Incarnation, opts.Seed)
		if opts.Permits {
			st.permits = st.newPermits(self)
		}
	}
	if opts.Policy != nil {
		st.Route.Policy = opts.Policy
	}
	return st
}

// baseline tells that the instance runs a policy kept for comparison only.
func (st *State) baseline() bool {
	_, own := st.Route.Policy.(route.Sail)
	return !own
}

// Reduce takes one event and returns what is to be done. The slice is valid until the next call.
func (st *State) Reduce(now time.Time, ev event.Event) []effect.Effect {
	st.now = now
	st.effects = st.effects[:0]
	switch ev := ev.(type) {
	case event.Arrived:
		st.arrived(ev)
	case event.CallerGone:
		st.callerGone(ev)
	case event.Answering:
		st.answering(ev)
	case event.AttemptEnded:
		st.attemptEnded(ev)
	case event.ClaimSettled:
		st.claimSettled(ev)
	case event.PermitAnswered:
		st.permitAnswered(ev)
	case event.LoadReported:
		st.showedLife(ev.Upstream, ev.At)
		st.Route.Report(st.now, ev)
	case event.CacheChanged:
		st.Route.CacheChanged(st.now, ev)
	case event.UpstreamsListed:
		st.Route.List(st.now, ev)
		st.regroupPools()
		st.followMembers(ev)
		st.pumpAll()
	case event.InstancesListed:
		st.instancesListed(ev)
	case event.ConfigAccepted:
		st.configAccepted(ev)
	case event.Quarantined:
		st.quarantined(ev)
	case event.DemandHeard:
		st.demandHeard(ev)
	case event.SharesHeard:
		st.Admit.TakeShares(st.now, ev.Shares)
	case event.DrainStarted:
		st.Draining = true
		st.followMembers(ev)
	case event.PeerOpened:
		st.peerOpened(ev)
	case event.Probed, event.ProbeAcked, event.Gossiped:
		st.followMembers(ev)
	case event.PermitAsked, event.PermitGranted, event.PermitReturned, event.PermitRenewed, event.PermitsKnown:
		st.followPermits(ev)
	case event.Ticked:
		st.followMembers(ev)
		st.followPermits(ev)
		st.askDelayed()
		st.expire()
		st.ejectSlow()
		st.tellDemands()
		st.pumpAll()
	}
	return st.effects
}

func (st *State) emit(eff effect.Effect) {
	st.effects = append(st.effects, eff)
}

func (st *State) configAccepted(ev event.ConfigAccepted) {
	if ev.Config.Version <= st.Config.Version {
		return
	}
	st.Config = ev.Config
	st.table = newTable(ev.Config)
	st.Route.Configure(ev.Config)
	st.pumpAll()
}

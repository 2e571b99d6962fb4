// Package core implements the reducer of an entry instance. It composes the reducers for admission, routing, permits and
// membership and takes each request from its arrival to its single effect.Finish.
package core

import (
	"math/rand/v2"
	"time"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/member"
	"dandelionsail.example/dandelionsail/internal/paths"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Options are the fixed properties of an instance.
type Options struct {
	Name          string
	FailureDomain string
	// Seed makes random choices repeatable.
	Seed uint64
	// Peers turns on the membership.
	Peers bool
	// Incarnation identifies this run and is higher than that of any earlier run of the same name.
	Incarnation uint64
	// NameRequest returns the name of a request at upstreams and coordinators, unique over all runs of all instances.
	NameRequest func(id event.RequestID) string
	// Permits makes long prompts wait for a permit from their pool's coordinator.
	Permits bool
	// Forward makes the instance pass requests on to others while its path to a service is lost.
	Forward bool
	// Policy chooses the replicas; nil is route.LowestCost. The other policies are baselines, under which requests are also
	// served in order of arrival, without permits and without priorities at the engines.
	Policy route.Policy
}

// State is the complete state of an instance's reducer. It is not safe for concurrent use.
type State struct {
	Options Options
	// Config is the configuration in force. It is never nil and never replaced by a lower version.
	Config *decl.Config
	Admit  *admit.State
	Route  *route.State
	// Requests holds every request that has not finished yet or whose claim is not settled.
	Requests map[event.RequestID]*Request
	// Member is the membership, nil in an instance without peers.
	Member *member.State
	// paths holds this instance's path to each service.
	paths map[string]*paths.Path
	// pathsInDoubt is what the last effect.PathsInDoubt stated.
	pathsInDoubt bool
	// fleet is what is known of the other instances' paths.
	fleet  paths.Fleet
	random *rand.Rand
	// Instances are the live instances of the membership, or the platform's list in an instance without peers.
	Instances []event.Instance
	// Draining reports whether new requests are refused because the instance is shutting down.
	Draining bool
	// stop is nil until the instance is asked to shut down.
	stop *cutoff.Stop

	now time.Time
	// permits is nil without Options.Peers or without Options.Permits.
	permits        *permitState
	effects        []effect.Effect
	deadlines      deadlineHeap
	quarantine     quarantine
	table          table
	reasonCounters map[reasonKey]string
	// nextDemands is the time at which the organisations' demands are sent next.
	nextDemands time.Time
}

// Phase is the phase of processing that a request is in.
type Phase int

// The phases of a request.
const (
	// PhaseClaiming means that the request waits for its idempotency key to be recorded.
	PhaseClaiming Phase = iota + 1
	// PhaseQueued means that the request waits for an upstream with room.
	PhaseQueued
	// PhasePermit means that the request waits for a permit from the pool's coordinator.
	PhasePermit
	// PhaseRunning means that an attempt is under way.
	PhaseRunning
	// PhaseAbandoned means that the request has finished and is kept only to release its claim once that settles.
	PhaseAbandoned
)

// Request is the state of a request.
type Request struct {
	event.Arrived
	Phase Phase
	Class decl.LengthClass
	// level is the number of distinct class priorities below that of its class.
	level int
	// higherClasses is the number of distinct class priorities above that of its class.
	higherClasses int
	// At is the time of arrival.
	At time.Time
	// Attempt is the number of the latest attempt, counted from 1; 0 before the first.
	Attempt int
	// Upstreams are the upstreams of the attempt under way.
	Upstreams []event.Upstream
	// Tried are the names of the upstreams at which attempts failed.
	Tried []string
	// Offset is the number of tokens of the answer that the caller has.
	Offset int64
	// Answered reports whether some of the answer was received.
	Answered bool
	// MayHaveRun reports whether an attempt may have run the request or may still run it.
	MayHaveRun bool
	// Gone reports whether the caller has disconnected.
	Gone bool
	// Aborted reports whether an effect.Abort was emitted for the attempt under way.
	Aborted bool
	// resumes reports whether another attempt was granted in place of the one under way, see handleFellSilent. Its retry is charged already.
	resumes bool
	// silent reports whether the silence of the attempt under way was counted.
	silent bool
	// Claimed reports whether the idempotency key is recorded.
	Claimed bool
	// Permit is the name of the reservation held, empty if there is none.
	Permit string
	// requestedPermit is the name of the permit requested from the coordinator or held, empty if there is none.
	requestedPermit string
	// NotBefore is the earliest time of the next attempt after a refusal by an upstream.
	NotBefore time.Time
	// AttemptsWithoutProgress is the number of consecutive attempts without progress in the answer.
	AttemptsWithoutProgress int
	// answerStartedAt is when the answer of the attempt under way started, zero before.
	answerStartedAt time.Time
	// diedAt is when an upstream last crashed while running the request, zero if none has.
	diedAt time.Time
	// sentOffset is Offset when the attempt under way was sent.
	sentOffset int64
	// charged reports whether the organisation's retry budget was charged for an attempt that has not certainly arrived yet.
	charged bool
	// SentAt is the time at which the attempt under way was sent.
	SentAt time.Time
	// Suspect reports whether an upstream crashed while running this content.
	Suspect bool
}

// Tokens returns the KV memory that the request needs, in tokens.
func (req *Request) Tokens() int64 {
	return req.PromptTokens + req.MaxTokens
}

// New returns the state of an instance that has received no events yet.
func New(opts Options) *State {
	st := &State{
		Options:        opts,
		Config:         &decl.Config{},
		Admit:          admit.New(),
		Route:          route.New(opts.FailureDomain, opts.Seed),
		Requests:       map[event.RequestID]*Request{},
		paths:          map[string]*paths.Path{},
		random:         rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		quarantine:     newQuarantine(),
		table:          newTable(&decl.Config{}),
		reasonCounters: map[reasonKey]string{},
	}
	st.excuseExplained()
	if opts.Peers {
		self := event.Instance{Name: opts.Name, FailureDomain: opts.FailureDomain}
		st.Member = member.New(self, opts.Incarnation, opts.Seed)
		if opts.Permits {
			st.permits = st.newPermitState(self)
		}
	}
	if opts.Policy != nil {
		st.Route.Policy = opts.Policy
	}
	return st
}

// baseline reports whether the instance runs a policy that exists only for comparison.
func (st *State) baseline() bool {
	_, lowestCost := st.Route.Policy.(route.LowestCost)
	return !lowestCost
}

// Reduce applies an event that occurs at the given time and returns the effects to perform. The slice is valid until the
// next call.
func (st *State) Reduce(now time.Time, ev event.Event) []effect.Effect {
	st.now = now
	st.effects = st.effects[:0]
	switch ev := ev.(type) {
	case event.Arrived:
		st.handleArrived(ev)
	case event.CallerGone:
		st.handleCallerGone(ev)
	case event.AnswerStarted:
		st.handleAnswerStarted(ev)
	case event.FellSilent:
		st.handleFellSilent(ev)
	case event.AttemptEnded:
		st.handleAttemptEnded(ev)
	case event.PathObserved:
		st.handlePathObserved(ev)
	case event.ForwardFailed:
		st.handleForwardFailed(ev)
	case event.ForwardTaken:
		st.fleet.Served(st.now, ev.Instance, ev.Service)
	case event.ClaimSettled:
		st.handleClaimSettled(ev)
	case event.PermitAnswered:
		st.handlePermitAnswered(ev)
	case event.LoadReported:
		st.markAlive(ev.Upstream, ev.At)
		st.Route.Report(st.now, ev)
	case event.CacheChanged:
		st.Route.CacheChanged(st.now, ev)
	case event.UpstreamsListed:
		st.Route.ApplyList(st.now, ev)
		st.regroupPools()
		st.reduceMembership(ev)
		st.dispatchAll()
	case event.UpstreamAnnounced:
		st.handleUpstreamAnnounced(ev)
	case event.InstancesListed:
		st.handleInstancesListed(ev)
	case event.ConfigAccepted:
		st.handleConfigAccepted(ev)
	case event.QuarantineReported:
		st.handleQuarantineReported(ev)
	case event.StoodStill:
		st.handleStoodStill(ev)
	case event.QuarantineReceived:
		st.handleQuarantineReceived(ev)
	case event.DemandReceived:
		st.handleDemandReceived(ev)
	case event.SharesReceived:
		st.Admit.ApplyShares(st.now, ev.Shares)
	case event.DrainAnnounced:
		st.handleDrainAnnounced(ev)
	case event.DrainStarted:
		st.Draining = true
		st.reduceMembership(ev)
	case event.PeerListening:
		st.handlePeerListening(ev)
	case event.ProbeReceived, event.ProbeAcked, event.GossipReceived:
		st.reduceMembership(ev)
	case event.PermitRequested, event.PermitDecided, event.PermitReturned, event.PermitRenewed, event.PermitStatusReceived:
		st.reducePermits(ev)
	case event.Ticked:
		st.reduceMembership(ev)
		st.reducePermits(ev)
		st.requestDelayedPermits()
		st.expire()
		st.ejectSlow()
		st.probeLostPaths()
		st.sendDemands()
		st.dispatchAll()
	}
	st.reviewCauses()
	st.reportDoubt()
	return st.effects
}

func (st *State) emit(eff effect.Effect) {
	st.effects = append(st.effects, eff)
}

func (st *State) handleConfigAccepted(ev event.ConfigAccepted) {
	if ev.Config.Version <= st.Config.Version {
		return
	}
	st.Config = ev.Config
	st.table = newTable(ev.Config)
	st.Route.Configure(ev.Config)
	st.dispatchAll()
}

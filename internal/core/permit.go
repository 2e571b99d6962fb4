package core

import (
	"slices"
	"strconv"
	"strings"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// permitState is an instance's state of the permits for long prompts: those of its own requests and those of the pools that
// it coordinates.
type permitState struct {
	coordinator *permit.Coordinator
	holder      *permit.Holder
	// pools holds the replicas of each pool, sorted by name.
	pools map[permit.Pool][]*route.Replica
	// delayed are the requests for which a permit is requested only after their NotBefore.
	delayed []event.RequestID
}

func (st *State) newPermitState(self event.Instance) *permitState {
	pm := &permitState{
		coordinator: permit.New(self.Name),
		holder:      permit.NewHolder(self, st.Options.Incarnation),
		pools:       map[permit.Pool][]*route.Replica{},
	}
	pm.coordinator.Engines = st.poolEngines
	pm.coordinator.HolderGone = st.holderGone
	pm.coordinator.HolderListed = st.holderListed
	pm.coordinator.Upstream = func(name string) (event.Upstream, bool) {
		rep, ok := st.Route.Replicas[name]
		if !ok {
			return event.Upstream{}, false
		}
		return rep.Upstream, true
	}
	return pm
}

// poolEngines returns the replicas of a pool that can take long prompts.
func (st *State) poolEngines(key permit.Pool) []permit.Engine {
	memory := st.Config.Services[key.Service].MemoryTokens
	var engines []permit.Engine
	for _, rep := range st.permits.pools[key] {
		if rep.Unlisted || rep.Upstream.Leaving || st.now.Before(rep.EjectedUntil) {
			continue
		}
		engine := permit.Engine{Upstream: rep.Upstream, Memory: memory, Queued: rep.Report.QueuedTokens}
		if reported := rep.Report.MemoryTokens; reported > 0 {
			engine.Memory = reported
		}
		engines = append(engines, engine)
	}
	return engines
}

// holderGone reports whether a run of an instance has ended: it was declared dead, or a later run has its name.
func (st *State) holderGone(name string, incarnation uint64) bool {
	if name == st.Options.Name {
		return incarnation < st.Options.Incarnation
	}
	mb, ok := st.Member.Members[name]
	return ok && (mb.State == event.StatusDead || mb.RestartedSince(incarnation))
}

// holderListed reports whether the membership knows the named instance.
func (st *State) holderListed(name string) bool {
	_, ok := st.Member.Members[name]
	return ok || name == st.Options.Name
}

// handlePeerListening records this instance's own peer address, so that it can coordinate pools and receive answers before
// the platform lists it.
func (st *State) handlePeerListening(ev event.PeerListening) {
	if st.Member != nil && st.Member.Self.Peer == "" {
		st.Member.Self.Peer = ev.Address
		st.Member.Changed = true
		st.reduceMembership(ev)
	}
}

func (st *State) regroupPools() {
	if st.permits == nil {
		return
	}
	clear(st.permits.pools)
	for _, rep := range st.Route.Replicas {
		key := permit.Pool{Service: rep.Upstream.Service, FailureDomain: rep.Upstream.FailureDomain}
		st.permits.pools[key] = append(st.permits.pools[key], rep)
	}
	for _, reps := range st.permits.pools {
		slices.SortFunc(reps, func(a, b *route.Replica) int { return strings.Compare(a.Upstream.Name, b.Upstream.Name) })
	}
}

// reducePermits passes an event to the coordinator and the holder of permits and applies the answers.
func (st *State) reducePermits(ev event.Event) {
	if st.permits == nil {
		return
	}
	st.effects = append(st.effects, st.permits.coordinator.Reduce(st.now, ev)...)
	effects, answers := st.permits.holder.Reduce(st.now, ev)
	st.effects = append(st.effects, effects...)
	for _, answer := range answers {
		st.handlePermitAnswered(answer)
	}
}

// updateCoordinators gives the permit holder the instances that may coordinate a pool. Suspected instances are left out, so
// that a pool gets another coordinator before its own is declared dead.
func (st *State) updateCoordinators() {
	if st.permits == nil {
		return
	}
	st.permits.holder.Self.Peer = st.Member.Self.Peer
	trusted := make([]event.Instance, 0, len(st.Instances))
	for _, inst := range st.Instances {
		if st.Member.Trusted(inst.Name) {
			trusted = append(trusted, inst)
		}
	}
	st.permits.holder.Instances = trusted
}

// RequestName returns the name of a request at upstreams and coordinators, unique over all runs of all instances.
func (opts Options) RequestName(id event.RequestID) string {
	if opts.NameRequest == nil {
		return opts.Name
	}
	return opts.NameRequest(id)
}

func (st *State) requestPermit(req *Request) {
	req.Phase = PhasePermit
	if st.permits == nil {
		st.emit(effect.RequestPermit{
			ID: req.ID, Service: req.Service, FailureDomain: st.Options.FailureDomain, Organisation: req.Organisation,
			Tokens: req.Tokens(), Class: req.Class.Name, Priority: req.Class.Priority, Deadline: req.Deadline,
		})
		return
	}
	if st.now.Before(req.NotBefore) {
		// The engine that refused the request for lack of room would refuse it again at once.
		st.permits.delayed = append(st.permits.delayed, req.ID)
		return
	}
	domains := st.poolDomains(req.Service)
	if len(domains) == 0 {
		st.finish(req, st.failureRefusal(req, effect.ReasonNoUpstream, "try again; no replica of the service is live"))
		return
	}
	req.requestedPermit = st.Options.RequestName(req.ID) + effect.PermitSeparator + strconv.Itoa(req.Attempt+1)
	pr := event.PermitRequested{
		Request:      req.requestedPermit,
		Service:      req.Service,
		Organisation: req.Organisation,
		Weight:       st.Config.Organisations[req.Organisation].ShareWeight(),
		Tokens:       req.Tokens(),
		Class:        req.Class.Name,
		Priority:     req.Class.Priority,
		Wait:         req.Deadline.Sub(st.now),
		Waited:       st.now.Sub(req.At),
	}
	st.effects = append(st.effects, st.permits.holder.Request(st.now, req.ID, pr, domains)...)
}

// requestDelayedPermits requests permits for the delayed requests. A request whose pause is not over is delayed again, and
// one whose state has changed since is skipped.
func (st *State) requestDelayedPermits() {
	if st.permits == nil || len(st.permits.delayed) == 0 {
		return
	}
	waiting := st.permits.delayed
	st.permits.delayed = nil
	for _, id := range waiting {
		if req, ok := st.Requests[id]; ok && req.Phase == PhasePermit && req.requestedPermit == "" {
			st.requestPermit(req)
		}
	}
}

// poolDomains returns the failure domains that have replicas of the service, this instance's own first.
func (st *State) poolDomains(service string) []string {
	var domains []string
	for key, reps := range st.permits.pools {
		if key.Service == service && len(reps) > 0 {
			domains = append(domains, key.FailureDomain)
		}
	}
	slices.SortFunc(domains, func(a, b string) int {
		switch st.Options.FailureDomain {
		case a:
			return -1
		case b:
			return 1
		}
		return strings.Compare(a, b)
	})
	return domains
}

func (st *State) handlePermitAnswered(ev event.PermitAnswered) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhasePermit {
		st.releaseLateGrant(ev)
		return
	}
	if ev.Lost {
		st.continueWithoutPermit(req)
		return
	}
	if !ev.Granted {
		st.finish(req, st.failureRefusal(req, effect.ReasonOverloaded, "send it again later; the long prompts ahead fill the engines"))
		return
	}
	req.Permit = ev.Permit
	upstreams := make([]event.Upstream, 0, len(ev.Upstreams))
	for _, name := range ev.Upstreams {
		if rep, ok := st.Route.Replicas[name]; ok {
			upstreams = append(upstreams, rep.Upstream)
		}
	}
	if len(upstreams) != len(ev.Upstreams) {
		st.releasePermit(req)
		st.finish(req, st.failureRefusal(req, effect.ReasonNoUpstream, "send it again; a granted engine has left"))
		return
	}
	if refusal := st.quarantineRefusal(req); refusal != nil {
		st.releasePermit(req)
		st.finish(req, refusal)
		return
	}
	st.send(req, upstreams)
}

// continueWithoutPermit handles a request whose coordinator cannot be reached. A request that fits one engine is queued like
// a short prompt, since the engine itself refuses what it has no room for. One that needs several engines is refused:
// without permits two prompts could each hold some of the engines that the other needs.
func (st *State) continueWithoutPermit(req *Request) {
	req.requestedPermit = ""
	if !st.needsSeveralEngines(req) {
		st.count("Permits.Lost")
		st.queueForReplica(req)
		return
	}
	st.finish(req, st.failureRefusal(req, effect.ReasonOverloaded, "send it again; no instance that reserves several engines can be reached"))
}

// releaseLateGrant releases a permit that was granted after its request had ended.
func (st *State) releaseLateGrant(ev event.PermitAnswered) {
	if !ev.Granted {
		return
	}
	if st.permits == nil {
		st.emit(effect.ReleasePermit{ID: ev.ID, Permit: ev.Permit})
		return
	}
	st.effects = append(st.effects, st.permits.holder.Release(st.now, ev.Permit)...)
}

// releasePermit releases the request's reservation or its place in the coordinator's queue.
func (st *State) releasePermit(req *Request) {
	if st.permits != nil && req.requestedPermit != "" {
		st.effects = append(st.effects, st.permits.holder.Release(st.now, req.requestedPermit)...)
	}
	req.requestedPermit = ""
	if st.permits == nil && req.Permit != "" {
		st.emit(effect.ReleasePermit{
			ID: req.ID, Service: req.Service, FailureDomain: st.Options.FailureDomain, Permit: req.Permit,
		})
	}
	req.Permit = ""
}

// needsSeveralEngines reports whether the request is larger than one engine's memory.
func (st *State) needsSeveralEngines(req *Request) bool {
	svc := st.Config.Services[req.Service]
	return svc.Kind == decl.KindModel && svc.MemoryTokens > 0 && req.Tokens() > svc.MemoryTokens
}

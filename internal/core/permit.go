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

// permits is what an instance keeps for the long prompts: its own and those of the pools that it coordinates.
type permits struct {
	coordinator *permit.Coordinator
	holder      *permit.Holder
	// pools holds the replicas of each pool in the order of their names.
	pools map[permit.Pool][]*route.Replica
	// delayed are requests that ask again after a pause.
	delayed []event.RequestID
}

func (st *State) newPermits(self event.Instance) *permits {
	pm := &permits{
		coordinator: permit.New(self.Name),
		holder:      permit.NewHolder(self, st.Options.Incarnation),
		pools:       map[permit.Pool][]*route.Replica{},
	}
	pm.coordinator.Engines = st.poolEngines
	pm.coordinator.Gone = st.holderGone
	pm.coordinator.Listed = st.holderListed
	pm.coordinator.Upstream = func(name string) (event.Upstream, bool) {
		rep, ok := st.Route.Replicas[name]
		if !ok {
			return event.Upstream{}, false
		}
		return rep.Upstream, true
	}
	return pm
}

// poolEngines returns the replicas of a pool that may take long prompts.
func (st *State) poolEngines(key permit.Pool) []permit.Engine {
	memory := st.Config.Services[key.Service].MemoryTokens
	var engines []permit.Engine
	for _, rep := range st.permits.pools[key] {
		if rep.Gone || rep.Upstream.Leaving || st.now.Before(rep.EjectedUntil) {
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

// holderGone tells that a run of an instance is over: it was declared dead, or another run has its name.
func (st *State) holderGone(name string, incarnation uint64) bool {
	if name == st.Options.Name {
		return incarnation < st.Options.Incarnation
	}
	mb, ok := st.Member.Members[name]
	return ok && (mb.State == event.WordDead || mb.After(incarnation))
}

func (st *State) holderListed(name string) bool {
	_, ok := st.Member.Members[name]
	return ok || name == st.Options.Name
}

// peerOpened takes the address at which this instance hears its peers. It coordinates and is answered by it before the
// platform lists it.
func (st *State) peerOpened(ev event.PeerOpened) {
	if st.Member != nil && st.Member.Self.Peer == "" {
		st.Member.Self.Peer = ev.Address
		st.Member.Changed = true
		st.followMembers(ev)
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
		slices.SortFunc(reps, func(one, two *route.Replica) int { return strings.Compare(one.Upstream.Name, two.Upstream.Name) })
	}
}

// followPermits hands the permits their events.
func (st *State) followPermits(ev event.Event) {
	if st.permits == nil {
		return
	}
	st.effects = append(st.effects, st.permits.coordinator.Reduce(st.now, ev)...)
	effects, answers := st.permits.holder.Reduce(st.now, ev)
	st.effects = append(st.effects, effects...)
	for _, answer := range answers {
		st.permitAnswered(answer)
	}
}

// coordinatorsChanged tells the holder who may coordinate. A suspected instance does not, so that a pool moves before
// its coordinator is declared dead.
func (st *State) coordinatorsChanged() {
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

// RequestName is a request's name towards upstreams and coordinators, unique over all runs of all instances.
func (opts Options) RequestName(id event.RequestID) string {
	if opts.NameRequest == nil {
		return opts.Name
	}
	return opts.NameRequest(id)
}

func (st *State) askPermit(req *Request) {
	req.Phase = PhasePermit
	if st.permits == nil {
		st.emit(effect.AskPermit{
			ID: req.ID, Service: req.Service, FailureDomain: st.Options.FailureDomain, Organisation: req.Organisation,
			Tokens: req.Tokens(), Class: req.Class.Name, Priority: req.Class.Priority, Deadline: req.Deadline,
		})
		return
	}
	if st.now.Before(req.NotBefore) {
		// An engine that has no room now would refuse it again at once.
		st.permits.delayed = append(st.permits.delayed, req.ID)
		return
	}
	domains := st.poolDomains(req.Service)
	if len(domains) == 0 {
		st.finish(req, st.ended(req, effect.ReasonNoUpstream, "try again; no replica of the service is live"))
		return
	}
	req.asked = st.Options.RequestName(req.ID) + effect.PermitMark + strconv.Itoa(req.Attempt+1)
	ask := event.PermitAsked{
		Request:      req.asked,
		Service:      req.Service,
		Organisation: req.Organisation,
		Weight:       st.Config.Organisations[req.Organisation].ShareWeight(),
		Tokens:       req.Tokens(),
		Class:        req.Class.Name,
		Priority:     req.Class.Priority,
		Wait:         req.Deadline.Sub(st.now),
		Waited:       st.now.Sub(req.At),
	}
	st.effects = append(st.effects, st.permits.holder.Ask(st.now, req.ID, ask, domains)...)
}

// askDelayed asks for the requests whose pause is over. Their state may have changed since.
func (st *State) askDelayed() {
	if st.permits == nil || len(st.permits.delayed) == 0 {
		return
	}
	waiting := st.permits.delayed
	st.permits.delayed = nil
	for _, id := range waiting {
		if req, ok := st.Requests[id]; ok && req.Phase == PhasePermit && req.asked == "" {
			st.askPermit(req)
		}
	}
}

// poolDomains returns the failure domains that have replicas of the service, the own one first.
func (st *State) poolDomains(service string) []string {
	var domains []string
	for key, reps := range st.permits.pools {
		if key.Service == service && len(reps) > 0 {
			domains = append(domains, key.FailureDomain)
		}
	}
	slices.SortFunc(domains, func(one, two string) int {
		switch st.Options.FailureDomain {
		case one:
			return -1
		case two:
			return 1
		}
		return strings.Compare(one, two)
	})
	return domains
}

func (st *State) permitAnswered(ev event.PermitAnswered) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhasePermit {
		st.returnPermit(ev)
		return
	}
	if ev.Lost {
		st.permitLost(req)
		return
	}
	if !ev.Granted {
		st.finish(req, st.ended(req, effect.ReasonBusy, "send it again later; the long prompts ahead fill the engines"))
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
		st.finish(req, st.ended(req, effect.ReasonNoUpstream, "send it again; a granted engine has left"))
		return
	}
	st.send(req, upstreams)
}

// permitLost goes on without a coordinator: what fits one engine goes as a short prompt, since the engine itself refuses
// what it has no room for, and what needs several is refused, as without a permit two prompts could each hold a part
// of the engines that the other needs.
func (st *State) permitLost(req *Request) {
	req.asked = ""
	if !st.needsSeveral(req) {
		st.count("Permits.Lost")
		st.queue(req)
		return
	}
	st.finish(req, st.ended(req, effect.ReasonBusy, "send it again; no instance that reserves several engines can be reached"))
}

// returnPermit gives back a grant that came after its request had ended.
func (st *State) returnPermit(ev event.PermitAnswered) {
	if !ev.Granted {
		return
	}
	if st.permits == nil {
		st.emit(effect.ReleasePermit{ID: ev.ID, Permit: ev.Permit})
		return
	}
	st.effects = append(st.effects, st.permits.holder.Release(st.now, ev.Permit)...)
}

// releasePermit gives back the request's reservation or its place in the coordinator's queue.
func (st *State) releasePermit(req *Request) {
	if st.permits != nil && req.asked != "" {
		st.effects = append(st.effects, st.permits.holder.Release(st.now, req.asked)...)
	}
	req.asked = ""
	if st.permits == nil && req.Permit != "" {
		st.emit(effect.ReleasePermit{
			ID: req.ID, Service: req.Service, FailureDomain: st.Options.FailureDomain, Permit: req.Permit,
		})
	}
	req.Permit = ""
}

// needsSeveral tells that one engine's memory does not hold the request.
func (st *State) needsSeveral(req *Request) bool {
	svc := st.Config.Services[req.Service]
	return svc.Kind == decl.KindModel && svc.MemoryTokens > 0 && req.Tokens() > svc.MemoryTokens
}

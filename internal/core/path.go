package core

import (
	"slices"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/paths"
)

// Lost paths. Load pattern: some instances lose their links to all upstreams of a service for seconds, while callers and the
// other instances reach them. Package paths decides when a path is lost. Meanwhile requests of which nothing was sent are passed on,
// as they came, to another instance, which admits, limits and claims them itself.

// noPathRetryAfter is how long callers should wait whose request no instance can send: paths are probed more often.
const noPathRetryAfter = time.Second

func (st *State) pathOf(service string) *paths.Path {
	pa, ok := st.paths[service]
	if !ok {
		pa = &paths.Path{}
		st.paths[service] = pa
	}
	return pa
}

// upstreamNames returns the names of the service's listed upstreams.
func (st *State) upstreamNames(service string) []string {
	var names []string
	for _, rep := range st.Route.Services[service] {
		if !rep.Upstream.Leaving {
			names = append(names, rep.Upstream.Name)
		}
	}
	return names
}

// observedPath returns the path to the service after updating the failure domains of its upstreams from the current list.
func (st *State) observedPath(service string) *paths.Path {
	pa := st.pathOf(service)
	domains := map[string]string{}
	for _, rep := range st.Route.Services[service] {
		if !rep.Upstream.Leaving {
			domains[rep.Upstream.Name] = rep.Upstream.FailureDomain
		}
	}
	pa.SetDomains(domains)
	return pa
}

// witness returns the address of an upstream of the service that is not among those of the attempt and not known to be dead, empty if
// there is none.
func (st *State) witness(service string, attempted []event.Upstream) string {
	for _, rep := range st.Route.Services[service] {
		_, dead := st.quarantine.deadSince[rep.Upstream.Name]
		if !dead && !rep.Upstream.Leaving && addressOf(attempted, rep.Upstream.Name) == "" {
			return rep.Upstream.Address
		}
	}
	return ""
}

// lostPath records an attempt that did not reach its upstream and reports whether that is put down to this instance's own path.
func (st *State) lostPath(req *Request, ev event.AttemptEnded) bool {
	return ev.Result == event.ResultNotSent && st.unreached(req.Service, ev.Upstream)
}

// unreached records that a new connection to the upstream failed, and reports whether the path to the service is lost.
func (st *State) unreached(service, upstream string) bool {
	pa := st.observedPath(service)
	if !pa.Failed(st.now, upstream, len(st.upstreamNames(service)), false) {
		if pa.Lost() {
			return true
		}
		st.reviewOutages(service, pa)
		if names, ok := pa.Witnesses(st.now, st.random, upstream); ok && !pa.Down(upstream) {
			st.probeUpstreams(names)
		}
		return false
	}
	if len(st.forwardPeers()) == 0 {
		pa.GiveUp(st.now)
		return false
	}
	st.emit(effect.CountAndLog{Counter: "Paths.Lost", LogMessage: "path lost: requests go through other instances", Subject: service})
	st.probe(service, pa)
	return true
}

func (st *State) handlePathObserved(ev event.PathObserved) {
	for service, reps := range st.Route.Services {
		for _, rep := range reps {
			if rep.Upstream.Address != ev.Address {
				continue
			}
			if !ev.Reached {
				st.unreached(service, rep.Upstream.Name)
				return
			}
			pa := st.observedPath(service)
			if pa.Reached(st.now, rep.Upstream.Name, st.upstreamNames(service)) {
				st.emit(effect.CountAndLog{Counter: "Paths.Regained", LogMessage: "path regained", Subject: service})
			}
			st.probe(service, pa)
			st.reviewOutages(service, pa)
			return
		}
	}
}

// probeLostPaths probes the upstreams of the services whose paths are lost, where a probe is due, and drops what is out of date. An instance
// that shuts down probes nothing.
func (st *State) probeLostPaths() {
	st.fleet.DropExpired(st.now)
	for service, pa := range st.paths {
		st.probe(service, pa)
		st.reviewOutages(service, pa)
	}
}

// reviewOutages logs the failure domains of the service that began or ceased to count as down, and sends the probes that are due to
// those that are down.
func (st *State) reviewOutages(service string, pa *paths.Path) {
	began, ended := pa.OutageChanges()
	for _, domain := range began {
		st.emit(effect.CountAndLog{Counter: "Paths.DomainsDown", LogMessage: "upstreams of the failure domain " + strconv.Quote(domain) + " are down", Subject: service})
	}
	for _, domain := range ended {
		st.emit(effect.CountAndLog{Counter: "Paths.DomainsUp", LogMessage: "upstreams of the failure domain " + strconv.Quote(domain) + " are reached again", Subject: service})
	}
	if !st.Draining {
		st.probeUpstreams(pa.OutageProbes(st.now, st.random))
	}
}

func (st *State) probe(service string, pa *paths.Path) {
	if !pa.Lost() || st.Draining {
		return
	}
	st.probeUpstreams(pa.Probes(st.now, st.upstreamNames(service)))
}

// probeUpstreams probes those of the upstreams that are still listed.
func (st *State) probeUpstreams(names []string) {
	var addresses []string
	for _, name := range names {
		if rep, ok := st.Route.Replicas[name]; ok {
			addresses = append(addresses, rep.Upstream.Address)
		}
	}
	if len(addresses) > 0 {
		st.emit(effect.ProbePaths{Addresses: addresses})
	}
}

// forwardPeers returns the instances that may take requests.
func (st *State) forwardPeers() []paths.Peer {
	var peers []paths.Peer
	if !st.Options.Forward {
		return nil
	}
	for _, inst := range st.Instances {
		if inst.Name != st.Options.Name && !inst.Leaving && inst.Address != "" {
			peers = append(peers, paths.Peer{Name: inst.Name, Near: inst.FailureDomain == st.Options.FailureDomain})
		}
	}
	return peers
}

// forwardTarget returns an instance that may take a request for the service.
func (st *State) forwardTarget(service string) (event.Instance, bool) {
	choice := st.fleet.Choose(st.now, st.random, service, st.forwardPeers())
	number := slices.IndexFunc(st.Instances, func(inst event.Instance) bool { return inst.Name == choice.Peer })
	if number < 0 {
		return event.Instance{}, false
	}
	return st.Instances[number], true
}

// forwardArrived passes an arriving request on if the path to its service is lost, or refuses it if it was passed on already. It reports
// whether it did either.
func (st *State) forwardArrived(ev event.Arrived) bool {
	pa, ok := st.paths[ev.Service]
	if !ok || !pa.Lost() {
		return false
	}
	if ev.Forwarded {
		st.refuseNoPath(ev.ID, "send it again; another instance will take it")
		return true
	}
	to, ok := st.forwardTarget(ev.Service)
	if !ok {
		st.refuseNoPath(ev.ID, "send it again later; no instance reaches the service's upstreams")
		return true
	}
	st.forward(ev.ID, to)
	return true
}

// refuseNoPath refuses a request that arrives while the path to its service is lost.
func (st *State) refuseNoPath(id event.RequestID, remedy string) {
	refusal := notRunRefusal(effect.ReasonNoPath, noPathRetryAfter, remedy)
	st.countReason("Requests.Refused.", refusal.Reason)
	st.emit(effect.Finish{ID: id, Refusal: refusal})
}

// forwardUnsent passes a request on of which certainly nothing was sent, if its attempt has failed because the path is lost.
func (st *State) forwardUnsent(req *Request, ev event.AttemptEnded) bool {
	pa, ok := st.paths[req.Service]
	if !ok || !pa.Lost() || ev.Result != event.ResultNotSent || req.MayHaveRun || req.Claimed || req.Forwarded || req.Gone {
		return false
	}
	to, ok := st.forwardTarget(req.Service)
	if !ok {
		st.finish(req, notRunRefusal(effect.ReasonNoPath, noPathRetryAfter, "send it again later; no instance reaches the service's upstreams"))
		return true
	}
	st.release(req)
	st.forward(req.ID, to)
	return true
}

func (st *State) forward(id event.RequestID, to event.Instance) {
	st.emit(effect.CountAndLog{Counter: "Requests.Forwarded"})
	st.emit(effect.Forward{ID: id, To: to})
}

// handleForwardFailed records why the instance took no request.
func (st *State) handleForwardFailed(ev event.ForwardFailed) {
	if ev.NoPath {
		st.fleet.Refused(st.now, ev.Instance, ev.Service, false)
	} else {
		st.fleet.Unreached(st.now, ev.Instance, ev.Service)
	}
	st.emit(effect.CountAndLog{Counter: "Forwards.Failed", LogMessage: "another instance did not take a request for " + strconv.Quote(ev.Service), Subject: ev.Instance})
}

// reportDoubt states whether new connections matter, if that has changed.
func (st *State) reportDoubt() {
	doubt := false
	for _, pa := range st.paths {
		doubt = doubt || pa.Observed()
	}
	if doubt != st.pathsInDoubt {
		st.pathsInDoubt = doubt
		st.emit(effect.PathsInDoubt{InDoubt: doubt})
	}
}

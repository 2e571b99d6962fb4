package core

import (
	"maps"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// heldBackoff is how long a request waits after an attempt was held back.
const heldBackoff = 5 * time.Millisecond

// handleUpstreamAnnounced applies what an upstream announces: that it leaves, which the membership passes on to the other
// instances, or that it wants rest from this one. Requests that no other replica can answer in time are refused at once.
func (st *State) handleUpstreamAnnounced(ev event.UpstreamAnnounced) {
	rep, ok := st.Route.Replicas[ev.Upstream]
	if !ok || rep.Upstream.Address != ev.Address {
		return
	}
	if ev.Leaving {
		st.Route.MarkLeaving(rep)
		st.reduceMembership(ev)
	}
	if !ev.RestUntil.IsZero() {
		st.Route.Rest(st.now, rep, ev.RestUntil)
	}
	st.refuseUnserved(rep.Upstream.Service)
	st.dispatch(rep.Upstream.Service)
}

// refuseUnserved refuses the waiting requests of the service that no replica will accept in time.
func (st *State) refuseUnserved(service string) {
	if _, resting := st.Route.RestingUntil(st.now, service); st.Route.Serves(service) && !resting {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(st.Requests)) {
		req := st.Requests[id]
		if req.Service != service || req.Phase != PhaseQueued {
			continue
		}
		if failure := st.unservedFailure(req); failure != nil {
			st.finish(req, failure)
		}
	}
}

// unservedFailure is like unserved for an admitted request, which may have run. A request whose answer has begun waits on, and
// so does any request while no replica is listed: those that crashed may be back in a moment.
func (st *State) unservedFailure(req *Request) *effect.Refusal {
	if req.Answered || !st.Route.Listed(req.Service) {
		return nil
	}
	refusal := st.unserved(req.Arrived, req.level)
	if refusal == nil {
		return nil
	}
	failure := st.failureRefusal(req, refusal.Reason, refusal.Remedy)
	failure.RetryAfter = refusal.RetryAfter
	return failure
}

// unserved returns a refusal if no replica of the request's service is live, or if all that are live rest for longer than the
// request can wait.
func (st *State) unserved(ev event.Arrived, level int) *effect.Refusal {
	if !st.Route.Serves(ev.Service) {
		return notRunRefusal(effect.ReasonNoUpstream, time.Second, "try again; no replica of the service is live")
	}
	until, resting := st.Route.RestingUntil(st.now, ev.Service)
	if resting && until.Add(st.minServeTime(ev, level)).After(ev.Deadline) {
		return notRunRefusal(effect.ReasonOverloaded, until.Sub(st.now), "send it again later; all replicas of the service have asked for rest")
	}
	return nil
}

package core

import (
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
)

func (st *State) pumpAll() {
	for service := range st.Config.Services {
		st.pump(service)
	}
}

func (st *State) pump(service string) {
	for {
		it := st.Admit.Head(st.now, service)
		if it == nil {
			return
		}
		req := st.Requests[it.ID]
		if st.now.Before(req.NotBefore) {
			return
		}
		rep := st.Route.Pick(st.now, st.want(req))
		if rep == nil {
			return
		}
		st.Admit.Remove(service, it.ID)
		st.send(req, []event.Upstream{rep.Upstream})
	}
}

func (st *State) want(req *Request) route.Want {
	return route.Want{
		Service:    req.Service,
		Tokens:     req.Tokens(),
		MaxRunning: st.service(req).MaxRunning,
		Tried:      req.Tried,
		Prefixes:   req.Prefixes,
	}
}

func (st *State) send(req *Request, upstreams []event.Upstream) {
	req.Phase = PhaseRunning
	req.Attempt++
	req.Upstreams = upstreams
	req.Aborted = false
	for _, up := range upstreams {
		st.Route.Sent(up.Name, req.Tokens())
	}
	st.emit(effect.Send{
		ID:        req.ID,
		Attempt:   req.Attempt,
		Upstreams: upstreams,
		Offset:    req.Offset,
		Priority:  st.priority(req),
		Permit:    req.Permit,
		Fresh:     !st.repeatable(req) || req.Attempt > 1,
		Deadline:  req.Deadline,
		Silence:   st.service(req).ProgressTimeout.Std(),
	})
}

func (st *State) answering(ev event.Answering) {
	if req, ok := st.Requests[ev.ID]; ok && ev.Attempt == req.Attempt {
		req.Answered = true
	}
}

// priority is what the engine is told; the baselines tell it nothing.
func (st *State) priority(req *Request) int {
	if st.baseline() {
		return 0
	}
	return req.Class.Priority
}

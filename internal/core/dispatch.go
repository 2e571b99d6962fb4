package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func (st *State) pumpAll() {
	for service := range st.Config.Services {
		st.pump(service)
	}
}

// pump sends waiting requests of the service for as long as a replica has room.
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
	avoid := req.Tried
	if req.Suspect = st.isSuspect(req); req.Suspect {
		avoid = append(st.suspected(req), req.Tried...)
	}
	return route.Want{
		Service:    req.Service,
		Tokens:     req.Tokens(),
		MaxRunning: st.service(req).MaxRunning,
		Tried:      avoid,
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

		FirstSilence: st.firstSilence(req, upstreams),
	})
}

// prefillSlack is how many times its estimate a prefill may take before the engine counts as silent.
const prefillSlack = 3

// firstSilence allows an engine that sends no heartbeats the time to prefill the prompt and what is queued before it. A
// prompt of a million tokens takes far longer than the ProgressTimeout, and to call it silent would start it over.
func (st *State) firstSilence(req *Request, upstreams []event.Upstream) time.Duration {
	svc := st.service(req)
	if svc.Kind != decl.KindModel {
		return 0
	}
	tokens := req.PromptTokens
	for _, up := range upstreams {
		if rep, ok := st.Route.Replicas[up.Name]; ok {
			tokens += rep.Report.QueuedTokens + rep.Tokens
		}
	}
	seconds := prefillSlack * float64(tokens) / svc.PrefillTokensPerSecond
	return svc.ProgressTimeout.Std() + time.Duration(seconds*float64(time.Second))
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

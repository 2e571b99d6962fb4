package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// pumpAll sends what waits and has a replica by now.
func (st *State) pumpAll() {
	for _, service := range st.Admit.Backlogged() {
		st.pump(service)
	}
}

// pump sends waiting requests of the service for as long as one of its classes finds a replica with room.
func (st *State) pump(service string) {
	for st.sendNext(service) {
	}
	st.Admit.Blocked(st.now, service)
}

func (st *State) sendNext(service string) bool {
	for _, it := range st.Admit.Heads(st.now, service) {
		req := st.Requests[it.ID]
		if st.hopeless(req) {
			st.finish(req, st.ended(req, effect.ReasonDeadline, "allow more time in the deadline header, or send it again later"))
			return true
		}
		want := st.want(req)
		want.Queued = st.now.Sub(req.At) > queuedAfter
		rep := st.Route.Pick(st.now, &want)
		if rep == nil {
			continue
		}
		st.Admit.Take(it)
		st.send(req, []event.Upstream{rep.Upstream})
		return true
	}
	return false
}

// queuedAfter is how long a request must have waited for having found no replica at its arrival.
const queuedAfter = 2 * event.TickPeriod

func (st *State) want(req *Request) route.Want {
	want := st.load(req)
	want.Tried = req.Tried
	if req.Suspect = st.isSuspect(req); req.Suspect {
		want.Tried = append(st.suspected(req), req.Tried...)
	}
	return want
}

// load is what the request asks of a replica, without the replicas to avoid.
func (st *State) load(req *Request) route.Want {
	return route.Want{
		ID:         req.ID,
		Service:    req.Service,
		Model:      req.Model,
		Prompt:     req.PromptTokens,
		Answer:     req.MaxTokens,
		Level:      req.level,
		Above:      req.above,
		Repeatable: st.repeatable(req),
		Prefixes:   req.Prefixes,
	}
}

func (st *State) send(req *Request, upstreams []event.Upstream) {
	req.Phase = PhaseRunning
	req.Attempt++
	req.SentAt = st.now
	req.Upstreams = upstreams
	req.Aborted = false
	load := st.load(req)
	// Several engines share the prompt in equal parts.
	load.Prompt = (load.Prompt + int64(len(upstreams)) - 1) / int64(len(upstreams))
	for _, up := range upstreams {
		st.Route.Sent(st.now, up.Name, &load)
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
	req, ok := st.Requests[ev.ID]
	if !ok || ev.Attempt != req.Attempt {
		return
	}
	req.Answered = true
	for _, up := range req.Upstreams {
		st.Route.Answering(st.now, up.Name, req.ID)
		st.showedLife(up.Name, st.now)
	}
}

// priority is what the engine is told: the class's own, not raised by age, since a long prefill that has waited would
// otherwise hold up every short prompt of its engine. The baselines tell it nothing.
func (st *State) priority(req *Request) int {
	if st.baseline() {
		return 0
	}
	return req.Class.Priority
}

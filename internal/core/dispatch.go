package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// dispatchAll sends the waiting requests of all services for which a replica has room.
func (st *State) dispatchAll() {
	for _, service := range st.Admit.Backlogged() {
		st.dispatch(service)
	}
}

// dispatch sends waiting requests of the service until none of the heads of its queue finds a replica with room. It sends none
// while the instance catches up after it has stood still.
func (st *State) dispatch(service string) {
	if st.catchingUp() {
		return
	}
	for st.dispatchNext(service) {
	}
	st.Admit.MarkBlocked(st.now, service)
}

// dispatchNext goes through the heads of the service's queue in the order of preference, up to the first one that it can end,
// send or put off: it ends one that can no longer meet its deadline, ends or puts off one because of deaths under its content,
// and sends one that finds a replica with room. It reports whether there was one.
func (st *State) dispatchNext(service string) bool {
	for _, it := range st.Admit.Heads(st.now, service) {
		req := st.Requests[it.ID]
		if st.cannotMeetDeadline(req) {
			st.finish(req, st.failureRefusal(req, effect.ReasonDeadline, "allow more time in the deadline header, or send it again later"))
			return true
		}
		if st.heldByDeaths(req) {
			return true
		}
		if req.charged && !st.Admit.RetryStillAllowed(st.now, req.Organisation) {
			st.finish(req, st.failureRefusal(req, effect.ReasonBudget, "send it again later"))
			return true
		}
		pc := st.pickCriteria(req)
		pc.Queued = st.now.Sub(req.At) > queuedAfter
		rep := st.Route.Pick(st.now, &pc)
		if rep == nil {
			continue
		}
		st.Admit.Take(it)
		st.send(req, []event.Upstream{rep.Upstream})
		return true
	}
	return false
}

// queuedAfter is the waiting time after which a request counts as Queued in its PickCriteria: no replica had room for it when
// it arrived.
const queuedAfter = 2 * event.TickPeriod

// pickCriteria returns what the request needs of a replica and, in Tried, the replicas to avoid: those at which it failed
// and, if it is suspect, those that run other suspects.
func (st *State) pickCriteria(req *Request) route.PickCriteria {
	pc := st.requestLoad(req)
	pc.Tried = req.Tried
	if req.Suspect = st.isSuspect(req); req.Suspect {
		pc.Tried = append(st.suspectReplicas(req), req.Tried...)
	}
	return pc
}

// requestLoad returns what the request needs of a replica, without the replicas to avoid.
func (st *State) requestLoad(req *Request) route.PickCriteria {
	return route.PickCriteria{
		ID:            req.ID,
		Service:       req.Service,
		Model:         req.Model,
		Prompt:        req.PromptTokens,
		Answer:        req.MaxTokens,
		Level:         req.level,
		HigherClasses: req.higherClasses,
		Repeatable:    st.repeatable(req),
		Prefixes:      req.Prefixes,
	}
}

func (st *State) send(req *Request, upstreams []event.Upstream) {
	req.Phase = PhaseRunning
	req.Attempt++
	req.SentAt = st.now
	req.Upstreams = upstreams
	req.Aborted, req.resumes, req.silent = false, false, false
	req.answerStartedAt, req.sentOffset = time.Time{}, req.Offset
	load := st.requestLoad(req)
	// If there are several upstreams, each prefills an equal part of the prompt.
	load.Prompt = (load.Prompt + int64(len(upstreams)) - 1) / int64(len(upstreams))
	for _, up := range upstreams {
		st.Route.RecordSent(st.now, up.Name, &load)
	}
	st.emit(effect.Send{
		ID:              req.ID,
		Attempt:         req.Attempt,
		Upstreams:       upstreams,
		Offset:          req.Offset,
		Priority:        st.priority(req),
		Permit:          req.Permit,
		NewConnection:   !st.repeatable(req) || req.Attempt > 1,
		Deadline:        req.Deadline,
		ProgressTimeout: st.service(req).ProgressTimeout.Std(),

		FirstProgressTimeout: st.firstProgressTimeout(req, upstreams),
		Witness:              st.witness(req.Service, upstreams),
	})
}

// prefillSlack is how many times its estimated time a prefill may take before the silence of the engine is reported.
const prefillSlack = 3

// firstProgressTimeout returns the timeout for the first byte of the answer, 0 for plain services. It covers the prefill of
// the prompt and of what is queued ahead of it, since an engine may send no heartbeats during a prefill: a prompt of a
// million tokens takes far longer than the ProgressTimeout, and a timeout would start its prefill over.
func (st *State) firstProgressTimeout(req *Request, upstreams []event.Upstream) time.Duration {
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

func (st *State) handleAnswerStarted(ev event.AnswerStarted) {
	req, ok := st.Requests[ev.ID]
	if !ok || ev.Attempt != req.Attempt {
		return
	}
	req.Answered = true
	req.answerStartedAt = st.now
	st.settleRetry(req)
	for _, up := range req.Upstreams {
		st.Route.RecordFirstToken(st.now, up.Name, req.ID)
		st.markAlive(up.Name, st.now)
	}
}

// priority returns the priority that is sent to the engine: that of the class, not raised by age, since a long prefill that
// has waited would otherwise delay every short prompt of its engine. It is always 0 under the baseline policies.
func (st *State) priority(req *Request) int {
	if st.baseline() {
		return 0
	}
	return req.Class.Priority
}

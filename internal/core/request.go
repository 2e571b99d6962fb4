package core

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Retries of one request.
const (
	// maxAttempts bounds the attempts, resumptions included.
	maxAttempts = 6
	// retryPause is the wait after an upstream's refusal that names no time.
	retryPause = 50 * time.Millisecond
	// maxRetryPause caps what an upstream may ask for.
	maxRetryPause = time.Second
)

func (st *State) arrived(ev event.Arrived) {
	if refusal := st.checkArrived(ev); refusal != nil {
		st.count("Requests.Refused." + string(refusal.Reason))
		st.emit(effect.Finish{ID: ev.ID, Refusal: refusal})
		return
	}
	class, _ := st.Config.ClassOf(ev.PromptTokens)
	req := &Request{Arrived: ev, Class: class, At: st.now}
	st.Requests[ev.ID] = req
	st.deadlines.push(ev.Deadline, ev.ID)
	st.count("Requests.Admitted")
	if st.needsClaim(req) {
		req.Phase = PhaseClaiming
		st.emit(effect.Claim{
			ID:           ev.ID,
			Organisation: ev.Organisation,
			Service:      ev.Service,
			Key:          ev.Key,
			Digest:       ev.Digest,
			Deadline:     ev.Deadline,
		})
		return
	}
	st.enqueue(req)
}

// checkArrived takes the request into its organisation's limits as its last step, so that a refusal holds nothing.
func (st *State) checkArrived(ev event.Arrived) *effect.Refusal {
	if st.Draining {
		return notRun(effect.ReasonDraining, time.Second, "send the request again; another instance will take it")
	}
	if !st.now.Before(ev.Deadline) {
		return notRun(effect.ReasonDeadline, 0, "give the request a deadline in the future")
	}
	if _, ok := st.Config.Services[ev.Service]; !ok {
		return notRun(effect.ReasonUnknownModel, 0, "name a model that GET /v1/models lists")
	}
	if _, ok := st.Config.ClassOf(ev.PromptTokens); !ok {
		return notRun(effect.ReasonTooLong, 0, "shorten the prompt to what the longest length class allows")
	}
	if refusal := st.checkQuarantine(ev.Digest); refusal != nil {
		return refusal
	}
	if !st.Route.Serves(ev.Service) {
		return notRun(effect.ReasonNoUpstream, time.Second, "try again; no replica of the service is live")
	}
	org := st.Config.Organisations[ev.Organisation]
	return st.Admit.Admit(st.now, ev.Organisation, org, ev.PromptTokens+ev.MaxTokens)
}

func notRun(reason effect.Reason, after time.Duration, remedy string) *effect.Refusal {
	return &effect.Refusal{Reason: reason, Ran: effect.NotRun, RetryAfter: after, Remedy: remedy}
}

func (st *State) service(req *Request) decl.Service {
	return st.Config.Services[req.Service].WithDefaults()
}

// needsClaim tells whether the request's key has to be recorded before it is sent.
func (st *State) needsClaim(req *Request) bool {
	return !req.Idempotent && req.Key != "" && !st.service(req).HonoursKeys
}

// repeatable tells whether a request that may have run can be sent again.
func (st *State) repeatable(req *Request) bool {
	return req.Idempotent || (req.Key != "" && st.service(req).HonoursKeys)
}

func (st *State) claimSettled(ev event.ClaimSettled) {
	req, ok := st.Requests[ev.ID]
	if !ok {
		return
	}
	if req.Phase == PhaseAbandoned {
		st.settleAbandoned(req, ev)
		return
	}
	switch ev.Result {
	case event.ClaimWon:
		req.Claimed = true
		st.enqueue(req)
	case event.ClaimRepeated:
		st.repeatClaimed(req, ev.Outcome)
	case event.ClaimConflict:
		st.finish(req, notRun(effect.ReasonKeyReused, 0, "use a new key for a request with another content"))
	case event.ClaimUnavailable:
		st.finish(req, notRun(effect.ReasonClaim, time.Second, "send it again with the same key"))
	}
}

// settleAbandoned gives back a claim that was recorded after its request had ended, so that a resend may run.
func (st *State) settleAbandoned(req *Request, ev event.ClaimSettled) {
	delete(st.Requests, req.ID)
	if ev.Result == event.ClaimWon {
		st.record(req, true, false)
	}
}

func (st *State) repeatClaimed(req *Request, out event.Outcome) {
	if out.Known {
		st.release(req)
		st.emit(effect.Finish{ID: req.ID, Replay: &out})
		return
	}
	if out.Running {
		st.finish(req, &effect.Refusal{
			Reason:     effect.ReasonKeyRunning,
			Ran:        effect.Unknown,
			RetryAfter: time.Second,
			Remedy:     "the first request with this key is still under way; ask again for its outcome",
		})
		return
	}
	st.finish(req, &effect.Refusal{
		Reason: effect.ReasonOutcome,
		Ran:    effect.Unknown,
		Remedy: "the first request with this key may have run; look at its effect before using a new key",
	})
}

func (st *State) record(req *Request, release, unknown bool) {
	st.emit(effect.RecordOutcome{
		ID:           req.ID,
		Organisation: req.Organisation,
		Service:      req.Service,
		Key:          req.Key,
		Digest:       req.Digest,
		Release:      release,
		Unknown:      unknown,
	})
}

func (st *State) enqueue(req *Request) {
	if req.Class.Long && st.Options.Permits && st.service(req).Kind == decl.KindModel {
		st.askPermit(req)
		return
	}
	req.Phase = PhaseQueued
	org := st.Config.Organisations[req.Organisation]
	st.Admit.Push(admit.Item{
		ID:           req.ID,
		Organisation: req.Organisation,
		Service:      req.Service,
		Class:        req.Class,
		Tokens:       max(1, req.Tokens()),
		Arrived:      req.At,
		Deadline:     req.Deadline,
	}, org.ShareWeight())
	st.pump(req.Service)
}

func (st *State) askPermit(req *Request) {
	req.Phase = PhasePermit
	st.emit(effect.AskPermit{
		ID:            req.ID,
		Service:       req.Service,
		FailureDomain: st.Options.FailureDomain,
		Organisation:  req.Organisation,
		Tokens:        req.Tokens(),
		Class:         req.Class.Name,
		Priority:      req.Class.Priority,
		Deadline:      req.Deadline,
	})
}

func (st *State) permitAnswered(ev event.PermitAnswered) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhasePermit {
		st.returnPermit(ev)
		return
	}
	if !ev.Granted {
		st.finish(req, notRun(effect.ReasonBusy, ev.RetryAfter, "send it again later; the long prompts ahead fill the engines"))
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
		st.finish(req, notRun(effect.ReasonNoUpstream, time.Second, "send it again; a granted engine has left"))
		return
	}
	st.send(req, upstreams)
}

// returnPermit gives back a grant that came after its request had ended.
func (st *State) returnPermit(ev event.PermitAnswered) {
	if ev.Granted {
		st.emit(effect.ReleasePermit{ID: ev.ID, Permit: ev.Permit})
	}
}

func (st *State) releasePermit(req *Request) {
	if req.Permit == "" {
		return
	}
	st.emit(effect.ReleasePermit{
		ID:            req.ID,
		Service:       req.Service,
		FailureDomain: st.Options.FailureDomain,
		Permit:        req.Permit,
	})
	req.Permit = ""
}

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
		Priority:  req.Class.Priority,
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

func (st *State) callerGone(ev event.CallerGone) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase == PhaseAbandoned {
		return
	}
	req.Gone = true
	if req.Phase == PhaseRunning {
		st.abort(req)
		return
	}
	st.finish(req, nil)
}

func (st *State) abort(req *Request) {
	if req.Aborted {
		return
	}
	req.Aborted = true
	st.emit(effect.Abort{ID: req.ID, Attempt: req.Attempt})
}

func (st *State) attemptEnded(ev event.AttemptEnded) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhaseRunning || ev.Attempt != req.Attempt {
		return
	}
	st.settleUpstreams(req, ev)
	req.Offset = ev.Offset
	if ev.Result != event.ResultNotSent && ev.Result != event.ResultNotRun {
		req.MayHaveRun = true
	}
	switch {
	case ev.Result == event.ResultDone:
		st.finish(req, nil)
	case req.Gone || ev.Result == event.ResultCancelled:
		st.finish(req, st.ended(req, effect.ReasonOutcome, "the caller left"))
	case ev.Result == event.ResultExpired || !st.now.Before(req.Deadline):
		st.finish(req, st.ended(req, effect.ReasonDeadline, "allow more time in the deadline header"))
	default:
		st.retry(req, ev)
	}
	st.pump(req.Service)
}

// settleUpstreams takes the attempt off its upstreams and counts it against the one that failed.
func (st *State) settleUpstreams(req *Request, ev event.AttemptEnded) {
	for _, up := range req.Upstreams {
		result := event.ResultCancelled
		if up.Name == ev.Upstream {
			result = ev.Result
		}
		if st.Route.Ended(st.now, up.Name, req.Tokens(), result) {
			st.emit(effect.Note{Counter: "Upstreams.Ejected", Line: "upstream ejected after failures in a row", Subject: up.Name})
		}
	}
	if ev.Result == event.ResultSilent {
		st.emit(effect.CloseIdle{Upstream: ev.Upstream})
	}
}

// retry sends the request again if that is safe, allowed and in time.
func (st *State) retry(req *Request, ev event.AttemptEnded) {
	req.Tried = append(req.Tried, ev.Upstream)
	if refusal := st.countDeath(req, ev); refusal != nil {
		st.finish(req, refusal)
		return
	}
	if !st.safeToRetry(req, ev) {
		st.finish(req, st.ended(req, effect.ReasonUpstream, "look at its effect before sending it again"))
		return
	}
	if req.Attempt >= maxAttempts || !st.Admit.Retry(req.Organisation) {
		st.finish(req, st.ended(req, effect.ReasonUpstream, "send it again later"))
		return
	}
	st.count("Requests.Retried")
	st.releasePermit(req)
	if ev.Result == event.ResultNotRun {
		pause := max(retryPause, min(ev.RetryAfter, maxRetryPause))
		req.NotBefore = st.now.Add(pause)
		// Refusing for want of room is no failure; the same replica may have room after the pause.
		req.Tried = slices.DeleteFunc(req.Tried, func(name string) bool { return name == ev.Upstream })
	}
	st.enqueue(req)
}

// safeToRetry allows a repeat of what was certainly not run, and of idempotent requests whose answer can be resumed.
func (st *State) safeToRetry(req *Request, ev event.AttemptEnded) bool {
	if !req.MayHaveRun {
		return true
	}
	if !st.repeatable(req) {
		return false
	}
	// Part of a plain service's answer is with the caller and cannot be resumed.
	return st.service(req).Kind == decl.KindModel || ev.Result == event.ResultFailed || !req.Answered
}

// ended is the refusal of a request that failed for the reason, with the truth about whether it ran.
func (st *State) ended(req *Request, reason effect.Reason, remedy string) *effect.Refusal {
	ran := effect.NotRun
	switch {
	case req.MayHaveRun && (req.Answered || req.Idempotent):
		ran = effect.HasRun
	case req.MayHaveRun:
		ran = effect.Unknown
		reason = effect.ReasonOutcome
	}
	return &effect.Refusal{Reason: reason, Ran: ran, RetryAfter: time.Second, Remedy: remedy}
}

// finish ends a request. Every way out passes here, so that its limits, queue place, permit and claim are given back
// exactly once.
func (st *State) finish(req *Request, refusal *effect.Refusal) {
	if refusal != nil {
		st.count("Requests.Failed." + string(refusal.Reason))
	} else {
		st.count("Requests.Ended")
	}
	st.release(req)
	st.emit(effect.Finish{ID: req.ID, Refusal: refusal})
}

func (st *State) release(req *Request) {
	st.Admit.Release(req.Organisation, req.Tokens())
	st.Admit.Remove(req.Service, req.ID)
	st.releasePermit(req)
	if req.Phase == PhaseClaiming {
		// The claim may still be recorded after this; it has to be given back then.
		req.Phase = PhaseAbandoned
		return
	}
	delete(st.Requests, req.ID)
	if req.Claimed {
		st.record(req, !req.MayHaveRun, req.MayHaveRun && !req.Answered)
	}
}

// expire ends requests whose time is over.
func (st *State) expire() {
	for {
		id, ok := st.deadlines.pop(st.now)
		if !ok {
			return
		}
		req, ok := st.Requests[id]
		if !ok || req.Phase == PhaseAbandoned {
			continue
		}
		if req.Phase == PhaseRunning {
			// The attempt's own end follows and says what is known.
			continue
		}
		st.finish(req, st.ended(req, effect.ReasonDeadline, "allow more time in the deadline header"))
	}
}

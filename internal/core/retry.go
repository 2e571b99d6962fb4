package core

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
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

// checkArrived takes the request into its organisation's limits as its last step, so that a refusal holds nothing.

// needsClaim tells whether the request's key has to be recorded before it is sent.

// repeatable tells whether a request that may have run can be sent again.

// settleAbandoned gives back a claim that was recorded after its request had ended, so that a resend may run.

// returnPermit gives back a grant that came after its request had ended.

// pump sends waiting requests of the service for as long as a replica has room.

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

// finish ends a request. Every way out passes here, so that its limits, queue place, permit and claim are given back

// exactly once.

// expire ends requests whose time is over.

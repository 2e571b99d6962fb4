package core

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Retries of one request.

const (
	// maxAttempts bounds the attempts in a row that bring the answer no further.
	maxAttempts = 6
	// freeRepeats is how many of those the organisation's retry budget does not pay for.
	freeRepeats = 2
	// retryPause is the wait after an upstream's refusal that names no time.
	retryPause = 50 * time.Millisecond
	// maxRetryPause caps what an upstream may ask for.
	maxRetryPause = time.Second
)

func (st *State) attemptEnded(ev event.AttemptEnded) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhaseRunning || ev.Attempt != req.Attempt {
		return
	}
	st.settleUpstreams(req, ev)
	if ev.Result != event.ResultNotSent && ev.Result != event.ResultNotRun {
		req.MayHaveRun = true
	}
	switch {
	case ev.Result == event.ResultDone:
		st.clear(req)
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
		if up.Name == ev.Upstream && !st.ownEnd(req, ev) {
			result = ev.Result
		}
		if st.Route.Ended(st.now, up.Name, req.ID, ev.Offset-req.Offset, result) {
			st.emit(effect.Note{Counter: "Upstreams.Ejected", Line: "upstream ejected after failures in a row", Subject: up.Name})
		}
	}
	if ev.Result == event.ResultSilent {
		st.count("Attempts.Silent")
		st.emit(effect.CloseIdle{Upstream: ev.Upstream, Address: addressOf(req.Upstreams, ev.Upstream)})
	}
}

// ownEnd tells that an attempt failed to connect because its caller had left or its time was over, which says nothing
// about the upstream.
func (st *State) ownEnd(req *Request, ev event.AttemptEnded) bool {
	return ev.Result == event.ResultNotSent && (req.Gone || !st.now.Before(req.Deadline))
}

func addressOf(ups []event.Upstream, name string) string {
	for _, up := range ups {
		if up.Name == name {
			return up.Address
		}
	}
	return ""
}

// retry sends the request again if that is safe, allowed and in time.
func (st *State) retry(req *Request, ev event.AttemptEnded) {
	req.Tried = append(req.Tried, ev.Upstream)
	progressed := ev.Offset > req.Offset
	req.Offset = ev.Offset
	if refusal := st.countDeath(req, ev); refusal != nil {
		st.finish(req, refusal)
		return
	}
	if rejects(ev.Status) && st.service(req).Kind == decl.KindModel {
		refusal := st.ended(req, effect.ReasonRejected, "the engine answered "+strconv.Itoa(ev.Status)+"; correct the request")
		refusal.RetryAfter = 0
		st.finish(req, refusal)
		return
	}
	if !st.safeToRetry(req, ev) {
		st.finish(req, st.ended(req, effect.ReasonUpstream, "look at its effect before sending it again"))
		return
	}
	if !st.mayRetry(req, progressed) {
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

// rejects tells that an engine found the request itself wrong. Other statuses of that kind depend on the replica.
func rejects(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

// mayRetry bounds the repeats. Attempts that brought the answer forward don't count, so that a long stream outlives
// any number of broken connections. The first repeats are free: a replica that dies takes all its streams with
// it, and the budget is there against repeats that add to an overload.
func (st *State) mayRetry(req *Request, progressed bool) bool {
	if progressed {
		req.Fruitless = 0
		return true
	}
	req.Fruitless++
	if req.Fruitless >= maxAttempts {
		return false
	}
	return req.Fruitless <= freeRepeats || st.Admit.Retry(req.Organisation)
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

package core

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Limits on the retries of a request.
const (
	// maxAttemptsWithoutProgress is the number of consecutive attempts without progress in the answer after which a request
	// fails.
	maxAttemptsWithoutProgress = 6
	// freeRetries is the number of retries after such attempts that the organisation's retry budget is not charged for.
	freeRetries = 2
	// retryPause is the minimum pause after a refusal by an upstream.
	retryPause = 50 * time.Millisecond
	// maxRetryPause is the maximum pause that an upstream can ask for.
	maxRetryPause = time.Second
)

func (st *State) handleAttemptEnded(ev event.AttemptEnded) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhaseRunning || ev.Attempt != req.Attempt {
		return
	}
	if !req.answerStartedAt.IsZero() && ev.Result != event.ResultDone {
		st.recordEnd(ev)
	}
	st.settleUpstreams(req, ev)
	if ev.Result != event.ResultNotSent && ev.Result != event.ResultHeld {
		st.settleRetry(req)
	}
	if ev.Proof == norun.None {
		req.MayHaveRun = true
	}
	switch {
	case ev.Result == event.ResultDone:
		st.clearSuspicion(req)
		st.finish(req, nil)
	case req.Gone || ev.Result == event.ResultCancelled:
		st.finish(req, st.failureRefusal(req, effect.ReasonOutcome, "the caller left"))
	case ev.Result == event.ResultExpired || !st.now.Before(req.Deadline):
		st.finish(req, st.failureRefusal(req, effect.ReasonDeadline, "allow more time in the deadline header"))
	default:
		st.retry(req, ev)
	}
	st.dispatch(req.Service)
}

// settleUpstreams ends the attempt at its upstreams and counts a failure against the one that caused it.
func (st *State) settleUpstreams(req *Request, ev event.AttemptEnded) {
	for _, up := range req.Upstreams {
		result := event.ResultCancelled
		if up.Name == ev.Upstream && !st.connectAbandoned(req, ev) && !st.lostPath(req, ev) {
			result = ev.Result
		}
		if st.Route.RecordEnd(st.now, up.Name, req.ID, ev.Offset-req.Offset, result) {
			st.emit(effect.CountAndLog{Counter: "Upstreams.Ejected", LogMessage: "upstream ejected after failures in a row", Subject: up.Name})
		}
	}
	if ev.Result == event.ResultSilent {
		st.count("Attempts.Silent")
		st.emit(effect.CloseIdle{Upstream: ev.Upstream, Address: addressOf(req.Upstreams, ev.Upstream)})
	}
}

// connectAbandoned reports whether an attempt failed to connect because its caller had disconnected or its deadline had
// passed, which is no failure of the upstream.
func (st *State) connectAbandoned(req *Request, ev event.AttemptEnded) bool {
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

// retry queues the request for another attempt if that is safe and allowed, and otherwise ends it.
func (st *State) retry(req *Request, ev event.AttemptEnded) {
	if ev.Result == event.ResultHeld && ev.Proof != norun.None {
		st.releasePermit(req)
		req.NotBefore = st.now.Add(heldBackoff)
		st.enqueueAgain(req)
		return
	}
	if st.forwardUnsent(req, ev) {
		return
	}
	req.Tried = append(req.Tried, ev.Upstream)
	progressed := ev.Offset > req.Offset
	req.Offset = ev.Offset
	if refusal := st.countDeath(req, ev); refusal != nil {
		st.finish(req, refusal)
		return
	}
	if isRequestError(ev.Status) && st.service(req).Kind == decl.KindModel {
		refusal := st.failureRefusal(req, effect.ReasonRejected, "the engine answered "+strconv.Itoa(ev.Status)+"; correct the request")
		refusal.RetryAfter = 0
		st.finish(req, refusal)
		return
	}
	if !st.safeToRetry(req, ev) {
		st.finish(req, st.failureRefusal(req, effect.ReasonUpstream, "look at its effect before sending it again"))
		return
	}
	if !st.mayRetry(req, progressed) {
		st.finish(req, st.failureRefusal(req, effect.ReasonUpstream, "send it again later"))
		return
	}
	if !st.chargeRetry(req) {
		st.finish(req, st.failureRefusal(req, effect.ReasonBudget, "send it again later"))
		return
	}
	st.count("Requests.Retried")
	st.releasePermit(req)
	if ev.Result == event.ResultNotRun {
		pause := max(retryPause, min(ev.RetryAfter, maxRetryPause))
		req.NotBefore = st.now.Add(pause)
		// A refusal for lack of room is no failure; the same replica may have room after the pause.
		req.Tried = slices.DeleteFunc(req.Tried, func(name string) bool { return name == ev.Upstream })
	}
	st.enqueueAgain(req)
}

// enqueueAgain queues the request for another attempt, or refuses it if no replica will accept it in time.
func (st *State) enqueueAgain(req *Request) {
	if failure := st.unservedFailure(req); failure != nil {
		st.finish(req, failure)
		return
	}
	st.enqueue(req)
}

// isRequestError reports whether an engine rejected the request itself as invalid. Other 4xx statuses can depend on the
// replica.
func isRequestError(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

// mayRetry reports whether the request may be retried, and counts the attempt. Attempts that made progress in the answer
// don't count, so that a long stream survives any number of broken connections.
func (st *State) mayRetry(req *Request, progressed bool) bool {
	if progressed {
		req.AttemptsWithoutProgress = 0
		return true
	}
	req.AttemptsWithoutProgress++
	return req.AttemptsWithoutProgress < maxAttemptsWithoutProgress
}

// chargeRetry charges the next attempt to the organisation's retry budget and reports whether the budget allowed it. The first
// retries are free, since a crashed replica breaks all its streams at once and the budget is meant for retries that add to an
// overload. An attempt that was charged and not sent stays charged for the next one.
func (st *State) chargeRetry(req *Request) bool {
	if req.AttemptsWithoutProgress <= freeRetries || req.charged {
		return true
	}
	use, allowed := st.Admit.Retry(st.now, req.Organisation)
	req.charged = allowed
	if !allowed {
		st.emit(effect.CountAndLog{
			Counter: "Requests.RetryBudgetUsed", Subject: req.Organisation,
			LogMessage: fmt.Sprintf("retry refused: %v of %.1f used of %v requests, divided by %d instances %s", use.Used, use.Allowed, use.Requests, use.Part.Instances, use.Part.Reason),
		})
	}
	return allowed
}

// settleRetry ends the charge of an attempt that has certainly arrived by now, if it ever does. If another attempt was granted in its place, the charge
// is for that one.
func (st *State) settleRetry(req *Request) {
	if req.charged && !req.resumes {
		req.charged = false
		st.Admit.SettleRetry(st.now, req.Organisation)
	}
}

// releaseRetry gives back what the request was charged for an attempt that was never sent.
func (st *State) releaseRetry(req *Request) {
	if req.charged {
		req.charged = false
		st.Admit.ReleaseRetry(req.Organisation)
	}
}

// safeToRetry reports whether the request certainly did not run, or is repeatable and its answer has not begun or can be
// resumed.
func (st *State) safeToRetry(req *Request, ev event.AttemptEnded) bool {
	if !req.MayHaveRun {
		return true
	}
	if !st.repeatable(req) {
		return false
	}
	// A plain service's answer cannot be resumed once the caller has part of it.
	return st.service(req).Kind == decl.KindModel || ev.Result == event.ResultFailed || !req.Answered
}

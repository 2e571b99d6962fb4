package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Refusal of requests that cannot be answered by their deadline.
const (
	// serveTimeFactor scales down the estimated time to serve a request before it is compared with the request's deadline.
	// The estimate is learnt from the answers to other requests.
	serveTimeFactor = 0.8
	// minRetryAfter is the minimum delay that a refusal advises.
	minRetryAfter = time.Second
	// maxRetryAfter is the maximum delay that a refusal advises.
	maxRetryAfter = time.Minute
)

// checkDeadline refuses a request that cannot be answered by its deadline, as estimated from the work queued ahead of it and
// the learnt speeds. Otherwise the queue would fill with requests that fail only when their deadline passes, and requests
// that could have been answered would wait behind them.
func (st *State) checkDeadline(ev event.Arrived, class lengthClass, org decl.Organisation) *effect.Refusal {
	if st.baseline() {
		return nil
	}
	var wait time.Duration
	if !st.usesPermits(class.LengthClass, ev.Service) {
		wait = st.Admit.Wait(ev.Service, ev.Organisation, class.LengthClass, org.ShareWeight(), st.Route.Capacity(ev.Service))
	}
	lateBy := wait + st.minServeTime(ev, class.level) - ev.Deadline.Sub(st.now)
	if lateBy <= 0 {
		return nil
	}
	if wait == 0 {
		// No wait is estimated: serving the request takes too long by itself.
		return notRunRefusal(effect.ReasonDeadline, 0, "allow more time in the deadline header, or ask for a shorter answer")
	}
	return notRunRefusal(effect.ReasonOverloaded, min(max(lateBy, minRetryAfter), maxRetryAfter), "send it again later or allow it more time; the work ahead of it takes too long")
}

// minServeTime returns the estimated time to answer the request once it is sent, times serveTimeFactor.
func (st *State) minServeTime(ev event.Arrived, level int) time.Duration {
	return time.Duration(serveTimeFactor * float64(st.Route.MinServeTime(st.now, ev.Service, ev.PromptTokens, ev.MaxTokens, level)))
}

// scheduleLatestStart schedules a check of a waiting request at the latest time at which it could be sent and still meet its
// deadline. If it still waits then, its caller is refused at once and not only at the deadline.
func (st *State) scheduleLatestStart(req *Request) {
	serveTime := st.minServeTime(req.Arrived, req.level)
	if serveTime <= 0 || st.baseline() {
		return
	}
	at := req.Deadline.Add(-serveTime)
	if at.After(st.now) {
		st.deadlines.push(at, req.ID)
	}
}

// cannotMeetDeadline reports whether a queued request can no longer be answered by its deadline.
func (st *State) cannotMeetDeadline(req *Request) bool {
	return !st.baseline() && req.Phase == PhaseQueued && !st.now.Before(req.Deadline.Add(-st.minServeTime(req.Arrived, req.level)))
}

// ejectSlow lets the router compare the replicas' speeds and eject those that are far slower than their pool, and counts and
// logs each of them.
func (st *State) ejectSlow() {
	for _, name := range st.Route.Tick(st.now) {
		st.emit(effect.CountAndLog{Counter: "Upstreams.EjectedSlow", LogMessage: "upstream ejected: far slower than its pool", Subject: name})
	}
}

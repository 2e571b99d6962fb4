package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Refusal of what cannot end in time.
const (
	// leastTrust is how much of the time to serve a request, which is learnt from answers of others, is held against it.
	leastTrust = 0.8
	// minRetryAfter and maxRetryAfter bound the advice.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// checkTime refuses at once what would not end by its deadline, by the work queued ahead of it and the speeds learnt.
// Without it the queue would fill with requests that are given up on only when their time is gone, and those that
// could have been answered would wait behind them.
func (st *State) checkTime(ev event.Arrived, class lengthClass, org decl.Organisation) *effect.Refusal {
	if st.baseline() {
		return nil
	}
	var wait time.Duration
	if !st.permitted(class.LengthClass, ev.Service) {
		wait = st.Admit.Wait(ev.Service, ev.Organisation, class.LengthClass, org.ShareWeight(), st.Route.Capacity(ev.Service))
	}
	late := wait + st.least(ev, class.level) - ev.Deadline.Sub(st.now)
	if late <= 0 {
		return nil
	}
	if wait == 0 {
		return notRun(effect.ReasonDeadline, 0, "allow more time in the deadline header, or ask for a shorter answer")
	}
	return notRun(effect.ReasonBusy, min(max(late, minRetryAfter), maxRetryAfter), "send it again later or allow it more time; the work ahead of it takes too long")
}

func (st *State) least(ev event.Arrived, level int) time.Duration {
	return time.Duration(leastTrust * float64(st.Route.Least(st.now, ev.Service, ev.PromptTokens, ev.MaxTokens, level)))
}

// watchStart sees to it that a waiting request hears of its end as soon as it can no longer be served in time.
func (st *State) watchStart(req *Request) {
	least := st.least(req.Arrived, req.level)
	if least <= 0 || st.baseline() {
		return
	}
	at := req.Deadline.Add(-least)
	if at.After(st.now) {
		st.deadlines.push(at, req.ID)
	}
}

// hopeless tells that a queued request can no longer be served in time.
func (st *State) hopeless(req *Request) bool {
	return !st.baseline() && req.Phase == PhaseQueued && !st.now.Before(req.Deadline.Add(-st.least(req.Arrived, req.level)))
}

// ejectSlow takes replicas out that are far slower than their pool.
func (st *State) ejectSlow() {
	for _, name := range st.Route.Tick(st.now) {
		st.emit(effect.Note{Counter: "Upstreams.EjectedSlow", Line: "upstream ejected: far slower than its pool", Subject: name})
	}
}

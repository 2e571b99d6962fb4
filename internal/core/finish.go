package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

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

// ended is the refusal of a request that failed for the reason, with the truth about whether it ran. That it has run is
// certain only if some of its answer came.
func (st *State) ended(req *Request, reason effect.Reason, remedy string) *effect.Refusal {
	ran := effect.NotRun
	switch {
	case req.MayHaveRun && req.Answered:
		ran = effect.HasRun
	case req.MayHaveRun:
		ran = effect.Unknown
	}
	if ran == effect.Unknown && !req.Idempotent {
		reason = effect.ReasonOutcome
	}
	return &effect.Refusal{Reason: reason, Ran: ran, RetryAfter: time.Second, Remedy: remedy}
}

// finish ends a request. Every way out passes here, so that its limits, queue place, permit and claim are given back
// exactly once.
func (st *State) finish(req *Request, refusal *effect.Refusal) {
	if refusal != nil {
		st.countReason("Requests.Failed.", refusal.Reason)
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
		if st.now.Before(req.Deadline) && !st.hopeless(req) {
			continue
		}
		if req.Phase == PhaseRunning {
			// The attempt's own end follows and says what is known.
			continue
		}
		st.finish(req, st.ended(req, effect.ReasonDeadline, "allow more time in the deadline header"))
	}
}

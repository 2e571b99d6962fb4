package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

func (st *State) handleCallerGone(ev event.CallerGone) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase == PhaseAbandoned {
		return
	}
	req.Gone = true
	if req.Phase == PhaseRunning {
		st.abort(req, cutoff.OfCaller(req.Gone))
		return
	}
	st.finish(req, nil)
}

// abort ends the attempt under way with the proof.
func (st *State) abort(req *Request, proof cutoff.Proof) {
	if req.Aborted {
		return
	}
	req.Aborted = true
	st.emit(effect.Abort{ID: req.ID, Attempt: req.Attempt, Proof: proof})
}

// failureRefusal returns the refusal of a request that failed for the given reason. It reports that the request has run
// only if part of its answer was received; otherwise that is not certain.
func (st *State) failureRefusal(req *Request, reason effect.Reason, remedy string) *effect.Refusal {
	runState := effect.NotRun
	switch {
	case req.MayHaveRun && req.Answered:
		runState = effect.HasRun
	case req.MayHaveRun:
		runState = effect.Unknown
	}
	if runState == effect.Unknown && !req.Idempotent {
		reason = effect.ReasonOutcome
	}
	return &effect.Refusal{Reason: reason, RunState: runState, RetryAfter: time.Second, Remedy: remedy}
}

// finish ends a request. The refusal is nil if the request was answered or its caller has disconnected. Every admitted
// request ends here, save for the replay of a recorded outcome, so that its limits, place in the queue, permit and claim are
// released exactly once.
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
	st.releaseRetry(req)
	if req.Phase == PhaseClaiming {
		// The claim may still be recorded after this and then has to be released.
		req.Phase = PhaseAbandoned
		return
	}
	delete(st.Requests, req.ID)
	if req.Claimed {
		st.recordOutcome(req, !req.MayHaveRun, req.MayHaveRun && !req.Answered)
	}
}

// expire ends the waiting requests whose deadline has passed or can no longer be met.
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
		if st.now.Before(req.Deadline) && !st.cannotMeetDeadline(req) {
			continue
		}
		if req.Phase == PhaseRunning {
			// The event.AttemptEnded of the attempt under way follows and reports what is known.
			continue
		}
		st.finish(req, st.failureRefusal(req, effect.ReasonDeadline, "allow more time in the deadline header"))
	}
}

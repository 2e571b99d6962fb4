package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// needsClaim reports whether the request's idempotency key has to be recorded before the request is sent.
func (st *State) needsClaim(req *Request) bool {
	return !req.Idempotent && req.Key != "" && !st.service(req).HonoursKeys
}

// repeatable reports whether the request can be sent again after it may have run.
func (st *State) repeatable(req *Request) bool {
	return req.Idempotent || (req.Key != "" && st.service(req).HonoursKeys)
}

func (st *State) handleClaimSettled(ev event.ClaimSettled) {
	req, ok := st.Requests[ev.ID]
	if !ok {
		return
	}
	if req.Phase == PhaseAbandoned {
		st.releaseAbandonedClaim(req, ev)
		return
	}
	// The claim is settled. A request that ended in PhaseClaiming would become PhaseAbandoned and wait for ever for another
	// event to release the claim.
	req.Phase = PhaseQueued
	switch ev.Result {
	case event.ClaimWon:
		req.Claimed = true
		st.enqueue(req)
	case event.ClaimRepeated:
		st.answerRepeated(req, ev.Outcome)
	case event.ClaimConflict:
		st.finish(req, notRunRefusal(effect.ReasonKeyReused, 0, "use a new key for a request with another content"))
	case event.ClaimUnavailable:
		st.finish(req, notRunRefusal(effect.ReasonClaim, time.Second, "send it again with the same key"))
	}
}

// releaseAbandonedClaim releases a claim that was recorded after its request had ended, so that a resend may run.
func (st *State) releaseAbandonedClaim(req *Request, ev event.ClaimSettled) {
	delete(st.Requests, req.ID)
	if ev.Result == event.ClaimWon {
		st.recordOutcome(req, true, false)
	}
}

// answerRepeated ends a request whose key was claimed before, with the recorded outcome if there is one.
func (st *State) answerRepeated(req *Request, outcome event.Outcome) {
	if outcome.Known && outcome.Truncated {
		// The start of an answer must not be returned as the complete one.
		st.finish(req, &effect.Refusal{
			Reason:   effect.ReasonAnswerNotKept,
			RunState: effect.HasRun,
			Remedy:   "the first request with this key ran and was answered; its answer was too long or too old to keep",
		})
		return
	}
	if outcome.Known {
		st.release(req)
		st.emit(effect.Finish{ID: req.ID, Replay: &outcome})
		return
	}
	if outcome.Running {
		st.finish(req, &effect.Refusal{
			Reason:     effect.ReasonKeyRunning,
			RunState:   effect.Unknown,
			RetryAfter: time.Second,
			Remedy:     "the first request with this key is still under way; ask again for its outcome",
		})
		return
	}
	st.finish(req, &effect.Refusal{
		Reason:   effect.ReasonOutcome,
		RunState: effect.Unknown,
		Remedy:   "the first request with this key may have run; look at its effect before using a new key",
	})
}

func (st *State) recordOutcome(req *Request, release, unknown bool) {
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

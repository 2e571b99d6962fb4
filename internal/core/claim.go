package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

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
	// From here on nothing of the claim is under way that a later event would have to give back.
	req.Phase = PhaseQueued
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
	if out.Known && out.Truncated {
		// The start of an answer must not pass for the whole of it.
		st.finish(req, &effect.Refusal{
			Reason: effect.ReasonAnswerGone,
			Ran:    effect.HasRun,
			Remedy: "the first request with this key ran and was answered; its answer was too long or too old to keep",
		})
		return
	}
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

package core

import (
	"slices"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Silence. An upstream that sends nothing may be sound: an engine preempts a request in the middle of its answer and prefills it again, and a process that
// stood still has not read what waits. So silence ends no answer. It may have another attempt granted that goes on with it, if the request may be repeated,
// a replica has room and the organisation's budget allows it. Otherwise the attempt goes on until it is proven to be over, see cutoff.

// handleFellSilent grants another attempt in place of one whose upstream is silent, if it can, and otherwise lets the attempt go on.
func (st *State) handleFellSilent(ev event.FellSilent) {
	req, ok := st.Requests[ev.ID]
	if !ok || req.Phase != PhaseRunning || req.Aborted || ev.Attempt != req.Attempt {
		return
	}
	if !req.silent {
		req.silent = true
		st.count("Silences.Seen")
	}
	if waits := st.waitsFor(req, &ev); waits != "" {
		st.count("Silences.Waits." + waits)
		return
	}
	req.resumes = true
	st.count("Silences.Resumed")
	st.abort(req, cutoff.OfGrant(req.resumes))
}

// waitsFor returns why no other attempt can be granted now, empty if one was: its retry is charged then.
func (st *State) waitsFor(req *Request, ev *event.FellSilent) string {
	attempts := req.AttemptsWithoutProgress + 1
	if ev.Offset > req.Offset {
		attempts = 0
	}
	switch {
	case !st.now.Before(req.Deadline.Add(-st.minServeTime(req.Arrived, req.level))):
		return "Deadline"
	case !st.repeatable(req) || req.Answered && st.service(req).Kind != decl.KindModel:
		return "Once"
	case attempts >= maxAttemptsWithoutProgress:
		return "Attempts"
	case st.catchingUp() || st.quarantineRefusal(req) != nil || st.heldByCause(req) || st.isSuspect(req) && st.runsElsewhere(req):
		return "Held"
	case !st.hasPlaceForRetry(req, ev.Upstream):
		return "NoPlace"
	}
	st.settleRetry(req)
	before := req.AttemptsWithoutProgress
	req.AttemptsWithoutProgress = attempts
	charged := st.chargeRetry(req)
	req.AttemptsWithoutProgress = before
	if !charged {
		return "Budget"
	}
	return ""
}

// hasPlaceForRetry reports whether a replica has room for another attempt now. It may be the silent one if there is no other, over a new connection. A
// prompt that needs a permit waits for it again, which it may only if its answer has not begun.
func (st *State) hasPlaceForRetry(req *Request, silent string) bool {
	if req.Permit != "" && !req.Answered {
		return true
	}
	pc := st.pickCriteria(req)
	pc.Tried = append(slices.Clip(pc.Tried), silent)
	return st.Route.Pick(st.now, &pc) != nil
}

// recordEnd counts why an attempt whose answer had begun ended. One without a proof is a defect.
func (st *State) recordEnd(ev event.AttemptEnded) {
	st.count("Answers.Ended." + ev.End.String())
	if ev.End == cutoff.None {
		st.emit(effect.CountAndLog{Counter: "Answers.EndedWithoutProof", LogMessage: "answer ended without proof", Subject: ev.Upstream})
	}
}

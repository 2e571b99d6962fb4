package steer

import (
	"slices"

	"dandelionsail.example/dandelionsail/internal/cutoff"
)

// Silence. A replica that sends nothing may be sound: an engine preempts its newest request in the middle of the stream and reads it again, and waits
// for a helper that is gone. So silence ends no answer. It may have another run granted that goes on with the answer, if all that the run needs is
// there now: a request that may be repeated, an attempt of its route, a replica with room and the budget. Otherwise the attempt goes on until it is
// proven to be over, see cutoff.

// The reasons for which no other run is granted.
const (
	waitsStopping    = "the instance ends"
	waitsDeadline    = "its time is over"
	waitsAttempts    = "no attempt left"
	waitsOnce        = "may not be repeated"
	waitsHeld        = "held by crashes under its content"
	waitsNoPlace     = "no replica has room"
	waitsBudget      = "no budget left"
	messageResumed   = "silent replica: another run granted"
	messageWaits     = "silent replica: the attempt goes on"
	messageUnproven  = "answer ended without proof"
	sourceSilence    = "silence"
	causeOthersHeard = "others heard"
	causeUnreachable = "unreachable"
	causeQuiet       = "quiet"
)

// fellSilent grants another run in place of an attempt whose replica is silent, if it can, and otherwise lets the attempt go on.
func (st *State) fellSilent(ev FellSilent) {
	req, ok := st.requests[ev.ID]
	if !ok || !req.running || req.aborted || ev.Attempt != req.attempt {
		return
	}
	isNews := !req.silent
	if isNews {
		st.recordSilence(req, &ev)
	}
	waits := st.waitsFor(req, ev.Via)
	line := LogLine{
		Message: messageResumed, Request: req.Name, Replica: req.reps[0].Name, Attempt: req.attempt, Age: st.now.Sub(req.at), Silent: ev.Silent,
		StoodStill: ev.StoodStill, Source: sourceSilence, Via: ev.Via, Cause: causeOfSilence(&ev), Wrote: req.wrote(),
	}
	if waits != "" {
		if isNews {
			line.Message, line.Reason = messageWaits, Reason(waits)
			st.emit(line)
		}
		return
	}
	req.resumes = true
	st.emit(line)
	st.abort(req, cutoff.OfGrant(req.resumes))
}

func causeOfSilence(ev *FellSilent) string {
	switch {
	case ev.Unreachable:
		return causeUnreachable
	case ev.OthersHeard:
		return causeOthersHeard
	}
	return causeQuiet
}

// recordSilence updates the health of the silent replica. One that sends events to others is alive.
func (st *State) recordSilence(req *request, ev *FellSilent) {
	req.silent = true
	if ev.OthersHeard {
		return
	}
	st.attemptFailed(req.reps[0], &AttemptEnded{Result: ResultSilent, Unreachable: ev.Unreachable, Via: ev.Via})
}

// waitsFor returns why no other run can be granted now in place of the attempt, which goes through the instance via unless that is empty. The result
// is empty if one was granted: its repeat is charged then.
func (st *State) waitsFor(req *request, via string) string {
	if waits := st.waitsForRules(req); waits != "" {
		return waits
	}
	if !st.hasPlaceForRepeat(req, via) {
		return waitsNoPlace
	}
	st.recordArrival(req)
	if !st.chargeRepeat(req) {
		return waitsBudget
	}
	return ""
}

// waitsForRules returns which rule rules out another run of the request, empty if none does.
func (st *State) waitsForRules(req *request) string {
	switch {
	case st.abortsAttempts():
		return waitsStopping
	case !st.now.Before(req.Deadline):
		return waitsDeadline
	case !st.repeatable(req, AttemptEnded{Result: ResultSilent}):
		return waitsOnce
	case req.tries() >= maxSends || req.runs+1 >= req.Route.Attempts:
		return waitsAttempts
	case st.quarantined(req) || st.heldByDeaths(req):
		return waitsHeld
	}
	return ""
}

// hasPlaceForRepeat reports whether a replica has room for another run of the request now, without a send that another instance would have to grant
// for its rate limit. It may be the present one if only the path to it is lost.
func (st *State) hasPlaceForRepeat(req *request, via string) bool {
	tried := req.tried
	defer func() { req.tried = tried }()
	st.recordTried(req, via)
	st.markLate(req)
	st.rankShare(req)
	pl, ok := st.place(req)
	if other, found := st.placeElsewhere(req, &pl, ok); found {
		pl, ok = other, true
	}
	return ok && pl.reps[0].schedule == nil
}

// recordTried excludes the replica of the last attempt, which went through the instance via unless that is empty, from the next one. If the path to
// it is lost, the next attempt may reach it through another instance.
func (st *State) recordTried(req *request, via string) {
	if lostPath := via == "" && st.pathOf(req.reps[0]).Lost(); !lostPath && !slices.Contains(req.tried, req.reps[0].Name) {
		req.tried = append(slices.Clip(req.tried), req.reps[0].Name)
	}
}

// recordEnd records why an attempt whose answer had begun ended.
func (st *State) recordEnd(req *request, ev AttemptEnded) {
	req.ended = ev.End
	if ev.End == cutoff.None {
		st.emit(LogLine{Message: messageUnproven, Request: req.Name, Replica: req.reps[0].Name, Attempt: req.attempt, Age: st.now.Sub(req.at), Wrote: req.wrote()})
	}
}

package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// maxSends bounds the attempts of one request, including those in which it certainly did not run.
	maxSends = 4
	// heldBackoff is how long a request waits after a Verdict held it back.
	heldBackoff = 5 * time.Millisecond
)

// tries counts the attempts that were sent, with a running one.
func (req *request) tries() int { return req.attempt - req.heldBack }

func (st *State) attemptEnded(ev AttemptEnded) {
	req, ok := st.requests[ev.ID]
	if !ok || !req.running || ev.Attempt != req.attempt {
		return
	}
	req.running = false
	req.begun = req.begun || ev.Begun
	req.afterSilence = ev.Result == ResultSilent
	if ev.Pause > req.pause {
		req.pause, req.pauseAt = ev.Pause, ev.PauseAt
	}
	if !req.attemptBeganAt.IsZero() && ev.Result != ResultDone {
		st.recordEnd(req, ev)
	}
	st.unbook(req)
	for _, rep := range req.reps {
		rep.rest.EndTrial(uint64(req.ID), ev.Result == ResultDone)
	}
	st.recordOutcome(req, ev)
	if ev.Result != ResultNotSent && ev.Result != ResultHeld {
		st.recordArrival(req)
	}
	if ev.Proof == norun.None {
		req.runs++
	} else {
		st.recordUsed(req, -1)
	}
	switch {
	case ev.Result == ResultDone:
		st.deaths.Clear(st.now, req.Digest)
		if !ev.OpenEnded || req.proven {
			st.clearParts(req)
		}
		st.finish(req, Finish{ID: req.ID}, "answered")
	case st.abortsAttempts():
		st.refuse(req, ReasonDraining, drainRetryAfter)
	case req.disconnected || ev.Result == ResultCancelled:
		st.finish(req, Finish{ID: req.ID}, "caller left")
	default:
		st.retry(req, ev)
	}
	st.dispatch()
}

// recordOutcome updates the health of the replica at fault from the result of an attempt.
func (st *State) recordOutcome(req *request, ev AttemptEnded) {
	rep := st.atFault(req, ev.FaultyReplica)
	if ev.Via != "" && ev.answered() {
		st.fleet.Served(st.now, ev.Via, rep.Service)
		st.servedElsewhere(rep)
	}
	switch ev.Result {
	case ResultNotRun:
		// If another replica caused the refusal, rep is that one: a helper that is leaving or gone. One that has said when it wants
		// requests again is no failure, and the others may go on sending to it.
		if !rep.Leaving && !rep.rest.InForce(st.now) && (rep != req.reps[0] || st.hadRoom(rep, req)) {
			st.markDown(rep, notice.Refusing)
		}
	case ResultDone, ResultAnswered:
		rep.succeeded()
	case ResultNotSent:
		st.attemptFailed(rep, &ev)
	case ResultSilent:
		if !req.silent {
			st.attemptFailed(rep, &ev)
		}
	case ResultMisdirected:
		st.markDown(rep, notice.Misdirecting)
	case ResultBroken:
		if ev.Died {
			rep.diedAt = st.now
			wasUsable := st.avoid(rep, notice.Failing)
			st.suspectRestart(rep)
			if wasUsable {
				st.notifyOthers(rep, notice.Failing)
			}
			st.countDeath(req)
			return
		}
		if ev.Unreachable {
			st.attemptFailed(rep, &ev)
		}
	}
}

// attemptFailed records an attempt that did not reach the replica, or whose replica fell silent and accepts no connection.
func (st *State) attemptFailed(rep *replica, ev *AttemptEnded) {
	if ev.GivenUp {
		if ev.Hung && ev.Via == "" && !st.unreached(rep) {
			st.probeWitness(rep)
		}
		return
	}
	if ev.Via != "" {
		// Whoever passed it on has informed the others.
		if ev.Result == ResultSilent {
			st.fleet.Unreached(st.now, ev.Via, rep.Service)
			st.failedBehindDetour(rep, "", ev.Via)
			return
		}
		st.unreachedByOthers(rep, ev.Via)
		return
	}
	if ev.Result != ResultNotSent && !ev.Unreachable {
		st.markDown(rep, notice.Failing)
		return
	}
	if st.unreached(rep) {
		return
	}
	st.avoid(rep, notice.Failing)
	st.suspectRestart(rep)
	if rep.evacuated {
		return
	}
	rep.unconfirmed = true
	st.probeWitness(rep)
}

// markDown makes the replica unusable for a while. If it was usable here, the other instances are informed.
func (st *State) markDown(rep *replica, cause notice.Announcement) {
	if st.avoid(rep, cause) {
		st.notifyOthers(rep, cause)
	}
}

// avoid makes the replica unusable for a while, and reports whether it was usable.
func (st *State) avoid(rep *replica, cause notice.Announcement) bool {
	wasUsable := rep.usable(st.now)
	rep.failed(st.now, cause, "")
	if wasUsable {
		st.emit(LogLine{Message: "replica avoided", Replica: rep.Name, Attempt: rep.failures, Source: sourceAttempt})
	}
	return wasUsable
}

// markDownByReport makes the replica unusable for a while because the named instance reported that it fails.
func (st *State) markDownByReport(rep *replica, reporter string) {
	wasUsable := rep.usable(st.now)
	rep.failed(st.now, notice.Failing, reporter)
	if wasUsable {
		st.emit(LogLine{Message: "replica avoided", Replica: rep.Name, Attempt: rep.failures, Source: sourceNote, Reporter: reporter})
	}
}

// hadRoom reports whether, as far as known here, the replica had a free slot and enough memory for the request that it
// refused. Such a replica has to be marked down: if replicas are drained while the store is unavailable, the instances do
// not learn that they are leaving. They refuse new requests at once, look idle and therefore best, and each request would
// fail after attempts at four of them (maxSends). Where instances learn of only some of a plain replica's calls, a refusal
// proves nothing: the replica may be full, and marking down one after the other would leave none.
func (st *State) hadRoom(rep *replica, req *request) bool {
	if rep.freeSlots() <= 0 {
		return false
	}
	eng := st.serviceOf(rep.Service).engine
	if eng == nil {
		return !st.plainNotesStayInDomain()
	}
	return rep.free(eng) >= req.tokens()
}

// atFault returns the replica that accounts for the result of the attempt: the helper with the given name or address, or
// else the replica that answers.
func (st *State) atFault(req *request, nameOrAddress string) *replica {
	for _, rep := range req.reps {
		if nameOrAddress == rep.Name || nameOrAddress == rep.Address {
			return rep
		}
	}
	return req.reps[0]
}

// retry queues the request for another attempt after a failed one if mayRepeat allows it, the deadline has not passed and
// the request is not in quarantine. Otherwise it refuses the request.
func (st *State) retry(req *request, ev AttemptEnded) {
	st.emit(LogLine{Message: "attempt failed: " + ev.Result.String(), Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at), Attempt: req.attempt, Status: ev.Status, Proof: ev.Proof.String()})
	req.failureHeld = ev.Result == ResultAnswered || req.failureHeld
	if !st.now.Before(req.Deadline) {
		st.refuse(req, ReasonDeadline, 0)
		return
	}
	if st.quarantined(req) {
		st.refuseQuarantined(req)
		return
	}
	if ev.Result == ResultHeld && ev.Proof != norun.None {
		if req.overBudget {
			st.refuse(req, ReasonBudget, busyRetryAfter)
			return
		}
		choice, ok := st.wayTo(req.reps[0])
		if !ok && choice.RetryAt.IsZero() {
			st.refuse(req, ReasonNoPath, st.noPathRetryAfter())
			return
		}
		req.heldBack++
		req.notBefore = st.now.Add(heldBackoff)
		if choice.RetryAt.After(req.notBefore) {
			req.notBefore = choice.RetryAt
		}
		st.waiting = append(st.waiting, req)
		return
	}
	if !st.mayRepeat(req, ev) {
		st.refuse(req, ReasonUpstream, busyRetryAfter)
		return
	}
	if !st.chargeRepeat(req) {
		st.refuse(req, ReasonBudget, busyRetryAfter)
		return
	}
	st.recordTried(req, ev.Via)
	if ev.Result == ResultNotRun {
		req.notBefore = st.now.Add(notRunDelay)
	}
	req.waitingSince = st.now
	st.waiting = append(st.waiting, req)
}

// mayRepeat reports whether the request may be sent again: either each attempt has a proof that it did not run, or its route declares that
// requests may run again. Repeats are bounded by maxSends, the route's attempts and, in chargeRepeat, the budget that all instances share.
func (st *State) mayRepeat(req *request, ev AttemptEnded) bool {
	if req.tries() >= maxSends || req.runs >= req.Route.Attempts {
		return false
	}
	return req.runs == 0 || st.repeatable(req, ev)
}

// runsOnce reports whether the request may run only once, by its route when it arrived or by the one in force now.
func (st *State) runsOnce(req *request) bool {
	if req.Route.Repeats == decl.RetryNone {
		return true
	}
	if st.Routing == nil {
		return false
	}
	now := st.Routing.Find(req.Route.Host, req.Path)
	return now != nil && now.Repeats == decl.RetryNone
}

// mustNotRunAgain reports whether a request that waits to be repeated may no longer be, since its route has changed.
func (st *State) mustNotRunAgain(req *request) bool { return req.runs > 0 && st.runsOnce(req) }

// repeatable reports whether the route allows a request that may have run to run again after this result.
func (st *State) repeatable(req *request, ev AttemptEnded) bool {
	if st.runsOnce(req) {
		return false
	}
	switch req.Route.Repeats {
	case decl.RetryAny:
		return !req.begun
	case decl.RetryResumed:
		return ev.Result != ResultAnswered || ev.Status >= 500
	}
	return false
}

// String returns the name of the result for the log.
func (res Result) String() string {
	names := [...]string{"", "done", "answered with a failure", "not sent", "not run", "misdirected", "broken", "silent", "expired", "cancelled", "held back"}
	if int(res) >= len(names) {
		return "unknown"
	}
	return names[res]
}

package steer

import (
	"slices"
	"time"
)

// The queue of requests that have no replica yet: the order in which they are dispatched, which of them are refused, and
// when their callers should retry.

// dispatch tries to place each waiting request, the most urgent first, and keeps those that must go on waiting.
func (st *State) dispatch() {
	if len(st.waiting) == 0 {
		return
	}
	for _, req := range st.waiting {
		st.markLate(req)
		st.rankShare(req)
	}
	slices.SortStableFunc(st.waiting, st.compareUrgency)
	kept := st.waiting[:0]
	for _, req := range st.waiting {
		if st.now.Before(req.notBefore) || !st.trySend(req) {
			kept = append(kept, req)
		}
	}
	clear(st.waiting[len(kept):])
	st.waiting = kept
}

// compareUrgency orders requests that can still be in time before those for which it is too late, and each of the two groups
// by whether they give way to others, then by goal. Under overload the second group would otherwise delay the first, and make all
// requests late in turn.
func (st *State) compareUrgency(a, b *request) int {
	tooLateA, tooLateB := st.tooLate(a), st.tooLate(b)
	if tooLateA != tooLateB {
		if tooLateA {
			return 1
		}
		return -1
	}
	if order := compareShares(a, b); order != 0 {
		return order
	}
	return a.goal.Compare(b.goal)
}

// tooLate reports whether the answer can hardly begin by the request's goal any more. If req.late is set, that goal is the
// one that markLate has set.
func (st *State) tooLate(req *request) bool { return st.tooLateFor(req, req.goal) }

// tooLateFor reports whether the time left until the given goal is less than Tuning.LateGoalShare of the time that the
// route's goal allows.
func (st *State) tooLateFor(req *request, goal time.Time) bool {
	return ms(goal.Sub(st.now)) < st.tune.LateGoalShare*ms(req.Route.Goal.Std())
}

// trySend places the request, and sends it, books a claim for it or asks for a grant. The result is false if the request has
// to stay in the queue: if it cannot be placed now, waits for a grant, or is held because of deaths under its content.
func (st *State) trySend(req *request) bool {
	if st.heldByDeaths(req) || st.mustNotRunAgain(req) || st.abortsAttempts() {
		return false
	}
	if req.grant.rep != nil {
		return st.followGrant(req)
	}
	pl, ok := st.place(req)
	if other, found := st.placeElsewhere(req, &pl, ok); found {
		pl, ok = other, true
	}
	if !ok {
		st.recordUnplaced(req)
		return false
	}
	if pl.reps[0].schedule != nil {
		return st.requestGrant(req, pl.reps[0])
	}
	if st.asksForSlot(pl.reps[0]) {
		return st.requestSlot(req, pl)
	}
	req.claiming = st.contested(&pl)
	st.book(req, pl)
	if req.claiming {
		st.claims = append(st.claims, req)
		st.emit(Wake{After: claimDelay})
		return true
	}
	st.send(req)
	return true
}

// expire refuses requests that have waited for too long. expired are those whose caller would leave before any answer.
// outOfTime are first tries that would be late: their callers can retry once more, and so learn now when to do so. gaveWay are first
// tries that gave way to others for too long. blocked are
// those that the replicas' announcements keep waiting for too long. quarantined are those whose content was quarantined while they
// waited, and changed those that may run only once by now. draining are those that the end of the process refuses.
func (st *State) expire() {
	var expired, outOfTime, gaveWay, draining, quarantined, changed []*request
	var blocked []blockedRequest
	for _, req := range st.waiting {
		switch {
		case st.refusesWaiting(req):
			draining = append(draining, req)
		case st.quarantined(req):
			quarantined = append(quarantined, req)
		case st.mustNotRunAgain(req):
			changed = append(changed, req)
		case !st.now.Before(req.Deadline) || !req.begun && !st.now.Before(req.LeavesAt) || st.waitedTooLong(req):
			expired = append(expired, req)
		case req.hasTimelyGrant():
			// It keeps waiting, since it was granted a send in time.
		case req.tries() == 0 && !req.triedBefore && st.outOfTime(req):
			outOfTime = append(outOfTime, req)
		case req.tries() == 0 && !req.triedBefore && st.gaveWayTooLong(req):
			gaveWay = append(gaveWay, req)
		default:
			if bl, ok := st.blocked(req); ok {
				blocked = append(blocked, blockedRequest{req, bl})
			}
		}
	}
	for _, req := range expired {
		st.refuse(req, ReasonDeadline, busyRetryAfter)
	}
	for _, req := range quarantined {
		st.refuseQuarantined(req)
	}
	for _, req := range changed {
		st.refuse(req, ReasonUpstream, 0)
	}
	for _, req := range outOfTime {
		st.refuse(req, ReasonBusy, st.retryAfter(req))
	}
	for _, req := range gaveWay {
		st.emit(LogLine{Message: "refused to keep shares", Request: req.Name, Service: req.service, Organisation: req.Organisation, Age: st.now.Sub(req.at), Times: req.used})
		st.refuse(req, ReasonBusy, st.retryAfterYield(req))
	}
	for _, held := range blocked {
		st.refuse(held.request, held.reason, st.retryAfterBlock(held.request, held.block))
	}
	for _, req := range draining {
		st.refuse(req, ReasonDraining, drainRetryAfter)
	}
}

// refusesWaiting reports whether the process ends too soon for a request that waits. An answer that has begun goes on waiting for another run until
// attempts are aborted: its caller can only be cut off, and cannot send the request elsewhere.
func (st *State) refusesWaiting(req *request) bool {
	return st.drain != nil && !st.now.Before(st.drain.RefuseWaitingAt) && (!req.begun || st.abortsAttempts())
}

// outOfTime reports whether a first try has waited until its answer could hardly begin by its original goal.
func (st *State) outOfTime(req *request) bool {
	if req.late {
		return st.tooLateFor(req, req.originalGoal)
	}
	return st.tooLate(req)
}

// waitedTooLong reports whether a request has waited for more than Tuning.MaxRewaitShare of its caller's time since it
// arrived as a caller's retry or since its last attempt failed at an engine. If it has found no replica by then, it seldom
// finds one before its caller leaves, and the caller is better off with a refusal. Requests whose answer has begun wait on.
func (st *State) waitedTooLong(req *request) bool {
	if req.begun || req.tries() == 0 && !req.triedBefore || req.tries() > 0 && st.serviceOf(req.service).engine == nil {
		return false
	}
	timeout := req.StatedTimeout
	if timeout == 0 {
		timeout = req.Deadline.Sub(req.at)
	}
	return st.now.Sub(req.waitingSince) > time.Duration(st.tune.MaxRewaitShare*float64(timeout))
}

// detectRetry detects a caller's retry: its stated timeout is too short for a first try on its route. Its goal counts from the
// first try, which was at least as long ago as its timeout falls short of that of a first try. The caller may have no further
// try, so expire does not refuse the retry just because it is out of time.
func (st *State) detectRetry(req *request) {
	longestTimeout := max(st.longestTimeouts[req.Route.Name], req.StatedTimeout)
	st.longestTimeouts[req.Route.Name] = longestTimeout
	minFirstTimeout := time.Duration(st.tune.MinFirstTryShare * float64(longestTimeout))
	if req.StatedTimeout == 0 || req.StatedTimeout >= minFirstTimeout {
		return
	}
	req.triedBefore = true
	req.goal = req.goal.Add(req.StatedTimeout - minFirstTimeout)
	st.markLate(req)
}

// markLate marks a request that cannot meet its goal any more. From then on its value is what a late answer is still worth,
// and its goal is the time at which its caller leaves, when that value is lost, too. With the original goal, the lateness
// that nothing can avert would count against every placement, and the request would not be sent even to idle engines. Load
// pattern: the longest prompts of a burst, which cannot be read in time even by all the engines that may read one prompt
// together.
func (st *State) markLate(req *request) {
	if req.late {
		if req.begun {
			req.goal = st.resumptionGoal(req)
		}
		return
	}
	readTime := st.minReadTime(req)
	if st.now.Add(readTime).Before(req.goal) {
		return
	}
	if req.goal.After(st.now) {
		st.emit(LogLine{Message: "goal out of reach", Request: req.Name, Age: st.now.Sub(req.at), Estimate: readTime, Tokens: req.Prompt})
	}
	req.late = true
	req.originalGoal, req.originalValue = req.goal, req.value
	req.goal = req.LeavesAt
	if req.begun {
		req.goal = st.resumptionGoal(req)
	}
	req.value *= 1 - st.tune.LateShare
}

// resumptionGoal returns when an answer that has begun should go on: before its caller leaves, who waits as long after an event as for the first one,
// or until its deadline if it is still there by then. With the goal of the first event, an answer that breaks off some seconds after that goal would
// lose all its value by any placement and would never be sent again.
func (st *State) resumptionGoal(req *request) time.Time {
	leavesAt := req.lastEventAt.Add(req.LeavesAt.Sub(req.at))
	if st.now.Before(leavesAt) && leavesAt.Before(req.Deadline) {
		return leavesAt
	}
	return req.Deadline
}

// minReadTime is how long as many engines as may read the prompt together take to read it if they have nothing else to do.
// It is 0 for a plain service.
func (st *State) minReadTime(req *request) time.Duration {
	svc := st.serviceOf(req.service)
	if svc.engine == nil {
		return 0
	}
	engines := max(1, min(st.maxEngines(svc.engine), len(st.candidates(svc))))
	return duration(svc.engine.PrefillWork(req.Prompt, engines).AloneTime(svc.engine))
}

// retryAfter is how long the caller of a refused request should wait before it retries. It spreads the callers over the time
// in which the backlog falls, so that they do not return together. It is bounded by Tuning.PatientShare of the time left,
// since callers that are asked to wait longer do not.
func (st *State) retryAfter(req *request) time.Duration {
	after := busyRetryAfter + duration(st.meanBacklog(st.serviceOf(req.service))*1000) + time.Duration(st.random.Int64N(int64(retrySpread)))
	maxAfter := time.Duration(st.tune.PatientShare * float64(req.Deadline.Sub(st.now)))
	return min(after, max(maxAfter, time.Millisecond))
}

// retrySpread is the time over which the retries of refused callers are spread at random.
const retrySpread = 1500 * time.Millisecond

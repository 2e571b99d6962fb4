package steer

import (
	"slices"
	"time"
)

// The queue of requests that have no replica yet: the order in which they are dispatched, which of them are refused, and
// when their callers should retry.

// dispatch sends the waiting requests for which there is a replica by now, the most urgent first.
func (st *State) dispatch() {
	if len(st.waiting) == 0 {
		return
	}
	for _, req := range st.waiting {
		st.markLate(req)
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

// compareUrgency orders requests that can still be in time before those that cannot, and each of the two groups by goal.
// Under overload the late ones would otherwise delay the others, and make all requests late in turn.
func (st *State) compareUrgency(a, b *request) int {
	lateA, lateB := st.tooLate(a), st.tooLate(b)
	if lateA != lateB {
		if lateA {
			return 1
		}
		return -1
	}
	return a.goal.Compare(b.goal)
}

// tooLate reports whether the answer can hardly begin by the request's goal any more.
func (st *State) tooLate(req *request) bool { return st.misses(req, req.goal) }

// misses reports whether less than Tuning.LateGoalShare of the route's goal is left until the given goal.
func (st *State) misses(req *request, goal time.Time) bool {
	return ms(goal.Sub(st.now)) < st.tune.LateGoalShare*ms(req.Route.Goal.Std())
}

func (st *State) trySend(req *request) bool {
	if req.grant.rep != nil {
		return st.followGrant(req)
	}
	pl, ok := st.place(req)
	if !ok {
		return false
	}
	if pl.reps[0].limit != nil {
		return st.requestGrant(req, pl.reps[0])
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

// expire refuses requests that have waited for too long: those whose caller would leave before any answer, and those
// that would be late and whose caller can retry once more, so that the callers learn now when to retry. It also refuses
// those that rate limits keep waiting for too long and, from Draining.RefuseWaitingAt on, all that wait.
func (st *State) expire() {
	var expired, outOfTime, draining, limited []*request
	for _, req := range st.waiting {
		switch {
		case st.drain != nil && !st.now.Before(st.drain.RefuseWaitingAt):
			draining = append(draining, req)
		case !st.now.Before(req.Deadline) || !req.begun && !st.now.Before(req.LeavesAt) || st.waitedTooLong(req):
			expired = append(expired, req)
		case req.hasTurn():
		case req.attempt == 0 && !req.triedBefore && st.outOfTime(req):
			outOfTime = append(outOfTime, req)
		case st.blockedByLimits(req):
			limited = append(limited, req)
		}
	}
	for _, req := range expired {
		st.refuse(req, ReasonDeadline, busyRetryAfter)
	}
	for _, req := range outOfTime {
		st.refuse(req, ReasonBusy, st.retryAfter(req))
	}
	for _, req := range limited {
		first, _ := st.blockedUntil(req)
		st.refuse(req, ReasonLimited, st.retryAfterLimit(req, first))
	}
	for _, req := range draining {
		st.refuse(req, ReasonDraining, drainRetryAfter)
	}
}

// outOfTime reports whether a first try has waited until its answer could hardly begin by the goal that it arrived with.
func (st *State) outOfTime(req *request) bool {
	if req.late {
		return st.misses(req, req.originalGoal)
	}
	return st.tooLate(req)
}

// waitedTooLong reports whether a retry, or a request whose attempt failed at an engine, has waited for more than
// Tuning.MaxRewaitShare of its caller's time. If it has found no replica until then, it seldom finds one before its
// caller leaves, and the caller is better off with a refusal.
func (st *State) waitedTooLong(req *request) bool {
	if req.begun || req.attempt == 0 && !req.triedBefore || req.attempt > 0 && st.serviceOf(req.service).engine == nil {
		return false
	}
	timeout := req.StatedTimeout
	if timeout == 0 {
		timeout = req.Deadline.Sub(req.at)
	}
	return st.now.Sub(req.waitingSince) > time.Duration(st.tune.MaxRewaitShare*float64(timeout))
}

// detectRetry detects a caller's retry: it has less time than any caller of its route has at its first try. Its goal
// counts from the first try, which was at least as long ago as its time is short. The caller may have no further try, so
// the request waits for as long as it can.
func (st *State) detectRetry(req *request) {
	longest := max(st.longestTimeouts[req.Route.Name], req.StatedTimeout)
	st.longestTimeouts[req.Route.Name] = longest
	minTimeout := time.Duration(st.tune.MinFirstTryShare * float64(longest))
	if req.StatedTimeout == 0 || req.StatedTimeout >= minTimeout {
		return
	}
	req.triedBefore = true
	req.goal = req.goal.Add(req.StatedTimeout - minTimeout)
	st.markLate(req)
}

// markLate prices a request that cannot meet its goal any more by what is left of its answer's value, which is lost when
// its caller leaves. With the old goal, the lateness that nothing can avert would count against every placement, and the
// request would not be sent even to idle engines. Load pattern: the longest prompts of a burst, which even all the
// engines that may read them together cannot read in time.
func (st *State) markLate(req *request) {
	if req.late {
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
	req.value *= 1 - st.tune.LateShare
}

// minReadTime is how long the prompt takes to read on as many engines as may read it together if these have nothing else
// to do.
func (st *State) minReadTime(req *request) time.Duration {
	svc := st.serviceOf(req.service)
	if svc.engine == nil {
		return 0
	}
	engines := max(1, min(st.maxEngines(svc.engine), len(st.candidates(svc))))
	return duration(svc.engine.PrefillWork(req.Prompt, engines).AloneTime(svc.engine))
}

// retryAfter is when the caller of a refused request should retry, within the time for which callers wait when asked to.
// It spreads the callers over the time in which the backlog falls, so that they do not return together.
func (st *State) retryAfter(req *request) time.Duration {
	after := busyRetryAfter + duration(st.meanBacklog(st.serviceOf(req.service))*1000) + time.Duration(st.random.Int64N(int64(retrySpread)))
	longest := time.Duration(st.tune.PatientShare * float64(req.Deadline.Sub(st.now)))
	return min(after, max(longest, time.Millisecond))
}

// retrySpread is the time over which the retries of refused callers are spread at random.
const retrySpread = 1500 * time.Millisecond

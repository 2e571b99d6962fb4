package steer

import (
	"slices"
	"time"
)

// Waiting: in which order requests go that have no replica yet, which of them are given up on, and when their callers
// should come back.

// dispatch sends what waits and has a replica by now, the most urgent first.
func (st *State) dispatch() {
	if len(st.waiting) == 0 {
		return
	}
	for _, req := range st.waiting {
		st.markLate(req)
	}
	slices.SortStableFunc(st.waiting, st.order)
	kept := st.waiting[:0]
	for _, req := range st.waiting {
		if st.now.Before(req.notBefore) || !st.trySend(req) {
			kept = append(kept, req)
		}
	}
	clear(st.waiting[len(kept):])
	st.waiting = kept
}

// order lets those that can still be in time go first, by their goals: under overload the others would make everything
// late in turn.
func (st *State) order(one, two *request) int {
	lateOne, lateTwo := st.tooLate(one), st.tooLate(two)
	if lateOne != lateTwo {
		if lateOne {
			return 1
		}
		return -1
	}
	return one.goal.Compare(two.goal)
}

// tooLate tells that the answer can hardly begin by the goal any more.
func (st *State) tooLate(req *request) bool { return st.missed(req, req.goal) }

func (st *State) missed(req *request, goal time.Time) bool {
	return ms(goal.Sub(st.now)) < st.tune.LastCall*ms(req.Route.Goal.Std())
}

func (st *State) trySend(req *request) bool {
	if req.ask.rep != nil {
		return st.followAsk(req)
	}
	pl, ok := st.place(req)
	if !ok {
		return false
	}
	if pl.reps[0].limit != nil {
		return st.askToSend(req, pl.reps[0])
	}
	req.claims = st.contested(&pl)
	st.book(req, pl)
	if req.claims {
		st.claims = append(st.claims, req)
		st.emit(Wake{After: claimTime})
		return true
	}
	st.send(req)
	return true
}

// expire ends what waited for too long: a caller that would leave before any answer hears now when to come back, and so
// does one whose answer would be late and that can come back once more.
func (st *State) expire() {
	var over, busy, held, limited []*request
	for _, req := range st.waiting {
		switch {
		case st.drain != nil && !st.now.Before(st.drain.Hold):
			held = append(held, req)
		case !st.now.Before(req.Deadline) || !req.begun && !st.now.Before(req.Patience) || st.waitedTooLong(req):
			over = append(over, req)
		case req.hasTurn():
		case req.attempt == 0 && !req.returned && st.unplaceable(req):
			busy = append(busy, req)
		case st.keptOut(req):
			limited = append(limited, req)
		}
	}
	for _, req := range over {
		st.refuse(req, ReasonDeadline, busyPause)
	}
	for _, req := range busy {
		st.refuse(req, ReasonBusy, st.comeBack(req))
	}
	for _, req := range limited {
		first, _ := st.heldByLimits(req)
		st.refuse(req, ReasonLimited, st.comeBackAt(req, first))
	}
	for _, req := range held {
		st.refuse(req, ReasonDraining, drainPause)
	}
}

// unplaceable tells that a first try has waited until its answer could hardly begin by the goal that it came with.
func (st *State) unplaceable(req *request) bool {
	if req.late {
		return st.missed(req, req.aim)
	}
	return st.tooLate(req)
}

// waitedTooLong tells that a request has waited for so much of its caller's time that the caller had better know: what came back
// or failed at a replica and found no place until then seldom finds one before its caller leaves.
func (st *State) waitedTooLong(req *request) bool {
	if req.begun || req.attempt == 0 && !req.returned || req.attempt > 0 && st.serviceOf(req.service).engine == nil {
		return false
	}
	given := req.Given
	if given == 0 {
		given = req.Deadline.Sub(req.at)
	}
	return st.now.Sub(req.waitsFrom) > time.Duration(st.tune.VainShare*float64(given))
}

// recognize finds out whether the caller was here before, since it has less time than any caller of its route has at
// first. Its goal counts from its first try, which was at least as long ago as its time is short. It may have no other try,
// and stays as long as it can.
func (st *State) recognize(req *request) {
	full := max(st.given[req.Route.Name], req.Given)
	st.given[req.Route.Name] = full
	least := time.Duration(st.tune.FirstTry * float64(full))
	if req.Given == 0 || req.Given >= least {
		return
	}
	req.returned = true
	req.goal = req.goal.Add(req.Given - least)
	st.markLate(req)
}

// markLate weighs a request that cannot be in time any more by what is left of its answer's worth, which is lost when its
// caller leaves. By its old goal the lateness that nothing can mend would count against every place that it could have.
// Load pattern: the longest prompts of a burst, which all the engines that may read them together would not read in time.
func (st *State) markLate(req *request) {
	if req.late {
		return
	}
	least := st.leastReading(req)
	if st.now.Add(least).Before(req.goal) {
		return
	}
	if req.goal.After(st.now) {
		st.emit(Line{Message: "goal out of reach", Request: req.Name, Age: st.now.Sub(req.at), Estimate: least, Tokens: req.Prompt})
	}
	req.late = true
	req.aim, req.worth = req.goal, req.value
	req.goal = req.Patience
	req.value *= 1 - st.tune.LateShare
}

// leastReading is how long as many engines as may read the prompt together would take for it if they had nothing else to do.
func (st *State) leastReading(req *request) time.Duration {
	svc := st.serviceOf(req.service)
	if svc.engine == nil {
		return 0
	}
	engines := max(1, min(st.mostEngines(svc.engine), len(st.candidates(svc))))
	return duration(svc.engine.Reading(req.Prompt, engines).Alone(svc.engine))
}

// comeBack spreads the callers that were refused over the time in which the backlog falls, so that they do not return
// together.
func (st *State) comeBack(req *request) time.Duration {
	after := busyPause + duration(st.meanBacklog(st.serviceOf(req.service))*1000) + time.Duration(st.random.Int64N(int64(spreadBack)))
	longest := time.Duration(st.tune.PatientShare * float64(req.Deadline.Sub(st.now)))
	return min(after, max(longest, time.Millisecond))
}

// spreadBack is over how long refused callers are spread.
const spreadBack = 1500 * time.Millisecond

package steer

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The cost of a placement: the value of the answers that it is expected to make late, and of the streams that it is
// expected to pause for too long.

// maxBacklog is the maximum backlog of one engine, in seconds, that counts in the mean backlog.
const maxBacklog = 4.0

// meanBacklog returns the mean time in seconds that the usable replicas among the service's candidates need to read the
// prompts sent to them. Prompts that still wait at the instances are left out: the longest ones would raise the price
// of engine time until nothing was sent at all.
func (st *State) meanBacklog(svc *service) float64 {
	if svc.engine == nil {
		return 0
	}
	var total float64
	count := 0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) {
			count++
			fc := rep.forecast(svc.engine, &st.tune, st.now)
			total += min(fc.backlog()/1000, maxBacklog)
		}
	}
	return total / float64(max(1, count))
}

// lateness returns the expected loss of the request's own value if its answer is estimated to begin in first ms.
func (st *State) lateness(req *request, first float64) float64 {
	return st.tune.lateness(req.value, ms(req.goal.Sub(st.now)), first)
}

// lateness returns the expected loss of an answer of the given value that is estimated to begin in first ms, with left ms
// until its goal. The loss keeps growing after the goal, since callers give up.
func (tune *Tuning) lateness(value, left, first float64) float64 {
	return tune.LateShare * value * (tune.risk(first, left) + min(1, max(0, first-left)/tune.GiveUp))
}

// risk returns the probability that what is estimated to take estimate ms takes longer than left ms.
func (tune *Tuning) risk(estimate, left float64) float64 {
	if estimate <= tune.RiskFrom*left {
		return 0
	}
	if estimate >= tune.RiskTo*left {
		return 1
	}
	return math.Pow((estimate/left-tune.RiskFrom)/(tune.RiskTo-tune.RiskFrom), tune.RiskPower)
}

// pauseLoss returns what a stream loses of its value by a pause of the given ms: nothing if the pause is allowed,
// LateShare if the stream counts as late, LeaveCost if its caller leaves.
func (tune *Tuning) pauseLoss(wk *work, pause float64) float64 {
	switch {
	case wk.gap <= 0 || pause <= tune.GapSafety*ms(wk.gap):
		return 0
	case wk.leaves <= 0 || pause <= tune.LeaveSafety*ms(wk.leaves):
		return tune.LateShare * wk.value
	}
	return wk.value * tune.LeaveCost
}

// ownPauseLoss returns the loss of the request's own value if every pass of the engine, even one without prefill, is
// longer than the longest pause that its caller was promised. It keeps streams off an engine that has become several
// times slower than declared but still answers.
func (st *State) ownPauseLoss(eng *decl.Engine, req *request, fc *forecast) float64 {
	wk := work{gap: req.gap, leaves: req.LeavesAt.Sub(req.at), value: req.value}
	return st.tune.pauseLoss(&wk, fc.slow*float64(eng.Stride)*fc.step)
}

// harmToOthers returns the value that the replica's other requests lose additionally if it reads this part too. Its
// prefill lengthens the next pass: streams pause until the pass ends, and answers that wait for the same pass begin at
// its end. The delay of parts that it reads as a helper is not counted.
func (st *State) harmToOthers(rep *replica, fc *forecast, part decl.PrefillWork) float64 {
	pauseBefore, pauseAfter := fc.pause(decl.PrefillWork{}), fc.pause(part)
	firstBefore, firstAfter := fc.firstEvent(decl.PrefillWork{}), fc.firstEvent(part)
	var lost float64
	for i := range rep.works {
		wk := &rep.works[i]
		switch {
		case !wk.first:
		case wk.begun || wk.stage != stageWaiting:
			lost += st.tune.pauseLoss(wk, pauseAfter) - st.tune.pauseLoss(wk, pauseBefore)
		default:
			left := ms(wk.goal.Sub(st.now))
			lost += st.tune.lateness(wk.value, left, firstAfter) - st.tune.lateness(wk.value, left, firstBefore)
		}
	}
	return lost
}

// spreadCost returns the cost of the request's stream on the replica, which is higher the shorter the stream's gap is
// and the fewer streams with at most that gap the replica has. It concentrates streams with short gaps on few engines,
// so that the other engines stay free for long prompts.
func (tune *Tuning) spreadCost(rep *replica, req *request) float64 {
	alike := 0
	for i := range rep.works {
		if wk := &rep.works[i]; wk.first && wk.gap > 0 && wk.gap <= req.gap {
			alike++
		}
	}
	otherShare := max(0, 1-float64(alike)/(tune.FullShare*float64(rep.Slots)))
	return otherShare * tune.SpreadCost * float64(time.Second) / float64(max(req.gap, 100*time.Millisecond))
}

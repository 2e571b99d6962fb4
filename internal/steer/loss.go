package steer

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// What a choice costs, in the worth of the answers that it would make late.

// longestBacklog bounds what one engine counts in the average, in seconds.
const longestBacklog = 4.0

// meanBacklog is the reading that waits at the average engine, in seconds. What waits at the instances does not count: the
// longest prompts there would make engine time so dear that nothing was sent at all.
func (st *State) meanBacklog(svc *service) float64 {
	if svc.engine == nil {
		return 0
	}
	var total float64
	count := 0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) {
			count++
			out := rep.outlook(svc.engine, &st.tune, st.now)
			total += min(out.backlog()/1000, longestBacklog)
		}
	}
	return total / float64(max(1, count))
}

// lateness is the request's own worth lost if its answer begins in so many ms.
func (st *State) lateness(req *request, first float64) float64 {
	return st.tune.lateness(req.value, ms(req.goal.Sub(st.now)), first)
}

// lateness is the worth lost of an answer that begins in so many ms where it has so many left; later is worse even among
// late ones, since callers give up.
func (tune *Tuning) lateness(value, left, first float64) float64 {
	return tune.LateShare * value * (tune.risk(first, left) + min(1, max(0, first-left)/tune.GiveUp))
}

// risk is the chance that what is reckoned to take so many ms takes longer than is left.
func (tune *Tuning) risk(estimate, left float64) float64 {
	if estimate <= tune.RiskFrom*left {
		return 0
	}
	if estimate >= tune.RiskTo*left {
		return 1
	}
	return math.Pow((estimate/left-tune.RiskFrom)/(tune.RiskTo-tune.RiskFrom), tune.RiskPower)
}

// pauseLoss is the worth that a stream loses by a pause of so many ms: it is late, or its caller leaves.
func (tune *Tuning) pauseLoss(wk *work, pause float64) float64 {
	switch {
	case wk.gap <= 0 || pause <= tune.GapSafety*ms(wk.gap):
		return 0
	case wk.leaves <= 0 || pause <= tune.LeaveSafety*ms(wk.leaves):
		return tune.LateShare * wk.value
	}
	return wk.value * tune.LeaveCost
}

// ownPauses is the worth that the request loses itself on an engine whose every pass is longer than its caller may wait.
// Load pattern: an engine turns several times slower than it declares and goes on answering.
func (st *State) ownPauses(eng *decl.Engine, req *request, out *outlook) float64 {
	wk := work{gap: req.gap, leaves: req.Patience.Sub(req.at), value: req.value}
	return st.tune.pauseLoss(&wk, out.slow*float64(eng.Stride)*out.step)
}

// harm is the worth that the callers of the replica's other requests lose if it reads so much more: streams pause for as
// long as a pass lasts, and what waits for the same pass begins at its end.
func (st *State) harm(rep *replica, out *outlook, part decl.Reading) float64 {
	before, after := out.pause(decl.Reading{}), out.pause(part)
	first, later := out.first(decl.Reading{}), out.first(part)
	var lost float64
	for i := range rep.works {
		wk := &rep.works[i]
		switch {
		case !wk.first:
		case wk.begun || wk.stage != stageWaits:
			lost += st.tune.pauseLoss(wk, after) - st.tune.pauseLoss(wk, before)
		default:
			left := ms(wk.goal.Sub(st.now))
			lost += st.tune.lateness(wk.value, left, later) - st.tune.lateness(wk.value, left, first)
		}
	}
	return lost
}

// spread prices a stream that may not pause on an engine with few streams like it. It fills one engine after the other,
// so that the others stay free for long reads.
func (tune *Tuning) spread(rep *replica, req *request) float64 {
	alike := 0
	for i := range rep.works {
		if wk := &rep.works[i]; wk.first && wk.gap > 0 && wk.gap <= req.gap {
			alike++
		}
	}
	room := max(0, 1-float64(alike)/(tune.FullShare*float64(rep.Slots)))
	return room * tune.SpreadCost * float64(time.Second) / float64(max(req.gap, 100*time.Millisecond))
}

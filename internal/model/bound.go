package model

import (
	"cmp"
	"slices"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// Bound returns an upper bound of Result.Whole, the share of the offered worth that a policy can earn. It assumes that
// any number of engines can prefill a prompt together, in any order and with interruptions, that decoding takes no time,
// that no stream pauses, that memory is never full and that all arrivals are known beforehand. What remains are the
// engines' total time and that each prompt is prefilled between its arrival and its goal. A prompt that is prefilled in
// part earns that part of its worth. Time is divided into slots of boundSlot; a request may use the whole of its first
// and last slot.
func Bound(sc *Scenario, seed uint64) float64 {
	demands := promptDemands(sc, seed)
	slices.SortStableFunc(demands, func(a, b promptDemand) int {
		return cmp.Compare(b.worth/max(b.time, minTime), a.worth/max(a.time, minTime))
	})
	slots := int((sc.Seconds+settleSeconds)*1000/boundSlot) + 1
	capacity := float64(sc.Engines) * boundSlot
	var accepted []promptDemand
	offered, earned := 0.0, 0.0
	for _, dm := range demands {
		offered += dm.worth
		part := feasiblePart(accepted, dm, slots, capacity)
		earned += dm.worth * (dm.late + (1-dm.late)*part)
		if part > 0 {
			dm.time *= part
			accepted = append(accepted, dm)
		}
	}
	if offered == 0 {
		return 1
	}
	return earned / offered
}

const (
	// boundSlot is the length of a time slot in ms.
	boundSlot = 250.0
	// minTime is the smallest time in ms that is not treated as 0.
	minTime = 0.01
	// bisections is the number of bisection steps that search for the part of a prompt that can be prefilled in time.
	bisections = 7
)

// promptDemand is the demand of one prompt: its engine time in ms, the slots in which it can be prefilled, and its worth.
type promptDemand struct {
	time        float64
	first, last int
	worth       float64
	// late is the share of its worth that a late answer earns.
	late float64
}

// promptDemands lists the prompts of a run, with the same arrivals as in Run.
func promptDemands(sc *Scenario, seed uint64) []promptDemand {
	wd := newWorld(sc, steer.DefaultTuning(), seed)
	var demands []promptDemand
	wd.scheduleArrivals(func(index int) {
		cl := wd.newCall(index)
		if cl.prompt == 0 {
			return
		}
		at := ms(wd.now.Sub(epoch))
		demands = append(demands, promptDemand{
			time:  sc.Engine.PrefillWork(cl.prompt, 1).AloneTime(&sc.Engine),
			first: int(at / boundSlot), last: int((at + cl.class.Goal) / boundSlot),
			worth: cl.worth, late: cl.class.LateWorth / cl.class.Worth,
		})
	})
	wd.runEvents()
	return demands
}

// feasiblePart returns the largest part of the prompt, up to the precision of bisections, that can be prefilled by its
// goal in addition to the accepted ones.
func feasiblePart(accepted []promptDemand, dm promptDemand, slots int, capacity float64) float64 {
	if feasible(accepted, dm, 1, slots, capacity) {
		return 1
	}
	low, high := 0.0, 1.0
	for range bisections {
		middle := (low + high) / 2
		if feasible(accepted, dm, middle, slots, capacity) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// feasible reports whether all prompts can be prefilled by their goals. It schedules the earliest goal first, which finds
// a feasible schedule if one exists.
func feasible(accepted []promptDemand, dm promptDemand, part float64, slots int, capacity float64) bool {
	dm.time *= part
	// Any accepted prompt can conflict with the new one through a chain of shared slots, so the whole schedule is
	// checked.
	demands := append(slices.Clone(accepted), dm)
	slices.SortStableFunc(demands, func(a, b promptDemand) int { return cmp.Compare(a.first, b.first) })
	var waiting []promptDemand
	next := 0
	for slot := range slots {
		for next < len(demands) && demands[next].first <= slot {
			waiting = append(waiting, demands[next])
			next++
		}
		slices.SortStableFunc(waiting, func(a, b promptDemand) int { return cmp.Compare(a.last, b.last) })
		left := capacity
		done := 0
		for i := range waiting {
			use := min(left, waiting[i].time)
			waiting[i].time -= use
			left -= use
			if waiting[i].time > minTime {
				break
			}
			done++
		}
		waiting = waiting[done:]
		if len(waiting) > 0 && waiting[0].last <= slot {
			return false
		}
	}
	return true
}

// FullInformation returns the scenario with a single instance and almost no delay. Its result is what the same decisions
// earn if no information is late or missing.
func FullInformation(sc *Scenario) *Scenario {
	ideal := *sc
	ideal.Name += ", all known"
	ideal.Instances, ideal.NoteDelay, ideal.NoteLoss = 1, 0.01, 0
	return &ideal
}

package model

import (
	"cmp"
	"slices"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// Bound is what no policy earns more than: prompts are read by all engines at once or by any part of them, in any order and
// with pauses, nothing is written, no stream pauses, no memory is full and all is known beforehand. What is left is that
// engines have so much time, and that each prompt is read between its arrival and its goal. A prompt that is read in part
// earns that part. The time is in slots of boundSlot; a request may use the whole of its first and last one.
func Bound(sc *Scenario, seed uint64) float64 {
	works := demand(sc, seed)
	slices.SortStableFunc(works, func(one, two demanded) int {
		return cmp.Compare(two.worth/max(two.time, finest), one.worth/max(one.time, finest))
	})
	slots := int((sc.Seconds+settling)*1000/boundSlot) + 1
	capacity := float64(sc.Engines) * boundSlot
	var accepted []demanded
	owed, earned := 0.0, 0.0
	for _, wk := range works {
		owed += wk.worth
		part := fits(accepted, wk, slots, capacity)
		earned += wk.worth * (wk.late + (1-wk.late)*part)
		if part > 0 {
			wk.time *= part
			accepted = append(accepted, wk)
		}
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

const (
	// boundSlot is in ms, finest the least time that counts.
	boundSlot = 250.0
	finest    = 0.01
	// halvings is how finely the part of a prompt is found that can be read.
	halvings = 7
)

// demanded is one prompt: what it takes in ms of engine time, in which slots, and what it earns.
type demanded struct {
	time        float64
	first, last int
	worth       float64
	// late is the part of its worth that a late answer earns.
	late float64
}

// demand lists the prompts of a run, which arrive as they do in Run.
func demand(sc *Scenario, seed uint64) []demanded {
	wd := newWorld(sc, steer.DefaultTuning(), seed)
	var works []demanded
	wd.arrive(func(index int) {
		cl := wd.draw(index)
		if cl.prompt == 0 {
			return
		}
		at := ms(wd.now.Sub(epoch))
		works = append(works, demanded{
			time:  sc.Engine.Reading(cl.prompt, 1).Alone(&sc.Engine),
			first: int(at / boundSlot), last: int((at + cl.class.Goal) / boundSlot),
			worth: cl.worth, late: cl.class.LateWorth / cl.class.Worth,
		})
	})
	wd.play()
	return works
}

// fits is the part of the prompt that can be read beside those that were accepted.
func fits(accepted []demanded, wk demanded, slots int, capacity float64) float64 {
	if schedules(accepted, wk, 1, slots, capacity) {
		return 1
	}
	low, high := 0.0, 1.0
	for range halvings {
		middle := (low + high) / 2
		if schedules(accepted, wk, middle, slots, capacity) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// schedules tells whether all can be read by their goals: the one whose goal is next goes first, which finds a way if there
// is one.
func schedules(accepted []demanded, wk demanded, part float64, slots int, capacity float64) bool {
	wk.time *= part
	// Only those that share slots with it, at the end of a chain of others, can be in its way; all are tried.
	works := append(slices.Clone(accepted), wk)
	slices.SortStableFunc(works, func(one, two demanded) int { return cmp.Compare(one.first, two.first) })
	var waiting []demanded
	next := 0
	for slot := range slots {
		for next < len(works) && works[next].first <= slot {
			waiting = append(waiting, works[next])
			next++
		}
		slices.SortStableFunc(waiting, func(one, two demanded) int { return cmp.Compare(one.last, two.last) })
		left := capacity
		done := 0
		for i := range waiting {
			use := min(left, waiting[i].time)
			waiting[i].time -= use
			left -= use
			if waiting[i].time > finest {
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

// AllKnowing is the scenario with one instance that hears of everything at once, which is what the same decisions earn where
// nothing is late or unknown.
func AllKnowing(sc *Scenario) *Scenario {
	known := *sc
	known.Name += ", all known"
	known.Instances, known.NoteDelay, known.NoteLoss = 1, 0.01, 0
	return &known
}

package admit

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Measurement of the rate at which a queue drains.
const (
	// drainWindow is the minimum time over which the rate is measured.
	drainWindow = 250 * time.Millisecond
	// drainGain is the weight of a new measurement in the moving average.
	drainGain = 0.3
)

// drainRate estimates the rate at which a class drains while items of it wait.
type drainRate struct {
	// windowStart is when the current measurement began, zero while no item waits.
	windowStart time.Time
	// work is the work taken from the class since windowStart.
	work time.Duration
	// rate is the work taken per unit of time, 0 before the first measurement.
	rate float64
}

// MarkBlocked updates the drain rates of the service's classes. Call it when no waiting item of the service finds a replica,
// and when no item waits any more.
func (st *State) MarkBlocked(now time.Time, service string) {
	qu, ok := st.queues[service]
	if !ok {
		return
	}
	for _, cl := range qu.classes {
		cl.drain.observe(now, cl.items > 0)
	}
}

func (dr *drainRate) observe(now time.Time, waiting bool) {
	if dr.windowStart.IsZero() || !waiting {
		dr.work = 0
		dr.windowStart = time.Time{}
		if waiting {
			dr.windowStart = now
		}
		return
	}
	passed := now.Sub(dr.windowStart)
	if passed < drainWindow {
		return
	}
	rate := dr.work.Seconds() / passed.Seconds()
	if dr.rate == 0 {
		dr.rate = rate
	}
	dr.rate += drainGain * (rate - dr.rate)
	dr.windowStart = now
	dr.work = 0
}

// Wait estimates how long a new item of the organisation and class would wait in the service's queue; it is 0 under
// FirstCome. The capacity is the number of replicas that this instance can expect to keep busy. It stands in for the drain
// rate of a class until that has been measured.
//
// Under Priority the item waits for the other classes of the same or a higher priority. In its own class it waits for the
// work that its organisation has queued there, scaled up by the weights of all organisations that wait, and at most for
// the whole class: fair sharing lets it overtake the rest.
func (st *State) Wait(service, organisation string, cl decl.LengthClass, weight, capacity float64) time.Duration {
	qu, ok := st.queues[service]
	if !ok || len(qu.items) == 0 {
		return 0
	}
	if _, ok := qu.discipline.(FirstCome); ok {
		return 0
	}
	var wait time.Duration
	for name, other := range qu.classes {
		switch {
		case name == cl.Name:
			wait += other.drainTime(qu.aheadInClass(flowKey{organisation, name}, other, weight), capacity)
		case qu.waitsFor(cl, other):
			wait += other.drainTime(other.work, capacity)
		}
	}
	return wait
}

// waitsFor reports whether an item of the class waits for all the work of the other class. Under Weighted it never does.
func (qu *queue) waitsFor(cl decl.LengthClass, other *class) bool {
	_, ranked := qu.discipline.(Priority)
	return ranked && other.priority >= cl.Priority
}

// drainTime estimates how long the class takes to drain the work, at its measured drain rate or, before the first
// measurement, at the capacity. The measured rate already accounts for the replicas that classes above it use.
func (cl *class) drainTime(work time.Duration, capacity float64) time.Duration {
	rate := cl.drain.rate
	if rate <= 0 {
		rate = capacity
	}
	// A queue that made no progress for a moment must not make the estimate infinite.
	rate = max(rate, capacity/maxDrainSlowdown)
	if work <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate)
}

// maxDrainSlowdown is the factor by which a class is assumed to drain more slowly than the capacity at worst.
const maxDrainSlowdown = 20

// aheadInClass estimates the work in the class that is taken before a new item of the flow with the weight.
func (qu *queue) aheadInClass(key flowKey, cl *class, weight float64) time.Duration {
	fl, ok := qu.flows[key]
	if !ok || fl.items == 0 {
		return 0
	}
	share := float64(fl.work) * cl.weights / weight
	return min(cl.work, time.Duration(share))
}

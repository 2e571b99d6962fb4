package admit

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Learning how fast a queue empties.
const (
	// drainWindow is the shortest backlog that is measured.
	drainWindow = 250 * time.Millisecond
	// drainGain is how much of a new measurement is taken over.
	drainGain = 0.3
)

// drain measures how much work leaves a queue in a second while something waits.
type drain struct {
	// since is when the present backlog began, zero if there is none.
	since time.Time
	work  time.Duration
	// rate is work for time, 0 before the first measurement.
	rate float64
}

// Blocked tells that what waits for the service found no replica, or that nothing waits any more.
func (st *State) Blocked(now time.Time, service string) {
	qu, ok := st.queues[service]
	if !ok {
		return
	}
	for _, cl := range qu.classes {
		cl.drain.look(now, cl.items > 0)
	}
}

func (dr *drain) look(now time.Time, waiting bool) {
	if dr.since.IsZero() || !waiting {
		dr.work = 0
		dr.since = time.Time{}
		if waiting {
			dr.since = now
		}
		return
	}
	passed := now.Sub(dr.since)
	if passed < drainWindow {
		return
	}
	rate := dr.work.Seconds() / passed.Seconds()
	if dr.rate == 0 {
		dr.rate = rate
	}
	dr.rate += drainGain * (rate - dr.rate)
	dr.since = now
	dr.work = 0
}

// Wait estimates how long a new item of the organisation and class would wait in the service's queue. The capacity is
// how many replicas' worth of work this instance may expect to use before the queue has been seen to empty.
//
// Ahead of it are the classes of higher priority and its own class; of the latter at most what its organisation has
// there itself, scaled up to all that wait, since fair shares let it pass the rest.
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
			wait += other.time(qu.aheadInClass(flowKey{organisation, name}, other, weight), capacity)
		case qu.yields(cl, other):
			wait += other.time(other.work, capacity)
		}
	}
	return wait
}

// yields tells whether an item of the class waits for all of the other class; under Weighted none does.
func (qu *queue) yields(cl decl.LengthClass, other *class) bool {
	_, ranked := qu.discipline.(Priority)
	return ranked && other.priority >= cl.Priority
}

// time is how long the class takes for the work, at the speed at which it was seen to empty. What classes above it
// take of the replicas is in that speed already.
func (cl *class) time(work time.Duration, capacity float64) time.Duration {
	rate := cl.drain.rate
	if rate <= 0 {
		rate = capacity
	}
	// A queue that stood still for a moment is not taken to stand for ever.
	rate = max(rate, capacity/minDrain)
	if work <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate)
}

// minDrain is how much slower than its capacity a class is believed to empty at worst.
const minDrain = 20

func (qu *queue) aheadInClass(key flowKey, cl *class, weight float64) time.Duration {
	fl, ok := qu.flows[key]
	if !ok || fl.items == 0 {
		return 0
	}
	share := float64(fl.work) * cl.weights / weight
	return min(cl.work, time.Duration(share))
}

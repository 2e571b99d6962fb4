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
	qu.drain.look(now, len(qu.items) > 0)
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
	ahead := qu.ahead(organisation, cl, weight)
	rate := qu.drain.rate
	if rate <= 0 {
		rate = capacity
	}
	// A queue that stood still for a moment is not taken to stand for ever.
	rate = max(rate, capacity/minDrain)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate)
}

// minDrain is how much slower than its capacity a queue is believed to empty at worst.
const minDrain = 20

func (qu *queue) ahead(organisation string, cl decl.LengthClass, weight float64) time.Duration {
	_, inOrder := qu.discipline.(FirstCome)
	_, ranked := qu.discipline.(Priority)
	var ahead time.Duration
	for name, other := range qu.classes {
		switch {
		case name == cl.Name && !inOrder:
			ahead += qu.aheadInClass(flowKey{organisation, name}, other, weight)
		case inOrder || (ranked && other.priority >= cl.Priority):
			ahead += other.work
		case !ranked:
			// Weighted: a class of its own share does not wait for another's, but takes part of the replicas' time.
			ahead += min(other.work, qu.classes[cl.Name].workOrZero())
		}
	}
	return ahead
}

func (cl *class) workOrZero() time.Duration {
	if cl == nil {
		return 0
	}
	return cl.work
}

func (qu *queue) aheadInClass(key flowKey, cl *class, weight float64) time.Duration {
	fl, ok := qu.flows[key]
	if !ok || fl.items == 0 {
		return 0
	}
	share := float64(fl.work) * cl.weights / weight
	return min(cl.work, time.Duration(share))
}

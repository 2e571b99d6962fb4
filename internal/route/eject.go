package route

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Ejection of upstreams that keep failing or are far slower than the rest of their pool.
const (
	// failuresToEject is how many attempts in a row must fail.
	failuresToEject = 3
	// ejection is how long an upstream stays out; it doubles with each time in a row up to maxEjection.
	ejection    = 2 * time.Second
	maxEjection = time.Minute
	// maxEjectedShare bounds the part of a service's replicas that may be out at once, so that a fault common to all
	// never empties the pool. One whole failure domain may be out, see domainAway.
	maxEjectedShare = 0.34
	// probesToReturn is how many requests, one at a time, must be answered before an upstream is back for good.
	probesToReturn = 3
	// slowFactor is how much slower than the median of its pool an upstream must be.
	slowFactor = 3
	// slowSamples is how many answers must show it.
	slowSamples = 10
	// slowPeriod is the time between two comparisons.
	slowPeriod = time.Second
	// minSlowPool is the smallest pool with a median to speak of.
	minSlowPool = 3
	// slowdownGain is how much of a new answer's time is taken over.
	slowdownGain = 0.15
)

func (st *State) ejected(rep *Replica) bool {
	return st.now.Before(rep.EjectedUntil)
}

// failed counts a failure and reports whether the replica was ejected by it. What ends while the replica is out was sent
// before: a replica that breaks off all its streams at once would be out for the longest time at the first offence.
func (st *State) failed(rep *Replica) bool {
	if st.ejected(rep) {
		return false
	}
	rep.Failures++
	if !rep.Probing && rep.Failures < failuresToEject {
		return false
	}
	return st.eject(rep)
}

// succeeded counts an answer; a replica on probation comes back after some of them. Answers that were under way at the
// ejection are no probes: they would end the probation of a replica that is still out, which then no longer counts among
// those that are, and one replica after another could follow until none is left.
func (st *State) succeeded(rep *Replica) {
	if st.ejected(rep) {
		return
	}
	rep.Failures = 0
	if !rep.Probing {
		rep.Ejections = 0
		return
	}
	rep.Probes++
	if rep.Probes < probesToReturn {
		return
	}
	rep.Probing = false
	st.out = slices.DeleteFunc(st.out, func(other *Replica) bool { return other == rep })
}

// eject takes the replica out for a while, unless too many of its pool are out already.
func (st *State) eject(rep *Replica) bool {
	out := 1
	for _, other := range st.out {
		if other != rep && other.pool == rep.pool && other.live() {
			out++
		}
	}
	if float64(out) > maxEjectedShare*float64(rep.pool.live) && !st.domainAway(rep) {
		return false
	}
	if !slices.Contains(st.out, rep) {
		st.out = append(st.out, rep)
	}
	rep.EjectedUntil = st.now.Add(min(ejection<<rep.Ejections, maxEjection))
	rep.Ejections = min(rep.Ejections+1, 6)
	rep.Failures = 0
	rep.Probing = true
	rep.Probes = 0
	rep.Samples = 0
	return true
}

// domainAway tells that all that would be out of the pool is in the replica's failure domain, while another one has
// replicas in use. A failure domain that is lost is more than the share of a pool in three, and every request sent to
// what is left of it would wait for a silence.
func (st *State) domainAway(rep *Replica) bool {
	for _, other := range st.out {
		if other.pool == rep.pool && other.live() && other.Upstream.FailureDomain != rep.Upstream.FailureDomain {
			return false
		}
	}
	for _, other := range st.Services[rep.Upstream.Service] {
		if other.live() && other.Upstream.FailureDomain != rep.Upstream.FailureDomain {
			return true
		}
	}
	return false
}

// Tick lets ejections end and compares the replicas' speeds; it returns the names of those newly ejected as slow.
func (st *State) Tick(now time.Time) []string {
	st.now = now
	for _, rep := range st.out {
		st.settle(rep)
	}
	if now.Before(st.nextSlow) {
		return nil
	}
	st.nextSlow = now.Add(slowPeriod)
	var slow []string
	for _, service := range st.order {
		slow = append(slow, st.ejectSlow(st.Services[service])...)
	}
	return slow
}

func (st *State) ejectSlow(reps []*Replica) []string {
	if len(reps) < minSlowPool {
		return nil
	}
	st.slowdowns = st.slowdowns[:0]
	for _, rep := range reps {
		if rep.Samples >= slowSamples && rep.live() {
			st.slowdowns = append(st.slowdowns, rep.Slowdown)
		}
	}
	if len(st.slowdowns) < minSlowPool {
		return nil
	}
	slices.Sort(st.slowdowns)
	bound := slowFactor * st.slowdowns[(len(st.slowdowns)-1)/2]
	var slow []string
	for _, rep := range reps {
		if rep.Samples >= slowSamples && rep.live() && rep.Slowdown > bound && st.eject(rep) {
			st.settle(rep)
			slow = append(slow, rep.Upstream.Name)
		}
	}
	return slow
}

// failure tells whether a result speaks against the upstream.
func failure(result event.Result) bool {
	switch result {
	case event.ResultNotSent, event.ResultFailed, event.ResultBroken, event.ResultSilent:
		return true
	}
	return false
}

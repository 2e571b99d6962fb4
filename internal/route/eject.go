package route

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Ejection (outlier detection) of upstreams that keep failing or are far slower than the rest of their pool.
const (
	// failuresToEject is the number of consecutive failed attempts that ejects an upstream.
	failuresToEject = 3
	// baseEjection is the duration of the first ejection. Each consecutive one is twice as long.
	baseEjection = 2 * time.Second
	// maxEjection is the maximum duration of an ejection.
	maxEjection = time.Minute
	// maxEjectedShare is the maximum share of a service's replicas that may be ejected or on probation at once, so that a
	// fault common to all of them never empties the pool. A whole failure domain may exceed it, see confinedToDomain.
	maxEjectedShare = 0.34
	// probesToRecover is the number of requests, sent one at a time, that an upstream must answer to end its probation.
	probesToRecover = 3
	// slowFactor is the multiple of the median slowdown of its pool above which an upstream is ejected.
	slowFactor = 3
	// minSlowSamples is the minimum number of answers before an upstream's slowdown is compared.
	minSlowSamples = 10
	// slowCheckPeriod is the time between two comparisons.
	slowCheckPeriod = time.Second
	// minSlowPool is the smallest number of replicas whose median is meaningful.
	minSlowPool = 3
	// slowdownGain is the weight of a new answer in the moving average of the slowdown.
	slowdownGain = 0.15
)

func (st *State) ejected(rep *Replica) bool {
	return st.now.Before(rep.EjectedUntil)
}

// recordFailure counts a failed attempt and reports whether the replica was ejected for it. Attempts that end during an
// ejection were sent before it and do not count. Otherwise a replica that breaks all its streams at once would get the
// longest ejection for its first fault.
func (st *State) recordFailure(rep *Replica) bool {
	if st.ejected(rep) {
		return false
	}
	rep.Failures++
	if !rep.Probing && rep.Failures < failuresToEject {
		return false
	}
	return st.eject(rep)
}

// recordSuccess counts a complete answer and ends a replica's probation after probesToRecover of them. Attempts that were
// in flight at the ejection are not probes. If they counted, they would end the probation of a replica that is still
// ejected, which then would no longer count towards maxEjectedShare, and one replica after another could be ejected until
// none is left.
func (st *State) recordSuccess(rep *Replica) {
	if st.ejected(rep) {
		return
	}
	rep.Failures = 0
	if !rep.Probing {
		rep.Ejections = 0
		return
	}
	rep.Probes++
	if rep.Probes < probesToRecover {
		return
	}
	rep.Probing = false
	st.unhealthy = slices.DeleteFunc(st.unhealthy, func(other *Replica) bool { return other == rep })
}

// eject ejects the replica, unless too many of its pool are ejected or on probation already. It reports whether it did.
func (st *State) eject(rep *Replica) bool {
	unhealthy := 1
	for _, other := range st.unhealthy {
		if other != rep && other.pool == rep.pool && other.live() {
			unhealthy++
		}
	}
	if float64(unhealthy) > maxEjectedShare*float64(rep.pool.liveReplicas) && !st.confinedToDomain(rep) {
		return false
	}
	if !slices.Contains(st.unhealthy, rep) {
		st.unhealthy = append(st.unhealthy, rep)
	}
	rep.EjectedUntil = st.now.Add(min(baseEjection<<rep.Ejections, maxEjection))
	rep.Ejections = min(rep.Ejections+1, 6)
	rep.Failures = 0
	rep.Probing = true
	rep.Probes = 0
	rep.Samples = 0
	return true
}

// confinedToDomain reports whether all replicas of the pool that are ejected or on probation are in the replica's failure
// domain while another domain has live replicas. A lost failure domain can be more than maxEjectedShare of a pool that spans
// three domains, and every request sent to the rest of it would wait until the silence of its replica is noticed.
func (st *State) confinedToDomain(rep *Replica) bool {
	for _, other := range st.unhealthy {
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

// Tick ends ejections whose time has passed and, every slowCheckPeriod, compares the speeds of the replicas. It returns the
// names of the upstreams that it ejected as slow.
func (st *State) Tick(now time.Time) []string {
	st.now = now
	for _, rep := range st.unhealthy {
		st.updateOpenSet(rep)
	}
	st.updateRested()
	if now.Before(st.nextSlowCheck) {
		return nil
	}
	st.nextSlowCheck = now.Add(slowCheckPeriod)
	var slow []string
	for _, service := range st.serviceOrder {
		slow = append(slow, st.ejectSlow(st.Services[service])...)
	}
	return slow
}

// ejectSlow ejects the replicas whose slowdown is more than slowFactor times the median, and returns their names.
func (st *State) ejectSlow(reps []*Replica) []string {
	if len(reps) < minSlowPool {
		return nil
	}
	st.slowdowns = st.slowdowns[:0]
	for _, rep := range reps {
		if rep.Samples >= minSlowSamples && rep.live() {
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
		if rep.Samples >= minSlowSamples && rep.live() && rep.Slowdown > bound && st.eject(rep) {
			st.updateOpenSet(rep)
			slow = append(slow, rep.Upstream.Name)
		}
	}
	return slow
}

// isUpstreamFailure reports whether the result counts as a failure of the upstream.
func isUpstreamFailure(result event.Result) bool {
	switch result {
	case event.ResultNotSent, event.ResultFailed, event.ResultBroken, event.ResultSilent:
		return true
	}
	return false
}

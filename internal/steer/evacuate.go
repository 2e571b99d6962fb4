package steer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/posit"
)

// Evacuation of failure domains. Load pattern: the operators empty a failure domain at the peak, and its callers and work move to the
// others at once; later the evacuation ends, and the replicas may be cold. The replicas of an evacuated failure domain stay
// registered, but they are in no subset and are no candidates, and notice.Evacuated holds back messages whose sending is decided already.

// evacuations is what this instance knows of the evacuated failure domains.
type evacuations struct {
	// since holds, by failure domain, when the evacuation came into force here.
	since map[string]time.Time
	// hosts caches the failure domains over which the instances of the evacuated ones are distributed, sorted; nil until it is computed.
	hosts []string
}

// has reports whether the failure domain is evacuated.
func (evs *evacuations) has(domain string) bool {
	_, ok := evs.since[domain]
	return ok
}

// evacuate applies the set of evacuated failure domains. Requests that wait for a replica in one of them are placed anew and keep their
// deadlines; a claim there is withdrawn when it is due. Summaries are sent at once, so that the new users of each subset know the load of
// this instance.
func (st *State) evacuate(ev Evacuated) {
	before := st.evacuations.since
	since := make(map[string]time.Time, len(ev.FailureDomains))
	for _, domain := range ev.FailureDomains {
		at, ok := before[domain]
		if !ok {
			at = st.now
		}
		since[domain] = at
	}
	if maps.EqualFunc(before, since, func(_, _ time.Time) bool { return true }) {
		return
	}
	st.flushAll()
	st.evacuations.since = since
	st.resetSubsets()
	st.logEvacuations(before, ev.At)
	var left []*replica
	for _, name := range slices.Sorted(maps.Keys(st.replicas)) {
		rep := st.replicas[name]
		was := rep.evacuated
		rep.evacuated = st.evacuations.has(rep.FailureDomain)
		switch {
		case rep.evacuated && !was:
			left = append(left, rep)
		case was && !rep.evacuated:
			st.markColdAfterEvacuation(rep)
		}
	}
	for _, rep := range left {
		st.forgetPath(rep)
	}
	st.dispatch()
	st.expire()
	st.sendSummaries()
}

// logEvacuations logs which evacuations have come into force and which have ended since the set before.
func (st *State) logEvacuations(before map[string]time.Time, at posit.Position) {
	now, replicas := st.evacuations.since, st.EvacuatedReplicas()
	for _, domain := range slices.Sorted(maps.Keys(now)) {
		if _, ok := before[domain]; !ok {
			st.emit(LogLine{Message: "evacuation in force", FailureDomain: domain, At: at, Replicas: replicas[domain]})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(before)) {
		if _, ok := now[domain]; !ok {
			st.emit(LogLine{Message: "evacuation ended", FailureDomain: domain, At: at, Age: st.now.Sub(before[domain])})
		}
	}
}

// EvacuatedReplicas returns the number of registered replicas in each evacuated failure domain.
func (st *State) EvacuatedReplicas() map[string]int {
	counts := make(map[string]int, len(st.evacuations.since))
	for domain := range st.evacuations.since {
		counts[domain] = 0
	}
	for _, rep := range st.replicas {
		if !rep.gone && st.evacuations.has(rep.FailureDomain) {
			counts[rep.FailureDomain]++
		}
	}
	return counts
}

// forgetPath removes the replica from the evidence on whether the path to its service is lost.
func (st *State) forgetPath(rep *replica) {
	rep.unconfirmed = false
	svc := st.serviceOf(rep.Service)
	lostAt := svc.path.LostAt
	if svc.path.Drop(st.now, rep.Name, st.candidateNames(svc)) {
		st.regained(svc, lostAt)
	}
}

// inUse returns the service's replicas outside evacuated failure domains. They are cached until the replicas or the evacuations change.
func (st *State) inUse(svc *service) []*replica {
	if len(st.evacuations.since) == 0 {
		return svc.replicas
	}
	if svc.used == nil {
		svc.used = []*replica{}
		for _, rep := range svc.replicas {
			if !rep.evacuated {
				svc.used = append(svc.used, rep)
			}
		}
	}
	return svc.used
}

// hostOf returns the failure domain whose subsets serve the named instance or replica of the given failure domain. That is its own or,
// while that is evacuated, one of the others by rendezvous hashing of the name. All instances that know the same instances and
// evacuations choose the same one. When another failure domain is evacuated, only the instances and replicas that it hosted move.
func (st *State) hostOf(domain, name string) string {
	if !st.evacuations.has(domain) {
		return domain
	}
	best, highest := domain, uint64(0)
	for _, host := range st.hosts() {
		if hash := xxhash.Sum64String(name + "/" + host); hash > highest {
			best, highest = host, hash
		}
	}
	return best
}

// hosts returns the failure domains that are not evacuated and that have instances, sorted.
func (st *State) hosts() []string {
	if st.evacuations.hosts == nil {
		st.evacuations.hosts = []string{}
		for _, inst := range append([]Instance{st.self()}, st.others...) {
			if !st.evacuations.has(inst.FailureDomain) {
				st.evacuations.hosts = append(st.evacuations.hosts, inst.FailureDomain)
			}
		}
		slices.Sort(st.evacuations.hosts)
		st.evacuations.hosts = slices.Compact(st.evacuations.hosts)
	}
	return st.evacuations.hosts
}

// hosted returns a copy of the instance whose failure domain is its host's.
func (st *State) hosted(inst Instance) Instance {
	inst.FailureDomain = st.hostOf(inst.FailureDomain, inst.Name)
	return inst
}

package route

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

const (
	// sampledReplicas is the number of random replicas of the local failure domain that are compared (power of two choices).
	// Two come close to the best of all, and reports that lag do not make every instance pick the same replica.
	sampledReplicas = 2
	// sampledForLowPriority is the number of replicas compared in the local failure domain, and again outside of it, for a
	// class with at least lowPriorityAbove higher priorities. Its prompts are few, so that instances seldom pick at the same
	// time, and a bad pick costs them seconds.
	sampledForLowPriority = 4
	// lowPriorityAbove is the number of higher priorities from which on a class counts as one of low priority.
	lowPriorityAbove = 2
	// maxExamined is the maximum number of replicas examined to find the sample.
	maxExamined = 16
)

// Pick returns a replica with room for the request, or nil. LowestCost picks the replica with the lowest cost among a
// random sample of the local failure domain, another one of the other domains, and the replicas that hold the longest
// known prefix of the prompt. The baselines ignore cost, prefixes and failure domains.
func (st *State) Pick(now time.Time, pc *PickCriteria) *Replica {
	st.now = now
	pl, ok := st.pools[pc.Service]
	if !ok || len(pl.local.reps)+len(pl.remote.reps) == 0 {
		return nil
	}
	if _, lowestCost := st.Policy.(LowestCost); !lowestCost {
		return st.pickBaseline(pl, pc)
	}
	known, depth := st.prefixes.longest(pc.Prefixes)
	st.candidates = st.candidates[:0]
	for i := range known {
		if rep := known[i].rep; rep.pool == pl && rep.openIndex >= 0 && rep.eligible(now, pc) {
			st.candidates = append(st.candidates, rep)
		}
	}
	localCount, remoteCount := sampledReplicas, max(1, sampledReplicas-len(pl.local.reps))
	if pc.HigherClasses >= lowPriorityAbove {
		localCount, remoteCount = sampledForLowPriority, sampledForLowPriority
	}
	st.sample(&pl.local, pc, localCount)
	st.sample(&pl.remote, pc, remoteCount)
	if len(st.candidates) == 0 {
		return st.pickFallback(pl, pc)
	}
	var best *Replica
	var lowest float64
	for _, rep := range st.candidates {
		cost := rep.cost(now, pc, cachedTokens(now, known, rep, depth))
		if best == nil || cost < lowest {
			best, lowest = rep, cost
		}
	}
	return best
}

// sample adds up to count eligible replicas of the set to the candidates. It examines the set from a random replica on.
func (st *State) sample(set *openSet, pc *PickCriteria, count int) {
	open := len(set.reps)
	if open == 0 {
		return
	}
	first := st.random.IntN(open)
	step := 1
	if open > maxExamined {
		step = 1 + st.random.IntN(open-1)
	}
	for i := range min(open, maxExamined) {
		rep := set.reps[(first+i*step)%open]
		if !rep.eligible(st.now, pc) || slices.Contains(st.candidates, rep) {
			continue
		}
		st.candidates = append(st.candidates, rep)
		count--
		if count == 0 {
			return
		}
	}
}

// eligible reports whether an open replica may be sent the request.
func (rep *Replica) eligible(now time.Time, pc *PickCriteria) bool {
	if rep.Probing && !pc.Repeatable {
		return false
	}
	return !slices.Contains(pc.Tried, rep.Upstream.Name) && rep.offersModel(pc.Model) && rep.hasRoom(now, pc)
}

// offersModel reports whether the replica has the model loaded. A replica that reported neither loaded nor loading models is
// assumed to have it.
func (rep *Replica) offersModel(model string) bool {
	return model == "" || len(rep.Models)+len(rep.Loading) == 0 || upstr.Offers(rep.Models, model)
}

// pickFallback picks a replica that failed this request before, or one on probation, when no other replica is open. It picks
// the one whose failure of the request is the earliest, so that the request does not return to a replica that has just died.
func (st *State) pickFallback(pl *pool, pc *PickCriteria) *Replica {
	var best *Replica
	for _, set := range []*openSet{&pl.local, &pl.remote} {
		for _, rep := range set.reps {
			if !rep.offersModel(pc.Model) {
				continue
			}
			fits := rep.hasRoom(st.now, pc)
			if !fits && !rep.Probing && lastTriedIndex(pc, rep) < 0 {
				// This replica is only full for the moment, so the request waits for it.
				return nil
			}
			if fits && (best == nil || lastTriedIndex(pc, rep) < lastTriedIndex(pc, best)) {
				best = rep
			}
		}
	}
	return best
}

// lastTriedIndex returns the last index of the replica in want.Tried, -1 if it is not there.
func lastTriedIndex(pc *PickCriteria, rep *Replica) int {
	for i := len(pc.Tried) - 1; i >= 0; i-- {
		if pc.Tried[i] == rep.Upstream.Name {
			return i
		}
	}
	return -1
}

// cachedTokens returns the part of depth, the tokens of the known prefix, that the replica is estimated to have cached.
func cachedTokens(now time.Time, known []holder, rep *Replica, depth int64) int64 {
	for i := range known {
		if known[i].rep == rep {
			return int64(known[i].confidence(now) * float64(depth))
		}
	}
	return 0
}

func (st *State) pickBaseline(pl *pool, pc *PickCriteria) *Replica {
	if _, ok := st.Policy.(RoundRobin); ok {
		return st.pickRoundRobin(pc)
	}
	st.candidates = append(append(st.candidates[:0], pl.local.reps...), pl.remote.reps...)
	untried := slices.DeleteFunc(st.candidates, func(rep *Replica) bool {
		return slices.Contains(pc.Tried, rep.Upstream.Name)
	})
	if len(untried) == 0 {
		untried = append(append(st.candidates[:0], pl.local.reps...), pl.remote.reps...)
	}
	return st.pickLeastRequests(untried)
}

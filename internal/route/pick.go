package route

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

const (
	// choices is how many replicas of a failure domain are compared: two come close to the best of all without every
	// instance running to the same one on reports that lag.
	choices = 2
	// carefulChoices is how many are compared for a class that has carefulAbove or more above it. Its prompts are few,
	// so that the instances seldom choose at once, and a bad choice costs them seconds.
	carefulChoices = 4
	carefulAbove   = 2
	// maxDraws bounds the replicas looked at to find them.
	maxDraws = 16
)

// Pick returns a replica with room for the request, or nil. Sail takes the least estimated time to the first token
// among two replicas of the own failure domain, one of another, and those that hold the prompt's longest known
// prefix; the baselines take no notice of any of it.
func (st *State) Pick(now time.Time, want *Want) *Replica {
	st.now = now
	pl, ok := st.pools[want.Service]
	if !ok || len(pl.near.reps)+len(pl.far.reps) == 0 {
		return nil
	}
	if _, own := st.Policy.(Sail); !own {
		return st.pickBaseline(pl, want)
	}
	known, depth := st.prefixes.longest(want.Prefixes)
	st.candidates = st.candidates[:0]
	for i := range known {
		if rep := known[i].rep; rep.pool == pl && rep.place >= 0 && rep.takes(now, want) {
			st.candidates = append(st.candidates, rep)
		}
	}
	near, far := choices, max(1, choices-len(pl.near.reps))
	if want.Above >= carefulAbove {
		near, far = carefulChoices, carefulChoices
	}
	st.draw(&pl.near, want, near)
	st.draw(&pl.far, want, far)
	if len(st.candidates) == 0 {
		return st.lastResort(pl, want)
	}
	var best *Replica
	var least float64
	for _, rep := range st.candidates {
		cost := rep.cost(now, want, cachedAt(now, known, rep, depth))
		if best == nil || cost < least {
			best, least = rep, cost
		}
	}
	return best
}

// draw adds up to count replicas of the set that take the request, from a random place on.
func (st *State) draw(set *openSet, want *Want, count int) {
	open := len(set.reps)
	if open == 0 {
		return
	}
	first := st.random.IntN(open)
	step := 1
	if open > maxDraws {
		step = 1 + st.random.IntN(open-1)
	}
	for i := range min(open, maxDraws) {
		rep := set.reps[(first+i*step)%open]
		if !rep.takes(st.now, want) || slices.Contains(st.candidates, rep) {
			continue
		}
		st.candidates = append(st.candidates, rep)
		count--
		if count == 0 {
			return
		}
	}
}

// takes tells whether an open replica is right for the request.
func (rep *Replica) takes(now time.Time, want *Want) bool {
	if rep.Probing && !want.Repeatable {
		return false
	}
	return !slices.Contains(want.Tried, rep.Upstream.Name) && rep.serves(want.Model) && rep.fits(now, want)
}

// serves tells whether the replica has the model loaded; one that reported nothing loaded nor loading may have it.
func (rep *Replica) serves(model string) bool {
	return model == "" || len(rep.Models)+len(rep.Loading) == 0 || upstr.Offers(rep.Models, model)
}

// lastResort takes a replica that failed the request before, or one on probation, when all others are closed: the one
// whose failure is longest ago, so that a request does not return to a replica that has just died under it.
func (st *State) lastResort(pl *pool, want *Want) *Replica {
	var best *Replica
	for _, set := range []*openSet{&pl.near, &pl.far} {
		for _, rep := range set.reps {
			if !rep.serves(want.Model) {
				continue
			}
			fits := rep.fits(st.now, want)
			if !fits && !rep.Probing && lastTried(want, rep) < 0 {
				// Another one is only full for the moment.
				return nil
			}
			if fits && (best == nil || lastTried(want, rep) < lastTried(want, best)) {
				best = rep
			}
		}
	}
	return best
}

// lastTried is the last place of the replica in the list of those to avoid, -1 if it is not there.
func lastTried(want *Want, rep *Replica) int {
	for i := len(want.Tried) - 1; i >= 0; i-- {
		if want.Tried[i] == rep.Upstream.Name {
			return i
		}
	}
	return -1
}

func cachedAt(now time.Time, known []holder, rep *Replica, depth int64) int64 {
	for i := range known {
		if known[i].rep == rep {
			return int64(known[i].belief(now) * float64(depth))
		}
	}
	return 0
}

func (st *State) pickBaseline(pl *pool, want *Want) *Replica {
	if _, ok := st.Policy.(RoundRobin); ok {
		return st.inTurn(want)
	}
	st.candidates = append(append(st.candidates[:0], pl.near.reps...), pl.far.reps...)
	untried := slices.DeleteFunc(st.candidates, func(rep *Replica) bool {
		return slices.Contains(want.Tried, rep.Upstream.Name)
	})
	if len(untried) == 0 {
		untried = append(append(st.candidates[:0], pl.near.reps...), pl.far.reps...)
	}
	return st.leastRequests(untried)
}

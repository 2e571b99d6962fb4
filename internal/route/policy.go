package route

import "slices"

// Policy is how a replica is chosen among those with room.
type Policy interface{ isPolicy() }

// Sail is the project's own policy: least work ahead, near replicas first.
type Sail struct{}

// RoundRobin takes the replicas of a service in turn. It is a baseline for comparison.
type RoundRobin struct{}

// LeastRequests takes the replica with the fewest requests of this instance in flight. It is a baseline for comparison.
type LeastRequests struct{}

func (Sail) isPolicy()          {}
func (RoundRobin) isPolicy()    {}
func (LeastRequests) isPolicy() {}

// The names of the policies.
const (
	NameSail          = "dandelionsail"
	NameRoundRobin    = "round-robin"
	NameLeastRequests = "least-requests"
)

// ParsePolicy returns the policy of the name, and false if there is none.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case NameSail:
		return Sail{}, true
	case NameRoundRobin:
		return RoundRobin{}, true
	case NameLeastRequests:
		return LeastRequests{}, true
	}
	return nil, false
}

// inTurn returns the next open replica of the service after the one returned last.
func (st *State) inTurn(want *Want) *Replica {
	reps := st.Services[want.Service]
	var tried *Replica
	for range reps {
		st.turns[want.Service]++
		rep := reps[st.turns[want.Service]%uint64(len(reps))]
		switch {
		case rep.place < 0:
		case slices.Contains(want.Tried, rep.Upstream.Name):
			tried = rep
		default:
			return rep
		}
	}
	return tried
}

// leastRequests returns the open replica with the fewest requests in flight, a random one of several.
func (st *State) leastRequests(open []*Replica) *Replica {
	if len(open) == 0 {
		return nil
	}
	first := st.random.IntN(len(open))
	best := open[first]
	for i := range open {
		rep := open[(first+i)%len(open)]
		if rep.Running < best.Running {
			best = rep
		}
	}
	return best
}

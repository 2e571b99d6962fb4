package route

import "slices"

// Policy selects the load balancing algorithm.
type Policy interface{ isPolicy() }

// LowestCost is the default policy: it picks the replica with the lowest estimated time to the first token, see Pick.
type LowestCost struct{}

// RoundRobin picks the replicas of a service in rotation. It is a baseline for comparison.
type RoundRobin struct{}

// LeastRequests picks the replica with the fewest requests of this instance in flight. It is a baseline for comparison.
type LeastRequests struct{}

func (LowestCost) isPolicy()    {}
func (RoundRobin) isPolicy()    {}
func (LeastRequests) isPolicy() {}

// Names of the policies in the settings.
const (
	NameLowestCost    = "dandelionsail"
	NameRoundRobin    = "round-robin"
	NameLeastRequests = "least-requests"
)

// ParsePolicy returns the policy with the name. It returns false if there is none.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case NameLowestCost:
		return LowestCost{}, true
	case NameRoundRobin:
		return RoundRobin{}, true
	case NameLeastRequests:
		return LeastRequests{}, true
	}
	return nil, false
}

// pickRoundRobin returns the next open replica of the service after the one returned last. One that failed the request
// before is returned only if no other is open.
func (st *State) pickRoundRobin(pc *PickCriteria) *Replica {
	reps := st.Services[pc.Service]
	var tried *Replica
	for range reps {
		st.roundRobinCounts[pc.Service]++
		rep := reps[st.roundRobinCounts[pc.Service]%uint64(len(reps))]
		switch {
		case rep.openIndex < 0:
		case slices.Contains(pc.Tried, rep.Upstream.Name):
			tried = rep
		default:
			return rep
		}
	}
	return tried
}

// pickLeastRequests returns the replica with the fewest requests in flight, starting the comparison at a random one, or nil
// if open is empty.
func (st *State) pickLeastRequests(open []*Replica) *Replica {
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

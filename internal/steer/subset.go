package steer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Subsets. With hundreds of instances before hundreds of replicas an instance neither can weigh each replica for each
// request, nor tell every other instance of each request that it sends. So a large service's replicas are split into
// subsets, each instance uses one of them and tells only the instances that use it too: the work of a decision and the
// messages for it stay the same however large the fleet is. Where the failure domains are large enough a subset lies within
// one of them, since what passes between failure domains is slower and paid for. All instances that know the same replicas
// and the same instances split alike; while they do not, a load goes unheard for a moment.

const (
	// wholeReplicas is how many replicas of a service are weighed by all instances as one set.
	wholeReplicas = 64
	// subsetSize is how many replicas a subset has at the least: as many as may read one prompt together.
	subsetSize = 16
	// subsetUsers is how many instances use a subset on average at the least. With fewer, some subset would have no user,
	// and its replicas no work.
	subsetUsers = 8
	// leastUsable is how many replicas of its subset an instance must be able to use; with fewer it weighs all.
	leastUsable = subsetSize / 2
	// toldOfPlain is how many instances may hear of each call to a plain service. Beyond that those of the own failure
	// domain hear of it, whose replicas are used first.
	toldOfPlain = 128
)

// Instance is another instance of the fleet.
type Instance struct {
	Name          string
	FailureDomain string
}

// subset names some of a service's replicas and the instances that use them. The zero value stands for all of both.
type subset struct {
	// domain is the failure domain in which they all are, empty where failure domains are too small to be told apart.
	domain string
	// part counts from 0 within the failure domain, of so many parts.
	part, parts int
}

// inOrder lists the subsets that are keys, in an order of their own: what an instance does follows from its events alone.
func inOrder[Value any](bySubset map[subset]Value) []subset {
	return slices.SortedFunc(maps.Keys(bySubset), func(one, two subset) int {
		return cmp.Or(cmp.Compare(one.domain, two.domain), cmp.Compare(one.part, two.part), cmp.Compare(one.parts, two.parts))
	})
}

// layout is how a service's replicas and the instances are split. The zero value is a whole that is not split.
type layout struct {
	byDomain bool
	// parts is the number of subsets of each failure domain, under the empty name where they are not told apart.
	parts map[string]int
}

func (lay *layout) whole() bool { return len(lay.parts) == 0 }

// subsetFor returns the subset of what is in the failure domain and has the rank among so many parts.
func (lay *layout) subsetFor(domain string, rank func(parts int) int) subset {
	if lay.whole() {
		return subset{}
	}
	if !lay.byDomain {
		domain = ""
	}
	parts := max(1, lay.parts[domain])
	return subset{domain: domain, part: rank(parts), parts: parts}
}

func (lay *layout) ofReplica(rep *replica) subset {
	return lay.subsetFor(rep.FailureDomain, func(parts int) int { return int(xxhash.Sum64String(rep.Name) % uint64(parts)) })
}

// ofInstance returns the subset that an instance uses, the one of the highest hash of both names: few instances move when
// the number of subsets changes.
func (lay *layout) ofInstance(inst Instance) subset {
	return lay.subsetFor(inst.FailureDomain, func(parts int) int {
		best, highest := 0, uint64(0)
		for part := range parts {
			if hash := xxhash.Sum64String(inst.Name + "/" + strconv.Itoa(part)); hash > highest {
				best, highest = part, hash
			}
		}
		return best
	})
}

// layoutOf splits the service's replicas, the same way until replicas or instances come or go.
func (st *State) layoutOf(svc *service) *layout {
	if svc.layout == nil {
		svc.layout = st.split(svc)
	}
	return svc.layout
}

func (st *State) split(svc *service) *layout {
	if svc.engine == nil || len(svc.replicas) < wholeReplicas {
		return &layout{}
	}
	replicas := map[string]int{}
	for _, rep := range svc.replicas {
		replicas[rep.FailureDomain]++
	}
	instances := st.instancesByDomain()
	if domainsSuffice(replicas, instances, len(svc.replicas)) {
		lay := &layout{byDomain: true, parts: map[string]int{}}
		for domain, count := range replicas {
			lay.parts[domain] = partsOf(count, instances[domain])
		}
		return lay
	}
	parts := partsOf(len(svc.replicas), st.live)
	if parts == 1 {
		return &layout{}
	}
	return &layout{parts: map[string]int{"": parts}}
}

// domainsSuffice tells that each failure domain has enough replicas and instances for subsets of its own, so that none
// of its replicas is left without users and none of its instances without replicas.
func domainsSuffice(replicas, instances map[string]int, total int) bool {
	if len(replicas) < 2 || total < subsetSize*len(replicas) {
		return false
	}
	for domain, count := range replicas {
		if count < leastUsable || instances[domain] < subsetUsers {
			return false
		}
	}
	for domain := range instances {
		if replicas[domain] == 0 {
			return false
		}
	}
	return true
}

// partsOf is the number of subsets of so many replicas and instances, a power of two, so that a subset is split in halves
// when they grow.
func partsOf(replicas, instances int) int {
	parts := 1
	for parts*2*subsetSize <= replicas && parts*2*subsetUsers <= instances {
		parts *= 2
	}
	return parts
}

// instancesByDomain counts the instances of each failure domain, this one included.
func (st *State) instancesByDomain() map[string]int {
	counts := map[string]int{st.Options.FailureDomain: 1}
	for _, inst := range st.others {
		counts[inst.FailureDomain]++
	}
	return counts
}

func (st *State) self() Instance {
	return Instance{Name: st.Options.Name, FailureDomain: st.Options.FailureDomain}
}

// ownSubset is the subset of the service that this instance uses.
func (st *State) ownSubset(svc *service) subset { return st.layoutOf(svc).ofInstance(st.self()) }

// candidates are the replicas that this instance weighs. If few of its subset can be used, as after the loss of a failure
// domain's replicas, it weighs all.
func (st *State) candidates(svc *service) []*replica {
	lay := st.layoutOf(svc)
	if lay.whole() {
		return svc.replicas
	}
	if svc.candidates == nil {
		own := lay.ofInstance(st.self())
		svc.candidates = []*replica{}
		for _, rep := range svc.replicas {
			if lay.ofReplica(rep) == own {
				svc.candidates = append(svc.candidates, rep)
			}
		}
	}
	usable := 0
	for _, rep := range svc.candidates {
		if rep.usable(st.now) {
			usable++
		}
	}
	if usable < leastUsable {
		return svc.replicas
	}
	return svc.candidates
}

// audience returns the subset whose users must hear of work at the replica.
func (st *State) audience(rep *replica) subset {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil && st.partlyTold() {
		return subset{domain: st.Options.FailureDomain, parts: 1}
	}
	return st.layoutOf(svc).ofReplica(rep)
}

// partlyTold tells that calls of plain services are told within failure domains only.
func (st *State) partlyTold() bool { return st.live > toldOfPlain }

// users returns the names of the other instances that use the subset, nil for all of them. They are kept until the
// instances change.
func (st *State) users(sub subset) []string {
	if sub == (subset{}) {
		return nil
	}
	if names, ok := st.usersOf[sub]; ok {
		return names
	}
	lay := layout{byDomain: sub.domain != "", parts: map[string]int{sub.domain: sub.parts}}
	names := []string{}
	for _, inst := range st.others {
		if lay.ofInstance(inst) == sub {
			names = append(names, inst.Name)
		}
	}
	st.usersOf[sub] = names
	return names
}

// othersUsing returns the names of the other instances that use the subset, of all of them for the whole.
func (st *State) othersUsing(sub subset) []string {
	if names := st.users(sub); names != nil {
		return names
	}
	return st.names
}

// peered takes the other instances.
func (st *State) peered(ev Peered) {
	st.others = slices.SortedFunc(slices.Values(ev.Instances), func(one, two Instance) int { return cmp.Compare(one.Name, two.Name) })
	st.names = st.names[:0]
	for _, inst := range st.others {
		st.names = append(st.names, inst.Name)
	}
	st.live = len(st.others) + 1
	clear(st.usersOf)
	for _, svc := range st.services {
		svc.relayout()
	}
}

// relayout lets the service be split anew.
func (svc *service) relayout() {
	svc.layout = nil
	svc.candidates = nil
}

// surveyor tells that this instance should ask the replica for its load: of those that use its subset and are heard, it is
// the first by name.
func (st *State) surveyor(svc *service, rep *replica) bool {
	sub := st.layoutOf(svc).ofReplica(rep)
	if sub == (subset{}) {
		return !slices.ContainsFunc(slices.Collect(maps.Keys(st.peers)), st.heardBefore)
	}
	return sub == st.ownSubset(svc) && !slices.ContainsFunc(st.users(sub), st.heardBefore)
}

// heardBefore tells that the instance was heard and comes first by name.
func (st *State) heardBefore(name string) bool {
	_, heard := st.peers[name]
	return heard && name < st.Options.Name
}

package steer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Subsets of replicas. With hundreds of instances and hundreds of replicas, an instance can neither evaluate every replica
// for each request nor notify every other instance of each request that it sends. The replicas of a large service are
// therefore split into subsets. Each instance uses one subset of each service. It sends its notes, the messages about its
// work, only to the other instances that use the same subset, so that the cost of a decision and the number of messages for
// it do not grow with the fleet. Where the failure domains are large enough, a subset lies within one of them, since traffic
// between failure domains is slower and charged for. All instances that know the same replicas and the same instances
// compute the same split. While their knowledge differs, some load goes unreported for a moment.

const (
	// minSplitReplicas is the number of replicas from which a service is split. All instances use all replicas of a smaller
	// service, unless there are more than minSlotUsers of them and each failure domain can be split separately: a note to so many
	// takes too long, and what a failure domain cannot do is placed in another one.
	minSplitReplicas = 64
	// minSubsetReplicas is the minimum average number of replicas in a subset: as many as may read parts of one prompt
	// together, by the default of Tuning.MaxEngines.
	minSubsetReplicas = 16
	// minSubsetInstances is the minimum average number of instances that use a subset. With fewer, some subset could be left
	// without instances and its replicas without work.
	minSubsetInstances = 8
	// minUsableReplicas is how many usable replicas an instance's subset must have. If it has fewer, the instance considers
	// all replicas of the service.
	minUsableReplicas = minSubsetReplicas / 2
	// maxPlainAudience is the number of instances up to which all of them receive a note about each call to a plain service.
	// In a larger fleet only the instances in the sender's failure domain do, since a plain call goes preferably to a replica
	// in the same failure domain.
	maxPlainAudience = 128
)

// Instance is another instance of the fleet.
type Instance struct {
	Name          string
	FailureDomain string
}

// subset identifies some of a service's replicas and the instances that use them. The zero value stands for all replicas and
// all instances.
type subset struct {
	// domain is the failure domain of the subset. It is empty if the service is split as a whole, because it has only one
	// failure domain or some are too small to be split separately.
	domain string
	// part is the index of the subset within the failure domain or the service, from 0.
	part int
	// parts is the number of subsets of the failure domain or the service.
	parts int
}

// sortedSubsets returns the keys in a fixed order, so that the effects that an instance emits depend on its events
// alone and not on the order of map iteration.
func sortedSubsets[Value any](bySubset map[subset]Value) []subset {
	return slices.SortedFunc(maps.Keys(bySubset), func(a, b subset) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.part, b.part), cmp.Compare(a.parts, b.parts))
	})
}

// layout is how a service's replicas and the instances are split into subsets. The zero value leaves the service unsplit.
type layout struct {
	// byDomain reports whether each failure domain is split separately.
	byDomain bool
	// parts is the number of subsets of each failure domain. If byDomain is false, it holds the number of subsets of the
	// service under the empty name.
	parts map[string]int
}

func (lay *layout) unsplit() bool { return len(lay.parts) == 0 }

// subsetFor returns the subset of a replica or instance that is in the failure domain. partAmong returns the index of its
// subset among the given number of them.
func (lay *layout) subsetFor(domain string, partAmong func(parts int) int) subset {
	if lay.unsplit() {
		return subset{}
	}
	if !lay.byDomain {
		domain = ""
	}
	parts := max(1, lay.parts[domain])
	return subset{domain: domain, part: partAmong(parts), parts: parts}
}

// ofReplica returns the subset that contains the named replica of the failure domain, by a hash of its name.
func (lay *layout) ofReplica(name, domain string) subset {
	return lay.subsetFor(domain, func(parts int) int { return int(xxhash.Sum64String(name) % uint64(parts)) })
}

// ofInstance returns the subset that an instance uses. It is chosen by rendezvous hashing: each subset is ranked by a hash of
// the instance's name and the subset's index. When the number of subsets changes, only those instances change their subset that
// move to an added one or from a removed one.
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

// layoutOf returns the layout of the service. It is cached until the service's replicas, the instances or the configuration
// change.
func (st *State) layoutOf(svc *service) *layout {
	if svc.layout == nil {
		svc.layout = st.newLayout(svc)
	}
	return svc.layout
}

// newLayout computes the layout of the service. A plain service, which has no engine, is never split.
func (st *State) newLayout(svc *service) *layout {
	used := st.inUse(svc)
	if svc.engine == nil || len(used) < minSplitReplicas && st.live <= minSlotUsers {
		return &layout{}
	}
	replicas := map[string]int{}
	for _, rep := range used {
		replicas[rep.FailureDomain]++
	}
	instances := st.instancesByDomain()
	byDomain := canSplitByDomain(replicas, instances, len(used))
	if !byDomain && len(used) < minSplitReplicas {
		return &layout{}
	}
	if byDomain {
		lay := &layout{byDomain: true, parts: map[string]int{}}
		for domain, count := range replicas {
			lay.parts[domain] = partCount(count, instances[domain])
		}
		return lay
	}
	parts := partCount(len(used), st.live)
	if parts == 1 {
		return &layout{}
	}
	return &layout{parts: map[string]int{"": parts}}
}

// canSplitByDomain reports whether each failure domain has enough replicas and instances for subsets of its own. If one had
// not, some of that domain's replicas could be left without users or some of its instances without replicas. The maps hold
// the numbers of replicas and of instances by failure domain; total is the number of all replicas.
func canSplitByDomain(replicas, instances map[string]int, total int) bool {
	if len(replicas) < 2 || total < minSubsetReplicas*len(replicas) {
		return false
	}
	for domain, count := range replicas {
		if count < minUsableReplicas || instances[domain] < minSubsetInstances {
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

// partCount returns the number of subsets for the given numbers of replicas and instances. It is a power of two, so that
// growth splits each subset in halves.
func partCount(replicas, instances int) int {
	parts := 1
	for parts*2*minSubsetReplicas <= replicas && parts*2*minSubsetInstances <= instances {
		parts *= 2
	}
	return parts
}

// instancesByDomain returns the number of instances that each failure domain serves, including this one.
func (st *State) instancesByDomain() map[string]int {
	counts := map[string]int{st.hosted(st.self()).FailureDomain: 1}
	for _, inst := range st.others {
		counts[st.hosted(inst).FailureDomain]++
	}
	return counts
}

func (st *State) self() Instance {
	return Instance{Name: st.Options.Name, FailureDomain: st.Options.FailureDomain}
}

// ownSubset returns the subset of the service that this instance uses.
func (st *State) ownSubset(svc *service) subset {
	return st.layoutOf(svc).ofInstance(st.hosted(st.self()))
}

// subsetOf returns the subset that contains the replica. A replica of an evacuated failure domain is in none; for it, subsetOf returns the
// subset whose users receive the notes about its running work.
func (st *State) subsetOf(rep *replica) subset {
	return st.layoutOf(st.serviceOf(rep.Service)).ofReplica(rep.Name, st.hostOf(rep.FailureDomain, rep.Name))
}

// candidates returns the replicas that this instance considers for a request: those of its subset. If too few of them are
// usable, as after the loss of a failure domain's replicas, it returns all replicas of the service outside evacuated failure domains.
func (st *State) candidates(svc *service) []*replica {
	lay := st.layoutOf(svc)
	if lay.unsplit() {
		return st.inUse(svc)
	}
	if svc.candidates == nil {
		own := st.ownSubset(svc)
		svc.candidates = []*replica{}
		for _, rep := range st.inUse(svc) {
			if st.subsetOf(rep) == own {
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
	if usable < minUsableReplicas {
		return st.inUse(svc)
	}
	return svc.candidates
}

// audience returns the subset whose users, the instances that use it, must receive notes about work at the replica. For a
// plain service in a large fleet this is the whole failure domain of this instance.
func (st *State) audience(rep *replica) subset {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil && st.plainNotesStayInDomain() {
		return subset{domain: st.nearDomain(), parts: 1}
	}
	return st.subsetOf(rep)
}

// nearDomain returns the failure domain whose plain replicas this instance prefers. Where notes about plain calls stay in one failure
// domain, it is the one to which they are sent, also while this instance's own is evacuated.
func (st *State) nearDomain() string {
	if st.plainNotesStayInDomain() {
		return st.hosted(st.self()).FailureDomain
	}
	return st.Options.FailureDomain
}

// plainNotesStayInDomain reports whether notes about calls to plain services are sent only within this instance's failure
// domain.
func (st *State) plainNotesStayInDomain() bool { return st.live > maxPlainAudience }

// usersUnlessAll returns the names of the other instances that use the subset. For the zero subset, which all of them use, it
// returns nil. The names are cached until the instances change.
func (st *State) usersUnlessAll(sub subset) []string {
	if sub == (subset{}) {
		return nil
	}
	if names, ok := st.usersOf[sub]; ok {
		return names
	}
	lay := layout{byDomain: sub.domain != "", parts: map[string]int{sub.domain: sub.parts}}
	names := []string{}
	for _, inst := range st.others {
		if lay.ofInstance(st.hosted(inst)) == sub {
			names = append(names, inst.Name)
		}
	}
	st.usersOf[sub] = names
	return names
}

// othersUsing is usersUnlessAll, except that it returns the names of all other instances for the zero subset.
func (st *State) othersUsing(sub subset) []string {
	if names := st.usersUnlessAll(sub); names != nil {
		return names
	}
	return st.otherNames
}

// updateOthers replaces the list of the other instances.
func (st *State) updateOthers(ev Peered) {
	st.others = slices.SortedFunc(slices.Values(ev.Instances), func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	st.otherNames = st.otherNames[:0]
	for _, inst := range st.others {
		st.otherNames = append(st.otherNames, inst.Name)
	}
	st.live = len(st.others) + 1
	st.division.ListRead(st.now, st.otherNames, ev.Listed)
	st.resetSubsets()
}

// resetSubsets discards all that is cached of the subsets.
func (st *State) resetSubsets() {
	st.evacuations.hosts = nil
	clear(st.usersOf)
	st.generation++
	for _, svc := range st.services {
		svc.resetLayout()
	}
}

// resetLayout discards the cached layout, replicas in use and candidates of the service.
func (svc *service) resetLayout() {
	svc.layout = nil
	svc.used = nil
	svc.candidates = nil
	svc.domainsKnown = false
}

// queriesLoad reports whether this instance should query the replica for its load. Of the instances that use the replica's
// subset, only the first by name does. An instance that is not heard, as peerPrecedes checks, is passed over.
func (st *State) queriesLoad(svc *service, rep *replica) bool {
	sub := st.subsetOf(rep)
	if sub == (subset{}) {
		return !slices.ContainsFunc(slices.Collect(maps.Keys(st.peers)), st.peerPrecedes)
	}
	return sub == st.ownSubset(svc) && !slices.ContainsFunc(st.usersUnlessAll(sub), st.peerPrecedes)
}

// peerPrecedes reports whether the instance is heard and its name sorts before this instance's name. It is heard once a note
// has arrived from it, until dropPeer forgets it.
func (st *State) peerPrecedes(name string) bool {
	_, heard := st.peers[name]
	return heard && name < st.Options.Name
}

package steer

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Cells. With thousands of replicas an instance neither can weigh each of them for each request, nor tell hundreds of other
// instances of each request that it sends. So the replicas of a service are dealt into cells by a hash of their names, each
// instance uses a few cells, chosen by a hash of both, and tells only those of its requests that use one of them too: the
// work of a decision and the notes for it stay the same however large the fleet is. An instance uses several cells, so that
// callers who come to one instance more than to others find the engines of cells that others use less. All instances
// that know the same replicas and the same instances deal alike; while they do not, a load goes unheard for a moment.

const (
	// cellSize is how many replicas a cell has at the least where there are several: two cells have four times as many as may
	// read one prompt.
	cellSize = 32
	// cellsUsed is how many cells an instance uses. With each more, nearly as many more instances must hear of its requests.
	cellsUsed = 2
	// cellUsers is how many instances use a cell on average at the least. With fewer, some cells would have no user, and
	// their replicas no work.
	cellUsers = 8
)

// deal is how instances and a service's replicas are dealt into so many cells.
type deal struct {
	// own are the cells that this instance uses.
	own []int
	// users holds, for each of the own cells, the names of the other instances that use it too.
	users map[int][]string
	// neighbours are all of them, nil if every instance uses all cells.
	neighbours []string
}

// cellsOf is the number of cells of the service, a power of two, so that a cell is split in halves when they grow.
func (st *State) cellsOf(svc *service) int {
	cells := 1
	for cells*2*cellSize <= len(svc.replicas) && cells*2*cellUsers <= st.live*cellsUsed {
		cells *= 2
	}
	return cells
}

func cellOfReplica(name string, cells int) int {
	return int(xxhash.Sum64String(name) % uint64(cells))
}

// cellsOfInstance returns the cells that an instance uses, those of the highest hashes of both names.
func cellsOfInstance(name string, cells int) []int {
	type ranked struct {
		cell int
		rank uint64
	}
	all := make([]ranked, cells)
	for cell := range all {
		all[cell] = ranked{cell, xxhash.Sum64String(name + "/" + strconv.Itoa(cell))}
	}
	slices.SortFunc(all, func(one, two ranked) int { return cmp.Compare(two.rank, one.rank) })
	var own []int
	for _, item := range all[:min(cellsUsed, cells)] {
		own = append(own, item.cell)
	}
	return own
}

// dealOf returns the deal for so many cells. Deals are kept until the instances change.
func (st *State) dealOf(cells int) *deal {
	if known, ok := st.deals[cells]; ok {
		return known
	}
	dl := &deal{own: cellsOfInstance(st.Options.Name, cells), users: map[int][]string{}}
	st.deals[cells] = dl
	if cells <= cellsUsed {
		return dl
	}
	dl.neighbours = []string{}
	for _, name := range st.names {
		shares := false
		for _, cell := range cellsOfInstance(name, cells) {
			if slices.Contains(dl.own, cell) {
				dl.users[cell] = append(dl.users[cell], name)
				shares = true
			}
		}
		if shares {
			dl.neighbours = append(dl.neighbours, name)
		}
	}
	return dl
}

// candidates are the replicas that this instance weighs. If few of its cells' replicas can be used, as after the loss of a
// failure domain, it weighs all.
func (st *State) candidates(svc *service) []*replica {
	cells := st.cellsOf(svc)
	if cells <= cellsUsed {
		return svc.replicas
	}
	own := st.dealOf(cells).own
	if svc.dealt != cells || svc.candidates == nil {
		svc.dealt = cells
		svc.candidates = []*replica{}
		for _, rep := range svc.replicas {
			if slices.Contains(own, cellOfReplica(rep.Name, cells)) {
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
	if usable < cellSize/2 {
		return svc.replicas
	}
	return svc.candidates
}

// neighbours are the instances that must hear of what is sent to the service, nil for all of them.
func (st *State) neighbours(svc *service) []string {
	return st.dealOf(st.cellsOf(svc)).neighbours
}

// peered takes the names of the other instances.
func (st *State) peered(ev Peered) {
	st.names = ev.Names
	st.live = len(ev.Names) + 1
	clear(st.deals)
	for _, svc := range st.services {
		svc.candidates = nil
	}
}

// surveyor tells that this instance should ask the replica for its load: of those that use its cell and are heard, it is
// the first by name.
func (st *State) surveyor(svc *service, rep *replica) bool {
	cells := st.cellsOf(svc)
	dl := st.dealOf(cells)
	if dl.neighbours == nil {
		return !slices.ContainsFunc(slices.Collect(maps.Keys(st.peers)), st.heardBefore)
	}
	cell := cellOfReplica(rep.Name, cells)
	return slices.Contains(dl.own, cell) && !slices.ContainsFunc(dl.users[cell], st.heardBefore)
}

// heardBefore tells that the instance was heard and comes first by name.
func (st *State) heardBefore(name string) bool {
	_, heard := st.peers[name]
	return heard && name < st.Options.Name
}

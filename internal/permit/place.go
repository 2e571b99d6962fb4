package permit

import (
	"cmp"
	"slices"
)

// freeMemory is the memory that the engines of a pool have free for long prompts. It is built once and used for any number
// of requests.
type freeMemory struct {
	// engines is sorted by the tokens that are reserved and queued on each engine, ascending.
	engines []engineSpace
	// sizes contains the free memory of each engine in tokens, descending.
	sizes []int64
}

// engineSpace is the free memory and the load of one engine.
type engineSpace struct {
	name string
	// free is the memory in tokens that long prompts may still reserve. It is negative if more than that is reserved.
	free int64
	// load is the number of tokens that are reserved or queued.
	load int64
}

func (pl *pool) freeMemory(engines []Engine) freeMemory {
	fm := freeMemory{engines: make([]engineSpace, 0, len(engines)), sizes: make([]int64, 0, len(engines))}
	for _, en := range engines {
		reserved := pl.reserved[en.Upstream.Name]
		sp := engineSpace{name: en.Upstream.Name, free: en.usable() - reserved, load: reserved + en.Queued}
		fm.engines = append(fm.engines, sp)
		fm.sizes = append(fm.sizes, sp.free)
	}
	slices.SortStableFunc(fm.engines, func(a, b engineSpace) int { return cmp.Compare(a.load, b.load) })
	slices.SortFunc(fm.sizes, func(a, b int64) int { return cmp.Compare(b, a) })
	return fm
}

// fits reports whether the engines could hold the request if nothing else were reserved on them.
func fits(engines []Engine, tokens int64) bool {
	return (&pool{}).freeMemory(engines).count(tokens) > 0
}

// count returns the minimum number of engines that have room for equal parts of the request, or 0 if there are not enough.
func (fm freeMemory) count(tokens int64) int {
	for i, free := range fm.sizes {
		if free >= shareOf(tokens, i+1) {
			return i + 1
		}
	}
	return 0
}

// place returns the names of the minimum number of engines that have room for equal parts of the request, or nil if there
// are not enough. It prefers the least loaded ones and sorts them by name.
func (fm freeMemory) place(tokens int64) []string {
	count := fm.count(tokens)
	if count == 0 {
		return nil
	}
	share := shareOf(tokens, count)
	names := make([]string, 0, count)
	for _, sp := range fm.engines {
		if sp.free >= share && len(names) < count {
			names = append(names, sp.name)
		}
	}
	slices.Sort(names)
	return names
}

package permit

import (
	"cmp"
	"slices"
)

// room is what the engines of a pool have free for long prompts, made once for any number of requests.
type room struct {
	// engines are ordered by what is reserved and queued on them, the least first.
	engines []space
	// frees is ordered by size, the largest first.
	frees []int64
}

type space struct {
	name string
	free int64
	load int64
}

func (pl *pool) room(engines []Engine) room {
	rm := room{engines: make([]space, 0, len(engines)), frees: make([]int64, 0, len(engines))}
	for _, en := range engines {
		reserved := pl.reserved[en.Upstream.Name]
		sp := space{name: en.Upstream.Name, free: en.usable() - reserved, load: reserved + en.Queued}
		rm.engines = append(rm.engines, sp)
		rm.frees = append(rm.frees, sp.free)
	}
	slices.SortStableFunc(rm.engines, func(one, two space) int { return cmp.Compare(one.load, two.load) })
	slices.SortFunc(rm.frees, func(one, two int64) int { return cmp.Compare(two, one) })
	return rm
}

// fits tells whether the engines could hold the request if nothing else were there.
func fits(engines []Engine, tokens int64) bool {
	return (&pool{}).room(engines).count(tokens) > 0
}

// count is the fewest engines that have room for equal parts of the request, 0 if there are not enough.
func (rm room) count(tokens int64) int {
	for i, free := range rm.frees {
		if free >= shareOf(tokens, i+1) {
			return i + 1
		}
	}
	return 0
}

// place returns the fewest engines with room for equal parts of the request, the least loaded ones, in the fixed order
// of their names, or nil.
func (rm room) place(tokens int64) []string {
	count := rm.count(tokens)
	if count == 0 {
		return nil
	}
	share := shareOf(tokens, count)
	names := make([]string, 0, count)
	for _, sp := range rm.engines {
		if sp.free >= share && len(names) < count {
			names = append(names, sp.name)
		}
	}
	slices.Sort(names)
	return names
}

package core

import (
	"cmp"
	"maps"
	"slices"

	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Pool describes a pool as this instance knows it.
type Pool struct {
	permit.Pool
	// Coordinator is the name of the instance that reserves the pool's memory for long prompts, empty if none is known.
	Coordinator string
	// Replicas is the number of listed replicas.
	Replicas int
	// Reserved is the memory reserved by permits, in tokens by replica; only the coordinator knows it.
	Reserved map[string]int64
}

// Pools returns the pools of model services, sorted by service and failure domain, or nil in an instance without peers or
// permits.
func (st *State) Pools() []Pool {
	if st.permits == nil {
		return nil
	}
	pools := make([]Pool, 0, len(st.permits.pools))
	for key, reps := range st.permits.pools {
		if st.Config.Services[key.Service].Kind != decl.KindModel {
			continue
		}
		pl := Pool{Pool: key, Replicas: len(reps)}
		pl.Coordinator, _ = st.permits.holder.CoordinatorOf(key)
		if pl.Coordinator == st.Options.Name {
			pl.Reserved = maps.Clone(st.permits.coordinator.Reserved(key))
		}
		pools = append(pools, pl)
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return pools
}

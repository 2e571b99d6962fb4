package core

import (
	"cmp"
	"maps"
	"slices"

	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Pool is one pool as this instance sees it.
type Pool struct {
	permit.Pool
	// Coordinator is who reserves its memory for long prompts, empty without peers.
	Coordinator string
	// Replicas counts the listed ones.
	Replicas int
	// Reserved is the memory in tokens under permits, by replica; only the coordinator knows it.
	Reserved map[string]int64
}

// Pools returns the pools in the order of service and failure domain, none in an instance without peers.
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
	slices.SortFunc(pools, func(one, two Pool) int {
		return cmp.Or(cmp.Compare(one.Service, two.Service), cmp.Compare(one.FailureDomain, two.FailureDomain))
	})
	return pools
}

package conf_test

import (
	"context"
	"sync"

	"dandelionsail.example/dandelionsail/internal/store"
)

// pausing is a store whose caller is paused before its first write while something else happens.
type pausing struct {
	store.Store
	once      sync.Once
	meanwhile func()
}

func (ps *pausing) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	ps.once.Do(ps.meanwhile)
	return ps.Store.Swap(ctx, key, value, revision, lease)
}

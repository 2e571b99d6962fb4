package conf_test

import (
	"context"
	"sync"

	"dandelionsail.example/dandelionsail/internal/store"
)

// pausingStore runs meanwhile before its first write, as if the writer were paused while other work goes on.
type pausingStore struct {
	store.Store
	once      sync.Once
	meanwhile func()
}

func (ps *pausingStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	ps.once.Do(ps.meanwhile)
	return ps.Store.Swap(ctx, key, value, revision, lease)
}

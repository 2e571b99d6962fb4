package conf_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
)

// pausingStore runs meanwhile before its first write, as if the writer were paused while other work goes on.
type pausingStore struct {
	store.Store
	once      sync.Once
	meanwhile func()
}

func (ps *pausingStore) Swap(ctx context.Context, have store.Pair, value []byte, lease posit.Lease) (store.Pair, error) {
	ps.once.Do(ps.meanwhile)
	return ps.Store.Swap(ctx, have, value, lease)
}

// slowStore delays the result of a List for a second while it is slow, as if the answer took long on its way.
type slowStore struct {
	store.Store
	slow atomic.Bool
}

func (ss *slowStore) List(ctx context.Context, prefix, from string, limit int) ([]store.Pair, error) {
	pairs, err := ss.Store.List(ctx, prefix, from, limit)
	if ss.slow.Load() {
		time.Sleep(time.Second)
	}
	return pairs, err
}

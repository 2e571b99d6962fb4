package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lease"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
)

// paused is a store whose caller stops at its next call for as long as stop lasts, as a frozen process does.
type paused struct {
	store.Store
	stop atomic.Int64
}

func (ps *paused) Renew(ctx context.Context, id store.LeaseID) error {
	time.Sleep(time.Duration(ps.stop.Load()))
	return ps.Store.Renew(ctx, id)
}

func holder(t *testing.T, st store.Store, name string) *lease.Holder {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(2 * time.Second)
	})
	hd := lease.New(st, name)
	hd.Want([]string{"pool"})
	go func() { _ = hd.Run(ctx) }()
	return hd
}

func TestOneHolderWithRisingFence(t *testing.T) {
	// The holder of a pool is asked to give it back, and later dies. Each time another becomes the holder, with a
	// higher fencing number, and never two at once.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		one := holder(t, stand.NewMemory(kv), "one")
		time.Sleep(2 * time.Second)
		two := holder(t, stand.NewMemory(kv), "two")
		time.Sleep(10 * time.Second)
		first, ok := one.Check("pool")
		assert.Assert(t, ok)
		_, ok = two.Check("pool")
		assert.Assert(t, !ok)
		one.Want(nil)
		time.Sleep(10 * time.Second)
		_, ok = one.Check("pool")
		assert.Assert(t, !ok)
		second, ok := two.Check("pool")
		assert.Assert(t, ok)
		assert.Assert(t, second.Fence > first.Fence)
	})
}

func TestPausedHolderActsNoMore(t *testing.T) {
	// The holder is frozen past the end of its lease while it renews, and another takes the pool. When it goes on it
	// still believes itself the holder for a moment; asked right before an act, it must say no.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		frozen := &paused{Store: stand.NewMemory(kv)}
		old := holder(t, frozen, "old")
		time.Sleep(2 * time.Second)
		_, ok := old.Check("pool")
		assert.Assert(t, ok)
		frozen.stop.Store(int64(60 * time.Second))
		time.Sleep(3 * time.Second)
		next := holder(t, stand.NewMemory(kv), "next")
		for range 58 {
			_, oldHolds := old.Check("pool")
			_, nextHolds := next.Check("pool")
			assert.Assert(t, !oldHolds || !nextHolds)
			time.Sleep(time.Second)
		}
		_, ok = next.Check("pool")
		assert.Assert(t, ok)
	})
}

func TestHolderStopsBeforeItsLeaseEnds(t *testing.T) {
	// The store goes down. The holder cannot renew and must stop while the service still counts the lease as its own.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		hd := holder(t, stand.NewMemory(kv), "one")
		time.Sleep(2 * time.Second)
		kv.SetFaults(stand.Faults{Outage: true})
		time.Sleep(lease.TTL - lease.Margin)
		_, ok := hd.Check("pool")
		assert.Assert(t, !ok)
		kv.SetFaults(stand.Faults{})
		time.Sleep(lease.TTL + 10*time.Second)
		_, ok = hd.Check("pool")
		assert.Assert(t, ok)
	})
}

func TestRefusedFenceIsReplaced(t *testing.T) {
	// An engine says that it has seen a higher fencing number than the holder's. The holder must not go on with it, and
	// not wait behind its own name either: it takes the name anew, with a higher number.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		hd := holder(t, stand.NewMemory(kv), "one")
		time.Sleep(2 * time.Second)
		first, ok := hd.Check("pool")
		assert.Assert(t, ok)
		hd.Drop("pool")
		_, ok = hd.Check("pool")
		assert.Assert(t, !ok)
		time.Sleep(3 * time.Second)
		second, ok := hd.Check("pool")
		assert.Assert(t, ok)
		assert.Assert(t, second.Fence > first.Fence)
	})
}

func TestLostAnswerToTheTaking(t *testing.T) {
	// The service takes the name for the holder and the answer is lost. The holder finds out that it is its own, and
	// does not wait for itself for good; when the pool is not wanted any more, the name is free for others.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		hd := lease.New(stand.NewMemory(kv), "one")
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(func() {
			stop()
			time.Sleep(2 * time.Second)
		})
		go func() { _ = hd.Run(ctx) }()
		hd.Want([]string{"other"})
		time.Sleep(2 * time.Second)
		kv.SetFaults(stand.Faults{LostAnswers: 1})
		hd.Want([]string{"other", "pool"})
		time.Sleep(1500 * time.Millisecond)
		kv.SetFaults(stand.Faults{})
		time.Sleep(2 * time.Second)
		_, ok := hd.Check("pool")
		assert.Assert(t, ok)
		kv.SetFaults(stand.Faults{LostAnswers: 1})
		hd.Want([]string{"other"})
		time.Sleep(1500 * time.Millisecond)
		kv.SetFaults(stand.Faults{})
		time.Sleep(2 * time.Second)
		next := holder(t, stand.NewMemory(kv), "next")
		time.Sleep(10 * time.Second)
		_, ok = next.Check("pool")
		assert.Assert(t, ok)
	})
}

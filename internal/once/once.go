// Package once records idempotency keys before their requests are sent, so that a request that must not be repeated
// runs at most once, whichever instance a resend meets. Claims are grouped by key into a fixed number of shards, one
// value a shard, written by compare-and-swap: the swap makes it safe, and a home for each shard only saves writes.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// Prefix is where claims are kept.
	Prefix = "dandelionsail/claim/"
	// Shards is how many values the claims are kept in. It cannot change while claims are kept.
	Shards = 64
	// KeptBody is how much of an answer is kept for a resend.
	KeptBody = 4 << 10
	// ResendWindow is how long after its deadline a request may be sent again and still be recognised.
	ResendWindow = 30 * time.Minute
	// patience is the longest wait for a claim; after it the caller hears "not run" and when to come back.
	patience = 10 * time.Second
	// outageAfter is how long the store must have failed until claims are refused after one short try.
	outageAfter    = 10 * time.Second
	outagePatience = 500 * time.Millisecond
	// firstLook and maxLook are the waits between looks for the end of a request that is under way under the same key.
	firstLook = 50 * time.Millisecond
	maxLook   = time.Second
	// forwardTimeout bounds one question to a shard's home.
	forwardTimeout = 2 * time.Second
)

// Key names a claim.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// place returns the claim's shard and its name in it.
func (ky Key) place() (int, Hash) {
	sum := sha256.Sum256([]byte(ky.Organisation + "\x00" + ky.Service + "\x00" + ky.Key))
	return int(binary.BigEndian.Uint32(sum[16:]) % Shards), Hash(sum[:16])
}

// Claims records claims in the store.
type Claims struct {
	homes
	st      store.Store
	name    string
	workers [Shards]*worker
	// sealAt is sealBytes but in tests.
	sealAt int
	// retained is how long a record is kept, in nanoseconds.
	retained atomic.Int64
	// failing is when the store began to fail, in nanoseconds since 1970, 0 while it answers.
	failing atomic.Int64
}

// New returns the claims of the named instance.
func New(st store.Store, name string) *Claims {
	cs := &Claims{st: st, name: name, sealAt: sealBytes}
	cs.retained.Store(int64(decl.DefaultMaxDeadline + ResendWindow))
	for shard := range cs.workers {
		cs.workers[shard] = newWorker(cs, shard)
	}
	return cs
}

// Run writes claims until the context ends.
func (cs *Claims) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, wk := range cs.workers {
		group.Go(func() error { return wk.run(ctx) })
	}
	return group.Wait()
}

// Configure takes the retention from the longest deadline that the configuration allows.
func (cs *Claims) Configure(cfg *decl.Config) {
	longest := time.Duration(decl.DefaultMaxDeadline)
	for _, svc := range cfg.Services {
		longest = max(longest, svc.WithDefaults().MaxDeadline.Std())
	}
	cs.retained.Store(int64(longest + ResendWindow))
}

func (cs *Claims) retention() time.Duration {
	return time.Duration(cs.retained.Load())
}

// heard notes whether the store answers.
func (cs *Claims) heard(err error) {
	if err == nil || !unanswered(err) {
		cs.failing.Store(0)
		return
	}
	cs.failing.CompareAndSwap(0, time.Now().UnixNano())
}

// Failing reports whether the store gave no answer to the last write or read of claims.
func (cs *Claims) Failing() bool {
	return cs.failing.Load() != 0
}

func (cs *Claims) patience() time.Duration {
	since := cs.failing.Load()
	if since != 0 && time.Since(time.Unix(0, since)) > outageAfter {
		return outagePatience
	}
	return patience
}

// Claim records the key, trying again for the patience or until the context ends. The nonce must be unique to the
// request. After ClaimUnavailable the claim is not recorded or will be taken away: whoever asked must not run the
// request, and a resend finds the key free at the latest when the store answers again.
func (cs *Claims) Claim(ctx context.Context, ky Key, digest event.Digest, nonce string) (event.ClaimResult, event.Outcome) {
	ends, ok := ctx.Deadline()
	if !ok {
		ends = time.Now().Add(decl.DefaultMaxDeadline)
	}
	// A claim won in the last quarter of its request's time would only be a run that ends too late.
	ctx, cancel := context.WithTimeout(ctx, time.Until(ends)*3/4)
	defer cancel()
	shard, hash := ky.place()
	op := claimOp{hash: hash, digest: [digestBytes]byte(digest[:digestBytes]), nonce: cs.name + "/" + nonce, ends: ends}
	res := cs.claimOnce(ctx, shard, op)
	// A resend often meets the first request before its end is recorded; it waits for that end.
	for look := firstLook; res.underWay(); look = min(2*look, maxLook) {
		delay.For(ctx, look)
		if ctx.Err() != nil {
			break
		}
		again := cs.claimOnce(ctx, shard, op)
		if again.result == event.ClaimUnavailable {
			break
		}
		res = again
	}
	return res.result, res.out
}

// underWay tells that the key belongs to a request that may be running.
func (res claimed) underWay() bool {
	return res.result == event.ClaimRepeated && res.out.Running && !res.out.Known
}

// claimOnce records the claim through the shard's home or by this instance's own writes, and takes it back if it is
// not clear that it is recorded.
func (cs *Claims) claimOnce(ctx context.Context, shard int, op claimOp) claimed {
	ctx, cancel := context.WithTimeout(ctx, cs.patience())
	defer cancel()
	op.given = make(chan claimed, 1)
	if res, ok := cs.forwardClaim(ctx, shard, &op); ok {
		return res
	}
	res := cs.claimHere(ctx, shard, &op)
	if res.result == event.ClaimUnavailable {
		cs.workers[shard].addSettle(&settleOp{hash: op.hash, nonce: op.nonce, release: true, done: make(chan struct{})})
	}
	return res
}

// claimHere records the claim by this instance's own writes.
func (cs *Claims) claimHere(ctx context.Context, shard int, op *claimOp) claimed {
	cs.workers[shard].addClaim(op)
	select {
	case res := <-op.given:
		if ctx.Err() == nil {
			return res
		}
		// A claimant that was paused must not act on an answer that came after its time: what it claimed may have been
		// pruned since.
		return claimed{result: event.ClaimUnavailable}
	case <-ctx.Done():
		cs.workers[shard].drop(op)
		return claimed{result: event.ClaimUnavailable}
	}
}

// Settle records the outcome of a claim, or removes the claim if release is set, trying until the context ends; what
// is not recorded then is tried on in the background.
func (cs *Claims) Settle(ctx context.Context, ky Key, nonce string, out event.Outcome, release bool) error {
	shard, hash := ky.place()
	op := &settleOp{hash: hash, nonce: cs.name + "/" + nonce, out: out, release: release, done: make(chan struct{})}
	if cs.forwardSettle(ctx, shard, op) {
		return nil
	}
	return cs.settleHere(ctx, shard, op)
}

func (cs *Claims) settleHere(ctx context.Context, shard int, op *settleOp) error {
	cs.workers[shard].addSettle(op)
	select {
	case <-op.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

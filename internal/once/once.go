// Package once records idempotency keys in the store before their requests are sent, so that a request that must not be
// repeated runs at most once, whichever instance receives a resend. The claims are spread by key over a fixed number of
// shards. A shard consists of segments, one value in the store each, which are written by compare-and-swap. This alone
// makes claims safe; that one instance, the shard's home, batches the claims of all instances only saves writes.
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
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// Prefix is the prefix of the store's keys that hold claims.
	Prefix = "dandelionsail/claim/"
	// ShardCount is the number of shards that the claims are spread over. It must not change while claims are stored,
	// because it determines the shard of a key.
	ShardCount = 64
	// MaxStoredBody is how many bytes of a response body are stored for resends.
	MaxStoredBody = 4 << 10
	// ResendWindow is how long after its deadline a request can be resent and still be recognised.
	ResendWindow = 30 * time.Minute
	// claimWait bounds the wait for a claim; after it the caller gets "not run" and the time after which to retry.
	claimWait = 10 * time.Second
	// outageThreshold is how long the store must have failed until outageClaimWait applies.
	outageThreshold = 10 * time.Second
	// outageClaimWait replaces claimWait during an outage of the store: claims are refused after one short attempt.
	outageClaimWait = 500 * time.Millisecond
	// minPollInterval is the first wait between polls for the outcome of a request in progress under the same key. It doubles
	// up to maxPollInterval.
	minPollInterval = 50 * time.Millisecond
	// maxPollInterval is the longest wait between two such polls.
	maxPollInterval = time.Second
	// forwardTimeout bounds one call to a shard's home.
	forwardTimeout = 2 * time.Second
)

// Key identifies a claim.
type Key struct {
	Organisation string
	Service      string
	Key          string
}

// locate returns the claim's shard and its hash, which identifies it in the shard.
func (ky Key) locate() (int, Hash) {
	sum := sha256.Sum256([]byte(ky.Organisation + "\x00" + ky.Service + "\x00" + ky.Key))
	return int(binary.BigEndian.Uint32(sum[16:]) % ShardCount), Hash(sum[:16])
}

// Claims records claims of idempotency keys in the store.
type Claims struct {
	homeTable
	st      store.Store
	name    string
	workers [ShardCount]*worker
	// sealAt is the length in bytes at which a segment is sealed: sealBytes, except in tests.
	sealAt int
	// retentionNanos is how long a record is kept, in nanoseconds.
	retentionNanos atomic.Int64
	// failingSince is when the store began to fail, nil while it answers. It points to a time.Time, which keeps the monotonic clock
	// reading.
	failingSince atomic.Pointer[time.Time]
}

// New returns the Claims of the named instance.
func New(st store.Store, name string) *Claims {
	cs := &Claims{st: st, name: name, sealAt: sealBytes}
	cs.retentionNanos.Store(int64(decl.DefaultMaxDeadline + ResendWindow))
	for shard := range cs.workers {
		cs.workers[shard] = newWorker(cs, shard)
	}
	return cs
}

// Run writes claims to the store until the context ends.
func (cs *Claims) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, wk := range cs.workers {
		group.Go(tasks.GuardError("claims worker", func() error { return wk.run(ctx) }))
	}
	return group.Wait()
}

// Configure sets the retention time from the longest deadline that the configuration allows.
func (cs *Claims) Configure(cfg *decl.Config) {
	longest := time.Duration(decl.DefaultMaxDeadline)
	for _, svc := range cfg.Services {
		longest = max(longest, svc.WithDefaults().MaxDeadline.Std())
	}
	cs.retentionNanos.Store(int64(longest + ResendWindow))
}

func (cs *Claims) retention() time.Duration {
	return time.Duration(cs.retentionNanos.Load())
}

// recordStoreResult updates failingSince. Any error but store.Unavailable counts as a response of the store.
func (cs *Claims) recordStoreResult(err error) {
	if err == nil || !isUnavailable(err) {
		cs.failingSince.Store(nil)
		return
	}
	now := time.Now()
	cs.failingSince.CompareAndSwap(nil, &now)
}

// Failing reports whether the store did not answer the last write or read of claims.
func (cs *Claims) Failing() bool {
	return cs.failingSince.Load() != nil
}

func (cs *Claims) claimWait() time.Duration {
	since := cs.failingSince.Load()
	if since != nil && time.Since(*since) > outageThreshold {
		return outageClaimWait
	}
	return claimWait
}

// Claim records the key, retrying for the time of claimWait or until the context ends. The nonce must be unique to the
// request. After ClaimUnavailable the claim is not recorded or will be released: the caller must not run the request, and
// a resend finds the key free at the latest when the store answers again.
func (cs *Claims) Claim(ctx context.Context, ky Key, digest event.Digest, nonce string) (event.ClaimResult, event.Outcome) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(decl.DefaultMaxDeadline)
	}
	// A claim won in the last quarter of the request's time would only start a run that ends too late.
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)*3/4)
	defer cancel()
	shard, hash := ky.locate()
	op := claimOp{hash: hash, digest: [digestBytes]byte(digest[:digestBytes]), nonce: cs.name + "/" + nonce, deadline: deadline}
	res := cs.claimOnce(ctx, shard, op)
	// A resend often arrives before the outcome of the first request is recorded, so it polls for that outcome.
	for interval := minPollInterval; res.inProgress(); interval = min(2*interval, maxPollInterval) {
		delay.For(ctx, interval)
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

// inProgress reports whether the key is claimed by a request that may still be running.
func (res claimResult) inProgress() bool {
	return res.result == event.ClaimRepeated && res.out.Running && !res.out.Known
}

// claimOnce records the claim through the shard's home or by this instance's own writes. It releases the claim if it is
// not certain that it is recorded.
func (cs *Claims) claimOnce(ctx context.Context, shard int, op claimOp) claimResult {
	ctx, cancel := context.WithTimeout(ctx, cs.claimWait())
	defer cancel()
	op.reply = make(chan claimResult, 1)
	if res, ok := cs.forwardClaim(ctx, shard, &op); ok {
		return res
	}
	res := cs.claimHere(ctx, shard, &op)
	if res.result == event.ClaimUnavailable {
		cs.workers[shard].addSettle(&settleOp{hash: op.hash, nonce: op.nonce, release: true, done: make(chan struct{})})
	}
	return res
}

// claimHere records the claim by this instance's own writes, not through the shard's home.
func (cs *Claims) claimHere(ctx context.Context, shard int, op *claimOp) claimResult {
	cs.workers[shard].addClaim(op)
	select {
	case res := <-op.reply:
		if ctx.Err() == nil {
			return res
		}
		// A claimant that was paused must not act on a result that it reads after its time: the record of its claim may
		// have been pruned since.
		return claimResult{result: event.ClaimUnavailable}
	case <-ctx.Done():
		cs.workers[shard].cancelClaim(op)
		return claimResult{result: event.ClaimUnavailable}
	}
}

// Settle records the outcome of a claim, or removes the claim if release is set. It returns when that is recorded or the
// context ends; what is not recorded by then is retried in the background.
func (cs *Claims) Settle(ctx context.Context, ky Key, nonce string, out event.Outcome, release bool) error {
	shard, hash := ky.locate()
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

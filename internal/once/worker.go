package once

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// minWriteInterval is the minimum time between two writes of one shard by one instance. With ShardCount shards and one
	// home for each, the whole fleet writes at most 256 times per second, however many claims there are.
	minWriteInterval = 250 * time.Millisecond
	// settleDelay is how long outcomes wait for a claim to share a write with.
	settleDelay = time.Second
	// minBackoff is the first delay of outcomes and releases after the store failed; it doubles up to maxBackoff. Without it,
	// every instance would call the store many times per second for each of its shards, and keep an impaired store down.
	minBackoff = 250 * time.Millisecond
	// maxBackoff is the longest delay of outcomes and releases while the store fails.
	maxBackoff = 4 * time.Second
)

// claimOp is a queued claim.
type claimOp struct {
	hash     Hash
	digest   [digestBytes]byte
	nonce    string
	deadline time.Time
	// reply receives the result once. It is buffered, so that the send never blocks.
	reply chan claimResult
	// cancelled reports that nobody waits for the result any more.
	cancelled bool
}

// claimResult is the result of a claim, with the recorded outcome if the key was claimed before.
type claimResult struct {
	result event.ClaimResult
	out    event.Outcome
}

// settleOp is a queued outcome or release of a claim.
type settleOp struct {
	hash    Hash
	nonce   string
	out     event.Outcome
	release bool
	// done is closed when the operation is recorded.
	done chan struct{}
}

// worker writes one shard. Operations that arrive during a write go into the next one.
type worker struct {
	cs   *Claims
	path string
	wake chan struct{}

	// mu guards claims with their cancelled fields, and settles.
	mu      sync.Mutex
	claims  []*claimOp
	settles []*settleOp

	// The fields below are used by run only.

	// cached is the shard as last read or written.
	cached *shard
	// era is the store's era in which cached was read.
	era int64
	// lost holds the shard as it was before returns of the store, until what the store has lost of it is written again.
	lost []*shard
	// staleFrom is the number of the first segment that has to be read again before it can be relied upon.
	staleFrom int64
	// lastWrite is when the last write ended. A write that conflicted with another instance's does not count.
	lastWrite time.Time
	// backoff is how long outcomes and releases are delayed while the store fails, 0 while it does not.
	backoff time.Duration
}

// noneStale is the staleFrom of a shard whose segments are all up to date. It is above the number of every segment.
const noneStale = math.MaxInt64

func newWorker(cs *Claims, number int) *worker {
	return &worker{cs: cs, path: fmt.Sprintf("%s%03d/", Prefix, number), wake: make(chan struct{}, 1), cached: &shard{}}
}

func (wk *worker) key(number int64) string {
	return fmt.Sprintf("%s%012d", wk.path, number)
}

func (wk *worker) addClaim(op *claimOp) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.claims = append(wk.claims, op)
	wk.signal()
}

func (wk *worker) addSettle(op *settleOp) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.settles = append(wk.settles, op)
	wk.signal()
}

func (wk *worker) signal() {
	select {
	case wk.wake <- struct{}{}:
	default:
	}
}

func (wk *worker) cancelClaim(op *claimOp) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	op.cancelled = true
}

// pending reports whether claims and whether outcomes or releases are queued.
func (wk *worker) pending() (claims, settles bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.claims) > 0, len(wk.settles) > 0
}

// run writes until the context ends. If outcomes or releases are queued then, it attempts one last write.
func (wk *worker) run(ctx context.Context) error {
	for ctx.Err() == nil {
		claims, settles := wk.pending()
		era := wk.cs.st.Era()
		wk.noteReturn(era)
		switch {
		case claims:
			delay.For(ctx, time.Until(wk.lastWrite.Add(minWriteInterval)))
			wk.write(ctx)
		case settles:
			wk.waitForClaim(ctx, max(settleDelay, wk.backoff))
			wk.write(ctx)
		case len(wk.lost) > 0:
			wk.restore(ctx)
		default:
			select {
			case <-ctx.Done():
			case <-wk.wake:
			case <-era.Ended:
			}
		}
	}
	if _, settles := wk.pending(); settles {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWriteTimeout)
		defer cancel()
		wk.write(last)
	}
	return ctx.Err()
}

// shutdownWriteTimeout bounds the time that a stopping instance spends on outcomes that are not recorded yet.
const shutdownWriteTimeout = 2 * time.Second

// restoreSpread is the time over which the workers of an instance spread their reads after a return of the store.
const restoreSpread = time.Second

// restore writes again what the store has lost of the shard.
func (wk *worker) restore(ctx context.Context) {
	delay.For(ctx, rand.N(restoreSpread)+wk.backoff)
	err := wk.commit(ctx, nil, nil)
	wk.cs.recordStoreResult(err)
	if err == nil {
		wk.backoff = 0
		return
	}
	wk.backoff = min(max(minBackoff, 2*wk.backoff), maxBackoff)
}

// noteReturn marks all cached segments as stale if the store has returned from a copy since they were read, and keeps them if the copy
// may lack claims in them.
func (wk *worker) noteReturn(era store.Era) {
	if era.Number == wk.era {
		return
	}
	if wk.cached.hasRecentClaims(time.Now()) {
		wk.lost = append(wk.lost, wk.cached)
	}
	wk.cached, wk.staleFrom, wk.era = &shard{}, 0, era.Number
}

// waitForClaim waits up to the period for a claim that the queued outcomes can share a write with.
func (wk *worker) waitForClaim(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wk.wake:
			if claims, _ := wk.pending(); claims {
				delay.For(ctx, time.Until(wk.lastWrite.Add(minWriteInterval)))
				return
			}
		}
	}
}

// write puts all queued operations into one write. If the store does not confirm it, they are queued again; whether they
// took effect shows by their nonces at the next read.
func (wk *worker) write(ctx context.Context) {
	wk.mu.Lock()
	claims, settles := withoutCancelled(wk.claims), wk.settles
	wk.claims, wk.settles = nil, nil
	wk.mu.Unlock()
	if len(claims)+len(settles) == 0 {
		return
	}
	err := wk.commit(ctx, claims, settles)
	wk.cs.recordStoreResult(err)
	if err == nil {
		wk.backoff = 0
		return
	}
	if errorx.IsOfType(err, store.Returned) {
		// The claims may have been recorded after the return, when no key counts as free. They are not run, and will be released.
		for _, op := range claims {
			op.reply <- claimResult{result: event.ClaimUnavailable}
		}
		claims = nil
	}
	wk.mu.Lock()
	wk.claims = append(claims, wk.claims...)
	wk.settles = append(settles, wk.settles...)
	wk.mu.Unlock()
	if !errorx.IsOfType(err, store.Conflict) {
		wk.backoff = min(max(minBackoff, 2*wk.backoff), maxBackoff)
		wk.lastWrite = time.Now()
	}
}

func withoutCancelled(ops []*claimOp) []*claimOp {
	var kept []*claimOp
	for _, op := range ops {
		if !op.cancelled {
			kept = append(kept, op)
		}
	}
	return kept
}

// commit applies the operations to the shard and writes the segments that change. It writes the last segment first, since
// the other changes rely on the claims and the nonces of released claims in it.
func (wk *worker) commit(ctx context.Context, claims []*claimOp, settles []*settleOp) error {
	fresh := wk.staleFrom == 0
	if err := wk.refresh(ctx); err != nil {
		return err
	}
	next, results, found := wk.apply(claims, settles)
	if found < noneStale && !fresh {
		// The claim that holds the key may have been settled or released by another instance since it was read.
		wk.staleFrom = found
		if err := wk.refresh(ctx); err != nil {
			return err
		}
		next, results, _ = wk.apply(claims, settles)
	}
	pruned := next.prune(time.Now(), wk.cs.retention())
	next.seal(wk.cs.sealAt)
	for i := next.last(); i >= 0; i-- {
		if err := wk.writeSegment(ctx, &next.segments[i]); err != nil {
			return err
		}
	}
	next.ensureOpen()
	wk.cached, wk.lost = next, nil
	for i, op := range claims {
		op.reply <- results[i]
	}
	for _, op := range settles {
		close(op.done)
	}
	wk.deleteSegments(ctx, pruned)
	return nil
}

// apply returns the shard with the operations applied, the results of the claims, and the lowest number of a segment in
// which another request holds the key of a claim, noneStale if there is none.
func (wk *worker) apply(claims []*claimOp, settles []*settleOp) (next *shard, results []claimResult, found int64) {
	now := time.Now()
	next = wk.cached.clone()
	found = noneStale
	// Outcomes come first, so that a resend right after the response finds the outcome that shares its write.
	for _, op := range settles {
		next.settle(op, now)
	}
	for _, op := range claims {
		res, segment := next.claim(op, now)
		if segment >= 0 {
			found = min(found, next.segments[segment].number)
		}
		results = append(results, res)
	}
	return next, results, found
}

// writeSegment writes a segment if it changed. After a failure the content of the store is unknown, so all segments are
// marked stale.
func (wk *worker) writeSegment(ctx context.Context, sg *cachedSegment) error {
	if !sg.dirty {
		return nil
	}
	raw, err := sg.seg.encode()
	if err != nil {
		return Corrupt.Wrap(err, "once: segment %s does not encode", wk.key(sg.number))
	}
	sg.pair.Key = wk.key(sg.number)
	pair, err := wk.cs.st.Swap(ctx, sg.pair, raw, posit.Lease{})
	if err != nil {
		wk.staleFrom = 0
		return err
	}
	if pair.Position.Era != wk.era {
		wk.staleFrom = 0
		return store.Returned.New("once: the store returned from a copy while %s was written", pair.Key)
	}
	pair.Value = nil
	sg.pair, sg.dirty = pair, false
	wk.lastWrite = time.Now()
	return nil
}

// deleteSegments deletes expired segments. A segment that cannot be deleted now is read again by the next reader.
func (wk *worker) deleteSegments(ctx context.Context, segments []cachedSegment) {
	for _, sg := range segments {
		if sg.pair.Exists() {
			_ = wk.cs.st.Delete(ctx, sg.pair)
		}
	}
}

// listLimit is the number of segments per List call. It keeps the response within what the store's client accepts.
const listLimit = 32

// refresh reads the segments from staleFrom on.
func (wk *worker) refresh(ctx context.Context) error {
	wk.noteReturn(wk.cs.st.Era())
	if wk.staleFrom == noneStale {
		wk.cached.restoring = wk.cs.st.Era().Restoring(time.Now())
		return nil
	}
	next := &shard{}
	for _, sg := range wk.cached.segments {
		if sg.number < wk.staleFrom {
			next.segments = append(next.segments, sg)
		}
	}
	from := wk.key(wk.staleFrom)
	for {
		pairs, err := wk.cs.st.List(ctx, wk.path, from, listLimit)
		if err != nil {
			return err
		}
		for _, pair := range pairs {
			sg, err := wk.decode(pair)
			if err != nil {
				return err
			}
			next.segments = append(next.segments, sg)
			from = wk.key(sg.number + 1)
		}
		if len(pairs) < listLimit {
			break
		}
	}
	next.ensureOpen()
	era := wk.cs.st.Era()
	if era.Number != wk.era {
		// The store returned while it was read.
		return wk.refresh(ctx)
	}
	for _, before := range wk.lost {
		next.restore(before, era.Since, time.Now())
	}
	next.restoring = era.Restoring(time.Now())
	wk.cached, wk.staleFrom = next, noneStale
	return nil
}

func (wk *worker) decode(pair store.Pair) (cachedSegment, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(pair.Key, wk.path), 10, 64)
	if err != nil || number < 0 {
		return cachedSegment{}, Corrupt.New("once: %s is not the key of a segment; find out what else writes below the prefix of claims", pair.Key)
	}
	seg, err := decodeSegment(pair.Value)
	pair.Value = nil
	return cachedSegment{number: number, pair: pair, seg: seg}, err
}

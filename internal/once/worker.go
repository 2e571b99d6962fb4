package once

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// writePause is the least time between two writes of one shard by one instance. With Shards of them at one home
	// each, the whole fleet writes at most 256 times a second, however many claims there are.
	writePause = 250 * time.Millisecond
	// settlePause is how long outcomes wait for a claim to share a write with.
	settlePause = time.Second
	// retryPause is the wait after the store failed.
	retryPause = 100 * time.Millisecond
)

// claimOp asks for a claim.
type claimOp struct {
	hash   Hash
	digest [digestBytes]byte
	nonce  string
	ends   time.Time
	// given is told the result once; it has room for it.
	given chan claimed
	// dropped tells that nobody waits for the result any more.
	dropped bool
}

type claimed struct {
	result event.ClaimResult
	out    event.Outcome
}

// settleOp records the end of a claimed run.
type settleOp struct {
	hash    Hash
	nonce   string
	out     event.Outcome
	release bool
	// done is closed when it is recorded.
	done chan struct{}
}

// worker writes one shard. Whatever comes while a write is under way goes into the next one.
type worker struct {
	cs   *Claims
	path string
	wake chan struct{}

	mu      sync.Mutex
	claims  []*claimOp
	settles []*settleOp

	// The rest belongs to run. known is the value at the revision; nil if it has to be read.
	known     *Shard
	revision  int64
	lastWrite time.Time
}

func newWorker(cs *Claims, shard int) *worker {
	return &worker{cs: cs, path: fmt.Sprintf("%s%03d", Prefix, shard), wake: make(chan struct{}, 1)}
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

func (wk *worker) drop(op *claimOp) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	op.dropped = true
}

// waiting reports what waits.
func (wk *worker) waiting() (claims, settles bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.claims) > 0, len(wk.settles) > 0
}

// run writes until the context ends, and then what is left once more.
func (wk *worker) run(ctx context.Context) error {
	for ctx.Err() == nil {
		claims, settles := wk.waiting()
		switch {
		case claims:
			pause(ctx, time.Until(wk.lastWrite.Add(writePause)))
			wk.write(ctx)
		case settles:
			wk.gather(ctx)
			wk.write(ctx)
		default:
			select {
			case <-ctx.Done():
			case <-wk.wake:
			}
		}
	}
	if _, settles := wk.waiting(); settles {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWrites)
		defer cancel()
		wk.write(last)
	}
	return ctx.Err()
}

// lastWrites bounds what an instance that stops spends on outcomes not yet recorded.
const lastWrites = 2 * time.Second

// gather waits for a claim that the outcomes can share a write with.
func (wk *worker) gather(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wk.wake:
			if claims, _ := wk.waiting(); claims {
				pause(ctx, time.Until(wk.lastWrite.Add(writePause)))
				return
			}
		}
	}
}

// write takes all that waits into one write. What the store did not clearly take waits again: whether it landed shows
// by the nonces at the next read.
func (wk *worker) write(ctx context.Context) {
	wk.mu.Lock()
	claims, settles := live(wk.claims), wk.settles
	wk.claims, wk.settles = nil, nil
	wk.mu.Unlock()
	if len(claims)+len(settles) == 0 {
		return
	}
	err := wk.swap(ctx, claims, settles)
	wk.cs.heard(err)
	if err == nil {
		return
	}
	wk.known = nil
	wk.mu.Lock()
	wk.claims = append(claims, wk.claims...)
	wk.settles = append(settles, wk.settles...)
	wk.mu.Unlock()
	if !errorx.IsOfType(err, store.Conflict) {
		pause(ctx, retryPause)
	}
}

func live(ops []*claimOp) []*claimOp {
	var kept []*claimOp
	for _, op := range ops {
		if !op.dropped {
			kept = append(kept, op)
		}
	}
	return kept
}

// swap applies the operations to the shard and writes it, unless nothing changes.
func (wk *worker) swap(ctx context.Context, claims []*claimOp, settles []*settleOp) error {
	fresh := wk.known == nil
	if fresh {
		if err := wk.read(ctx); err != nil {
			return err
		}
	}
	next, results, changed := wk.apply(claims, settles)
	if !fresh && repeated(results) {
		// The claim that stands may have been settled or released by another instance since the value was read.
		wk.known = nil
		return wk.swap(ctx, claims, settles)
	}
	if changed {
		raw, err := next.encode()
		if err != nil {
			return Corrupt.Wrap(err, "once: %s does not encode", wk.path)
		}
		pair, err := wk.cs.st.Swap(ctx, wk.path, raw, wk.revision, 0)
		if err != nil {
			return err
		}
		wk.known, wk.revision, wk.lastWrite = next, pair.Revision, time.Now()
	}
	for i, op := range claims {
		op.given <- results[i]
	}
	for _, op := range settles {
		close(op.done)
	}
	return nil
}

func (wk *worker) apply(claims []*claimOp, settles []*settleOp) (next *Shard, results []claimed, changed bool) {
	now := time.Now()
	next = wk.known.clone()
	next.prune(now, wk.cs.retention())
	changed = len(settles) > 0
	// A resend right after its answer finds the outcome that shares its write.
	for _, op := range settles {
		next.settle(op, now)
	}
	for _, op := range claims {
		result, out := next.claim(op, now)
		changed = changed || result == event.ClaimWon
		results = append(results, claimed{result, out})
	}
	return next, results, changed
}

func repeated(results []claimed) bool {
	for _, res := range results {
		if res.result == event.ClaimRepeated || res.result == event.ClaimConflict {
			return true
		}
	}
	return false
}

func (wk *worker) read(ctx context.Context) error {
	pair, err := wk.cs.st.Get(ctx, wk.path)
	if errorx.IsOfType(err, store.Missing) {
		wk.known, wk.revision = newShard(), 0
		return nil
	}
	if err != nil {
		return err
	}
	sh, err := decodeShard(pair.Value)
	if err != nil {
		return err
	}
	wk.known, wk.revision = sh, pair.Revision
	return nil
}

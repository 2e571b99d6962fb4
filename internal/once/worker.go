package once

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// writePause is the least time between two writes of one shard by one instance. With Shards of them at one home
	// each, the whole fleet writes at most 256 times a second, however many claims there are.
	writePause = 250 * time.Millisecond
	// settlePause is how long outcomes wait for a claim to share a write with.
	settlePause = time.Second
	// restPause is the wait of outcomes and releases after the store failed; it doubles up to maxRest. Without it every
	// instance would call for each of its shards many times a second, and keep a store down that limps.
	restPause = 250 * time.Millisecond
	maxRest   = 4 * time.Second
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

	// The rest belongs to run. known is what was read or written last; the segments from stale on have to be read
	// before they are relied upon.
	known *shard
	stale int64
	// lastWrite is when a write ended, unless another instance came before it.
	lastWrite time.Time
	// rest is how long outcomes wait while the store fails, 0 while it does not.
	rest time.Duration
}

// nothingStale is above the number of every segment.
const nothingStale = math.MaxInt64

func newWorker(cs *Claims, number int) *worker {
	return &worker{cs: cs, path: fmt.Sprintf("%s%03d/", Prefix, number), wake: make(chan struct{}, 1), known: &shard{}}
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
			delay.For(ctx, time.Until(wk.lastWrite.Add(writePause)))
			wk.write(ctx)
		case settles:
			wk.gather(ctx, max(settlePause, wk.rest))
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
func (wk *worker) gather(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-wk.wake:
			if claims, _ := wk.waiting(); claims {
				delay.For(ctx, time.Until(wk.lastWrite.Add(writePause)))
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
		wk.rest = 0
		return
	}
	wk.mu.Lock()
	wk.claims = append(claims, wk.claims...)
	wk.settles = append(settles, wk.settles...)
	wk.mu.Unlock()
	if !errorx.IsOfType(err, store.Conflict) {
		wk.rest = min(max(restPause, 2*wk.rest), maxRest)
		wk.lastWrite = time.Now()
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

// swap applies the operations to the shard and writes the segments that change. The last segment goes first: it has
// the claims and the nonces of those given up, on which the rest relies.
func (wk *worker) swap(ctx context.Context, claims []*claimOp, settles []*settleOp) error {
	fresh := wk.stale == 0
	if err := wk.refresh(ctx); err != nil {
		return err
	}
	next, results, found := wk.apply(claims, settles)
	if found < nothingStale && !fresh {
		// The claim that stands may have been settled or released by another instance since it was read.
		wk.stale = found
		if err := wk.refresh(ctx); err != nil {
			return err
		}
		next, results, _ = wk.apply(claims, settles)
	}
	gone := next.prune(time.Now(), wk.cs.retention())
	next.seal(wk.cs.sealAt)
	for i := next.last(); i >= 0; i-- {
		if err := wk.writePart(ctx, &next.parts[i]); err != nil {
			return err
		}
	}
	next.open()
	wk.known = next
	for i, op := range claims {
		op.given <- results[i]
	}
	for _, op := range settles {
		close(op.done)
	}
	wk.remove(ctx, gone)
	return nil
}

// apply returns the shard with the operations applied, and the lowest segment in which a claim found another's.
func (wk *worker) apply(claims []*claimOp, settles []*settleOp) (next *shard, results []claimed, found int64) {
	now := time.Now()
	next = wk.known.clone()
	found = nothingStale
	// A resend right after its answer finds the outcome that shares its write.
	for _, op := range settles {
		next.settle(op, now)
	}
	for _, op := range claims {
		res, segment := next.claim(op, now)
		if segment >= 0 {
			found = min(found, next.parts[segment].number)
		}
		results = append(results, res)
	}
	return next, results, found
}

// writePart writes a segment if it changed. After a failure it is not known what the store holds.
func (wk *worker) writePart(ctx context.Context, pt *part) error {
	if !pt.dirty {
		return nil
	}
	raw, err := pt.seg.encode()
	if err != nil {
		return Corrupt.Wrap(err, "once: %s does not encode", wk.key(pt.number))
	}
	pair, err := wk.cs.st.Swap(ctx, wk.key(pt.number), raw, pt.revision, 0)
	if err != nil {
		wk.stale = 0
		return err
	}
	pt.revision, pt.dirty = pair.Revision, false
	wk.lastWrite = time.Now()
	return nil
}

// remove deletes expired segments. One that cannot be deleted now is met again by the next reader.
func (wk *worker) remove(ctx context.Context, gone []part) {
	for _, pt := range gone {
		if pt.revision != 0 {
			_ = wk.cs.st.Delete(ctx, wk.key(pt.number), pt.revision)
		}
	}
}

// listLimit keeps a list of segments within what the store's client reads of one answer.
const listLimit = 32

// refresh reads the segments from the stale one on.
func (wk *worker) refresh(ctx context.Context) error {
	if wk.stale == nothingStale {
		return nil
	}
	next := &shard{}
	for _, pt := range wk.known.parts {
		if pt.number < wk.stale {
			next.parts = append(next.parts, pt)
		}
	}
	from := wk.key(wk.stale)
	for {
		pairs, err := wk.cs.st.List(ctx, wk.path, from, listLimit)
		if err != nil {
			return err
		}
		for _, pair := range pairs {
			pt, err := wk.decode(pair)
			if err != nil {
				return err
			}
			next.parts = append(next.parts, pt)
			from = wk.key(pt.number + 1)
		}
		if len(pairs) < listLimit {
			break
		}
	}
	next.open()
	wk.known, wk.stale = next, nothingStale
	return nil
}

func (wk *worker) decode(pair store.Pair) (part, error) {
	number, err := strconv.ParseInt(strings.TrimPrefix(pair.Key, wk.path), 10, 64)
	if err != nil || number < 0 {
		return part{}, Corrupt.New("once: %s is no segment; find out who wrote it", pair.Key)
	}
	seg, err := decodeSegment(pair.Value)
	return part{number: number, revision: pair.Revision, seg: seg}, err
}

package conf

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
)

// The store may return from a copy that lacks the newest patches, although they were acknowledged and are in force. The
// instances hold them and write them again.

// restoreSpread is the time over which the instances that do not watch the store spread their reads after its return, for each
// member.
const restoreSpread = 4 * time.Millisecond

// maxRestoreAttempts bounds the attempts to write lost patches after one return.
const maxRestoreAttempts = 60

// ReturnStats counts what followers have done after returns of the store.
type ReturnStats struct {
	// Era is the store's era, and EraBefore the one before the return.
	Era, EraBefore int64
	// Restored is how many lost patches were written again.
	Restored int
	// Forked is the version of a lost patch in whose place the store holds another one, 0 if there is none.
	Forked int64
	// Err is the error of the last attempt, nil if nothing is lost any more as far as this instance knows.
	Err error
}

// followReturns announces each return of the store to peers and writes again what the store has lost, until the context
// ends.
func (fl *Follower) followReturns(ctx context.Context) error {
	for {
		era := fl.lg.st.Era()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-era.Ended:
		}
		fl.announce(fl.Version())
		if !fl.IsWatcher() {
			delay.For(ctx, rand.N(restoreSpread*time.Duration(1+len(*fl.members.Load()))))
		}
		stats := ReturnStats{Era: fl.lg.st.Era().Number, EraBefore: era.Number}
		for attempt := 0; attempt < maxRestoreAttempts && fl.lg.st.Era().Number == stats.Era; attempt++ {
			stats.Err = fl.restore(ctx, &stats)
			if stats.Err == nil || errorx.IsOfType(stats.Err, Corrupt) || !delay.For(ctx, retryDelay) {
				break
			}
		}
		if fl.OnReturn != nil {
			fl.OnReturn(stats)
		}
	}
}

// restore writes the patches that this instance holds and the store has lost, in order. A patch in whose place the store holds another
// one is a Corrupt error. Missing means that the store lacks patches before those that this instance holds.
func (fl *Follower) restore(ctx context.Context, stats *ReturnStats) error {
	mf, _, err := fl.lg.readManifest(ctx)
	if err != nil {
		return err
	}
	first, raws := fl.heldPatches()
	// What the manifest's snapshot contains is not lost.
	skipped := min(max(mf.Version+1-first, 0), int64(len(raws)))
	first, raws = first+skipped, raws[skipped:]
	if len(raws) == 0 {
		return nil
	}
	if first > mf.Version+1 {
		if _, err := fl.lg.st.Get(ctx, patchKey(first-1)); err != nil {
			return err
		}
	}
	stored, _, err := fl.lg.listAfter(ctx, first-1)
	if err != nil {
		return err
	}
	for i, raw := range raws {
		version := first + int64(i)
		if i < len(stored) {
			err = checkSame(version, stored[i], raw, stats)
		} else {
			err = fl.lg.restorePatch(ctx, version, raw, stats)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkSame returns a Corrupt error if the store holds another patch as the version.
func checkSame(version int64, stored, raw []byte, stats *ReturnStats) error {
	if bytes.Equal(stored, raw) {
		return nil
	}
	stats.Forked = version
	return Corrupt.New("conf: version %d was lost by the store and another patch has its place; submit the lost one again and restart the instances", version)
}

// restorePatch writes the patch unless another instance has done so.
func (lg *Log) restorePatch(ctx context.Context, version int64, raw []byte, stats *ReturnStats) error {
	_, err := lg.st.Swap(ctx, store.Pair{Key: patchKey(version)}, raw, posit.Lease{})
	if err == nil {
		stats.Restored++
	}
	if !errorx.IsOfType(err, store.Conflict) {
		return err
	}
	pair, err := lg.st.Get(ctx, patchKey(version))
	if err != nil {
		return err
	}
	return checkSame(version, pair.Value, raw, stats)
}

// heldPatches returns the encoded patches that this instance holds, and the version of the first.
func (fl *Follower) heldPatches() (first int64, raws [][]byte) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.cfg.Version - int64(len(fl.rawPatches)) + 1, fl.rawPatches[:len(fl.rawPatches):len(fl.rawPatches)]
}

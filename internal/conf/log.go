package conf

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Prefix is the key prefix of the patches in the store.
const Prefix = "dandelionsail/config/patch/"

const (
	// listLimit is the page size of reads of the log. It keeps a page of the longest patches within what the store's
	// client reads from one response.
	listLimit = 32
	// submitAttempts is how often a write with an unknown outcome is tried before the submitter is asked to resend the
	// patch.
	submitAttempts = 4
	// submitRetryDelay is the wait between these attempts.
	submitRetryDelay = 50 * time.Millisecond
)

// Log is the log of patches in the store. It is safe for concurrent use.
type Log struct {
	// SnapshotEvery is how many patches must follow the last snapshot before Compact writes a new one.
	SnapshotEvery int64
	// KeepPatches is how many patches before the newest snapshot are kept, for instances that lag behind. It must be
	// above 0, so that the newest patch is never trimmed: only then does a missing key above a reader's version mean
	// that this version is the newest.
	KeepPatches int64
	st          store.Store
	mu          sync.Mutex
	// cached is the newest version that this process has read; nil before the first read.
	cached *snapshot
	// cachedEra is the store's era in which cached was read.
	cachedEra int64
}

// New returns the log kept in the store.
func New(st store.Store) *Log {
	return &Log{SnapshotEvery: 256, KeepPatches: 256, st: st}
}

func patchKey(version int64) string {
	return fmt.Sprintf("%s%012d", Prefix, version)
}

// Load returns the newest version of the configuration.
func (lg *Log) Load(ctx context.Context) (*decl.Config, error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return nil, err
	}
	return sn.Config, nil
}

// Read returns the patch that produced the version, or store.Missing if it has been trimmed.
func (lg *Log) Read(ctx context.Context, version int64) (Patch, error) {
	pair, err := lg.st.Get(ctx, patchKey(version))
	if err != nil {
		return Patch{}, err
	}
	return decodePatch(pair.Value)
}

// newest reads the log up to its newest version.
func (lg *Log) newest(ctx context.Context) (*snapshot, error) {
	for {
		// The store may return from a copy that lacks what was read before, also while it is read.
		era := lg.st.Era().Number
		sn, err := lg.newestIn(ctx, era)
		if err != nil || era == lg.st.Era().Number {
			return sn, err
		}
	}
}

// newestIn reads the log up to its newest version in the store's era.
func (lg *Log) newestIn(ctx context.Context, era int64) (*snapshot, error) {
	lg.mu.Lock()
	if lg.cached == nil || lg.cachedEra != era {
		lg.cached, lg.cachedEra = emptySnapshot(), era
	}
	sn := lg.cached
	lg.mu.Unlock()
	for {
		base, raws, err := lg.readAfter(ctx, sn.version())
		if err != nil {
			return nil, err
		}
		if base != nil {
			sn = base
		}
		for _, raw := range raws {
			if sn, err = sn.apply(raw); err != nil {
				return nil, err
			}
		}
		if len(raws) < listLimit {
			return lg.updateCache(sn), nil
		}
	}
}

func (lg *Log) updateCache(sn *snapshot) *snapshot {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.cached == nil || lg.cached.version() < sn.version() {
		lg.cached = sn
	}
	return lg.cached
}

// readAfter returns up to listLimit stored patches that follow the version, in order. For version 0, and if the next
// patches have been trimmed, it also returns the newest snapshot, which the patches then follow instead.
func (lg *Log) readAfter(ctx context.Context, version int64) (*snapshot, [][]byte, error) {
	var base *snapshot
	if version == 0 {
		sn, err := lg.readSnapshot(ctx)
		if err != nil {
			return nil, nil, err
		}
		base = sn
		version = sn.version()
	}
	raws, gap, err := lg.listAfter(ctx, version)
	if err != nil || !gap {
		return base, raws, err
	}
	base, err = lg.readSnapshot(ctx)
	if err != nil {
		return nil, nil, err
	}
	raws, gap, err = lg.listAfter(ctx, base.version())
	if gap {
		return nil, nil, Corrupt.New("conf: the patch after version %d is missing; put the newest one back in", base.version())
	}
	return base, raws, err
}

// listAfter returns the patches that follow the version, or true if one is missing although later ones are there.
func (lg *Log) listAfter(ctx context.Context, version int64) ([][]byte, bool, error) {
	pairs, err := lg.st.List(ctx, Prefix, patchKey(version+1), listLimit)
	if err != nil {
		return nil, false, err
	}
	var raws [][]byte
	for _, pair := range pairs {
		version++
		if pair.Key != patchKey(version) {
			return nil, true, nil
		}
		raws = append(raws, pair.Value)
	}
	return raws, false, nil
}

// Submit appends the patch and returns the version that it became. If the patch was applied before under the same id,
// it returns the version it got then, so that a submitter that lost the response may resend it. A Stale error names the
// newest version and what changed since the patch's base.
func (lg *Log) Submit(ctx context.Context, patch Patch) (int64, error) {
	raw, err := patch.encode()
	if err != nil {
		return 0, err
	}
	for range submitAttempts {
		version, retry, err := lg.submitOnce(ctx, patch, raw)
		if !retry {
			return version, err
		}
		delay.For(ctx, submitRetryDelay)
	}
	return 0, store.Unavailable.New("conf: the store gave no clear answer; send the same patch with the same id again, it lands once")
}

// submitOnce writes the patch once. retry is true if it is unknown whether the write took effect.
func (lg *Log) submitOnce(ctx context.Context, patch Patch, raw []byte) (version int64, retry bool, err error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return 0, false, err
	}
	if lg.st.Era().Restoring(time.Now()) {
		return 0, false, store.Unavailable.New("conf: the store has just returned from a copy and lost patches are written again; send the same patch with the same id again in %s", store.RestoreTime)
	}
	if sm, ok := sn.findByID(patch.ID); ok {
		version, err := resubmittedVersion(sm, patch)
		return version, false, err
	}
	if sn.version() != patch.Base {
		return 0, false, staleError(patch, sn)
	}
	if _, err := Apply(sn.Config, patch); err != nil {
		return 0, false, err
	}
	_, err = lg.st.Swap(ctx, store.Pair{Key: patchKey(patch.Base + 1)}, raw, posit.Lease{})
	switch {
	case err == nil:
		return lg.confirm(ctx, patch)
	case errorx.IsOfType(err, store.Conflict), errorx.IsOfType(err, store.Unavailable), errorx.IsOfType(err, store.Limited):
		// The next read shows whether this patch or another one took the key.
		return 0, ctx.Err() == nil, err
	default:
		return 0, false, err
	}
}

// confirm checks that a write which the store accepted is part of the log. If a submitter pauses between its read and
// its write while the log advances and is trimmed, it finds the key free again: the store accepts the write, but no
// reader ever sees the patch. Keys at or above a manifest's version are never trimmed. So if a manifest that is read
// after the write is not above the patch's base, the key had never been used before.
func (lg *Log) confirm(ctx context.Context, patch Patch) (version int64, retry bool, err error) {
	mf, _, err := lg.readManifest(ctx)
	if err != nil {
		return 0, ctx.Err() == nil, err
	}
	if mf.Version <= patch.Base {
		return patch.Base + 1, false, nil
	}
	sn, err := lg.readSnapshot(ctx)
	if err != nil {
		return 0, false, err
	}
	lg.updateCache(sn)
	if sm, ok := sn.findByID(patch.ID); ok {
		version, err := resubmittedVersion(sm, patch)
		return version, false, err
	}
	lg.removeOrphan(ctx, patch)
	return 0, false, staleError(patch, sn)
}

// removeOrphan deletes a patch that was written into the trimmed part of the log. If that fails, the next trim removes
// it.
func (lg *Log) removeOrphan(ctx context.Context, patch Patch) {
	pair, err := lg.st.Get(ctx, patchKey(patch.Base+1))
	if err != nil {
		return
	}
	if stored, err := decodePatch(pair.Value); err == nil && stored.ID == patch.ID {
		_ = lg.st.Delete(ctx, pair)
	}
}

// resubmittedVersion returns the version of the applied patch with the same id, or Broken if its operations differ.
func resubmittedVersion(sm PatchSummary, patch Patch) (int64, error) {
	if sm.Digest != patch.digest() {
		return 0, Broken.New("conf: the id %q belongs to another patch, version %d; give this one its own", patch.ID, sm.Version)
	}
	return sm.Version, nil
}

func staleError(patch Patch, sn *snapshot) error {
	changes := sn.since(patch.Base)
	return Stale.New("conf: the patch was made against version %d and the newest is %d (%s); get it and make the patch again",
		patch.Base, sn.version(), describeChanges(changes)).
		WithProperty(PropertyVersion, sn.version()).
		WithProperty(PropertyChanges, changes)
}

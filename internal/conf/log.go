package conf

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Prefix is where the patches are kept.
const Prefix = "dandelionsail/config/patch/"

const (
	// listLimit keeps a list of the longest patches within what the store's client reads of one answer.
	listLimit = 32
	// submitTries is how often a write without a clear answer is tried before the submitter is asked to come back.
	submitTries = 4
	submitPause = 50 * time.Millisecond
)

// Log is the log of patches in the store. It may be used from many goroutines.
type Log struct {
	// SnapshotEvery is how many patches a snapshot waits for.
	SnapshotEvery int64
	// KeepPatches is how many patches behind the newest snapshot stay, for instances that lag behind; above 0, so
	// that the newest patch is always there and "no key above mine" always means "mine is the newest".
	KeepPatches int64
	st          store.Store
	mu          sync.Mutex
	// known is the newest version that this process has seen; nil before the first read.
	known *snapshot
}

// New returns the log kept in the store.
func New(st store.Store) *Log {
	return &Log{SnapshotEvery: 256, KeepPatches: 256, st: st}
}

func key(version int64) string {
	return fmt.Sprintf("%s%012d", Prefix, version)
}

// Load reads the newest version.
func (lg *Log) Load(ctx context.Context) (*decl.Config, error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return nil, err
	}
	return sn.Config, nil
}

// Read returns the patch that became the version; store.Missing if it is trimmed.
func (lg *Log) Read(ctx context.Context, version int64) (Patch, error) {
	pair, err := lg.st.Get(ctx, key(version))
	if err != nil {
		return Patch{}, err
	}
	return decodePatch(pair.Value)
}

// newest reads up to the newest version.
func (lg *Log) newest(ctx context.Context) (*snapshot, error) {
	lg.mu.Lock()
	sn := lg.known
	lg.mu.Unlock()
	if sn == nil {
		sn = empty()
	}
	for {
		base, raws, err := lg.after(ctx, sn.version())
		if err != nil {
			return nil, err
		}
		if base != nil {
			sn = base
		}
		for _, raw := range raws {
			if sn, err = sn.next(raw); err != nil {
				return nil, err
			}
		}
		if len(raws) < listLimit {
			return lg.remember(sn), nil
		}
	}
}

func (lg *Log) remember(sn *snapshot) *snapshot {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if lg.known == nil || lg.known.version() < sn.version() {
		lg.known = sn
	}
	return lg.known
}

// after returns up to listLimit stored patches that follow the version in order. If the ones right after it are
// trimmed it returns a snapshot that they follow instead.
func (lg *Log) after(ctx context.Context, version int64) (*snapshot, [][]byte, error) {
	var base *snapshot
	if version == 0 {
		sn, err := lg.readSnapshot(ctx)
		if err != nil {
			return nil, nil, err
		}
		base = sn
		version = sn.version()
	}
	raws, gap, err := lg.list(ctx, version)
	if err != nil || !gap {
		return base, raws, err
	}
	base, err = lg.readSnapshot(ctx)
	if err != nil {
		return nil, nil, err
	}
	raws, gap, err = lg.list(ctx, base.version())
	if gap {
		return nil, nil, Corrupt.New("conf: the patch after version %d is missing; put the newest one back in", base.version())
	}
	return base, raws, err
}

// list returns the patches that follow the version, and true if the first of them is not there but later ones are.
func (lg *Log) list(ctx context.Context, version int64) ([][]byte, bool, error) {
	pairs, err := lg.st.List(ctx, Prefix, key(version+1), listLimit)
	if err != nil {
		return nil, false, err
	}
	var raws [][]byte
	for _, pair := range pairs {
		version++
		if pair.Key != key(version) {
			return nil, true, nil
		}
		raws = append(raws, pair.Value)
	}
	return raws, false, nil
}

// Submit appends the patch and returns the version that it became. A patch that landed before, under the same id,
// returns the version it got then, so that a submitter whose answer was lost may send it again. A Stale error names
// the newest version and what changed since.
func (lg *Log) Submit(ctx context.Context, patch Patch) (int64, error) {
	raw, err := patch.encode()
	if err != nil {
		return 0, err
	}
	for range submitTries {
		version, again, err := lg.submitOnce(ctx, patch, raw)
		if !again {
			return version, err
		}
		delay.For(ctx, submitPause)
	}
	return 0, store.Unavailable.New("conf: the store gave no clear answer; send the same patch with the same id again, it lands once")
}

// submitOnce writes the patch once; again tells that it is not known whether the write took effect.
func (lg *Log) submitOnce(ctx context.Context, patch Patch, raw []byte) (version int64, again bool, err error) {
	sn, err := lg.newest(ctx)
	if err != nil {
		return 0, false, err
	}
	if ld, ok := sn.find(patch.ID); ok {
		version, err := sameAs(ld, patch)
		return version, false, err
	}
	if sn.version() != patch.Base {
		return 0, false, stale(patch, sn)
	}
	if _, err := Apply(sn.Config, patch); err != nil {
		return 0, false, err
	}
	_, err = lg.st.Swap(ctx, key(patch.Base+1), raw, 0, 0)
	switch {
	case err == nil:
		return lg.confirm(ctx, patch)
	case errorx.IsOfType(err, store.Conflict), errorx.IsOfType(err, store.Unavailable), errorx.IsOfType(err, store.Limited):
		// What landed in its place, or that it landed after all, shows at the next read.
		return 0, ctx.Err() == nil, err
	default:
		return 0, false, err
	}
}

// confirm looks whether a write that was taken is part of the log. A submitter that was paused for long between its
// read and its write finds the key free once more if the log went on and was trimmed meanwhile; the patch would be
// lost although the store took it. No key at or above a manifest's version is trimmed, so a manifest read after the
// write that is not above the patch's base proves that the key was free for the first time.
func (lg *Log) confirm(ctx context.Context, patch Patch) (version int64, again bool, err error) {
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
	lg.remember(sn)
	if ld, ok := sn.find(patch.ID); ok {
		version, err := sameAs(ld, patch)
		return version, false, err
	}
	lg.removeStray(ctx, patch)
	return 0, false, stale(patch, sn)
}

// removeStray takes back a patch that was written where the log is trimmed. If it stays, the next trim removes it.
func (lg *Log) removeStray(ctx context.Context, patch Patch) {
	pair, err := lg.st.Get(ctx, key(patch.Base+1))
	if err != nil {
		return
	}
	if there, err := decodePatch(pair.Value); err == nil && there.ID == patch.ID {
		_ = lg.st.Delete(ctx, pair.Key, pair.Revision)
	}
}

// sameAs returns the version of a patch that landed, unless another one has its id.
func sameAs(ld Landed, patch Patch) (int64, error) {
	if ld.Digest != patch.digest() {
		return 0, Broken.New("conf: the id %q belongs to another patch, version %d; give this one its own", patch.ID, ld.Version)
	}
	return ld.Version, nil
}

func stale(patch Patch, sn *snapshot) error {
	changes := sn.since(patch.Base)
	return Stale.New("conf: the patch was made against version %d and the newest is %d (%s); get it and make the patch again",
		patch.Base, sn.version(), describe(changes)).
		WithProperty(PropertyVersion, sn.version()).
		WithProperty(PropertyChanges, changes)
}

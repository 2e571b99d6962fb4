// Package conf keeps the configuration as a numbered log of patches in the platform's key-value service. Patch n is
// the key n created if absent, so that of two operators who patch the same version one wins and one gets a conflict.
package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Prefix is where the patches are kept.
const Prefix = "dandelionsail/config/patch/"

const (
	listLimit = 500
	// retryPause is the wait after the store failed a follower.
	retryPause = 500 * time.Millisecond
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("conf")
	// Stale tells that the patch was made against a version that is not the newest.
	Stale = Errors.NewType("stale")
	// Broken tells that the patch does not apply or its result does not pass the checks.
	Broken = Errors.NewType("broken")
	// PropertyVersion carries the newest version in a Stale error.
	PropertyVersion = errorx.RegisterProperty("version")
)

// Patch is one change of the configuration.
type Patch struct {
	// ID is the submitter's own name for the patch; sent again it lands once.
	ID string
	// Base is the version the patch was made against; it becomes version Base+1.
	Base   int64
	Author string
	At     time.Time
	// Operations is a JSON Patch (RFC 6902) of the configuration's JSON form.
	Operations json.RawMessage
}

// Apply returns the configuration with the patch applied and checked.
func Apply(cfg *decl.Config, patch Patch) (*decl.Config, error) {
	document, err := cfg.Document()
	if err != nil {
		return nil, err
	}
	operations, err := jsonpatch.DecodePatch(patch.Operations)
	if err != nil {
		return nil, Broken.Wrap(err, "conf: the operations are no JSON Patch; send an array as in RFC 6902")
	}
	document, err = operations.Apply(document)
	if err != nil {
		return nil, Broken.Wrap(err, "conf: the patch does not apply; make it against version %d", cfg.Version)
	}
	next, err := decl.Parse(document)
	if err != nil {
		return nil, Broken.Wrap(err, "conf: the patched configuration is refused")
	}
	next.Version = cfg.Version + 1
	return next, nil
}

// Log is the log of patches in the store.
type Log struct {
	st store.Store
}

// New returns the log kept in the store.
func New(st store.Store) *Log {
	return &Log{st: st}
}

func key(version int64) string {
	return fmt.Sprintf("%s%012d", Prefix, version)
}

// Load reads the newest version.
func (lg *Log) Load(ctx context.Context) (*decl.Config, error) {
	return lg.advance(ctx, &decl.Config{})
}

// advance applies all patches after the configuration's version.
func (lg *Log) advance(ctx context.Context, cfg *decl.Config) (*decl.Config, error) {
	for {
		pairs, err := lg.st.List(ctx, Prefix, key(cfg.Version+1), listLimit)
		if err != nil {
			return cfg, err
		}
		for _, pair := range pairs {
			cfg, err = applyPair(cfg, pair)
			if err != nil {
				return cfg, err
			}
		}
		if len(pairs) < listLimit {
			return cfg, nil
		}
	}
}

func applyPair(cfg *decl.Config, pair store.Pair) (*decl.Config, error) {
	var patch Patch
	if err := json.Unmarshal(pair.Value, &patch); err != nil {
		return cfg, Broken.Wrap(err, "conf: %s holds no patch", pair.Key)
	}
	return Apply(cfg, patch)
}

// Submit appends the patch and returns the version that it became. A patch that landed before, under the same id,
// returns the version it got then, so that a submitter whose answer was lost may send it again.
func (lg *Log) Submit(ctx context.Context, patch Patch) (int64, error) {
	cfg, err := lg.Load(ctx)
	if err != nil {
		return 0, err
	}
	if version, ok := lg.landed(ctx, patch, cfg.Version); ok {
		return version, nil
	}
	if cfg.Version != patch.Base {
		return 0, stale(patch.Base, cfg.Version)
	}
	if _, err := Apply(cfg, patch); err != nil {
		return 0, err
	}
	raw, err := json.Marshal(patch)
	if err != nil {
		return 0, Broken.Wrap(err, "conf: the patch does not encode")
	}
	version := patch.Base + 1
	_, err = lg.st.Swap(ctx, key(version), raw, 0, 0)
	if err == nil {
		return version, nil
	}
	return lg.settle(ctx, patch, err)
}

// settle finds out whether a write without a clear answer took effect: the patch's own id is the proof.
func (lg *Log) settle(ctx context.Context, patch Patch, cause error) (int64, error) {
	pair, err := lg.st.Get(ctx, key(patch.Base+1))
	if err != nil {
		return 0, cause
	}
	var there Patch
	if json.Unmarshal(pair.Value, &there) == nil && there.ID == patch.ID {
		return patch.Base + 1, nil
	}
	return 0, stale(patch.Base, patch.Base+1)
}

func (lg *Log) landed(ctx context.Context, patch Patch, newest int64) (int64, bool) {
	if patch.Base >= newest {
		return 0, false
	}
	pair, err := lg.st.Get(ctx, key(patch.Base+1))
	if err != nil {
		return 0, false
	}
	var there Patch
	if json.Unmarshal(pair.Value, &there) != nil || there.ID != patch.ID {
		return 0, false
	}
	return patch.Base + 1, true
}

func stale(base, newest int64) error {
	return Stale.New("conf: the patch was made against version %d and the newest is %d; get it and make the patch again", base, newest).
		WithProperty(PropertyVersion, newest)
}

// Follow calls accept with every newer version until the context ends.
func (lg *Log) Follow(ctx context.Context, accept func(*decl.Config)) error {
	cfg := &decl.Config{}
	for {
		next, err := lg.advance(ctx, cfg)
		if next.Version > cfg.Version {
			cfg = next
			accept(cfg)
		}
		if err == nil {
			err = lg.wait(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			pause(ctx, retryPause)
		}
	}
}

// wait returns when the watch tells of a new patch or ends.
func (lg *Log) wait(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes, err := lg.st.Watch(ctx, Prefix, 0)
	if err != nil {
		return err
	}
	select {
	case <-changes:
	case <-time.After(rereadPeriod):
	}
	return nil
}

// rereadPeriod bounds how long a patch that landed between the read and the watch stays unseen.
const rereadPeriod = 2 * time.Second

func pause(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

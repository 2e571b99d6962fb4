package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// snapPrefix is the key prefix of the sections of snapshots.
	snapPrefix = "dandelionsail/config/snap/"
	// manifestKey is the key of the manifest, which names the newest snapshot.
	manifestKey = "dandelionsail/config/manifest"
	// sectionBytes is the maximum length of a section in bytes, well below the platform's limit for one value.
	sectionBytes = 512 << 10
	// snapshotReadAttempts is how often a read is attempted when a newer snapshot replaces the one being read.
	snapshotReadAttempts = 3
)

// snapshot is one version of the configuration with what a submitter needs to know about the patches before it.
type snapshot struct {
	Config *decl.Config
	// Summaries holds the summaries of the newest patches up to this version, oldest first, at most maxSummaries.
	Summaries []PatchSummary `json:"Landed"`
}

func (sn *snapshot) version() int64 {
	return sn.Config.Version
}

// maxSummaries is how many patches are remembered by id: about an hour's worth at 46,000 patches a day. Within this
// window a resent patch is applied once, even after its operations have been trimmed.
const maxSummaries = 2048

// apply returns the snapshot that follows from one more encoded patch.
func (sn *snapshot) apply(raw []byte) (*snapshot, error) {
	patch, err := decodePatch(raw)
	if err != nil {
		return nil, err
	}
	cfg, err := Apply(sn.Config, patch)
	if err != nil {
		return nil, err
	}
	summaries := append(sn.Summaries[:len(sn.Summaries):len(sn.Summaries)], patch.summary(cfg.Version))
	if len(summaries) > maxSummaries {
		summaries = summaries[len(summaries)-maxSummaries:]
	}
	return &snapshot{Config: cfg, Summaries: summaries}, nil
}

// findByID returns the summary of the patch that was applied under the id.
func (sn *snapshot) findByID(id string) (PatchSummary, bool) {
	for i := len(sn.Summaries) - 1; i >= 0; i-- {
		if sn.Summaries[i].ID == id {
			return sn.Summaries[i], true
		}
	}
	return PatchSummary{}, false
}

// since returns the summaries of the patches after the version.
func (sn *snapshot) since(version int64) []PatchSummary {
	for i, sm := range sn.Summaries {
		if sm.Version > version {
			return sn.Summaries[i:]
		}
	}
	return nil
}

// manifest names the newest snapshot. It is replaced only after all sections have been written; otherwise a reader
// could see a partial snapshot.
type manifest struct {
	Version  int64
	Sections []section
}

type section struct {
	Key    string
	Digest uint64
}

func decodeManifest(raw []byte) (manifest, error) {
	var mf manifest
	if err := json.Unmarshal(raw, &mf); err != nil {
		return mf, Corrupt.Wrap(err, "conf: %s does not decode; find out who wrote it", manifestKey)
	}
	return mf, nil
}

func decodeSnapshot(raw []byte) (*snapshot, error) {
	sn := &snapshot{}
	if err := json.Unmarshal(raw, sn); err != nil {
		return nil, Corrupt.Wrap(err, "conf: a snapshot does not decode; run the same release on all instances")
	}
	if sn.Config == nil || sn.Config.Version <= 0 {
		return nil, Corrupt.New("conf: a snapshot holds no configuration; find out who wrote below %s", snapPrefix)
	}
	return sn, nil
}

// splitSections cuts an encoded snapshot into sections that fit the platform's limit for one value.
func splitSections(version int64, raw []byte) (manifest, [][]byte) {
	mf := manifest{Version: version}
	var parts [][]byte
	for len(raw) > 0 {
		part := raw[:min(len(raw), sectionBytes)]
		raw = raw[len(part):]
		mf.Sections = append(mf.Sections, section{
			Key:    fmt.Sprintf("%s%012d/%03d", snapPrefix, version, len(parts)),
			Digest: xxhash.Sum64(part),
		})
		parts = append(parts, part)
	}
	return mf, parts
}

// readManifest returns the manifest and its pair, both without contents if there is none yet.
func (lg *Log) readManifest(ctx context.Context) (manifest, store.Pair, error) {
	pair, err := lg.st.Get(ctx, manifestKey)
	if errorx.IsOfType(err, store.Missing) {
		return manifest{}, store.Pair{Key: manifestKey}, nil
	}
	if err != nil {
		return manifest{}, pair, err
	}
	mf, err := decodeManifest(pair.Value)
	return mf, pair, err
}

// readSnapshot returns the newest snapshot, or the empty version 0 if there is none yet.
func (lg *Log) readSnapshot(ctx context.Context) (*snapshot, error) {
	var err error
	for range snapshotReadAttempts {
		var mf manifest
		mf, _, err = lg.readManifest(ctx)
		if err != nil {
			return nil, err
		}
		if mf.Version == 0 {
			return emptySnapshot(), nil
		}
		var sn *snapshot
		sn, err = lg.readSections(ctx, mf)
		if err == nil || !errorx.IsOfType(err, store.Missing) {
			return sn, err
		}
	}
	return nil, err
}

func emptySnapshot() *snapshot {
	return &snapshot{Config: &decl.Config{}}
}

func (lg *Log) readSections(ctx context.Context, mf manifest) (*snapshot, error) {
	var raw []byte
	for _, sec := range mf.Sections {
		pair, err := lg.st.Get(ctx, sec.Key)
		if err != nil {
			return nil, err
		}
		if xxhash.Sum64(pair.Value) != sec.Digest {
			return nil, Corrupt.New("conf: %s differs from its digest; find out who wrote it", sec.Key)
		}
		raw = append(raw, pair.Value...)
	}
	return decodeSnapshot(raw)
}

// Compact writes a snapshot if at least SnapshotEvery patches follow the last one, and then removes sections and
// patches that are no longer needed. Any number of instances may call it concurrently.
func (lg *Log) Compact(ctx context.Context) error {
	sn, err := lg.newest(ctx)
	if err != nil {
		return err
	}
	old, have, err := lg.readManifest(ctx)
	if err != nil || sn.version()-old.Version < lg.SnapshotEvery {
		return err
	}
	raw, err := json.Marshal(sn)
	if err != nil {
		return Corrupt.Wrap(err, "conf: encoding the snapshot of version %d failed", sn.version())
	}
	mf, parts := splitSections(sn.version(), raw)
	for i, sec := range mf.Sections {
		if err := lg.writeSection(ctx, sec, parts[i]); err != nil {
			return err
		}
	}
	raw, err = json.Marshal(mf)
	if err != nil {
		return Corrupt.Wrap(err, "conf: encoding the manifest failed")
	}
	if _, err := lg.st.Swap(ctx, have, raw, posit.Lease{}); err != nil {
		return err
	}
	return lg.trim(ctx, old.Version, mf.Version)
}

// writeSection creates the section. Other instances write the same bytes for the same version, so a section that
// already exists with the expected digest counts as written.
func (lg *Log) writeSection(ctx context.Context, sec section, part []byte) error {
	_, err := lg.st.Swap(ctx, store.Pair{Key: sec.Key}, part, posit.Lease{})
	if !errorx.IsOfType(err, store.Conflict) {
		return err
	}
	pair, err := lg.st.Get(ctx, sec.Key)
	if err == nil && xxhash.Sum64(pair.Value) != sec.Digest {
		return Corrupt.New("conf: %s was written with another content; run the same release on all instances", sec.Key)
	}
	return err
}

// trim removes the sections of snapshots older than the previous one, which a slow reader may still be reading, and the
// patches more than KeepPatches before the newest snapshot.
func (lg *Log) trim(ctx context.Context, before, newest int64) error {
	if err := lg.removeBelow(ctx, snapPrefix, fmt.Sprintf("%s%012d", snapPrefix, before)); err != nil {
		return err
	}
	return lg.removeBelow(ctx, Prefix, patchKey(newest-lg.KeepPatches))
}

func (lg *Log) removeBelow(ctx context.Context, prefix, end string) error {
	for {
		pairs, err := lg.st.List(ctx, prefix, "", listLimit)
		if err != nil {
			return err
		}
		removed := 0
		for _, pair := range pairs {
			if pair.Key >= end || !strings.HasPrefix(pair.Key, prefix) {
				return nil
			}
			if err := lg.st.Delete(ctx, pair); err != nil && !errorx.IsOfType(err, store.Conflict) {
				return err
			}
			removed++
		}
		if removed < listLimit {
			return nil
		}
	}
}

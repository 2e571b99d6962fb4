// Package conf stores the configuration as a numbered log of patches in the platform's key-value service and keeps
// every instance up to date with it. Patch n is stored under the key n, which is created only if absent, so of two
// operators who patch the same version one succeeds and the other gets a conflict.
package conf

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
)

const (
	// MaxPatch is the maximum length of a stored patch in bytes, below the platform's limit for one value.
	MaxPatch = 900 << 10
	// MaxID is the maximum length of a patch id in bytes.
	MaxID = 64
	// maxPaths is how many paths of a patch its summary and error messages list.
	maxPaths = 4
	// maxPathBytes is the length in bytes to which a summary cuts a path.
	maxPathBytes = 128
)

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("conf")
	// Stale means that the patch was made against a version that is not the newest.
	Stale = Errors.NewType("stale")
	// Broken means that the patch is malformed, does not apply, or its result fails validation.
	Broken = Errors.NewType("broken")
	// Corrupt means that the store holds data that this package did not write.
	Corrupt = Errors.NewType("corrupt")
	// PropertyVersion holds the newest version, an int64, in a Stale error.
	PropertyVersion = errorx.RegisterProperty("version")
	// PropertyChanges holds what was applied since the patch's base, a []PatchSummary, in a Stale error.
	PropertyChanges = errorx.RegisterProperty("changes")
)

// Patch is one change of the configuration.
type Patch struct {
	// ID is chosen by the submitter and has at most MaxID bytes. A patch resent under the same ID is applied once.
	ID string
	// Base is the version the patch was made against; the patch becomes version Base+1.
	Base   int64
	Author string
	At     time.Time
	// Operations is a JSON Patch (RFC 6902) to the JSON form of the configuration.
	Operations json.RawMessage
}

// PatchSummary is what the log keeps of an applied patch after its operations have been trimmed.
type PatchSummary struct {
	Version int64
	ID      string
	Author  string
	At      time.Time
	// Paths are the first few distinct paths that the patch names.
	Paths []string
	// Digest distinguishes a resent patch from another one under the same ID.
	Digest uint64
}

func (pt Patch) summary(version int64) PatchSummary {
	sm := PatchSummary{Version: version, ID: pt.ID, Author: pt.Author, At: pt.At, Digest: pt.digest()}
	operations, err := decodeOperations(pt.Operations)
	if err != nil {
		return sm
	}
	for _, op := range operations {
		path, _ := op.Path()
		path = path[:min(len(path), maxPathBytes)]
		if len(sm.Paths) < maxPaths && !slices.Contains(sm.Paths, path) {
			sm.Paths = append(sm.Paths, path)
		}
	}
	return sm
}

// digest ignores white space, which the stored form drops.
func (pt Patch) digest() uint64 {
	var compact bytes.Buffer
	if json.Compact(&compact, pt.Operations) != nil {
		return 0
	}
	return xxhash.Sum64(compact.Bytes())
}

// encode validates the ID and the length of the patch and returns its stored form.
func (pt Patch) encode() ([]byte, error) {
	if pt.ID == "" || len(pt.ID) > MaxID {
		return nil, Broken.New("conf: the patch's id has %d bytes; give it one of its own of 1 to %d", len(pt.ID), MaxID)
	}
	raw, err := json.Marshal(pt)
	if err != nil {
		return nil, Broken.Wrap(err, "conf: the operations are no JSON; send an array as in RFC 6902")
	}
	if len(raw) > MaxPatch {
		return nil, Broken.New("conf: the patch has %d bytes; split it into patches of at most %d", len(raw), MaxPatch)
	}
	return raw, nil
}

func decodePatch(raw []byte) (Patch, error) {
	var pt Patch
	if err := json.Unmarshal(raw, &pt); err != nil {
		return pt, Corrupt.Wrap(err, "conf: a stored patch does not decode; find out who wrote below %s", Prefix)
	}
	return pt, nil
}

// describeChanges lists who changed what, newest last, in a single line.
func describeChanges(changes []PatchSummary) string {
	const shown = 5
	var text []string
	if len(changes) > shown {
		changes = changes[len(changes)-shown:]
		text = append(text, "…")
	}
	for _, sm := range changes {
		author := sm.Author
		if author == "" {
			author = "someone"
		}
		text = append(text, author+" changed "+strings.Join(sm.Paths, ", "))
	}
	return strings.Join(text, "; ")
}

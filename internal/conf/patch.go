// Package conf keeps the configuration as a numbered log of patches in the platform's key-value service. Patch n is
// the key n created if absent, so that of two operators who patch the same version one wins and one gets a conflict.
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

// Bounds of a patch.
const (
	// MaxPatch is the longest stored patch in bytes, below what the platform holds in one value.
	MaxPatch = 900 << 10
	// MaxID is the longest patch id in bytes.
	MaxID = 64
	// keptPaths and keptPath bound what the log remembers of a patch's paths.
	keptPaths = 4
	keptPath  = 128
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("conf")
	// Stale tells that the patch was made against a version that is not the newest.
	Stale = Errors.NewType("stale")
	// Broken tells that the patch does not apply or its result does not pass the checks.
	Broken = Errors.NewType("broken")
	// Corrupt tells that the store holds something that this package did not write.
	Corrupt = Errors.NewType("corrupt")
	// PropertyVersion carries the newest version, an int64, in a Stale error.
	PropertyVersion = errorx.RegisterProperty("version")
	// PropertyChanges carries what landed since the patch's base, a []Landed, in a Stale error.
	PropertyChanges = errorx.RegisterProperty("changes")
)

// Patch is one change of the configuration.
type Patch struct {
	// ID is the submitter's own name for the patch; sent again it lands once. At most MaxID bytes.
	ID string
	// Base is the version the patch was made against; it becomes version Base+1.
	Base   int64
	Author string
	At     time.Time
	// Operations is a JSON Patch (RFC 6902) of the configuration's JSON form.
	Operations json.RawMessage
}

// Landed is what the log remembers of a patch after its operations are trimmed.
type Landed struct {
	Version int64
	ID      string
	Author  string
	At      time.Time
	// Paths are the first few places that the patch changed.
	Paths []string
	// Digest tells another patch under the same id from the same one sent again.
	Digest uint64
}

func (pt Patch) landed(version int64) Landed {
	ld := Landed{Version: version, ID: pt.ID, Author: pt.Author, At: pt.At, Digest: pt.digest()}
	operations, err := decodeOperations(pt.Operations)
	if err != nil {
		return ld
	}
	for _, op := range operations {
		path, _ := op.Path()
		path = path[:min(len(path), keptPath)]
		if len(ld.Paths) < keptPaths && !slices.Contains(ld.Paths, path) {
			ld.Paths = append(ld.Paths, path)
		}
	}
	return ld
}

// digest is taken without white space, which the stored form drops.
func (pt Patch) digest() uint64 {
	var compact bytes.Buffer
	if json.Compact(&compact, pt.Operations) != nil {
		return 0
	}
	return xxhash.Sum64(compact.Bytes())
}

// encode checks what the log needs of a patch and returns its stored form.
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

// describe lists who changed what, newest last, in a few words.
func describe(changes []Landed) string {
	const shown = 5
	var text []string
	if len(changes) > shown {
		changes = changes[len(changes)-shown:]
		text = append(text, "…")
	}
	for _, ld := range changes {
		author := ld.Author
		if author == "" {
			author = "someone"
		}
		text = append(text, author+" changed "+strings.Join(ld.Paths, ", "))
	}
	return strings.Join(text, "; ")
}

package once

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Bounds of a shard's value. Together they keep it below what the platform holds in one value: maxRecords of at most
// about 100 bytes, keptBodies, and the abandoned nonces.
const (
	maxRecords   = 7000
	keptBodies   = 128 << 10
	maxAbandoned = 2000
	// abandonedKept is how long a claimant's word that it gave up stands: longer than any instance works on a claim.
	abandonedKept = 10 * time.Minute
	// digestBytes of a request's digest are kept; 16 bytes are enough to tell two requests apart.
	digestBytes = 16
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("once")
	// Corrupt tells that a shard's value was not written by this package.
	Corrupt = Errors.NewType("corrupt")
)

// Hash names a claim within its shard.
type Hash [16]byte

// Record is one stored claim. Times are seconds since 1970 by the clock of whoever claimed it.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Digest [digestBytes]byte
	// Nonce is the claimant's own, by which it knows its write after a lost answer. No two claims share one.
	Nonce string
	At    int64
	// Ends is when the run must have ended; after it a record without outcome means that the outcome is unknown.
	Ends int64
	// Status is the upstream's, 0 while there is none.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
	// Settled tells that the run has ended, with Status 0 if nobody knows how.
	Settled bool
}

// Shard is the value of one shard: every claim whose key hashes into it, kept for the retention.
type Shard struct {
	Records map[Hash]Record
	// Abandoned holds the nonces of claims that their claimant gave up while a write of them might still land, with
	// the time of it. Nobody records a claim under such a nonce any more.
	Abandoned map[string]int64
}

func newShard() *Shard {
	return &Shard{Records: map[Hash]Record{}, Abandoned: map[string]int64{}}
}

func decodeShard(raw []byte) (*Shard, error) {
	sh := newShard()
	if err := cbor.Unmarshal(raw, sh); err != nil {
		return nil, Corrupt.Wrap(err, "once: a shard does not decode; run the same release on all instances")
	}
	if sh.Records == nil || sh.Abandoned == nil {
		return nil, Corrupt.New("once: a shard lacks its records; find out who wrote below %s", Prefix)
	}
	return sh, nil
}

func (sh *Shard) encode() ([]byte, error) {
	return cbor.Marshal(sh)
}

// clone shares the bodies, which never change.
func (sh *Shard) clone() *Shard {
	return &Shard{Records: maps.Clone(sh.Records), Abandoned: maps.Clone(sh.Abandoned)}
}

// claim records the key if it is free. It returns 0 if the claim cannot be recorded now.
func (sh *Shard) claim(op *claimOp, now time.Time) (event.ClaimResult, event.Outcome) {
	there, ok := sh.Records[op.hash]
	switch {
	case ok && there.Nonce == op.nonce:
		return event.ClaimWon, event.Outcome{}
	case ok && there.Digest != op.digest:
		return event.ClaimConflict, event.Outcome{}
	case ok:
		return event.ClaimRepeated, there.outcome(now)
	}
	_, abandoned := sh.Abandoned[op.nonce]
	if abandoned || len(sh.Records) >= maxRecords {
		return event.ClaimUnavailable, event.Outcome{}
	}
	sh.Records[op.hash] = Record{Digest: op.digest, Nonce: op.nonce, At: now.Unix(), Ends: op.ends.Unix()}
	return event.ClaimWon, event.Outcome{}
}

func (rc Record) outcome(now time.Time) event.Outcome {
	return event.Outcome{
		Known:       rc.Status != 0,
		Running:     !rc.Settled && now.Unix() <= rc.Ends,
		Status:      rc.Status,
		Body:        rc.Body,
		ContentType: rc.ContentType,
		Truncated:   rc.Truncated,
	}
}

// settle records the end of a run, or takes the claim away if it certainly was not run.
func (sh *Shard) settle(op *settleOp, now time.Time) {
	there, ok := sh.Records[op.hash]
	own := ok && there.Nonce == op.nonce
	switch {
	case op.release:
		// Another write of the claim may be on its way, by this instance or by the shard's home. It cannot land any
		// more: one made before this write fails at the swap, one made after it finds the nonce here.
		sh.Abandoned[op.nonce] = now.Unix()
		if own {
			delete(sh.Records, op.hash)
		}
	case own:
		there.Settled = true
		if op.out.Known {
			there.Status = op.out.Status
			there.ContentType = op.out.ContentType
			there.Body = op.out.Body
			there.Truncated = op.out.Truncated
		}
		sh.Records[op.hash] = there
	}
}

// prune drops what nobody can ask for any more, and the oldest bodies over their bound.
func (sh *Shard) prune(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).Unix()
	maps.DeleteFunc(sh.Records, func(_ Hash, rc Record) bool { return rc.At < oldest && rc.Ends < oldest })
	oldest = now.Add(-abandonedKept).Unix()
	maps.DeleteFunc(sh.Abandoned, func(_ string, at int64) bool { return at < oldest })
	sh.dropBodies()
	sh.dropAbandoned()
}

func (sh *Shard) dropBodies() {
	total := 0
	var kept []Hash
	for hash, rc := range sh.Records {
		if len(rc.Body) > 0 {
			total += len(rc.Body)
			kept = append(kept, hash)
		}
	}
	if total <= keptBodies {
		return
	}
	slices.SortFunc(kept, func(one, two Hash) int { return cmp.Compare(sh.Records[one].At, sh.Records[two].At) })
	for _, hash := range kept {
		if total <= keptBodies {
			return
		}
		rc := sh.Records[hash]
		total -= len(rc.Body)
		rc.Body = nil
		rc.Truncated = true
		sh.Records[hash] = rc
	}
}

func (sh *Shard) dropAbandoned() {
	if len(sh.Abandoned) <= maxAbandoned {
		return
	}
	nonces := slices.SortedFunc(maps.Keys(sh.Abandoned), func(one, two string) int {
		return cmp.Compare(sh.Abandoned[one], sh.Abandoned[two])
	})
	for _, nonce := range nonces[:len(nonces)-maxAbandoned] {
		delete(sh.Abandoned, nonce)
	}
}

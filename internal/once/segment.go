package once

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

const (
	// sealBytes is the length at which a segment takes no more claims. Each write carries one segment, so it bounds
	// what a write costs the platform.
	sealBytes = 64 << 10
	// maxSegment is the length over which outcomes are recorded without their answers: many requests may be under way
	// when their segment is sealed, and it has to stay below what the platform holds in one value.
	maxSegment = 512 << 10
	// recordBytes is about what a record takes beside its answer.
	recordBytes = 90
	// digestBytes of a request's digest are kept; 16 bytes are enough to tell two requests apart.
	digestBytes = 16
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("once")
	// Corrupt tells that a segment was not written by this package.
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

// Segment is one value of a shard.
type Segment struct {
	Records map[Hash]Record
	// Abandoned holds the nonces of claims that their claimant gave up while a write of them might still land, with
	// the time of it. Nobody records a claim under such a nonce any more.
	Abandoned map[string]int64
	// Sealed segments take no more claims and nonces, for good. Outcomes and releases of their records still come.
	Sealed bool
}

func newSegment() *Segment {
	return &Segment{Records: map[Hash]Record{}, Abandoned: map[string]int64{}}
}

func decodeSegment(raw []byte) (*Segment, error) {
	seg := newSegment()
	if err := cbor.Unmarshal(raw, seg); err != nil {
		return nil, Corrupt.Wrap(err, "once: a segment does not decode; run the same release on all instances")
	}
	if seg.Records == nil || seg.Abandoned == nil {
		return nil, Corrupt.New("once: a segment lacks its records; find out who wrote below %s", Prefix)
	}
	return seg, nil
}

func (seg *Segment) encode() ([]byte, error) {
	return cbor.Marshal(seg)
}

// clone shares the bodies, which never change.
func (seg *Segment) clone() *Segment {
	return &Segment{Records: maps.Clone(seg.Records), Abandoned: maps.Clone(seg.Abandoned), Sealed: seg.Sealed}
}

// size is about the encoded length.
func (seg *Segment) size() int {
	total := (len(seg.Records) + len(seg.Abandoned)) * recordBytes
	for _, rc := range seg.Records {
		total += len(rc.Body)
	}
	return total
}

// settle records the end of a run, without its answer if the segment has no room for it.
func (seg *Segment) settle(op *settleOp) {
	rc := seg.Records[op.hash]
	rc.Settled = true
	if op.out.Known {
		rc.Status = op.out.Status
		rc.ContentType = op.out.ContentType
		rc.Body = op.out.Body
		rc.Truncated = op.out.Truncated
	}
	if len(rc.Body) > 0 && seg.size()+len(rc.Body) > maxSegment {
		rc.Body = nil
		rc.Truncated = true
	}
	seg.Records[op.hash] = rc
}

// expired reports whether nobody can ask for any of the records any more.
func (seg *Segment) expired(oldest int64) bool {
	for _, rc := range seg.Records {
		if max(rc.At, rc.Ends) >= oldest {
			return false
		}
	}
	for _, at := range seg.Abandoned {
		if at >= oldest {
			return false
		}
	}
	return true
}

package once

import (
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

const (
	// sealBytes is the length at which a segment is sealed, so that it takes no more claims. Each write carries a whole
	// segment, so this bounds what a write costs the platform.
	sealBytes = 64 << 10
	// maxSegmentBytes is the length above which outcomes are recorded without their response bodies. Many requests may be in
	// progress when their segment is sealed, and with all their outcomes it has to fit into one value of the platform.
	maxSegmentBytes = 512 << 10
	// recordOverheadBytes is the approximate length of a record without its response body.
	recordOverheadBytes = 90
	// digestBytes is how much of a request's digest is stored. 16 bytes are enough to distinguish two requests.
	digestBytes = 16
)

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("once")
	// Corrupt reports a key or value that this package did not write.
	Corrupt = Errors.NewType("corrupt")
)

// Hash identifies a claim within its shard.
type Hash [16]byte

// Record is one stored claim. Its times are seconds since 1970 by the clock of the instance that recorded it. The fields
// are encoded by position, so their order must not change.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Digest [digestBytes]byte
	// Nonce is unique to the claim. By it a claimant recognises its own write after a lost response.
	Nonce string
	// ClaimedAt is when the claim was recorded.
	ClaimedAt int64
	// Deadline is when the run must have ended. After it, a record without outcome means that the outcome is unknown.
	Deadline int64
	// Status is the HTTP status of the upstream's response, 0 while none is known.
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool
	// Settled reports that the run has ended, with Status 0 if its outcome is unknown.
	Settled bool
}

func (rc Record) outcome(now time.Time) event.Outcome {
	return event.Outcome{
		Known:       rc.Status != 0,
		Running:     !rc.Settled && now.Unix() <= rc.Deadline,
		Status:      rc.Status,
		Body:        rc.Body,
		ContentType: rc.ContentType,
		Truncated:   rc.Truncated,
	}
}

// Segment is one value in the store, which holds a part of a shard's claims.
type Segment struct {
	Records map[Hash]Record
	// Abandoned holds the nonces of claims that were released while a write of them might still take effect, with the time
	// of the release in seconds since 1970. No claim with such a nonce is recorded any more.
	Abandoned map[string]int64
	// Sealed segments never take claims or nonces again. Outcomes and releases of their records are still written to them.
	Sealed bool
}

func newSegment() *Segment {
	return &Segment{Records: map[Hash]Record{}, Abandoned: map[string]int64{}}
}

func decodeSegment(raw []byte) (*Segment, error) {
	seg := newSegment()
	if err := cbor.Unmarshal(raw, seg); err != nil {
		return nil, Corrupt.Wrap(err, "once: segment does not decode; run the same release on all instances")
	}
	if seg.Records == nil || seg.Abandoned == nil {
		return nil, Corrupt.New("once: segment lacks its records or nonces; find out what else writes keys below %s", Prefix)
	}
	return seg, nil
}

func (seg *Segment) encode() ([]byte, error) {
	return cbor.Marshal(seg)
}

// clone copies the records but shares the response bodies, which never change.
func (seg *Segment) clone() *Segment {
	return &Segment{Records: maps.Clone(seg.Records), Abandoned: maps.Clone(seg.Abandoned), Sealed: seg.Sealed}
}

// size returns the approximate encoded length in bytes.
func (seg *Segment) size() int {
	total := (len(seg.Records) + len(seg.Abandoned)) * recordOverheadBytes
	for _, rc := range seg.Records {
		total += len(rc.Body)
	}
	return total
}

// settle records the end of a run, without the response body if the segment has no room for it.
func (seg *Segment) settle(op *settleOp) {
	rc := seg.Records[op.hash]
	rc.Settled = true
	if op.out.Known {
		rc.Status = op.out.Status
		rc.ContentType = op.out.ContentType
		rc.Body = op.out.Body
		rc.Truncated = op.out.Truncated
	}
	if len(rc.Body) > 0 && seg.size()+len(rc.Body) > maxSegmentBytes {
		rc.Body = nil
		rc.Truncated = true
	}
	seg.Records[op.hash] = rc
}

// expired reports whether all records and nonces are older than oldest, in seconds since 1970, so that no resend can refer
// to them any more.
func (seg *Segment) expired(oldest int64) bool {
	for _, rc := range seg.Records {
		if max(rc.ClaimedAt, rc.Deadline) >= oldest {
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

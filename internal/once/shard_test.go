package once

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

func newShard() *shard {
	sh := &shard{}
	sh.ensureOpen()
	return sh
}

func TestSegmentsStayBelowMaxValue(t *testing.T) {
	// Many claims are recorded before any of their requests ends; then all end at once with the longest response bodies.
	// Each write must stay short while claims arrive, and no segment may outgrow the platform's limit for a value.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	var ops []*claimOp
	for i := range 3000 {
		op := &claimOp{hash: Hash{byte(i), byte(i >> 8)}, nonce: "entry-100.abcdefghij-abcdef" + strconv.Itoa(i), deadline: now.Add(time.Hour)}
		res, _ := sh.claim(op, now)
		assert.Equal(t, res.result, event.ClaimWon)
		ops = append(ops, op)
		if i%10 == 9 {
			raw, err := sh.segments[sh.last()].seg.encode()
			assert.NilError(t, err)
			assert.Assert(t, len(raw) < 2*sealBytes, "%d bytes", len(raw))
			sh.seal(sealBytes)
			sh.ensureOpen()
		}
	}
	out := event.Outcome{Known: true, Status: 200, ContentType: "application/json", Body: make([]byte, MaxStoredBody)}
	for _, op := range ops {
		sh.settle(&settleOp{hash: op.hash, nonce: op.nonce, out: out}, now)
	}
	assert.Assert(t, len(sh.segments) > 3)
	for _, sg := range sh.segments {
		raw, err := sg.seg.encode()
		assert.NilError(t, err)
		assert.Assert(t, len(raw) < store.MaxValue, "%d bytes", len(raw))
	}
	total := len(sh.segments)
	assert.Equal(t, len(sh.prune(now.Add(time.Hour), time.Hour)), 0)
	assert.Equal(t, len(sh.prune(now.Add(3*time.Hour), time.Hour)), total-1)
}

func TestRecordWithoutOutcomeBecomesUnknown(t *testing.T) {
	// An instance dies before it records the outcome of its request. A resend must get "running" until the request's
	// deadline and "unknown" after it, and must never be allowed to run.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	first := &claimOp{hash: Hash{1}, nonce: "a", deadline: now.Add(30 * time.Second)}
	res, _ := sh.claim(first, now)
	assert.Equal(t, res.result, event.ClaimWon)
	resend := &claimOp{hash: Hash{1}, nonce: "b", deadline: now.Add(90 * time.Second)}
	res, _ = sh.claim(resend, now.Add(10*time.Second))
	assert.Equal(t, res.result, event.ClaimRepeated)
	assert.Assert(t, res.out.Running)
	res, _ = sh.claim(resend, now.Add(time.Minute))
	assert.Equal(t, res.result, event.ClaimRepeated)
	assert.Assert(t, !res.out.Running && !res.out.Known)
}

func TestAbandonedClaimIsNotRecordedLater(t *testing.T) {
	// A claimant releases its claim and the caller gets "not run", while the claim is still queued at the shard's home. If
	// the home recorded it after the release, it would stand for a run that never happens and block every resend.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	late := &claimOp{hash: Hash{1}, nonce: "a", deadline: now.Add(time.Minute)}
	sh.settle(&settleOp{hash: late.hash, nonce: late.nonce, release: true}, now)
	res, _ := sh.claim(late, now.Add(time.Second))
	assert.Equal(t, res.result, event.ClaimUnavailable)
	res, _ = sh.claim(&claimOp{hash: Hash{1}, nonce: "b", deadline: now.Add(time.Minute)}, now.Add(2*time.Second))
	assert.Equal(t, res.result, event.ClaimWon)
}

// FuzzSegment decodes arbitrary store values as segments and applies operations to them.
func FuzzSegment(f *testing.F) {
	seg := newSegment()
	seg.Records[Hash{1}] = Record{Nonce: "a"}
	raw, _ := seg.encode()
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		seg, err := decodeSegment(raw)
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		sh := &shard{segments: []cachedSegment{{seg: seg}}}
		sh.ensureOpen()
		sh.claim(&claimOp{hash: Hash{1}, nonce: "b"}, now)
		sh.settle(&settleOp{hash: Hash{1}, nonce: "b", release: true}, now)
		sh.seal(sealBytes)
		sh.prune(now, time.Hour)
		_, _ = sh.segments[sh.last()].seg.encode()
	})
}

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
	sh.open()
	return sh
}

func TestSegmentsStayWithinOneValue(t *testing.T) {
	// Many claims come while none of their requests ends, and then all end at once with the longest answers. Each write
	// stays short while claims come, and no segment outgrows what the platform takes.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	var ops []*claimOp
	for i := range 3000 {
		op := &claimOp{hash: Hash{byte(i), byte(i >> 8)}, nonce: "entry-100.abcdefghij-abcdef" + strconv.Itoa(i), ends: now.Add(time.Hour)}
		res, _ := sh.claim(op, now)
		assert.Equal(t, res.result, event.ClaimWon)
		ops = append(ops, op)
		if i%10 == 9 {
			raw, err := sh.parts[sh.last()].seg.encode()
			assert.NilError(t, err)
			assert.Assert(t, len(raw) < 2*sealBytes, "%d bytes", len(raw))
			sh.seal(sealBytes)
			sh.open()
		}
	}
	out := event.Outcome{Known: true, Status: 200, ContentType: "application/json", Body: make([]byte, KeptBody)}
	for _, op := range ops {
		sh.settle(&settleOp{hash: op.hash, nonce: op.nonce, out: out}, now)
	}
	assert.Assert(t, len(sh.parts) > 3)
	for _, pt := range sh.parts {
		raw, err := pt.seg.encode()
		assert.NilError(t, err)
		assert.Assert(t, len(raw) < store.MaxValue, "%d bytes", len(raw))
	}
	segments := len(sh.parts)
	assert.Equal(t, len(sh.prune(now.Add(time.Hour), time.Hour)), 0)
	assert.Equal(t, len(sh.prune(now.Add(3*time.Hour), time.Hour)), segments-1)
}

func TestRecordWithoutOutcomeBecomesUnknown(t *testing.T) {
	// The instance that ran a request died before it could record the outcome. Until the request's deadline a resend
	// hears that it is under way, and after it that its outcome is unknown; never that it may run.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	first := &claimOp{hash: Hash{1}, nonce: "a", ends: now.Add(30 * time.Second)}
	res, _ := sh.claim(first, now)
	assert.Equal(t, res.result, event.ClaimWon)
	resend := &claimOp{hash: Hash{1}, nonce: "b", ends: now.Add(90 * time.Second)}
	res, _ = sh.claim(resend, now.Add(10*time.Second))
	assert.Equal(t, res.result, event.ClaimRepeated)
	assert.Assert(t, res.out.Running)
	res, _ = sh.claim(resend, now.Add(time.Minute))
	assert.Equal(t, res.result, event.ClaimRepeated)
	assert.Assert(t, !res.out.Running && !res.out.Known)
}

func TestLateWriteOfAnAbandonedClaim(t *testing.T) {
	// A claimant gives up and its caller hears "not run". The shard's home still has the claim in its queue and works
	// on it after the release. Recorded then, it would stand for a run that never happens and block every resend.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	late := &claimOp{hash: Hash{1}, nonce: "a", ends: now.Add(time.Minute)}
	sh.settle(&settleOp{hash: late.hash, nonce: late.nonce, release: true}, now)
	res, _ := sh.claim(late, now.Add(time.Second))
	assert.Equal(t, res.result, event.ClaimUnavailable)
	res, _ = sh.claim(&claimOp{hash: Hash{1}, nonce: "b", ends: now.Add(time.Minute)}, now.Add(2*time.Second))
	assert.Equal(t, res.result, event.ClaimWon)
}

// FuzzSegment feeds what the store may hold to the decoder.
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
		sh := &shard{parts: []part{{seg: seg}}}
		sh.open()
		sh.claim(&claimOp{hash: Hash{1}, nonce: "b"}, now)
		sh.settle(&settleOp{hash: Hash{1}, nonce: "b", release: true}, now)
		sh.seal(sealBytes)
		sh.prune(now, time.Hour)
		_, _ = sh.parts[sh.last()].seg.encode()
	})
}

package once

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

func TestShardStaysWithinOneValue(t *testing.T) {
	// More claims come than a shard can hold, each with the longest nonce and answer. The value stays below what the
	// platform takes, old answers go first, and claims are refused rather than old ones forgotten.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	refused := 0
	for i := range maxRecords + 500 {
		op := &claimOp{hash: Hash{byte(i), byte(i >> 8), byte(i >> 16)}, nonce: "entry-100.abcdefghij-abcdef" + string(rune('a'+i%26)), ends: now.Add(time.Hour)}
		if result, _ := sh.claim(op, now); result == event.ClaimUnavailable {
			refused++
			continue
		}
		out := event.Outcome{Known: true, Status: 200, ContentType: "application/json", Body: make([]byte, KeptBody)}
		sh.settle(&settleOp{hash: op.hash, nonce: op.nonce, out: out}, now)
		if i%16 == 0 {
			sh.prune(now, time.Hour)
		}
		now = now.Add(100 * time.Millisecond)
	}
	sh.prune(now, time.Hour)
	raw, err := sh.encode()
	assert.NilError(t, err)
	assert.Equal(t, refused, 500)
	assert.Assert(t, len(raw) < store.MaxValue, "%d bytes", len(raw))
	sh.prune(now.Add(3*time.Hour), time.Hour)
	assert.Equal(t, len(sh.Records), 0)
}

func TestRecordWithoutOutcomeBecomesUnknown(t *testing.T) {
	// The instance that ran a request died before it could record the outcome. Until the request's deadline a resend
	// hears that it is under way, and after it that its outcome is unknown; never that it may run.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	first := &claimOp{hash: Hash{1}, nonce: "a", ends: now.Add(30 * time.Second)}
	result, _ := sh.claim(first, now)
	assert.Equal(t, result, event.ClaimWon)
	resend := &claimOp{hash: Hash{1}, nonce: "b", ends: now.Add(90 * time.Second)}
	result, out := sh.claim(resend, now.Add(10*time.Second))
	assert.Equal(t, result, event.ClaimRepeated)
	assert.Assert(t, out.Running)
	result, out = sh.claim(resend, now.Add(time.Minute))
	assert.Equal(t, result, event.ClaimRepeated)
	assert.Assert(t, !out.Running && !out.Known)
}

func TestLateWriteOfAnAbandonedClaim(t *testing.T) {
	// A claimant gives up and its caller hears "not run". The shard's home still has the claim in its queue and works
	// on it after the release. Recorded then, it would stand for a run that never happens and block every resend.
	now := time.Unix(1_800_000_000, 0)
	sh := newShard()
	late := &claimOp{hash: Hash{1}, nonce: "a", ends: now.Add(time.Minute)}
	sh.settle(&settleOp{hash: late.hash, nonce: late.nonce, release: true}, now)
	result, _ := sh.claim(late, now.Add(time.Second))
	assert.Equal(t, result, event.ClaimUnavailable)
	result, _ = sh.claim(&claimOp{hash: Hash{1}, nonce: "b", ends: now.Add(time.Minute)}, now.Add(2*time.Second))
	assert.Equal(t, result, event.ClaimWon)
}

// FuzzShard feeds what the store may hold to the decoder.
func FuzzShard(f *testing.F) {
	sh := newShard()
	sh.claim(&claimOp{hash: Hash{1}, nonce: "a", ends: time.Unix(1, 0)}, time.Unix(0, 0))
	raw, _ := sh.encode()
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		sh, err := decodeShard(raw)
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		sh.prune(now, time.Hour)
		sh.claim(&claimOp{hash: Hash{1}, nonce: "b"}, now)
		sh.settle(&settleOp{hash: Hash{1}, nonce: "b", release: true}, now)
		_, _ = sh.encode()
	})
}

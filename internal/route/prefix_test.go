package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/body"
)

// prompt returns the prefix hashes of a prompt of that many blocks, different from those of prompts with another number.
func prompt(number, blocks int) []uint64 {
	prefixes := make([]uint64, blocks)
	for i := range prefixes {
		prefixes[i] = uint64(number)<<32 | uint64(i+1)
	}
	return prefixes
}

func TestPromptInUseStaysInIndex(t *testing.T) {
	// A prompt is sent again and again while others fill the index, and its first prefixes are evicted first. The search goes
	// from short to long prefixes. Each send puts back what was evicted, so the prompt must be found at each of them: its engine
	// is preferred, and callers need not wait until another one has read it again.
	pi := newPrefixIndex()
	rep := &Replica{}
	now := time.Now()
	used := prompt(1, 256)
	for number := 2; number < 2+2*maxPrefixes/indexedCount(64); number++ {
		pi.addHint(now, rep, used)
		_, depth := pi.longest(used)
		assert.Equal(t, depth, int64(256)*body.BlockTokens, "after %d prompts", number)
		pi.addHint(now, rep, prompt(number, 64))
		_, depth = pi.longest(used)
		assert.Equal(t, depth, int64(256)*body.BlockTokens, "after %d prompts", number)
	}
	assert.Assert(t, len(pi.holders) <= maxPrefixes)
}

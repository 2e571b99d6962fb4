package body_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/body"
)

func features(t *testing.T, raw string) []uint64 {
	bd, err := body.Scan([]byte(raw))
	assert.NilError(t, err)
	return bd.Features(body.Prefixes(bd.PromptBytes()))
}

func TestFeaturesAreWhatPromptsShare(t *testing.T) {
	// Two conversations share their messages wherever they stand, but for the last one. Two prompts share the blocks that both begin with.
	one := features(t, `{"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":"bad"},{"role":"user","content":"x"}]}`)
	two := features(t, `{"model":"m","messages":[ {"role":"user","content":"bad"}, {"role":"user","content":"y"}]}`)
	assert.Equal(t, len(one), 2)
	assert.DeepEqual(t, two, one[1:])
	assert.Equal(t, len(features(t, `{"model":"m","messages":[{"role":"user","content":"x"}]}`)), 0)
	assert.Equal(t, len(features(t, `{"model":"m","messages":[]}`)), 0)

	block := strings.Repeat("a", body.BlockBytes)
	long := features(t, `{"model":"m","prompt":"`+strings.Repeat(block, 100)+`"}`)
	other := features(t, `{"model":"m","prompt":"`+strings.Repeat(block, 3)+strings.Repeat("b", 4*body.BlockBytes)+`"}`)
	assert.Assert(t, len(long) > 20 && len(long) < 40, len(long))
	assert.DeepEqual(t, other[:3], long[:3])
	assert.Assert(t, other[3] != long[3])
	assert.Equal(t, len(features(t, `{"model":"m","prompt":"short"}`)), 0)
}

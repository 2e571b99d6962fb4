package relay

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestViewTellsEachChangeOnce(t *testing.T) {
	// However many changes there are and however many share a revision, one that asks from where it stands until there is
	// no more has every change behind its revision, once and in order, or is told that it must read everything.
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.Int64Range(0, 5).Draw(rt, "first")
		var vw view
		vw.reset(first)
		var all []Change
		revision := first
		for range rapid.IntRange(0, 200).Draw(rt, "revisions") {
			revision++
			var batch []Change
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				batch = append(batch, Change{Revision: revision})
			}
			vw.add(batch, revision)
			all = append(all, batch...)
		}
		assert.Equal(rt, vw.revision(), revision)
		have := rapid.Int64Range(first, revision).Draw(rt, "have")
		var wanted, got int
		for _, chg := range all {
			if chg.Revision > have {
				wanted++
			}
		}
		for have < revision {
			changes, upTo := vw.since(have)
			assert.Assert(rt, upTo > have && len(changes) > 0)
			assert.Assert(rt, changes[0].Revision == have+1 && changes[len(changes)-1].Revision == upTo)
			got += len(changes)
			have = upTo
		}
		assert.Equal(rt, got, wanted)
	})
}

func TestViewForgets(t *testing.T) {
	// One that missed more than is kept must not be told the rest as if it were all.
	var vw view
	vw.reset(0)
	for revision := range int64(keptChanges + 10) {
		vw.add([]Change{{Revision: revision + 1}}, revision+1)
	}
	changes, upTo := vw.since(5)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, upTo, int64(5))
	changes, _ = vw.since(10)
	assert.Equal(t, changes[0].Revision, int64(11))
}

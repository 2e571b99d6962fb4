package relay

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChangeLogReturnsEachChangeOnce(t *testing.T) {
	// An Instance that requests changes from its revision until there are no more must receive every later change once
	// and in order, however many there are and however many share a revision. Otherwise it misses one for good or
	// applies it twice.
	rapid.Check(t, func(rt *rapid.T) {
		first := rapid.Int64Range(0, 5).Draw(rt, "first")
		var chl changeLog
		chl.reset(first)
		var all []Change
		revision := first
		for range rapid.IntRange(0, 200).Draw(rt, "revisions") {
			revision++
			var batch []Change
			for range rapid.IntRange(1, 3).Draw(rt, "changes") {
				batch = append(batch, Change{Revision: revision})
			}
			chl.add(batch, revision)
			all = append(all, batch...)
		}
		assert.Equal(rt, chl.revision(), revision)
		have := rapid.Int64Range(first, revision).Draw(rt, "have")
		var wanted, got int
		for _, chg := range all {
			if chg.Revision > have {
				wanted++
			}
		}
		for have < revision {
			changes, upTo := chl.since(have)
			assert.Assert(rt, upTo > have && len(changes) > 0)
			assert.Assert(rt, changes[0].Revision == have+1 && changes[len(changes)-1].Revision == upTo)
			got += len(changes)
			have = upTo
		}
		assert.Equal(rt, got, wanted)
	})
}

func TestChangeLogOmitsDiscardedChanges(t *testing.T) {
	// An Instance that missed more changes than the log holds must receive none, since it would take the rest for all of
	// them.
	var chl changeLog
	chl.reset(0)
	for revision := range int64(changeLogSize + 10) {
		chl.add([]Change{{Revision: revision + 1}}, revision+1)
	}
	changes, upTo := chl.since(5)
	assert.Equal(t, len(changes), 0)
	assert.Equal(t, upTo, int64(5))
	changes, _ = chl.since(10)
	assert.Equal(t, changes[0].Revision, int64(11))
}

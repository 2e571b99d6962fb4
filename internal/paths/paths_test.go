package paths_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/paths"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var upstreams = []string{"a", "b", "c", "d"}

// lostPath returns a path that was lost at start.
func lostPath(t *testing.T) *paths.Path {
	t.Helper()
	pa := &paths.Path{}
	assert.Assert(t, !pa.Failed(start, "a", len(upstreams), false))
	assert.Assert(t, pa.Failed(start, "b", len(upstreams), false))
	return pa
}

func TestPathIsLostBySeveralUpstreamsInARow(t *testing.T) {
	cases := map[string]struct {
		events    func(pa *paths.Path)
		upstreams int
		lost      bool
	}{
		"one upstream": {func(pa *paths.Path) { pa.Failed(start, "a", 4, false); pa.Failed(start, "a", 4, false) }, 4, false},
		"two":          {func(pa *paths.Path) { pa.Failed(start, "a", 4, false); pa.Failed(start, "b", 4, false) }, 4, true},
		"the only one": {func(pa *paths.Path) { pa.Failed(start, "a", 1, false) }, 1, true},
		"a connection in between": {func(pa *paths.Path) {
			pa.Failed(start, "a", 4, false)
			pa.Reached(start, "c", upstreams)
			pa.Failed(start, "b", 4, false)
		}, 4, false},
		"long apart": {func(pa *paths.Path) {
			pa.Failed(start, "a", 4, false)
			pa.Failed(start.Add(6*time.Second), "b", 4, false)
		}, 4, false},
		"another service lost, too": {func(pa *paths.Path) { pa.Failed(start, "a", 4, true) }, 4, true},
		"nobody has a path": {func(pa *paths.Path) {
			pa.Failed(start, "a", 4, false)
			pa.Failed(start, "b", 4, false)
			pa.GiveUp(start)
			pa.Failed(start, "c", 4, false)
		}, 4, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pa := &paths.Path{}
			tc.events(pa)
			assert.Equal(t, pa.Lost(), tc.lost)
			assert.Equal(t, pa.Direct("d"), !tc.lost)
		})
	}
}

func TestPathIsRegainedWhenAllUpstreamsAreReached(t *testing.T) {
	// Some links work again before others. Only what is reached is sent directly, and the path counts as lost until the last one works, but
	// for an upstream that others do not reach either.
	pa := lostPath(t)
	later := start.Add(time.Second)
	assert.Assert(t, !pa.Reached(later, "a", upstreams))
	assert.Assert(t, pa.Direct("a") && !pa.Direct("b"))
	assert.Assert(t, !pa.Dead(later, "d", upstreams))
	assert.Assert(t, !pa.Reached(later, "b", upstreams))
	assert.Assert(t, pa.Reached(later, "c", upstreams))
	assert.Assert(t, !pa.Lost() && pa.Direct("d"))
}

func TestReachedUpstreamThatFailsAgainIsNotSentToDirectly(t *testing.T) {
	pa := lostPath(t)
	pa.Reached(start, "a", upstreams)
	pa.Failed(start, "a", len(upstreams), false)
	assert.Assert(t, !pa.Direct("a"))
}

func TestPathThatIsLostAgainIsNoticedAtOnce(t *testing.T) {
	pa := lostPath(t)
	for _, name := range upstreams {
		pa.Reached(start, name, upstreams)
	}
	assert.Assert(t, !pa.Lost())
	assert.Assert(t, pa.Failed(start.Add(time.Second), "a", len(upstreams), false))
}

func TestProbesAreFewUntilOneSucceeds(t *testing.T) {
	// While a path is lost, probes show when it is back. There must be few of them, since each is a connection, and all upstreams
	// must be direct again within a second of the end of the cut.
	pa := lostPath(t)
	assert.Equal(t, len(pa.Probes(start, upstreams)), 3)
	total := 0
	now := start
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
		for _, name := range pa.Probes(now, upstreams) {
			total++
			pa.Failed(now, name, len(upstreams), false)
		}
	}
	assert.Assert(t, total <= 30, total)
	healed := now
	for ; pa.Lost(); now = now.Add(50 * time.Millisecond) {
		for _, name := range pa.Probes(now, upstreams) {
			pa.Reached(now, name, upstreams)
		}
	}
	assert.Assert(t, now.Sub(healed) <= time.Second, now.Sub(healed))
	assert.Equal(t, len(pa.Probes(now, upstreams)), 0)
}

package paths_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/paths"
)

// domainPath returns a path to four upstreams, such as a0, in each of three failure domains.
func domainPath() (*paths.Path, []string) {
	pa := &paths.Path{}
	domains := map[string]string{}
	var names []string
	for i := range 12 {
		domain := string(rune('a' + i%3))
		name := fmt.Sprint(domain, i/3)
		domains[name] = domain
		names = append(names, name)
	}
	pa.SetDomains(domains)
	return pa, names
}

func TestOnlyFailuresInAllFailureDomainsLoseThePath(t *testing.T) {
	// The upstreams of one failure domain after the other stop responding. While others are reached, the path must not count as lost. If none
	// is reached, it must.
	fail := func(pa *paths.Path, names ...string) {
		for i, name := range names {
			pa.Failed(start.Add(time.Duration(i)*10*time.Millisecond), name, 12, false)
		}
	}
	later := start.Add(100 * time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	cases := map[string]struct {
		events func(pa *paths.Path, names []string)
		lost   bool
		down   int
	}{
		"one failure domain": {func(pa *paths.Path, _ []string) { fail(pa, "a0", "a1", "a2", "a3") }, false, 0},
		"two of three":       {func(pa *paths.Path, _ []string) { fail(pa, "a0", "a1", "a2", "b0", "b1", "b2") }, false, 0},
		"all three":          {func(pa *paths.Path, _ []string) { fail(pa, "a0", "b0", "c0") }, true, 0},
		"the third is reached": {func(pa *paths.Path, names []string) {
			fail(pa, "a0", "a1", "a2", "b0", "b1", "b2")
			pa.Reached(later, "c0", names)
		}, false, 2},
		"the third was reached before": {func(pa *paths.Path, names []string) {
			pa.Reached(start.Add(-time.Millisecond), "c0", names)
			fail(pa, "a0", "a1", "a2", "b0", "b1", "b2")
		}, false, 0},
		"the third fails later": {func(pa *paths.Path, names []string) {
			fail(pa, "a0", "a1", "a2", "b0", "b1", "b2")
			pa.Reached(later, "c0", names)
			pa.Failed(later, "c0", 12, false)
			pa.Failed(later, "c1", 12, false)
		}, true, 2},
		"one upstream of the third fails later": {func(pa *paths.Path, names []string) {
			fail(pa, "a0", "a1", "a2", "b0", "b1", "b2")
			pa.Reached(later, "c0", names)
			pa.Failed(later, "c0", 12, false)
		}, false, 2},
		"others have reported them": {func(pa *paths.Path, _ []string) {
			for _, name := range []string{"a0", "b0", "c0"} {
				pa.Reported(start, random, name, "another")
			}
			fail(pa, "a0", "b0", "c0")
		}, false, 0},
		"others that have lost their path had reported them": {func(pa *paths.Path, _ []string) {
			for _, name := range []string{"a0", "b0", "c0"} {
				pa.Reported(start, random, name, "another")
			}
			pa.Distrust("another")
			fail(pa, "a0", "b0", "c0")
		}, true, 0},
		"one of them has started anew": {func(pa *paths.Path, _ []string) {
			fail(pa, "a0", "b0")
			pa.Forget("a0")
			fail(pa, "c0")
		}, false, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			pa, names := domainPath()
			tc.events(pa, names)
			assert.Equal(t, pa.Lost(), tc.lost, pa.Judged)
			assert.Equal(t, len(pa.DownDomains()), tc.down)
		})
	}
}

func TestPathIsLostIfAllFailureDomainsCountAsDown(t *testing.T) {
	// The failure domains were found down one after the other, each while another one was reached, so that none is left to show whether the
	// path is lost. Failures must then count again, or the instance would send nothing through others although it reaches nothing.
	pa, names := domainPath()
	now := start
	for _, turn := range []struct{ down, up string }{{"a", "b"}, {"b", "c"}, {"c", "a"}} {
		for i := range 3 {
			pa.Failed(now, fmt.Sprint(turn.down, i), 12, false)
			now = now.Add(10 * time.Millisecond)
		}
		pa.Reached(now, turn.up+"3", names)
	}
	for _, name := range []string{"a3", "b3", "c3"} {
		pa.Failed(now, name, 12, false)
	}
	assert.Assert(t, pa.Lost(), pa.DownDomains())
}

func TestProbesOfFailureDomainThatIsDownAreFew(t *testing.T) {
	// A failure domain that is down must cost only one connection each 0.4 s. It must count as up within a second after its upstreams are
	// back, but not after only one of them is: the first requests would fail at the others.
	pa, names := domainPath()
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"a0", "a1", "a2"} {
		pa.Failed(start, name, 12, false)
	}
	now := start.Add(time.Millisecond)
	pa.Reached(now, "c0", names)
	assert.DeepEqual(t, pa.DownDomains(), []string{"a"})
	probes := 0
	play := func(period time.Duration, reached func(name string) bool) {
		for until := now.Add(period); now.Before(until); now = now.Add(20 * time.Millisecond) {
			for _, name := range pa.OutageProbes(now, random) {
				probes++
				if reached(name) {
					pa.Reached(now, name, names)
				} else {
					pa.Failed(now, name, 12, false)
				}
			}
		}
	}
	play(4*time.Second, func(string) bool { return false })
	assert.Assert(t, probes >= 9 && probes <= 11, probes)
	play(4*time.Second, func(name string) bool { return name == "a1" })
	assert.Assert(t, !pa.Down("a1") && pa.Down("a0") && !pa.Lost())
	assert.Assert(t, probes <= 45, probes)
	play(time.Second, func(string) bool { return true })
	assert.Equal(t, len(pa.DownDomains()), 0)
	assert.Assert(t, !pa.Observed())
}

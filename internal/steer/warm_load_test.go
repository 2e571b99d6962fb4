package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// coldSizes are the numbers of instances and engines of the simulated fleets, and for how long their replicas are cold. Large
// fleets simulate less, since each note goes to all instances.
var coldSizes = []struct {
	instances, engines int
	cold               time.Duration
}{{6, 3, coldTime}, {80, 6, coldTime}, {116, 6, 2200 * time.Millisecond}, {300, 3, 1700 * time.Millisecond}}

func TestColdReplicasGetTheirRateInABurst(t *testing.T) {
	// Guards against replicas that crash right after a restart: in the middle of a burst one replica drops its caches, a failure
	// domain returns, or all replicas of a service start again, and the instances together send each of them many times the
	// requests that it accepts while it is cold. The rate must not be left unused either, or callers are refused that could be
	// served.
	for _, size := range coldSizes {
		t.Run(fmt.Sprint(size.instances, " instances"), func(t *testing.T) {
			t.Parallel()
			cw := newColdWorld(1, size.instances, spreadReplicas(size.engines, 3))
			lasts := size.cold + 2300*time.Millisecond
			cw.load(1.8*coldPerS*float64(size.engines), lasts, &short, 5000)
			cw.load(1.8*coldPerS*3, lasts, &update, 0)
			cw.advance(300 * time.Millisecond)

			cw.turnCold("lyric-0", 900*time.Millisecond)
			cw.turnCold("board-0", 900*time.Millisecond)
			cw.advance(700 * time.Millisecond)
			t.Logf("one replica of each service turns cold: at most %d in a second", cw.worstSecond())
			assert.Check(t, float64(cw.worstSecond()) <= maxColdPerS)

			cw.stop([]string{"lyric-1", "board-1"})
			cw.advance(400 * time.Millisecond)
			clear(cw.coldFrom)
			cw.restart("lyric-1", 900*time.Millisecond)
			cw.restart("board-1", 900*time.Millisecond)
			cw.advance(900 * time.Millisecond)
			t.Logf("a failure domain returns: at most %d in a second", cw.worstSecond())
			assert.Check(t, float64(cw.worstSecond()) <= maxColdPerS)

			clear(cw.coldFrom)
			for _, rep := range cw.replicas {
				cw.restart(rep.Name, size.cold)
			}
			cw.advance(size.cold)
			least, mean := cw.leastSecond(500 * time.Millisecond)
			t.Logf("all replicas restart: at most %d and at least %d in a second, mean %.2f; %d refused of %d", cw.worstSecond(), least, mean, len(cw.refusals), cw.nextID)
			assert.Check(t, float64(cw.worstSecond()) <= maxColdPerS)
			assert.Check(t, float64(least) >= 0.9*coldPerS-1 && mean >= 0.9*coldPerS)
			for _, ref := range cw.refusals {
				assert.Assert(t, ref.NotRun && ref.RetryAfter > 0, "%+v", ref)
			}
		})
	}
}

package quiet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testLimit = 800 * time.Millisecond
	testTimer = testLimit / parts
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// untilOver lets timers fire after the time each until the silence has lasted for the limit, and returns the number of them.
func untilOver(ck *Clock, now *time.Time, after time.Duration) int {
	for count := 1; ; count++ {
		*now = now.Add(after)
		if ck.TimerEnded(*now, true) {
			return count
		}
	}
}

func TestStandstillIsNoSilence(t *testing.T) {
	// Guards against a process that stood still and takes that time for the silence of an upstream, although what that has sent waits in the socket:
	// after a late timer whoever reads must have a whole one that is on time.
	cases := map[string]struct {
		// before are the times of the timers before those that are on time.
		before []time.Duration
		timers int
		stood  time.Duration
	}{
		"on time":                {nil, parts, 0},
		"a little late":          {[]time.Duration{testTimer + maxDelay}, parts - 1, 0},
		"stood still at first":   {[]time.Duration{testTimer + 2*time.Second}, parts - 1, 2 * time.Second},
		"stood still for long":   {[]time.Duration{testTimer + 2*time.Hour}, parts - 1, 2 * time.Hour},
		"stood still at the end": {[]time.Duration{testTimer, testTimer, testTimer, testTimer, testTimer, testTimer, testTimer, testTimer + 2*time.Second}, 1, 2 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var ck Clock
			now := start
			ck.Heard(now, testLimit)
			for _, after := range tc.before {
				now = now.Add(after)
				assert.Assert(t, !ck.TimerEnded(now, true))
			}
			assert.Equal(t, untilOver(&ck, &now, testTimer), tc.timers)
			silent, stood := ck.Silent(now)
			assert.Equal(t, stood, tc.stood)
			assert.Equal(t, silent+stood, now.Sub(start))
		})
	}
}

func TestProcessThatIsAlwaysLateStillNotices(t *testing.T) {
	// Guards against a dead connection that a process which is late all the time never notices.
	var ck Clock
	now := start
	ck.Heard(now, testLimit)
	assert.Equal(t, untilOver(&ck, &now, testTimer+time.Second), maxLate+1)
}

func TestNothingIsSilentWhileNothingCanBeHeard(t *testing.T) {
	// Guards against an upstream that is taken as silent while its last event is still being written to a slow caller.
	var ck Clock
	now := start
	ck.Heard(now, testLimit)
	for range 3 * parts {
		now = now.Add(testTimer)
		assert.Assert(t, !ck.TimerEnded(now, false))
	}
	assert.Equal(t, untilOver(&ck, &now, testTimer), parts)
	ck.Restart(now)
	assert.Equal(t, untilOver(&ck, &now, testTimer), parts)
	silent, _ := ck.Silent(now)
	assert.Equal(t, silent, 5*testLimit)
}

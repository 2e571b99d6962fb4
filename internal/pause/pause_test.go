package pause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/pause"
)

func TestPausesAreReported(t *testing.T) {
	// A pause is the time between two events without that in which one was handled. A second one within three seconds is not
	// reported: a process that is always late would otherwise hold its work all the time.
	de := pause.Detector{MaxGap: 300 * time.Millisecond}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	gapAfter := func(idle, busy time.Duration) time.Duration {
		now = now.Add(idle)
		gap := de.Before(now)
		now = now.Add(busy)
		de.After(now)
		return gap
	}
	assert.Equal(t, gapAfter(time.Hour, 0), time.Duration(0), "the first event")
	assert.Equal(t, gapAfter(300*time.Millisecond, time.Second), time.Duration(0))
	assert.Equal(t, gapAfter(200*time.Millisecond, 0), time.Duration(0), "it was busy")
	assert.Equal(t, gapAfter(time.Second, 0), time.Second)
	assert.Equal(t, gapAfter(time.Second, 0), time.Duration(0), "too soon")
	assert.Equal(t, gapAfter(4*time.Second, 0), 4*time.Second)
}

func TestPauseSoonAfterAnotherIsReportedIfTheFirstIsOver(t *testing.T) {
	// A process stands still twice within three seconds. What others have sent during the first pause was received within milliseconds; what
	// they have sent during the second must be waited for as well, also if it comes before anything was received. If nobody answered in the
	// whole wait after the first, the second is not reported.
	cases := map[string]struct {
		received bool
		after    time.Duration
		reported time.Duration
	}{
		"answered":                  {true, 10 * time.Millisecond, 700 * time.Millisecond},
		"still waiting":             {false, 10 * time.Millisecond, 700 * time.Millisecond},
		"waited without an answer":  {false, 500 * time.Millisecond, 0},
		"answer at the end of wait": {true, 500 * time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			de := pause.Detector{MaxGap: 300 * time.Millisecond, MaxWait: 500 * time.Millisecond}
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			de.After(now)
			now = now.Add(time.Second)
			assert.Equal(t, de.Before(now), time.Second)
			de.After(now)
			now = now.Add(tc.after)
			if tc.received {
				de.Received(now)
			}
			de.After(now)
			now = now.Add(700 * time.Millisecond)
			assert.Equal(t, de.Before(now), tc.reported)
		})
	}
}

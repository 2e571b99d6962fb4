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

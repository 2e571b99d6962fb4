package clock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/clock"
	"dandelionsail.example/dandelionsail/internal/clock/steps"
)

func TestSteadyTimeDoesNotStep(t *testing.T) {
	epoch := time.Now()
	later := epoch.Add(time.Minute)
	for _, seconds := range []int{-3600, -7, 0, 30, 3600} {
		now := steps.Stepped(later, seconds)
		assert.Equal(t, now.Unix()-later.Unix(), int64(seconds))
		assert.Equal(t, now.Sub(later), time.Duration(0))
		assert.Equal(t, clock.Steady(epoch, now).UnixNano(), later.UnixNano())
	}
}

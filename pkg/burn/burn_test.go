package burn_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/clock/steps"
	"dandelionsail.example/dandelionsail/pkg/burn"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recordSteadyLoad records ten events per second for the period, of which badOfTen are bad. It returns the time of the last
// event.
func recordSteadyLoad(tr *burn.Tracker, from time.Time, period time.Duration, badOfTen int) time.Time {
	for at := from; at.Before(from.Add(period)); at = at.Add(time.Second) {
		for i := range 10 {
			tr.Record(at, i >= badOfTen)
		}
	}
	return from.Add(period - time.Second)
}

func TestFiring(t *testing.T) {
	cases := map[string]struct {
		good, bad, after time.Duration
		badOfTen         int
		want             string
	}{
		"all good":                 {good: time.Hour, want: ""},
		"all bad for ten minutes":  {good: time.Hour, bad: 10 * time.Minute, badOfTen: 10, want: "Fast"},
		"ended half an hour ago":   {good: time.Hour, bad: 10 * time.Minute, badOfTen: 10, after: 31 * time.Minute, want: "Slow"},
		"one in ten bad for hours": {good: time.Hour, bad: 5 * time.Hour, badOfTen: 1, want: "Fast"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := burn.New()
			now := recordSteadyLoad(tr, start, tc.good, 0)
			now = recordSteadyLoad(tr, now.Add(time.Second), tc.bad, tc.badOfTen)
			now = recordSteadyLoad(tr, now.Add(time.Second), tc.after, 0)
			alert, _ := burn.Firing(tr.Counts(now), 0.999)
			assert.Equal(t, alert.Name, tc.want)
		})
	}
}

func TestFewBadEventsFireNoAlert(t *testing.T) {
	tr := burn.New()
	for range 3 {
		tr.Record(start, false)
	}
	_, firing := burn.Firing(tr.Counts(start), 0.999)
	assert.Assert(t, !firing)
}

func TestWithinExcludesOlderEvents(t *testing.T) {
	tr := burn.New()
	now := recordSteadyLoad(tr, start, 4*time.Hour, 5)
	assert.Equal(t, tr.Within(now, 5*time.Minute).Total(), int64(3000))
	assert.Equal(t, tr.Within(now, time.Hour).Bad, int64(18000))
	assert.Equal(t, tr.Within(now.Add(2*time.Hour), time.Hour).Total(), int64(0))
	assert.Equal(t, tr.Within(now.Add(2*time.Hour), 72*time.Hour).Total(), int64(4*3600*10))
}

func TestSeriesIncludesEmptyBuckets(t *testing.T) {
	tr := burn.New()
	tr.Record(start, true)
	series := tr.Series(start.Add(30 * time.Second))
	assert.Equal(t, len(series), 360)
	for i := 1; i < len(series); i++ {
		assert.Equal(t, series[i].Start, series[i-1].Start+1)
	}
	assert.Equal(t, series[len(series)-4].Count.Good, int64(1))
}

func TestStepOfTheClockDropsNoCounts(t *testing.T) {
	// The time of day jumps by hours, ahead and back. What was counted must stay in its window, neither dropped nor kept for longer.
	start := time.Now()
	for _, seconds := range []int{-7200, -90, 90, 7200} {
		tr := burn.New()
		for range 10 {
			tr.Record(start, false)
		}
		assert.Equal(t, tr.Within(steps.Stepped(start.Add(time.Minute), seconds), 5*time.Minute).Bad, int64(10))
		tr.Record(steps.Stepped(start.Add(time.Minute), seconds), false)
		assert.Equal(t, tr.Within(steps.Stepped(start.Add(2*time.Minute), seconds), 5*time.Minute).Bad, int64(11))
		assert.Equal(t, tr.Within(steps.Stepped(start.Add(20*time.Minute), seconds), 5*time.Minute).Bad, int64(0))
	}
}

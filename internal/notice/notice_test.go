package notice_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEveryKindOfMessageIsDecided(t *testing.T) {
	// A kind of message or of announcement without an entry holds everything back. It must not get that far.
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		assert.Assert(t, ann.String() != "", "announcement %d has no row", ann)
		for kind := range notice.Kinds {
			assert.Check(t, notice.Rules[ann].Treatments[kind] != notice.Undecided, "%s does not decide on %s", ann, kind)
			assert.Check(t, kind.String() != "", "message %d has no name", kind)
		}
	}
	assert.Equal(t, notice.None.String(), "")
	assert.Equal(t, notice.Kinds.String(), "Unknown")
}

func TestHeaderWithoutNameIsNotRead(t *testing.T) {
	// Upstreams that have no header for rate limits must not be limited by one of another protocol.
	header := http.Header{"Server-Limit": {"2"}, "X-Leaving": {"1"}}
	ann := notice.Parse(notice.Names{Leaving: "X-Leaving"}, http.StatusOK, header)
	assert.DeepEqual(t, ann, notice.Announced{Leaving: true})
}

func TestLatestRestCounts(t *testing.T) {
	rst := notice.Rest{}
	rst.Start(start, start.Add(3*time.Second))
	rst.Start(start, start.Add(time.Second))
	assert.Assert(t, rst.InForce(start.Add(2900*time.Millisecond)))
	assert.Assert(t, !rst.InForce(start.Add(3*time.Second)))
	rst.Start(start, start.Add(4*time.Second))
	assert.Assert(t, rst.InForce(start.Add(3900*time.Millisecond)))
}

func TestTrialEndsWithItsOwnAnswer(t *testing.T) {
	// One request tries the upstream after its rest. An answer to a message from before must not count as its answer.
	rested := func() (rst notice.Rest, now time.Time) {
		rst.Start(start, start.Add(time.Second))
		now = start.Add(time.Second)
		rst.Pass(now, 7, notice.First)
		return rst, now
	}
	rst, now := rested()
	rst.Pass(now, 8, notice.First)
	assert.Assert(t, rst.OnTrial(now) && rst.Trial == 7)
	rst.AnsweredSince(now.Add(-time.Millisecond))
	rst.EndTrial(8, true)
	assert.Assert(t, rst.OnTrial(now), "ended by another answer")
	assert.Assert(t, !rst.OnTrial(now.Add(notice.TrialTimeout)))
	rst.AnsweredSince(now)
	assert.Assert(t, !rst.Open)
	rst, now = rested()
	rst.EndTrial(7, false)
	assert.Assert(t, rst.Open && !rst.OnTrial(now), "after a failure the next request is the first one")
}

func TestRestSpreadIsBounded(t *testing.T) {
	for period, spread := range map[time.Duration]time.Duration{time.Hour: 500 * time.Millisecond, time.Second: 250 * time.Millisecond, 0: 0} {
		assert.Equal(t, notice.MaxSpread(period), spread)
	}
}

// Package burn measures how fast an error budget is used up, over several windows at once. A burn rate of 1 uses up the
// budget exactly by the end of the objective's period. The alerts follow the multi-window, multi-burn-rate method of
// Google's Site Reliability Workbook, chapter 5.
package burn

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/clock"
)

// Resolution and retention of the counts.
const (
	// FineSpan is the length of a fine bucket.
	FineSpan = 10 * time.Second
	// CoarseSpan is the length of a coarse bucket.
	CoarseSpan = 5 * time.Minute
	// fineBuckets is the number of fine buckets kept, which is one hour.
	fineBuckets = 360
	// coarseBuckets is the number of coarse buckets kept, which is three days.
	coarseBuckets = 864
)

// Count holds how many events met an objective and how many did not.
type Count struct {
	Good int64
	Bad  int64
}

// Add returns the sum of the two counts.
func (cn Count) Add(other Count) Count {
	return Count{Good: cn.Good + other.Good, Bad: cn.Bad + other.Bad}
}

// Total returns the number of events.
func (cn Count) Total() int64 {
	return cn.Good + cn.Bad
}

// ErrorRate returns the share of bad events, 0 if there are no events.
func (cn Count) ErrorRate() float64 {
	if cn.Total() == 0 {
		return 0
	}
	return float64(cn.Bad) / float64(cn.Total())
}

// Rate returns the burn rate for a target: how many times faster than allowed the error budget is used up.
func (cn Count) Rate(target float64) float64 {
	return cn.ErrorRate() / (1 - target)
}

// Bucket is the count of one time span.
type Bucket struct {
	// Start is the start of the span since the Unix epoch, in units of its length.
	Start int64
	Count Count
}

// ring holds the most recent buckets of one resolution.
type ring struct {
	span    time.Duration
	buckets []Bucket
}

func newRing(span time.Duration, kept int) ring {
	return ring{span: span, buckets: make([]Bucket, kept)}
}

// numberOf returns the number of the bucket of a time.
func numberOf(at time.Time, span time.Duration) int64 { return at.UnixNano() / int64(span) }

func (rg *ring) add(at time.Time, count Count) {
	number := numberOf(at, rg.span)
	bucket := &rg.buckets[number%int64(len(rg.buckets))]
	if bucket.Start != number {
		*bucket = Bucket{Start: number}
	}
	bucket.Count = bucket.Count.Add(count)
}

// within returns the sum of the buckets of the window that ends with the bucket of now.
func (rg *ring) within(now time.Time, window time.Duration) Count {
	last := numberOf(now, rg.span)
	first := last - int64(window/rg.span) + 1
	var sum Count
	for _, bucket := range rg.buckets {
		if bucket.Start >= first && bucket.Start <= last {
			sum = sum.Add(bucket.Count)
		}
	}
	return sum
}

// Tracker counts the events of one objective. It is not safe for concurrent use.
type Tracker struct {
	fine   ring
	coarse ring
	// epoch is the time of the first event or question. Later times are taken as steady from then on: a step of the time of day would
	// drop what was counted, or count it for longer.
	epoch time.Time
}

// New returns an empty tracker, which takes about 30 KB of memory.
func New() *Tracker {
	return &Tracker{fine: newRing(FineSpan, fineBuckets), coarse: newRing(CoarseSpan, coarseBuckets)}
}

// steady returns the time as it would be without steps of the time of day.
func (tr *Tracker) steady(at time.Time) time.Time {
	if tr.epoch.IsZero() {
		tr.epoch = at
	}
	return clock.Steady(tr.epoch, at)
}

// Record counts one event.
func (tr *Tracker) Record(at time.Time, good bool) {
	at = tr.steady(at)
	count := Count{Bad: 1}
	if good {
		count = Count{Good: 1}
	}
	tr.fine.add(at, count)
	tr.coarse.add(at, count)
}

// Within returns the count of the window that ends now, rounded to whole buckets. Windows of up to an hour use fine buckets,
// longer ones coarse buckets.
func (tr *Tracker) Within(now time.Time, window time.Duration) Count {
	now = tr.steady(now)
	if window <= FineSpan*fineBuckets {
		return tr.fine.within(now, window)
	}
	return tr.coarse.within(now, window)
}

// Series returns the fine buckets of the last hour in order, including empty ones.
func (tr *Tracker) Series(now time.Time) []Bucket {
	last := numberOf(tr.steady(now), FineSpan)
	series := make([]Bucket, 0, fineBuckets)
	for number := last - fineBuckets + 1; number <= last; number++ {
		bucket := tr.fine.buckets[number%fineBuckets]
		if bucket.Start != number {
			bucket = Bucket{Start: number}
		}
		series = append(series, bucket)
	}
	return series
}

// Package burn tells how fast an error budget is used up, over several windows at once. A burn rate of 1 uses the
// budget up exactly by the end of the objective's period; the alerts follow the multi-window, multi-burn-rate method
// of Google's Site Reliability Workbook, chapter 5.
package burn

import "time"

// Resolution of the counts that are kept.
const (
	// FineSpan is the length of a bucket of the last hours.
	FineSpan = 10 * time.Second
	// CoarseSpan is the length of a bucket of the last days.
	CoarseSpan = 5 * time.Minute
	fineKept   = 360
	coarseKept = 864
)

// Count is how many events kept an objective and how many did not.
type Count struct {
	Good int64
	Bad  int64
}

// Add returns the sum of both.
func (cn Count) Add(other Count) Count {
	return Count{Good: cn.Good + other.Good, Bad: cn.Bad + other.Bad}
}

// Total returns the number of events.
func (cn Count) Total() int64 {
	return cn.Good + cn.Bad
}

// ErrorRate returns the share of bad events, 0 if there were none at all.
func (cn Count) ErrorRate() float64 {
	if cn.Total() == 0 {
		return 0
	}
	return float64(cn.Bad) / float64(cn.Total())
}

// Rate returns how many times faster than allowed the budget of a target is used up.
func (cn Count) Rate(target float64) float64 {
	return cn.ErrorRate() / (1 - target)
}

// Bucket is the count of one span of time.
type Bucket struct {
	// Start is the span's number since the Unix epoch, in units of its length.
	Start int64
	Count Count
}

// ring keeps the newest buckets of one resolution.
type ring struct {
	span    time.Duration
	buckets []Bucket
}

func newRing(span time.Duration, kept int) ring {
	return ring{span: span, buckets: make([]Bucket, kept)}
}

func (rg *ring) add(at time.Time, count Count) {
	number := at.UnixNano() / int64(rg.span)
	bucket := &rg.buckets[number%int64(len(rg.buckets))]
	if bucket.Start != number {
		*bucket = Bucket{Start: number}
	}
	bucket.Count = bucket.Count.Add(count)
}

// within sums the spans that end after now less the window.
func (rg *ring) within(now time.Time, window time.Duration) Count {
	last := now.UnixNano() / int64(rg.span)
	first := last - int64(window/rg.span) + 1
	var sum Count
	for _, bucket := range rg.buckets {
		if bucket.Start >= first && bucket.Start <= last {
			sum = sum.Add(bucket.Count)
		}
	}
	return sum
}

// Tracker counts the events of one objective. It is not safe for use by several goroutines at once.
type Tracker struct {
	fine   ring
	coarse ring
}

// New returns a tracker without events. It takes about 30 KB.
func New() *Tracker {
	return &Tracker{fine: newRing(FineSpan, fineKept), coarse: newRing(CoarseSpan, coarseKept)}
}

// Record counts one event.
func (tr *Tracker) Record(at time.Time, good bool) {
	count := Count{Bad: 1}
	if good {
		count = Count{Good: 1}
	}
	tr.fine.add(at, count)
	tr.coarse.add(at, count)
}

// Within returns the count of the last window, which is rounded to whole buckets.
func (tr *Tracker) Within(now time.Time, window time.Duration) Count {
	if window <= FineSpan*fineKept {
		return tr.fine.within(now, window)
	}
	return tr.coarse.within(now, window)
}

// Series returns the counts of the last hour in order, a bucket a span, empty ones included.
func (tr *Tracker) Series(now time.Time) []Bucket {
	last := now.UnixNano() / int64(FineSpan)
	series := make([]Bucket, 0, fineKept)
	for number := last - fineKept + 1; number <= last; number++ {
		bucket := tr.fine.buckets[number%fineKept]
		if bucket.Start != number {
			bucket = Bucket{Start: number}
		}
		series = append(series, bucket)
	}
	return series
}

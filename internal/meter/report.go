package meter

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionsail.example/dandelionsail/pkg/burn"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Report holds the measurements of one or several Instances.
type Report struct {
	At time.Time
	// Instances are the names of the Instances whose measurements are included.
	Instances []string
	// Missing are the names of the Instances that did not answer, so that a reader knows that the report is partial.
	Missing    []string
	Objectives []ObjectiveReport
	Latencies  []LatencyReport
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Name      string
	Objective decl.Objective
	Windows   []WindowReport
	// Alert is the name of the most urgent alert that fires, empty if none does.
	Alert string
	// Series has the buckets of the last hour, each burn.FineSpan long.
	Series []burn.Bucket
}

// WindowReport is the count and burn rate of one window.
type WindowReport struct {
	Window decl.Duration
	Count  burn.Count
	Rate   float64
}

// LatencyReport is the time to first token of one service and length class since the Instances started.
type LatencyReport struct {
	Service string
	Class   string
	// Microseconds is the histogram.
	Microseconds *hdrhistogram.Snapshot
}

// Report returns the measurements of this Instance.
func (mt *Meter) Report(now time.Time, instance string) Report {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	rp := Report{At: now, Instances: []string{instance}}
	for name, obj := range mt.objectives {
		tracker := mt.trackers[name]
		rp.Objectives = append(rp.Objectives, objectiveReport(name, obj, tracker.Counts(now), tracker.Series(now)))
	}
	for key, histogram := range mt.latencies {
		rp.Latencies = append(rp.Latencies, LatencyReport{key.service, key.class, histogram.Export()})
	}
	rp.sort()
	return rp
}

func objectiveReport(name string, obj decl.Objective, counts burn.Counts, series []burn.Bucket) ObjectiveReport {
	or := ObjectiveReport{Name: name, Objective: obj, Series: series}
	for _, window := range burn.Windows() {
		count := counts[window]
		or.Windows = append(or.Windows, WindowReport{decl.Duration(window), count, count.Rate(obj.Target)})
	}
	if alert, firing := burn.Firing(counts, obj.Target); firing {
		or.Alert = alert.Name
	}
	return or
}

func (rp *Report) sort() {
	slices.SortFunc(rp.Objectives, func(a, b ObjectiveReport) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(rp.Latencies, func(a, b LatencyReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
}

// Merge combines the reports of several Instances. While a configuration is rolled out, an objective can differ between
// Instances; the definition in the last such report holds. Counts are added unless the definitions count different requests as
// bad: then only those of the last definition remain.
func Merge(reports []Report) Report {
	var all Report
	objectives := map[string]ObjectiveReport{}
	latencies := map[latencyKey]*hdrhistogram.Histogram{}
	for _, rp := range reports {
		all.Instances = append(all.Instances, rp.Instances...)
		all.Missing = append(all.Missing, rp.Missing...)
		if rp.At.After(all.At) {
			all.At = rp.At
		}
		for _, or := range rp.Objectives {
			objectives[or.Name] = mergeObjective(objectives[or.Name], or)
		}
		for _, lr := range rp.Latencies {
			mergeLatency(latencies, lr)
		}
	}
	for _, or := range objectives {
		all.Objectives = append(all.Objectives, or)
	}
	for key, histogram := range latencies {
		all.Latencies = append(all.Latencies, LatencyReport{key.service, key.class, histogram.Export()})
	}
	slices.Sort(all.Instances)
	all.sort()
	return all
}

func mergeObjective(a, b ObjectiveReport) ObjectiveReport {
	if a.Name == "" || !countsAlike(a.Objective, b.Objective) {
		return b
	}
	counts := burn.Counts{}
	for _, wr := range append(slices.Clone(a.Windows), b.Windows...) {
		counts[wr.Window.Std()] = counts[wr.Window.Std()].Add(wr.Count)
	}
	return objectiveReport(b.Name, b.Objective, counts, mergeSeries(a.Series, b.Series))
}

// countsAlike reports whether both definitions count the same requests as bad. The target plays no part in that.
func countsAlike(a, b decl.Objective) bool {
	a.Target, b.Target = 0, 0
	return a == b
}

func mergeSeries(a, b []burn.Bucket) []burn.Bucket {
	sums := map[int64]burn.Count{}
	for _, bucket := range append(slices.Clone(a), b...) {
		sums[bucket.Start] = sums[bucket.Start].Add(bucket.Count)
	}
	series := make([]burn.Bucket, 0, len(sums))
	for start, count := range sums {
		series = append(series, burn.Bucket{Start: start, Count: count})
	}
	slices.SortFunc(series, func(a, b burn.Bucket) int { return cmp.Compare(a.Start, b.Start) })
	return series
}

func mergeLatency(latencies map[latencyKey]*hdrhistogram.Histogram, lr LatencyReport) {
	key := latencyKey{lr.Service, lr.Class}
	part := hdrhistogram.Import(lr.Microseconds)
	if latencies[key] == nil {
		latencies[key] = part
		return
	}
	latencies[key].Merge(part)
}

// Quantile returns the latency at the quantile in percent.
func (lr LatencyReport) Quantile(percent float64) time.Duration {
	return time.Duration(hdrhistogram.Import(lr.Microseconds).ValueAtQuantile(percent)) * time.Microsecond
}

// Total returns the number of requests in the histogram.
func (lr LatencyReport) Total() int64 {
	return hdrhistogram.Import(lr.Microseconds).TotalCount()
}

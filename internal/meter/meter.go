// Package meter measures service levels as callers see them: time to first token by service and length class, and the
// burn rate of every objective.
package meter

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/pkg/burn"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Bounds of the latency histograms.
const (
	// maxLatency is the maximum latency in microseconds.
	maxLatency = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision. With two digits a histogram takes about 20 KB.
	significantDigits = 2
)

// checkPeriod is how often the alerts are evaluated.
const checkPeriod = burn.FineSpan

// Observation is the end of one request as its caller saw it.
type Observation struct {
	At           time.Time
	Service      string
	Organisation string
	// Class is the length class, empty for plain services.
	Class string
	// Failed is true if the service had to answer the request and did not answer it completely.
	Failed bool
	// FirstToken is the time to the first token, 0 if none arrived.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens, 0 for answers of fewer than two.
	BetweenTokens time.Duration
}

type latencyKey struct{ service, class string }

// Meter collects observations. It is safe for concurrent use.
type Meter struct {
	// Registry holds the counters and timers of the Instance.
	Registry metrics.Registry

	mu         sync.Mutex
	objectives map[string]decl.Objective
	trackers   map[string]*burn.Tracker
	latencies  map[latencyKey]*hdrhistogram.Histogram
	firing     map[string]string
}

// New returns a meter without objectives.
func New() *Meter {
	return &Meter{
		Registry:   metrics.NewRegistry(),
		objectives: map[string]decl.Objective{},
		trackers:   map[string]*burn.Tracker{},
		latencies:  map[latencyKey]*hdrhistogram.Histogram{},
		firing:     map[string]string{},
	}
}

// Configure replaces the objectives. An objective that is unchanged keeps its counts.
func (mt *Meter) Configure(cfg *decl.Config) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	trackers := map[string]*burn.Tracker{}
	for name, obj := range cfg.Objectives {
		tracker, ok := mt.trackers[name]
		if !ok || mt.objectives[name] != obj {
			tracker = burn.New()
		}
		trackers[name] = tracker
	}
	mt.trackers = trackers
	mt.objectives = cfg.Objectives
}

// Record adds one observation.
func (mt *Meter) Record(ob Observation) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for name, obj := range mt.objectives {
		if good, counts := evaluate(obj, ob); counts {
			mt.trackers[name].Record(ob.At, good)
		}
	}
	if ob.Failed || ob.FirstToken <= 0 {
		return
	}
	key := latencyKey{ob.Service, ob.Class}
	histogram, ok := mt.latencies[key]
	if !ok {
		histogram = hdrhistogram.New(1, maxLatency, significantDigits)
		mt.latencies[key] = histogram
	}
	_ = histogram.RecordValue(min(ob.FirstToken.Microseconds(), maxLatency))
}

// evaluate reports whether the observation meets the objective, and whether it counts for it at all. A request that
// failed before its first token also violates the objectives of that token.
func evaluate(obj decl.Objective, ob Observation) (good, counts bool) {
	if !matches(obj.Service, ob.Service) || !matches(obj.Organisation, ob.Organisation) || !matches(obj.LengthClass, ob.Class) {
		return false, false
	}
	switch obj.Signal {
	case decl.SignalOutcome:
		return !ob.Failed, true
	case decl.SignalFirstToken:
		return ob.FirstToken > 0 && ob.FirstToken <= obj.Threshold.Std(), ob.FirstToken > 0 || ob.Failed
	case decl.SignalBetweenTokens:
		return ob.BetweenTokens <= obj.Threshold.Std(), ob.BetweenTokens > 0
	}
	return false, false
}

func matches(wanted, actual string) bool {
	return wanted == "" || wanted == actual
}

// Run logs each change of an alert's state until the context ends.
func (mt *Meter) Run(ctx context.Context, logger *log.Logger) error {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			mt.check(now, logger)
		}
	}
}

func (mt *Meter) check(now time.Time, logger *log.Logger) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for name, obj := range mt.objectives {
		counts := mt.trackers[name].Counts(now)
		alert, _ := burn.Firing(counts, obj.Target)
		if alert.Name == mt.firing[name] {
			continue
		}
		logger.Warn().Str("Objective", name).Str("Before", mt.firing[name]).Str("Alert", alert.Name).
			Float64("BurnLastHour", counts[time.Hour].Rate(obj.Target)).Msg("service-level burn changed state")
		mt.firing[name] = alert.Name
	}
}

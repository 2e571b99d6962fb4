package relay

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// serveMetrics serves counters, gauges and histograms at --metrics-listen, if it is set.
func (in *Instance) serveMetrics(ctx context.Context) error {
	if err := meter.Serve(ctx, in.opts.MetricsListen, http.HandlerFunc(in.metrics), in.limiter); err != nil {
		return BadOption.Wrap(err, "relay: --metrics-listen %s cannot be used; choose a free address", in.opts.MetricsListen)
	}
	return nil
}

func (in *Instance) metrics(w http.ResponseWriter, _ *http.Request) {
	in.gauge("Requests.Open", int64(in.open()))
	in.gauge("Requests.Waiting", int64(in.waiting()))
	if routing := in.routing.Load(); routing != nil {
		in.gauge("Config.Version", routing.Version)
	}
	in.gauge("Config.ConfirmedAgeMs", in.confirmedAge().Milliseconds())
	in.gauge("Store.Era", in.changes.position().Era)
	polls := int64(0)
	if in.polls.Load() {
		polls = 1
	}
	in.gauge("Store.Polls", polls)
	in.gauge("Peers.Known", int64(len(*in.gossip.peers.Load())))
	in.gauge("Entries.Invalid", int64(in.invalid.count()))
	in.updateLimitMetrics()
	in.updateAnnouncementMetrics()
	in.updateRepeatMetrics()
	in.updatePathMetrics()
	in.updateConnectionMetrics()
	in.updateQuarantineMetrics()
	in.updateEvacuationMetrics()
	in.gauge("Responses.BufferedBytes", in.memory.Held(memory.Answers))
	in.memory.Gauges(in.gauge)
	in.limiter.Gauges(in.gauge)
	in.gauge("Log.Dropped", in.output.Dropped())
	in.gauge("Log.Failed", in.output.Failed())
	in.gauge("Process.Goroutines", int64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	in.gauge("Process.HeapBytes", int64(memory.HeapInuse))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = meter.WriteText(w, in.registry)
}

// updateRepeatMetrics sets the gauges of the repeat budget: this instance's part of the slack in millionths and the number of instances
// that it was divided by, and how many repeats were charged, have arrived, were never sent, and were refused.
func (in *Instance) updateRepeatMetrics() {
	var part budget.Part
	var totals budget.Totals
	in.view(func(st *steer.State) { part, totals = st.RepeatStatus(time.Now()) })
	in.gauge("Repeats.PartMillionths", int64(1e6*part.Share))
	in.gauge("Repeats.Instances", int64(part.Instances))
	in.gauge("Repeats.Charged", totals.Taken)
	in.gauge("Repeats.Arrived", totals.Settled)
	in.gauge("Repeats.NeverSent", totals.Released)
	in.gauge("Repeats.Refused", totals.Refused)
}

// updatePathMetrics sets the gauges of lost paths: how long in ms each service has been reached through other instances only.
func (in *Instance) updatePathMetrics() {
	in.unregister("Paths.LostMs.")
	var lost map[string]time.Duration
	down := 0
	in.view(func(st *steer.State) { lost, down = st.LostPaths(time.Now()), st.DownDomains() })
	in.gauge("Paths.Lost", int64(len(lost)))
	in.gauge("Paths.DomainsDown", int64(down))
	for service, age := range lost {
		in.gauge("Paths.LostMs."+service, age.Milliseconds())
	}
	in.gauge("Detours.Open", in.detours.Load())
}

// updateQuarantineMetrics sets the gauge of the causes of crashes, such as parts of prompts, for which requests are refused.
func (in *Instance) updateQuarantineMetrics() {
	parts := 0
	in.view(func(st *steer.State) { parts = st.QuarantinedParts() })
	in.gauge("Quarantine.Parts", int64(parts))
}

func (in *Instance) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, in.registry).Update(value)
}

// unregister removes the metrics whose names have the prefix.
func (in *Instance) unregister(prefix string) {
	in.registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, prefix) {
			in.registry.Unregister(name)
		}
	})
}

func (in *Instance) count(name string) {
	metrics.GetOrRegisterCounter(name, in.registry).Inc(1)
}

func (in *Instance) recordTime(name string, period time.Duration) {
	metrics.GetOrRegisterTimer(name, in.registry).Update(period)
}

// confirmedAge returns the time since the store last confirmed the configuration.
func (in *Instance) confirmedAge() time.Duration {
	return bootTime() - time.Duration(in.confirmed.Load())
}

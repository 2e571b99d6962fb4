package entry

import (
	"context"
	"net/http"
	"net/http/pprof"
	"runtime"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/meter"
)

// serveMetrics serves metrics, health checks and profiles at MetricsListen, if that is set.
func (in *Instance) serveMetrics(ctx context.Context) error {
	err := meter.Serve(ctx, in.opts.MetricsListen, in.metricsRoutes(), in.limiter)
	if err != nil {
		return BadOption.Wrap(err, "entry: --metrics-listen %s cannot be used; choose a free address", in.opts.MetricsListen)
	}
	return nil
}

func (in *Instance) metricsRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", in.metrics)
	mux.HandleFunc("GET /healthz", in.healthz)
	mux.HandleFunc("GET /readyz", in.readyz)
	if in.opts.Profiling {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (in *Instance) metrics(w http.ResponseWriter, _ *http.Request) {
	in.gauge("Config.Version", in.config.Load().cfg.Version)
	in.gauge("Requests.Open", in.openCalls())
	in.stateGauges()
	if out := in.opts.LogOutput; out != nil {
		in.gauge("Log.Dropped", out.Dropped())
		in.gauge("Log.Failed", out.Failed())
	}
	in.memory.Gauges(in.gauge)
	in.limiter.Gauges(in.gauge)
	in.gauge("Process.Goroutines", int64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	in.gauge("Process.HeapBytes", int64(memory.HeapInuse))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = meter.WriteText(w, in.Meter.Registry)
}

func (in *Instance) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, in.Meter.Registry).Update(value)
}

func (in *Instance) openCalls() int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return int64(len(in.calls))
}

package relay

import (
	"context"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// Readiness and the way out: when the platform may send callers here, and what ends before the process does.

// drain stops without cutting an answer: readiness goes off, the balancer gets time to see it while connections are
// still taken, and what was begun finishes.
func (in *Instance) drain(front *http.Server) {
	now := time.Now()
	ended := now.Add(in.opts.Grace - lastWords)
	in.draining.Store(true)
	in.apply(steer.Draining{Hold: now.Add(time.Duration(holdShare * float64(in.opts.Grace))), Stop: ended.Add(-lastWords)})
	in.log.Info().Str("Instance", in.opts.Name).Int("Open", in.open()).Msg("draining")
	delay.For(context.Background(), in.opts.DrainNotice)
	limited, cancel := context.WithDeadline(context.Background(), ended)
	defer cancel()
	if err := front.Shutdown(limited); err != nil {
		in.log.Warn().Int("Open", in.open()).Err(err).Msg("grace is over with requests open")
		_ = front.Close()
	}
	in.background.Wait()
}

func (in *Instance) open() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Open()
}

// readyz tells the balancer whether to send callers here.
func (in *Instance) readyz(w http.ResponseWriter, _ *http.Request) {
	if !in.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Instance) ready() bool {
	if in.draining.Load() || !in.configured() || !in.fresh(readyAge) {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Usable()
}

func (in *Instance) configured() bool { return in.routing.Load() != nil }

package relay

import (
	"context"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// Readiness probes and graceful shutdown.

// drain stops the server without cutting responses. Readiness goes off first; the server continues to accept
// connections for DrainNotice, so that the load balancer can notice, and open requests then finish within the grace
// period.
func (in *Instance) drain(callerServer, peerServer *http.Server) {
	now := time.Now()
	ended := now.Add(in.opts.Grace - shutdownMargin)
	in.draining.Store(true)
	in.apply(steer.Draining{RefuseWaitingAt: now.Add(time.Duration(drainQueueShare * float64(in.opts.Grace))), AbortAt: ended.Add(-shutdownMargin)})
	in.log.Info().Str("Instance", in.opts.Name).Int("Open", in.open()).Msg("draining")
	delay.For(context.Background(), in.opts.DrainNotice)
	limited, cancel := context.WithDeadline(context.Background(), ended)
	defer cancel()
	if err := callerServer.Shutdown(limited); err != nil {
		in.log.Warn().Int("Open", in.open()).Err(err).Msg("grace period expired with open requests")
		in.answerOpen(callerServer)
	}
	// What is being passed on for other instances ends like the requests of callers.
	if err := peerServer.Shutdown(limited); err != nil {
		in.log.Warn().Int64("Detours", in.detours.Load()).Err(err).Msg("grace period expired with open detours")
	}
	in.background.Wait()
}

// answerOpen ends what is still open with an answer, and closes the connections then. Requests are open at the end of the grace period if the
// process stood still until then. A connection that closes without an answer would make its caller send the request again, which may have run.
func (in *Instance) answerOpen(callerServer *http.Server) {
	in.apply(steer.Ticked{})
	limited, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	if callerServer.Shutdown(limited) != nil {
		_ = callerServer.Close()
	}
}

func (in *Instance) open() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Open()
}

// readyz answers the load balancer's readiness probe.
func (in *Instance) readyz(w http.ResponseWriter, _ *http.Request) {
	if !in.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (in *Instance) ready() bool {
	if in.draining.Load() || !in.configured() || !in.deathsKnown.Load() || !in.fresh(readyTokenShare) {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Usable()
}

func (in *Instance) configured() bool { return in.routing.Load() != nil }

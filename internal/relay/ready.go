package relay

import (
	"context"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// Readiness probes and graceful shutdown.

// drainPlan is what follows from the moment at which this Instance was asked to shut down.
type drainPlan struct {
	// Stop says which requests are still taken, and when the attempts that are still running are aborted.
	cutoff.Stop
	// endAt is when the process exits by itself, unless requests are still open then.
	endAt time.Time
	// answerTime is how long these may take to be answered.
	answerTime time.Duration
}

// newDrainPlan returns the plan of an Instance that is asked to shut down now. isAlone reports whether no other Instance is known.
func newDrainPlan(now time.Time, grace time.Duration, isAlone bool) *drainPlan {
	margin := min(maxShutdownMargin, time.Duration(shutdownMarginShare*float64(grace)))
	endAt := now.Add(grace - margin)
	dp := &drainPlan{Stop: cutoff.Stop{AbortAt: endAt.Add(-margin), TakeUntil: now}, endAt: endAt, answerTime: time.Duration(answerShare * float64(margin))}
	if isAlone {
		dp.TakeUntil = now.Add(lateRequestTime)
	}
	return dp
}

// refuses reports whether a request that arrives now is refused because it may still be running when attempts are aborted.
func (dp *drainPlan) refuses(now, deadline time.Time) bool {
	return dp != nil && dp.Refuses(now, deadline)
}

// drain stops the servers without cutting responses. Readiness goes off first; the callers' server continues to accept
// connections for DrainNotice, so that the load balancer can notice, and open requests then finish within the grace
// period.
func (in *Instance) drain(callers, peers *front.Server) {
	now := time.Now()
	plan := newDrainPlan(now, in.opts.Grace, len(*in.gossip.peers.Load()) == 0)
	in.draining.Store(plan)
	in.apply(steer.Draining{RefuseWaitingAt: now.Add(time.Duration(drainQueueShare * float64(in.opts.Grace))), AbortAt: plan.AbortAt})
	in.log.Info().Str("Instance", in.opts.Name).Int("Open", in.open()).Msg("draining")
	// Requests wait for memory no longer than for a replica.
	time.AfterFunc(time.Duration(drainQueueShare*float64(in.opts.Grace)), tasks.Guard("memory in the drain", in.memory.Close))
	delay.For(context.Background(), in.opts.DrainNotice)
	limited, cancel := context.WithDeadline(context.Background(), plan.endAt)
	defer cancel()
	if err := callers.Drain(limited); err != nil {
		in.log.Warn().Int("Open", in.open()).Int("Connections", callers.Held().Connections).Err(err).Msg("grace period expired with open requests")
		in.answerOpen(callers, plan)
	}
	// What is being passed on for other instances ends like the requests of callers.
	if err := peers.Drain(limited); err != nil {
		in.log.Warn().Int64("Detours", in.detours.Load()).Err(err).Msg("grace period expired with open detours")
	}
	in.awaitBackground(limited)
	atEnd := callers.Held()
	in.log.Info().Int("Requests", atEnd.Requests).Int("Connections", atEnd.Connections).Int64("Detours", in.detours.Load()).
		Int64("DrainMs", time.Since(now).Milliseconds()).Msg("drained")
}

// awaitBackground waits until the calls under way that no caller waits for have ended, or until the context ends: the process must not outlast its
// grace period for them.
func (in *Instance) awaitBackground(ctx context.Context) {
	ended := make(chan struct{})
	go tasks.Guard("background", func() {
		defer close(ended)
		in.background.Wait()
	})()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// answerOpen ends what is still open with an answer, and closes the connections then. Requests are open at the end of the grace period if the
// process stood still until then. A connection that closes without an answer would make its caller send the request again, which may have run.
func (in *Instance) answerOpen(callers *front.Server, plan *drainPlan) {
	in.apply(steer.Ticked{})
	limited, cancel := context.WithTimeout(context.Background(), plan.answerTime)
	defer cancel()
	if callers.Drain(limited) != nil {
		_ = callers.Close()
	}
}

// isDraining reports whether this Instance was asked to shut down.
func (in *Instance) isDraining() bool { return in.draining.Load() != nil }

// announceClose makes the answer that is about to be written the last one on its connection if this Instance is shutting down.
func (in *Instance) announceClose(cl *call) {
	if in.isDraining() {
		cl.w.Header().Set("Connection", "close")
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
	if in.isDraining() || !in.configured() || !in.deathsKnown.Load() || !in.fresh(readyTokenShare) {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.Usable()
}

func (in *Instance) configured() bool { return in.routing.Load() != nil }

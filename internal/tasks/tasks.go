// Package tasks runs the parts of a serving process, each on a goroutine of its own, and records why a part failed and why
// the process ends.
package tasks

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/delay"
)

// LogOutput is where a log's lines go.
type LogOutput interface {
	// Dropped returns how many lines were dropped because there were too many.
	Dropped() int64
	// Failed returns how many lines could not be written.
	Failed() int64
	// Unlimit ends the dropping of lines beyond a rate.
	Unlimit()
}

// Monitor records the failures of the parts of one instance, in its log and in its counters.
type Monitor struct {
	log *log.Logger
	// count raises the counter of the given name by one.
	count func(counter string)
	mu    sync.Mutex
	// failed is the part that failed last, empty if none has.
	failed string
	// running counts the parts that have not ended, by name.
	running map[string]int
	parts   sync.WaitGroup
}

// NewMonitor returns a Monitor that has recorded nothing.
func NewMonitor(logger *log.Logger, count func(counter string)) *Monitor {
	return &Monitor{log: logger, count: count, running: map[string]int{}}
}

const (
	// minBackoff is the pause before a part that has failed runs again. It doubles up to maxBackoff, and is minBackoff again
	// after a part has run for longer than that.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum pause. A part that fails again and again costs a line in each.
	maxBackoff = 5 * time.Second
)

// Start runs a part on a goroutine of its own until the context ends. A part that fails or panics is logged and counted, and
// runs again after a pause: no error of a part justifies that callers are not served any more. A part that returns nil has done
// its work.
func (mo *Monitor) Start(ctx context.Context, name string, run func(ctx context.Context) error) {
	mo.mu.Lock()
	mo.running[name]++
	mo.mu.Unlock()
	mo.parts.Go(Guard(name, func() {
		defer mo.ended(name)
		mo.repeat(ctx, name, run)
	}))
}

func (mo *Monitor) repeat(ctx context.Context, name string, run func(ctx context.Context) error) {
	backoff := minBackoff
	for {
		start := time.Now()
		err := GuardError(name, func() error { return run(ctx) })()
		if err == nil || ctx.Err() != nil {
			return
		}
		mo.fail(name, err)
		if time.Since(start) > maxBackoff {
			backoff = minBackoff
		}
		if !delay.For(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (mo *Monitor) ended(name string) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.running[name]--; mo.running[name] == 0 {
		delete(mo.running, name)
	}
}

// Wait waits until all parts have ended, at most for the limit. A part that does not end when its context does must not keep
// the process past its grace period; the log names it.
func (mo *Monitor) Wait(limit time.Duration) {
	all := make(chan struct{})
	go Guard("parts", func() {
		defer close(all)
		mo.parts.Wait()
	})()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-all:
	case <-timer.C:
		mo.mu.Lock()
		defer mo.mu.Unlock()
		mo.log.Warn().Strs("Parts", slices.Sorted(maps.Keys(mo.running))).Msg("parts have not ended; the process does not wait for them")
	}
}

// fail logs and counts the failure of a part.
func (mo *Monitor) fail(name string, err error) {
	mo.mu.Lock()
	mo.failed = name
	mo.mu.Unlock()
	mo.count("Parts.Failed." + name)
	mo.log.Error().Str("Part", name).Err(err).Msg("part failed")
}

// BindFailed returns a function that logs and counts a failure to listen at the named address.
func (mo *Monitor) BindFailed(name, address string) func(err error) {
	return func(err error) {
		mo.count("Bind.Failed." + name)
		mo.log.Warn().Str("Part", name).Str("Address", address).Err(err).Msg("address not available; trying again")
	}
}

// AcceptFailed returns a function that logs and counts failures to accept a connection at the named address.
func (mo *Monitor) AcceptFailed(name string) func(err error) {
	return func(err error) {
		mo.count("Accept.Failed." + name)
		mo.log.Warn().Str("Part", name).Err(err).Msg("connection not accepted; trying again")
	}
}

// LogEnd logs why the process ends: the cause with which the context ended, or the part that failed and its error. open is
// the number of requests that are still open.
func (mo *Monitor) LogEnd(ctx context.Context, instance string, open int, err error) {
	entry := mo.log.Info()
	if ctx.Err() == nil {
		entry = mo.log.Error()
	}
	entry.Str("Instance", instance).Int("Open", open)
	switch {
	case ctx.Err() != nil:
		entry.Str("Reason", context.Cause(ctx).Error())
	case err != nil:
		entry.Str("Reason", "failure")
	}
	mo.mu.Lock()
	defer mo.mu.Unlock()
	if mo.failed != "" {
		entry.Str("Part", mo.failed)
	}
	if err != nil {
		entry.Err(err)
	}
	entry.Msg("stopped")
}

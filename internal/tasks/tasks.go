// Package tasks runs the parts of a serving process, each on a goroutine of its own, and records why a part failed and why
// the process ends.
package tasks

import (
	"context"
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
}

// NewMonitor returns a Monitor that has recorded nothing.
func NewMonitor(logger *log.Logger, count func(counter string)) *Monitor {
	return &Monitor{log: logger, count: count}
}

// Part returns a function that runs the part and records its error. The end of the context is no failure.
func (mo *Monitor) Part(ctx context.Context, name string, run func(ctx context.Context) error) func() error {
	return func() error {
		err := run(ctx)
		if err != nil && ctx.Err() == nil {
			mo.fail(name, err)
		}
		return err
	}
}

const (
	// minBackoff is the pause before a part that has failed runs again. It doubles up to maxBackoff, and is minBackoff again
	// after a part has run for longer than that.
	minBackoff = 100 * time.Millisecond
	// maxBackoff is the maximum pause. A part that fails again and again costs a line in each.
	maxBackoff = 5 * time.Second
)

// Repeated is like Part, but runs the part again, after a pause, each time that it fails.
func (mo *Monitor) Repeated(ctx context.Context, name string, run func(ctx context.Context) error) func() error {
	return func() error {
		backoff := minBackoff
		for {
			start := time.Now()
			err := run(ctx)
			if err == nil || ctx.Err() != nil {
				return err
			}
			mo.fail(name, err)
			if time.Since(start) > maxBackoff {
				backoff = minBackoff
			}
			if !delay.For(ctx, backoff) {
				return ctx.Err()
			}
			backoff = min(2*backoff, maxBackoff)
		}
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

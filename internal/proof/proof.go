// Package proof injects production faults into a fleet of real processes under load, and checks from the records of the
// callers and stand-ins that the invariants held: callers get whole answers or clear refusals, no update runs twice, and
// engine memory is freed.
package proof

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
)

// Options are the settings of one run.
type Options struct {
	// Faults are the names of the faults to inject together.
	Faults []string
	// Seed is the seed of the random choices of requests and instances.
	Seed uint64
	// Before is the time under load before the faults.
	Before time.Duration
	// Hold is the time from the injection of the faults until they are undone.
	Hold time.Duration
	// After is the time under load after the faults are undone.
	After time.Duration
	// Rate is the number of requests that callers send per second.
	Rate float64
	// Logs receives the standard error of the processes; nil discards it.
	Logs io.Writer
}

// Report is the result of a run.
type Report struct {
	Faults   []string
	Seed     uint64
	Requests int
	// Outcomes counts the requests by kind and outcome of the last attempt.
	Outcomes map[string]int
	// Refusals describes the first few requests whose last attempt got no whole answer.
	Refusals []string
	// Violations are the violated invariants; it is empty if the run passed.
	Violations []string
	// ShortBefore is the 95th percentile of the time to first token of short prompts before the faults.
	ShortBefore time.Duration
	// ShortDuring is the same percentile while the faults were held.
	ShortDuring time.Duration
	// ShortAfter is the same percentile after the faults were undone.
	ShortAfter time.Duration
	// Recovery is the time from the undoing of the faults to the end of the last half second in which more than 5% of the
	// short prompts were slow or not answered. An answer is slow if its first token takes more than three times ShortBefore
	// and more than 50 ms.
	Recovery time.Duration
	// Notes describe what the faults did.
	Notes []string
}

// Run executes one run. It returns an error only if the run could not be executed; violations are in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	faults, err := find(opts.Faults)
	if err != nil {
		return nil, err
	}
	st, err := newSetup(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer st.close()
	callers := newCallers(st, opts)
	group, running := errgroup.WithContext(ctx)
	loadCtx, stop := context.WithCancel(running)
	defer stop()
	group.Go(func() error { return callers.run(loadCtx) })
	group.Go(func() error { return st.balancer.run(loadCtx) })
	group.Go(func() error { return st.versions.run(loadCtx) })
	group.Go(func() error {
		defer stop()
		return st.runPhases(running, opts, faults)
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return st.buildReport(ctx, opts, callers.calls)
}

// runPhases waits for the time before the faults, holds and undoes the faults, and waits for the time after them.
func (st *setup) runPhases(ctx context.Context, opts Options, faults []faultFunc) error {
	if !delay.For(ctx, opts.Before) {
		return ctx.Err()
	}
	st.injectedAt = time.Now()
	holding, undo := context.WithTimeout(ctx, opts.Hold)
	defer undo()
	group, holding := errgroup.WithContext(holding)
	for _, inject := range faults {
		group.Go(func() error { return inject(holding, st) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("proof: fault injection failed: %w", err)
	}
	st.undoneAt = time.Now()
	delay.For(ctx, opts.After)
	return ctx.Err()
}

// Seen returns the outcomes and their counts in one line.
func (rp *Report) Seen() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(rp.Outcomes)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, rp.Outcomes[name]))
	}
	return strings.Join(parts, ", ")
}

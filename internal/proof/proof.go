// Package proof runs a fleet of real processes under load, does to it what fails in production, and checks from the
// logs of callers and stand-ins that what must always hold did hold.
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
	// Faults are the names of those to inject together.
	Faults []string
	// Seed fixes what callers send and when.
	Seed uint64
	// Before, Hold and After are the times under load before the faults, from their start until they are undone, and
	// after that.
	Before, Hold, After time.Duration
	// Rate is how many requests callers send a second.
	Rate float64
	// Logs takes what the processes write to standard error; nil drops it.
	Logs io.Writer
}

// Report is what a run showed.
type Report struct {
	Faults   []string
	Seed     uint64
	Requests int
	// Outcomes counts the last word that callers had, by kind of request and outcome.
	Outcomes map[string]int
	// Refusals are a few of the refusals and failures that callers got.
	Refusals []string
	// Violations are the breaches of what must always hold, empty in a sound run.
	Violations []string
	// ShortBefore, ShortDuring and ShortAfter are 95th percentiles of the time to first token of short prompts.
	ShortBefore, ShortDuring, ShortAfter time.Duration
	// Recovery is how long after the faults were undone the last half second was in which more than one request in
	// twenty was not answered, or not within three times ShortBefore
	// and 50 ms.
	Recovery time.Duration
	// Notes tell what the faults did.
	Notes []string
}

// Run makes one run. The error tells that the run could not be made, not what it showed.
func Run(ctx context.Context, opts Options) (*Report, error) {
	faults, err := find(opts.Faults)
	if err != nil {
		return nil, err
	}
	st, err := open(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer st.close()
	callers := newCallers(st, opts)
	group, running := errgroup.WithContext(ctx)
	loaded, stop := context.WithCancel(running)
	defer stop()
	group.Go(func() error { return callers.run(loaded) })
	group.Go(func() error { return st.balancer.run(loaded) })
	group.Go(func() error { return st.versions.run(loaded) })
	group.Go(func() error {
		defer stop()
		return st.stage(running, opts, faults)
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return st.judge(ctx, opts, callers.calls)
}

// stage lets the run's parts follow each other in time.
func (st *site) stage(ctx context.Context, opts Options, faults []faultFunc) error {
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
		return fmt.Errorf("proof: a fault could not be injected: %w", err)
	}
	st.undoneAt = time.Now()
	delay.For(ctx, opts.After)
	return ctx.Err()
}

// Seen returns the outcomes in one line.
func (rp *Report) Seen() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(rp.Outcomes)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, rp.Outcomes[name]))
	}
	return strings.Join(parts, ", ")
}

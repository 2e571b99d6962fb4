package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// maxPolledEngines is the maximum number of engines whose load reports and cache events one instance reads. Engines in the
// instance's own FailureDomain come first, and each instance selects different ones of a larger pool. At two reports per
// second, one engine costs about 1 KB per second, so in a larger fleet each engine is read by few instances.
const maxPolledEngines = 64

// updateReaders runs one reader of load reports and one of cache events for each selected engine, and stops the others.
func (in *Instance) updateReaders(ctx context.Context, listed event.UpstreamsListed) {
	wanted := map[string]bool{}
	for _, up := range in.selectEngines(listed) {
		key := up.Name + "@" + up.Address
		wanted[key] = true
		if in.readers[key] == nil {
			reader, stop := context.WithCancel(ctx)
			in.readers[key] = stop
			in.pending.Go(tasks.Guard("load reports", func() { in.readReports(reader, up) }))
			in.pending.Go(tasks.Guard("cache events", func() { in.readCacheEvents(reader, up) }))
		}
	}
	for key, stop := range in.readers {
		if !wanted[key] {
			stop()
			delete(in.readers, key)
		}
	}
}

// selectEngines returns the engines to read from, at most maxPolledEngines. Each call selects the same ones of an unchanged
// list.
func (in *Instance) selectEngines(listed event.UpstreamsListed) []event.Upstream {
	cfg := in.config.Load().cfg
	var engines []event.Upstream
	for _, up := range listed.Upstreams {
		if cfg.Services[up.Service].Kind == decl.KindModel {
			engines = append(engines, up)
		}
	}
	if len(engines) <= maxPolledEngines {
		return engines
	}
	slices.SortFunc(engines, func(a, b event.Upstream) int {
		if aLocal, bLocal := in.sameDomain(a), in.sameDomain(b); aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Compare(in.preference(a), in.preference(b))
	})
	return engines[:maxPolledEngines]
}

func (in *Instance) sameDomain(up event.Upstream) bool {
	return up.FailureDomain == in.opts.FailureDomain
}

// preference returns a hash by which each instance orders the engines differently, but always in the same way.
func (in *Instance) preference(up event.Upstream) uint64 {
	return xxhash.Sum64String(in.opts.Name + "/" + up.Name)
}

// stopReaders stops all readers and waits for all background work in pending.
func (in *Instance) stopReaders() {
	for name, stop := range in.readers {
		stop()
		delete(in.readers, name)
	}
	in.pending.Wait()
}

// readReports submits the engine's load reports to the reducer until the context ends.
func (in *Instance) readReports(ctx context.Context, up event.Upstream) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, max(time.Second, in.opts.LoadPeriod))
		report, err := in.upstream.Load(limited, up.Address)
		cancel()
		if err == nil {
			in.loop.Submit(event.LoadReported{
				Upstream: up.Name,
				At:       time.Now().Add(-report.Age),
				Load:     report.Load,
				Role:     report.Role,
				Models:   report.Models,
				Loading:  report.Loading,
			})
		}
		if err != nil && ctx.Err() == nil {
			// Idle connections to an engine go silent together. A failed report shows it before a request is sent on one of
			// them and has to wait for its timeout.
			in.upstream.CloseIdle(up.Address)
		}
		delay.For(ctx, in.opts.LoadPeriod)
	}
}

const (
	// cachePollTimeout is the timeout of one long poll, which the engine answers as soon as there are events.
	cachePollTimeout = 30 * time.Second
	// cachePollInterval is the pause between two polls, so that a busy engine's events arrive in batches.
	cachePollInterval = 100 * time.Millisecond
	// cacheRetryDelay is the pause after a failed poll. Polls always fail on engines that publish no cache events.
	cacheRetryDelay = 5 * time.Second
	// maxAddedPrefixes is the maximum number of added prefixes taken from one batch.
	maxAddedPrefixes = 4096
)

// readCacheEvents submits the engine's cache events to the reducer until the context ends.
func (in *Instance) readCacheEvents(ctx context.Context, up event.Upstream) {
	after := int64(0)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, cachePollTimeout)
		batches, err := in.upstream.CacheEvents(limited, up.Address, after)
		cancel()
		if err != nil {
			delay.For(ctx, cacheRetryDelay)
			continue
		}
		for _, batch := range batches {
			batch.Upstream = up.Name
			batch.Added = batch.Added[:min(len(batch.Added), maxAddedPrefixes)]
			in.loop.Submit(batch)
			after = batch.Last
		}
		delay.For(ctx, cachePollInterval)
	}
}

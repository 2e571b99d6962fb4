package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// maxWatched bounds the engines that one instance reads load reports and cache events of. Those of the own failure
// domain go first, and instances take different ones of a larger pool. At two reports a second an engine costs about
// 1 KB a second, so a larger fleet's engines are read by few instances each.
const maxWatched = 64

// followReports keeps one reader of load reports and one of cache events running for each engine watched.
func (in *Instance) followReports(ctx context.Context, listed event.UpstreamsListed) {
	wanted := map[string]bool{}
	for _, up := range in.watched(listed) {
		key := up.Name + "@" + up.Address
		wanted[key] = true
		if in.reporters[key] == nil {
			reader, stop := context.WithCancel(ctx)
			in.reporters[key] = stop
			in.pending.Go(func() { in.readReports(reader, up) })
			in.pending.Go(func() { in.readCacheEvents(reader, up) })
		}
	}
	for key, stop := range in.reporters {
		if !wanted[key] {
			stop()
			delete(in.reporters, key)
		}
	}
}

// watched returns the engines to read from, at most maxWatched.
func (in *Instance) watched(listed event.UpstreamsListed) []event.Upstream {
	cfg := in.config.Load().cfg
	var engines []event.Upstream
	for _, up := range listed.Upstreams {
		if cfg.Services[up.Service].Kind == decl.KindModel {
			engines = append(engines, up)
		}
	}
	if len(engines) <= maxWatched {
		return engines
	}
	slices.SortFunc(engines, func(one, two event.Upstream) int {
		if oneNear, twoNear := in.near(one), in.near(two); oneNear != twoNear {
			if oneNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(in.preference(one), in.preference(two))
	})
	return engines[:maxWatched]
}

func (in *Instance) near(up event.Upstream) bool {
	return up.FailureDomain == in.opts.FailureDomain
}

// preference orders the engines differently on each instance, and the same each time.
func (in *Instance) preference(up event.Upstream) uint64 {
	return xxhash.Sum64String(in.opts.Name + "/" + up.Name)
}

// stopReports ends all readers and waits for them.
func (in *Instance) stopReports() {
	for name, stop := range in.reporters {
		stop()
		delete(in.reporters, name)
	}
	in.pending.Wait()
}

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
			// Kept connections go silent together; the reports notice it before a request has to wait for it.
			in.upstream.CloseIdle(up.Address)
		}
		delay.For(ctx, in.opts.LoadPeriod)
	}
}

// Reading of cache events.
const (
	// cacheWait bounds one call, which the engine holds until there are events.
	cacheWait = 30 * time.Second
	// cachePause is the least time between two calls, so that a busy engine's events come in batches.
	cachePause = 100 * time.Millisecond
	// cacheRetry is the pause after a call that failed, as it does with engines that publish none.
	cacheRetry = 5 * time.Second
	// maxAdded bounds the prefixes taken over from one batch.
	maxAdded = 4096
)

func (in *Instance) readCacheEvents(ctx context.Context, up event.Upstream) {
	after := int64(0)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, cacheWait)
		batches, err := in.upstream.CacheEvents(limited, up.Address, after)
		cancel()
		if err != nil {
			delay.For(ctx, cacheRetry)
			continue
		}
		for _, batch := range batches {
			batch.Upstream = up.Name
			batch.Added = batch.Added[:min(len(batch.Added), maxAdded)]
			in.loop.Submit(batch)
			after = batch.Last
		}
		delay.For(ctx, cachePause)
	}
}

package entry

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// followReports keeps one reader of load reports running for each listed engine.
func (in *Instance) followReports(ctx context.Context, listed event.UpstreamsListed) {
	cfg := in.config.Load().cfg
	wanted := map[string]bool{}
	for _, up := range listed.Upstreams {
		if cfg.Services[up.Service].Kind != decl.KindModel {
			continue
		}
		wanted[up.Name] = true
		if in.reporters[up.Name] == nil {
			reader, stop := context.WithCancel(ctx)
			in.reporters[up.Name] = stop
			in.pending.Go(func() { in.readReports(reader, up) })
		}
	}
	for name, stop := range in.reporters {
		if !wanted[name] {
			stop()
			delete(in.reporters, name)
		}
	}
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
		pause(ctx, in.opts.LoadPeriod)
	}
}

package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/order"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// coordinationPeriod is the time between two updates of the fleet's members and of the pools that this instance coordinates.
const coordinationPeriod = time.Second

// defaultWeightLoads is the weight store's rate, in loads per minute, if the setting is 0.
const defaultWeightLoads = 30

// attachPeerTransport lets the configuration's follower and the claims communicate with the peers.
func (in *Instance) attachPeerTransport() {
	if in.peers == nil {
		return
	}
	in.follower.Transport = in.peers
	in.follower.SetPeer(in.peers.Address())
	in.claims.Transport = in.peers
}

// newKeeper returns the keeper that coordinates the pools whose leases this instance holds.
func (in *Instance) newKeeper() *order.Keeper {
	self := event.Instance{Name: in.opts.Name, FailureDomain: in.opts.FailureDomain}
	limiter := order.NewLoadLimiter(in.store, in.run, cmp.Or(in.opts.WeightLoads, defaultWeightLoads))
	keeper := order.NewKeeper(self, in.leases, limiter, in.upstream)
	keeper.OnSent = in.recordOrder
	keeper.OnPostponed = func(string) { in.incCounter("Orders.Waited") }
	return keeper
}

func (in *Instance) incCounter(counter string) {
	metrics.GetOrRegisterCounter(counter, in.Meter.Registry).Inc(1)
}

// recordOrder counts and logs an order that was sent to an upstream.
func (in *Instance) recordOrder(pool string, po *order.PendingOrder, err error) {
	if err != nil {
		in.incCounter("Orders.Failed")
	} else {
		in.incCounter("Orders.Given")
	}
	in.log.Info().Str("Pool", pool).Str("Upstream", po.Replica.Name).Strs("Models", po.Order.Models).
		Int64("Fence", po.Order.Fence).Err(err).Msg("order given")
}

// recordReturn counts and logs a return of the key-value service from a copy, and what was written again.
func (in *Instance) recordReturn(stats conf.ReturnStats) {
	in.incCounter("Store.Returns")
	in.log.Warn().Int64("Era", stats.Era).Int64("EraBefore", stats.EraBefore).Int64("Version", in.follower.Version()).Int("PatchesRestored", stats.Restored).
		Int64("Forked", stats.Forked).Err(stats.Err).Msg("store returned from a copy; lost patches and claims are written again")
}

// stateGauges updates the gauges that show whether this instance watches the configuration, how many leases it holds and
// whether claims in the key-value service fail.
func (in *Instance) stateGauges() {
	in.gauge("Config.Watches", boolGauge(in.follower.IsWatcher()))
	in.gauge("Store.Era", in.store.Era().Number)
	in.gauge("Leases.Held", int64(len(in.leases.Names())))
	in.gauge("Claims.StoreFailing", boolGauge(in.claims.Failing()))
}

func boolGauge(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// runCoordination passes the list of live instances to the configuration's follower and the claims, and sends the orders of
// the pools that this instance coordinates, until the context ends.
func (in *Instance) runCoordination(ctx context.Context) error {
	keeper := in.newKeeper()
	var failing bool
	var known []event.Instance
	ticker := time.NewTicker(coordinationPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if in.claims.Failing() != failing {
			failing = !failing
			in.log.Warn().Bool("Failing", failing).Msg("claims in the key-value service changed state")
		}
		view, ok := in.fleetView()
		if !ok {
			continue
		}
		// The members are set only when they changed: ranking hundreds of instances for each shard every second would cost
		// more than everything else in this loop.
		if known == nil || !slices.Equal(known, view.Instances) {
			known = view.Instances
			in.follower.SetMembers(known)
			in.claims.SetMembers(known)
		}
		if in.draining.Load() {
			in.leases.SetWanted(nil)
			continue
		}
		keeper.Step(ctx, view)
	}
}

// fleetView returns a copy of the reducer's view of the fleet. Of the replicas it contains only those whose pools this
// instance may have to coordinate. It returns false if the reducer's loop has ended.
func (in *Instance) fleetView() (order.View, bool) {
	view := order.View{Services: map[string]decl.Service{}, Instances: []event.Instance{}}
	ok := in.loop.View(func(st *core.State) {
		view.Instances = append(view.Instances, st.Instances...)
		served := liveDomains(view.Instances)
		for name, svc := range st.Config.Services {
			if !order.ConfiguresReplicas(svc) {
				continue
			}
			view.Services[name] = svc
			for _, rep := range st.Route.Services[name] {
				domain := rep.Upstream.FailureDomain
				if len(svc.Roles) > 0 || domain == in.opts.FailureDomain || !served[domain] {
					view.Upstreams = append(view.Upstreams, order.Upstream{
						Upstream: rep.Upstream, Reported: !rep.ReportAt.IsZero(), Models: rep.Models, Loading: rep.Loading, Role: rep.Role,
					})
				}
			}
		}
	})
	return view, ok
}

// liveDomains returns the failure domains that have at least one instance that is not leaving.
func liveDomains(instances []event.Instance) map[string]bool {
	served := map[string]bool{}
	for _, inst := range instances {
		if !inst.Leaving {
			served[inst.FailureDomain] = true
		}
	}
	return served
}

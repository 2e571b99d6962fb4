package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/order"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// statePeriod is how often the parts that keep state look at the fleet.
const statePeriod = time.Second

// defaultWeightLoads is the weight store's rate where the setting is 0.
const defaultWeightLoads = 30

// joinState lets the configuration and the claims reach the peers.
func (in *Instance) joinState() {
	if in.peers == nil {
		return
	}
	in.follower.Transport = in.peers
	in.follower.SetPeer(in.peers.Address())
	in.claims.Transport = in.peers
}

func (in *Instance) newKeeper() *order.Keeper {
	self := event.Instance{Name: in.opts.Name, FailureDomain: in.opts.FailureDomain}
	weights := order.NewWeights(in.store, in.run, cmp.Or(in.opts.WeightLoads, defaultWeightLoads))
	keeper := order.NewKeeper(self, in.leases, weights, in.upstream)
	keeper.Given = in.orderGiven
	keeper.Waited = func(string) { in.countState("Orders.Waited") }
	return keeper
}

func (in *Instance) countState(counter string) {
	metrics.GetOrRegisterCounter(counter, in.Meter.Registry).Inc(1)
}

func (in *Instance) orderGiven(pool string, snd *order.Send, err error) {
	if err != nil {
		in.countState("Orders.Failed")
	} else {
		in.countState("Orders.Given")
	}
	in.log.Info().Str("Pool", pool).Str("Upstream", snd.Replica.Name).Strs("Models", snd.Order.Models).
		Int64("Fence", snd.Order.Fence).Err(err).Msg("order given")
}

// stateGauges shows which parts this instance has and whether its claims get answers.
func (in *Instance) stateGauges() {
	in.gauge("Config.Watches", one(in.follower.Watches()))
	in.gauge("Leases.Held", int64(len(in.leases.Names())))
	in.gauge("Claims.StoreFailing", one(in.claims.Failing()))
}

func one(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// keepState tells the configuration and the claims who lives, and gives the orders of the pools held here, until the
// context ends.
func (in *Instance) keepState(ctx context.Context) error {
	keeper := in.newKeeper()
	var failing bool
	var known []event.Instance
	ticker := time.NewTicker(statePeriod)
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
		view, ok := in.look()
		if !ok {
			continue
		}
		// Ranking hundreds of instances for each shard every second would cost more than all else here.
		if known == nil || !slices.Equal(known, view.Instances) {
			known = view.Instances
			in.follower.SetMembers(known)
			in.claims.SetMembers(known)
		}
		if in.draining.Load() {
			in.leases.Want(nil)
			continue
		}
		keeper.Step(ctx, view)
	}
}

// look copies what the reducer knows of the fleet, of the replicas those whose pools may fall to this instance.
func (in *Instance) look() (order.View, bool) {
	view := order.View{Services: map[string]decl.Service{}, Instances: []event.Instance{}}
	ok := in.loop.View(func(st *core.State) {
		view.Instances = append(view.Instances, st.Instances...)
		served := domains(view.Instances)
		for name, svc := range st.Config.Services {
			if !order.States(svc) {
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

// domains returns the failure domains that have a live instance.
func domains(instances []event.Instance) map[string]bool {
	served := map[string]bool{}
	for _, inst := range instances {
		if !inst.Leaving {
			served[inst.FailureDomain] = true
		}
	}
	return served
}

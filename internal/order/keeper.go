package order

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/lease"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// View is the state of the fleet that the keeper acts on.
type View struct {
	Services map[string]decl.Service
	// Instances are the entry instances that are believed to be alive. This instance may be missing.
	Instances []event.Instance
	Upstreams []Upstream
}

// Upstream is one listed replica with the state that it reported.
type Upstream struct {
	event.Upstream
	Reported bool
	Models   []string
	Loading  []string
	Role     string
}

// Keeper sends the orders in the pools whose leases this instance holds.
type Keeper struct {
	self    event.Instance
	holder  *lease.Holder
	limiter *LoadLimiter
	engines upstr.Engine
	// OnSent is called for each order after it was sent or failed.
	OnSent func(pool string, po *PendingOrder, err error)
	// OnPostponed is called for each order that is postponed because the weight store's rate limit does not allow its loads, or
	// could not be checked.
	OnPostponed func(pool string)
	// rollouts holds the rollout of each pool whose lease is held, by the pool's name.
	rollouts map[string]*Rollout
}

// NewKeeper returns a keeper for the instance.
func NewKeeper(self event.Instance, holder *lease.Holder, limiter *LoadLimiter, engines upstr.Engine) *Keeper {
	return &Keeper{
		self:        self,
		holder:      holder,
		limiter:     limiter,
		engines:     engines,
		OnSent:      func(string, *PendingOrder, error) {},
		OnPostponed: func(string) {},
		rollouts:    map[string]*Rollout{},
	}
}

// pool holds the replicas of one service in one failure domain.
type pool struct {
	name    string
	service decl.Service
	domain  string
	reps    []Replica
}

// Step requests the leases of the pools for which this instance ranks first, and sends at most one order in each pool whose
// lease it holds.
func (kp *Keeper) Step(ctx context.Context, view View) {
	pools := groupIntoPools(view)
	var wanted []string
	for _, pl := range pools {
		if kp.ranksFirst(pl, view.Instances) {
			wanted = append(wanted, pl.name)
		}
	}
	kp.holder.SetWanted(wanted)
	var group errgroup.Group
	for _, pl := range pools {
		held, ok := kp.holder.Check(pl.name)
		if !ok {
			delete(kp.rollouts, pl.name)
			continue
		}
		ro := kp.rollouts[pl.name]
		if ro == nil {
			ro = NewRollout()
			kp.rollouts[pl.name] = ro
		}
		group.Go(tasks.GuardError("orders", func() error {
			kp.sendNext(ctx, pl, ro, held)
			return nil
		}))
	}
	_ = group.Wait()
}

// ConfiguresReplicas reports whether the service configures what its replicas load or which roles they have.
func ConfiguresReplicas(svc decl.Service) bool {
	return svc.Kind == decl.KindModel && (len(svc.Roles) > 0 || len(WantedModels(svc, nil)) > 0)
}

// groupIntoPools returns the pools of the listed replicas, sorted by name. It leaves out services that do not
// configure their replicas.
func groupIntoPools(view View) []*pool {
	pools := map[string]*pool{}
	for _, service := range sortedKeys(view.Services) {
		svc := view.Services[service]
		if !ConfiguresReplicas(svc) {
			continue
		}
		roles := AssignRoles(svc, replicaDomains(view, service))
		for _, up := range view.Upstreams {
			if up.Service != service || up.Leaving {
				continue
			}
			name := service + "/" + up.FailureDomain
			if pools[name] == nil {
				pools[name] = &pool{name: name, service: svc, domain: up.FailureDomain}
			}
			pools[name].reps = append(pools[name].reps, Replica{
				Name: up.Name, Address: up.Address, Reported: up.Reported, Models: up.Models, Loading: up.Loading, Role: up.Role,
				WantedRole: roles[up.Name],
			})
		}
	}
	list := make([]*pool, 0, len(pools))
	for _, name := range sortedKeys(pools) {
		list = append(list, pools[name])
	}
	return list
}

func replicaDomains(view View, service string) map[string]string {
	byName := map[string]string{}
	for _, up := range view.Upstreams {
		if up.Service == service && !up.Leaving {
			byName[up.Name] = up.FailureDomain
		}
	}
	return byName
}

// ranksFirst reports whether this instance has the highest rendezvous hash for the pool among the instances in the pool's
// failure domain, or among all instances if there are none. Instances that see the fleet differently may compete for the
// lease, which then decides.
func (kp *Keeper) ranksFirst(pl *pool, instances []event.Instance) bool {
	hasLocal := kp.self.FailureDomain == pl.domain
	for _, inst := range instances {
		hasLocal = hasLocal || (inst.FailureDomain == pl.domain && !inst.Leaving)
	}
	if hasLocal && kp.self.FailureDomain != pl.domain {
		return false
	}
	score := rendezvousHash(pl.name, kp.self.Name)
	for _, inst := range instances {
		if inst.Leaving || inst.Name == kp.self.Name || (hasLocal && inst.FailureDomain != pl.domain) {
			continue
		}
		if rendezvousHash(pl.name, inst.Name) > score {
			return false
		}
	}
	return true
}

func rendezvousHash(pool, instance string) uint64 {
	return xxhash.Sum64String("order/" + pool + "/" + instance)
}

// sendNext sends the next order of a pool whose lease is held.
func (kp *Keeper) sendNext(ctx context.Context, pl *pool, ro *Rollout, held lease.Lease) {
	now := time.Now()
	po := ro.Next(Snapshot{Now: now, Service: pl.service, Replicas: pl.reps, Since: held.Since, Fence: held.Fence, TTL: lease.TTL})
	if po == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	if ok, err := kp.limiter.Take(ctx, po.Loads); err != nil || !ok {
		kp.OnPostponed(pl.name)
		return
	}
	// The lease may have been lost while the order was chosen and its loads were taken.
	if current, ok := kp.holder.Check(pl.name); !ok || current.Fence != held.Fence {
		return
	}
	err := kp.engines.Order(ctx, po.Replica.Address, po.Order)
	ro.RecordSent(now, po)
	kp.OnSent(pl.name, po, err)
	if errorx.IsOfType(err, upstr.Fenced) {
		kp.holder.Drop(pl.name)
	}
}

package order

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/lease"
	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// View is what the keeper sees of the fleet.
type View struct {
	Services map[string]decl.Service
	// Instances are the entry instances thought to live, this one among them or not.
	Instances []event.Instance
	Upstreams []Upstream
}

// Upstream is one listed replica with what it reported.
type Upstream struct {
	event.Upstream
	Reported bool
	Models   []string
	Loading  []string
	Role     string
}

// Keeper gives the orders in the pools whose leases this instance holds.
type Keeper struct {
	self    event.Instance
	holder  *lease.Holder
	weights *Weights
	engines upstr.Engine
	// Given is called for each order that left, Waited for each that had to wait for the weight store's rate.
	Given  func(pool string, snd *Send, err error)
	Waited func(pool string)
	pools  map[string]*State
}

// NewKeeper returns a keeper for the instance.
func NewKeeper(self event.Instance, holder *lease.Holder, weights *Weights, engines upstr.Engine) *Keeper {
	return &Keeper{
		self:    self,
		holder:  holder,
		weights: weights,
		engines: engines,
		Given:   func(string, *Send, error) {},
		Waited:  func(string) {},
		pools:   map[string]*State{},
	}
}

// pool is the replicas of one service in one failure domain.
type pool struct {
	name    string
	service decl.Service
	domain  string
	reps    []Replica
}

// Step wants the leases that fall to this instance and gives at most one order in each pool that it holds.
func (kp *Keeper) Step(ctx context.Context, view View) {
	pools := gather(view)
	var wanted []string
	for _, pl := range pools {
		if kp.falls(pl, view.Instances) {
			wanted = append(wanted, pl.name)
		}
	}
	kp.holder.Want(wanted)
	var group errgroup.Group
	for _, pl := range pools {
		held, ok := kp.holder.Check(pl.name)
		if !ok {
			delete(kp.pools, pl.name)
			continue
		}
		st := kp.pools[pl.name]
		if st == nil {
			st = New()
			kp.pools[pl.name] = st
		}
		group.Go(func() error {
			kp.keep(ctx, pl, st, held)
			return nil
		})
	}
	_ = group.Wait()
}

// States reports whether the service states what its replicas should be.
func States(svc decl.Service) bool {
	return svc.Kind == decl.KindModel && (len(svc.Roles) > 0 || len(Wanted(svc, nil)) > 0)
}

// gather puts the listed replicas of model services that state something into pools, in the order of names.
func gather(view View) []*pool {
	pools := map[string]*pool{}
	for _, service := range sortedKeys(view.Services) {
		svc := view.Services[service]
		if !States(svc) {
			continue
		}
		roles := Roles(svc, domains(view, service))
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

func domains(view View, service string) map[string]string {
	byName := map[string]string{}
	for _, up := range view.Upstreams {
		if up.Service == service && !up.Leaving {
			byName[up.Name] = up.FailureDomain
		}
	}
	return byName
}

// falls reports whether this instance ranks first for the pool among those of its failure domain, or among all if the
// domain has none. Instances that see the fleet differently compete for the lease; it decides.
func (kp *Keeper) falls(pl *pool, instances []event.Instance) bool {
	near := kp.self.FailureDomain == pl.domain
	for _, inst := range instances {
		near = near || (inst.FailureDomain == pl.domain && !inst.Leaving)
	}
	if near && kp.self.FailureDomain != pl.domain {
		return false
	}
	own := rank(pl.name, kp.self.Name)
	for _, inst := range instances {
		if inst.Leaving || inst.Name == kp.self.Name || (near && inst.FailureDomain != pl.domain) {
			continue
		}
		if rank(pl.name, inst.Name) > own {
			return false
		}
	}
	return true
}

func rank(pool, instance string) uint64 {
	return xxhash.Sum64String("order/" + pool + "/" + instance)
}

// keep gives the next order of a held pool.
func (kp *Keeper) keep(ctx context.Context, pl *pool, st *State, held lease.Held) {
	now := time.Now()
	snd := st.Next(Look{Now: now, Service: pl.service, Replicas: pl.reps, Since: held.Since, Fence: held.Fence, TTL: lease.TTL})
	if snd == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	if ok, err := kp.weights.Take(ctx, snd.Loads); err != nil || !ok {
		kp.Waited(pl.name)
		return
	}
	// The look and the taking took time; the lease may have been lost over them.
	if again, ok := kp.holder.Check(pl.name); !ok || again.Fence != held.Fence {
		return
	}
	err := kp.engines.Order(ctx, snd.Replica.Address, snd.Order)
	st.Sent(now, snd)
	kp.Given(pl.name, snd, err)
	if errorx.IsOfType(err, upstr.Fenced) {
		kp.holder.Drop(pl.name)
	}
}

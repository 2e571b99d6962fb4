// Package order rolls out the configured models, adapters, versions and roles to the replicas of a pool, one step at a
// time. The holder of the pool's lease sends the orders. Each order states the wanted end state instead of a change, so
// an order that arrived late or was lost shows in the next snapshot and is corrected.
package order

import (
	"slices"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// SendTimeout is the longest time that an order can be in flight.
	SendTimeout = 5 * time.Second
	// reportSettleTime is how long a new holder waits for the replicas' reports, which lag, to show its predecessor's orders.
	reportSettleTime = 3 * time.Second
	// resendAfter is the time after which an order is sent again if its effect does not show.
	resendAfter = 2 * time.Minute
	// reportLag is how long after an order a report may still show the state before it.
	reportLag = 3 * time.Second
	// maxUnavailableDivisor bounds how many replicas of a pool a change may make unavailable at once: the pool's size divided
	// by it, at least one.
	maxUnavailableDivisor = 8
)

// Replica is the known state of one replica of the pool.
type Replica struct {
	Name    string
	Address string
	// Reported reports whether the engine has ever reported what it has loaded.
	Reported bool
	// Models are the loaded models and adapters that the engine reported, in the form of upstr.LoadedName.
	Models []string
	// Loading are the models and adapters that the engine reported as being loaded, in the same form.
	Loading []string
	Role    string
	// WantedRole is the role that the replica should have, empty for any.
	WantedRole string
}

// Snapshot is the state of a pool at one time, from which the next order is chosen.
type Snapshot struct {
	Now     time.Time
	Service decl.Service
	// Replicas are the pool's replicas without those that are leaving.
	Replicas []Replica
	// Since is when the pool's lease was taken.
	Since time.Time
	// Fence is the fencing number of the pool's lease.
	Fence int64
	// TTL is the time after which the key-value service ends a lease that is not renewed.
	TTL time.Duration
}

// PendingOrder is an order to be sent now.
type PendingOrder struct {
	Replica Replica
	Order   upstr.Order
	// Loads is the number of models and adapters whose weights the replica has to fetch for the order.
	Loads int
}

// sentOrder is an order that may have reached its replica.
type sentOrder struct {
	order upstr.Order
	at    time.Time
}

// Rollout tracks the orders that a holder sent in one pool. It is not safe for concurrent use.
type Rollout struct {
	// sent holds the last order of each replica whose effect has not shown yet, by the replica's name.
	sent map[string]sentOrder
}

// NewRollout returns the Rollout of a holder that has sent no order yet.
func NewRollout() *Rollout {
	return &Rollout{sent: map[string]sentOrder{}}
}

// Next returns the order to send now, or nil. RecordSent must be called for each order that may have
// been sent.
func (ro *Rollout) Next(snap Snapshot) *PendingOrder {
	if snap.Now.Before(snap.Since.Add(takeoverWait(snap.Service, snap.TTL))) {
		return nil
	}
	ro.forgetUnlisted(snap.Replicas)
	unavailable := 0
	var outdated []PendingOrder
	for _, rep := range snap.Replicas {
		if ro.inProgress(snap, rep) {
			unavailable++
			continue
		}
		if po, ok := neededOrder(snap, rep); ok {
			outdated = append(outdated, po)
		}
	}
	return choose(outdated, unavailable, max(1, len(snap.Replicas)/maxUnavailableDivisor))
}

// takeoverWait returns how long a new holder sends no order. Engines that check fencing numbers refuse late orders of the
// previous holder. The others obey the order that arrives last, so the previous holder's lease and its longest order must
// have ended first.
func takeoverWait(svc decl.Service, ttl time.Duration) time.Duration {
	if svc.ChecksFencing {
		return reportSettleTime
	}
	return ttl + SendTimeout
}

// choose returns the order for a replica that serves none of the wanted models, which costs no capacity, or else the first
// order if fewer than the allowed number of replicas are unavailable.
func choose(outdated []PendingOrder, unavailable, allowed int) *PendingOrder {
	for i, po := range outdated {
		if po.idle() {
			return &outdated[i]
		}
	}
	if len(outdated) == 0 || unavailable >= allowed {
		return nil
	}
	return &outdated[0]
}

// idle reports whether the replica currently serves none of the wanted models, in any version.
func (po *PendingOrder) idle() bool {
	for _, name := range po.Order.Models {
		if upstr.Offers(po.Replica.Models, requestName(name)) {
			return false
		}
	}
	return true
}

// requestName returns the name that callers request for a loaded name: the same name without the version.
func requestName(name string) string {
	base, adapter, has := strings.Cut(name, ":")
	base, _, _ = strings.Cut(base, "@")
	if has {
		return base + ":" + adapter
	}
	return base
}

// RecordSent records an order that may have been sent.
func (ro *Rollout) RecordSent(now time.Time, po *PendingOrder) {
	ro.sent[po.Replica.Name] = sentOrder{order: po.Order, at: now}
}

func (ro *Rollout) forgetUnlisted(replicas []Replica) {
	listed := map[string]bool{}
	for _, rep := range replicas {
		listed[rep.Name] = true
	}
	for name := range ro.sent {
		if !listed[name] {
			delete(ro.sent, name)
		}
	}
}

// inProgress reports whether the replica may still be changing to the wanted state, or its state is unknown.
func (ro *Rollout) inProgress(snap Snapshot, rep Replica) bool {
	if !rep.Reported {
		return true
	}
	so, ok := ro.sent[rep.Name]
	if !ok {
		// Orders of the previous holder show only as loads in progress.
		return len(rep.Loading) > 0
	}
	if snap.Now.Before(so.at.Add(reportLag)) {
		return true
	}
	if matches(rep, so.order) {
		delete(ro.sent, rep.Name)
		return false
	}
	return snap.Now.Before(so.at.Add(resendAfter))
}

// neededOrder returns the order that the replica needs, or false if the replica is in the wanted state.
func neededOrder(snap Snapshot, rep Replica) (PendingOrder, bool) {
	order := upstr.Order{Fence: snap.Fence, Models: WantedModels(snap.Service, rep.Models), Role: rep.WantedRole}
	if len(order.Models) == 0 && order.Role == "" {
		return PendingOrder{}, false
	}
	if len(order.Models) == 0 {
		// An order states all models to be loaded. A change of the role only must repeat those that are.
		order.Models = rep.Models
	}
	if matches(rep, order) {
		return PendingOrder{}, false
	}
	po := PendingOrder{Replica: rep, Order: order}
	for _, name := range order.Models {
		if !slices.Contains(rep.Models, name) {
			po.Loads++
		}
	}
	return po, true
}

func matches(rep Replica, order upstr.Order) bool {
	if order.Role != "" && order.Role != rep.Role {
		return false
	}
	return len(rep.Loading) == 0 && sameNames(rep.Models, order.Models)
}

func sameNames(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}

// WantedModels returns the models and adapters that a replica with the given loaded ones should have loaded. It returns nil
// if no model of the service names a version or an adapter, since the service then does not control what is loaded.
func WantedModels(svc decl.Service, loaded []string) []string {
	var wanted []string
	declared := false
	for _, model := range svc.Models {
		declared = declared || model.Version != "" || len(model.Adapters) > 0
		version := model.Version
		if version == "" {
			version = loadedVersion(loaded, model.Name)
		}
		wanted = append(wanted, upstr.LoadedName(model.Name, version, ""))
		for _, adapter := range model.Adapters {
			wanted = append(wanted, upstr.LoadedName(model.Name, version, adapter))
		}
	}
	if !declared {
		return nil
	}
	return wanted
}

// loadedVersion returns the version in which the model is loaded, empty if it is not loaded with a version.
func loadedVersion(loaded []string, model string) string {
	for _, name := range loaded {
		if version, ok := strings.CutPrefix(name, model+"@"); ok && !strings.Contains(version, ":") {
			return version
		}
	}
	return ""
}

// AssignRoles assigns the configured roles to the replicas of a service and returns them by replica name; domains maps the
// replicas to their failure domains. The result depends on the arguments only, so holders that see the same list agree
// without communication. The failure domains take turns, so that each gets its share of every role.
func AssignRoles(svc decl.Service, domains map[string]string) map[string]string {
	roles := map[string]string{}
	if len(svc.Roles) == 0 {
		return roles
	}
	order := interleaveDomains(domains)
	for _, role := range sortedKeys(svc.Roles) {
		count := min(svc.Roles[role], len(order))
		for _, name := range order[:max(0, count)] {
			roles[name] = role
		}
		order = order[max(0, count):]
	}
	return roles
}

// interleaveDomains returns the replicas in an order in which the failure domains take turns.
func interleaveDomains(domains map[string]string) []string {
	byDomain := map[string][]string{}
	for _, name := range sortedKeys(domains) {
		byDomain[domains[name]] = append(byDomain[domains[name]], name)
	}
	names := sortedKeys(byDomain)
	var order []string
	for turn := 0; len(order) < len(domains); turn++ {
		for _, domain := range names {
			if turn < len(byDomain[domain]) {
				order = append(order, byDomain[domain][turn])
			}
		}
	}
	return order
}

func sortedKeys[Value any](in map[string]Value) []string {
	keys := make([]string, 0, len(in))
	for key := range in {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

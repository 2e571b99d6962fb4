// Package order brings the offered models, adapters, versions and roles about on the replicas of a pool, one step at a
// time. The holder of the pool's lease gives the orders; each one states the wanted end, so that an order that came
// late or got lost shows at the next look and is set right.
package order

import (
	"slices"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// SendTimeout is the longest time that an order can be under way.
	SendTimeout = 5 * time.Second
	// settleTime is how long a new holder looks on until the replicas' reports, which lag, show the last one's orders.
	settleTime = 3 * time.Second
	// repeatAfter is when an order whose effect does not show is given again.
	repeatAfter = 2 * time.Minute
	// reportLag is how long after an order a report may still show the time before it.
	reportLag = 3 * time.Second
	// stepShare is the part of a pool that may be away at once for a change, at least one replica.
	stepShare = 8
)

// Replica is what is known of one replica of the pool.
type Replica struct {
	Name    string
	Address string
	// Reported tells that the engine ever told what it has loaded.
	Reported bool
	// Models and Loading are as reported, as upstr.LoadedName gives them.
	Models  []string
	Loading []string
	Role    string
	// WantedRole is the role it should play, empty for any.
	WantedRole string
}

// Look is what a step is decided from. The replicas that leave are not among Replicas.
type Look struct {
	Now      time.Time
	Service  decl.Service
	Replicas []Replica
	// Since is when the lease was taken, Fence its number, and TTL what the service grants a lease.
	Since time.Time
	Fence int64
	TTL   time.Duration
}

// Send is an order to be given now.
type Send struct {
	Replica Replica
	Order   upstr.Order
	// Loads is how many weights the replica has to fetch for it.
	Loads int
}

type given struct {
	order upstr.Order
	at    time.Time
}

// State is what a holder knows of the orders that it gave in one pool. It belongs to one goroutine.
type State struct {
	given map[string]given
}

// New returns the state of a holder that gave no order yet.
func New() *State {
	return &State{given: map[string]given{}}
}

// Next returns the order to give now, or nil. Sent must be told of each order that may have left.
func (st *State) Next(look Look) *Send {
	if look.Now.Before(look.Since.Add(quiet(look.Service, look.TTL))) {
		return nil
	}
	st.forget(look.Replicas)
	away := 0
	var behind []Send
	for _, rep := range look.Replicas {
		if st.changing(look, rep) {
			away++
			continue
		}
		if snd, ok := due(look, rep); ok {
			behind = append(behind, snd)
		}
	}
	return choose(behind, away, max(1, len(look.Replicas)/stepShare))
}

// quiet is how long a new holder gives no order. Engines that check fencing refuse the last holder's late orders. The
// others obey whoever comes last, so the last holder's lease and its longest order must be over first.
func quiet(svc decl.Service, ttl time.Duration) time.Duration {
	if svc.ChecksFencing {
		return settleTime
	}
	return ttl + SendTimeout
}

// choose takes a replica that serves nothing of what is wanted, which costs no capacity, or else the first one behind
// if few enough are away.
func choose(behind []Send, away, allowed int) *Send {
	for i, snd := range behind {
		if snd.idle() {
			return &behind[i]
		}
	}
	if len(behind) == 0 || away >= allowed {
		return nil
	}
	return &behind[0]
}

// idle tells that the replica serves none of the wanted models now, in any version.
func (snd *Send) idle() bool {
	for _, name := range snd.Order.Models {
		if upstr.Offers(snd.Replica.Models, offered(name)) {
			return false
		}
	}
	return true
}

// offered is the name under which callers ask for what is loaded under the name.
func offered(name string) string {
	base, adapter, has := strings.Cut(name, ":")
	base, _, _ = strings.Cut(base, "@")
	if has {
		return base + ":" + adapter
	}
	return base
}

// Sent notes an order that may have left.
func (st *State) Sent(now time.Time, snd *Send) {
	st.given[snd.Replica.Name] = given{order: snd.Order, at: now}
}

func (st *State) forget(replicas []Replica) {
	listed := map[string]bool{}
	for _, rep := range replicas {
		listed[rep.Name] = true
	}
	for name := range st.given {
		if !listed[name] {
			delete(st.given, name)
		}
	}
}

// changing reports whether the replica is on its way to the wanted end, or cannot be judged.
func (st *State) changing(look Look, rep Replica) bool {
	if !rep.Reported {
		return true
	}
	gv, ok := st.given[rep.Name]
	if !ok {
		// Orders of the holder before this one show as loads under way.
		return len(rep.Loading) > 0
	}
	if look.Now.Before(gv.at.Add(reportLag)) {
		return true
	}
	if matches(rep, gv.order) {
		delete(st.given, rep.Name)
		return false
	}
	return look.Now.Before(gv.at.Add(repeatAfter))
}

// due returns the order that the replica needs, and false if it is as wanted.
func due(look Look, rep Replica) (Send, bool) {
	order := upstr.Order{Fence: look.Fence, Models: Wanted(look.Service, rep.Models), Role: rep.WantedRole}
	if len(order.Models) == 0 && order.Role == "" {
		return Send{}, false
	}
	if len(order.Models) == 0 {
		// An order states all that is to be loaded; a change of role leaves it as it is.
		order.Models = rep.Models
	}
	if matches(rep, order) {
		return Send{}, false
	}
	snd := Send{Replica: rep, Order: order}
	for _, name := range order.Models {
		if !slices.Contains(rep.Models, name) {
			snd.Loads++
		}
	}
	return snd, true
}

func matches(rep Replica, order upstr.Order) bool {
	if order.Role != "" && order.Role != rep.Role {
		return false
	}
	return len(rep.Loading) == 0 && sameNames(rep.Models, order.Models)
}

func sameNames(one, two []string) bool {
	one, two = slices.Sorted(slices.Values(one)), slices.Sorted(slices.Values(two))
	return slices.Equal(slices.Compact(one), slices.Compact(two))
}

// Wanted returns what a replica that has loaded some models should have, empty if the service leaves that alone: it
// does where no model names a version or an adapter.
func Wanted(svc decl.Service, loaded []string) []string {
	var wanted []string
	states := false
	for _, model := range svc.Models {
		states = states || model.Version != "" || len(model.Adapters) > 0
		version := model.Version
		if version == "" {
			version = versionOf(loaded, model.Name)
		}
		wanted = append(wanted, upstr.LoadedName(model.Name, version, ""))
		for _, adapter := range model.Adapters {
			wanted = append(wanted, upstr.LoadedName(model.Name, version, adapter))
		}
	}
	if !states {
		return nil
	}
	return wanted
}

func versionOf(loaded []string, model string) string {
	for _, name := range loaded {
		if version, ok := strings.CutPrefix(name, model+"@"); ok && !strings.Contains(version, ":") {
			return version
		}
	}
	return ""
}

// Roles assigns the wanted roles to the replicas of a service, by name. All holders see the same list and come to the
// same end without a word to each other; the list is dealt out over the failure domains in turn, so that each gets its
// part of every role.
func Roles(svc decl.Service, domains map[string]string) map[string]string {
	roles := map[string]string{}
	if len(svc.Roles) == 0 {
		return roles
	}
	order := deal(domains)
	for _, role := range sortedKeys(svc.Roles) {
		count := min(svc.Roles[role], len(order))
		for _, name := range order[:max(0, count)] {
			roles[name] = role
		}
		order = order[max(0, count):]
	}
	return roles
}

// deal orders the replicas so that the failure domains take turns.
func deal(domains map[string]string) []string {
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

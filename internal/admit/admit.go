// Package admit decides which requests may wait, in which order they go, and which are refused at once.
package admit

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// State holds the limits and queues of one instance.
type State struct {
	// Instances is how many instances share the limits, at least 1.
	Instances int
	orgs      map[string]*account
	queues    map[string]*queue
	// services holds the names of queues in the order of their making.
	services []string
	// demands holds what organisations ask of which instance, for those whose limits this one shares out.
	demands map[string]map[string]demand
	// backlog is the buffer of Backlogged.
	backlog []string
}

// New returns an empty state.
func New() *State {
	return &State{Instances: 1, orgs: map[string]*account{}, queues: map[string]*queue{}, demands: map[string]map[string]demand{}}
}

// Discipline is the order in which the requests of one service go.
type Discipline interface{ isDiscipline() }

// Priority serves the classes by priority. Items that have waited long go before theirs, up to a share of the work.
type Priority struct{}

// Weighted shares the service between the classes in proportion to their weights, an absent one counting as 1.
type Weighted struct{ Weights map[string]float64 }

// FirstCome serves in the order of arrival, as the baselines do.
type FirstCome struct{}

func (Priority) isDiscipline()  {}
func (Weighted) isDiscipline()  {}
func (FirstCome) isDiscipline() {}

// DisciplineOf returns the discipline that the service declares.
func DisciplineOf(svc decl.Service) Discipline {
	if svc.Discipline == decl.DisciplineWeighted {
		return Weighted{Weights: svc.ClassWeights}
	}
	return Priority{}
}

// Item is one waiting request.
type Item struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Class        decl.LengthClass
	// Tokens is the prompt and answer together, at least 1.
	Tokens int64
	// Work is how long it is expected to keep one replica busy.
	Work     time.Duration
	Arrived  time.Time
	Deadline time.Time
	// NotBefore keeps the item back, zero if it may go at once.
	NotBefore time.Time

	// weight is its organisation's share.
	weight float64
	// start is the virtual time at which its organisation's share reaches it within its class.
	start float64
	// old tells that most of its time is gone, and ages when that will be.
	old  bool
	ages time.Time
	lane *lane
	// place, aging and delay are its positions in the heap of its lane or of the old, of ages and of delays; -1 outside.
	place, aging, delay int
}

// Push queues an item for its service; the weight is its organisation's share, above 0.
func (st *State) Push(it Item, weight float64, disc Discipline) {
	qu, ok := st.queues[it.Service]
	if !ok {
		qu = newQueue()
		st.queues[it.Service] = qu
		st.services = append(st.services, it.Service)
	}
	qu.use(disc)
	it.weight = weight
	qu.push(&it)
}

// Heads returns the items that may go next in the service, one of each class and the oldest, in the order of preference. The
// slice is valid until the next call.
func (st *State) Heads(now time.Time, service string) []*Item {
	qu, ok := st.queues[service]
	if !ok {
		return nil
	}
	return qu.heads(now)
}

// Head returns the item that goes next in the service, or nil.
func (st *State) Head(now time.Time, service string) *Item {
	heads := st.Heads(now, service)
	if len(heads) == 0 {
		return nil
	}
	return heads[0]
}

// Take removes an item that goes to a replica, and charges its organisation and class for it.
func (st *State) Take(it *Item) {
	qu := st.queues[it.Service]
	qu.charge(it)
	qu.remove(it)
}

// Remove takes the item out of its service's queue without a charge, because its request ended. It reports whether
// the item was there.
func (st *State) Remove(service string, id event.RequestID) bool {
	qu, ok := st.queues[service]
	if !ok {
		return false
	}
	it, ok := qu.items[id]
	if !ok {
		return false
	}
	qu.refund(it)
	qu.remove(it)
	return true
}

// Waiting returns how many items and tokens wait for the service.
func (st *State) Waiting(service string) (items int, tokens int64) {
	qu, ok := st.queues[service]
	if !ok {
		return 0, 0
	}
	return len(qu.items), qu.tokens
}

// Backlogged returns the services that have waiting items. The slice is valid until the next call.
func (st *State) Backlogged() []string {
	st.backlog = st.backlog[:0]
	for _, service := range st.services {
		if len(st.queues[service].items) > 0 {
			st.backlog = append(st.backlog, service)
		}
	}
	return st.backlog
}

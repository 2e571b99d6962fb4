// Package admit enforces the limits of organisations, queues the admitted requests of each service, orders them by the
// service's queueing discipline, and estimates how long a new request would wait.
package admit

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// State holds the usage of the organisations' limits and the queues of one instance.
type State struct {
	// Instances is the number of instances that share the limits, at least 1.
	Instances int
	// Division determines this instance's part of the slack of the organisations' retry budgets.
	Division budget.Division
	// orgs holds the accounts by organisation name.
	orgs map[string]*account
	// queues holds the queues by service name.
	queues map[string]*queue
	// services holds the keys of queues in the order of creation.
	services []string
	// demands holds the reported demand by organisation and instance, for the organisations whose limits this instance
	// divides.
	demands map[string]map[string]demand
	// backlog is the buffer that Backlogged returns.
	backlog []string
}

// New returns an empty state.
func New() *State {
	return &State{
		Instances: 1, Division: budget.Division{Window: retryBudget.Window, Lag: listLag}, orgs: map[string]*account{}, queues: map[string]*queue{}, demands: map[string]map[string]demand{},
	}
}

// Discipline is the queueing discipline of a service: the order in which its waiting requests are sent.
type Discipline interface{ isDiscipline() }

// Priority serves the classes by priority. An item that has waited for half of its time is aged: it is placed right behind
// the highest class, as long as aged items take no more than a fixed share of the tokens.
type Priority struct{}

// Weighted shares the service between the classes in proportion to Weights, keyed by class name. A class without a weight
// has weight 1.
type Weighted struct{ Weights map[string]float64 }

// FirstCome serves the items in the order of their IDs, which is the order of arrival. The baseline policies use it.
type FirstCome struct{}

func (Priority) isDiscipline()  {}
func (Weighted) isDiscipline()  {}
func (FirstCome) isDiscipline() {}

// DisciplineOf returns the discipline that the service declares; the default is Priority.
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
	// Tokens is the length of the prompt and the answer together, at least 1.
	Tokens int64
	// Work is the estimated time for which the request keeps one replica busy.
	Work     time.Duration
	Arrived  time.Time
	Deadline time.Time
	// NotBefore is the earliest time at which the item may be sent; zero means at once.
	NotBefore time.Time

	// weight is the fair-share weight of its organisation.
	weight float64
	// startTag is the virtual time within its class at which its organisation's fair share reaches the item.
	startTag float64
	// aged reports whether the item is in the queue's aged heap.
	aged bool
	// agesAt is the time at which the item becomes aged; it is set only under Priority.
	agesAt time.Time
	// lane is the lane that holds the item, nil while it is delayed or aged.
	lane *lane
	// orderIndex is the item's index in the heap of its lane or in the aged heap, -1 if it is in neither.
	orderIndex int
	// agingIndex is the item's index in the aging heap, -1 if it is not there.
	agingIndex int
	// delayIndex is the item's index in the delayed heap, -1 if it is not there.
	delayIndex int
}

// Push queues an item for its service under the discipline. The weight is the fair-share weight of the item's
// organisation, above 0.
func (st *State) Push(it Item, weight float64, disc Discipline) {
	qu, ok := st.queues[it.Service]
	if !ok {
		qu = newQueue()
		st.queues[it.Service] = qu
		st.services = append(st.services, it.Service)
	}
	qu.setDiscipline(disc)
	it.weight = weight
	qu.push(&it)
}

// Heads returns the candidates that may be sent next in the service, in the order of preference: the first item of each
// lane and the aged item with the earliest deadline. The slice is valid until the next call.
func (st *State) Heads(now time.Time, service string) []*Item {
	qu, ok := st.queues[service]
	if !ok {
		return nil
	}
	return qu.heads(now)
}

// Head returns the preferred one of Heads, or nil if no item may be sent now.
func (st *State) Head(now time.Time, service string) *Item {
	heads := st.Heads(now, service)
	if len(heads) == 0 {
		return nil
	}
	return heads[0]
}

// Take removes an item that is sent to a replica, and charges its class and lane for it.
func (st *State) Take(it *Item) {
	qu := st.queues[it.Service]
	qu.charge(it)
	qu.remove(it)
}

// Remove removes an item whose request ended before it was sent, without charging for it. It reports whether the item was
// in the service's queue.
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

// Waiting returns the number of items that wait for the service, delayed ones included, and the sum of their tokens.
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

// Package admit decides which requests may wait, in which order they go, and which are refused at once.
package admit

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Retry budget of one organisation.
const (
	// retryShare is how many retries each admitted request earns.
	retryShare = 0.1
	// retryBurst bounds what is saved up.
	retryBurst = 10
)

// Item is one waiting request.
type Item struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Class        decl.LengthClass
	// Tokens is the prompt and answer together.
	Tokens   int64
	Arrived  time.Time
	Deadline time.Time
	// finish is the virtual time at which the item would end if its organisation had its share alone.
	finish float64
}

// State holds the limits and queues of one instance.
type State struct {
	// Instances is how many instances share the limits, at least 1.
	Instances int
	// FirstCome serves each queue in the order of arrival, as the baselines do.
	FirstCome bool
	orgs      map[string]*account
	queues    map[string]*queue
}

// account is what one organisation has used.
type account struct {
	requests float64
	tokens   float64
	filled   time.Time
	inFlight int64
	tokensIn int64
	retries  float64
}

type queue struct {
	items []*Item
	// virtual is the finish time of the item taken last.
	virtual float64
	// last holds each organisation's latest finish time.
	last map[string]float64
}

// New returns an empty state.
func New() *State {
	return &State{Instances: 1, orgs: map[string]*account{}, queues: map[string]*queue{}}
}

// Admit takes a request into the organisation's limits, or says why not. Every admitted request needs a Release.
func (st *State) Admit(now time.Time, name string, org decl.Organisation, tokens int64) *effect.Refusal {
	acc := st.account(now, name, org.Limits)
	lim := org.Limits
	share := float64(max(1, st.Instances))
	if wait := acc.wait(lim, tokens, share); wait > 0 {
		return limited(wait, "slow down to the declared rate")
	}
	if lim.RequestsInFlight > 0 && float64(acc.inFlight) >= math.Ceil(float64(lim.RequestsInFlight)/share) {
		return limited(time.Second, "wait for earlier requests to end")
	}
	if lim.TokensInFlight > 0 && acc.tokensIn > 0 && float64(acc.tokensIn+tokens) > float64(lim.TokensInFlight)/share {
		return limited(time.Second, "wait for earlier prompts to end")
	}
	acc.requests--
	acc.tokens -= float64(tokens)
	acc.inFlight++
	acc.tokensIn += tokens
	acc.retries = min(acc.retries+retryShare, retryBurst)
	return nil
}

func limited(wait time.Duration, remedy string) *effect.Refusal {
	return &effect.Refusal{
		Reason:     effect.ReasonLimit,
		Ran:        effect.NotRun,
		RetryAfter: wait,
		Remedy:     remedy + ", or ask the operators to raise the organisation's Limits",
	}
}

func (st *State) account(now time.Time, name string, lim decl.Limits) *account {
	acc, ok := st.orgs[name]
	if !ok {
		acc = &account{filled: now, retries: retryBurst, requests: lim.RequestsPerSecond, tokens: lim.TokensPerSecond}
		st.orgs[name] = acc
	}
	passed := now.Sub(acc.filled).Seconds()
	share := float64(max(1, st.Instances))
	acc.requests = min(acc.requests+passed*lim.RequestsPerSecond/share, max(1, lim.RequestsPerSecond/share))
	acc.tokens = min(acc.tokens+passed*lim.TokensPerSecond/share, lim.TokensPerSecond/share)
	acc.filled = now
	return acc
}

// wait returns how long the rates make the request wait, 0 if it may go. A request larger than the whole bucket goes
// when the bucket is full, and leaves a debt.
func (acc *account) wait(lim decl.Limits, tokens int64, share float64) time.Duration {
	var seconds float64
	if lim.RequestsPerSecond > 0 && acc.requests < 1 {
		seconds = (1 - acc.requests) * share / lim.RequestsPerSecond
	}
	if lim.TokensPerSecond > 0 {
		need := min(float64(tokens), lim.TokensPerSecond/share)
		seconds = max(seconds, (need-acc.tokens)*share/lim.TokensPerSecond)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Release gives back what Admit took.
func (st *State) Release(name string, tokens int64) {
	acc, ok := st.orgs[name]
	if !ok {
		return
	}
	acc.inFlight--
	acc.tokensIn -= tokens
}

// Retry takes one retry from the organisation's budget, or reports false.
func (st *State) Retry(name string) bool {
	acc, ok := st.orgs[name]
	if !ok || acc.retries < 1 {
		return false
	}
	acc.retries--
	return true
}

// Push queues an item for its service.
func (st *State) Push(it Item, weight float64) {
	qu, ok := st.queues[it.Service]
	if !ok {
		qu = &queue{last: map[string]float64{}}
		st.queues[it.Service] = qu
	}
	start := max(qu.virtual, qu.last[it.Organisation])
	it.finish = start + float64(it.Tokens)/weight
	qu.last[it.Organisation] = it.finish
	qu.items = append(qu.items, &it)
}

// Head returns the item that goes next in the service, or nil.
func (st *State) Head(now time.Time, service string) *Item {
	qu, ok := st.queues[service]
	if !ok {
		return nil
	}
	var best *Item
	for _, it := range qu.items {
		if best == nil || st.before(now, it, best) {
			best = it
		}
	}
	return best
}

// before orders items by priority, raised by one class for each third of its time that an item has waited, then by
// fair share.
func (st *State) before(now time.Time, one, two *Item) bool {
	if st.FirstCome {
		return one.ID < two.ID
	}
	rankOne, rankTwo := one.rank(now), two.rank(now)
	if rankOne != rankTwo {
		return rankOne > rankTwo
	}
	return one.finish < two.finish
}

func (it *Item) rank(now time.Time) int {
	total := it.Deadline.Sub(it.Arrived)
	if total <= 0 {
		return it.Class.Priority
	}
	return it.Class.Priority + int(3*now.Sub(it.Arrived)/total)
}

// Remove takes the item out of its service's queue, because it goes or because it ended. It reports whether the item
// was there.
func (st *State) Remove(service string, id event.RequestID) bool {
	qu, ok := st.queues[service]
	if !ok {
		return false
	}
	for i, it := range qu.items {
		if it.ID == id {
			qu.virtual = max(qu.virtual, it.finish-float64(it.Tokens))
			qu.items = append(qu.items[:i], qu.items[i+1:]...)
			return true
		}
	}
	return false
}

// Waiting returns how many items and tokens wait for the service.
func (st *State) Waiting(service string) (items int, tokens int64) {
	qu, ok := st.queues[service]
	if !ok {
		return 0, 0
	}
	for _, it := range qu.items {
		tokens += it.Tokens
	}
	return len(qu.items), tokens
}

// Package route picks the upstream replica for a request. It estimates the load of each replica from the attempts that this
// instance has in flight there and from load reports that lag, ejects replicas that fail or are slow, and limits the
// attempts in flight.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/notice"
)

// unlistedRetention is how long a replica that the platform no longer lists is kept, so that a stale list cannot restore one
// that was leaving.
const unlistedRetention = 10 * time.Minute

// State holds the routing state of all upstreams.
type State struct {
	// FailureDomain is the failure domain of this instance, which the comments call the local one.
	FailureDomain string
	// Replicas holds the listed upstreams by name, and the unlisted ones until they are removed.
	Replicas map[string]*Replica
	// Services holds the listed replicas of each service in the order of the list.
	Services map[string][]*Replica
	// Policy is the algorithm that Pick uses.
	Policy Policy

	// now is the time passed to the latest call of ApplyList, Pick, Report, RecordSent, RecordEnd or Tick.
	now time.Time
	// pools holds the pools by service name.
	pools map[string]*pool
	// serviceOrder holds the names of Services in the order of their first listing.
	serviceOrder []string
	// instances is the number of instances that share the replicas, at least 1.
	instances int64
	// unhealthy holds the replicas that are ejected or on probation.
	unhealthy []*Replica
	// rested holds the replicas that rest, or whose first request after it has not been answered.
	rested []*Replica
	// nextSlowCheck is when Tick compares the speeds of the replicas next.
	nextSlowCheck time.Time
	// slowdowns is the buffer of one such comparison.
	slowdowns []float64
	prefixes  prefixIndex
	// roundRobinCounts holds the position of RoundRobin by service.
	roundRobinCounts map[string]uint64
	random           *rand.Rand
	// candidates is the buffer of one call of Pick.
	candidates []*Replica
}

// New returns the state of an instance in the failure domain. The seed makes its random choices reproducible.
func New(failureDomain string, seed uint64) *State {
	return &State{
		FailureDomain:    failureDomain,
		Replicas:         map[string]*Replica{},
		Services:         map[string][]*Replica{},
		Policy:           LowestCost{},
		pools:            map[string]*pool{},
		instances:        1,
		prefixes:         newPrefixIndex(),
		roundRobinCounts: map[string]uint64{},
		random:           rand.New(rand.NewPCG(seed, seed)),
	}
}

// PickCriteria holds the properties of a request that routing uses.
type PickCriteria struct {
	ID      event.RequestID
	Service string
	// Model is the model that the caller named, empty for plain services.
	Model string
	// Prompt is the length of the prompt in tokens.
	Prompt int64
	// Answer is the requested length of the answer in tokens.
	Answer int64
	// Level is the rank of the request's priority among those of the declared classes, from 0 for the lowest.
	Level int
	// HigherClasses is the number of higher priorities among those of the declared classes.
	HigherClasses int
	// Queued reports whether the request found no replica when it arrived.
	Queued bool
	// Repeatable reports whether the request may be sent again after a failure. Only such a request is used to probe a
	// replica that was ejected.
	Repeatable bool
	// Tried holds the names of the replicas to avoid, such as those that failed this request, the latest failure last. They
	// are picked only if no other replica is open.
	Tried []string
	// Prefixes holds the hashes of the prompt's leading blocks.
	Prefixes []uint64
}

// Tokens returns the memory that the request needs, in tokens.
func (pc *PickCriteria) Tokens() int64 { return pc.Prompt + pc.Answer }

// ApplyList applies the platform's list of upstreams.
func (st *State) ApplyList(now time.Time, listed event.UpstreamsListed) {
	st.now = now
	changed := st.updateListed(listed)
	changed = st.dropUnlisted(listed) || changed
	if changed {
		st.rebuildServices(listed)
	}
}

// updateListed updates the listed replicas and reports whether any of them is new, restored or changed.
func (st *State) updateListed(listed event.UpstreamsListed) bool {
	changed := false
	for _, up := range listed.Upstreams {
		rep, ok := st.Replicas[up.Name]
		if ok && rep.Upstream == up && !rep.Unlisted {
			continue
		}
		if !ok || rep.Upstream.Address != up.Address || rep.Upstream.Service != up.Service || rep.Upstream.FailureDomain != up.FailureDomain {
			st.retire(rep)
			rep = st.newReplica(up)
		}
		// Leaving is final for a name and address. Otherwise a list that is older than a peer's message would restore the
		// replica.
		up.Leaving = up.Leaving || rep.Upstream.Leaving
		changed = changed || rep.Unlisted || rep.Upstream != up || !ok
		rep.Upstream = up
		rep.Unlisted = false
		st.updateOpenSet(rep)
	}
	return changed
}

func (st *State) newReplica(up event.Upstream) *Replica {
	pl := st.poolOf(up.Service)
	rep := &Replica{Upstream: up, pool: pl, openIndex: -1, Window: pl.initialWindow(), PrefillRate: pl.PrefillRate}
	st.Replicas[up.Name] = rep
	return rep
}

// retire marks a replica as unlisted, because the platform no longer lists it or another one has its name.
func (st *State) retire(rep *Replica) {
	if rep == nil {
		return
	}
	rep.Unlisted = true
	st.updateOpenSet(rep)
}

// MarkLeaving marks the replica as leaving after it, or a peer, has said so, before the platform's list shows it.
func (st *State) MarkLeaving(rep *Replica) {
	if rep.live() {
		rep.pool.liveReplicas--
	}
	rep.Upstream.Leaving = true
	st.updateOpenSet(rep)
}

// Rest applies a rest that the replica has asked this instance for.
func (st *State) Rest(now time.Time, rep *Replica, until time.Time) {
	st.now = now
	rep.rest.Start(now, until)
	if !slices.Contains(st.rested, rep) {
		st.rested = append(st.rested, rep)
	}
	st.updateOpenSet(rep)
}

// RestingUntil returns when the first live replica of the service ends its rest. It reports false if there is none, or if one
// does not rest.
func (st *State) RestingUntil(now time.Time, service string) (first time.Time, resting bool) {
	for _, rep := range st.Services[service] {
		if !rep.live() {
			continue
		}
		if !rep.rest.InForce(now) {
			return time.Time{}, false
		}
		if first.IsZero() || rep.rest.Until.Before(first) {
			first = rep.rest.Until
		}
	}
	return first, !first.IsZero()
}

// updateRested reopens the replicas whose rest has ended, and forgets those that are back.
func (st *State) updateRested() {
	st.rested = slices.DeleteFunc(st.rested, func(rep *Replica) bool {
		st.updateOpenSet(rep)
		return !rep.rest.Open
	})
}

// dropUnlisted retires the replicas that are not listed and reports whether there were any. It removes those that were
// retired longer than unlistedRetention ago and have no attempts in flight.
func (st *State) dropUnlisted(listed event.UpstreamsListed) bool {
	if len(st.Replicas) == len(listed.Upstreams) {
		return false
	}
	named := make(map[string]bool, len(listed.Upstreams))
	for _, up := range listed.Upstreams {
		named[up.Name] = true
	}
	changed := false
	for name, rep := range st.Replicas {
		if named[name] {
			continue
		}
		if !rep.Unlisted {
			changed = true
			rep.unlistedAt = st.now
			st.retire(rep)
		}
		if rep.Running == 0 && st.now.Sub(rep.unlistedAt) > unlistedRetention {
			delete(st.Replicas, name)
		}
	}
	return changed
}

// rebuildServices rebuilds Services and the counts of live replicas from the list.
func (st *State) rebuildServices(listed event.UpstreamsListed) {
	clear(st.Services)
	for _, pl := range st.pools {
		pl.liveReplicas = 0
	}
	for _, up := range listed.Upstreams {
		rep := st.Replicas[up.Name]
		if len(st.Services[up.Service]) == 0 && !slices.Contains(st.serviceOrder, up.Service) {
			st.serviceOrder = append(st.serviceOrder, up.Service)
		}
		st.Services[up.Service] = append(st.Services[up.Service], rep)
		if rep.live() {
			rep.pool.liveReplicas++
		}
	}
	st.unhealthy = slices.DeleteFunc(st.unhealthy, func(rep *Replica) bool { return rep.Unlisted })
}

// Report applies an upstream's load report. The load in it is ignored unless it is newer than the previous one.
func (st *State) Report(now time.Time, ev event.LoadReported) {
	st.now = now
	rep, ok := st.Replicas[ev.Upstream]
	if !ok {
		return
	}
	rep.Role = ev.Role
	rep.Models = ev.Models
	rep.Loading = ev.Loading
	if ev.At.After(rep.ReportAt) {
		rep.applyReport(ev)
		rep.adjustWindow()
		rep.drawSendAllowance()
		st.updateOpenSet(rep)
	}
}

// Serves reports whether a live replica of the service is listed, whether or not it has room.
func (st *State) Serves(service string) bool {
	pl, ok := st.pools[service]
	return ok && pl.liveReplicas > 0
}

// Listed reports whether any replica of the service is listed, live or leaving.
func (st *State) Listed(service string) bool { return len(st.Services[service]) > 0 }

// RecordSent records an attempt that is sent to the replica.
func (st *State) RecordSent(now time.Time, name string, pc *PickCriteria) {
	st.now = now
	rep, ok := st.Replicas[name]
	if !ok {
		return
	}
	cached := int64(0)
	if known, depth := st.prefixes.longest(pc.Prefixes); depth > 0 {
		cached = cachedTokens(now, known, rep, depth)
	}
	prompt := max(0, pc.Prompt-cached)
	before, _ := rep.prefillAhead(now, pc.Level)
	rep.addAttempt(attempt{
		id:               pc.ID,
		sentAt:           now,
		tokens:           pc.Tokens(),
		answer:           pc.Answer,
		prompt:           prompt,
		level:            pc.Level,
		workToFirstToken: before + prompt,
	})
	if pc.HigherClasses > 0 && rep.pool.instances() > 1 {
		rep.sendAllowed = false
	}
	rep.pool.recordSent(pc.Level, prompt)
	st.prefixes.addHint(now, rep, pc.Prefixes)
	rep.rest.Pass(now, uint64(pc.ID), notice.First)
	st.updateOpenSet(rep)
}

// RecordFirstToken records the arrival of the first token of an attempt's answer.
func (st *State) RecordFirstToken(now time.Time, name string, id event.RequestID) {
	rep, ok := st.Replicas[name]
	if !ok {
		return
	}
	i := rep.attemptIndex(id)
	if i < 0 {
		return
	}
	rep.recordFirstToken(now, i)
	rep.learnPrefillRate(rep.attempts[i])
	rep.rest.EndTrial(uint64(id), true)
	st.updateOpenSet(rep)
}

// RecordEnd records the end of an attempt whose answer has the given number of tokens. It reports whether the upstream was
// ejected for it.
func (st *State) RecordEnd(now time.Time, name string, id event.RequestID, tokens int64, result event.Result) bool {
	st.now = now
	rep, ok := st.Replicas[name]
	if !ok {
		return false
	}
	i := rep.attemptIndex(id)
	if i < 0 {
		return false
	}
	at := rep.removeAttempt(i)
	rep.rest.EndTrial(uint64(id), result == event.ResultDone)
	if result == event.ResultDone || result == event.ResultExpired {
		rep.learnStretch(now, at)
	}
	ejected := false
	switch {
	case result == event.ResultDone:
		rep.learnAnswer(now, at, tokens)
		rep.growWindow()
		st.recordSuccess(rep)
	case result == event.ResultNotRun:
		rep.shrinkWindow(now)
	case isUpstreamFailure(result):
		ejected = st.recordFailure(rep)
	}
	st.updateOpenSet(rep)
	return ejected
}

// Package route chooses the upstream of a request from what this instance sent itself and from reports that lag.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// goneMemory is how long a replica that the platform no longer lists is remembered, so that an older list cannot bring
// one back that was leaving.
const goneMemory = 10 * time.Minute

// State is what routing knows of all upstreams.
type State struct {
	// FailureDomain is this instance's own.
	FailureDomain string
	// Replicas holds every listed upstream by name, and for a while those that are Gone.
	Replicas map[string]*Replica
	// Services holds each service's listed replicas in the order of the list.
	Services map[string][]*Replica
	// Policy is how Pick chooses.
	Policy Policy

	now   time.Time
	pools map[string]*pool
	// order holds the names of Services in the order of their first listing.
	order []string
	// live is how many instances share the replicas.
	live int64
	// out holds the replicas that are ejected or on probation.
	out       []*Replica
	nextSlow  time.Time
	slowdowns []float64
	prefixes  prefixIndex
	// turns counts the choices of RoundRobin by service.
	turns  map[string]uint64
	random *rand.Rand
	// candidates is the buffer of one choice.
	candidates []*Replica
}

// New returns the state of an instance in the failure domain; the seed makes its choices repeatable.
func New(failureDomain string, seed uint64) *State {
	return &State{
		FailureDomain: failureDomain,
		Replicas:      map[string]*Replica{},
		Services:      map[string][]*Replica{},
		Policy:        Sail{},
		pools:         map[string]*pool{},
		live:          1,
		prefixes:      newPrefixIndex(),
		turns:         map[string]uint64{},
		random:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// Want is what a request needs of a replica.
type Want struct {
	ID      event.RequestID
	Service string
	// Model is what the caller named, empty for plain services.
	Model string
	// Prompt and Answer are in tokens.
	Prompt int64
	Answer int64
	// Level ranks the request's class from 0, the lowest; Above counts the classes of higher priority.
	Level int
	Above int
	// Queued tells that it found no replica when it arrived.
	Queued bool
	// Repeatable requests may be used to probe replicas that failed.
	Repeatable bool
	// Tried names replicas that failed this request already; they are taken only if nothing else is there.
	Tried []string
	// Prefixes are the hashes of the prompt's leading blocks.
	Prefixes []uint64
}

// Tokens is the memory that the request needs.
func (want *Want) Tokens() int64 { return want.Prompt + want.Answer }

// List takes the platform's list.
func (st *State) List(now time.Time, listed event.UpstreamsListed) {
	st.now = now
	changed := st.takeListed(listed)
	changed = st.dropUnlisted(listed) || changed
	if changed {
		st.regroup(listed)
	}
}

// takeListed updates the replicas and reports whether any joined, moved or began to leave.
func (st *State) takeListed(listed event.UpstreamsListed) bool {
	changed := false
	for _, up := range listed.Upstreams {
		rep, ok := st.Replicas[up.Name]
		if ok && rep.Upstream == up && !rep.Gone {
			continue
		}
		if !ok || rep.Upstream.Address != up.Address || rep.Upstream.Service != up.Service || rep.Upstream.FailureDomain != up.FailureDomain {
			st.retire(rep)
			rep = st.newReplica(up)
		}
		// Leaving is final for a name and address: a list older than another's word must not bring it back.
		up.Leaving = up.Leaving || rep.Upstream.Leaving
		changed = changed || rep.Gone || rep.Upstream != up || !ok
		rep.Upstream = up
		rep.Gone = false
		st.settle(rep)
	}
	return changed
}

func (st *State) newReplica(up event.Upstream) *Replica {
	pl := st.poolOf(up.Service)
	rep := &Replica{Upstream: up, pool: pl, place: -1, Window: pl.firstWindow(), PrefillRate: pl.Prefill}
	st.Replicas[up.Name] = rep
	return rep
}

// retire takes a replica out of use for good, as another one has its name.
func (st *State) retire(rep *Replica) {
	if rep == nil {
		return
	}
	rep.Gone = true
	st.settle(rep)
}

// Leave takes another's word that the replica is leaving, ahead of the list.
func (st *State) Leave(rep *Replica) {
	rep.Upstream.Leaving = true
	st.settle(rep)
}

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
		if !rep.Gone {
			changed = true
			rep.goneAt = st.now
			st.retire(rep)
		}
		if rep.Running == 0 && st.now.Sub(rep.goneAt) > goneMemory {
			delete(st.Replicas, name)
		}
	}
	return changed
}

func (st *State) regroup(listed event.UpstreamsListed) {
	clear(st.Services)
	for _, pl := range st.pools {
		pl.live = 0
	}
	for _, up := range listed.Upstreams {
		rep := st.Replicas[up.Name]
		if len(st.Services[up.Service]) == 0 && !slices.Contains(st.order, up.Service) {
			st.order = append(st.order, up.Service)
		}
		st.Services[up.Service] = append(st.Services[up.Service], rep)
		if rep.live() {
			rep.pool.live++
		}
	}
	st.out = slices.DeleteFunc(st.out, func(rep *Replica) bool { return rep.Gone })
}

// Report takes an upstream's load report.
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
		rep.report(ev)
		rep.reported()
		rep.claim()
		st.settle(rep)
	}
}

// Serves reports whether any live replica of the service is listed, with room or without.
func (st *State) Serves(service string) bool {
	pl, ok := st.pools[service]
	return ok && pl.live > 0
}

// Sent counts an attempt that starts at the replica.
func (st *State) Sent(now time.Time, name string, want *Want) {
	st.now = now
	rep, ok := st.Replicas[name]
	if !ok {
		return
	}
	cached := int64(0)
	if known, depth := st.prefixes.longest(want.Prefixes); depth > 0 {
		cached = cachedAt(now, known, rep, depth)
	}
	prompt := max(0, want.Prompt-cached)
	before, _ := rep.ahead(now, want.Level)
	rep.start(attempt{
		id:     want.ID,
		at:     now,
		tokens: want.Tokens(),
		answer: want.Answer,
		prompt: prompt,
		level:  want.Level,
		ahead:  before + prompt,
	})
	if want.Above > 0 && rep.pool.instances() > 1 {
		rep.claimed = false
	}
	rep.pool.sent(want.Level, prompt)
	st.prefixes.hint(now, rep, want.Prefixes)
	st.settle(rep)
}

// Answering notes the first token of an attempt's answer.
func (st *State) Answering(now time.Time, name string, id event.RequestID) {
	rep, ok := st.Replicas[name]
	if !ok {
		return
	}
	i := rep.find(id)
	if i < 0 {
		return
	}
	rep.answering(now, i)
	rep.learnFirst(rep.attempts[i])
}

// Ended counts an attempt that ended with so many tokens of answer; it returns whether the upstream was ejected by it.
func (st *State) Ended(now time.Time, name string, id event.RequestID, tokens int64, result event.Result) bool {
	st.now = now
	rep, ok := st.Replicas[name]
	if !ok {
		return false
	}
	i := rep.find(id)
	if i < 0 {
		return false
	}
	at := rep.end(i)
	if result == event.ResultDone || result == event.ResultExpired {
		rep.learnStretch(now, at)
	}
	out := false
	switch {
	case result == event.ResultDone:
		rep.learnWhole(now, at, tokens)
		rep.answered()
		st.succeeded(rep)
	case result == event.ResultNotRun:
		rep.refused(now)
	case failure(result):
		out = st.failed(rep)
	}
	st.settle(rep)
	return out
}

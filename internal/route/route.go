// Package route chooses the upstream of a request from what this instance sent itself and from reports that lag.
package route

import (
	"math/rand/v2"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Ejection of upstreams that keep failing.
const (
	// failuresToEject is how many attempts in a row must fail.
	failuresToEject = 3
	// ejection is how long an upstream stays out; it doubles with each time in a row up to maxEjection.
	ejection    = 2 * time.Second
	maxEjection = time.Minute
	// maxEjectedShare bounds the part of a service's replicas that may be out at once, so that a fault common to all
	// never empties the pool.
	maxEjectedShare = 0.34
)

// Replica is what is known of one upstream.
type Replica struct {
	Upstream event.Upstream
	// Running and Tokens are what this instance has in flight there.
	Running int64
	Tokens  int64
	// Report is the last load report, measured at ReportAt.
	Report   event.Load
	ReportAt time.Time
	// SentSince is the work dispatched here after ReportAt, which the report cannot show yet.
	SentSince int64
	Role      string
	Models    []string
	Loading   []string
	// Failures counts attempts that failed in a row.
	Failures int
	// Ejections counts how often in a row it was ejected; EjectedUntil is when the last one ends.
	Ejections    int
	EjectedUntil time.Time
}

// State is what routing knows of all upstreams.
type State struct {
	// FailureDomain is this instance's own.
	FailureDomain string
	// Replicas holds every listed upstream by name.
	Replicas map[string]*Replica
	// Services holds the names of each service's replicas in the order of the list.
	Services map[string][]*Replica
	// Policy is how Pick chooses.
	Policy Policy
	// turns counts the choices of RoundRobin by service.
	turns  map[string]uint64
	random *rand.Rand
}

// New returns the state of an instance in the failure domain; the seed makes its choices repeatable.
func New(failureDomain string, seed uint64) *State {
	return &State{
		FailureDomain: failureDomain,
		Replicas:      map[string]*Replica{},
		Services:      map[string][]*Replica{},
		Policy:        Sail{},
		turns:         map[string]uint64{},
		random:        rand.New(rand.NewPCG(seed, seed)),
	}
}

// Want is what a request needs of a replica.
type Want struct {
	Service string
	// Tokens is the prompt and answer together.
	Tokens int64
	// MaxRunning bounds what this instance runs on one replica.
	MaxRunning int64
	// Tried names replicas that failed this request already; they are taken only if nothing else is there.
	Tried []string
	// Prefixes are the hashes of the prompt's leading blocks.
	Prefixes []uint64
}

// List takes the platform's list. Replicas that are gone are forgotten.
func (st *State) List(listed event.UpstreamsListed) {
	known := st.Replicas
	st.Replicas = make(map[string]*Replica, len(listed.Upstreams))
	st.Services = map[string][]*Replica{}
	for _, up := range listed.Upstreams {
		rep, ok := known[up.Name]
		if !ok || rep.Upstream.Address != up.Address {
			rep = &Replica{}
		}
		// Leaving is final for a name and address: a list older than another's word must not bring it back.
		up.Leaving = up.Leaving || rep.Upstream.Leaving
		rep.Upstream = up
		st.Replicas[up.Name] = rep
		st.Services[up.Service] = append(st.Services[up.Service], rep)
	}
}

// Report takes an upstream's load report.
func (st *State) Report(ev event.LoadReported) {
	rep, ok := st.Replicas[ev.Upstream]
	if !ok {
		return
	}
	if ev.At.After(rep.ReportAt) {
		rep.Report = ev.Load
		rep.ReportAt = ev.At
		rep.SentSince = 0
	}
	rep.Role = ev.Role
	rep.Models = ev.Models
	rep.Loading = ev.Loading
}

// Pick returns a replica with room for the request, or nil. Sail takes replicas of the own failure domain before
// others; the baselines take no notice of it.
func (st *State) Pick(now time.Time, want Want) *Replica {
	near, far := st.candidates(now, want, false)
	if len(near)+len(far) == 0 {
		near, far = st.candidates(now, want, true)
	}
	switch st.Policy.(type) {
	case RoundRobin:
		return st.inTurn(want.Service, append(near, far...))
	case LeastRequests:
		return st.leastRequests(append(near, far...))
	}
	if rep := st.twoChoices(near); rep != nil {
		return rep
	}
	return st.twoChoices(far)
}

// Serves reports whether any live replica of the service is listed, with room or without.
func (st *State) Serves(service string) bool {
	for _, rep := range st.Services[service] {
		if !rep.Upstream.Leaving {
			return true
		}
	}
	return false
}

func (st *State) candidates(now time.Time, want Want, again bool) (near, far []*Replica) {
	for _, rep := range st.Services[want.Service] {
		if !rep.open(now, want, again) {
			continue
		}
		if rep.Upstream.FailureDomain == st.FailureDomain {
			near = append(near, rep)
		} else {
			far = append(far, rep)
		}
	}
	return near, far
}

func (rep *Replica) open(now time.Time, want Want, again bool) bool {
	if rep.Upstream.Leaving || now.Before(rep.EjectedUntil) || rep.Running >= want.MaxRunning {
		return false
	}
	if again {
		return true
	}
	for _, name := range want.Tried {
		if name == rep.Upstream.Name {
			return false
		}
	}
	return true
}

// twoChoices draws two replicas and takes the one with less work, which is close to the best of all without every
// instance running to the same one.
func (st *State) twoChoices(reps []*Replica) *Replica {
	if len(reps) == 0 {
		return nil
	}
	one := reps[st.random.IntN(len(reps))]
	two := reps[st.random.IntN(len(reps))]
	if two.work() < one.work() {
		return two
	}
	return one
}

// work estimates the tokens ahead of a new request.
func (rep *Replica) work() int64 {
	return rep.Report.QueuedTokens + rep.SentSince + rep.Tokens
}

// Sent counts an attempt that starts.
func (st *State) Sent(name string, tokens int64) {
	rep, ok := st.Replicas[name]
	if !ok {
		return
	}
	rep.Running++
	rep.Tokens += tokens
	rep.SentSince += tokens
}

// Ended counts an attempt that ended; it returns whether the upstream was ejected by it.
func (st *State) Ended(now time.Time, name string, tokens int64, result event.Result) bool {
	rep, ok := st.Replicas[name]
	if !ok {
		return false
	}
	rep.Running = max(0, rep.Running-1)
	rep.Tokens = max(0, rep.Tokens-tokens)
	switch result {
	case event.ResultDone:
		rep.Failures = 0
		rep.Ejections = 0
	case event.ResultNotSent, event.ResultFailed, event.ResultBroken, event.ResultSilent:
		rep.Failures++
		return rep.Failures >= failuresToEject && st.eject(now, rep)
	}
	return false
}

func (st *State) eject(now time.Time, rep *Replica) bool {
	pool := st.Services[rep.Upstream.Service]
	out := 1
	for _, other := range pool {
		if other != rep && now.Before(other.EjectedUntil) {
			out++
		}
	}
	if float64(out) > maxEjectedShare*float64(len(pool)) {
		return false
	}
	rep.EjectedUntil = now.Add(min(ejection<<rep.Ejections, maxEjection))
	rep.Ejections = min(rep.Ejections+1, 6)
	rep.Failures = 0
	return true
}

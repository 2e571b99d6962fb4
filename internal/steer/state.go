package steer

import (
	"math/rand/v2"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Options fix what an instance is.
type Options struct {
	Name          string
	FailureDomain string
	// Run tells this run of the instance apart from earlier ones.
	Run int64
	// Seed makes random choices repeatable.
	Seed uint64
	// Budget bounds what is sent more than once.
	Budget Budget
	// MissingTime is how long a replica that is missing from the list may still be used where the list itself was out of
	// reach.
	MissingTime time.Duration
	// Tuning weighs one choice against another; the zero value stands for DefaultTuning.
	Tuning Tuning
}

// State is everything an instance decides from. It belongs to one goroutine at a time.
type State struct {
	Options Options
	tune    Tuning
	// Routing is the version in force, nil before the first.
	Routing *decl.Routing

	now time.Time
	// startedAt is when the first event came.
	startedAt time.Time
	services  map[string]*service
	replicas  map[string]*replica
	requests  map[RequestID]*request
	// waiting holds what has no replica yet, in the order of arrival, claims what waits for others to object.
	waiting []*request
	claims  []*request
	peers   map[string]*peer
	// others are the other instances by name, names only those, live is how many there are with this one. usersOf holds the
	// names of those that use a subset.
	others  []Instance
	names   []string
	live    int
	usersOf map[subset][]string
	// outbox holds what is gathered for the users of a subset; postAt is when the shell was last asked to wake the reducer for
	// it.
	outbox map[subset]*pending
	postAt time.Time
	// allowance is how many messages may go out at once.
	allowance allowance
	// summaries counts the summaries that were asked for.
	summaries int
	budgets   map[string]*ledger
	poison    poison
	// means holds the mean prompt of each route.
	means map[string]float64
	// given holds the longest time that callers of each route said they have.
	given map[string]time.Duration
	// missing holds when the replicas are taken as gone that an incomplete list left out.
	missing map[string]time.Time
	// silent holds when an instance last failed to answer an ask.
	silent map[string]time.Time
	// wakeAt is when the shell was last asked to wake the reducer.
	wakeAt time.Time
	// surveyAt is when engines are asked for their load, zero before the first list; done tells that they were or need
	// not be.
	surveyAt   time.Time
	surveyDone bool
	// drain is nil until the instance is asked to stop.
	drain *Draining
	// demand is what callers asked of the engines here, othersDemand what they asked of the other instances as of the last
	// summary.
	demand       demandMeter
	othersDemand Demand
	random       *rand.Rand
	effects      []Effect
}

// service is one pool of replicas.
type service struct {
	name     string
	engine   *decl.Engine
	replicas []*replica
	// layout is how the replicas are split into subsets, candidates are those of this instance's; nil if they are to be found.
	layout     *layout
	candidates []*replica
	// backAt is the turn of the last caller that was asked to come back for the sake of the replicas' rate limits.
	backAt time.Time
}

// request is one request's life.
type request struct {
	Arrived
	service string
	at      time.Time
	goal    time.Time
	gap     time.Duration
	// value is what the answer is worth if it is in time.
	value float64
	// returned tells that the caller was here before.
	returned bool
	// late tells that its goal is past or out of reach; aim and worth are the goal and the value that it had.
	late  bool
	aim   time.Time
	worth float64
	// attempt counts from 1, 0 before the first; running tells that one is under way on reps.
	attempt int
	running bool
	// claims tells that it has a claim on reps and waits for others to object; job names the claim or the attempt, and
	// jobs counts both.
	claims  bool
	job     JobID
	jobs    JobID
	plan    plan
	reps    []*replica
	tickets []int64
	sentAt  time.Time
	// runs counts the attempts that may have run.
	runs  int
	tried []string
	begun bool
	// firstAt is when the answer began, pause its longest pause, which ended at pauseAt.
	firstAt time.Time
	pause   time.Duration
	pauseAt time.Time
	gone    bool
	aborted bool
	// answered tells that a replica's failure is at hand to be delivered.
	answered bool
	// waitsFrom is when it began to wait for a place, at first or after an attempt that failed.
	waitsFrom time.Time
	// notBefore keeps it waiting after a refusal.
	notBefore time.Time
	// ask is its wish for a send to a limited replica, barred holds until when it leaves some of them alone.
	ask    ask
	barred map[string]time.Time
}

// New returns the state of an instance that has seen nothing yet.
func New(opts Options) *State {
	if opts.Tuning == (Tuning{}) {
		opts.Tuning = DefaultTuning()
	}
	return &State{
		Options:  opts,
		tune:     opts.Tuning,
		services: map[string]*service{},
		replicas: map[string]*replica{},
		requests: map[RequestID]*request{},
		peers:    map[string]*peer{},
		live:     1,
		budgets:  map[string]*ledger{},
		poison:   newPoison(),
		missing:  map[string]time.Time{},
		silent:   map[string]time.Time{},
		usersOf:  map[subset][]string{},
		outbox:   map[subset]*pending{},
		means:    map[string]float64{},
		given:    map[string]time.Duration{},
		random:   rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
}

// Reduce takes one event and returns what is to be done. The slice is valid until the next call.
func (st *State) Reduce(now time.Time, ev Event) []Effect {
	st.now = now
	if st.startedAt.IsZero() {
		st.startedAt = now
	}
	st.effects = st.effects[:0]
	switch ev := ev.(type) {
	case Arrived:
		st.arrived(ev)
	case CallerGone:
		st.callerGone(ev)
	case Began:
		st.began(ev)
	case Progressed:
		st.progressed(ev)
	case AttemptEnded:
		st.attemptEnded(ev)
	case Listed:
		st.listed(ev)
	case Relisted:
		st.relisted(ev)
	case Configured:
		st.configured(ev)
	case Peered:
		st.peered(ev)
	case Heard:
		st.heard(ev.Note)
	case Surveyed:
		st.surveyed(ev)
	case Answered:
		st.answered(ev)
	case Draining:
		st.drain = &ev
	case Summarized:
		st.summarize()
	case Ticked:
		st.settle()
		st.survey()
		st.expire()
		st.stop()
		st.forget()
		st.dispatch()
	}
	st.stayAwake()
	st.post()
	return st.effects
}

// stayAwake asks to be woken while anything waits: what a waiting request needs may come free at any moment, and the
// shell's own ticks are far apart, since most of the time nothing waits.
func (st *State) stayAwake() {
	if len(st.waiting) == 0 || st.now.Before(st.wakeAt) {
		return
	}
	st.wakeAt = st.now.Add(wakePeriod)
	st.emit(Wake{After: wakePeriod})
}

// wakePeriod is how often what waits is looked at: a tenth of the time that the shortest prompts have to wait at the most.
const wakePeriod = 10 * time.Millisecond

// Waiting reports how many requests wait for a replica.
func (st *State) Waiting() int { return len(st.waiting) }

// Open reports how many requests have had no Finish.
func (st *State) Open() int { return len(st.requests) }

// Usable reports whether any replica may get new work.
func (st *State) Usable() bool {
	for _, rep := range st.replicas {
		if !rep.gone && !rep.Leaving {
			return true
		}
	}
	return false
}

// Lists reports whether the replica is registered.
func (st *State) Lists(name string) bool {
	rep, ok := st.replicas[name]
	return ok && !rep.gone
}

func (st *State) emit(eff Effect) { st.effects = append(st.effects, eff) }

func (st *State) configured(ev Configured) {
	if st.Routing != nil && ev.Routing.Version <= st.Routing.Version {
		return
	}
	st.Routing = ev.Routing
	for name, pool := range ev.Routing.Services {
		svc := st.serviceOf(name)
		svc.engine = pool.Engine
		svc.relayout()
	}
	st.dispatch()
}

func (st *State) serviceOf(name string) *service {
	svc, ok := st.services[name]
	if !ok {
		svc = &service{name: name}
		if st.Routing != nil {
			svc.engine = st.Routing.Services[name].Engine
		}
		st.services[name] = svc
	}
	return svc
}

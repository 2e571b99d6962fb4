package steer

import (
	"math/rand/v2"
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/paths"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Options configures one instance.
type Options struct {
	// Name identifies the instance towards the others.
	Name          string
	FailureDomain string
	// Run identifies this process lifetime, so that peers discard what earlier runs of the same name announced.
	Run int64
	// Seed seeds the random choices, so that a run can be reproduced.
	Seed uint64
	// Budget bounds the repeated attempts of all instances together.
	Budget budget.Rule
	// ListLag is the time within which a change of the list of instances reaches an instance that can reach the list's store; zero
	// stands for defaultListLag.
	ListLag time.Duration
	// MissingTime is how long a replica stays in use if it is missing from a list that was obtained after an outage of
	// the list's store.
	MissingTime time.Duration
	// Tuning holds the weights of the placement policy; the zero value stands for DefaultTuning.
	Tuning Tuning
}

// State is the whole state of an instance's reducer. It is not safe for concurrent use.
type State struct {
	Options Options
	tune    Tuning
	// Routing is the configuration version in force, nil before the first one arrives.
	Routing *decl.Routing

	now time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
	services  map[string]*service
	replicas  map[string]*replica
	requests  map[RequestID]*request
	// waiting holds the requests that have no replica yet; dispatch sorts them by urgency.
	waiting []*request
	// claims holds the requests whose claim on a slot other instances may still contest.
	claims []*request
	// peers holds, by name, what the notes of each other instance have reported.
	peers map[string]*peer
	// fleet is what is known of the other instances' paths.
	fleet paths.Fleet
	// statedLostPaths names the services to which this instance has stated that it has lost its path.
	statedLostPaths []string
	// others lists the other live instances, sorted by name.
	others []Instance
	// otherNames lists the names of others, in the same order.
	otherNames []string
	// live counts the live instances, this one included.
	live int
	// generation counts the changes of the instances, the list of replicas and the configuration.
	generation int
	// idleAddresses holds the addresses of replicas to which this instance has an idle connection.
	idleAddresses map[string]bool
	// usersOf caches the names of the other instances that use a subset.
	usersOf map[subset][]string
	// outbox holds the note that is being batched for the users of each subset.
	outbox map[subset]*pending
	// flushAt is the time of the wake-up that was last requested to flush the outbox.
	flushAt time.Time
	// allowance is the token bucket for messages to other instances.
	allowance allowance
	// summaries counts the Summarized events.
	summaries int
	// allowances holds what this instance may use of the repeat budget, by service.
	allowances map[string]*budget.Allowance
	// division determines this instance's part of the slack of the repeat budgets.
	division budget.Division
	// deaths counts replica deaths by request content.
	deaths *deaths.Table[Digest]
	// causes finds what requests that crash replicas have in common.
	causes *cause.Table
	// heldCauses holds the causes for which requests are refused, by key, as they were logged.
	heldCauses map[uint64]*heldCause
	// ownDeaths holds the IDs of the deaths in causes that this instance observed.
	ownDeaths map[uint64]bool
	// deathsSeen is the number of deaths that this instance has observed.
	deathsSeen int
	// standstills counts how often the instance has stood still.
	standstills int
	// catchUpUntil is until when requests wait for the deaths that others know, after the instance has stood still.
	catchUpUntil time.Time
	// meanPrompts holds the moving average of the prompt length in tokens, by route.
	meanPrompts map[string]float64
	// longestTimeouts holds the longest timeout that any caller has stated, by route.
	longestTimeouts map[string]time.Duration
	// missing holds, by replica name, from when on a replica that a possibly incomplete list left out is treated as gone.
	missing map[string]time.Time
	// evacuations holds the failure domains that the operators have evacuated.
	evacuations evacuations
	// heldBack holds, by replica name, the entries of replicas that were gone before the list's store returned from a copy.
	heldBack map[string]heldEntry
	// listRead reports whether the list of replicas was read.
	listRead bool
	// coldEndsAt is the earliest end of a replica's cold state, zero if none is cold.
	coldEndsAt time.Time
	// lastUnanswered holds, by instance name, when an instance last failed to answer a GrantRequest.
	lastUnanswered map[string]time.Time
	// wakeAt is the time of the wake-up that was last requested for the waiting requests.
	wakeAt time.Time
	// loadQueryAt is when the engines are queried for their load, zero before the first replica list.
	loadQueryAt time.Time
	// loadQueryDone reports whether the engines were queried or need not be.
	loadQueryDone bool
	// drain is nil until the instance is asked to shut down.
	drain *Draining
	// demand measures what callers request from the engines through this instance.
	demand demandMeter
	// peerDemand is the sum of what the other instances announced, as of this instance's last summary.
	peerDemand Demand
	// shares holds what organisations asked and used of each service.
	shares map[string]*serviceShares
	// lastNoteAt is when the newest note of any instance arrived.
	lastNoteAt time.Time
	// dividesShares reports whether the configuration has several organisations or urgencies, so that shares count.
	dividesShares bool
	// workLostAt is when much work of a restarted instance was last forgotten, so that its replicas seem idle, see noteLostWork.
	workLostAt time.Time
	// usesChanged reports whether other instances announced uses that are not in the sums yet.
	usesChanged bool
	// usesSummedAt is when the sums of the other instances' uses were last computed.
	usesSummedAt time.Time
	random       *rand.Rand
	effects      []Effect
}

// service is the pool of replicas of one service.
type service struct {
	name string
	// engine is the declared performance of the replicas, nil for a plain service.
	engine   *decl.Engine
	replicas []*replica
	// layout is how the replicas are split into subsets, nil until it is computed.
	layout *layout
	// used caches the replicas outside evacuated failure domains, nil until they are computed.
	used []*replica
	// candidates caches the replicas of the subset that this instance uses, nil until they are computed.
	candidates []*replica
	// path is this instance's path to the replicas.
	path paths.Path
	// domainsKnown reports whether path knows the failure domains of the replicas.
	domainsKnown bool
	// downDomains names the failure domains that count as down, sorted.
	downDomains []string
	// noLossLoggedAt is when it was last logged why failures are not put down to the path.
	noLossLoggedAt time.Time
	// lostByAll reports whether the path is lost and those of all other instances are, as far as known.
	lostByAll bool
	// slowStart is what the replicas accept while they are cold.
	slowStart decl.SlowStart
	// warmedAt is when the cold state of one of the replicas last ended.
	warmedAt time.Time
	// nextRetryAt is the earliest retry time for the next caller that is refused because of the replicas' rate limits.
	nextRetryAt time.Time
}

// request is the state of one request from its arrival to its Finish.
type request struct {
	Arrived
	service string
	// at is the time of arrival.
	at time.Time
	// goal is when the answer should begin. For a late request it is LeavesAt instead, see markLate.
	goal time.Time
	// gap is the longest pause of a stream, as the route promises it.
	gap time.Duration
	// value is the utility of an answer that is in time; for a late request, of an answer at all.
	value float64
	// triedBefore reports whether the caller seems to have tried before, see detectRetry.
	triedBefore bool
	// late reports whether the original goal has passed or is out of reach, see markLate.
	late bool
	// originalGoal is the original goal of a late request.
	originalGoal time.Time
	// originalValue is the original value of a late request.
	originalValue float64
	// attempt is the number of the current or last attempt, 0 before the first.
	attempt int
	// heldBack counts the attempts of which nothing was sent, since a Verdict held them back.
	heldBack int
	// running reports whether an attempt is in progress on reps.
	running bool
	// claiming reports whether the request holds a claim on reps that other instances may still contest.
	claiming bool
	// slot is the engine's slot for which the request has asked, with an empty granter if there is none.
	slot pendingSlot
	// slotRefusals counts the engines at which the request was refused a slot since it began to wait.
	slotRefusals int
	// job identifies the current grant request, claim or attempt.
	job JobID
	// jobs counts the jobs of the request so far.
	jobs JobID
	plan plan
	// reps holds the replicas of the current or last job: at index 0 the one that answers, then the helpers.
	reps []*replica
	// reservations holds how many tokens of memory each helper reserves.
	reservations []int64
	// sentAt is when the current job was booked.
	sentAt time.Time
	// runs counts the attempts that may have run.
	runs int
	// arrived reports whether an attempt may have arrived at a replica, so that the next one is a repeat.
	arrived bool
	// charged reports whether the budget was charged for an attempt that has not certainly arrived yet.
	charged bool
	// overBudget reports whether the running attempt was held back since the budget does not allow it any more.
	overBudget bool
	// tried names the replicas at which an attempt failed.
	tried []string
	// begun reports whether the answer has begun in any attempt.
	begun bool
	// ended is why the last attempt in which the answer was under way ended.
	ended cutoff.Proof
	// firstAt is when the answer began.
	firstAt time.Time
	// attemptBeganAt is when the current attempt's answer began, zero before.
	attemptBeganAt time.Time
	// events counts the events of the current attempt's answer.
	events int
	// proven reports whether that answer has gone on for so long that it does not crash the replica, see proveParts.
	proven bool
	// diedAt is when an attempt last died with its replica, zero if none has.
	diedAt time.Time
	// trial reports whether the request is sent although a cause of crashes is held against it, to find out whether that is wrong.
	trial bool
	// progressedAt is when the current attempt's last event arrived, zero before the first.
	progressedAt time.Time
	// lastEventAt is when the answer's last event arrived in any attempt, zero before the first.
	lastEventAt time.Time
	// pause is the longest pause of the answer so far.
	pause time.Duration
	// pauseAt is when the longest pause ended.
	pauseAt time.Time
	// disconnected reports whether the caller closed its connection during an attempt.
	disconnected bool
	// aborted reports whether an Abort was emitted for the running attempt.
	aborted bool
	// resumes reports whether another run was granted in place of the running attempt, see fellSilent. Its repeat is charged already.
	resumes bool
	// afterSilence reports whether the last attempt was given up for the silence of its replica.
	afterSilence bool
	// silent reports whether the replica of the running attempt was recorded as silent since its last event.
	silent bool
	// failureHeld reports whether the shell, which carries out the effects, holds a replica's error answer that can be
	// delivered.
	failureHeld bool
	// waitingSince is when the request last began to wait for a replica: on arrival or after a failed attempt.
	waitingSince time.Time
	// notBefore is the earliest time of the next attempt after a replica refused the request or its claim was withdrawn.
	notBefore time.Time
	// grant is the requested or granted send to a rate-limited replica. Its rep is nil if there is none.
	grant pendingGrant
	// yields is why the request gives way to others, see rankShare.
	yields yieldReason
	// yieldLogged reports whether it was logged that the request gives way to others.
	yieldLogged bool
	// used is how many times its share the organisation of a request with yieldsToShares uses.
	used float64
	// decided reports whether the request was counted as sent or refused, see recordDecided.
	decided bool
	// avoidUntil holds, by replica name, until when the request skips a rate-limited replica.
	avoidUntil map[string]time.Time
}

// New returns the state of an instance that has seen no event yet.
func New(opts Options) *State {
	if opts.Tuning == (Tuning{}) {
		opts.Tuning = DefaultTuning()
	}
	if opts.ListLag == 0 {
		opts.ListLag = defaultListLag
	}
	st := &State{
		Options:         opts,
		tune:            opts.Tuning,
		services:        map[string]*service{},
		replicas:        map[string]*replica{},
		requests:        map[RequestID]*request{},
		peers:           map[string]*peer{},
		live:            1,
		allowances:      map[string]*budget.Allowance{},
		division:        budget.Division{Window: opts.Budget.Window, Lag: opts.ListLag},
		deaths:          newDeaths(),
		causes:          cause.New(causeRules),
		heldCauses:      map[uint64]*heldCause{},
		ownDeaths:       map[uint64]bool{},
		missing:         map[string]time.Time{},
		heldBack:        map[string]heldEntry{},
		lastUnanswered:  map[string]time.Time{},
		usersOf:         map[subset][]string{},
		idleAddresses:   map[string]bool{},
		generation:      1,
		outbox:          map[subset]*pending{},
		shares:          map[string]*serviceShares{},
		meanPrompts:     map[string]float64{},
		longestTimeouts: map[string]time.Duration{},
		random:          rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	st.deaths.Excused = func(death deaths.Death) bool { return st.causes.Explains(st.now, death.Upstream, death.At) }
	return st
}

// Reduce applies one event and returns the effects to carry out. The slice is valid until the next call.
func (st *State) Reduce(now time.Time, ev Event) []Effect {
	st.now = now
	if st.startedAt.IsZero() {
		st.startedAt = now
	}
	st.effects = st.effects[:0]
	st.endCold()
	switch ev := ev.(type) {
	case Arrived:
		st.arrived(ev)
	case CallerGone:
		st.callerGone(ev)
	case Began:
		st.began(ev)
	case Progressed:
		st.progressed(ev)
	case FellSilent:
		st.fellSilent(ev)
	case AttemptEnded:
		st.attemptEnded(ev)
	case Listed:
		st.listed(ev)
	case ListChanged:
		st.listChanged(ev)
	case Configured:
		st.configured(ev)
	case Peered:
		st.updateOthers(ev)
	case ListConfirmed:
		st.division.Confirm(st.now, ev.Age)
	case NoteReceived:
		st.receiveNote(ev.Note)
	case LoadReported:
		st.loadReported(ev)
	case ResponseReceived:
		st.responseReceived(ev)
	case Sending:
		st.sending(ev)
	case PathObserved:
		st.pathObserved(ev)
	case DetourFailed:
		st.detourFailed(ev)
	case IdleConnections:
		st.idleConnections(ev)
	case Evacuated:
		st.evacuate(ev)
	case StoodStill:
		st.stoodStill(ev)
	case DeathsReceived:
		st.deathsReceived(ev)
	case CauseRead:
		st.causeRead(ev)
	case Draining:
		st.drain = &ev
	case Summarized:
		st.summarize()
		st.repeatCleared()
	case Ticked:
		st.resolveClaims()
		st.queryLoad()
		st.expire()
		st.abortAtStop()
		st.dropExpired()
		st.probeLostPaths()
		st.reviewAllOutages()
		st.dispatch()
	}
	st.reviewCauses()
	st.scheduleWake()
	st.flushOutbox()
	return st.effects
}

// scheduleWake requests a wake-up while any request waits. The capacity that a request needs may become free at any moment,
// and the shell's own ticks are far apart because most of the time nothing waits.
func (st *State) scheduleWake() {
	if len(st.waiting) == 0 || st.now.Before(st.wakeAt) {
		return
	}
	st.wakeAt = st.now.Add(wakePeriod)
	st.emit(Wake{After: wakePeriod})
}

// wakePeriod is the interval at which waiting requests are dispatched: a tenth of the longest time for which the shortest
// prompts have to wait.
const wakePeriod = 10 * time.Millisecond

// Waiting reports how many requests wait for a replica.
func (st *State) Waiting() int { return len(st.waiting) }

// Open reports how many requests have not had their Finish yet.
func (st *State) Open() int { return len(st.requests) }

// Usable reports whether any replica is registered and not leaving.
func (st *State) Usable() bool {
	for _, rep := range st.replicas {
		if !rep.gone && !rep.Leaving {
			return true
		}
	}
	return false
}

// IsRegistered reports whether the named replica is registered.
func (st *State) IsRegistered(name string) bool {
	rep, ok := st.replicas[name]
	return ok && !rep.gone
}

func (st *State) emit(eff Effect) { st.effects = append(st.effects, eff) }

func (st *State) configured(ev Configured) {
	if st.Routing != nil && ev.Routing.Version <= st.Routing.Version {
		return
	}
	st.Routing = ev.Routing
	st.generation++
	st.dividesShares = dividesShares(ev.Routing)
	for name, pool := range ev.Routing.Services {
		svc := st.serviceOf(name)
		svc.engine = pool.Engine
		svc.slowStart = usableSlowStart(pool.SlowStart)
		svc.resetLayout()
	}
	st.reviewAllCold()
	st.dispatch()
}

func (st *State) serviceOf(name string) *service {
	svc, ok := st.services[name]
	if !ok {
		svc = &service{name: name}
		if st.Routing != nil {
			svc.engine = st.Routing.Services[name].Engine
			svc.slowStart = usableSlowStart(st.Routing.Services[name].SlowStart)
		}
		st.services[name] = svc
	}
	return svc
}

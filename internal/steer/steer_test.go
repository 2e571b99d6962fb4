package steer_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The routes of the tests: streams with the goals of short and long prompts, and plain calls.
var (
	short = decl.Route{
		Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Repeats: decl.RetryResumed, Stream: true,
		Timeout: seconds(10), Goal: decl.Duration(300 * time.Millisecond), Gap: decl.Duration(250 * time.Millisecond), Attempts: 2,
	}
	long = decl.Route{
		Name: "long", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Repeats: decl.RetryResumed, Stream: true,
		Timeout: seconds(15), Goal: seconds(3), Gap: seconds(1), Attempts: 2,
	}
	update = decl.Route{
		Name: "update", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RetryNone,
		Timeout: seconds(2), Goal: decl.Duration(300 * time.Millisecond), Attempts: 1,
	}
	lookup = decl.Route{
		Name: "lookup", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RetryAny,
		Timeout: seconds(2), Goal: decl.Duration(300 * time.Millisecond), Attempts: 2,
	}
)

func seconds(count float64) decl.Duration { return decl.Duration(count * float64(time.Second)) }

var figures = decl.Engine{
	Slots: 16, Memory: 315_000, Step: 0.85, PerWriter: 0.00425, PerContext: 0.00285, ReadRate: 177, PairCost: 0.184,
	Chunk: 2048, Stride: 51, Helpers: 16,
}

// instance drives one reducer with a simulated clock.
type instance struct {
	t    *testing.T
	st   *steer.State
	now  time.Time
	next steer.RequestID
}

func newInstance(t *testing.T, name string, engines int) *instance {
	in := &instance{t: t, now: start.Add(-warmUp), st: steer.New(steer.Options{
		Name: name, FailureDomain: "a", Run: 1, Seed: 1, MissingTime: 2 * time.Second,
		Budget: budget.Rule{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})}
	in.reduce(steer.Peered{Listed: true})
	in.reduce(steer.ListConfirmed{})
	in.now = start
	in.reduce(steer.ListConfirmed{})
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}, "board": {}}}})
	in.reduce(steer.Listed{Replicas: replicas(engines)})
	return in
}

// warmUp is how long a new instance has no part of the budget of repeats.
const warmUp = 12 * time.Second

// replicas returns the given number of engines and two plain replicas.
func replicas(engines int) []steer.Replica {
	var list []steer.Replica
	for i := range engines {
		list = append(list, steer.Replica{Name: "lyric-" + strconv.Itoa(i), Born: 1, Service: "lyric", Address: "a" + strconv.Itoa(i), FailureDomain: "a", Slots: 16})
	}
	for i := range 2 {
		list = append(list, steer.Replica{Name: "board-" + strconv.Itoa(i), Born: 1, Service: "board", Address: "b" + strconv.Itoa(i), FailureDomain: "a", Slots: 6})
	}
	return list
}

// reduce applies the event and returns its effects without the log lines.
func (in *instance) reduce(ev steer.Event) []steer.Effect {
	var effects []steer.Effect
	for _, eff := range in.st.Reduce(in.now, ev) {
		if _, ok := eff.(steer.LogLine); !ok {
			effects = append(effects, eff)
		}
	}
	return effects
}

// advance advances the clock and returns the effects of the tick.
func (in *instance) advance(period time.Duration) []steer.Effect {
	in.now = in.now.Add(period)
	in.reduce(steer.ListConfirmed{})
	return in.reduce(steer.Ticked{})
}

// arrive submits a request on the route with a prompt of the given number of tokens and the route's timeout.
func (in *instance) arrive(route *decl.Route, prompt int64) []steer.Effect {
	in.next++
	ev := steer.Arrived{
		ID: in.next, Route: route, Path: route.Prefix, Name: "request", Organisation: "parish", Prompt: prompt, Digest: steer.Digest(in.next),
		Deadline: in.now.Add(route.Timeout.Std()), LeavesAt: in.now.Add(max(2*time.Second, 4*route.Goal.Std())),
	}
	if prompt > 0 {
		ev.Answer = 1000
	}
	return in.reduce(ev)
}

// summarizedJobs returns how many jobs the instance lists in its summary to the others.
func (in *instance) summarizedJobs() int {
	jobs := 0
	for _, eff := range in.reduce(steer.Summarized{}) {
		nt := eff.(steer.SendNote).Note
		jobs += len(nt.Jobs) + len(nt.OpenJobs)
	}
	return jobs
}

// waitForSend returns the first Send among the effects, or among those of the ticks in the period after them.
func (in *instance) waitForSend(period time.Duration, effects []steer.Effect) steer.Send {
	in.t.Helper()
	for until := in.now.Add(period); ; {
		for _, eff := range effects {
			if sent, ok := eff.(steer.Send); ok {
				return sent
			}
		}
		assert.Assert(in.t, in.now.Before(until), "nothing was sent")
		effects = in.advance(10 * time.Millisecond)
	}
}

// end ends the attempt with the result.
func (in *instance) end(sent steer.Send, result steer.Result) []steer.Effect {
	return in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: result, Proof: proofOf(result)})
}

// proofOf returns the proof that goes with the result if nothing else is known.
func proofOf(result steer.Result) norun.Proof {
	switch result {
	case steer.ResultNotSent, steer.ResultHeld:
		return norun.Unwritten
	case steer.ResultNotRun, steer.ResultMisdirected:
		return norun.Refused
	}
	return norun.None
}

// find returns the only effect of the type and fails if there is none or more than one.
func find[Effect steer.Effect](t *testing.T, effects []steer.Effect) Effect {
	t.Helper()
	var found []Effect
	for _, eff := range effects {
		if eff, ok := eff.(Effect); ok {
			found = append(found, eff)
		}
	}
	assert.Equal(t, len(found), 1, "%#v", effects)
	return found[0]
}

// none fails if there is an effect of the type.
func none[Effect steer.Effect](t *testing.T, effects []steer.Effect) {
	t.Helper()
	for _, eff := range effects {
		_, ok := eff.(Effect)
		assert.Assert(t, !ok, "%#v", eff)
	}
}

func TestAnsweredRequestLeavesNoState(t *testing.T) {
	in := newInstance(t, "one", 4)
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	fin := find[steer.Finish](t, in.end(sent, steer.ResultDone))
	assert.Assert(t, fin.Refusal == nil)
	assert.Equal(t, in.st.Open(), 0)
	assert.Equal(t, in.summarizedJobs(), 0)
}

func TestAttemptResultDecidesRetry(t *testing.T) {
	// Guards against the two errors of a retry decision. A request that may have run and must not run twice has to be refused
	// without the guarantee that it did not run. One that did not run, or may run again, has to go to another replica.
	cases := map[string]struct {
		route  *decl.Route
		end    steer.AttemptEnded
		again  bool
		notRun bool
	}{
		"update, connection refused": {&update, steer.AttemptEnded{Result: steer.ResultNotSent, Proof: norun.Unwritten}, true, true},
		"update, refused as not run": {&update, steer.AttemptEnded{Result: steer.ResultNotRun, Proof: norun.Refused}, true, true},
		"update, misdirected":        {&update, steer.AttemptEnded{Result: steer.ResultMisdirected, Proof: norun.Refused}, true, true},
		"update, broken":             {&update, steer.AttemptEnded{Result: steer.ResultBroken}, false, false},
		"update, refusal, no proof":  {&update, steer.AttemptEnded{Result: steer.ResultNotRun}, false, false},
		"update, not sent, no proof": {&update, steer.AttemptEnded{Result: steer.ResultNotSent}, false, false},
		"update, held, no proof":     {&update, steer.AttemptEnded{Result: steer.ResultHeld}, false, false},
		"update, through a peer":     {&update, steer.AttemptEnded{Result: steer.ResultNotRun, Proof: norun.Stated, Via: "two"}, true, true},
		"update, silent":             {&update, steer.AttemptEnded{Result: steer.ResultSilent}, false, false},
		"lookup, broken":             {&lookup, steer.AttemptEnded{Result: steer.ResultBroken}, true, false},
		"lookup, failure":            {&lookup, steer.AttemptEnded{Result: steer.ResultAnswered, Status: 500}, true, false},
		"stream, broken midway":      {&short, steer.AttemptEnded{Result: steer.ResultBroken, Begun: true}, true, false},
		"stream, silent":             {&short, steer.AttemptEnded{Result: steer.ResultSilent}, true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 4)
			first := find[steer.Send](t, in.arrive(tc.route, prompt(tc.route)))
			tc.end.ID, tc.end.Attempt = first.ID, first.Attempt
			effects := in.reduce(tc.end)
			if tc.again {
				effects = append(effects, in.advance(50*time.Millisecond)...)
				second := find[steer.Send](t, effects)
				assert.Assert(t, second.Replica.Name != first.Replica.Name)
				none[steer.Finish](t, effects)
				return
			}
			none[steer.Send](t, effects)
			fin := find[steer.Finish](t, effects)
			assert.Equal(t, fin.Refusal.NotRun, tc.notRun)
		})
	}
}

func prompt(route *decl.Route) int64 {
	if route.Stream {
		return 5000
	}
	return 0
}

func TestWaitingRepeatEndsIfItsKindChanges(t *testing.T) {
	// Guards against a request that runs twice: it waits to be sent again when the operators declare that the requests of its route run once.
	in := newInstance(t, "one", 0)
	route := lookup
	route.Host, route.Prefix = "hall.example", "/look/"
	all := replicas(0)
	in.reduce(steer.Listed{Replicas: all[:1]})
	first := find[steer.Send](t, in.arrive(&route, 0))
	none[steer.Finish](t, in.end(first, steer.ResultBroken))
	once := route
	once.Repeats = decl.RetryNone
	effects := in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Routes: []decl.Route{once}, Services: map[string]decl.Pool{"board": {}}}})
	effects = append(effects, in.reduce(steer.Listed{Replicas: all})...)
	effects = append(effects, in.advance(50*time.Millisecond)...)
	none[steer.Send](t, effects)
	assert.Assert(t, !find[steer.Finish](t, effects).Refusal.NotRun)
}

func TestRouteAttemptsLimitRuns(t *testing.T) {
	// Two replicas break off their answers to a lookup whose route allows two attempts. A third attempt would exceed what the
	// operators allow, so the caller gets an error without the guarantee that the request did not run.
	in := newInstance(t, "one", 4)
	first := find[steer.Send](t, in.arrive(&lookup, 0))
	second := find[steer.Send](t, in.end(first, steer.ResultBroken))
	effects := in.end(second, steer.ResultBroken)
	none[steer.Send](t, effects)
	assert.Assert(t, !find[steer.Finish](t, effects).Refusal.NotRun)
}

func TestLastReplicaFailureIsDelivered(t *testing.T) {
	// Both replicas answer a lookup with an error. The caller must get the last answer unchanged, with the replica's signature,
	// and not a refusal made by the instance.
	in := newInstance(t, "one", 4)
	first := find[steer.Send](t, in.arrive(&lookup, 0))
	second := find[steer.Send](t, in.reduce(steer.AttemptEnded{ID: 1, Attempt: 1, Result: steer.ResultAnswered, Status: 500}))
	assert.Assert(t, first.Replica.Name != second.Replica.Name)
	fin := find[steer.Finish](t, in.reduce(steer.AttemptEnded{ID: 1, Attempt: 2, Result: steer.ResultAnswered, Status: 500}))
	assert.Assert(t, fin.DeliverFailure && fin.Refusal == nil)
}

func TestRepeatsStayWithinBudget(t *testing.T) {
	// Every first attempt breaks off and a second one would succeed. All instances together may repeat a fifth of the requests
	// plus twenty in any ten seconds; an instance that knows one other may use only its share of the twenty.
	const perS, failingTime = 50, 4 * time.Second
	in := newInstance(t, "one", 8)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two"}}, Listed: true})
	for range 15 * perS {
		in.end(find[steer.Send](t, in.arrive(&lookup, 0)), steer.ResultDone)
		in.advance(time.Second / perS)
	}
	repeats := 0
	for range int(failingTime.Seconds()) * perS {
		sent := find[steer.Send](t, in.arrive(&lookup, 0))
		for _, eff := range in.end(sent, steer.ResultBroken) {
			if again, ok := eff.(steer.Send); ok {
				repeats++
				in.end(again, steer.ResultDone)
			}
		}
		in.advance(time.Second / perS)
	}
	assert.Assert(t, repeats > 10*perS/10 && repeats <= 10*perS/5+20/2, repeats)
}

func TestLeavingReplicaGetsNoNewRequests(t *testing.T) {
	// A replica announces that it is leaving, and an outdated list read later shows it as ready. Leaving must be final for the
	// incarnation, while a new incarnation of the same name gets requests.
	in := newInstance(t, "one", 1)
	list := replicas(1)
	list[0].Leaving = true
	in.reduce(steer.Listed{Replicas: list})
	none[steer.Send](t, in.arrive(&short, 5000))
	list[0].Leaving = false
	none[steer.Send](t, in.reduce(steer.Listed{Replicas: list}))
	list[0].Born = 2
	sent := find[steer.Send](t, in.reduce(steer.Listed{Replicas: list}))
	assert.Equal(t, sent.Replica.Born, int64(2))
}

func TestReplicaMissingAfterAnOutage(t *testing.T) {
	// After an outage of the store, entries of live replicas are missing until the replicas have rewritten them, within two
	// seconds. Until then they must stay in use; a replica whose entry stays missing is gone.
	cases := map[string]struct {
		afterOutage bool
		after       time.Duration
		served      bool
	}{
		"missing without an outage":           {false, 0, false},
		"missing one second after an outage":  {true, time.Second, true},
		"missing two seconds after an outage": {true, 2100 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			in.reduce(steer.Listed{Replicas: replicas(0), AfterOutage: tc.afterOutage})
			in.advance(tc.after)
			if tc.served {
				find[steer.Send](t, in.arrive(&short, 5000))
			} else {
				none[steer.Send](t, in.arrive(&short, 5000))
			}
		})
	}
}

func TestContentThatKillsReplicasIsQuarantinedEverywhere(t *testing.T) {
	// A request crashes each engine that runs it, and its caller retries it, also at other instances. After two crashes it must
	// be refused at once as not run, also by an instance that knows of the crashes only from notes.
	one, two := newInstance(t, "one", 4), newInstance(t, "two", 4)
	sent := find[steer.Send](t, one.arrive(&short, 5000))
	for range 2 {
		effects := one.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultBroken, Died: true})
		for _, eff := range effects {
			switch eff := eff.(type) {
			case steer.Send:
				sent = eff
			case steer.SendNote:
				two.reduce(steer.NoteReceived{Note: eff.Note})
			}
		}
	}
	for _, in := range []*instance{one, two} {
		in.next = 0 // the same content again
		fin := find[steer.Finish](t, in.arrive(&short, 5000))
		assert.Equal(t, fin.Refusal.Reason, steer.ReasonQuarantine)
		assert.Assert(t, fin.Refusal.NotRun)
	}
}

func TestDrainRefusesWaitingRequests(t *testing.T) {
	// The instance shuts down while a request waits for a replica. The request must be refused with a retry delay before the
	// process ends: otherwise its connection is cut without an answer, and the caller does not know to try another instance.
	in := newInstance(t, "one", 0)
	none[steer.Send](t, in.arrive(&long, 100_000))
	in.reduce(steer.Draining{RefuseWaitingAt: in.now.Add(2 * time.Second), AbortAt: in.now.Add(7 * time.Second)})
	none[steer.Finish](t, in.advance(time.Second))
	fin := find[steer.Finish](t, in.advance(1100*time.Millisecond))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonDraining)
	assert.Assert(t, fin.Refusal.NotRun && fin.Refusal.RetryAfter > 0)
}

func TestNothingIsSentAfterAttemptsAreAborted(t *testing.T) {
	// Guards against a request that runs although its caller gets no answer: it arrives just before the process ends, and its connection is closed.
	in := newInstance(t, "one", 1)
	in.reduce(steer.Draining{RefuseWaitingAt: in.now.Add(-time.Second), AbortAt: in.now})
	effects := in.arrive(&update, 0)
	effects = append(effects, in.advance(10*time.Millisecond)...)
	none[steer.Send](t, effects)
	assert.Assert(t, find[steer.Finish](t, effects).Refusal.NotRun)
}

func TestStopAbortsRunningAttempts(t *testing.T) {
	// An answer has not begun when the grace period of the shutdown ends. The caller must get an error without the guarantee
	// that the request did not run, and not a connection that is cut.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&long, 100_000))
	in.reduce(steer.Draining{RefuseWaitingAt: in.now, AbortAt: in.now.Add(time.Second)})
	none[steer.Abort](t, in.advance(900*time.Millisecond))
	find[steer.Abort](t, in.advance(200*time.Millisecond))
	fin := find[steer.Finish](t, in.end(sent, steer.ResultCancelled))
	assert.Assert(t, !fin.Refusal.NotRun)
}

func TestLoadLeftByDeadInstancesIsCounted(t *testing.T) {
	// All instances restart while the engines still generate answers for the dead ones, and one engine has all its slots taken.
	// The first instance knows no other, so it must query the engines once. It and those that it informs must use the other
	// engine until the answers for the dead have ended. Instances that know one earlier by name or longer-running must not
	// query.
	one, two := newInstance(t, "one", 2), newInstance(t, "two", 2)
	one.advance(time.Millisecond)
	query := find[steer.QueryLoad](t, one.advance(200*time.Millisecond))
	assert.Equal(t, len(query.Replicas), 2)
	none[steer.QueryLoad](t, one.advance(time.Second))
	report := find[steer.SendNote](t, one.reduce(steer.LoadReported{Replica: "lyric-0", Running: 16, Used: 90_000}))
	two.reduce(steer.NoteReceived{Note: report.Note})
	two.reduce(steer.NoteReceived{Note: steer.Note{From: "one", Run: 1, UptimeMs: 100, Full: true}})
	two.advance(time.Millisecond)
	none[steer.QueryLoad](t, two.advance(200*time.Millisecond))
	three := newInstance(t, "a-first-name", 2)
	three.reduce(steer.NoteReceived{Note: steer.Note{From: "one", Run: 1, UptimeMs: 60_000, Full: true}})
	three.advance(time.Millisecond)
	none[steer.QueryLoad](t, three.advance(200*time.Millisecond))
	for _, in := range []*instance{one, two} {
		for range 4 {
			sent := find[steer.Send](t, in.arrive(&short, 5000))
			assert.Equal(t, sent.Replica.Name, "lyric-1")
		}
	}
}

func TestFirstByteTimeoutOfPlainCallExceedsDeadline(t *testing.T) {
	// A plain call may use its whole deadline. If the timeout for the first byte ended before the deadline, a slow replica
	// would count as silent, and every instance would take it out of rotation for a while.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&update, 0))
	assert.Assert(t, in.now.Add(sent.FirstTimeout).After(sent.Deadline))
}

func TestCallerDisconnectReleasesRequest(t *testing.T) {
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	find[steer.Abort](t, in.reduce(steer.CallerGone{ID: sent.ID}))
	find[steer.Finish](t, in.end(sent, steer.ResultCancelled))
	assert.Equal(t, in.st.Open(), 0)
}

package steer_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The routes of the tests, with the aims of short, middle and long prompts, and of plain calls.
var (
	short = decl.Route{
		Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Repeats: decl.RepeatsResumed, Stream: true,
		Timeout: seconds(10), Goal: decl.Duration(300 * time.Millisecond), Gap: decl.Duration(250 * time.Millisecond), Attempts: 2,
	}
	long = decl.Route{
		Name: "long", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Repeats: decl.RepeatsResumed, Stream: true,
		Timeout: seconds(15), Goal: seconds(3), Gap: seconds(1), Attempts: 2,
	}
	update = decl.Route{
		Name: "update", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RepeatsNone,
		Timeout: seconds(2), Goal: decl.Duration(300 * time.Millisecond), Attempts: 1,
	}
	lookup = decl.Route{
		Name: "lookup", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RepeatsAny,
		Timeout: seconds(2), Goal: decl.Duration(300 * time.Millisecond), Attempts: 2,
	}
)

func seconds(count float64) decl.Duration { return decl.Duration(count * float64(time.Second)) }

var figures = decl.Engine{
	Slots: 16, Memory: 315_000, Step: 0.85, PerWriter: 0.00425, PerContext: 0.00285, ReadRate: 177, PairCost: 0.184,
	Chunk: 2048, Stride: 51, Helpers: 16,
}

// instance drives one reducer.
type instance struct {
	t    *testing.T
	st   *steer.State
	now  time.Time
	next steer.RequestID
}

func newInstance(t *testing.T, name string, engines int) *instance {
	in := &instance{t: t, now: start, st: steer.New(steer.Options{
		Name: name, FailureDomain: "a", Run: 1, Seed: 1, MissingTime: 2 * time.Second,
		Budget: steer.Budget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})}
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}, "board": {}}}})
	in.reduce(steer.Listed{Replicas: replicas(engines)})
	return in
}

// replicas are so many engines and two plain replicas.
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

// reduce returns the effects of the event without the log's lines.
func (in *instance) reduce(ev steer.Event) []steer.Effect {
	var effects []steer.Effect
	for _, eff := range in.st.Reduce(in.now, ev) {
		if _, ok := eff.(steer.Line); !ok {
			effects = append(effects, eff)
		}
	}
	return effects
}

func (in *instance) pass(period time.Duration) []steer.Effect {
	in.now = in.now.Add(period)
	return in.reduce(steer.Ticked{})
}

// arrive brings a request of the route with a prompt of so many tokens and the time that its route gives.
func (in *instance) arrive(route *decl.Route, prompt int64) []steer.Effect {
	in.next++
	ev := steer.Arrived{
		ID: in.next, Route: route, Name: "request", Organisation: "parish", Prompt: prompt, Digest: steer.Digest(in.next),
		Deadline: in.now.Add(route.Timeout.Std()), Patience: in.now.Add(max(2*time.Second, 4*route.Goal.Std())),
	}
	if prompt > 0 {
		ev.Answer = 1000
	}
	return in.reduce(ev)
}

// summarized is how many jobs the instance tells the others of when it tells all of them.
func (in *instance) summarized() int {
	jobs := 0
	for _, eff := range in.reduce(steer.Summarized{}) {
		nt := eff.(steer.Tell).Note
		jobs += len(nt.Jobs) + len(nt.Kept)
	}
	return jobs
}

// within returns the Send that the effects hold or that follows in the time.
func (in *instance) within(period time.Duration, effects []steer.Effect) steer.Send {
	in.t.Helper()
	for until := in.now.Add(period); ; {
		for _, eff := range effects {
			if sent, ok := eff.(steer.Send); ok {
				return sent
			}
		}
		assert.Assert(in.t, in.now.Before(until), "nothing was sent")
		effects = in.pass(10 * time.Millisecond)
	}
}

func (in *instance) end(sent steer.Send, result steer.Result) []steer.Effect {
	return in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: result})
}

// find returns the one effect of the type.
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

// none asserts that there is no effect of the type.
func none[Effect steer.Effect](t *testing.T, effects []steer.Effect) {
	t.Helper()
	for _, eff := range effects {
		_, ok := eff.(Effect)
		assert.Assert(t, !ok, "%#v", eff)
	}
}

func TestAnsweredRequestHoldsNothing(t *testing.T) {
	in := newInstance(t, "one", 4)
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	fin := find[steer.Finish](t, in.end(sent, steer.ResultDone))
	assert.Assert(t, fin.Refusal == nil)
	assert.Equal(t, in.st.Open(), 0)
	assert.Equal(t, in.summarized(), 0)
}

func TestEndsOfAttempts(t *testing.T) {
	// A replica ends an attempt in each of the ways that there are. What may have run and must not run twice is given up
	// on without the promise that it has not run; what certainly did not run, or may be repeated, goes to another one.
	cases := map[string]struct {
		route  *decl.Route
		end    steer.AttemptEnded
		again  bool
		notRun bool
	}{
		"update, connection refused": {&update, steer.AttemptEnded{Result: steer.ResultNotSent}, true, true},
		"update, refused unrun":      {&update, steer.AttemptEnded{Result: steer.ResultNotRun}, true, true},
		"update, misdirected":        {&update, steer.AttemptEnded{Result: steer.ResultMisdirected}, true, true},
		"update, broken":             {&update, steer.AttemptEnded{Result: steer.ResultBroken}, false, false},
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
				effects = append(effects, in.pass(50*time.Millisecond)...)
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

func TestNoMoreRunsThanTheRouteAllows(t *testing.T) {
	// Two replicas break off under a lookup whose route allows two attempts. A third would run it once more than the
	// operators allow, so the caller hears of a failure that promises nothing.
	in := newInstance(t, "one", 4)
	first := find[steer.Send](t, in.arrive(&lookup, 0))
	second := find[steer.Send](t, in.end(first, steer.ResultBroken))
	effects := in.end(second, steer.ResultBroken)
	none[steer.Send](t, effects)
	assert.Assert(t, !find[steer.Finish](t, effects).Refusal.NotRun)
}

func TestFailureIsDeliveredWhereNothingBetterCame(t *testing.T) {
	// Both replicas of a lookup answer with a failure of their own. The caller gets the last one as it came, with its
	// replica's signature, and not one of ours.
	in := newInstance(t, "one", 4)
	first := find[steer.Send](t, in.arrive(&lookup, 0))
	second := find[steer.Send](t, in.reduce(steer.AttemptEnded{ID: 1, Attempt: 1, Result: steer.ResultAnswered, Status: 500}))
	assert.Assert(t, first.Replica.Name != second.Replica.Name)
	fin := find[steer.Finish](t, in.reduce(steer.AttemptEnded{ID: 1, Attempt: 2, Result: steer.ResultAnswered, Status: 500}))
	assert.Assert(t, fin.Deliver && fin.Refusal == nil)
}

func TestRepeatsStayInTheBudget(t *testing.T) {
	// Every attempt breaks off, and each caller could be served by a second one. All instances together may repeat a
	// fifth of the requests and twenty more in any ten seconds; an instance that knows one other takes a part of that.
	in := newInstance(t, "one", 8)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two"}}})
	repeats := 0
	for range 200 {
		sent := find[steer.Send](t, in.arrive(&lookup, 0))
		for _, eff := range in.end(sent, steer.ResultBroken) {
			if again, ok := eff.(steer.Send); ok {
				repeats++
				in.end(again, steer.ResultDone)
			}
		}
		in.pass(20 * time.Millisecond)
	}
	assert.Assert(t, repeats > 20 && repeats <= 200/5+20/2, repeats)
}

func TestLeavingReplicaGetsNothingNew(t *testing.T) {
	// A replica says that it leaves, and an older list that is read late calls it ready again. Its leaving is final for
	// its incarnation; a new one of the same name serves.
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
	// The store was away and its entries late. A replica that lives writes its entry again within two seconds, and
	// is used all the while; one whose entry stays away is gone.
	cases := map[string]struct {
		away   bool
		after  time.Duration
		served bool
	}{
		"gone while the store was there":     {false, 0, false},
		"missing just after an outage":       {true, time.Second, true},
		"still missing two seconds after it": {true, 2100 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			in.reduce(steer.Listed{Replicas: replicas(0), Away: tc.away})
			in.pass(tc.after)
			if tc.served {
				find[steer.Send](t, in.arrive(&short, 5000))
			} else {
				none[steer.Send](t, in.arrive(&short, 5000))
			}
		})
	}
}

func TestContentThatKillsReplicasIsRefusedEverywhere(t *testing.T) {
	// A request takes down each engine that runs it, and its caller sends it again, also to other instances. After two
	// deaths it is refused at once as not run, here and at the instance that was only told of them.
	one, two := newInstance(t, "one", 4), newInstance(t, "two", 4)
	sent := find[steer.Send](t, one.arrive(&short, 5000))
	for range 2 {
		effects := one.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultBroken, Died: true})
		for _, eff := range effects {
			switch eff := eff.(type) {
			case steer.Send:
				sent = eff
			case steer.Tell:
				two.reduce(steer.Heard{Note: eff.Note})
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

func TestDrainingAnswersWhatWaits(t *testing.T) {
	// The instance is asked to stop while a request waits for a replica that does not come. Its caller is told to go to
	// another instance before the process ends; before, the connection was cut with the request unanswered.
	in := newInstance(t, "one", 0)
	none[steer.Send](t, in.arrive(&long, 100_000))
	in.reduce(steer.Draining{Hold: in.now.Add(2 * time.Second), Stop: in.now.Add(7 * time.Second)})
	none[steer.Finish](t, in.pass(time.Second))
	fin := find[steer.Finish](t, in.pass(1100*time.Millisecond))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonDraining)
	assert.Assert(t, fin.Refusal.NotRun && fin.Refusal.RetryAfter > 0)
}

func TestStopEndsWhatIsUnderWay(t *testing.T) {
	// An answer has not begun when the grace is over. Its caller hears of a failure that promises nothing, and not from a
	// cut connection.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&long, 100_000))
	in.reduce(steer.Draining{Hold: in.now, Stop: in.now.Add(time.Second)})
	none[steer.Abort](t, in.pass(900*time.Millisecond))
	find[steer.Abort](t, in.pass(200*time.Millisecond))
	fin := find[steer.Finish](t, in.end(sent, steer.ResultCancelled))
	assert.Assert(t, !fin.Refusal.NotRun)
}

func TestLoadOfDeadInstancesIsKnown(t *testing.T) {
	// All instances died and start again; the engines still write for the dead ones, one of them with all its slots taken.
	// The first that starts hears of no other one and asks the engines once. It and the others that it tells take another
	// engine, until what was written for the dead has ended.
	one, two := newInstance(t, "one", 2), newInstance(t, "two", 2)
	one.pass(time.Millisecond)
	asked := find[steer.Survey](t, one.pass(200*time.Millisecond))
	assert.Equal(t, len(asked.Replicas), 2)
	none[steer.Survey](t, one.pass(time.Second))
	told := find[steer.Tell](t, one.reduce(steer.Surveyed{Replica: "lyric-0", Running: 16, Used: 90_000}))
	two.reduce(steer.Heard{Note: told.Note})
	two.reduce(steer.Heard{Note: steer.Note{From: "one", Run: 1, Up: 100, Whole: true}})
	two.pass(time.Millisecond)
	none[steer.Survey](t, two.pass(200*time.Millisecond))
	three := newInstance(t, "a-first-name", 2)
	three.reduce(steer.Heard{Note: steer.Note{From: "one", Run: 1, Up: 60_000, Whole: true}})
	three.pass(time.Millisecond)
	none[steer.Survey](t, three.pass(200*time.Millisecond))
	for _, in := range []*instance{one, two} {
		for range 4 {
			sent := find[steer.Send](t, in.arrive(&short, 5000))
			assert.Equal(t, sent.Replica.Name, "lyric-1")
		}
	}
}

func TestDeadlineIsNoSilence(t *testing.T) {
	// A plain call uses up its deadline. Its replica is not silent, only slow; taken for silent it would be left out for a
	// while by every instance. The time allowed for the first byte ends after the deadline.
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&update, 0))
	assert.Assert(t, in.now.Add(sent.FirstBy).After(sent.Deadline))
}

func TestCallerThatLeftHoldsNothing(t *testing.T) {
	in := newInstance(t, "one", 1)
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	find[steer.Abort](t, in.reduce(steer.CallerGone{ID: sent.ID}))
	find[steer.Finish](t, in.end(sent, steer.ResultCancelled))
	assert.Equal(t, in.st.Open(), 0)
}

package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classes = decl.DefaultClasses()

func item(id int, organisation string, class int, tokens int64) admit.Item {
	return admit.Item{
		ID:           event.RequestID(id),
		Organisation: organisation,
		Service:      "lyric",
		Class:        classes[class],
		Tokens:       tokens,
		Work:         time.Duration(tokens) * time.Millisecond,
		Arrived:      start,
		Deadline:     start.Add(time.Minute),
	}
}

// drain takes all items that may be sent now and returns them in the order of dispatch.
func drain(st *admit.State, now time.Time) []*admit.Item {
	var taken []*admit.Item
	for it := st.Head(now, "lyric"); it != nil; it = st.Head(now, "lyric") {
		st.Take(it)
		taken = append(taken, it)
	}
	return taken
}

func TestQueueOrder(t *testing.T) {
	cases := map[string]struct {
		discipline admit.Discipline
		after      time.Duration
		want       string
	}{
		"short prompts go first":                      {admit.Priority{}, 0, "3 2 1"},
		"aged huge prompt goes before a large one":    {admit.Priority{}, 50 * time.Second, "3 1 2"},
		"first come, first served":                    {admit.FirstCome{}, 0, "1 2 3"},
		"weighted classes that have received nothing": {admit.Weighted{Weights: map[string]float64{"Huge": 1e6}}, 0, "1 2 3"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := admit.New()
			st.Push(item(1, "parish", 4, 1000), 1, tc.discipline)
			for id := 2; id <= 3; id++ {
				it := item(id, "parish", 4-2*(id-1), 1000)
				it.Arrived = start.Add(tc.after)
				it.Deadline = it.Arrived.Add(time.Minute)
				st.Push(it, 1, tc.discipline)
			}
			order := ""
			for _, it := range drain(st, start.Add(tc.after)) {
				order += fmt.Sprintf(" %d", it.ID)
			}
			assert.Equal(t, order, " "+tc.want)
		})
	}
}

func TestBacklogOfOneOrganisationDoesNotDelayAnother(t *testing.T) {
	// One organisation has a hundred requests waiting when the first one of another arrives. If requests went in the order
	// of arrival, the second organisation would wait for all of them. It goes next instead, and from then on the two share
	// the queue by their weights.
	st := admit.New()
	for id := range 100 {
		st.Push(item(id, "flood", 0, 1000), 1, admit.Priority{})
	}
	st.Take(st.Head(start, "lyric"))
	for id := 100; id < 110; id++ {
		st.Push(item(id, "parish", 0, 1000), 2, admit.Priority{})
	}
	taken := drain(st, start)
	parish := 0
	for _, it := range taken[:15] {
		if it.Organisation == "parish" {
			parish++
		}
	}
	assert.Equal(t, taken[0].Organisation, "parish")
	assert.Equal(t, parish, 10, "two of three go to the organisation of weight 2")
}

func TestClassesOfEqualPriorityGoInOrderOfArrival(t *testing.T) {
	// Two classes have the same priority. One has served a thousand prompts when the first ones of the other arrive, so its
	// start tags are far ahead. If the classes were compared by start tag, it would wait until the other has caught up.
	// Both go in the order of arrival instead.
	st := admit.New()
	medium, large := classes[1], classes[2]
	large.Priority = medium.Priority
	push := func(id int, class decl.LengthClass) {
		it := item(id, "parish", 0, 1000)
		it.Class = class
		it.Arrived = start.Add(time.Duration(id) * time.Millisecond)
		st.Push(it, 1, admit.Priority{})
	}
	for id := range 1000 {
		push(id, medium)
	}
	drain(st, start)
	for id := 1000; id < 1010; id++ {
		push(id, []decl.LengthClass{medium, large}[id%2])
	}
	for i, it := range drain(st, start) {
		assert.Equal(t, it.ID, event.RequestID(1000+i))
	}
}

func TestLowPriorityClassIsNotStarved(t *testing.T) {
	// Medium prompts arrive faster than they are taken, so that one is always waiting, and a huge prompt waits behind them.
	// Without aging it would never be taken. It goes before them once half of its time to the deadline has passed.
	st := admit.New()
	st.Push(item(0, "parish", 4, 1000), 1, admit.Priority{})
	now := start
	for id := 1; id <= 60; id++ {
		now = now.Add(time.Second)
		for _, class := range []int{0, 1, 1} {
			it := item(id*10+class, "choir", class, 1000)
			it.Arrived, it.Deadline = now, now.Add(time.Minute)
			st.Push(it, 1, admit.Priority{})
		}
		for range 2 {
			it := st.Head(now, "lyric")
			st.Take(it)
			if it.ID == 0 {
				assert.Assert(t, now.Sub(start) >= 30*time.Second && now.Sub(start) < 35*time.Second, "after %s", now.Sub(start))
				return
			}
		}
	}
	t.Fatal("the huge prompt was never taken")
}

func TestDelayedItemDoesNotBlockOthers(t *testing.T) {
	// An engine refused a request and asked for a delay before the retry. The requests behind it must not wait for the
	// delay.
	st := admit.New()
	delayed := item(1, "parish", 0, 1000)
	delayed.NotBefore = start.Add(time.Second)
	st.Push(delayed, 1, admit.Priority{})
	st.Push(item(2, "parish", 0, 1000), 1, admit.Priority{})
	assert.Equal(t, st.Head(start, "lyric").ID, event.RequestID(2))
	assert.Equal(t, len(drain(st, start)), 1)
	assert.Equal(t, st.Head(start.Add(time.Second), "lyric").ID, event.RequestID(1))
}

func TestWeightedClassesShareByWeight(t *testing.T) {
	st := admit.New()
	weighted := admit.Weighted{Weights: map[string]float64{"Short": 3, "Large": 1}}
	for id := range 80 {
		st.Push(item(id, "parish", id%2*2, 1000), 1, weighted)
	}
	short := 0
	for _, it := range drain(st, start)[:40] {
		if it.Class.Name == "Short" {
			short++
		}
	}
	assert.Equal(t, short, 30)
}

func TestWaitEstimateUsesFairShares(t *testing.T) {
	// An organisation has a hundred requests waiting. Its next request would wait for all of them, that of another
	// organisation in the same class for none, and that of another organisation in a lower class again for all.
	st := admit.New()
	for id := range 100 {
		st.Push(item(id, "flood", 0, 1000), 1, admit.Priority{})
	}
	assert.Equal(t, st.Wait("lyric", "flood", classes[0], 1, 10), 10*time.Second)
	assert.Equal(t, st.Wait("lyric", "parish", classes[0], 1, 10), time.Duration(0))
	assert.Equal(t, st.Wait("lyric", "parish", classes[2], 1, 10), 10*time.Second)
}

func TestLimitsRefuseAndRecover(t *testing.T) {
	cases := map[string]struct {
		limits decl.Limits
		passed time.Duration
	}{
		"requests a second":  {decl.Limits{RequestsPerSecond: 1}, time.Second},
		"tokens a second":    {decl.Limits{TokensPerSecond: 1000}, time.Second},
		"requests in flight": {decl.Limits{RequestsInFlight: 1}, 0},
		"tokens in flight":   {decl.Limits{TokensInFlight: 1000}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := admit.New()
			org := decl.Organisation{Limits: tc.limits}
			assert.Assert(t, st.Admit(start, "parish", org, 1000) == nil)
			refusal := st.Admit(start, "parish", org, 1000)
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.RunState, effect.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
			st.Release("parish", 1000)
			assert.Assert(t, st.Admit(start.Add(tc.passed), "parish", org, 1000) == nil)
		})
	}
}

// TestQueueReturnsEachItemOnce checks that each pushed item leaves the queue exactly once, taken or removed, under any
// discipline and any order of calls, and that the number and the tokens of the waiting items stay correct.
func TestQueueReturnsEachItemOnce(t *testing.T) {
	disciplines := []admit.Discipline{admit.Priority{}, admit.FirstCome{}, admit.Weighted{Weights: map[string]float64{"Short": 4}}}
	rapid.Check(t, func(t *rapid.T) {
		st := admit.New()
		waiting := map[event.RequestID]int64{}
		now := start
		next := 0
		out := func(id event.RequestID) {
			_, there := waiting[id]
			assert.Assert(t, there, "%d left the queue twice", id)
			delete(waiting, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				it := item(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), rapid.IntRange(0, 4).Draw(t, "class"), rapid.Int64Range(1, 5000).Draw(t, "tokens"))
				it.Arrived = now
				it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "time")) * time.Second)
				if rapid.Bool().Draw(t, "delayed") {
					it.NotBefore = now.Add(time.Second)
				}
				st.Push(it, rapid.Float64Range(0.1, 10).Draw(t, "weight"), rapid.SampledFrom(disciplines).Draw(t, "discipline"))
				waiting[it.ID] = it.Tokens
			},
			"take": func(_ *rapid.T) {
				if it := st.Head(now, "lyric"); it != nil {
					st.Take(it)
					out(it.ID)
				}
				st.MarkBlocked(now, "lyric")
			},
			"remove": func(t *rapid.T) {
				id := event.RequestID(rapid.IntRange(0, next).Draw(t, "id"))
				_, there := waiting[id]
				assert.Equal(t, st.Remove("lyric", id), there)
				delete(waiting, id)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(_ *rapid.T) {
				items, tokens := st.Waiting("lyric")
				var want int64
				for _, part := range waiting {
					want += part
				}
				assert.Equal(t, items, len(waiting))
				assert.Equal(t, tokens, want)
				assert.Assert(t, st.Wait("lyric", "a", classes[0], 1, 1) >= 0)
			},
		})
		for _, it := range drain(st, now.Add(time.Hour)) {
			out(it.ID)
		}
		assert.Equal(t, len(waiting), 0)
		assert.Equal(t, st.Wait("lyric", "a", classes[0], 1, 1), time.Duration(0))
	})
}

func TestNewLimitCountsForward(t *testing.T) {
	// An organisation without limits sends a lot. When it gets a limit, it must be served at the limited rate from then on, and
	// not be refused for as long as its earlier requests would have taken under the limit. The same holds for a limit that is
	// lifted and declared again.
	st := admit.New()
	now := start
	limits := map[string]decl.Limits{"requests": {RequestsPerSecond: 10}, "tokens": {TokensPerSecond: 10_000}}
	for name, lim := range limits {
		for range 2 {
			for range 1000 {
				assert.Assert(t, st.Admit(now, name, decl.Organisation{}, 1000) == nil)
				now = now.Add(time.Millisecond)
			}
			served := 0
			for range 200 {
				if st.Admit(now, name, decl.Organisation{Limits: lim}, 1000) == nil {
					served++
				}
				now = now.Add(10 * time.Millisecond)
			}
			assert.Assert(t, served >= 20 && served <= 30, "%s: %d served in two seconds at ten a second", name, served)
		}
	}
}

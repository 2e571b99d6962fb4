package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/route"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// at returns the time that many seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func config(svc decl.Service) *decl.Config {
	svc.Kind = decl.KindModel
	svc.MemoryTokens = 400_000
	return &decl.Config{Version: 1, Services: map[string]decl.Service{"lyric": svc}}
}

func criteria(id int, prompt int64) *route.PickCriteria {
	return &route.PickCriteria{ID: event.RequestID(id), Service: "lyric", Prompt: prompt, Repeatable: true, Level: 4}
}

func report(name string, when time.Time, load event.Load) event.LoadReported {
	load.MemoryTokens = 400_000
	return event.LoadReported{Upstream: name, At: when, Load: load}
}

func TestLocalFailureDomainPreferredUnlessMoreLoaded(t *testing.T) {
	cases := map[string]struct {
		queued int64
		far    bool
	}{
		"local replicas idle":             {0, false},
		"local replicas a little loaded":  {500, false},
		"local replicas much more loaded": {40_000, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := newState(route.LowestCost{})
			st.Configure(config(decl.Service{}))
			for _, near := range []string{"lyric-0", "lyric-1"} {
				st.Report(start, report(near, start, event.Load{QueuedTokens: tc.queued}))
			}
			rep := st.Pick(start, criteria(1, 1000))
			assert.Equal(t, rep.Upstream.FailureDomain != "a", tc.far)
		})
	}
}

func TestWorkSentAfterReportCounts(t *testing.T) {
	// A report that is 200 ms old shows an engine as idle to which this instance has since sent a long prompt. Without
	// counting that prompt, the next requests would go there too, and each instance would send its requests to the engine
	// that was idle a moment ago.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	st.RecordSent(at(0.1), "lyric-0", criteria(1, 60_000))
	for _, near := range []string{"lyric-0", "lyric-1"} {
		st.Report(at(0.2), report(near, start, event.Load{}))
	}
	for id := range 10 {
		assert.Equal(t, st.Pick(at(0.2), criteria(10+id, 1000)).Upstream.Name, "lyric-1")
	}
}

func TestOwnWorkInReportCountsOnce(t *testing.T) {
	// The engine's report shows 60,000 queued tokens, all of them sent by this instance. If the instance added its own count
	// to them, it would avoid the engine for twice as long.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	st.RecordSent(start, "lyric-0", criteria(1, 60_000))
	st.RecordSent(start, "lyric-1", criteria(2, 70_000))
	st.Report(at(0.5), report("lyric-0", at(0.2), event.Load{QueuedTokens: 60_000, Running: 1}))
	st.Report(at(0.5), report("lyric-1", at(0.2), event.Load{QueuedTokens: 70_000, Running: 1}))
	low := criteria(3, 1000)
	low.Level = 0
	near := st.Pick(at(0.5), low)
	assert.Assert(t, near.Upstream.FailureDomain == "b", "the replicas of the other failure domain are idle")
	st.RecordFirstToken(at(0.6), "lyric-0", 1)
	st.Report(at(0.7), report("lyric-0", at(0.65), event.Load{Running: 1}))
	for id := range 10 {
		assert.Equal(t, st.Pick(at(0.7), criteria(10+id, 1000)).Upstream.Name, "lyric-0")
	}
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	prefixes := make([]uint64, 60)
	for i := range prefixes {
		prefixes[i] = uint64(1000 + i)
	}
	cases := map[string]struct {
		busy int64
		near bool
	}{
		"idle holder":       {0, true},
		"overloaded holder": {60_000, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := newState(route.LowestCost{})
			st.Configure(config(decl.Service{}))
			st.CacheChanged(start, event.CacheChanged{Upstream: "lyric-1", First: 1, Last: 1, Added: prefixes})
			st.Report(start, report("lyric-1", start, event.Load{QueuedTokens: tc.busy}))
			for id := range 10 {
				pc := criteria(id, 16_000)
				pc.Prefixes = prefixes
				assert.Equal(t, st.Pick(start, pc).Upstream.Name == "lyric-1", tc.near)
			}
		})
	}
}

func TestCacheEventsWithGaps(t *testing.T) {
	// An engine evicts a cached prefix and the event is lost. Without gap detection its prompts would go to that engine for
	// ever. After the gap in the sequence numbers the prefix counts half, and after a while not at all.
	prefixes := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	cases := map[string]struct {
		events []event.CacheChanged
		after  time.Duration
		drawn  bool
	}{
		"no gap":                   {nil, time.Hour, true},
		"gap":                      {[]event.CacheChanged{{First: 5, Last: 5}}, time.Minute, false},
		"cache cleared":            {[]event.CacheChanged{{First: 2, Last: 2, Cleared: true}}, 0, false},
		"engine restarted":         {[]event.CacheChanged{{First: 1, Last: 1}}, 0, false},
		"prefix removed":           {[]event.CacheChanged{{First: 2, Last: 2, Removed: prefixes}}, 0, false},
		"batch delivered twice":    {[]event.CacheChanged{{First: 2, Last: 2}, {First: 2, Last: 2, Removed: prefixes}}, 0, true},
		"gap, then confirmed anew": {[]event.CacheChanged{{First: 5, Last: 5, Added: prefixes}}, time.Minute, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := newState(route.LowestCost{})
			st.Configure(config(decl.Service{}))
			st.CacheChanged(start, event.CacheChanged{Upstream: "lyric-3", First: 1, Last: 1, Added: prefixes})
			for _, ev := range tc.events {
				ev.Upstream = "lyric-3"
				st.CacheChanged(at(1), ev)
			}
			pc := criteria(1, 4096)
			pc.Prefixes = prefixes
			rep := st.Pick(start.Add(time.Second+tc.after), pc)
			assert.Equal(t, rep.Upstream.Name == "lyric-3", tc.drawn)
		})
	}
}

func TestLongPromptsLeaveRoomForShortOnes(t *testing.T) {
	cases := map[string]struct {
		load   event.Load
		above  int
		placed bool
	}{
		"highest class, memory full":          {event.Load{UsedTokens: 399_000, Running: 9}, 0, false},
		"highest class, headroom free":        {event.Load{UsedTokens: 339_000, Running: 9}, 0, true},
		"lower class, only headroom free":     {event.Load{UsedTokens: 300_000, Running: 9}, 2, false},
		"lower class, prefill work is queued": {event.Load{QueuedTokens: 50_000, Running: 1}, 2, false},
		"lower class, engine idle":            {event.Load{}, 2, true},
		"lower class, batch nearly full":      {event.Load{Running: 30}, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := newState(route.LowestCost{})
			st.Configure(config(decl.Service{}))
			for i := range 4 {
				st.Report(start, report(fmt.Sprintf("lyric-%d", i), start, tc.load))
			}
			pc := criteria(1, 60_000)
			pc.HigherClasses = tc.above
			assert.Equal(t, st.Pick(start, pc) != nil, tc.placed)
		})
	}
}

func TestWindowFollowsTheEngine(t *testing.T) {
	// Eight instances share a replica that runs 32 requests at once. Each starts with a window of twice its fair share. A
	// refusal shrinks the window, and a report that shows room grows it again.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	st.SetInstances(8)
	rep := st.Replicas["lyric-0"]
	assert.Equal(t, rep.Window, 8.0)
	for id := range 8 {
		st.RecordSent(start, "lyric-0", criteria(id, 1000))
	}
	for id := range 4 {
		st.RecordEnd(start, "lyric-0", event.RequestID(id), 0, event.ResultNotRun)
	}
	assert.Assert(t, rep.Window < 6 && rep.Window > 5, "one burst of refusals counts once: %g", rep.Window)
	st.RecordSent(start, "lyric-0", criteria(20, 1000))
	st.Report(at(1), report("lyric-0", at(1), event.Load{Running: 8}))
	assert.Assert(t, rep.Window > 6, "%g", rep.Window)
}

func TestEjection(t *testing.T) {
	// One of four engines breaks off each request. It is ejected after three failures, and then sent one request at a time
	// until it has answered three. The engines of the other failure domain are never ejected along with it, however they
	// fail, since that would be more than a third of the pool.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	fail := func(when time.Time, name string, id int) bool {
		st.RecordSent(when, name, criteria(id, 1000))
		return st.RecordEnd(when, name, event.RequestID(id), 0, event.ResultBroken)
	}
	assert.Assert(t, !fail(start, "lyric-0", 1))
	assert.Assert(t, !fail(start, "lyric-0", 2))
	assert.Assert(t, fail(start, "lyric-0", 3))
	for id := range 12 {
		assert.Assert(t, !fail(start, fmt.Sprintf("lyric-%d", 2+id%2), 10+id), "more than a third of the pool")
	}
	for id := range 20 {
		assert.Assert(t, st.Pick(start, criteria(id, 1000)).Upstream.Name != "lyric-0")
	}
	st.Tick(at(3))
	rep := st.Replicas["lyric-0"]
	for probe := range 3 {
		st.RecordSent(at(3), "lyric-0", criteria(100+probe, 1000))
		for id := range 20 {
			assert.Assert(t, st.Pick(at(3), criteria(id, 1000)).Upstream.Name != "lyric-0", "one probe at a time")
		}
		st.RecordEnd(at(3.1), "lyric-0", event.RequestID(100+probe), 10, event.ResultDone)
	}
	assert.Assert(t, !rep.Probing)
}

func TestAttemptsSentBeforeEjectionAreNotProbes(t *testing.T) {
	// Each engine has many streams in flight. Some break and get it ejected; the others complete or break during the
	// ejection. If the complete ones ended its probation, one engine after another would be ejected until none is left. If
	// the broken ones counted as failures, the first ejection would last a minute.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	id := 0
	for _, name := range []string{"lyric-0", "lyric-1", "lyric-2", "lyric-3"} {
		first := id
		for range 20 {
			st.RecordSent(start, name, criteria(id, 1000))
			id++
		}
		for i := range 20 {
			result := event.ResultBroken
			if i >= 3 && i%2 == 0 {
				result = event.ResultDone
			}
			st.RecordEnd(start, name, event.RequestID(first+i), 5, result)
		}
	}
	assert.Assert(t, st.Pick(start, criteria(id, 1000)) != nil)
	st.Tick(at(3))
	out := 0
	for _, rep := range st.Replicas {
		if rep.Probing {
			out++
			assert.Equal(t, rep.Upstream.FailureDomain, "a", "no replica of the other failure domain is ejected")
		}
		assert.Assert(t, !rep.EjectedUntil.After(at(3)), "%s is ejected until %s", rep.Upstream.Name, rep.EjectedUntil)
	}
	assert.Equal(t, out, 2)
}

func TestSlowReplicaIsEjected(t *testing.T) {
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	for id := range 60 {
		name := fmt.Sprintf("lyric-%d", id%4)
		took := 0.2
		if name == "lyric-2" {
			took = 2
		}
		st.RecordSent(start, name, criteria(id, 2000))
		st.RecordFirstToken(at(took), name, event.RequestID(id))
		st.RecordEnd(at(took+0.1), name, event.RequestID(id), 5, event.ResultDone)
	}
	assert.DeepEqual(t, st.Tick(at(5)), []string{"lyric-2"})
}

func TestStaleListDoesNotRestoreLeavingUpstream(t *testing.T) {
	// A replica is listed as leaving, then not at all, and then a stale list arrives in which it was still live. If that
	// list restored it, requests sent there would be cut off.
	st := route.New("a", 1)
	up := event.Upstream{Name: "lyric-0", Service: "lyric", Address: "127.0.0.1:1", FailureDomain: "a"}
	other := event.Upstream{Name: "lyric-1", Service: "lyric", Address: "127.0.0.1:2", FailureDomain: "a", Leaving: true}
	leaving := up
	leaving.Leaving = true
	for _, listed := range [][]event.Upstream{{up, other}, {leaving, other}, {other}, {up, other}} {
		st.ApplyList(start, event.UpstreamsListed{Upstreams: listed})
	}
	assert.Assert(t, st.Pick(start, criteria(1, 1000)) == nil)
	assert.Assert(t, !st.Serves("lyric"))
	up.Address = "127.0.0.1:3"
	st.ApplyList(start, event.UpstreamsListed{Upstreams: []event.Upstream{up, other}})
	assert.Equal(t, st.Pick(start, criteria(1, 1000)).Upstream.Address, "127.0.0.1:3", "another process of the same name")
}

// TestCountsAreConserved checks, under any order of events, that attempts that have ended leave no counts behind on any
// replica, that no count is ever negative, and that a leaving replica is never picked.
func TestCountsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := newState(route.LowestCost{})
		st.Configure(config(decl.Service{MaxRunning: 4}))
		now := start
		next := 0
		running := map[int]string{}
		left := map[string]bool{}
		names := []string{"lyric-0", "lyric-1", "lyric-2", "lyric-3"}
		draw := func(t *rapid.T) (int, string) {
			for id := 1; id <= next; id++ {
				if name, ok := running[id]; ok && (rapid.Bool().Draw(t, "this") || len(running) == 1) {
					return id, name
				}
			}
			return 0, ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				next++
				pc := criteria(next, rapid.Int64Range(0, 200_000).Draw(t, "prompt"))
				pc.HigherClasses = rapid.IntRange(0, 4).Draw(t, "above")
				pc.Level = 4 - pc.HigherClasses
				pc.Prefixes = []uint64{uint64(next % 3), uint64(next%3 + 10)}
				if rep := st.Pick(now, pc); rep != nil {
					assert.Assert(t, !left[rep.Upstream.Name])
					assert.Assert(t, float64(rep.Running) < rep.Window)
					st.RecordSent(now, rep.Upstream.Name, pc)
					running[next] = rep.Upstream.Name
				}
			},
			"answering": func(t *rapid.T) {
				if id, name := draw(t); id > 0 {
					st.RecordFirstToken(now, name, event.RequestID(id))
				}
			},
			"end": func(t *rapid.T) {
				id, name := draw(t)
				if id == 0 {
					return
				}
				result := event.Result(rapid.IntRange(int(event.ResultDone), int(event.ResultCancelled)).Draw(t, "result"))
				st.RecordEnd(now, name, event.RequestID(id), rapid.Int64Range(0, 100).Draw(t, "tokens"), result)
				st.RecordEnd(now, name, event.RequestID(id), 0, result)
				delete(running, id)
			},
			"report": func(t *rapid.T) {
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				st.Report(now, report(rapid.SampledFrom(names).Draw(t, "name"), now.Add(-age), event.Load{
					Running: rapid.Int64Range(0, 40).Draw(t, "running"), QueuedTokens: rapid.Int64Range(0, 100_000).Draw(t, "queued"),
				}))
			},
			"leave": func(t *rapid.T) {
				name := rapid.SampledFrom(names[2:]).Draw(t, "name")
				left[name] = true
				var listed event.UpstreamsListed
				for _, other := range names {
					up := st.Replicas[other].Upstream
					up.Leaving = other == name || rapid.Bool().Draw(t, "late list") && left[other]
					listed.Upstreams = append(listed.Upstreams, up)
				}
				st.ApplyList(now, listed)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				st.Tick(now)
			},
			"": func(_ *rapid.T) {
				for _, rep := range st.Replicas {
					assert.Assert(t, rep.Running >= 0 && rep.Tokens >= 0)
				}
			},
		})
		for id, name := range running {
			st.RecordEnd(now, name, event.RequestID(id), 0, event.ResultCancelled)
		}
		for _, rep := range st.Replicas {
			assert.Equal(t, rep.Running, int64(0))
			assert.Equal(t, rep.Tokens, int64(0))
		}
		st.Tick(now.Add(2 * time.Minute))
		assert.Assert(t, st.Pick(now.Add(2*time.Minute), criteria(next+1, 100)) != nil, "two replicas never left")
	})
}

func TestRetryPicksEarliestFailedReplica(t *testing.T) {
	// All replicas have failed a request, the last one because it died. If the retry went back to that one, it would use up
	// the retry budget there. It goes to the replica whose failure is the earliest.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	pc := criteria(1, 1000)
	pc.Tried = []string{"lyric-1", "lyric-0", "lyric-3", "lyric-2", "lyric-0"}
	assert.Equal(t, st.Pick(start, pc).Upstream.Name, "lyric-1")
}

func TestLostFailureDomainIsEjectedCompletely(t *testing.T) {
	// Both engines of a failure domain go silent. If only one of them were ejected, requests sent to the other would wait
	// until its silence is noticed. Both are ejected, although they are half of the pool. The engines of the other domain
	// are not ejected while these are.
	st := newState(route.LowestCost{})
	st.Configure(config(decl.Service{}))
	for id := range 12 {
		name := fmt.Sprintf("lyric-%d", id%4)
		st.RecordSent(start, name, criteria(id, 1000))
		st.RecordEnd(start, name, event.RequestID(id), 0, event.ResultSilent)
	}
	for id := range 20 {
		assert.Equal(t, st.Pick(start, criteria(20+id, 1000)).Upstream.FailureDomain, "b")
	}
}

package steer_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestLongPromptIsReadBySeveralEngines(t *testing.T) {
	// A prompt of 154,000 tokens takes one engine three seconds to read, as long as its caller was promised. Guards
	// against leaving it to one engine while others are idle.
	in := newInstance(t, "one", 8)
	sent := find[steer.Send](t, in.arrive(&long, 154_000))
	assert.Assert(t, len(sent.Helpers) >= 2, len(sent.Helpers))
	for _, helper := range sent.Helpers {
		assert.Equal(t, helper.Tokens, int64(0))
	}
}

func TestPromptLargerThanAnEngine(t *testing.T) {
	// A prompt of 400,000 tokens does not fit into the 315,000 of one engine. The helpers must reserve the memory that
	// the first engine lacks.
	in := newInstance(t, "one", 8)
	sent := in.waitForSend(time.Second, in.arrive(&long, 400_000))
	var reserved int64
	for _, helper := range sent.Helpers {
		assert.Assert(t, helper.Tokens <= figures.Memory)
		reserved += helper.Tokens
	}
	assert.Assert(t, reserved >= 401_000-figures.Memory, reserved)
}

func TestLongReadAvoidsEnginesOfShortGapStreams(t *testing.T) {
	// Some engines write short streams that may pause for a quarter of a second. Guards against sending a long prompt
	// there, whose reading takes each of its engines longer than that and makes the streams late. It goes to the other
	// engines.
	in := newInstance(t, "one", 6)
	busy := map[string]bool{}
	for range 12 {
		sent := find[steer.Send](t, in.arrive(&short, 5000))
		busy[sent.Replica.Name] = true
		in.advance(150 * time.Millisecond)
		in.reduce(steer.Began{ID: sent.ID, Attempt: 1})
	}
	assert.Assert(t, len(busy) < 6, busy)
	sent := find[steer.Send](t, in.arrive(&long, 154_000))
	assert.Assert(t, !busy[sent.Replica.Name])
	for _, helper := range sent.Helpers {
		assert.Assert(t, !busy[helper.Name], helper.Name)
	}
}

func TestOneLongReadAtATime(t *testing.T) {
	// An engine reads the newest part before all others. Guards against sending the second long prompt to engines that
	// still read the first, whose answer would then begin after the second, or after all that follow. The second one
	// waits instead.
	in := newInstance(t, "one", 1)
	first := find[steer.Send](t, in.arrive(&long, 100_000))
	none[steer.Send](t, in.arrive(&long, 40_000))
	none[steer.Send](t, in.advance(1400*time.Millisecond))
	find[steer.Send](t, in.reduce(steer.Began{ID: first.ID, Attempt: 1}))
}

func TestWorkOfOtherInstancesCounts(t *testing.T) {
	// Another instance has sent a long prompt to engine 0 and announced it. This instance must use the other engine.
	in := newInstance(t, "one", 2)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{{
		ID: 1, Replicas: []string{"lyric-0"}, Prompt: 154_000, Answer: 1000, Goal: 3000, Gap: 1000, Value: 20,
	}}}})
	sent := in.waitForSend(time.Second, in.arrive(&long, 60_000))
	assert.Equal(t, sent.Replica.Name, "lyric-1")
	assert.Equal(t, len(sent.Helpers), 0)
}

func TestWorkOfTimedOutInstanceExpires(t *testing.T) {
	// An instance dies with work in progress, which its engines drop with its connections. Guards against counting that
	// work any longer than a few seconds.
	in := newInstance(t, "one", 1)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{{
		ID: 1, Replicas: []string{"lyric-0"}, Prompt: 300_000, Answer: 1000, Goal: 3000, Gap: 1000, Value: 20,
	}}}})
	none[steer.Send](t, in.arrive(&long, 100_000))
	find[steer.Send](t, append(in.advance(4100*time.Millisecond), in.arrive(&long, 90_000)...))
}

func TestFewInstancesTakeTheOneFreeSlot(t *testing.T) {
	// Twelve instances have a request waiting while every slot of the only engine is taken, and learn at the same moment
	// of the one that becomes free. Guards against all of them taking it: the engine would have twelve requests too
	// many, whose callers wait behind each other. On average one instance takes it.
	const instances = 12
	takers := 0
	for seed := range 20 {
		for member := range instances {
			takers += takesFreeSlot(t, uint64(seed*instances+member+1), instances)
		}
	}
	assert.Assert(t, takers > 0 && takers < 20*instances/3, takers)
}

// others returns so many other instances, the first of which is named two.
func others(count int) []steer.Instance {
	list := []steer.Instance{{Name: "two"}}
	for i := 1; i < count; i++ {
		list = append(list, steer.Instance{Name: "other-" + strconv.Itoa(i)})
	}
	return list[:count]
}

// takesFreeSlot returns 1 if an instance with a waiting request takes the one slot that becomes free, 0 otherwise.
func takesFreeSlot(t *testing.T, seed uint64, instances int) int {
	in := &instance{t: t, now: start, st: steer.New(steer.Options{Name: "one", FailureDomain: "a", Run: 1, Seed: seed})}
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}}}})
	in.reduce(steer.Listed{Replicas: replicas(1)})
	in.reduce(steer.Peered{Instances: others(instances - 1), Listed: true})
	nt := steer.Note{From: "two", Run: 1}
	for id := range figures.Slots {
		nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(id), Replicas: []string{"lyric-0"}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
	}
	in.reduce(steer.NoteReceived{Note: nt})
	none[steer.Send](t, in.arrive(&short, 2000))
	in.now = in.now.Add(20 * time.Millisecond)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Ended: []steer.JobID{0}}})
	// An instance that takes the slot claims it now and sends the request a moment later.
	in.reduce(steer.Ticked{})
	for _, eff := range in.advance(5 * time.Millisecond) {
		if _, ok := eff.(steer.Send); ok {
			return 1
		}
	}
	return 0
}

func TestRequestWithoutReplicaIsRefusedEarly(t *testing.T) {
	// No engine has room. A caller at its first try must be refused early with a retry time, within the share of its
	// time that callers wait when asked to. A caller that retries has no further try, so its request keeps waiting.
	in := newInstance(t, "one", 0)
	none[steer.Finish](t, in.arrive(&short, 5000))
	fin := find[steer.Finish](t, in.advance(250*time.Millisecond))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonBusy)
	assert.Assert(t, fin.Refusal.NotRun)
	assert.Assert(t, fin.Refusal.RetryAfter > 0 && fin.Refusal.RetryAfter <= short.Timeout.Std()/3, fin.Refusal.RetryAfter)

	in.reduce(steer.Arrived{ID: 98, Route: &short, Prompt: 5000, Answer: 1000, Digest: 98, StatedTimeout: 10 * time.Second, Deadline: in.now.Add(10 * time.Second), LeavesAt: in.now.Add(2 * time.Second)})
	find[steer.Finish](t, in.advance(250*time.Millisecond))
	back := steer.Arrived{ID: 99, StatedTimeout: 8 * time.Second, Route: &short, Prompt: 5000, Answer: 1000, Digest: 99, Deadline: in.now.Add(8 * time.Second), LeavesAt: in.now.Add(2 * time.Second)}
	in.reduce(back)
	none[steer.Finish](t, in.advance(250*time.Millisecond))
	find[steer.Finish](t, in.advance(1800*time.Millisecond))
}

func TestRequestsThatCanMeetTheirGoalGoFirst(t *testing.T) {
	// Requests pile up while the engine is away. Guards against sending them in the order of arrival once it is back,
	// which makes every one of them late: one that can still be in time goes before those that are late already.
	in := newInstance(t, "one", 0)
	old := steer.Arrived{ID: 50, Route: &short, Prompt: 5000, Answer: 1000, Digest: 50, Deadline: in.now.Add(9 * time.Second), LeavesAt: in.now.Add(2 * time.Second)}
	in.reduce(old)
	in.advance(400 * time.Millisecond)
	in.arrive(&short, 5000)
	list := replicas(1)
	list[0].Slots = 1
	var order []steer.RequestID
	for _, eff := range in.reduce(steer.Listed{Replicas: list}) {
		if sent, ok := eff.(steer.Send); ok {
			order = append(order, sent.ID)
		}
	}
	assert.Equal(t, order[0], steer.RequestID(1))
}

func TestAnyOrderOfEventsEndsEachRequestOnce(t *testing.T) {
	// For any order of events, each request gets exactly one Finish, never a Send after it or while another attempt is
	// running, and the limit of attempts that may have run holds.
	rapid.Check(t, func(rt *rapid.T) {
		in := newInstance(t, "one", rapid.IntRange(0, 3).Draw(rt, "engines"))
		running := map[steer.RequestID]steer.Send{}
		finished := map[steer.RequestID]int{}
		runs := map[steer.RequestID]int{}
		record := func(effects []steer.Effect) {
			for _, eff := range effects {
				switch eff := eff.(type) {
				case steer.Send:
					_, twice := running[eff.ID]
					assert.Assert(rt, !twice && finished[eff.ID] == 0)
					running[eff.ID] = eff
				case steer.Finish:
					finished[eff.ID]++
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				route := rapid.SampledFrom([]*decl.Route{&short, &long, &update, &lookup}).Draw(rt, "route")
				record(in.arrive(route, int64(rapid.IntRange(1, 500_000).Draw(rt, "prompt"))*int64(len(route.Name)&1)))
			case 1:
				for _, id := range slices.Sorted(maps.Keys(running))[:min(1, len(running))] {
					sent := running[id]
					delete(running, id)
					result := steer.Result(rapid.IntRange(1, 9).Draw(rt, "result"))
					proof := proofOf(result)
					if proof == norun.None {
						runs[id]++
					}
					record(in.reduce(steer.AttemptEnded{ID: id, Attempt: sent.Attempt, Result: result, Proof: proof, Died: rapid.Bool().Draw(rt, "died")}))
				}
			case 2:
				record(in.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond))
			case 3:
				record(in.reduce(steer.CallerGone{ID: steer.RequestID(rapid.IntRange(1, 20).Draw(rt, "gone"))}))
			case 4:
				record(in.reduce(steer.Listed{Replicas: replicas(rapid.IntRange(0, 4).Draw(rt, "listed")), AfterOutage: rapid.Bool().Draw(rt, "away")}))
			case 5:
				for _, id := range slices.Sorted(maps.Keys(running)) {
					record(in.reduce(steer.Began{ID: id, Attempt: running[id].Attempt}))
				}
			}
		}
		record(in.advance(20 * time.Second))
		for len(running) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(running)))
			attempt := running[id].Attempt
			delete(running, id)
			record(in.reduce(steer.CallerGone{ID: id}))
			record(in.reduce(steer.AttemptEnded{ID: id, Attempt: attempt, Result: steer.ResultCancelled}))
		}
		assert.Equal(rt, in.st.Open(), 0)
		for id := steer.RequestID(1); id <= in.next; id++ {
			assert.Equal(rt, finished[id], 1)
			assert.Assert(rt, runs[id] <= 2)
		}
		assert.Equal(rt, in.summarizedJobs(), 0)
	})
}

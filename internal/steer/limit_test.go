package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestLimitHoldsForAnyNumberOfInstances(t *testing.T) {
	// Guards against a limit that each instance applies by itself: many instances that each send little would together send
	// the replica many times the two requests a second that it accepts.
	for _, instances := range []int{1, 6, 9, 59, 88, 195, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			lw := newLimitWorld(1, instances, replicas(4), usualBudget)
			lw.load(40, 16*time.Second, &short, 5000)
			lw.advance(2 * time.Second)
			for _, name := range []string{"lyric-0", "lyric-1"} {
				lw.setLimit(name, 2.1)
			}
			lw.advance(14 * time.Second)
			for _, name := range []string{"lyric-0", "lyric-1"} {
				assert.Assert(t, lw.maxExcess(name, 2.1) <= 0, "%s got %d more than allowed", name, lw.maxExcess(name, 2.1))
			}
			assert.Equal(t, len(lw.refusals), 0)
		})
	}
}

func TestLimitIsUsedUpWhenAllReplicasAreLimited(t *testing.T) {
	// Guards against unused capacity: if all replicas of a plain service are limited and far less than the limits is sent,
	// callers are refused that could be served.
	for _, instances := range []int{2, 9, 88} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			lw := newLimitWorld(2, instances, replicas(1), usualBudget)
			lw.load(12, 22*time.Second, &update, 0)
			lw.advance(2 * time.Second)
			for _, name := range []string{"board-0", "board-1"} {
				lw.setLimit(name, 3)
			}
			lw.advance(20 * time.Second)
			for _, name := range []string{"board-0", "board-1"} {
				assert.Assert(t, lw.maxExcess(name, 3) <= 0, "%s got %d more than allowed", name, lw.maxExcess(name, 3))
				used := lw.receivedIn(name, 12*time.Second)
				assert.Assert(t, used >= 30, "%s got %d of the 36 that it takes", name, used)
			}
			for _, ref := range lw.refusals {
				assert.Assert(t, ref.NotRun && ref.RetryAfter > 0, "%+v", ref)
			}
		})
	}
}

func TestHigherValueGoesFirstUnderLimit(t *testing.T) {
	// One engine accepts three requests a second. Ten with short prompts arrive a second, and some with long prompts of many
	// times the value, and all can wait. In order of arrival both kinds would be served equally often. Requests of lower
	// value must not starve either.
	patient := long
	patient.Name = "patient"
	cases := map[string]struct{ long, minLong, minShort float64 }{
		"capacity for all requests of higher value":   {2, 0.6, 0.05},
		"more requests of higher value than capacity": {8, 0.25, 0.03},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived, served := map[string]int{}, map[string]int{}
			for seed := uint64(1); seed <= 10; seed++ {
				lw := newLimitWorld(seed, 9, replicas(1), usualBudget)
				lw.setLimit("lyric-0", 3)
				lw.load(10, 30*time.Second, &patient, 5000)
				lw.load(tc.long, 30*time.Second, &long, 45_000)
				lw.advance(32 * time.Second)
				for _, route := range []string{"long", "patient"} {
					arrived[route] += lw.arrived[route]
					served[route] += lw.served[route]
				}
			}
			part := func(route string) float64 { return float64(served[route]) / float64(arrived[route]) }
			t.Logf("%.2f of the long prompts served, %.2f of the short ones", part("long"), part("patient"))
			assert.Assert(t, part("long") >= tc.minLong && part("patient") >= tc.minShort)
		})
	}
}

func TestLimitEndsAtAllInstances(t *testing.T) {
	// A replica with a limit of 0 ends it while it receives few requests. All instances must notice and use the replica
	// fully again.
	lw := newLimitWorld(3, 9, replicas(1), usualBudget)
	lw.load(12, 30*time.Second, &update, 0)
	lw.advance(2 * time.Second)
	lw.setLimit("board-0", 0)
	lw.advance(8 * time.Second)
	assert.Assert(t, lw.receivedIn("board-0", 4*time.Second) <= 5)
	lw.endLimit("board-0")
	lw.advance(6 * time.Second)
	for _, node := range lw.nodes {
		assert.Equal(t, len(node.st.Limits(lw.now)), 0, node.name)
	}
	assert.Assert(t, lw.receivedIn("board-0", time.Second) >= 3)
}

func TestLimitFollowsNewestAnswer(t *testing.T) {
	// Answers can overtake each other. An answer without a limit to a request that was sent before the limit arrived must
	// not end the limit.
	in := newInstance(t, "one", 2)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{Limited: true, PerS: 2}})
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now.Add(-time.Millisecond)})
	assert.Equal(t, len(in.st.Limits(in.now)), 1)
	in.now = in.now.Add(time.Millisecond)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now})
	assert.Equal(t, len(in.st.Limits(in.now)), 0)
}

func TestNewIncarnationHasNoLimit(t *testing.T) {
	in := newInstance(t, "one", 1)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{Limited: true, PerS: 2}})
	list := replicas(1)
	list[0].Born = 2
	in.reduce(steer.Listed{Replicas: list})
	assert.Equal(t, len(in.st.Limits(in.now)), 0)
	in.reduce(steer.ResponseReceived{Replica: "lyric-0", Born: 1, Sent: in.now, Announced: notice.Announced{Limited: true, PerS: 2}})
	assert.Equal(t, len(in.st.Limits(in.now)), 0)
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Limits: []steer.Limit{{Replica: "lyric-0", Born: 1, PerS: 2}}}})
	assert.Equal(t, len(in.st.Limits(in.now)), 0)
}

func TestLimitIsLearnedFromNotes(t *testing.T) {
	// An instance that knows of a limit only from a note must ask before it sends.
	in := newInstance(t, "one", 1)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Limits: []steer.Limit{{Replica: "lyric-0", Born: 1, PerS: 1}}}})
	sent, asked := 0, 0
	for range 6 {
		for _, eff := range in.arrive(&short, 5000) {
			switch eff := eff.(type) {
			case steer.Send:
				sent++
			case steer.SendNote:
				asked += len(eff.Note.GrantRequests)
			}
		}
	}
	assert.Assert(t, sent <= 2 && sent+asked > 0, "%d sent, %d asked", sent, asked)
}

func TestLimitHoldsUnderRandomFaults(t *testing.T) {
	// Instances restart, freeze and are cut off for a time, notes are late or lost, and limits end. A replica must not
	// receive more than the rule allows in any window.
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(rt, "instances")
		lw := newLimitWorld(rapid.Uint64().Draw(rt, "seed"), instances, replicas(rapid.IntRange(1, 4).Draw(rt, "engines")), usualBudget)
		lw.delay = time.Duration(rapid.IntRange(1, 8).Draw(rt, "delay")) * time.Millisecond
		lw.loss = rapid.SampledFrom([]float64{0, 0.03, 0.2}).Draw(rt, "loss")
		const lasts = 12 * time.Second
		lw.load(float64(rapid.IntRange(2, 40).Draw(rt, "streams")), lasts, &short, 5000)
		lw.load(float64(rapid.IntRange(1, 30).Draw(rt, "updates")), lasts, &update, 0)
		lw.load(0.5, lasts, &long, 150_000)
		lw.advance(2 * time.Second)
		limits := map[string]float64{}
		for _, rep := range lw.replicas {
			if rapid.Bool().Draw(rt, "limited") {
				limits[rep.Name] = rapid.Float64Range(0, 6).Draw(rt, "limit")
				lw.setLimit(rep.Name, limits[rep.Name])
			}
		}
		for range rapid.IntRange(0, 5).Draw(rt, "faults") {
			lw.advance(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			lw.disturb(rt)
		}
		lw.advance(lasts - lw.now.Sub(start))
		for name, perS := range limits {
			if over := lw.maxExcess(name, perS); over > 0 {
				rt.Fatalf("%s with a limit of %.2f got %d more than allowed", name, perS, over)
			}
		}
	})
}

// disturb restarts, freezes or cuts off an instance, or ends the limit of a replica.
func (lw *limitWorld) disturb(rt *rapid.T) {
	node := rapid.SampledFrom(lw.nodes).Draw(rt, "instance")
	period := time.Duration(rapid.IntRange(100, 5000).Draw(rt, "period")) * time.Millisecond
	switch rapid.SampledFrom([]string{"restart", "freeze", "cut", "end"}).Draw(rt, "fault") {
	case "restart":
		node.disturbedUntil = lw.now
		lw.boot(node)
	case "freeze":
		node.frozen = lw.now.Add(period)
		node.disturbedUntil = node.frozen
	case "cut":
		node.cut = lw.now.Add(period)
		node.disturbedUntil = node.cut
	case "end":
		lw.endLimit(rapid.SampledFrom(lw.replicas).Draw(rt, "replica").Name)
	}
}

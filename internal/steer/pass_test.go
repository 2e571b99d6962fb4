package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// estimate lets a request arrive and returns the estimated time until its first event.
func (in *instance) estimate(route *decl.Route, prompt int64) time.Duration {
	in.t.Helper()
	in.next++
	ev := steer.Arrived{
		ID: in.next, Route: route, Name: "request", Prompt: prompt, Answer: 1000, Digest: steer.Digest(in.next),
		Deadline: in.now.Add(route.Timeout.Std()), LeavesAt: in.now.Add(2 * time.Second),
	}
	for _, eff := range in.st.Reduce(in.now, ev) {
		if line, ok := eff.(steer.LogLine); ok && line.Message == "request sent" {
			return line.Estimate
		}
	}
	in.t.Fatal("nothing was sent")
	return 0
}

func TestEstimateCountsThePassUnderWay(t *testing.T) {
	// The only engine writes a stream, an event of which has just come, so a pass of about 44 ms has begun. What arrives
	// now waits for all of it, what arrives 30 ms later for the rest. Guards against estimates from the reading alone,
	// which are the same for both: a request just after an event would be late although it was estimated to be in time.
	cases := map[string]struct {
		after        time.Duration
		lower, upper time.Duration
	}{
		"at the start of a pass": {time.Millisecond, 115 * time.Millisecond, 123 * time.Millisecond},
		"near its end":           {31 * time.Millisecond, 85 * time.Millisecond, 93 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			sent := find[steer.Send](t, in.arrive(&short, 5000))
			in.advance(40 * time.Millisecond)
			in.reduce(steer.Began{ID: sent.ID, Attempt: 1})
			in.advance(57 * time.Millisecond)
			in.reduce(steer.Progressed{ID: sent.ID, Attempt: 1})
			in.now = in.now.Add(tc.after)
			estimate := in.estimate(&short, 5000)
			assert.Assert(t, estimate > tc.lower && estimate < tc.upper, estimate)
		})
	}
}

func TestEngineThatDeclaresNoTime(t *testing.T) {
	// An operator declares an engine whose steps take no time. Guards against passes without length: the reducer, which
	// advances from one to the next until now, would never return while it holds the instance's lock.
	in := newInstance(t, "one", 1)
	timeless := figures
	timeless.Step, timeless.PerWriter, timeless.PerContext = 0, 0, 0
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Services: map[string]decl.Pool{"lyric": {Engine: &timeless}, "board": {}}}})
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	in.reduce(steer.Began{ID: sent.ID, Attempt: 1})
	in.advance(10 * time.Second)
	find[steer.Send](t, in.arrive(&short, 5000))
}

func TestReadsInOnePassAddUp(t *testing.T) {
	// The engine writes a stream that may pause for a quarter of a second. Another instance has just sent it 120 ms of
	// reading, which waits for the next pass. Guards against pricing 90 ms more alone, which are harmless: in the same
	// pass the stream would pause for too long. They go to the other engine, although that is in another failure domain.
	in := newInstance(t, "one", 1)
	list := replicas(2)
	list[1].FailureDomain = "b"
	in.reduce(steer.Listed{Replicas: list})
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{
		{ID: 1, Replicas: []string{"lyric-0"}, Prompt: 5000, Answer: 1000, Goal: 300, Gap: 250, Value: 1.3, Begun: true},
	}}})
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{
		{ID: 2, Replicas: []string{"lyric-0"}, Prompt: 17_000, Answer: 1000, Goal: 300, Gap: 250, Value: 1.3},
	}}})
	sent := find[steer.Send](t, in.arrive(&short, 13_000))
	assert.Equal(t, sent.Replica.Name, "lyric-1")
}

func TestEngineThatAnswersALongPromptTakesNoOtherPart(t *testing.T) {
	// The engine reads a long prompt, and the reading takes longer than estimated. Guards against sending it a part of
	// another prompt meanwhile, which is read before the rest, so that the first prompt's answer begins far too late
	// (1.4 s for a reading that took 5% longer). The engine takes no other prompt until the answer begins.
	in := newInstance(t, "one", 1)
	first := find[steer.Send](t, in.arrive(&long, 100_000))
	none[steer.Send](t, in.arrive(&long, 60_000))
	for range 10 {
		none[steer.Send](t, in.advance(160*time.Millisecond))
	}
	find[steer.Send](t, in.reduce(steer.Began{ID: first.ID, Attempt: 1}))
}

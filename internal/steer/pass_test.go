package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// estimate brings a request and returns the reckoned time to its first event.
func (in *instance) estimate(route *decl.Route, prompt int64) time.Duration {
	in.t.Helper()
	in.next++
	ev := steer.Arrived{
		ID: in.next, Route: route, Name: "request", Prompt: prompt, Answer: 1000, Digest: steer.Digest(in.next),
		Deadline: in.now.Add(route.Timeout.Std()), Patience: in.now.Add(2 * time.Second),
	}
	for _, eff := range in.st.Reduce(in.now, ev) {
		if line, ok := eff.(steer.Line); ok && line.Message == "request sent" {
			return line.Estimate
		}
	}
	in.t.Fatal("nothing was sent")
	return 0
}

func TestEstimateCountsThePassUnderWay(t *testing.T) {
	// The only engine writes a stream, an event of which has just come: a pass of some 44 ms has begun. What comes now waits
	// for all of it, what comes 30 ms later for the rest. Reckoned as reading alone both had the same estimate, and a
	// request just after an event was late where it was reckoned to be in time.
	cases := map[string]struct {
		after       time.Duration
		least, most time.Duration
	}{
		"at the start of a pass": {time.Millisecond, 115 * time.Millisecond, 123 * time.Millisecond},
		"near its end":           {31 * time.Millisecond, 85 * time.Millisecond, 93 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 1)
			sent := find[steer.Send](t, in.arrive(&short, 5000))
			in.pass(40 * time.Millisecond)
			in.reduce(steer.Began{ID: sent.ID, Attempt: 1})
			in.pass(57 * time.Millisecond)
			in.reduce(steer.Progressed{ID: sent.ID, Attempt: 1})
			in.now = in.now.Add(tc.after)
			estimate := in.estimate(&short, 5000)
			assert.Assert(t, estimate > tc.least && estimate < tc.most, estimate)
		})
	}
}

func TestEngineThatDeclaresNoTime(t *testing.T) {
	// An operator declares an engine whose steps take no time. Its passes have no length, and the reducer, which goes from
	// one to the next until now, went on for ever with the instance's lock held.
	in := newInstance(t, "one", 1)
	timeless := figures
	timeless.Step, timeless.PerWriter, timeless.PerContext = 0, 0, 0
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Services: map[string]decl.Pool{"lyric": {Engine: &timeless}, "board": {}}}})
	sent := find[steer.Send](t, in.arrive(&short, 5000))
	in.reduce(steer.Began{ID: sent.ID, Attempt: 1})
	in.pass(10 * time.Second)
	find[steer.Send](t, in.arrive(&short, 5000))
}

func TestReadsThatMeetInOnePassCountTogether(t *testing.T) {
	// The engine writes a stream that may pause a quarter of a second. Another instance has just sent it 120 ms of reading,
	// which waits for the next pass. 90 ms more are harmless alone, but in the same pass the stream would pause for too
	// long: they go to the other engine, though that one is farther away.
	in := newInstance(t, "one", 1)
	list := replicas(2)
	list[1].FailureDomain = "b"
	in.reduce(steer.Listed{Replicas: list})
	in.reduce(steer.Heard{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{
		{ID: 1, Replicas: []string{"lyric-0"}, Prompt: 5000, Answer: 1000, Goal: 300, Gap: 250, Value: 1.3, Begun: true},
	}}})
	in.reduce(steer.Heard{Note: steer.Note{From: "two", Run: 1, Jobs: []steer.Job{
		{ID: 2, Replicas: []string{"lyric-0"}, Prompt: 17_000, Answer: 1000, Goal: 300, Gap: 250, Value: 1.3},
	}}})
	sent := find[steer.Send](t, in.arrive(&short, 13_000))
	assert.Equal(t, sent.Replica.Name, "lyric-1")
}

func TestEngineThatAnswersALongPromptIsKeptForIt(t *testing.T) {
	// Two engines read a long prompt, and the reading takes 5% longer than reckoned. A part of another prompt that is sent
	// meanwhile is read before what is left: the first prompt's answer then came 1.4 s late. The engine that answers it is
	// kept until the answer begins.
	in := newInstance(t, "one", 1)
	first := find[steer.Send](t, in.arrive(&long, 100_000))
	none[steer.Send](t, in.arrive(&long, 60_000))
	for range 10 {
		none[steer.Send](t, in.pass(160*time.Millisecond))
	}
	find[steer.Send](t, in.reduce(steer.Began{ID: first.ID, Attempt: 1}))
}

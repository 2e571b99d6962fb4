package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// onceStream returns a route of streams that run once.
func onceStream() *decl.Route {
	route := short
	route.Name, route.Repeats = "once", decl.RetryNone
	return &route
}

func TestSilenceEndsNoAnswer(t *testing.T) {
	// Guards against an attempt that is ended since its replica is silent, although no other run of the request can follow: the caller's answer
	// ends early, or the caller gets an error, while the replica may be sound and at work.
	single := short
	single.Attempts = 1
	cases := map[string]struct {
		route   *decl.Route
		engines int
		begun   bool
		// before is called before the replica falls silent.
		before func(in *instance)
		event  steer.FellSilent
		moved  bool
	}{
		"begun, may be resumed":               {&short, 2, true, nil, steer.FellSilent{}, true},
		"begun, may be resumed, others heard": {&short, 2, true, nil, steer.FellSilent{OthersHeard: true}, true},
		"begun, may be resumed, unreachable":  {&short, 2, true, nil, steer.FellSilent{Unreachable: true}, true},
		"begun, runs once":                    {onceStream(), 2, true, nil, steer.FellSilent{}, false},
		"begun, runs once, unreachable":       {onceStream(), 2, true, nil, steer.FellSilent{Unreachable: true}, false},
		"begun, runs once, others heard":      {onceStream(), 2, true, nil, steer.FellSilent{OthersHeard: true}, false},
		"begun, no attempt left":              {&single, 2, true, nil, steer.FellSilent{Unreachable: true}, false},
		"begun, no other replica":             {&short, 1, true, nil, steer.FellSilent{Unreachable: true}, false},
		"begun, no replica with room":         {&short, 2, true, (*instance).fillEngines, steer.FellSilent{}, false},
		"begun, no budget":                    {&short, 4, true, (*instance).useBudget, steer.FellSilent{}, false},
		"begun, the instance ends": {&short, 2, true, func(in *instance) {
			in.reduce(steer.Draining{RefuseWaitingAt: in.now, AbortAt: in.now})
		}, steer.FellSilent{}, false},
		"not begun, may be repeated": {&short, 2, false, nil, steer.FellSilent{}, true},
		"not begun, runs once":       {onceStream(), 2, false, nil, steer.FellSilent{Unreachable: true}, false},
		"not begun, no replica":      {&short, 1, false, nil, steer.FellSilent{Unreachable: true}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", tc.engines)
			sent := find[steer.Send](t, in.arrive(tc.route, 2000))
			if tc.begun {
				in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
			}
			if tc.before != nil {
				tc.before(in)
			}
			in.now = in.now.Add(1100 * time.Millisecond)
			tc.event.ID, tc.event.Attempt, tc.event.Silent = sent.ID, sent.Attempt, 1100*time.Millisecond
			for range 3 {
				effects := in.reduce(tc.event)
				none[steer.Finish](t, effects)
				if tc.moved {
					abort := find[steer.Abort](t, effects)
					assert.Equal(t, abort.Proof, cutoff.Resumed)
					none[steer.Abort](t, in.reduce(tc.event))
					again := in.waitForSend(100*time.Millisecond, in.end(sent, steer.ResultSilent))
					assert.Assert(t, again.Replica.Name != sent.Replica.Name && again.NewConnection)
					return
				}
				none[steer.Abort](t, effects)
				in.now = in.now.Add(1100 * time.Millisecond)
			}
			assert.Assert(t, find[steer.Finish](t, in.end(sent, steer.ResultDone)).Refusal == nil)
		})
	}
}

// fillEngines lets another instance take all slots of the engines.
func (in *instance) fillEngines() {
	nt := steer.Note{From: "two", Run: 1}
	for _, engine := range []string{"lyric-0", "lyric-1"} {
		for range figures.Slots {
			nt.Jobs = append(nt.Jobs, steer.Job{ID: steer.JobID(len(nt.Jobs) + 1), Replicas: []string{engine}, Prompt: 1000, Goal: 300, Gap: 250, Begun: true})
		}
	}
	in.reduce(steer.NoteReceived{Note: nt})
}

// useBudget uses up the budget of repeats of the engines.
func (in *instance) useBudget() {
	for range 100 {
		sent := find[steer.Send](in.t, in.arrive(&short, 500))
		in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
		effects := in.end(sent, steer.ResultBroken)
		for _, eff := range effects {
			if fin, ok := eff.(steer.Finish); ok && fin.Refusal.Reason == steer.ReasonBudget {
				return
			}
		}
		in.end(in.waitForSend(100*time.Millisecond, effects), steer.ResultDone)
	}
	in.t.Fatal("the budget was not used up")
}

func TestRunGrantedForSilenceIsChargedOnce(t *testing.T) {
	// Guards against a budget of repeats that is charged twice, or never, for a run that was granted since a replica was silent: the charge is made
	// before the silent attempt ends. If that one ends with its whole answer after all, nothing was sent again.
	for name, tc := range map[string]struct {
		result            steer.Result
		charged, released int64
	}{
		"resumed":                 {steer.ResultSilent, 1, 0},
		"broken meanwhile":        {steer.ResultBroken, 1, 0},
		"answered after all":      {steer.ResultDone, 1, 1},
		"caller left, all closed": {steer.ResultCancelled, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 2)
			sent := find[steer.Send](t, in.arrive(&short, 2000))
			in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
			in.now = in.now.Add(1100 * time.Millisecond)
			find[steer.Abort](t, in.reduce(steer.FellSilent{ID: sent.ID, Attempt: sent.Attempt}))
			effects := in.end(sent, tc.result)
			if tc.released == 0 {
				again := in.waitForSend(100*time.Millisecond, effects)
				in.reduce(steer.Began{ID: again.ID, Attempt: again.Attempt})
				in.end(again, steer.ResultDone)
			}
			_, totals := in.st.RepeatStatus(in.now)
			assert.Equal(t, totals.Taken, tc.charged)
			assert.Equal(t, totals.Released, tc.released)
			assert.Equal(t, totals.Settled, tc.charged-tc.released)
		})
	}
}

func TestSilentReplicaThatOthersHearIsNotAvoided(t *testing.T) {
	// Guards against an engine that every instance avoids for a while because it has preempted one request: it goes on serving all others.
	for name, tc := range map[string]struct {
		event steer.FellSilent
		down  int
	}{
		"others heard":  {steer.FellSilent{OthersHeard: true}, 0},
		"nothing heard": {steer.FellSilent{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 2)
			sent := find[steer.Send](t, in.arrive(onceStream(), 2000))
			in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
			tc.event.ID, tc.event.Attempt = sent.ID, sent.Attempt
			assert.Equal(t, len(announcedDown(in.reduce(tc.event))), tc.down)
			assert.Equal(t, len(announcedDown(in.reduce(tc.event))), 0)
		})
	}
}

func TestStreamThatBreaksOffLateIsResumed(t *testing.T) {
	// Guards against a stream that breaks off, or falls silent, some seconds after it has begun and is not resumed although engines are idle: the time
	// at which its caller would have left without a first event has passed, so that any placement seemed to lose all of its value. It would wait for a
	// replica until its deadline.
	for name, end := range map[string]func(in *instance, sent steer.Send) []steer.Effect{
		"broken": func(in *instance, sent steer.Send) []steer.Effect { return in.end(sent, steer.ResultBroken) },
		"silent": func(in *instance, sent steer.Send) []steer.Effect {
			find[steer.Abort](in.t, in.reduce(steer.FellSilent{ID: sent.ID, Attempt: sent.Attempt}))
			return in.end(sent, steer.ResultSilent)
		},
	} {
		for _, route := range []*decl.Route{&short, &long} {
			for _, age := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second} {
				for _, silent := range []time.Duration{0, 1100 * time.Millisecond, 4400 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s, %s, begun for %s, silent for %s", name, route.Name, age, silent), func(t *testing.T) {
						in := newInstance(t, "one", 4)
						sent := find[steer.Send](t, in.arrive(route, 2000))
						in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
						in.now = in.now.Add(max(0, age-silent))
						in.reduce(steer.Progressed{ID: sent.ID, Attempt: sent.Attempt})
						in.advance(min(silent, age))
						again := in.waitForSend(50*time.Millisecond, end(in, sent))
						assert.Assert(t, again.Replica.Name != sent.Replica.Name)
					})
				}
			}
		}
	}
}

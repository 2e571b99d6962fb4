package steer_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// asked tells an instance what callers of another one asked of the engines.
func (in *instance) asked(dm steer.Demand) {
	in.reduce(steer.Heard{Note: steer.Note{From: "two", Run: 1, Whole: true, Demand: dm}})
	in.reduce(steer.Summarized{})
}

// backlog lets every engine but the last two read a long prompt of another instance.
func (in *instance) backlog(engines int) {
	nt := steer.Note{From: "two", Run: 1}
	for engine := range engines - 2 {
		nt.Jobs = append(nt.Jobs, steer.Job{
			ID: steer.JobID(engine), Replicas: []string{replicas(engines)[engine].Name}, Prompt: 100_000, Answer: 1000, Goal: 3000, Gap: 1000, Value: 10,
		})
	}
	in.reduce(steer.Heard{Note: nt})
}

func TestEngineTimeIsPricedByWhatCallersAsk(t *testing.T) {
	// Guards against a price of engine time that fits one mix of callers: behind the same backlog a long prompt goes at once
	// where callers ask for nothing better and their goals leave room, and waits where its engines would displace what is
	// worth many times as much.
	cases := map[string]struct {
		asked steer.Demand
		sent  bool
	}{
		"little worth for much reading": {steer.Demand{Value: 400, Reading: 400, Room: 2400}, true},
		"much worth for little reading": {steer.Demand{Value: 16_000, Reading: 400, Room: 400}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 8)
			in.asked(tc.asked)
			in.backlog(8)
			sends := 0
			for _, eff := range in.arrive(&long, 100_000) {
				if _, ok := eff.(steer.Send); ok {
					sends++
				}
			}
			assert.Equal(t, sends == 1, tc.sent)
		})
	}
}

func TestDemandThatCannotBeIsLeftOut(t *testing.T) {
	// Guards against notes of another build or sender that would make engine time worth nothing or everything.
	cases := map[string]steer.Demand{
		"below nothing": {Value: -1e6, Reading: 1},
		"no number":     {Value: float32(math.NaN()), Reading: 1, Room: 1},
		"no end":        {Value: float32(math.Inf(1)), Reading: 1, Room: 1},
	}
	for name, dm := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 8)
			in.asked(dm)
			find[steer.Send](t, in.arrive(&long, 154_000))
		})
	}
}

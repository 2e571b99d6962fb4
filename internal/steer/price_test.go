package steer_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// receiveDemand sends the instance a note with the demand at another one.
func (in *instance) receiveDemand(dm steer.Demand) {
	in.reduce(steer.NoteReceived{Note: steer.Note{From: "two", Run: 1, Full: true, Demand: dm}})
	in.reduce(steer.Summarized{})
}

// occupyAllButTwo lets all but two of the engines read a long prompt of another instance.
func (in *instance) occupyAllButTwo(engines int) {
	nt := steer.Note{From: "two", Run: 1}
	for engine := range engines - 2 {
		nt.Jobs = append(nt.Jobs, steer.Job{
			ID: steer.JobID(engine), Replicas: []string{replicas(engines)[engine].Name}, Prompt: 100_000, Answer: 1000, Goal: 3000, Gap: 1000, Value: 10,
		})
	}
	in.reduce(steer.NoteReceived{Note: nt})
}

func TestEngineTimeIsPricedByDemand(t *testing.T) {
	// Guards against a price of engine time that fits one mix of callers only. Behind the same backlog a long prompt is
	// sent at once if callers ask for nothing of higher value and their goals leave room, and waits if its engines would
	// displace requests of many times its value.
	cases := map[string]struct {
		demand steer.Demand
		sent   bool
	}{
		"low value for each second of reading":  {steer.Demand{Value: 400, Reading: 400, WeightedGoal: 2400}, true},
		"high value for each second of reading": {steer.Demand{Value: 16_000, Reading: 400, WeightedGoal: 400}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 8)
			in.receiveDemand(tc.demand)
			in.occupyAllButTwo(8)
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

func TestInvalidDemandIsIgnored(t *testing.T) {
	// Guards against notes of another version or sender that would set the price of engine time to zero or infinity.
	cases := map[string]steer.Demand{
		"negative":     {Value: -1e6, Reading: 1},
		"not a number": {Value: float32(math.NaN()), Reading: 1, WeightedGoal: 1},
		"infinite":     {Value: float32(math.Inf(1)), Reading: 1, WeightedGoal: 1},
	}
	for name, dm := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 8)
			in.receiveDemand(dm)
			find[steer.Send](t, in.arrive(&long, 154_000))
		})
	}
}

package steer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestRequestThatCannotMeetItsGoalIsPricedAsLate(t *testing.T) {
	// Guards against a prompt that waits for a placement in time although all engines together would not read it in
	// time: it would be refused when most of its goal had passed, retried and refused again, while the engines are idle.
	in := newInstance(t, "one", 8)
	route := long
	route.Goal = seconds(1)
	find[steer.Send](t, in.arrive(&route, 400_000))
}

func TestFirstTryThatCannotMeetItsGoalIsRefusedBeforeIt(t *testing.T) {
	// Guards against a prompt that cannot be in time and is held far beyond its goal while all engines read for others.
	in := newInstance(t, "one", 4)
	route := long
	route.Goal = seconds(1)
	in.receiveDemand(steer.Demand{Value: 40_000, Reading: 400, WeightedGoal: 400})
	in.occupyAllButTwo(6)
	none[steer.Send](t, in.arrive(&route, 400_000))
	fin := find[steer.Finish](t, in.advance(700*time.Millisecond))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonBusy)
	assert.Assert(t, fin.Refusal.NotRun && fin.Refusal.RetryAfter > 0)
}

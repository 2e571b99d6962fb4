package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// fleetBudget is the repeat budget of the tests of whole fleets.
var fleetBudget = budget.Rule{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}

// failingFleet is a simulated fleet whose replicas fail all requests, with a record of all that arrives at the replicas.
type failingFleet struct {
	*limitWorld
	requestsAt []time.Time
	repeatsAt  []time.Time
}

func newFailingFleet(instances int) *failingFleet {
	ff := &failingFleet{limitWorld: newLimitWorld(1, instances, replicas(14), fleetBudget)}
	ff.outcome = func(eff steer.Send) (steer.AttemptEnded, time.Duration) {
		if eff.Attempt > 1 {
			ff.repeatsAt = append(ff.repeatsAt, ff.now)
		}
		return steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultAnswered, Status: 500}, 5 * time.Millisecond
	}
	return ff
}

// serve makes perS requests a second arrive, spread evenly over the instances.
func (ff *failingFleet) serve(period time.Duration, perS int) {
	for i := range int(period.Seconds() * float64(perS)) {
		ff.requestsAt = append(ff.requestsAt, ff.now)
		ff.arrive(ff.nodes[i%len(ff.nodes)], &lookup, 0)
		ff.advance(time.Second / time.Duration(perS))
	}
}

// maxExcess returns how many repeats arrived beyond those allowed in the worst window. The requests of a window are counted in
// it or in the one before it, whichever has more.
func (ff *failingFleet) maxExcess() (excess float64, worst string) {
	excess = -fleetBudget.Slack
	for _, last := range ff.repeatsAt {
		repeats := float64(countWithin(ff.repeatsAt, last.Add(-fleetBudget.Window), last))
		requests := float64(max(countWithin(ff.requestsAt, last.Add(-fleetBudget.Window), last),
			countWithin(ff.requestsAt, last.Add(-2*fleetBudget.Window), last.Add(-fleetBudget.Window))))
		allowed := fleetBudget.Ratio*requests + fleetBudget.Slack
		if repeats-allowed > excess {
			excess = repeats - allowed
			worst = fmt.Sprintf("%v repeats of %v requests until %s, allowed %v", repeats, requests, last.Sub(start), allowed)
		}
	}
	return excess, worst
}

// countWithin counts the times after the first bound, up to the second.
func countWithin(times []time.Time, after, upTo time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) && !at.After(upTo) {
			count++
		}
	}
	return count
}

func TestRestartsDoNotRenewTheRepeatBudget(t *testing.T) {
	// All instances restart while replicas fail. A new run does not know what the former run has sent, and must not spend the
	// same share of the slack again within the window.
	ff := newFailingFleet(6)
	ff.advance(15 * time.Second)
	ff.serve(8*time.Second, 60)
	for range 3 {
		for _, node := range ff.nodes {
			ff.boot(node)
		}
		ff.serve(2*time.Second, 60)
	}
	excess, worst := ff.maxExcess()
	assert.Assert(t, excess <= 0, worst)
}

package steer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// requestHistory records what happened to one request.
type requestHistory struct {
	route *decl.Route
	// ran counts the attempts that may have run.
	ran int
	// sent counts all attempts.
	sent int
	// repeats counts the attempts that may have arrived. From the second on they count against the repeat budget.
	repeats int
	ends    []steer.Finish
}

// requestHistories records and checks all requests of a simulated fleet.
type requestHistories struct {
	rt        *rapid.T
	lw        *limitWorld
	byID      map[steer.RequestID]*requestHistory
	arrivedAt []time.Time
	// repeatedAt holds the times of the repeats that count against the budget.
	repeatedAt []time.Time
}

// tightBudget is low enough to be exhausted in the test.
var tightBudget = budget.Rule{Ratio: 0.2, Slack: 6, Window: 10 * time.Second}

// outcomes are the results from which an attempt's is drawn. Success is the most frequent.
var outcomes = []steer.Result{
	steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultAnswered, steer.ResultNotSent, steer.ResultNotRun,
	steer.ResultMisdirected, steer.ResultBroken, steer.ResultSilent, steer.ResultExpired,
}

// outcome draws the result of an attempt and its duration, and checks that the attempt was allowed.
func (rhs *requestHistories) outcome(eff steer.Send) (steer.AttemptEnded, time.Duration) {
	rh := rhs.byID[eff.ID]
	if len(rh.ends) > 0 {
		rhs.rt.Fatalf("request %d of %s sent after its end", eff.ID, rh.route.Name)
	}
	result := outcomes[rhs.lw.random.IntN(len(outcomes))]
	end := steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: result, Proof: proofOf(result), Died: rhs.lw.chance(0.1) == 1, Status: 500}
	if rhs.lw.chance(0.2) == 1 {
		// A refusal that may not be the answer to this request proves nothing.
		end.Proof = norun.None
	}
	rh.sent++
	if rh.sent > 1 && rh.route.Repeats == decl.RetryNone && rh.ran > 0 {
		rhs.rt.Fatalf("request %d of %s sent again after it may have run", eff.ID, rh.route.Name)
	}
	if end.Proof == norun.None {
		rh.ran++
	}
	if rh.ran > rh.route.Attempts {
		rhs.rt.Fatalf("request %d of %s ran %d times, allowed %d", eff.ID, rh.route.Name, rh.ran, rh.route.Attempts)
	}
	if result != steer.ResultNotSent {
		rh.repeats++
	}
	if rh.repeats > 1 {
		rhs.repeatedAt = append(rhs.repeatedAt, rhs.lw.now)
	}
	return end, time.Duration(1+rhs.lw.random.IntN(900)) * time.Millisecond
}

// ended checks the end of a request: there is only one, and what it says about runs is true.
func (rhs *requestHistories) ended(fin steer.Finish) {
	rh := rhs.byID[fin.ID]
	rh.ends = append(rh.ends, fin)
	if len(rh.ends) > 1 {
		rhs.rt.Fatalf("request %d of %s ended twice", fin.ID, rh.route.Name)
	}
	if fin.Refusal != nil && fin.Refusal.NotRun && rh.ran > 0 {
		rhs.rt.Fatalf("request %d of %s refused as not run, and may have run", fin.ID, rh.route.Name)
	}
	if fin.Refusal != nil && !fin.Refusal.NotRun && rh.ran == 0 {
		rhs.rt.Fatalf("request %d of %s refused as possibly run, and certainly has not", fin.ID, rh.route.Name)
	}
}

// arrive submits a request of a drawn route, prompt and instance.
func (rhs *requestHistories) arrive(rt *rapid.T) {
	patient := update
	patient.Name, patient.Attempts = "patient update", 3
	route := rapid.SampledFrom([]*decl.Route{&short, &short, &long, &update, &patient, &lookup}).Draw(rt, "route")
	prompt := int64(0)
	if route.Stream {
		prompt = rapid.SampledFrom([]int64{1000, 5000, 45_000, 400_000}).Draw(rt, "prompt")
	}
	rhs.byID[rhs.lw.nextID+1] = &requestHistory{route: route}
	rhs.arrivedAt = append(rhs.arrivedAt, rhs.lw.now)
	rhs.lw.arrive(rapid.SampledFrom(rhs.lw.nodes).Draw(rt, "instance"), route, prompt)
}

// changeReplicas changes the list of registered replicas for a while: a replica leaves, is missing or is a new incarnation.
func (rhs *requestHistories) changeReplicas(rt *rapid.T) {
	lw := rhs.lw
	place := rapid.IntRange(0, len(lw.replicas)-1).Draw(rt, "replica")
	list := append([]steer.Replica{}, lw.replicas...)
	switch rapid.IntRange(0, 2).Draw(rt, "change") {
	case 0:
		list[place].Leaving = true
	case 1:
		list = append(list[:place], list[place+1:]...)
	case 2:
		list[place].Born++
		lw.replicas[place].Born++
	}
	for _, node := range lw.nodes {
		lw.after(time.Duration(lw.random.IntN(400))*time.Millisecond, func() { lw.reduce(node, steer.Listed{Replicas: list}) })
		lw.after(time.Duration(500+lw.random.IntN(2000))*time.Millisecond, func() { lw.reduce(node, steer.Listed{Replicas: lw.replicas}) })
	}
}

// disconnectCaller disconnects the caller of a drawn request.
func (rhs *requestHistories) disconnectCaller(rt *rapid.T) {
	if rhs.lw.nextID == 0 {
		return
	}
	id := steer.RequestID(rapid.Uint64Range(1, uint64(rhs.lw.nextID)).Draw(rt, "request"))
	for _, node := range rhs.lw.nodes {
		rhs.lw.reduce(node, steer.CallerGone{ID: id})
	}
}

func TestRequestLifecycleInModel(t *testing.T) {
	// Instances restart, freeze and are partitioned, notes are lost, late or duplicated, replicas fail, leave and return, and
	// callers disconnect. No request may run more often than allowed, each ends exactly once with a true statement about
	// whether it ran, repeats stay within the budget, and no booking is leaked.
	rapid.Check(t, func(rt *rapid.T) {
		list := replicas(rapid.IntRange(1, 4).Draw(rt, "engines"))
		slots := rapid.SampledFrom([]int{1, 3, 16}).Draw(rt, "slots")
		for i := range list {
			list[i].Slots = slots
		}
		lw := newLimitWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "instances"), list, tightBudget)
		lw.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		lw.duplicated = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "doubled")
		lw.slow = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "slow")
		rhs := &requestHistories{rt: rt, lw: lw, byID: map[steer.RequestID]*requestHistory{}}
		lw.outcome, lw.ended = rhs.outcome, rhs.ended
		for _, rep := range lw.replicas {
			if rapid.IntRange(0, 3).Draw(rt, "limited") == 0 {
				lw.setLimit(rep.Name, rapid.Float64Range(0, 6).Draw(rt, "limit"))
			}
		}
		lw.advance(time.Second)
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			lw.advance(time.Duration(rapid.IntRange(0, 60).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(rt, "step") {
			case 0:
				lw.disturb(rt)
			case 1:
				rhs.changeReplicas(rt)
			case 2:
				rhs.disconnectCaller(rt)
			default:
				rhs.arrive(rt)
			}
		}
		lw.loss, lw.slow = 0, 0
		lw.advance(40 * time.Second)
		rhs.checkInvariants()
	})
}

// checkInvariants checks the final state: no request or booking is left, and no window had more repeats than the budget
// allows.
func (rhs *requestHistories) checkInvariants() {
	for _, node := range rhs.lw.nodes {
		if open, waiting, booked := node.st.Open(), node.st.Waiting(), node.st.Booked(); open+waiting+booked > 0 {
			rhs.rt.Fatalf("%s has %d requests open, %d waiting and %d parts booked long after the last", node.name, open, waiting, booked)
		}
	}
	for i, last := range rhs.repeatedAt {
		repeats := 0
		for _, at := range rhs.repeatedAt[:i+1] {
			if last.Sub(at) < tightBudget.Window {
				repeats++
			}
		}
		requests := 0
		for _, at := range rhs.arrivedAt {
			if since := last.Sub(at); since >= 0 && since < tightBudget.Window {
				requests++
			}
		}
		if float64(repeats) > tightBudget.Ratio*float64(requests)+tightBudget.Slack {
			rhs.rt.Fatalf("%d repeats of %d requests in %s", repeats, requests, tightBudget.Window)
		}
	}
}

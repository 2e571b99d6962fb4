package steer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// life is what happened to one request.
type life struct {
	route *decl.Route
	// ran counts the attempts that may have run, sent all of them, repeats those that the budget counts.
	ran, sent, repeats int
	ends               []steer.Finish
}

// lives follows all requests of a world.
type lives struct {
	rt   *rapid.T
	lw   *limitWorld
	all  map[steer.RequestID]*life
	came []time.Time
	// again holds when requests were sent again that may have arrived.
	again []time.Time
}

// livesBudget is tight enough to bind.
var livesBudget = steer.Budget{Ratio: 0.2, Slack: 6, Window: 10 * time.Second}

// outcomes are how attempts end, most of them well.
var outcomes = []steer.Result{
	steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultDone, steer.ResultAnswered, steer.ResultNotSent, steer.ResultNotRun,
	steer.ResultMisdirected, steer.ResultBroken, steer.ResultSilent, steer.ResultExpired,
}

// outcome draws how an attempt ends.
func (ls *lives) outcome(eff steer.Send) (steer.AttemptEnded, time.Duration) {
	lf := ls.all[eff.ID]
	if len(lf.ends) > 0 {
		ls.rt.Fatalf("request %d of %s sent after its end", eff.ID, lf.route.Name)
	}
	result := outcomes[ls.lw.random.IntN(len(outcomes))]
	end := steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: result, Died: ls.lw.chance(0.1) == 1, Status: 500}
	lf.sent++
	if lf.sent > 1 && lf.route.Repeats == decl.RepeatsNone && lf.ran > 0 {
		ls.rt.Fatalf("request %d of %s sent again after it may have run", eff.ID, lf.route.Name)
	}
	if result != steer.ResultNotSent && result != steer.ResultNotRun && result != steer.ResultMisdirected {
		lf.ran++
	}
	if lf.ran > lf.route.Attempts {
		ls.rt.Fatalf("request %d of %s ran %d times, allowed %d", eff.ID, lf.route.Name, lf.ran, lf.route.Attempts)
	}
	if result != steer.ResultNotSent {
		lf.repeats++
	}
	if lf.repeats > 1 {
		ls.again = append(ls.again, ls.lw.now)
	}
	return end, time.Duration(1+ls.lw.random.IntN(900)) * time.Millisecond
}

func (ls *lives) ended(fin steer.Finish) {
	lf := ls.all[fin.ID]
	lf.ends = append(lf.ends, fin)
	if len(lf.ends) > 1 {
		ls.rt.Fatalf("request %d of %s ended twice", fin.ID, lf.route.Name)
	}
	if fin.Refusal != nil && fin.Refusal.NotRun && lf.ran > 0 {
		ls.rt.Fatalf("request %d of %s refused as not run, and may have run", fin.ID, lf.route.Name)
	}
	if fin.Refusal != nil && !fin.Refusal.NotRun && lf.ran == 0 {
		ls.rt.Fatalf("request %d of %s refused as possibly run, and certainly has not", fin.ID, lf.route.Name)
	}
}

func (ls *lives) arrive(rt *rapid.T) {
	patient := update
	patient.Name, patient.Attempts = "patient update", 3
	route := rapid.SampledFrom([]*decl.Route{&short, &short, &long, &update, &patient, &lookup}).Draw(rt, "route")
	prompt := int64(0)
	if route.Stream {
		prompt = rapid.SampledFrom([]int64{1000, 5000, 45_000, 400_000}).Draw(rt, "prompt")
	}
	ls.all[ls.lw.nextID+1] = &life{route: route}
	ls.came = append(ls.came, ls.lw.now)
	ls.lw.arrive(rapid.SampledFrom(ls.lw.nodes).Draw(rt, "instance"), route, prompt)
}

// relist changes what is registered: a replica leaves, is gone, is back or is another incarnation.
func (ls *lives) relist(rt *rapid.T) {
	lw := ls.lw
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

// leave lets the caller of a request leave.
func (ls *lives) leave(rt *rapid.T) {
	if ls.lw.nextID == 0 {
		return
	}
	id := steer.RequestID(rapid.Uint64Range(1, uint64(ls.lw.nextID)).Draw(rt, "request"))
	for _, node := range ls.lw.nodes {
		ls.lw.reduce(node, steer.CallerGone{ID: id})
	}
}

func TestLivesInModel(t *testing.T) {
	// Instances restart, freeze and are cut off, notes are lost, late and doubled, replicas fail, leave and come back, callers leave: a
	// request that may run once does so at most, ends once and is told the truth, and nothing stays booked for ever.
	rapid.Check(t, func(rt *rapid.T) {
		list := replicas(rapid.IntRange(1, 4).Draw(rt, "engines"))
		slots := rapid.SampledFrom([]int{1, 3, 16}).Draw(rt, "slots")
		for i := range list {
			list[i].Slots = slots
		}
		lw := newLimitWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 5).Draw(rt, "instances"), list, livesBudget)
		lw.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(rt, "loss")
		lw.doubled = rapid.SampledFrom([]float64{0, 0.2}).Draw(rt, "doubled")
		lw.slow = rapid.SampledFrom([]float64{0, 0.1}).Draw(rt, "slow")
		ls := &lives{rt: rt, lw: lw, all: map[steer.RequestID]*life{}}
		lw.outcome, lw.ended = ls.outcome, ls.ended
		for _, rep := range lw.replicas {
			if rapid.IntRange(0, 3).Draw(rt, "limited") == 0 {
				lw.name(rep.Name, rapid.Float64Range(0, 6).Draw(rt, "limit"))
			}
		}
		lw.pass(time.Second)
		for range rapid.IntRange(5, 120).Draw(rt, "steps") {
			lw.pass(time.Duration(rapid.IntRange(0, 60).Draw(rt, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(rt, "step") {
			case 0:
				lw.disturb(rt)
			case 1:
				ls.relist(rt)
			case 2:
				ls.leave(rt)
			default:
				ls.arrive(rt)
			}
		}
		lw.loss, lw.slow = 0, 0
		lw.pass(40 * time.Second)
		ls.judge()
	})
}

// judge checks what must hold once all is over.
func (ls *lives) judge() {
	for _, node := range ls.lw.nodes {
		if open, waiting, booked := node.st.Open(), node.st.Waiting(), node.st.Booked(); open+waiting+booked > 0 {
			ls.rt.Fatalf("%s has %d requests open, %d waiting and %d parts booked long after the last", node.name, open, waiting, booked)
		}
	}
	for i, last := range ls.again {
		repeats := 0
		for _, at := range ls.again[:i+1] {
			if last.Sub(at) < livesBudget.Window {
				repeats++
			}
		}
		requests := 0
		for _, at := range ls.came {
			if since := last.Sub(at); since >= 0 && since < livesBudget.Window {
				requests++
			}
		}
		if float64(repeats) > livesBudget.Ratio*float64(requests)+livesBudget.Slack {
			ls.rt.Fatalf("%d repeats of %d requests in %s", repeats, requests, livesBudget.Window)
		}
	}
}

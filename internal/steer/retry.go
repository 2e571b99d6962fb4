package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// maxSends bounds how often one request is sent at all, those that certainly did not run included.
const maxSends = 4

func (st *State) attemptEnded(ev AttemptEnded) {
	req, ok := st.requests[ev.ID]
	if !ok || !req.running || ev.Attempt != req.attempt {
		return
	}
	req.running = false
	req.begun = req.begun || ev.Begun
	if ev.Pause > req.pause {
		req.pause, req.pauseAt = ev.Pause, ev.PauseAt
	}
	st.unbook(req)
	st.judge(req, ev)
	if ev.Result != ResultNotSent && ev.Result != ResultNotRun && ev.Result != ResultMisdirected {
		req.runs++
	}
	switch {
	case ev.Result == ResultDone:
		st.finish(req, Finish{ID: req.ID}, "answered")
	case st.drain != nil && !st.now.Before(st.drain.Stop):
		st.refuse(req, ReasonDraining, drainPause)
	case req.gone || ev.Result == ResultCancelled:
		st.finish(req, Finish{ID: req.ID}, "caller left")
	default:
		st.retry(req, ev)
	}
	st.dispatch()
}

// judge counts the end of an attempt for or against the replica.
func (st *State) judge(req *request, ev AttemptEnded) {
	rep := st.atFault(req, ev.At)
	switch ev.Result {
	case ResultNotRun:
		// A replica that refuses for another one's sake names it: a helper that leaves or is gone.
		if rep != req.reps[0] || st.hadRoom(rep, req) {
			st.avoid(rep)
		}
	case ResultDone, ResultAnswered:
		rep.succeeded()
	case ResultNotSent, ResultSilent, ResultMisdirected:
		st.avoid(rep)
	case ResultBroken:
		if ev.Died {
			st.avoid(rep)
			st.countDeath(req)
		}
	}
}

// avoid keeps everybody from the replica for a while. The others hear of it from the first that finds out.
func (st *State) avoid(rep *replica) {
	known := !rep.usable(st.now)
	rep.failed(st.now)
	if !known {
		st.emit(Line{Message: "replica avoided", Replica: rep.Name, Attempt: rep.failures})
		st.emit(Tell{Note: st.note(Note{Down: []string{rep.Name}})})
	}
}

// hadRoom tells that the replica refused the request though it had a slot and the memory for it, by all that is known here.
// Load pattern: replicas are emptied while the store is away, so that nobody is told that they leave. They refuse all that
// is new, at once, and with nothing to do they look like the best choice: each request tried four of them and failed.
// Where only some of a replica's calls are told of, a refusal says nothing: it may be full, and to avoid one after the other
// would leave none.
func (st *State) hadRoom(rep *replica, req *request) bool {
	if rep.freeSlots() <= 0 {
		return false
	}
	eng := st.serviceOf(rep.Service).engine
	if eng == nil {
		return !st.partlyTold()
	}
	return rep.free(eng) >= req.tokens()
}

// atFault is the replica that ended the attempt: the first, or the helper that the answer names.
func (st *State) atFault(req *request, at string) *replica {
	for _, rep := range req.reps {
		if at == rep.Name || at == rep.Address {
			return rep
		}
	}
	return req.reps[0]
}

// retry sends the request again if that is safe, allowed and in time.
func (st *State) retry(req *request, ev AttemptEnded) {
	st.emit(Line{Message: "attempt failed: " + ev.Result.String(), Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at), Attempt: req.attempt})
	req.answered = ev.Result == ResultAnswered || req.answered
	if !st.now.Before(req.Deadline) {
		st.refuse(req, ReasonDeadline, 0)
		return
	}
	if st.quarantined(req.Digest) {
		st.refuse(req, ReasonQuarantine, quarantineTime)
		return
	}
	if !st.mayRepeat(req, ev) {
		st.refuse(req, ReasonUpstream, busyPause)
		return
	}
	if !slices.Contains(req.tried, req.reps[0].Name) {
		req.tried = append(req.tried, req.reps[0].Name)
	}
	if ev.Result == ResultNotRun {
		req.notBefore = st.now.Add(notRunPause)
	}
	req.waitsFrom = st.now
	st.waiting = append(st.waiting, req)
}

// mayRepeat allows a repeat of what certainly did not run, and of idempotent requests within the route's attempts and
// the budget that all instances share.
func (st *State) mayRepeat(req *request, ev AttemptEnded) bool {
	if req.attempt >= maxSends || req.runs >= req.Route.Attempts {
		return false
	}
	if req.runs > 0 && !repeatable(req, ev) {
		return false
	}
	if ev.Result == ResultNotSent {
		// Nothing arrived, so that it costs the replicas nothing.
		return true
	}
	return st.ledgerOf(req.service).again(st.now, st.Options.Budget, st.live)
}

func repeatable(req *request, ev AttemptEnded) bool {
	switch req.Route.Repeats {
	case decl.RepeatsAny:
		return !req.begun
	case decl.RepeatsResumed:
		return ev.Result != ResultAnswered || ev.Status >= 500
	}
	return false
}

// String names the result for the log.
func (res Result) String() string {
	names := [...]string{"", "done", "answered with a failure", "not sent", "not run", "misdirected", "broken", "silent", "expired", "cancelled"}
	if int(res) >= len(names) {
		return "unknown"
	}
	return names[res]
}

// Budget bounds the repeats over all instances: in any Window, Ratio of the requests and Slack more.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// ledger counts one service's requests and repeats of this instance by slices of the window.
type ledger struct {
	slots   [ledgerSlots]struct{ requests, repeats float64 }
	current int64
}

// ledgerSlots divide the window; one more than the window holds keeps any span of that length within the bound.
const ledgerSlots = 11

func (st *State) ledgerOf(name string) *ledger {
	led, ok := st.budgets[name]
	if !ok {
		led = &ledger{}
		st.budgets[name] = led
	}
	return led
}

func (led *ledger) turn(now time.Time, window time.Duration) int {
	slot := now.UnixNano() / max(1, int64(window)/(ledgerSlots-1))
	for ; led.current < slot; led.current++ {
		if slot-led.current > ledgerSlots {
			led.current = slot - ledgerSlots
		}
		led.slots[(led.current+1)%ledgerSlots] = struct{ requests, repeats float64 }{}
	}
	return int(slot % ledgerSlots)
}

func (led *ledger) request(now time.Time, window time.Duration) {
	led.slots[led.turn(now, window)].requests++
}

// again takes one repeat from the budget. Each of the live instances has an equal part of the slack, and one of them
// that is not known to this one is allowed for.
func (led *ledger) again(now time.Time, bud Budget, live int) bool {
	at := led.turn(now, bud.Window)
	var requests, repeats float64
	for _, slot := range led.slots {
		requests += slot.requests
		repeats += slot.repeats
	}
	if repeats+1 > budgetShare*(bud.Ratio*requests+bud.Slack/float64(live+1)) {
		return false
	}
	led.slots[at].repeats++
	return true
}

// budgetShare leaves room for requests that were counted here in one window and arrived in the next.
const budgetShare = 0.9

package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The life of a request, from its arrival to its one Finish.

const (
	// busyPause is when a caller that was refused for want of room should come back.
	busyPause = 500 * time.Millisecond
	// drainPause is when a caller should come back that waited at an instance that stops; another one takes it.
	drainPause = 20 * time.Millisecond
	// notRunPause is the wait after a replica's refusal.
	notRunPause = 20 * time.Millisecond
)

func (st *State) arrived(ev Arrived) {
	req := &request{Arrived: ev, at: st.now, waitsFrom: st.now, service: st.choose(ev.Route)}
	req.goal = st.now.Add(ev.Route.Goal.Std())
	req.gap = ev.Route.Gap.Std()
	req.value = st.valueOf(ev.Route.Name, ev.Prompt)
	st.recognize(req)
	if st.quarantined(ev.Digest) {
		st.emit(Line{Message: "request refused", Request: ev.Name, Reason: ReasonQuarantine})
		st.emit(Finish{ID: ev.ID, Refusal: &Refusal{Reason: ReasonQuarantine, NotRun: true, RetryAfter: quarantineTime}})
		return
	}
	if eng := st.serviceOf(req.service).engine; eng != nil && !req.returned {
		st.ask(eng, req)
	}
	st.requests[ev.ID] = req
	st.ledgerOf(req.service).request(st.now, st.Options.Budget.Window)
	st.waiting = append(st.waiting, req)
	st.dispatch()
}

// choose takes one of the route's services by their weights.
func (st *State) choose(route *decl.Route) string {
	total := 0
	for _, back := range route.Shares {
		total += back.Weight
	}
	if total == 0 {
		return route.Shares[0].Service
	}
	draw := st.random.IntN(total)
	for _, back := range route.Shares {
		if draw < back.Weight {
			return back.Service
		}
		draw -= back.Weight
	}
	return route.Shares[0].Service
}

// book counts the request at the replicas of the plan, here and at the other instances.
func (st *State) book(req *request, pl plan) {
	st.nextJob(req)
	st.bookGranted(req, pl)
}

// nextJob names the request's next job.
func (st *State) nextJob(req *request) {
	req.jobs++
	req.job = JobID(req.ID)*jobsPerRequest + req.jobs%jobsPerRequest
}

// bookGranted books the job that was named when it asked for a send.
func (st *State) bookGranted(req *request, pl plan) {
	req.plan = pl
	req.reps = append(req.reps[:0], pl.reps...)
	req.tickets = append(req.tickets[:0], pl.tickets...)
	req.sentAt = st.now
	job := req.booked(st.now)
	st.startJob(jobKey{id: req.job}, &job)
	st.tellStart(req, job)
}

// jobsPerRequest is how many jobs of one request have different names; the others remember the end of one for less time
// than as many take.
const jobsPerRequest = 256

// unbook takes the request's job from its replicas again.
func (st *State) unbook(req *request) {
	st.endJob(jobKey{id: req.job}, req.reps)
	st.tellEnded(req)
}

// send sends a request that is booked.
func (st *State) send(req *request) {
	pl := &req.plan
	req.attempt++
	req.running = true
	req.aborted = false
	eff := Send{
		ID: req.ID, Attempt: req.attempt, Replica: pl.reps[0].Replica, Priority: req.Priority,
		Fresh: req.Route.Repeats == decl.RepeatsNone, Deadline: req.Deadline,
	}
	var helpers []string
	for i, rep := range pl.reps[1:] {
		helpers = append(helpers, rep.Name)
		helper := Helper{Replica: rep.Replica}
		if i < len(pl.tickets) {
			helper.Tokens = pl.tickets[i]
		}
		eff.Helpers = append(eff.Helpers, helper)
	}
	eff.FirstBy, eff.GapBy = st.patience(req, pl)
	st.countSends(req)
	st.emit(eff)
	st.emit(Line{
		Message: "request sent", Request: req.Name, Replica: pl.reps[0].Name, Age: st.now.Sub(req.at),
		Estimate: duration(pl.first), Attempt: req.attempt, Helpers: helpers,
		Tokens: req.Prompt,
	})
}

func millis(dur time.Duration) int32 { return int32(dur / time.Millisecond) }

// Silence. A stream's engine says nothing while it reads, so the time allowed follows the estimate.
const (
	// silenceFactor is how many times its estimate a first answer may take.
	silenceFactor = 2.5
	// leastSilence covers the stall of an engine that waits for a dead helper, and short freezes.
	leastSilence = 1100 * time.Millisecond
	jointSilence = 1900 * time.Millisecond
)

// patience is how long the answer may take to begin, and to go on.
func (st *State) patience(req *request, pl *plan) (first, gap time.Duration) {
	left := req.Deadline.Sub(st.now)
	if !req.Route.Stream {
		// How long a plain call takes is the service's affair, and the deadline's end is no silence.
		return left + time.Second, left + time.Second
	}
	least := leastSilence
	if len(pl.reps) > 1 {
		least = jointSilence
	}
	first = max(least, duration(silenceFactor*pl.first))
	return first, max(least, 4*req.gap)
}

func (st *State) began(ev Began) {
	req, ok := st.requests[ev.ID]
	if !ok || ev.Attempt != req.attempt {
		return
	}
	if !req.begun {
		req.firstAt = st.now
	}
	req.begun = true
	st.beginJob(jobKey{id: req.job}, req.reps, true)
	st.tellBegun(req)
	st.emit(Line{Message: "answer began", Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at), Attempt: req.attempt})
	st.dispatch()
}

// progressed takes the end of a pass from an event of a stream: all events of an engine leave it together.
func (st *State) progressed(ev Progressed) {
	req, ok := st.requests[ev.ID]
	if !ok || ev.Attempt != req.attempt || len(req.reps) == 0 {
		return
	}
	rep := req.reps[0]
	if eng := st.serviceOf(rep.Service).engine; eng != nil {
		st.learnPace(eng, rep, ev.Pause)
		rep.boundary(eng, st.now)
	}
}

func (st *State) callerGone(ev CallerGone) {
	req, ok := st.requests[ev.ID]
	if !ok {
		return
	}
	req.gone = true
	if req.running {
		st.abort(req)
		return
	}
	if req.claims {
		st.withdraw(req)
	}
	st.finish(req, Finish{ID: req.ID}, "caller left")
}

func (st *State) abort(req *request) {
	if !req.aborted {
		req.aborted = true
		st.emit(Abort{ID: req.ID, Attempt: req.attempt})
	}
}

// refuse ends a request that no replica answered.
func (st *State) refuse(req *request, reason Reason, after time.Duration) {
	if req.answered {
		st.finish(req, Finish{ID: req.ID, Deliver: true}, "failure delivered")
		return
	}
	refusal := &Refusal{Reason: reason, NotRun: req.runs == 0, RetryAfter: after}
	st.emit(Line{Message: "request refused", Request: req.Name, Reason: reason, Age: st.now.Sub(req.at), Attempt: req.attempt, Tokens: req.Prompt, End: st.endOf(req)})
	st.finish(req, Finish{ID: req.ID, Refusal: refusal}, "")
}

// endOf is what the request came to.
func (st *State) endOf(req *request) *End {
	end := &End{
		Route: req.Route.Name, Value: req.value, Back: req.returned,
		Goal: req.goal.Sub(req.at), Gap: req.gap, Pause: req.pause,
	}
	if req.late {
		end.Value, end.Goal = req.worth, req.aim.Sub(req.at)
	}
	if !req.firstAt.IsZero() {
		end.First = req.firstAt.Sub(req.at)
	}
	if req.pause > 0 {
		end.PauseAt = req.pauseAt.Sub(req.at)
	}
	return end
}

// finish ends a request. Every way out passes here.
func (st *State) finish(req *request, fin Finish, message string) {
	if message != "" {
		st.emit(Line{Message: message, Request: req.Name, Age: st.now.Sub(req.at), Attempt: req.attempt, Tokens: req.Prompt, End: st.endOf(req)})
	}
	delete(st.requests, req.ID)
	st.waiting = slices.DeleteFunc(st.waiting, func(other *request) bool { return other == req })
	st.emit(fin)
}

// stop ends what is under way when the process is about to be killed: a caller that gets an answer now need not find out
// from a connection that is cut.
func (st *State) stop() {
	if st.drain == nil || st.now.Before(st.drain.Stop) {
		return
	}
	for _, req := range st.requests {
		if req.running {
			st.abort(req)
		}
	}
}

package steer

import (
	"maps"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The lifecycle of a request, from its arrival to its single Finish.

const (
	// busyRetryAfter is the base RetryAfter of a caller that was refused for lack of capacity or after a failure.
	busyRetryAfter = 500 * time.Millisecond
	// drainRetryAfter is the RetryAfter of a caller whose instance shuts down. It is short since another instance can serve
	// the retry.
	drainRetryAfter = 20 * time.Millisecond
	// notRunDelay is the minimum delay before a request is sent again after a replica refused it.
	notRunDelay = 20 * time.Millisecond
)

func (st *State) arrived(ev Arrived) {
	req := &request{Arrived: ev, at: st.now, waitingSince: st.now, service: st.chooseService(ev.Route)}
	req.goal = st.now.Add(ev.Route.Goal.Std())
	req.gap = ev.Route.Gap.Std()
	req.value = st.valueOf(ev.Route.Name, ev.Prompt)
	st.detectRetry(req)
	st.allowTrial(req)
	if st.quarantined(req) {
		st.refuseQuarantined(req)
		return
	}
	if eng := st.serviceOf(req.service).engine; eng != nil && !req.triedBefore {
		st.recordDemand(eng, req)
	}
	st.requests[ev.ID] = req
	st.recordAsked(req)
	st.allowanceOf(req.service).CountRequest(st.now)
	st.waiting = append(st.waiting, req)
	st.dispatch()
}

// chooseService draws one of the route's services at random by their weights.
func (st *State) chooseService(route *decl.Route) string {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}
	if total == 0 {
		return route.Shares[0].Service
	}
	draw := st.random.IntN(total)
	for _, share := range route.Shares {
		if draw < share.Weight {
			return share.Service
		}
		draw -= share.Weight
	}
	return route.Shares[0].Service
}

// book reserves the request's place at the replicas of the plan and announces it to the other instances.
func (st *State) book(req *request, pl plan) {
	st.nextJob(req)
	st.bookCurrentJob(req, pl)
}

// nextJob assigns the ID of the request's next job.
func (st *State) nextJob(req *request) {
	req.jobs++
	req.job = JobID(req.ID)*jobsPerRequest + req.jobs%jobsPerRequest
}

// bookCurrentJob books the plan under the current job ID, which a GrantRequest may already have used.
func (st *State) bookCurrentJob(req *request, pl plan) {
	st.announceStart(req, st.reserveJob(req, pl))
}

// reserveJob books the plan under the current job ID here, without an announcement.
func (st *State) reserveJob(req *request, pl plan) Job {
	req.plan = pl
	req.reps = append(req.reps[:0], pl.reps...)
	req.reservations = append(req.reservations[:0], pl.reservations...)
	req.sentAt = st.now
	job := req.booked(st.now)
	st.startJob(jobKey{id: req.job}, &job)
	return job
}

// jobsPerRequest is how many jobs of one request have distinct IDs. After that many jobs an ID is used again. By then, peers
// have forgotten that it had ended, so they do not ignore the new job: a request gets a new job each claimBackoff at the
// earliest, and its IDs last for longer than endedRetention.
const jobsPerRequest = 4096

// unbook removes the request's job from its replicas and announces its end.
func (st *State) unbook(req *request) {
	st.endJob(jobKey{id: req.job}, req.reps)
	if req.slot.granter != "" {
		st.giveSlotBack(req)
		return
	}
	st.announceEnded(req)
}

// send starts the next attempt of a booked request.
func (st *State) send(req *request) {
	pl := &req.plan
	eff := Send{
		ID: req.ID, Replica: pl.reps[0].Replica, Priority: req.Priority,
		NewConnection: st.runsOnce(req) || req.afterSilence, Deadline: req.Deadline, DecidedAt: st.now, Kind: req.sendKind(),
		Granted: req.grant.granted && req.grant.rep == pl.reps[0],
	}
	req.attempt++
	req.running = true
	req.aborted, req.resumes, req.silent = false, false, false
	req.attemptBeganAt, req.progressedAt = time.Time{}, time.Time{}
	req.events, req.proven = 0, false
	eff.Attempt = req.attempt
	var helpers []string
	for i, rep := range pl.reps[1:] {
		helpers = append(helpers, rep.Name)
		helper := Helper{Replica: rep.Replica}
		if i < len(pl.reservations) {
			helper.Tokens = pl.reservations[i]
		}
		eff.Helpers = append(eff.Helpers, helper)
	}
	eff.FirstTimeout, eff.GapTimeout = st.progressTimeouts(req, pl)
	st.countSends(req)
	st.recordUsed(req, 1)
	st.recordDecided(req, true)
	st.emit(eff)
	st.emit(LogLine{
		Message: "request sent", Request: req.Name, Replica: pl.reps[0].Name, Age: st.now.Sub(req.at),
		Estimate: duration(pl.first), Attempt: req.attempt, Helpers: helpers,
		Tokens: req.Prompt, PassedOver: st.passedOver(req.service),
	})
}

// sendKind returns the kind of the request's next attempt.
func (req *request) sendKind() notice.Kind {
	switch {
	case req.begun:
		return notice.Resumption
	case req.tries() > 0:
		return notice.Retry
	}
	return notice.First
}

func millis(dur time.Duration) int32 { return int32(dur / time.Millisecond) }

// Progress timeouts. An engine sends nothing while it reads a prompt, so the timeout of a stream follows the estimate. No answer ends because one
// has passed, see fellSilent.
const (
	// progressTimeoutFactor is the timeout for the first byte as a multiple of its estimate.
	progressTimeoutFactor = 2.5
	// minProgressTimeout is the lower bound of both timeouts. It outlasts short freezes and the stall of an engine that waits
	// for a dead helper.
	minProgressTimeout = 1100 * time.Millisecond
	// minSplitProgressTimeout is the lower bound for a prompt that several engines read.
	minSplitProgressTimeout = 1900 * time.Millisecond
)

// progressTimeouts returns how long the answer may take to begin and how long it may then pause before its replica is looked at.
func (st *State) progressTimeouts(req *request, pl *plan) (first, gap time.Duration) {
	left := req.Deadline.Sub(st.now)
	if !req.Route.Stream {
		// An answer that is not a stream may take until the deadline. If a timeout fired first, a slow replica would count
		// as failed.
		return left + time.Second, left + time.Second
	}
	shortest := minProgressTimeout
	if len(pl.reps) > 1 {
		shortest = minSplitProgressTimeout
	}
	first = max(shortest, duration(progressTimeoutFactor*pl.first))
	return first, max(shortest, 4*req.gap)
}

func (st *State) began(ev Began) {
	req, ok := st.requests[ev.ID]
	if !ok || ev.Attempt != req.attempt || req.resumes {
		// The answer of an attempt in whose place another run was granted is not forwarded any more.
		return
	}
	if !req.begun {
		req.firstAt = st.now
	}
	req.begun = true
	req.attemptBeganAt, req.progressedAt, req.lastEventAt = st.now, st.now, st.now
	req.events++
	st.recordArrival(req)
	for _, rep := range req.reps {
		rep.rest.EndTrial(uint64(req.ID), true)
	}
	st.beginJob(jobKey{id: req.job}, req.reps, true)
	st.announceBegun(req)
	st.emit(LogLine{Message: "answer began", Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at), Attempt: req.attempt})
	st.dispatch()
}

// progressed updates the pace and the passes of the replica: an engine sends all its events at the end of a pass, so each
// event marks the end of one.
func (st *State) progressed(ev Progressed) {
	req, ok := st.requests[ev.ID]
	if !ok || ev.Attempt != req.attempt || len(req.reps) == 0 {
		return
	}
	req.progressedAt, req.lastEventAt = st.now, st.now
	req.silent = false
	req.events++
	st.proveParts(req)
	rep := req.reps[0]
	rep.heardAt = st.now
	if eng := st.serviceOf(rep.Service).engine; eng != nil {
		st.learnPace(eng, rep, ev.Pause)
		rep.observePassEnd(eng, st.now)
	}
}

// wrote returns the time between the first and the last event of the current attempt's answer.
func (req *request) wrote() time.Duration { return req.progressedAt.Sub(req.attemptBeganAt) }

func (st *State) callerGone(ev CallerGone) {
	req, ok := st.requests[ev.ID]
	if !ok {
		return
	}
	req.disconnected = true
	if req.running {
		st.abort(req, cutoff.OfCaller(req.disconnected))
		return
	}
	if req.claiming {
		st.withdrawClaim(req)
	}
	st.finish(req, Finish{ID: req.ID}, "caller left")
}

// abort ends the running attempt with the proof.
func (st *State) abort(req *request, proof cutoff.Proof) {
	if !req.aborted {
		req.aborted = true
		st.emit(Abort{ID: req.ID, Attempt: req.attempt, Proof: proof})
	}
}

// refuse ends a request that got no successful answer. If a replica's error answer is held, the caller gets that in place of
// the refusal.
func (st *State) refuse(req *request, reason Reason, retryAfter time.Duration) {
	if req.failureHeld {
		st.finish(req, Finish{ID: req.ID, DeliverFailure: true}, "failure delivered")
		return
	}
	if req.begun {
		st.emit(LogLine{Message: "answer ended early", Request: req.Name, Replica: req.reps[0].Name, Reason: reason, Age: st.now.Sub(req.at), Attempt: req.attempt, Ended: req.ended.String(), Wrote: req.wrote()})
	}
	refusal := &Refusal{Reason: reason, NotRun: req.runs == 0, RetryAfter: retryAfter}
	st.emit(LogLine{Message: "request refused", Request: req.Name, Reason: reason, Age: st.now.Sub(req.at), Attempt: req.attempt, Tokens: req.Prompt, PassedOver: st.passedOver(req.service), End: st.outcomeOf(req)})
	st.finish(req, Finish{ID: req.ID, Refusal: refusal}, "")
}

// outcomeOf returns the outcome of the request for the log. A late request is reported with its original goal and value.
func (st *State) outcomeOf(req *request) *Outcome {
	end := &Outcome{
		Route: req.Route.Name, Value: req.value, TriedBefore: req.triedBefore,
		Goal: req.goal.Sub(req.at), Gap: req.gap, Pause: req.pause,
	}
	if req.late {
		end.Value, end.Goal = req.originalValue, req.originalGoal.Sub(req.at)
	}
	if !req.firstAt.IsZero() {
		end.First = req.firstAt.Sub(req.at)
	}
	if req.pause > 0 {
		end.PauseAt = req.pauseAt.Sub(req.at)
	}
	return end
}

// finish ends a request. Every request passes through it exactly once.
func (st *State) finish(req *request, fin Finish, message string) {
	if message != "" {
		st.emit(LogLine{Message: message, Request: req.Name, Age: st.now.Sub(req.at), Attempt: req.attempt, Tokens: req.Prompt, End: st.outcomeOf(req)})
	}
	st.dropGrant(req)
	st.releaseCharge(req)
	st.recordDecided(req, false)
	delete(st.requests, req.ID)
	st.waiting = slices.DeleteFunc(st.waiting, func(other *request) bool { return other == req })
	st.emit(fin)
}

// abortsAttempts reports whether the process is about to end, so that no attempt may be running or begin. One that began now could go on at the
// replica after the connection of its caller was closed.
func (st *State) abortsAttempts() bool { return st.drain != nil && !st.now.Before(st.drain.AbortAt) }

// abortAtStop ends the running attempts shortly before the process is killed. Their callers then get an error answer right
// away and need not detect a connection that is cut.
func (st *State) abortAtStop() {
	if !st.abortsAttempts() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		if req := st.requests[id]; req.running {
			st.abort(req, cutoff.OfStop(st.now, st.drain.AbortAt))
		}
	}
}

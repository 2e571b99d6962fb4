package steer

import "time"

// Asks. What a request does that would go to a limited replica: it asks for a send, waits for its turn if that is in time, and
// looks elsewhere if it is not.

const (
	// askTime is how long an answer to an ask is waited for, some times what a note takes there and back.
	askTime = 30 * time.Millisecond
	// askTries is how often one instance is asked before it counts as silent: a note may be lost.
	askTries = 3
	// askSlack is how much later than it last heard a request lets the replica be.
	askSlack = 50 * time.Millisecond
	// grantLife is how long after its time a grant may still be used: an instance that froze must not send by an old one.
	grantLife = 100 * time.Millisecond
	// barTime is how long a request leaves a replica alone whose room is for requests of more worth.
	barTime = 100 * time.Millisecond
	// longestReturn is the latest time at which callers are asked to come back: limits seldom last as they are for longer.
	longestReturn = 10 * time.Second
)

// ask is a request's wish to be sent to a limited replica.
type ask struct {
	// rep is nil where the request has none.
	rep     *replica
	job     JobID
	granter string
	at      time.Time
	tries   int
	// wait is the longest wait that it accepts.
	wait    time.Duration
	granted bool
	// turn is when the request may be sent.
	turn time.Time
}

// mayWait is how long a request may wait for a limited replica and still be in time, or, if it is late, be answered.
func (st *State) mayWait(req *request) time.Duration {
	if req.late {
		return max(0, time.Duration(st.tune.Safety*float64(req.goal.Sub(st.now))))
	}
	return max(0, req.goal.Sub(st.now)-time.Duration(st.tune.LastCall*float64(req.Route.Goal.Std())))
}

// hasTurn tells that the request was granted a send for which its caller will still wait.
func (req *request) hasTurn() bool {
	return req.ask.granted && req.ask.turn.Before(req.Patience) && req.ask.turn.Before(req.Deadline)
}

// limitWait is how long a request is likely to wait for a send to the replica; false if that is longer than it may.
func (st *State) limitWait(rep *replica, req *request) (time.Duration, bool) {
	if rep.limit == nil {
		return 0, true
	}
	if st.now.Before(req.barred[rep.Name]) {
		return 0, false
	}
	wait := max(0, rep.limit.roomAt.Sub(st.now))
	return wait, wait == 0 || wait <= st.mayWait(req)
}

// askToSend asks for a send to the replica, and sends at once if this instance grants it.
func (st *State) askToSend(req *request, rep *replica) bool {
	st.nextJob(req)
	req.ask = ask{rep: rep, job: req.job, granter: st.granter(rep), at: st.now, tries: 1}
	req.ask.wait = min(st.mayWait(req), max(0, rep.limit.roomAt.Sub(st.now))+askSlack)
	if req.ask.granter != st.Options.Name {
		st.tellAsk(req)
		return false
	}
	wish := st.wish(req)
	after, ok := st.grant(rep, jobKey{id: req.job}, &wish)
	st.askAnswered(req, after, ok)
	return st.trySend(req)
}

// wish is what the request asks for.
func (st *State) wish(req *request) Ask {
	rep := req.ask.rep
	return Ask{Job: req.ask.job, Replica: rep.Name, WaitMs: millis(req.ask.wait), MostMs: millis(st.mayWait(req)), Value: float32(req.value), Recent: rep.recent(st.now)}
}

func (st *State) tellAsk(req *request) {
	nt := Note{Limits: []Limit{st.limitOf(req.ask.rep)}, Asks: []Ask{st.wish(req)}}
	st.emit(Tell{Note: st.note(nt), To: []string{req.ask.granter}})
	st.emit(Wake{After: askTime})
}

// askAnswered notes what became of the request's ask.
func (st *State) askAnswered(req *request, after time.Duration, granted bool) {
	an := &req.ask
	if granted {
		an.granted, an.turn = true, st.now.Add(after)
		if after > 0 {
			st.emit(Wake{After: after})
		}
		return
	}
	if an.rep.limit != nil {
		an.rep.limit.roomAt = st.now.Add(after)
	}
	if after <= an.wait {
		// There is room, but for requests of more worth.
		req.bar(an.rep, st.now.Add(barTime))
	}
	st.emit(Line{Message: "rate limit leaves no room", Request: req.Name, Replica: an.rep.Name, Age: st.now.Sub(req.at), Estimate: after})
	req.ask = ask{}
}

// followAsk goes on with a request that has asked. It is sent when its time comes, and looks for another place if its ask
// came to nothing.
func (st *State) followAsk(req *request) bool {
	an := &req.ask
	switch {
	case an.rep.limit == nil || !an.rep.usable(st.now):
	case an.granted && st.now.Before(an.turn):
		return false
	case an.granted && st.now.Sub(an.turn) <= grantLife:
		if pl, ok := st.placeAt(req, an.rep); ok {
			st.bookGranted(req, pl)
			st.send(req)
			req.ask = ask{}
			return true
		}
	case an.granted:
	case st.now.Sub(an.at) < askTime:
		return false
	case an.tries < askTries:
		an.tries++
		an.at = st.now
		st.tellAsk(req)
		return false
	default:
		st.silent[an.granter] = st.now
		st.emit(Line{Message: "instance grants nothing: silent", Request: req.Name, Replica: an.rep.Name, Age: st.now.Sub(req.at)})
	}
	req.ask = ask{}
	return st.trySend(req)
}

// bar keeps the request from asking for a send to the replica for a while.
func (req *request) bar(rep *replica, until time.Time) {
	if req.barred == nil {
		req.barred = map[string]time.Time{}
	}
	req.barred[rep.Name] = until
}

// granted takes the answers to this instance's asks.
func (st *State) granted(grants []Grant) {
	for _, grant := range grants {
		req, ok := st.requests[RequestID(grant.Job/jobsPerRequest)]
		if !ok || req.ask.rep == nil || req.ask.job != grant.Job || req.ask.granted || req.ask.rep.Name != grant.Replica {
			continue
		}
		if st.now.Sub(req.ask.at) > askTries*askTime {
			// This instance stood still meanwhile: the time of the grant is past.
			continue
		}
		st.askAnswered(req, time.Duration(grant.AfterMs)*time.Millisecond, !grant.Refused)
	}
	if len(grants) > 0 {
		st.dispatch()
	}
}

// keptOut tells that the replicas' limits keep the request out for longer than it may wait.
func (st *State) keptOut(req *request) bool {
	_, held := st.heldByLimits(req)
	return held
}

// heldByLimits is when the first of the service's replicas is likely to have room, if all that can be used are limited and
// none has room within the time that the request may wait.
func (st *State) heldByLimits(req *request) (first time.Time, held bool) {
	if req.ask.rep != nil {
		return time.Time{}, false
	}
	for _, rep := range st.candidates(st.serviceOf(req.service)) {
		if !rep.usable(st.now) {
			continue
		}
		if rep.limit == nil {
			return time.Time{}, false
		}
		room := later(rep.limit.roomAt, req.barred[rep.Name])
		if room.Sub(st.now) <= st.mayWait(req) {
			return time.Time{}, false
		}
		if first.IsZero() || room.Before(first) {
			first = room
		}
	}
	return first, !first.IsZero()
}

// comeBackAt spreads the callers that limits keep out over the time in which the replicas can take them: each has a turn of
// its own, at this instance's part of what all of them take.
func (st *State) comeBackAt(req *request, first time.Time) time.Duration {
	svc := st.serviceOf(req.service)
	perS := 0.0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) && rep.limit != nil {
			perS += max(leastRate, rep.limit.perS)
		}
	}
	turn := duration(1000 * float64(st.live) / max(leastRate, perS))
	svc.backAt = later(svc.backAt, first)
	if latest := st.now.Add(longestReturn); svc.backAt.After(latest) {
		svc.backAt = latest
	}
	after := max(notRunPause, svc.backAt.Sub(st.now))
	svc.backAt = svc.backAt.Add(turn)
	return after
}

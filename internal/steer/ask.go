package steer

import "time"

// Requests for sends to rate-limited replicas. A request that is placed at a limited replica asks the granting instance for
// a send. It waits for the granted time if that is early enough, and looks for another replica otherwise.

const (
	// askTimeout is how long to wait for the answer to an ask: several round trips of a note.
	askTimeout = 30 * time.Millisecond
	// askTries is how often an instance is asked before it counts as unresponsive, since notes may be lost.
	askTries = 3
	// askSlack is how much longer than the last estimate a request accepts to wait for the replica.
	askSlack = 50 * time.Millisecond
	// grantValidity is how long after its time a grant may still be used. Without it, an instance that was frozen would send
	// by an old grant.
	grantValidity = 100 * time.Millisecond
	// barTime is how long a request avoids a replica whose available sends are reserved for requests of higher value.
	barTime = 100 * time.Millisecond
	// maxRetryAfter is the longest time after which callers are asked to retry. Limits seldom stay the same for longer.
	maxRetryAfter = 10 * time.Second
)

// ask is a request's pending or granted ask for a send to a limited replica.
type ask struct {
	// rep is nil if the request has no ask.
	rep     *replica
	job     JobID
	granter string
	// at is when the granting instance was last asked.
	at    time.Time
	tries int
	// acceptedWait is the longest wait that the request accepts.
	acceptedWait time.Duration
	granted      bool
	// sendAt is when the request may be sent.
	sendAt time.Time
}

// maxWait returns how long a request may wait for a limited replica and still be in time or, if it is already late, still be
// answered before its caller leaves.
func (st *State) maxWait(req *request) time.Duration {
	if req.late {
		return max(0, time.Duration(st.tune.Safety*float64(req.goal.Sub(st.now))))
	}
	return max(0, req.goal.Sub(st.now)-time.Duration(st.tune.LastCall*float64(req.Route.Goal.Std())))
}

// hasTurn reports whether the request was granted a send early enough that its caller will still be waiting.
func (req *request) hasTurn() bool {
	return req.ask.granted && req.ask.sendAt.Before(req.LeavesAt) && req.ask.sendAt.Before(req.Deadline)
}

// limitWait returns how long a request is likely to wait for a send to the replica. It returns false if that is too long or
// if the request avoids the replica for now.
func (st *State) limitWait(rep *replica, req *request) (time.Duration, bool) {
	if rep.limit == nil {
		return 0, true
	}
	if st.now.Before(req.avoidUntil[rep.Name]) {
		return 0, false
	}
	wait := max(0, rep.limit.roomAt.Sub(st.now))
	return wait, wait == 0 || wait <= st.maxWait(req)
}

// askToSend asks for a send to the replica. If this instance is the granting one, it decides at once and may send. The
// result reports whether the request was sent.
func (st *State) askToSend(req *request, rep *replica) bool {
	st.nextJob(req)
	req.ask = ask{rep: rep, job: req.job, granter: st.granter(rep), at: st.now, tries: 1}
	req.ask.acceptedWait = min(st.maxWait(req), max(0, rep.limit.roomAt.Sub(st.now))+askSlack)
	if req.ask.granter != st.Options.Name {
		st.sendAsk(req)
		return false
	}
	ak := st.newAsk(req)
	after, ok := st.grant(rep, jobKey{id: req.job}, &ak)
	st.handleAskResult(req, after, ok)
	return st.trySend(req)
}

// newAsk returns the Ask for the request's pending ask.
func (st *State) newAsk(req *request) Ask {
	rep := req.ask.rep
	return Ask{Job: req.ask.job, Replica: rep.Name, AcceptedWaitMs: millis(req.ask.acceptedWait), MaxWaitMs: millis(st.maxWait(req)), Value: float32(req.value), Recent: rep.recentSends(st.now)}
}

// sendAsk sends the request's ask, together with the limit as known here, to the granting instance.
func (st *State) sendAsk(req *request) {
	nt := Note{Limits: []Limit{st.limitOf(req.ask.rep)}, Asks: []Ask{st.newAsk(req)}}
	st.emit(SendNote{Note: st.note(nt), To: []string{req.ask.granter}})
	st.emit(Wake{After: askTimeout})
}

// handleAskResult applies the answer to the request's ask.
func (st *State) handleAskResult(req *request, after time.Duration, granted bool) {
	ak := &req.ask
	if granted {
		ak.granted, ak.sendAt = true, st.now.Add(after)
		if after > 0 {
			st.emit(Wake{After: after})
		}
		return
	}
	if ak.rep.limit != nil {
		ak.rep.limit.roomAt = st.now.Add(after)
	}
	if after <= ak.acceptedWait {
		// Sends are available, but reserved for requests of higher value.
		req.bar(ak.rep, st.now.Add(barTime))
	}
	st.emit(LogLine{Message: "rate limit: no send available in time", Request: req.Name, Replica: ak.rep.Name, Age: st.now.Sub(req.at), Estimate: after})
	req.ask = ask{}
}

// followAsk continues a request that has an ask. The request is sent at the granted time. If the ask was not answered, the
// grant has expired or the replica is not limited or not usable any more, it is placed anew. The result reports whether the
// request was sent.
func (st *State) followAsk(req *request) bool {
	ak := &req.ask
	switch {
	case ak.rep.limit == nil || !ak.rep.usable(st.now):
	case ak.granted && st.now.Before(ak.sendAt):
		return false
	case ak.granted && st.now.Sub(ak.sendAt) <= grantValidity:
		if pl, ok := st.placeAt(req, ak.rep); ok {
			st.bookGranted(req, pl)
			st.send(req)
			req.ask = ask{}
			return true
		}
	case ak.granted:
	case st.now.Sub(ak.at) < askTimeout:
		return false
	case ak.tries < askTries:
		ak.tries++
		ak.at = st.now
		st.sendAsk(req)
		return false
	default:
		st.lastUnanswered[ak.granter] = st.now
		st.emit(LogLine{Message: "rate limit: granting instance did not answer", Request: req.Name, Replica: ak.rep.Name, Age: st.now.Sub(req.at)})
	}
	req.ask = ask{}
	return st.trySend(req)
}

// bar prevents the request from asking for a send to the replica until the given time.
func (req *request) bar(rep *replica, until time.Time) {
	if req.avoidUntil == nil {
		req.avoidUntil = map[string]time.Time{}
	}
	req.avoidUntil[rep.Name] = until
}

// receiveGrants applies the answers to this instance's asks.
func (st *State) receiveGrants(grants []Grant) {
	for _, grant := range grants {
		req, ok := st.requests[RequestID(grant.Job/jobsPerRequest)]
		if !ok || req.ask.rep == nil || req.ask.job != grant.Job || req.ask.granted || req.ask.rep.Name != grant.Replica {
			continue
		}
		if st.now.Sub(req.ask.at) > askTries*askTimeout {
			// This instance was frozen in the meantime, so the time of the grant has passed.
			continue
		}
		st.handleAskResult(req, time.Duration(grant.AfterMs)*time.Millisecond, !grant.Refused)
	}
	if len(grants) > 0 {
		st.dispatch()
	}
}

// blockedByLimits reports whether the rate limits of the replicas hold the request back for longer than it may wait.
func (st *State) blockedByLimits(req *request) bool {
	_, held := st.blockedUntil(req)
	return held
}

// blockedUntil returns when the first of the service's replicas is likely to accept the request. held is true only if all
// usable replicas are limited and none is likely to accept the request within the time that it may wait.
func (st *State) blockedUntil(req *request) (first time.Time, held bool) {
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
		room := later(rep.limit.roomAt, req.avoidUntil[rep.Name])
		if room.Sub(st.now) <= st.maxWait(req) {
			return time.Time{}, false
		}
		if first.IsZero() || room.Before(first) {
			first = room
		}
	}
	return first, !first.IsZero()
}

// retryAfterLimit returns the time after which a caller that was refused because of rate limits should retry. It spaces the
// callers evenly, at this instance's share of the sum of the limits, so that the replicas can accept them when they return.
func (st *State) retryAfterLimit(req *request, first time.Time) time.Duration {
	svc := st.serviceOf(req.service)
	perS := 0.0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) && rep.limit != nil {
			perS += max(minRate, rep.limit.perS)
		}
	}
	interval := duration(1000 * float64(st.live) / max(minRate, perS))
	svc.nextRetryAt = later(svc.nextRetryAt, first)
	if latest := st.now.Add(maxRetryAfter); svc.nextRetryAt.After(latest) {
		svc.nextRetryAt = latest
	}
	after := max(notRunDelay, svc.nextRetryAt.Sub(st.now))
	svc.nextRetryAt = svc.nextRetryAt.Add(interval)
	return after
}

package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Requests for sends to replicas that have a rate limit or are cold, here called limited. A request that is placed at a limited
// replica asks the granting instance for a send. If one is granted, it waits for the granted time. If it is refused, it looks for
// another replica.

const (
	// grantTimeout is how long to wait for the answer to a grant request: several round trips of a note.
	grantTimeout = 30 * time.Millisecond
	// grantTries is how often an instance is asked before it counts as unresponsive. One try is not enough, since notes may be
	// lost.
	grantTries = 3
	// grantSlack is how much longer than the last estimate a request accepts to wait for the replica.
	grantSlack = 50 * time.Millisecond
	// grantValidity is how long after the granted time the send may still go out. Without it, an instance that was frozen
	// would send by an old grant.
	grantValidity = 100 * time.Millisecond
	// avoidTime is how long a request avoids a limited replica that had no room when its turn came, or at which the sends within
	// its accepted wait are reserved for requests of higher value.
	avoidTime = 100 * time.Millisecond
	// maxRetryAfter is the longest time after which callers refused because of rate limits are asked to retry. Limits seldom
	// stay the same for longer.
	maxRetryAfter = 10 * time.Second
)

// pendingGrant is the send to a limited replica for which a request has asked and which is not made yet, whether granted or
// not.
type pendingGrant struct {
	// rep is nil if the request has asked for no send.
	rep     *replica
	job     JobID
	granter string
	// at is when the granting instance was last asked.
	at    time.Time
	tries int
	// acceptedWait is the longest wait that the request accepts.
	acceptedWait time.Duration
	granted      bool
	// sendAt is when the request may be sent, if granted.
	sendAt time.Time
}

// maxWait returns how long a request may wait for a limited replica and still be in time or, if it is already late, still be
// answered before its caller leaves.
func (st *State) maxWait(req *request) time.Duration {
	if req.late {
		return max(0, time.Duration(st.tune.Safety*float64(req.goal.Sub(st.now))))
	}
	return max(0, req.goal.Sub(st.now)-time.Duration(st.tune.LateGoalShare*float64(req.Route.Goal.Std())))
}

// hasTimelyGrant reports whether the request was granted a send early enough that its caller will still be waiting.
func (req *request) hasTimelyGrant() bool {
	return req.grant.granted && req.grant.sendAt.Before(req.LeavesAt) && req.grant.sendAt.Before(req.Deadline)
}

// limitWait returns how long a request is likely to wait until it is granted a send to the replica. It returns false if that
// is too long or if the request avoids the replica for now.
func (st *State) limitWait(rep *replica, req *request) (time.Duration, bool) {
	if rep.schedule == nil {
		return 0, true
	}
	if st.now.Before(req.avoidUntil[rep.Name]) {
		return 0, false
	}
	wait := max(0, rep.schedule.availableAt.Sub(st.now))
	return wait, wait == 0 || wait <= st.maxWait(req)
}

// requestGrant asks for a send to the replica. If this instance is the granting one, it decides at once: it may send the
// request or, after a refusal, place it anew. The result reports whether the request was sent.
func (st *State) requestGrant(req *request, rep *replica) bool {
	st.nextJob(req)
	req.grant = pendingGrant{rep: rep, job: req.job, granter: st.granter(rep), at: st.now, tries: 1}
	req.grant.acceptedWait = min(st.maxWait(req), max(0, rep.schedule.availableAt.Sub(st.now))+grantSlack)
	if req.grant.granter != st.Options.Name {
		st.sendGrantRequest(req)
		return false
	}
	gq := st.newGrantRequest(req)
	after, ok := st.grant(rep, jobKey{id: req.job}, &gq)
	st.applyGrant(req, after, ok)
	return st.trySend(req)
}

// newGrantRequest returns the GrantRequest for the send that the request has asked for.
func (st *State) newGrantRequest(req *request) GrantRequest {
	rep := req.grant.rep
	gq := GrantRequest{Job: req.grant.job, Replica: rep.Name, AcceptedWaitMs: millis(req.grant.acceptedWait), MaxWaitMs: millis(st.maxWait(req)), Value: float32(req.value), Recent: rep.recentSends(st.now, limitSpan)}
	if st.isCold(rep) {
		gq.RecentCold = rep.recentSends(st.now, coldSpan)
	}
	return gq
}

// sendGrantRequest sends the GrantRequest, together with the limit and the cold state as known here, to the granting instance.
func (st *State) sendGrantRequest(req *request) {
	rep := req.grant.rep
	nt := Note{Limits: st.newestLimit(rep), Cold: st.newestCold(rep), GrantRequests: []GrantRequest{st.newGrantRequest(req)}}
	st.emit(SendNote{Note: st.note(nt), To: []string{req.grant.granter}})
	st.emit(Wake{After: grantTimeout})
}

// applyGrant applies the answer to the request's GrantRequest.
func (st *State) applyGrant(req *request, after time.Duration, granted bool) {
	pg := &req.grant
	if granted {
		pg.granted, pg.sendAt = true, st.now.Add(after)
		if after > 0 {
			st.emit(Wake{After: after})
			st.logColdWait(req, "request waits for cold replica", after)
		}
		return
	}
	if pg.rep.schedule != nil {
		pg.rep.schedule.availableAt = st.now.Add(after)
	}
	if after <= pg.acceptedWait {
		// Sends are available, but reserved for requests of higher value.
		req.avoid(pg.rep, st.now.Add(avoidTime))
	}
	if pg.rep.limit != nil || !st.logColdWait(req, "slow start leaves no room", after) {
		st.emit(LogLine{Message: "rate limit leaves no room", Request: req.Name, Replica: pg.rep.Name, Age: st.now.Sub(req.at), Estimate: after})
	}
	req.grant = pendingGrant{}
}

// followGrant continues a request that has asked for a send. The request is sent at the granted time. It is placed anew if
// all tries stayed without an answer, if the grant has expired, if the replica has no room, or if the replica is no longer
// limited or no longer usable. The result reports whether the request was sent.
func (st *State) followGrant(req *request) bool {
	pg := &req.grant
	switch {
	case pg.rep.schedule == nil || !pg.rep.usable(st.now):
	case pg.granted && st.now.Before(pg.sendAt):
		if !st.betterThanGrant(req) {
			return false
		}
	case pg.granted && st.now.Sub(pg.sendAt) <= grantValidity:
		if pl, ok := st.placeAt(req, pg.rep); ok {
			st.bookCurrentJob(req, pl)
			st.send(req)
			req.grant = pendingGrant{}
			return true
		}
		// Without a pause the request would be granted the returned send again, and so on.
		req.avoid(pg.rep, st.now.Add(avoidTime))
	case pg.granted:
	case st.now.Sub(pg.at) < grantTimeout:
		return false
	case pg.tries < grantTries:
		pg.tries++
		pg.at = st.now
		st.sendGrantRequest(req)
		return false
	default:
		st.lastUnanswered[pg.granter] = st.now
		st.emit(LogLine{Message: "instance grants nothing: silent", Request: req.Name, Replica: pg.rep.Name, Age: st.now.Sub(req.at)})
	}
	st.dropGrant(req)
	return st.trySend(req)
}

// dropGrant forgets the send that the request has asked for. If it was granted, or may have been, it is given back, so that
// another request can have it.
func (st *State) dropGrant(req *request) {
	pg := req.grant
	req.grant = pendingGrant{}
	if pg.rep == nil || pg.rep.schedule == nil {
		return
	}
	if pg.granter == st.Options.Name {
		st.takeBack(pg.rep, jobKey{id: pg.job})
		return
	}
	st.emit(SendNote{Note: st.note(Note{GrantReturns: []GrantReturn{{Job: pg.job, Replica: pg.rep.Name}}}), To: []string{pg.granter}})
}

// avoid prevents the request from asking for a send to the replica until the given time.
func (req *request) avoid(rep *replica, until time.Time) {
	if req.avoidUntil == nil {
		req.avoidUntil = map[string]time.Time{}
	}
	req.avoidUntil[rep.Name] = until
}

// receiveGrants applies the answers to this instance's grant requests.
func (st *State) receiveGrants(grants []Grant) {
	for _, grant := range grants {
		req, ok := st.requests[RequestID(grant.Job/jobsPerRequest)]
		if !ok || req.grant.rep == nil || req.grant.job != grant.Job || req.grant.granted || req.grant.rep.Name != grant.Replica {
			continue
		}
		if st.now.Sub(req.grant.at) > grantTries*grantTimeout {
			// This instance was frozen after it asked. The granted time counts from when the answer was sent, so it may have
			// passed.
			continue
		}
		st.applyGrant(req, time.Duration(grant.AfterMs)*time.Millisecond, !grant.Refused)
	}
	if len(grants) > 0 {
		st.dispatch()
	}
}

// block is why a request cannot be placed.
type block struct {
	// reason is the reason of the refusal.
	reason Reason
	// until is when the first of the replicas is likely to accept the request, zero if that is not known.
	until time.Time
}

// blockedRequest is a waiting request that cannot be placed.
type blockedRequest struct {
	*request
	block
}

// blocked reports whether what the service's replicas have announced holds the request back for longer than it may wait: all
// of them leave, or those that remain accept nothing in time. A replica that failed may accept the request again at any time,
// so the request waits while only failures hold it back, unless the failure domain of a replica is down. A request whose answer has begun
// also waits if all replicas leave.
func (st *State) blocked(req *request) (block, bool) {
	if req.grant.rep != nil {
		return block{}, false
	}
	svc := st.serviceOf(req.service)
	evacuated := len(svc.replicas) - len(st.inUse(svc))
	first, leaving, others := block{}, 0, 0
	for _, rep := range st.candidates(svc) {
		if rep.Leaving {
			leaving++
			continue
		}
		others++
		reason, until := st.availableAt(rep, req)
		if until.Sub(st.now) <= st.maxWait(req) {
			return block{}, false
		}
		if reason != "" && (first.until.IsZero() || until.Before(first.until)) {
			first = block{reason, until}
		}
	}
	if leaving+evacuated > 0 && others == 0 && !req.begun {
		if evacuated > 0 {
			return block{reason: ReasonEvacuated}, true
		}
		return block{reason: ReasonLeaving}, true
	}
	return first, first.reason != ""
}

// availableAt returns when the replica, which does not leave, is likely to accept the request, and for which announcement it
// does not now. The reason is empty if that is a failure.
func (st *State) availableAt(rep *replica, req *request) (Reason, time.Time) {
	if ann := rep.blockedBy(notice.First, st.now); ann != notice.None {
		if ann == notice.Failing && st.now.Before(rep.outageUntil) {
			return ReasonDown, later(rep.downUntil, st.now.Add(outageProbeTime))
		}
		return announcementRules[ann].reason, announcementRules[ann].endsAt(rep)
	}
	if rep.schedule == nil {
		return "", time.Time{}
	}
	until := later(rep.schedule.availableAt, req.avoidUntil[rep.Name])
	if rep.limit == nil && until.After(rep.coldUntil) {
		until = rep.coldUntil
	}
	return ReasonLimited, until
}

// retryAfterBlock returns the time after which a caller that was refused because of the block should retry.
func (st *State) retryAfterBlock(req *request, bl block) time.Duration {
	spread := time.Duration(st.random.Int64N(int64(retrySpread)))
	switch bl.reason {
	case ReasonLimited:
		return st.retryAfterLimit(req, bl.until)
	case ReasonResting, ReasonDown:
		return bl.until.Sub(st.now) + spread
	}
	// A replica that takes the place of the leaving ones has to start and to be listed first.
	return replacementTime + spread
}

// replacementTime is the time after which callers are asked to retry if all replicas of a service leave: that in which a new
// replica that has started is listed everywhere.
const replacementTime = time.Second

// retryAfterLimit returns the time after which a caller that was refused because of rate limits should retry: not before
// first, but at the latest after maxRetryAfter. It spaces the retries evenly, at this instance's share of the sum of the
// limits, so that the replicas can accept the requests when the callers return.
func (st *State) retryAfterLimit(req *request, first time.Time) time.Duration {
	svc := st.serviceOf(req.service)
	perS := 0.0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) && rep.schedule != nil {
			perS += max(minRate, st.maxRate(rep))
		}
	}
	interval := duration(1000 * float64(st.live) / max(minRate, perS))
	svc.nextRetryAt = later(svc.nextRetryAt, first)
	if latest := st.now.Add(maxRetryAfter); svc.nextRetryAt.After(latest) {
		svc.nextRetryAt = latest
	}
	if end, ok := st.firstColdEnd(svc); ok && svc.nextRetryAt.After(end) {
		// From the end of the cold state on there is more capacity. The callers return spread over the time after it.
		return max(notRunDelay, end.Sub(st.now)) + time.Duration(st.random.Int64N(int64(retrySpread)))
	}
	after := max(notRunDelay, svc.nextRetryAt.Sub(st.now))
	svc.nextRetryAt = svc.nextRetryAt.Add(interval)
	return after
}

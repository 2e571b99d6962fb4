package steer

import (
	"cmp"
	"slices"
	"time"
)

// Rest of replicas. A replica that refuses a request may state for how long it wants no others from the instance that sent
// it. Load pattern: some engines of a service are overloaded by work that this instance does not see, and refuse part of what
// they receive while the rest of their requests go on. Only the instance that was refused holds back: others may have
// capacity that the replica still grants them.

const (
	// maxRestSpread bounds the random time by which a rest lasts longer than the replica asked for. Instances that were
	// refused at the same moment would otherwise return at the same moment.
	maxRestSpread = 500 * time.Millisecond
	// restSpreadShare is that time as a part of the rest, if it is less.
	restSpreadShare = 0.25
	// trialTimeout is how long after a rest the other requests wait for the answer to the first one.
	trialTimeout = time.Second
	// maxRestRenewals is the maximum number of renewals of memory reservations that a replica receives during its rest.
	maxRestRenewals = 1
	// lastRenewalTime is how long before it expires a reservation is renewed at a resting replica: the next attempt to renew it
	// would be too late.
	lastRenewalTime = ReservationRenewInterval + 500*time.Millisecond
)

// rest is the time in which a replica wants no requests from this instance, and the first request after it.
type rest struct {
	// open reports whether the replica has rested and no request has been answered since.
	open bool
	// until is when the rest ends here.
	until time.Time
	// endLogged reports whether that end has been logged.
	endLogged bool
	// renewals counts the renewals of reservations that were sent during the rest.
	renewals int
	// trial is the first request after the rest, 0 if none was sent. The others wait until it is answered.
	trial RequestID
	// trialAt is when the trial was sent.
	trialAt time.Time
}

func (rst *rest) inForce(now time.Time) bool { return rst.open && now.Before(rst.until) }

func (rst *rest) onTrial(now time.Time) bool {
	return rst.open && rst.trial != 0 && !now.Before(rst.until) && now.Before(rst.trialAt.Add(trialTimeout))
}

// startRest applies the rest that the replica asked for. Of several, the one that ends last counts.
func (st *State) startRest(rep *replica, period time.Duration) {
	st.emit(LogLine{Message: "announcement received", Replica: rep.Name, Announcement: Resting.String(), Source: sourceAnswer, Rest: period})
	spread := min(maxRestSpread, time.Duration(restSpreadShare*float64(period)))
	until := st.now.Add(period)
	if st.live > 1 && spread > 0 {
		until = until.Add(time.Duration(st.random.Int64N(int64(spread))))
	}
	if !rep.rest.inForce(st.now) {
		rep.rest = rest{open: true, until: until}
		return
	}
	rep.rest.until = later(rep.rest.until, until)
}

// endTrial ends the wait of the others if the request was the first one after the replica's rest. If it was answered, the
// replica is back; otherwise the next request is the first one.
func (rep *replica) endTrial(id RequestID, answered bool) {
	if rep.rest.trial != id {
		return
	}
	rep.rest.trial = 0
	rep.rest.open = rep.rest.open && !answered
}

// recordPassed notes a message that reaches the replica: the first request after a rest, or a renewal during it.
func (rep *replica) recordPassed(now time.Time, id RequestID, kind SendKind) {
	rst := &rep.rest
	switch {
	case !rst.open:
	case kind == SendRenewal && rst.inForce(now):
		rst.renewals++
	case announcementRules[Returning].treatments[kind] == trialOnly && !rst.onTrial(now):
		rst.trial, rst.trialAt = id, now
	}
}

// mayRenew reports whether a reservation that expires at the given time may be renewed during the rest. Without the renewal a
// running request would lose its memory and be cut off.
func (rst *rest) mayRenew(now, expiresAt time.Time) bool {
	left := expiresAt.Sub(now)
	return rst.renewals < maxRestRenewals && expiresAt.Before(rst.until) && left > 0 && left < lastRenewalTime
}

// logEndsOfRest logs, once for each of the replicas, that its rest is over.
func (st *State) logEndsOfRest(reps []*replica) {
	slices.SortFunc(reps, func(a, b *replica) int { return cmp.Compare(a.Name, b.Name) })
	for _, rep := range reps {
		rep.rest.endLogged = true
		st.emit(LogLine{Message: "announcement ended", Replica: rep.Name, Announcement: Resting.String(), Source: sourceAnswer, Age: st.now.Sub(rep.rest.until)})
	}
}

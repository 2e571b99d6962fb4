package notice

import "time"

const (
	// maxRestSpread bounds the random time by which a rest lasts longer than the upstream asked for. Instances that were
	// refused at the same moment would otherwise return at the same moment.
	maxRestSpread = 500 * time.Millisecond
	// restSpreadShare is that time as a part of the rest, if it is less.
	restSpreadShare = 0.25
	// TrialTimeout is how long after a rest the other requests wait for the answer to the first one.
	TrialTimeout = time.Second
	// maxRestRenewals is the maximum number of renewals of memory reservations that an upstream receives during its rest.
	maxRestRenewals = 1
)

// Rest is the time in which an upstream wants no requests from this instance, and the first request after it.
type Rest struct {
	// Open reports whether the upstream has rested and no request has been answered since.
	Open bool
	// Until is when the rest ends here.
	Until time.Time
	// Logged reports whether that end has been logged.
	Logged bool
	// Renewals counts the renewals of reservations that were sent during the rest.
	Renewals int
	// Trial is the first request after the rest, 0 if none was sent. The others wait until it is answered.
	Trial uint64
	// TrialAt is when the trial was sent.
	TrialAt time.Time
}

// InForce reports whether the upstream rests.
func (rst *Rest) InForce(now time.Time) bool { return rst.Open && now.Before(rst.Until) }

// OnTrial reports whether the first request after the rest has not been answered yet.
func (rst *Rest) OnTrial(now time.Time) bool {
	return rst.Open && rst.Trial != 0 && !now.Before(rst.Until) && now.Before(rst.TrialAt.Add(TrialTimeout))
}

// MaxSpread is the longest time by which a rest of the period may be prolonged at random.
func MaxSpread(period time.Duration) time.Duration {
	return min(maxRestSpread, time.Duration(restSpreadShare*float64(period)))
}

// Start applies a rest until the given time. Of several, the one that ends last counts.
func (rst *Rest) Start(now, until time.Time) {
	if !rst.InForce(now) {
		*rst = Rest{Open: true, Until: until}
		return
	}
	if until.After(rst.Until) {
		rst.Until = until
	}
}

// EndTrial ends the wait of the others if the request was the first one after the rest. If it was answered, the upstream is
// back; otherwise the next request is the first one.
func (rst *Rest) EndTrial(id uint64, answered bool) {
	if rst.Trial != id {
		return
	}
	rst.Trial = 0
	rst.Open = rst.Open && !answered
}

// AnsweredSince ends the trial if an answer came to a message that was sent at the given time, after the trial.
func (rst *Rest) AnsweredSince(sent time.Time) {
	if rst.Trial != 0 && !sent.Before(rst.TrialAt) {
		rst.EndTrial(rst.Trial, true)
	}
}

// Pass notes a message that reaches the upstream: the first request after a rest, or a renewal during it.
func (rst *Rest) Pass(now time.Time, id uint64, kind Kind) {
	switch {
	case !rst.Open:
	case kind == Renewal && rst.InForce(now):
		rst.Renewals++
	case Rules[Returning].Treatments[kind] == TrialOnly && !rst.OnTrial(now):
		rst.Trial, rst.TrialAt = id, now
	}
}

// MayRenew reports whether a reservation that expires at the given time may be renewed during the rest: if the next attempt
// to renew it, at least margin later, would be too late. Without the renewal a running request would lose its memory and be
// cut off.
func (rst *Rest) MayRenew(now, expiresAt time.Time, margin time.Duration) bool {
	left := expiresAt.Sub(now)
	return rst.Renewals < maxRestRenewals && expiresAt.Before(rst.Until) && left > 0 && left < margin
}

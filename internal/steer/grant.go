package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Grants of sends to replicas that have a rate limit or are cold, here called limited. One instance grants all sends to a
// limited replica. It is chosen by rendezvous hashing of the replica's name, so no election is needed. It keeps a single
// schedule: a request for the replica asks for a send, and the answer states when it may be sent or when to ask again. The
// capacity thus follows demand from one request to the next, and the limit may be lower than the number of instances.
// Where instances disagree on which one grants, each of the granting ones receives notes of the others' sends and counts
// them. An instance that receives notes from only some of the others grants only the corresponding share of the limit.

const (
	// unresponsiveTime is how long an instance that did not answer is skipped when the granting instance is chosen.
	unresponsiveTime = time.Second
	// retriesPerSend is how many refused requests ask again for each send that becomes available. If all of them did, the
	// number of grant requests would grow with the number of instances.
	retriesPerSend = 4
	// substituteShare is the part of the limit that a substitute grants until the instance that should grant is known to be
	// gone. In a network partition that instance still grants the whole limit to its own side.
	substituteShare = 0.25
	// maxGrantDelay is how far ahead of its time a send is granted at most.
	maxGrantDelay = 4 * time.Second
	// topValueTTL is how long the highest requested value restricts requests of lower value.
	topValueTTL = 2 * time.Second
	// maxTopGrants is the number of grants in a row to requests of the highest value after which a request of lower value
	// may use the whole queue. Otherwise requests of low value would starve.
	maxTopGrants = 4
	// grantRetention is how long a grant is kept after the time of its send, so that the note about the send does not count it
	// again.
	grantRetention = time.Second
)

// sendSchedule paces the sends to a replica that accepts only so many requests a second from all instances together, since it
// states a rate limit or is cold.
type sendSchedule struct {
	// availableAt is when a send is next likely to be granted, by the newest refusal of the granting instance.
	availableAt time.Time
	// bucket paces the sends that this instance grants. Only the granting instance uses it.
	bucket *rate.Limiter
	// grants holds the granted sends that no job is known to have used. They are already counted. Only the granting instance
	// uses it.
	grants map[jobKey]grantedSend
	// topValue is the highest value among the recent grant requests.
	topValue float64
	// topValueAt is when topValue was set.
	topValueAt time.Time
	// topGrants counts the grants since the last one to a request below topValue.
	topGrants int
	// refusals counts the grant requests refused since the last grant because no send was available in time at all.
	refusals int
	// used counts the sends of this instance, without memory reservations, since it learnt that the replica has a limit or is cold.
	used int64
}

// updateSchedule starts the schedule of a replica whose sends need grants from now on, and drops that of one whose sends need none.
func (st *State) updateSchedule(rep *replica) {
	switch {
	case rep.limit == nil && !st.isCold(rep):
		rep.schedule = nil
	case rep.schedule != nil:
		// availableAt was estimated at another rate.
		rep.schedule.availableAt = time.Time{}
	default:
		rep.schedule = &sendSchedule{bucket: rate.NewLimiter(rate.Limit(st.maxRate(rep)), limitBurst), grants: map[jobKey]grantedSend{}}
	}
}

// maxRate returns how many requests a second a replica with a schedule accepts from all instances together: the lower of its limit
// and of what it accepts while it is cold.
func (st *State) maxRate(rep *replica) float64 {
	perS := math.Inf(1)
	if rep.limit != nil {
		perS = rep.limit.perS
	}
	if st.isCold(rep) {
		perS = min(perS, st.serviceOf(rep.Service).slowStart.PerS)
	}
	return perS
}

// GrantRequest requests a send to a replica that has a rate limit or is cold from the instance that grants them.
type GrantRequest struct {
	Job     JobID  `cbor:"1,keyasint,omitempty"`
	Replica string `cbor:"2,keyasint,omitempty"`
	// AcceptedWaitMs is the longest wait in ms that the request accepts: slightly more than the estimate by which the
	// replica was chosen.
	AcceptedWaitMs int32 `cbor:"3,keyasint,omitempty"`
	// MaxWaitMs is the longest wait in ms that makes sense: after a longer one the request would be too late.
	MaxWaitMs int32 `cbor:"4,keyasint,omitempty"`
	// Value is the value of the request.
	Value float32 `cbor:"5,keyasint,omitempty"`
	// Recent counts the sends of all instances within the last limitSpan that the asking instance knows of. The granting
	// instance may know of fewer if it has just taken over or if notes to it were lost.
	Recent int `cbor:"6,keyasint,omitempty"`
	// RecentCold counts those within the last coldSpan. It is set only if the asking instance takes the replica for cold.
	RecentCold int `cbor:"7,keyasint,omitempty"`
}

// maxValue is the highest value accepted in a GrantRequest, far above that of the longest prompt.
const maxValue = 1e6

// Grant answers a GrantRequest.
type Grant struct {
	Job     JobID  `cbor:"1,keyasint,omitempty"`
	Replica string `cbor:"2,keyasint,omitempty"`
	// AfterMs is the time in ms until the request may be sent or, if it was refused, until it should ask again.
	AfterMs int32 `cbor:"3,keyasint,omitempty"`
	// Refused reports that no send was granted.
	Refused bool `cbor:"4,keyasint,omitempty"`
}

func (gq *GrantRequest) valid() bool {
	return gq.Replica != "" && gq.AcceptedWaitMs >= 0 && gq.MaxWaitMs >= 0 && gq.Value >= 0 && gq.Value <= maxValue && gq.Recent >= 0 && gq.RecentCold >= 0
}

func (gr *Grant) valid() bool { return gr.Replica != "" && gr.AfterMs >= 0 }

// grantingSubset returns the subset whose users may grant sends to the replica: the instances that may use it.
func (st *State) grantingSubset(rep *replica) subset {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil {
		return subset{}
	}
	return st.subsetOf(rep)
}

// granter returns the name of the instance that grants sends to the replica, as far as is known here.
func (st *State) granter(rep *replica) string { return st.firstGranter(rep, true) }

// firstGranter returns the highest-ranked instance that may grant sends to the replica. With skipUnresponsive,
// instances that recently failed to answer are left out.
func (st *State) firstGranter(rep *replica, skipUnresponsive bool) string {
	sub := st.grantingSubset(rep)
	best, highest := "", uint64(0)
	consider := func(name string) {
		if hash := xxhash.Sum64String(name + "/" + rep.Name); best == "" || hash > highest {
			best, highest = name, hash
		}
	}
	if svc := st.serviceOf(rep.Service); svc.engine == nil || sub == st.ownSubset(svc) {
		consider(st.Options.Name)
	}
	for _, name := range st.othersUsing(sub) {
		if !skipUnresponsive || st.now.Sub(st.lastUnanswered[name]) >= unresponsiveTime {
			consider(name)
		}
	}
	return cmp.Or(best, st.Options.Name)
}

// isSubstitute reports whether this instance grants in place of one that sent notes recently. That instance may be gone, or
// it may still grant sends to others on the far side of a network partition.
func (st *State) isSubstitute(rep *replica) bool {
	first := st.firstGranter(rep, false)
	_, live := st.peers[first]
	return first != st.Options.Name && live
}

// reachableShare returns the share of the registered instances from which notes arrive, this one included. It counts the
// other users of this instance's subsets, once for each service with engines. During a network partition an instance cannot
// know what the unreachable ones send.
func (st *State) reachableShare() float64 {
	registered, reachable := 1, 1
	for _, svc := range st.services {
		if svc.engine == nil {
			continue
		}
		for _, name := range st.othersUsing(st.ownSubset(svc)) {
			registered++
			if _, ok := st.peers[name]; ok {
				reachable++
			}
		}
	}
	return float64(reachable) / float64(registered)
}

// grantRate returns how many sends a second this instance grants. Renewals of memory reservations are subtracted from maxRate.
func (st *State) grantRate(rep *replica) float64 {
	perS := st.maxRate(rep) - reservationRate*float64(rep.reservations())
	if st.isSubstitute(rep) {
		perS *= substituteShare
	}
	return max(minRate, perS) * st.reachableShare()
}

// grant books a send if one is available within the wait that the request accepts and that its value allows. It returns the
// time until the send or, if ok is false, the time after which the request should ask again.
func (st *State) grant(rep *replica, key jobKey, gq *GrantRequest) (after time.Duration, ok bool) {
	sched := rep.schedule
	if granted, known := sched.grants[key]; known {
		// The answer was lost, so the request asked again.
		return max(0, granted.at.Sub(st.now)), true
	}
	perS := st.grantRate(rep)
	sched.bucket.SetLimitAt(st.now, rate.Limit(perS))
	reserved := sched.bucket.ReserveN(st.now, 1)
	after = reserved.DelayFrom(st.now)
	if rep.limit != nil {
		after = max(after, rep.limitDelay(st.now, perS, gq.Recent))
	}
	if st.isCold(rep) {
		after = max(after, rep.coldDelay(st.now, perS, gq.RecentCold))
	}
	value := float64(gq.Value)
	maxWait := min(time.Duration(gq.MaxWaitMs)*time.Millisecond, sched.maxDelayFor(st.now, value))
	if after > min(maxWait, time.Duration(gq.AcceptedWaitMs)*time.Millisecond) {
		reserved.CancelAt(st.now)
		if after <= maxWait {
			// When the request asks again, it may accept this wait.
			return after, false
		}
		sched.refusals++
		return after + min(limitSpan, duration(1000*float64(sched.refusals)/(retriesPerSend*perS))), false
	}
	sched.refusals = 0
	sched.topGrants++
	if value < sched.topValue {
		sched.topGrants = 0
	}
	rep.recordSend(st.now, st.now.Add(after))
	sched.grants[key] = grantedSend{at: st.now.Add(after), reserved: reserved}
	return after, true
}

// limitDelay returns the time until the next send at the rate leaves no window of limitSpan with more sends than the rate allows,
// including those from before the limit was received. recent is how many sends of the last limitSpan the asking instance knows of.
func (rep *replica) limitDelay(now time.Time, perS float64, recent int) time.Duration {
	maxInSpan := int(perS*limitSpan.Seconds()) + 1
	if len(rep.sends) >= maxInSpan {
		return rep.sends[len(rep.sends)-maxInSpan].Add(limitSpan).Sub(now)
	}
	if recent >= maxInSpan {
		// The asking instance knows of sends that were not counted here. It is unknown when they leave the window, so the
		// delay is the interval between two sends.
		return duration(1000 / perS)
	}
	return 0
}

// grantedSend is a send that was granted.
type grantedSend struct {
	// at is when it may be sent.
	at time.Time
	// reserved is its place in the bucket.
	reserved *rate.Reservation
}

// takeBack makes a granted send that will not be used available to others.
func (st *State) takeBack(rep *replica, key jobKey) {
	if rep.schedule == nil {
		return
	}
	granted, ok := rep.schedule.grants[key]
	if !ok {
		return
	}
	delete(rep.schedule.grants, key)
	granted.reserved.CancelAt(st.now)
	if i := slices.Index(rep.sends, granted.at); i >= 0 {
		rep.sends = slices.Delete(rep.sends, i, i+1)
	}
}

// GrantReturn gives a grant back that will not be used.
type GrantReturn struct {
	Job     JobID  `cbor:"1,keyasint,omitempty"`
	Replica string `cbor:"2,keyasint,omitempty"`
}

// receiveGrantReturns applies the grants that another instance gives back.
func (st *State) receiveGrantReturns(from string, returns []GrantReturn) {
	for _, ret := range returns {
		if rep, ok := st.replicas[ret.Replica]; ok {
			st.takeBack(rep, jobKey{from, ret.Job})
		}
	}
}

// maxDelayFor returns how far ahead a send for a request of the value may be granted, and records the value if it is the
// highest of the last topValueTTL. The far end of the queue is reserved for the highest values: if sends were granted in
// order of arrival alone, many short requests would crowd out the few of higher value.
func (sched *sendSchedule) maxDelayFor(now time.Time, value float64) time.Duration {
	if value >= sched.topValue || now.Sub(sched.topValueAt) > topValueTTL {
		sched.topValue, sched.topValueAt = value, now
		return maxGrantDelay
	}
	if sched.topGrants >= maxTopGrants {
		return maxGrantDelay
	}
	return time.Duration(value / sched.topValue * float64(maxGrantDelay))
}

// dropExpiredGrants drops expired grants for whose sends no note arrived, and the expired entries of lastUnanswered.
func (st *State) dropExpiredGrants() {
	for name, at := range st.lastUnanswered {
		if st.now.Sub(at) >= unresponsiveTime {
			delete(st.lastUnanswered, name)
		}
	}
	for _, rep := range st.replicas {
		if rep.schedule == nil {
			continue
		}
		for key, granted := range rep.schedule.grants {
			if st.now.Sub(granted.at) > grantRetention {
				delete(rep.schedule.grants, key)
			}
		}
	}
}

// receiveGrantRequests answers the grant requests of another instance.
func (st *State) receiveGrantRequests(from string, requests []GrantRequest) {
	for i := range requests {
		gq := &requests[i]
		rep, ok := st.replicas[gq.Replica]
		if !ok || rep.schedule == nil && rep.limitEnded.IsZero() && !st.knowsCold(rep) {
			// This instance does not know the replica, or not the incarnation whose limit or cold state the asking instance knows.
			// For lack of an answer the asking one turns to the next instance by rank, which may know it.
			continue
		}
		nt := Note{}
		grant := Grant{Job: gq.Job, Replica: gq.Replica}
		if rep.schedule == nil {
			// The limit or the cold state has ended, so the request may be sent at once.
			nt.Limits, nt.Cold = st.newestLimit(rep), st.newestCold(rep)
		} else {
			after, ok := st.grant(rep, jobKey{from, gq.Job}, gq)
			grant.AfterMs, grant.Refused = millis(after+time.Millisecond-1), !ok
		}
		nt.Grants = []Grant{grant}
		st.emit(SendNote{Note: st.note(nt), To: []string{from}})
	}
}

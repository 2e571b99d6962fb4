package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Grants of sends to rate-limited replicas. One instance grants all sends to a limited replica. It is chosen by rendezvous
// hashing of the replica's name, so no election is needed. It keeps a single schedule: a request for the replica asks for a
// send, and the answer states when it may be sent or when to ask again. The capacity thus follows demand from one request to
// the next, and the limit may be lower than the number of instances. Where instances disagree on which one grants, each of
// the granting ones receives notes of the others' sends and counts them. An instance that receives notes from only some of
// the others grants only the corresponding share of the limit.

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

// GrantRequest requests a send to a rate-limited replica from the instance that grants them.
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
	return gq.Replica != "" && gq.AcceptedWaitMs >= 0 && gq.MaxWaitMs >= 0 && gq.Value >= 0 && gq.Value <= maxValue && gq.Recent >= 0
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

// grantRate returns how many sends a second this instance grants. Renewals of memory reservations are subtracted from the
// limit.
func (st *State) grantRate(rep *replica) float64 {
	perS := rep.limit.perS - reservationRate*float64(rep.reservations())
	if st.isSubstitute(rep) {
		perS *= substituteShare
	}
	return max(minRate, perS) * st.reachableShare()
}

// grant books a send if one is available within the wait that the request accepts and that its value allows. It returns the
// time until the send or, if ok is false, the time after which the request should ask again.
func (st *State) grant(rep *replica, key jobKey, gq *GrantRequest) (after time.Duration, ok bool) {
	rl := rep.limit
	if granted, known := rl.grants[key]; known {
		// The answer was lost, so the request asked again.
		return max(0, granted.at.Sub(st.now)), true
	}
	perS := st.grantRate(rep)
	rl.bucket.SetLimitAt(st.now, rate.Limit(perS))
	reserved := rl.bucket.ReserveN(st.now, 1)
	after = reserved.DelayFrom(st.now)
	// No window of limitSpan may contain more sends than the rate allows, including those from before the limit was
	// received.
	maxInSpan := int(perS*limitSpan.Seconds()) + 1
	if len(rep.sends) >= maxInSpan {
		after = max(after, rep.sends[len(rep.sends)-maxInSpan].Add(limitSpan).Sub(st.now))
	} else if gq.Recent >= maxInSpan {
		// The asking instance knows of sends that were not counted here. It is unknown when they leave the window, so the
		// delay is the interval between two sends.
		after = max(after, duration(1000/perS))
	}
	value := float64(gq.Value)
	maxWait := min(time.Duration(gq.MaxWaitMs)*time.Millisecond, rl.maxDelayFor(st.now, value))
	if after > min(maxWait, time.Duration(gq.AcceptedWaitMs)*time.Millisecond) {
		reserved.CancelAt(st.now)
		if after <= maxWait {
			// When the request asks again, it may accept this wait.
			return after, false
		}
		rl.refusals++
		return after + min(limitSpan, duration(1000*float64(rl.refusals)/(retriesPerSend*perS))), false
	}
	rl.refusals = 0
	rl.topGrants++
	if value < rl.topValue {
		rl.topGrants = 0
	}
	rep.recordSend(st.now, st.now.Add(after))
	rl.grants[key] = grantedSend{at: st.now.Add(after), reserved: reserved}
	return after, true
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
	if rep.limit == nil {
		return
	}
	granted, ok := rep.limit.grants[key]
	if !ok {
		return
	}
	delete(rep.limit.grants, key)
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
func (rl *rateLimit) maxDelayFor(now time.Time, value float64) time.Duration {
	if value >= rl.topValue || now.Sub(rl.topValueAt) > topValueTTL {
		rl.topValue, rl.topValueAt = value, now
		return maxGrantDelay
	}
	if rl.topGrants >= maxTopGrants {
		return maxGrantDelay
	}
	return time.Duration(value / rl.topValue * float64(maxGrantDelay))
}

// dropExpiredGrants drops expired grants for whose sends no note arrived, and the expired entries of lastUnanswered.
func (st *State) dropExpiredGrants() {
	for name, at := range st.lastUnanswered {
		if st.now.Sub(at) >= unresponsiveTime {
			delete(st.lastUnanswered, name)
		}
	}
	for _, rep := range st.replicas {
		if rep.limit == nil {
			continue
		}
		for key, granted := range rep.limit.grants {
			if st.now.Sub(granted.at) > grantRetention {
				delete(rep.limit.grants, key)
			}
		}
	}
}

// receiveGrantRequests answers the grant requests of another instance.
func (st *State) receiveGrantRequests(from string, requests []GrantRequest) {
	for i := range requests {
		gq := &requests[i]
		rep, ok := st.replicas[gq.Replica]
		if !ok || rep.limit == nil && rep.limitEnded.IsZero() {
			// This instance does not know the replica, or not the incarnation whose limit the asking instance knows. For lack of
			// an answer the asking one turns to the next instance by rank, which may know it.
			continue
		}
		nt := Note{}
		grant := Grant{Job: gq.Job, Replica: gq.Replica}
		if rep.limit == nil {
			// The limit has ended, so the request may be sent at once.
			nt.Limits = []Limit{st.limitOf(rep)}
		} else {
			after, ok := st.grant(rep, jobKey{from, gq.Job}, gq)
			grant.AfterMs, grant.Refused = millis(after+time.Millisecond-1), !ok
		}
		nt.Grants = []Grant{grant}
		st.emit(SendNote{Note: st.note(nt), To: []string{from}})
	}
}

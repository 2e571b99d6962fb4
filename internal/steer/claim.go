package steer

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Claims on scarce slots. Load pattern: callers request more streams than all engines have slots, so all instances see each
// freed slot at once and each has a request waiting for it. A single instance cannot know who else takes the slot. The
// engine accepts all of the requests and queues those without a slot for a second or more, while a slot that is freed
// elsewhere goes to a newer request. Therefore a request for one of the last slots is first announced to the other instances
// as a claim and sent shortly after, unless claims of higher rank arrive in between. All instances rank claims identically,
// by the content of the claims alone.

const (
	// scarceSlots is the maximum number of free slots of an engine at which a request must claim one. More slots than these are
	// seldom taken within the time that a note takes to arrive.
	scarceSlots = 2
	// claimDelay is how long a claim waits for competing claims: several times the delay of a note between two instances.
	claimDelay = 4 * time.Millisecond
	// claimTTL is how long after its arrival a job that another instance announced as a claim still counts as one. Later it
	// has been sent or withdrawn.
	claimTTL = 2 * claimDelay
	// claimBackoff is how long a request waits after its claim was withdrawn.
	claimBackoff = 5 * time.Millisecond
	// waitingAfter is the age from which a request counts as waiting in mayTakeSlot.
	waitingAfter = 5 * time.Millisecond
	// claimsPerSlot is the desired number of claims for each free slot. With fewer, the slot could stay idle; of more, most
	// would be withdrawn.
	claimsPerSlot = 2
)

// contested reports whether other instances may take the slot of the plan's answering engine at the same moment.
func (st *State) contested(pl *plan) bool {
	first := pl.reps[0]
	return st.live > 1 && st.services[first.Service].engine != nil && first.freeSlots() <= scarceSlots
}

// resolveClaims decides the claims that have waited for claimDelay: it sends the requests that win their slot and withdraws
// the claims that lose it to others of higher rank.
func (st *State) resolveClaims() {
	var due []*request
	st.claims = slices.DeleteFunc(st.claims, func(req *request) bool {
		elapsed := st.now.Sub(req.sentAt) >= req.claimWait()
		if elapsed {
			due = append(due, req)
		}
		return elapsed
	})
	for _, req := range due {
		if req.slot.granter != "" && !st.slotUnanswered(req) {
			continue
		}
		if st.winsClaim(req) {
			req.claiming = false
			st.send(req)
			continue
		}
		st.emit(LogLine{Message: "claim withdrawn", Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at)})
		st.withdrawClaim(req)
		req.notBefore = st.now.Add(claimBackoff)
		st.waiting = append(st.waiting, req)
	}
}

// claimWait is how long the claim waits: for competing claims, or for the answer to a slot request.
func (req *request) claimWait() time.Duration {
	if req.slot.granter != "" {
		return slotTimeout
	}
	return claimDelay
}

// withdrawClaim drops the request's claim and the booking for it.
func (st *State) withdrawClaim(req *request) {
	st.unbook(req)
	st.dropClaim(req)
}

// dropClaim ends the request's claim and keeps its booking.
func (st *State) dropClaim(req *request) {
	st.claims = slices.DeleteFunc(st.claims, func(other *request) bool { return other == req })
	req.claiming = false
}

// winsClaim reports whether the replica has a slot left for the request once all claims of higher rank have theirs.
func (st *State) winsClaim(req *request) bool {
	if st.claimBarred(req) {
		return false
	}
	rep := req.reps[0]
	excess := -rep.freeSlots()
	if excess <= 0 {
		return true
	}
	own := rep.find(jobKey{id: req.job})
	if own < 0 {
		return false
	}
	// Of the claims, the lowest in rank lose: the request wins if at least excess others rank below it.
	outranked := 0
	for i := range rep.works {
		wk := &rep.works[i]
		if i != own && wk.first && wk.claim && st.now.Sub(wk.sent) < claimTTL && st.outranks(&rep.works[own], wk) {
			outranked++
		}
	}
	return outranked >= excess
}

// claimBarred reports whether the request must not be sent as it was placed, even if it has the slot.
func (st *State) claimBarred(req *request) bool {
	return req.reps[0].schedule != nil || st.planBlocked(req) || st.catchingUp() || st.quarantined(req)
}

// planBlocked reports whether an announcement holds the request, or a part of its prompt, back from a replica of its plan.
func (st *State) planBlocked(req *request) bool {
	for i, rep := range req.reps {
		kind := notice.Part
		if i == 0 {
			kind = req.sendKind()
		}
		if rep.blockedBy(kind, st.now) != notice.None {
			return true
		}
	}
	return false
}

// outranks reports whether claim a ranks higher than claim b. The order, by value and then by instance and job, is the same
// at all instances. Values are compared as float32, since notes carry them so.
func (st *State) outranks(a, b *work) bool {
	order := cmp.Or(
		-cmp.Compare(float32(a.value), float32(b.value)),
		cmp.Compare(st.instanceOf(a), st.instanceOf(b)),
		cmp.Compare(a.key.id, b.key.id),
	)
	return order < 0
}

// instanceOf returns the name of the instance whose job the work is part of.
func (st *State) instanceOf(wk *work) string {
	if wk.key.from == "" {
		return st.Options.Name
	}
	return wk.key.from
}

// mayTakeSlot reports whether the request may try to take a free slot of the replica now, while the given number of requests
// wait. All instances learn of a freed slot at once, and all their waiting requests would claim it. So a waiting request
// tries with the probability that yields about claimsPerSlot claims for each free slot, and tries again at the next tick.
// New requests always may.
func (st *State) mayTakeSlot(rep *replica, req *request, waiting int) bool {
	if st.now.Sub(req.at) < waitingAfter {
		return true
	}
	wanted := claimsPerSlot * rep.freeSlots()
	return wanted >= waiting || st.random.IntN(waiting) < wanted
}

// waitingRequests returns how many requests wait at the instances that use the same replicas. This instance counts for at
// least one request, and one from which no note has arrived counts for one.
func (st *State) waitingRequests(svc *service) int {
	waiting := max(1, len(st.waiting))
	for _, name := range st.othersUsing(st.ownSubset(svc)) {
		if pr, ok := st.peers[name]; ok {
			waiting += pr.waiting
		} else {
			waiting++
		}
	}
	return waiting
}

package steer

import (
	"cmp"
	"slices"
	"time"
)

// Claims on scarce slots. Load pattern: more streams are asked for than all engines can write, so that each slot that gets
// free is seen by all instances at once, and each has a request for it. An instance alone cannot know who else takes it;
// the engine takes them all and keeps those without a slot waiting for a second or more, while a slot that gets free
// elsewhere goes to a newer request. So a request for one of few slots is told to the others first and sent a moment later,
// unless others have a better right by then. All instances rank the claims alike, from what the claims say.

const (
	// scarceSlots is how many slots of an engine may be free for a request to claim one: more are seldom taken within the
	// time that a note takes.
	scarceSlots = 2
	// claimTime is how long others may object, some times what a note takes from one instance to the next.
	claimTime = 4 * time.Millisecond
	// claimMemory is how long another instance's claim counts as one, which it was when it was told.
	claimMemory = 2 * claimTime
	// claimPause is the wait after a claim that was withdrawn.
	claimPause = 5 * time.Millisecond
	// rushAfter is how long a request must be here to count as one that waits.
	rushAfter = 5 * time.Millisecond
	// takers is how many claims on a free slot are wanted: fewer leave it idle, more are withdrawn.
	takers = 2
)

// contested tells that others may take the slot at the same moment.
func (st *State) contested(pl *plan) bool {
	first := pl.reps[0]
	return st.live > 1 && st.services[first.Service].engine != nil && first.freeSlots() <= scarceSlots
}

// settle sends what was claimed long enough ago, and withdraws what others have a better right to.
func (st *State) settle() {
	var due []*request
	st.claims = slices.DeleteFunc(st.claims, func(req *request) bool {
		over := st.now.Sub(req.sentAt) >= claimTime
		if over {
			due = append(due, req)
		}
		return over
	})
	for _, req := range due {
		if st.prevails(req) {
			req.claims = false
			st.send(req)
			continue
		}
		st.emit(Line{Message: "claim withdrawn", Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at)})
		st.withdraw(req)
		req.notBefore = st.now.Add(claimPause)
		st.waiting = append(st.waiting, req)
	}
}

// withdraw gives a claim up.
func (st *State) withdraw(req *request) {
	st.claims = slices.DeleteFunc(st.claims, func(other *request) bool { return other == req })
	st.unbook(req)
	req.claims = false
}

// prevails tells that the request's replica has a slot for it after all claims of a better right.
func (st *State) prevails(req *request) bool {
	rep := req.reps[0]
	if !rep.usable(st.now) || rep.limit != nil {
		return false
	}
	over := -rep.freeSlots()
	if over <= 0 {
		return true
	}
	own := rep.find(jobKey{id: req.job})
	if own < 0 {
		return false
	}
	worse := 0
	for i := range rep.works {
		wk := &rep.works[i]
		if i != own && wk.first && wk.claim && st.now.Sub(wk.sent) < claimMemory && st.betterClaim(&rep.works[own], wk) {
			worse++
		}
	}
	return worse >= over
}

// betterClaim ranks claims: by worth, then by what names them, the same way at all instances.
func (st *State) betterClaim(one, two *work) bool {
	order := cmp.Or(
		-cmp.Compare(float32(one.value), float32(two.value)),
		cmp.Compare(st.nameOf(one), st.nameOf(two)),
		cmp.Compare(one.key.id, two.key.id),
	)
	return order < 0
}

func (st *State) nameOf(wk *work) string {
	if wk.key.from == "" {
		return st.Options.Name
	}
	return wk.key.from
}

// myTurn keeps the requests that wait from rushing to the one slot that became free, which all instances hear of at once:
// a request that waits takes one of few slots with the chance that leaves few takers for each. The next tick tries again.
func (st *State) myTurn(rep *replica, req *request, rivals int) bool {
	if st.now.Sub(req.at) < rushAfter {
		return true
	}
	wanted := takers * rep.freeSlots()
	return wanted >= rivals || st.random.IntN(rivals) < wanted
}

// rivals is how many requests wait at the instances that use the same replicas. One that is not heard counts as having one.
func (st *State) rivals(svc *service) int {
	rivals := max(1, len(st.waiting))
	for _, name := range st.othersUsing(st.ownSubset(svc)) {
		if pr, ok := st.peers[name]; ok {
			rivals += pr.waiting
		} else {
			rivals++
		}
	}
	return rivals
}

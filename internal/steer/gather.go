package steer

import (
	"slices"
	"time"
)

// Gathering. What an instance tells others must not grow with the fleet: a message for each change and each listener is
// quadratic in instances and soon takes more time than the requests themselves. Each instance may send so many messages a
// second. Within that a change goes out at once; beyond it changes wait for a moment and go out together. What others would
// decide wrongly without never waits: a claim, and a long read, which keeps its engines for longer than any gathering.

const (
	// messageRate is how many messages a second an instance may send to others on its requests.
	messageRate = 1000.0
	// messageBurst is for how long that rate may have been saved up.
	messageBurst = 100 * time.Millisecond
	// gatherMost bounds how long a start or a begin is kept: a tenth of a second is less than a pass of a busy engine.
	gatherMost = 100 * time.Millisecond
	// gatherEndMost bounds it for ends of requests at engines with slots to spare.
	gatherEndMost = 250 * time.Millisecond
	// liveBegin is for how long a begin tells where its engine is in its passes.
	liveBegin = sameBoundary
	// gatheredItems is how many changes one note holds at the most, which a datagram must hold.
	gatheredItems = 40
	// contendedSlots is how many slots of an engine may be free for a start there to be told ahead of the allowance: as many
	// as other instances may take while it would be kept.
	contendedSlots = 5
)

// pending is what the users of one subset are to be told, at due.
type pending struct {
	note Note
	// jobsAt and begunAt hold when each of the note's jobs was booked and each of its answers began.
	jobsAt, begunAt []time.Time
	due             time.Time
}

// allowance is how many messages may be sent at once, as of a moment; below zero while urgent ones have used it up.
type allowance struct {
	messages float64
	at       time.Time
}

// refill brings the allowance up to now, to what is saved up at the most or to one message for each listener.
func (al *allowance) refill(now time.Time, listeners int) {
	most := max(messageRate*messageBurst.Seconds(), float64(listeners))
	if al.at.IsZero() {
		al.messages = most
	} else {
		al.messages = min(most, al.messages+messageRate*now.Sub(al.at).Seconds())
	}
	al.at = now
}

// within is how long a change must wait for the allowance to tell the users of the subset, within bounds.
func (st *State) within(sub subset, most time.Duration) time.Duration {
	listeners := st.listeners(sub)
	st.allowance.refill(st.now, listeners)
	missing := float64(listeners) - st.allowance.messages
	if missing <= 0 {
		return 0
	}
	return min(most, duration(1000*missing/messageRate))
}

// listeners counts the other instances that use the subset.
func (st *State) listeners(sub subset) int {
	if names := st.users(sub); names != nil {
		return len(names)
	}
	return st.live - 1
}

// tellStart tells of the request's new job.
func (st *State) tellStart(req *request, job Job) {
	most := gatherMost
	if req.claims || st.keepsEngines(req) {
		most = 0
	}
	few := fewSlots(req.reps[0])
	for _, sub := range st.audiences(req.reps) {
		wait := st.within(sub, most)
		if few && st.mayBorrow() {
			wait = 0
		}
		pend := st.pendingFor(sub, wait)
		pend.note.Jobs = append(pend.note.Jobs, job)
		pend.jobsAt = append(pend.jobsAt, st.now)
	}
}

// fewSlots tells that others might take the engine's last slots if they did not hear of those that are taken. Load pattern:
// streams gather on few engines, and many instances fill the same one at once; what is over its slots waits there until an
// answer ends.
func fewSlots(rep *replica) bool { return rep.freeSlots() <= contendedSlots }

// mayBorrow tells that one change may be told ahead of the allowance, as long as the one before is made good.
func (st *State) mayBorrow() bool { return st.allowance.messages >= 0 }

// keepsEngines tells that the request's reading keeps other long reads off its engines.
func (st *State) keepsEngines(req *request) bool {
	return req.plan.part > st.tune.LongRead
}

// tellBegun tells that the request's answer began.
func (st *State) tellBegun(req *request) {
	for _, sub := range st.audiences(req.reps) {
		pend := st.pendingFor(sub, st.within(sub, gatherMost))
		pend.note.Begun = append(pend.note.Begun, req.job)
		pend.begunAt = append(pend.begunAt, st.now)
	}
}

// tellEnded tells that the request's job is over. Where slots are scarce, others wait for it.
func (st *State) tellEnded(req *request) {
	most := gatherEndMost
	switch {
	case req.claims:
		most = 0
	case st.scarce(req.reps):
		most = gatherMost
	}
	for _, sub := range st.audiences(req.reps) {
		pend := st.pendingFor(sub, st.within(sub, most))
		pend.note.Ended = append(pend.note.Ended, req.job)
	}
}

// scarce tells that one of the replicas has few slots left.
func (st *State) scarce(reps []*replica) bool {
	for _, rep := range reps {
		if rep.freeSlots() <= scarceSlots {
			return true
		}
	}
	return len(st.waiting) > 0
}

// audiences are the subsets whose users must hear of work at the replicas.
func (st *State) audiences(reps []*replica) []subset {
	var subs []subset
	for _, rep := range reps {
		sub := st.audience(rep)
		if !slices.Contains(subs, sub) {
			subs = append(subs, sub)
		}
	}
	return subs
}

// pendingFor returns what goes to the users of the subset within the time.
func (st *State) pendingFor(sub subset, within time.Duration) *pending {
	pend, ok := st.outbox[sub]
	if !ok {
		pend = &pending{due: st.now.Add(within)}
		st.outbox[sub] = pend
	}
	if due := st.now.Add(within); due.Before(pend.due) {
		pend.due = due
	}
	if len(pend.note.Jobs)+len(pend.note.Begun)+len(pend.note.Ended) >= gatheredItems {
		pend.due = st.now
	}
	return pend
}

// post sends what is due and asks to be woken for what is due next.
func (st *State) post() {
	next := time.Time{}
	for _, sub := range inOrder(st.outbox) {
		pend := st.outbox[sub]
		if !pend.due.After(st.now) {
			delete(st.outbox, sub)
			st.allowance.messages -= float64(st.listeners(sub))
			st.emit(Tell{Note: st.note(st.aged(pend)), To: st.users(sub)})
			continue
		}
		if next.IsZero() || pend.due.Before(next) {
			next = pend.due
		}
	}
	if !next.IsZero() && (!st.postAt.After(st.now) || next.Before(st.postAt)) {
		st.postAt = next
		st.emit(Wake{After: next.Sub(st.now)})
	}
}

// aged returns the note with the times as they are now.
func (st *State) aged(pend *pending) Note {
	nt := pend.note
	for i := range nt.Jobs {
		kept := millis(st.now.Sub(pend.jobsAt[i]))
		nt.Jobs[i].Goal -= kept
		nt.Jobs[i].Age += kept
	}
	for _, at := range pend.begunAt {
		nt.BegunAge = max(nt.BegunAge, millis(st.now.Sub(at)))
	}
	return nt
}

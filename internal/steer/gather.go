package steer

import (
	"slices"
	"time"
)

// Gathering. What an instance tells others must not grow with the fleet: a message for each change and each listener is
// quadratic in instances and soon takes more time than the requests themselves. So changes are kept for a moment that grows
// with the number of listeners and go out together. What others would decide wrongly without goes at once: a claim, a long
// read, which keeps its engines for longer than any gathering, a content that replicas die of.

const (
	// gatherMost bounds how long a change is kept: a tenth of a second is less than a pass of a busy engine.
	gatherMost = 100 * time.Millisecond
	// gatherRestMost bounds it for answers that begin and for ends of requests at engines with slots to spare.
	gatherRestMost = 500 * time.Millisecond
	// liveBegin is for how long a begin tells where its engine is in its passes.
	liveBegin = sameBoundary
	// gatheredItems is how many changes one note holds at the most, which a datagram must hold.
	gatheredItems = 40
)

// pending is what the users of one subset are to be told, at due.
type pending struct {
	note Note
	// jobsAt and begunAt hold when each of the note's jobs was booked and each of its answers began.
	jobsAt, begunAt []time.Time
	due             time.Time
}

// gatherTime is how long a change may be kept for so many listeners at so long for each.
func gatherTime(listeners int, each float64, most time.Duration) time.Duration {
	return min(most, duration(each*float64(listeners)))
}

// within is how long a change of the request may be kept for the users of the subset.
func (st *State) within(sub subset, each float64, most time.Duration) time.Duration {
	listeners := st.live - 1
	if names := st.users(sub); names != nil {
		listeners = len(names)
	}
	return gatherTime(listeners, each, most)
}

// tellStart tells of the request's new job.
func (st *State) tellStart(req *request, job Job) {
	for _, sub := range st.audiences(req.reps) {
		wait := st.within(sub, st.tune.GatherStart, gatherMost)
		if req.claims || st.keepsEngines(req) {
			wait = 0
		}
		pend := st.pendingFor(sub, wait)
		pend.note.Jobs = append(pend.note.Jobs, job)
		pend.jobsAt = append(pend.jobsAt, st.now)
	}
}

// keepsEngines tells that the request's reading keeps other long reads off its engines.
func (st *State) keepsEngines(req *request) bool {
	return req.plan.part > st.tune.LongRead
}

// tellBegun tells that the request's answer began.
func (st *State) tellBegun(req *request) {
	for _, sub := range st.audiences(req.reps) {
		pend := st.pendingFor(sub, st.within(sub, st.tune.GatherBegun, gatherRestMost))
		pend.note.Begun = append(pend.note.Begun, req.job)
		pend.begunAt = append(pend.begunAt, st.now)
	}
}

// tellEnded tells that the request's job is over. Where slots are scarce, others wait for it.
func (st *State) tellEnded(req *request) {
	for _, sub := range st.audiences(req.reps) {
		wait := st.within(sub, st.tune.GatherEnd, gatherRestMost)
		switch {
		case req.claims:
			wait = 0
		case st.scarce(req.reps):
			wait = min(wait, st.within(sub, st.tune.GatherStart, gatherMost))
		}
		pend := st.pendingFor(sub, wait)
		pend.note.Ended = append(pend.note.Ended, req.job)
	}
}

// scarce tells that one of the replicas has few slots left.
func (st *State) scarce(reps []*replica) bool {
	for _, rep := range reps {
		if rep.Slots-rep.running() <= scarceSlots {
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
	for sub, pend := range st.outbox {
		if !pend.due.After(st.now) {
			delete(st.outbox, sub)
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

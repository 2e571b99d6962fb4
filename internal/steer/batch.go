package steer

import (
	"slices"
	"time"
)

// Batching of notes. The messages of an instance must not grow with the fleet: one message for each change and recipient
// is quadratic in the number of instances, and soon takes more time than the requests themselves. So the rate of
// messages is limited for each instance. Within the limit a change is sent at once; beyond it, changes are delayed for a
// moment and sent together. Changes without which other instances decide wrongly are never delayed: a claim, and a long
// read, which occupies its engines for longer than any batching delay.

const (
	// messageRate is how many messages a second an instance may send to others about its requests.
	messageRate = 1000.0
	// messageBurst is the time for which the allowance accumulates unused messages at that rate.
	messageBurst = 100 * time.Millisecond
	// maxBatchDelay is the longest delay of the change that a job starts or that its answer begins: a tenth of a second is
	// less than a pass of a busy engine. It is also the longest delay of the end of a request where slots are scarce.
	maxBatchDelay = 100 * time.Millisecond
	// maxEndBatchDelay is the longest delay of the end of a request at engines with slots to spare.
	maxEndBatchDelay = 250 * time.Millisecond
	// maxLiveBeginAge is the highest age of the begin of an answer, when the note arrives, at which it still shows where the
	// engine is in its passes.
	maxLiveBeginAge = sameBoundary
	// maxBatchItems is the number of changes at which a note is sent without further delay, since it must fit into a
	// datagram.
	maxBatchItems = 40
	// contendedSlots is the highest number of free slots of an engine at which a start there may be sent ahead of the
	// allowance: while the start was delayed, other instances might take that many slots.
	contendedSlots = 5
)

// pending is a note that collects changes for the users of one subset until due, when it is sent.
type pending struct {
	note Note
	// jobsAt holds when each job in the note was booked, by its index in note.Jobs.
	jobsAt []time.Time
	// begunAt holds when each answer in note.Begun began.
	begunAt []time.Time
	due     time.Time
}

// allowance is a token bucket: the number of messages that may be sent at once, as of at. It is negative while urgent
// messages have overdrawn it.
type allowance struct {
	messages float64
	at       time.Time
}

// refill brings the allowance up to now. Its capacity is the burst, or one message for each recipient if that is more.
func (al *allowance) refill(now time.Time, recipients int) {
	capacity := max(messageRate*messageBurst.Seconds(), float64(recipients))
	if al.at.IsZero() {
		al.messages = capacity
	} else {
		al.messages = min(capacity, al.messages+messageRate*now.Sub(al.at).Seconds())
	}
	al.at = now
}

// sendDelay returns how long a change must wait until the allowance covers a message to each other user of the subset, at
// most maxDelay.
func (st *State) sendDelay(sub subset, maxDelay time.Duration) time.Duration {
	recipients := st.recipients(sub)
	st.allowance.refill(st.now, recipients)
	missing := float64(recipients) - st.allowance.messages
	if missing <= 0 {
		return 0
	}
	return min(maxDelay, duration(1000*missing/messageRate))
}

// recipients counts the other instances that use the subset.
func (st *State) recipients(sub subset) int {
	if names := st.usersUnlessAll(sub); names != nil {
		return len(names)
	}
	return st.live - 1
}

// announceStart announces the request's new job.
func (st *State) announceStart(req *request, job Job) {
	maxDelay := maxBatchDelay
	if req.claiming || st.readsAlone(req) {
		maxDelay = 0
	}
	// An engine whose slots are requested is not filled beyond them, so the start need not be announced at once.
	urgent := nearlyFull(req.reps[0]) && !st.isSharedWidely(req.reps[0])
	for _, sub := range st.audiences(req.reps) {
		wait := st.sendDelay(sub, maxDelay)
		if urgent && st.mayOverdraw() {
			wait = 0
		}
		pend := st.pendingFor(sub, wait)
		pend.note.Jobs = append(pend.note.Jobs, job)
		pend.jobsAt = append(pend.jobsAt, st.now)
	}
}

// nearlyFull reports whether the engine has so few free slots that other instances might take all of them unless they learn
// of each start at once. Load pattern: streams concentrate on few engines, and many instances fill the same one at the same
// time; requests beyond its slots wait there until an answer ends.
func nearlyFull(rep *replica) bool { return rep.freeSlots() <= contendedSlots }

// mayOverdraw reports whether a change may be sent ahead of the allowance: only once the allowance has recovered from the
// previous overdraft.
func (st *State) mayOverdraw() bool { return st.allowance.messages >= 0 }

// readsAlone reports whether the request's part of the prompt at each engine is so long that it keeps other long reads off
// the engine.
func (st *State) readsAlone(req *request) bool {
	return req.plan.part > st.tune.LongRead
}

// announceBegun announces that the request's answer began.
func (st *State) announceBegun(req *request) {
	st.notifyGranter(req, Note{Begun: []JobID{req.job}})
	for _, sub := range st.audiences(req.reps) {
		pend := st.pendingFor(sub, st.sendDelay(sub, maxBatchDelay))
		pend.note.Begun = append(pend.note.Begun, req.job)
		pend.begunAt = append(pend.begunAt, st.now)
	}
}

// announceEnded announces that the request's job has ended: for a withdrawn claim without delay, and where slots are scarce
// sooner than elsewhere, since other instances may wait for one.
func (st *State) announceEnded(req *request) {
	st.notifyGranter(req, Note{Ended: []JobID{req.job}})
	maxDelay := maxEndBatchDelay
	switch {
	case req.claiming:
		maxDelay = 0
	case st.scarce(req.reps):
		maxDelay = maxBatchDelay
	}
	for _, sub := range st.audiences(req.reps) {
		pend := st.pendingFor(sub, st.sendDelay(sub, maxDelay))
		pend.note.Ended = append(pend.note.Ended, req.job)
	}
}

// scarce reports whether slots are scarce: one of the replicas has at most scarceSlots free, or requests wait at this
// instance.
func (st *State) scarce(reps []*replica) bool {
	for _, rep := range reps {
		if rep.freeSlots() <= scarceSlots {
			return true
		}
	}
	return len(st.waiting) > 0
}

// audiences lists the subsets whose users must be informed of work at the replicas.
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

// pendingFor returns the pending note for the users of the subset, and has it sent within the given time at the latest.
func (st *State) pendingFor(sub subset, within time.Duration) *pending {
	pend, ok := st.outbox[sub]
	if !ok {
		pend = &pending{due: st.now.Add(within)}
		st.outbox[sub] = pend
	}
	if due := st.now.Add(within); due.Before(pend.due) {
		pend.due = due
	}
	if len(pend.note.Jobs)+len(pend.note.Begun)+len(pend.note.Ended) >= maxBatchItems {
		pend.due = st.now
	}
	return pend
}

// flushAll sends all notes that are being batched.
func (st *State) flushAll() {
	for _, pend := range st.outbox {
		pend.due = st.now
	}
	st.flushOutbox()
}

// flushOutbox sends the notes that are due, and asks for a wake-up when the next one is.
func (st *State) flushOutbox() {
	next := time.Time{}
	for _, sub := range sortedSubsets(st.outbox) {
		pend := st.outbox[sub]
		if !pend.due.After(st.now) {
			delete(st.outbox, sub)
			st.allowance.messages -= float64(st.recipients(sub))
			st.emit(SendNote{Note: st.note(st.withCurrentAges(pend)), To: st.usersUnlessAll(sub)})
			continue
		}
		if next.IsZero() || pend.due.Before(next) {
			next = pend.due
		}
	}
	if !next.IsZero() && (!st.flushAt.After(st.now) || next.Before(st.flushAt)) {
		st.flushAt = next
		st.emit(Wake{After: next.Sub(st.now)})
	}
}

// withCurrentAges returns the note with its times as of now. BegunAge is a single figure for all its answers: the age of the
// oldest begin.
func (st *State) withCurrentAges(pend *pending) Note {
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

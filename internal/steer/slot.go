package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Slot requests. Load pattern: many small instances before few engines send short prompts at the same moment. Streams gather on few
// engines, and a note about each start goes to all instances: over a small instance's link a hundred copies take 10 ms, and beyond
// messageRate they wait for a tenth of a second. Until the notes arrive, other instances fill the same engine, and requests wait there
// although slots are free elsewhere. The same happens when the engines of a failure domain are down: its instances send to engines of
// other failure domains, of whose load they receive no notes.
//
// Where many instances use an engine, or where it is outside this instance's subset, a request therefore asks the engine's granting
// instance for the slot. That instance receives one message for each start, begin and end at the engine, and so knows its load. If it
// does not answer within slotTimeout, the request is handled as a claim.

const (
	// minSlotUsers is the minimum number of other instances that use an engine for its slots to be requested. Notes to fewer
	// instances arrive within claimDelay.
	minSlotUsers = 48
	// slotTimeout is how long a request waits for the answer to its slot request: several round trips of a note between failure domains.
	slotTimeout = 12 * time.Millisecond
	// slotPause is how long an engine that had no free slot is taken for full. Within this time, the ends of some of its streams become known.
	slotPause = 20 * time.Millisecond
	// maxSlotRefusals is the number of refusals after which a slot request in the own subset sets no MaxFirstMs. Only a full engine
	// refuses it then for its load, so that the request finds a place although what is known here of all engines is outdated.
	maxSlotRefusals = 3
	// slotEstimateSlack is by how much of the request's goal the engine's estimate may exceed the one by which it was chosen.
	slotEstimateSlack = 0.15
	// maxSlotHarm is the share of its value that a request may cost other requests at the engine.
	maxSlotHarm = 0.25
)

// SlotRequest asks for a slot of an engine.
type SlotRequest struct {
	// Job is the request that is to be sent, with Claim set. Its first replica is the engine.
	Job Job `cbor:"1,keyasint,omitempty"`
	// MaxFirstMs is the longest time in ms until the first event for which the slot is taken, 0 for any.
	MaxFirstMs int32 `cbor:"2,keyasint,omitempty"`
}

func (sr *SlotRequest) valid() bool { return sr.Job.valid() && sr.MaxFirstMs >= 0 }

// SlotGrant answers a SlotRequest.
type SlotGrant struct {
	Job JobID `cbor:"1,keyasint,omitempty"`
	// Refused reports that the slot is not granted.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Full reports that the engine has no free slot.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// pendingSlot is a slot that was requested and neither granted nor refused yet.
type pendingSlot struct {
	// granter names the instance that was asked, empty if none was.
	granter string
}

// asksForSlot reports whether requests ask another instance for slots of the replica, or this one decides on them.
func (st *State) asksForSlot(rep *replica) bool {
	svc := st.serviceOf(rep.Service)
	return svc.engine != nil && (st.isSharedWidely(rep) || st.subsetOf(rep) != st.ownSubset(svc))
}

// isSharedWidely reports whether at least minSlotUsers other instances use the engine.
func (st *State) isSharedWidely(rep *replica) bool {
	return st.recipients(st.grantingSubset(rep)) >= minSlotUsers
}

// requestSlot asks the granting instance for a slot of the plan's answering engine. If that is this instance, the request is sent at
// once if a slot is free. It reports whether the request leaves the queue.
func (st *State) requestSlot(req *request, pl plan) bool {
	granter := st.granter(pl.reps[0])
	if granter == st.Options.Name {
		if pl.reps[0].freeSlots() <= 0 {
			return false
		}
		st.book(req, pl)
		st.send(req)
		return true
	}
	st.nextJob(req)
	req.claiming = true
	job := st.reserveJob(req, pl)
	req.slot.granter = granter
	st.claims = append(st.claims, req)
	ask := SlotRequest{Job: job}
	if pl.elsewhere || req.slotRefusals < maxSlotRefusals {
		ask.MaxFirstMs = millis(duration(pl.first + slotEstimateSlack*ms(req.Route.Goal.Std())))
	}
	st.emit(SendNote{Note: st.note(Note{SlotRequests: []SlotRequest{ask}}), To: []string{granter}})
	st.emit(Wake{After: slotTimeout})
	return true
}

// receiveSlotRequests decides on the slots for which another instance asks, and books those that it grants.
func (st *State) receiveSlotRequests(from string, pr *peer, asks []SlotRequest) {
	for i := range asks {
		job := &asks[i].Job
		rep, ok := st.replicas[job.Replicas[0]]
		if !ok || rep.gone {
			// The list here may be older than the other instance's.
			continue
		}
		grant := SlotGrant{Job: job.ID}
		if _, known := pr.jobs[job.ID]; !known {
			grant.Full = rep.freeSlots() <= 0
			// The other instance does not know yet of a rate limit, or that the replica is cold: the request needs a grant of another kind.
			needsGrant := rep.schedule != nil
			grant.Refused = grant.Full || needsGrant || rep.blockedBy(notice.First, st.now) != notice.None || st.takesLonger(rep, &asks[i])
		}
		if !grant.Refused {
			st.startPeerJob(from, pr, job)
		}
		st.emit(SendNote{Note: st.note(Note{SlotGrants: []SlotGrant{grant}}), To: []string{from}})
	}
}

// takesLonger reports whether the answer to the request would begin later than MaxFirstMs, or whether the request would delay other
// requests at the engine too much.
func (st *State) takesLonger(rep *replica, ask *SlotRequest) bool {
	eng := st.serviceOf(rep.Service).engine
	if eng == nil || ask.MaxFirstMs == 0 || len(ask.Job.Replicas) > 1 {
		return false
	}
	estimate := rep.forecast(eng, &st.tune, st.now)
	part := eng.PrefillWork(ask.Job.Prompt, 1)
	if estimate.firstEvent(part) > float64(ask.MaxFirstMs) {
		return true
	}
	return st.harmToOthers(rep, &estimate, part) > maxSlotHarm*float64(ask.Job.Value)
}

// receiveSlotGrants sends the requests that were granted their slots, and places the others anew.
func (st *State) receiveSlotGrants(grants []SlotGrant) {
	for _, grant := range grants {
		req, ok := st.requests[RequestID(grant.Job/jobsPerRequest)]
		if !ok || req.slot.granter == "" || req.job != grant.Job {
			continue
		}
		if !grant.Refused && !st.claimBarred(req) {
			st.useSlot(req)
			continue
		}
		if !grant.Refused {
			st.withdrawClaim(req)
			st.waiting = append(st.waiting, req)
			continue
		}
		rep := req.reps[0]
		st.emit(LogLine{Message: "slot refused", Request: req.Name, Replica: rep.Name, Age: st.now.Sub(req.at)})
		if grant.Full {
			rep.fullUntil = st.now.Add(slotPause)
		}
		req.slotRefusals++
		req.avoid(rep, st.now.Add(slotPause))
		req.slot = pendingSlot{}
		st.endJob(jobKey{id: req.job}, req.reps)
		st.dropClaim(req)
		st.waiting = append(st.waiting, req)
	}
	if len(grants) > 0 {
		st.dispatch()
	}
}

// useSlot sends the request after its slot was granted or its claim won.
func (st *State) useSlot(req *request) {
	st.dropClaim(req)
	req.slot = pendingSlot{}
	req.sentAt = st.now
	job := req.booked(st.now)
	st.announceStart(req, job)
	st.send(req)
}

// slotUnanswered ends the wait for an instance that has not answered, and reports whether the request's claim is still undecided. The
// claim was not announced to other instances; if it wins, the start is.
func (st *State) slotUnanswered(req *request) bool {
	granter := req.slot.granter
	st.lastUnanswered[granter] = st.now
	st.emit(LogLine{Message: "instance grants no slot: silent", Request: req.Name, Replica: req.reps[0].Name, Age: st.now.Sub(req.at)})
	if st.winsClaim(req) {
		st.useSlot(req)
		return false
	}
	return true
}

// giveSlotBack ends the job at the granting instance, the only other one that knows of it.
func (st *State) giveSlotBack(req *request) {
	st.emit(SendNote{Note: st.note(Note{Ended: []JobID{req.job}}), To: []string{req.slot.granter}})
	req.slot = pendingSlot{}
}

// notifyGranter reports a change of the request's job at once to the instance that decides on the slots of its engine.
func (st *State) notifyGranter(req *request, nt Note) {
	if !st.asksForSlot(req.reps[0]) {
		return
	}
	if granter := st.granter(req.reps[0]); granter != st.Options.Name {
		st.emit(SendNote{Note: st.note(nt), To: []string{granter}})
	}
}

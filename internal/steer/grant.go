package steer

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Grants. One instance grants the sends to a limited replica, the first by rendezvous hashing of the replica's name, so
// that nobody need be elected. It keeps one schedule for all: a request that wants the replica asks for a send, and is told
// when it may go or when there will be room. So the limit follows demand from one request to the next, and may be lower
// than the instances are many. Where instances do not agree on who grants, each of the two hears of the other's sends and
// counts them; one that hears only some of the others grants only their share.

const (
	// askTime is how long an answer to an ask is waited for, some times what a note takes there and back.
	askTime = 30 * time.Millisecond
	// askTries is how often one instance is asked before it counts as silent: a note may be lost.
	askTries = 3
	// silentTime is how long an instance that did not answer is passed over.
	silentTime = time.Second
	// askSlack is how much later than it last heard a request lets the replica be.
	askSlack = 50 * time.Millisecond
	// grantLife is how long after its time a grant may still be used: an instance that froze must not send by an old one.
	grantLife = 100 * time.Millisecond
	// askersPerSend is how many of those that are refused come back for each send that gets free: with all of them, the
	// asks would grow with the instances.
	askersPerSend = 4
	// barTime is how long a request leaves a replica alone whose room is for requests of more worth.
	barTime = 100 * time.Millisecond
	// longestQueue bounds how far ahead sends are granted.
	longestQueue = 4 * time.Second
	// topMemory is for how long the highest worth that was asked for holds others back.
	topMemory = 2 * time.Second
	// lesserEach is every which grant goes by arrival alone, so that requests of little worth do not starve.
	lesserEach = 4
	// grantMemory is how long after its time a grant is remembered for the note of its send.
	grantMemory = time.Second
)

// ask is a request's wish to be sent to a limited replica.
type ask struct {
	// rep is nil where the request has none.
	rep     *replica
	job     JobID
	granter string
	at      time.Time
	tries   int
	// wait is the longest wait that it accepts: little more than was reckoned when the replica was chosen.
	wait    time.Duration
	granted bool
	// slot is when the request may be sent.
	slot time.Time
}

// Ask asks for a send to a limited replica.
type Ask struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Replica string
	// WaitMs is the longest wait that makes sense for the request, Value its worth.
	WaitMs int32
	Value  float32
	// Recent counts the sends of all instances in limitSpan that the one that asks knows of: an instance that takes over the
	// granting, or one whose notes are lost, may know of fewer.
	Recent int
}

// Grant answers an Ask.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Replica string
	// AfterMs is when the request may be sent, or if it was refused when there will be room.
	AfterMs int32
	Refused bool
}

func (an *Ask) valid() bool {
	return an.Replica != "" && an.WaitMs >= 0 && an.Value >= 0 && an.Recent >= 0
}

func (gr *Grant) valid() bool { return gr.Replica != "" && gr.AfterMs >= 0 }

// granters names the instances of which one grants sends to the replica: those that may use it.
func (st *State) granters(rep *replica) subset {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil {
		return subset{}
	}
	return st.layoutOf(svc).ofReplica(rep)
}

// granter is the instance that grants sends to the replica, by all that is known here.
func (st *State) granter(rep *replica) string {
	sub := st.granters(rep)
	names := st.users(sub)
	if names == nil {
		names = st.names
	}
	best, highest := "", uint64(0)
	consider := func(name string) {
		if hash := xxhash.Sum64String(name + "/" + rep.Name); best == "" || hash > highest {
			best, highest = name, hash
		}
	}
	if svc := st.serviceOf(rep.Service); svc.engine == nil || sub == st.ownSubset(svc) {
		consider(st.Options.Name)
	}
	for _, name := range names {
		if st.now.Sub(st.silent[name]) >= silentTime {
			consider(name)
		}
	}
	return cmp.Or(best, st.Options.Name)
}

// heardShare is the part of the instances that are heard of those that are registered and tell this one of their work. Cut
// off from the others, an instance cannot know what they send.
func (st *State) heardShare() float64 {
	registered, heard := 1, 1
	for _, svc := range st.services {
		if svc.engine == nil {
			continue
		}
		names := st.users(st.ownSubset(svc))
		if names == nil {
			names = st.names
		}
		for _, name := range names {
			registered++
			if _, ok := st.peers[name]; ok {
				heard++
			}
		}
	}
	return float64(heard) / float64(registered)
}

// grantRate is how many sends a second this instance grants.
func (st *State) grantRate(rep *replica) float64 {
	perS := rep.limit.perS - ticketRate*float64(rep.tickets())
	return max(leastRate, perS) * st.heardShare()
}

// grant books a send if there is room within the wait; after is when it may go, or when there is room.
func (st *State) grant(rep *replica, key jobKey, wish *Ask) (after time.Duration, ok bool) {
	rl := rep.limit
	if slot, known := rl.granted[key]; known {
		// The answer was lost.
		return max(0, slot.Sub(st.now)), true
	}
	perS := st.grantRate(rep)
	rl.bucket.SetLimitAt(st.now, rate.Limit(perS))
	reserved := rl.bucket.ReserveN(st.now, 1)
	after = reserved.DelayFrom(st.now)
	// No span holds more than the rate allows, what was sent before the limit was heard included.
	most := int(perS*limitSpan.Seconds()) + 1
	if len(rep.sends) >= most {
		after = max(after, rep.sends[len(rep.sends)-most].Add(limitSpan).Sub(st.now))
	} else if wish.Recent >= most {
		after = max(after, duration(1000/perS))
	}
	value := float64(wish.Value)
	if after > min(time.Duration(wish.WaitMs)*time.Millisecond, rl.queueFor(st.now, value)) {
		reserved.CancelAt(st.now)
		rl.refused++
		return after + min(limitSpan, duration(1000*float64(rl.refused)/(askersPerSend*perS))), false
	}
	rl.refused = 0
	rl.lesser++
	if value < rl.top {
		rl.lesser = 0
	}
	rep.sent(st.now, st.now.Add(after))
	if key.from != "" {
		rl.granted[key] = st.now.Add(after)
	}
	return after, true
}

// queueFor is how far ahead a send of the worth may be granted. The far end of the queue is left to what is worth most: by
// arrival alone, many short requests would keep out the few that are worth more.
func (rl *rateLimit) queueFor(now time.Time, value float64) time.Duration {
	if value >= rl.top || now.Sub(rl.topAt) > topMemory {
		rl.top, rl.topAt = value, now
		return longestQueue
	}
	if rl.lesser >= lesserEach {
		return longestQueue
	}
	return time.Duration(value / rl.top * float64(longestQueue))
}

// forgetGrants drops the grants whose sends were not heard of, and what is known of instances that were silent.
func (st *State) forgetGrants() {
	for name, at := range st.silent {
		if st.now.Sub(at) >= silentTime {
			delete(st.silent, name)
		}
	}
	for _, rep := range st.replicas {
		if rep.limit == nil {
			continue
		}
		for key, slot := range rep.limit.granted {
			if st.now.Sub(slot) > grantMemory {
				delete(rep.limit.granted, key)
			}
		}
	}
}

// mayWait is how long a request may wait for a limited replica and still be in time, or, if it is late, be answered.
func (st *State) mayWait(req *request) time.Duration {
	if req.late {
		return max(0, time.Duration(st.tune.Safety*float64(req.goal.Sub(st.now))))
	}
	return max(0, req.goal.Sub(st.now)-time.Duration(st.tune.LastCall*float64(req.Route.Goal.Std())))
}

// hasSlot tells that the request was granted a send that its caller will still wait for.
func (req *request) hasSlot() bool {
	return req.ask.granted && req.ask.slot.Before(req.Patience) && req.ask.slot.Before(req.Deadline)
}

// gate is how long a request is likely to wait for a send to the replica; false if that is longer than it may.
func (st *State) gate(rep *replica, req *request) (time.Duration, bool) {
	if rep.limit == nil {
		return 0, true
	}
	if st.now.Before(req.barred[rep.Name]) {
		return 0, false
	}
	wait := max(0, rep.limit.free.Sub(st.now))
	return wait, wait == 0 || wait <= st.mayWait(req)
}

// askToSend asks for a send to the replica, and sends at once if this instance grants it.
func (st *State) askToSend(req *request, rep *replica) bool {
	st.nextJob(req)
	req.ask = ask{rep: rep, job: req.job, granter: st.granter(rep), at: st.now, tries: 1}
	req.ask.wait = min(st.mayWait(req), max(0, rep.limit.free.Sub(st.now))+askSlack)
	if req.ask.granter != st.Options.Name {
		st.tellAsk(req)
		return false
	}
	wish := st.wish(req)
	after, ok := st.grant(rep, jobKey{id: req.job}, &wish)
	st.askAnswered(req, after, ok)
	return st.trySend(req)
}

// wish is what the request asks for.
func (st *State) wish(req *request) Ask {
	rep := req.ask.rep
	return Ask{Job: req.ask.job, Replica: rep.Name, WaitMs: millis(req.ask.wait), Value: float32(req.value), Recent: rep.recent(st.now)}
}

func (st *State) tellAsk(req *request) {
	nt := Note{Limits: []Limit{st.limitOf(req.ask.rep)}, Asks: []Ask{st.wish(req)}}
	st.emit(Tell{Note: st.note(nt), To: []string{req.ask.granter}})
	st.emit(Wake{After: askTime})
}

// askAnswered notes what became of the request's ask.
func (st *State) askAnswered(req *request, after time.Duration, granted bool) {
	an := &req.ask
	if granted {
		an.granted, an.slot = true, st.now.Add(after)
		if after > 0 {
			st.emit(Wake{After: after})
		}
		return
	}
	if an.rep.limit != nil {
		an.rep.limit.free = st.now.Add(after)
	}
	if after <= an.wait {
		// There is room, but for requests of more worth.
		req.bar(an.rep, st.now.Add(barTime))
	}
	st.emit(Line{Message: "rate limit leaves no room", Request: req.Name, Replica: an.rep.Name, Age: st.now.Sub(req.at), Estimate: after})
	req.ask = ask{}
}

// followAsk goes on with a request that has asked. It is sent when its time comes, and looks for another place if its ask
// came to nothing.
func (st *State) followAsk(req *request) bool {
	an := &req.ask
	switch {
	case an.rep.limit == nil || !an.rep.usable(st.now):
	case an.granted && st.now.Before(an.slot):
		return false
	case an.granted && st.now.Sub(an.slot) <= grantLife:
		if pl, ok := st.placeAt(req, an.rep); ok {
			st.bookGranted(req, pl)
			st.send(req)
			req.ask = ask{}
			return true
		}
	case an.granted:
	case st.now.Sub(an.at) < askTime:
		return false
	case an.tries < askTries:
		an.tries++
		an.at = st.now
		st.tellAsk(req)
		return false
	default:
		st.silent[an.granter] = st.now
		st.emit(Line{Message: "instance grants nothing: silent", Request: req.Name, Replica: an.rep.Name, Age: st.now.Sub(req.at)})
	}
	req.ask = ask{}
	return st.trySend(req)
}

// bar keeps the request from asking for a send to the replica for a while.
func (req *request) bar(rep *replica, until time.Time) {
	if req.barred == nil {
		req.barred = map[string]time.Time{}
	}
	req.barred[rep.Name] = until
}

// asked answers another instance's asks.
func (st *State) asked(from string, wishes []Ask) {
	for i := range wishes {
		wish := &wishes[i]
		rep, ok := st.replicas[wish.Replica]
		if !ok {
			continue
		}
		reply := Note{}
		grant := Grant{Job: wish.Job, Replica: wish.Replica}
		if rep.limit == nil {
			reply.Limits = []Limit{st.limitOf(rep)}
		} else {
			after, ok := st.grant(rep, jobKey{from, wish.Job}, wish)
			grant.AfterMs, grant.Refused = millis(after+time.Millisecond-1), !ok
		}
		reply.Grants = []Grant{grant}
		st.emit(Tell{Note: st.note(reply), To: []string{from}})
	}
}

// granted takes the answers to this instance's asks.
func (st *State) granted(grants []Grant) {
	for _, grant := range grants {
		req, ok := st.requests[RequestID(grant.Job/jobsPerRequest)]
		if !ok || req.ask.rep == nil || req.ask.job != grant.Job || req.ask.granted || req.ask.rep.Name != grant.Replica {
			continue
		}
		if st.now.Sub(req.ask.at) > askTries*askTime {
			// This instance stood still meanwhile: the time of the grant is past.
			continue
		}
		st.askAnswered(req, time.Duration(grant.AfterMs)*time.Millisecond, !grant.Refused)
	}
	if len(grants) > 0 {
		st.dispatch()
	}
}

// keptOut tells that the replicas' limits keep the request out for longer than it may wait.
func (st *State) keptOut(req *request) bool {
	_, held := st.heldByLimits(req)
	return held
}

// heldByLimits is when the first of the service's replicas is likely to have room, if all that can be used are limited and
// none has room within the time that the request may wait.
func (st *State) heldByLimits(req *request) (first time.Time, held bool) {
	if req.ask.rep != nil {
		return time.Time{}, false
	}
	for _, rep := range st.candidates(st.serviceOf(req.service)) {
		if !rep.usable(st.now) {
			continue
		}
		if _, ok := st.gate(rep, req); ok {
			return time.Time{}, false
		}
		if first.IsZero() || rep.limit.free.Before(first) {
			first = rep.limit.free
		}
	}
	return first, !first.IsZero()
}

// comeBackAt spreads the callers that limits keep out over the time in which the replicas can take them: each has a turn of
// its own, at this instance's part of what all of them take.
func (st *State) comeBackAt(req *request, first time.Time) time.Duration {
	svc := st.serviceOf(req.service)
	perS := 0.0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) && rep.limit != nil {
			perS += max(leastRate, rep.limit.perS)
		}
	}
	turn := duration(1000 * float64(st.live) / max(leastRate, perS))
	svc.backAt = later(svc.backAt, first)
	if latest := st.now.Add(longestReturn); svc.backAt.After(latest) {
		svc.backAt = latest
	}
	after := svc.backAt.Sub(st.now)
	svc.backAt = svc.backAt.Add(turn)
	return after
}

// longestReturn is the latest time at which callers are asked to come back: limits seldom last as they are for longer.
const longestReturn = 10 * time.Second

package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Timing of the holder.
const (
	// RenewPeriod is the time between two renewals of the permits that this instance holds or waits for.
	RenewPeriod = time.Second
	// answerTimeout is how long a coordinator may take to answer before the request is sent again.
	answerTimeout = 300 * time.Millisecond
	// maxAttempts is how often a request is sent to a coordinator that does not answer before another one is used.
	maxAttempts = 2
	// spillDelay is how long a request waits in the queue of one pool before it moves to the pool of another failure domain.
	spillDelay = 3 * time.Second
	// skipTime is how long a coordinator that did not answer is not used.
	skipTime = 5 * time.Second
)

// hold is a request that has a permit or waits for one.
type hold struct {
	event.PermitRequested
	id event.RequestID
	// since is when the request began to wait.
	since time.Time
	// until is when the request stops waiting.
	until   time.Time
	granted bool
	// sentTo is the coordinator to which the request was sent last.
	sentTo string
	// sentAt is when the request was sent last.
	sentAt time.Time
	// attempts is how often the request was sent to sentTo since its last answer.
	attempts int
	// movedAt is when the request was assigned to the present pool.
	movedAt time.Time
	// nextDomains contains the failure domains whose pools can be tried next, in this order.
	nextDomains []string
}

// Holder requests permits from the coordinators, renews them and returns them.
type Holder struct {
	Self        event.Instance
	Incarnation uint64
	// Instances contains the live instances that may coordinate, including this one.
	Instances []event.Instance

	now     time.Time
	effects []effect.Effect
	holds   map[string]*hold
	// skipUntil is, by instance, the end of the time for which a coordinator that did not answer is not used.
	skipUntil map[string]time.Time
	// unanswered is, by instance, the time of the first renewal that it has not answered.
	unanswered map[string]time.Time
	renewAt    time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(self event.Instance, incarnation uint64) *Holder {
	return &Holder{
		Self: self, Incarnation: incarnation,
		holds: map[string]*hold{}, skipUntil: map[string]time.Time{}, unanswered: map[string]time.Time{},
	}
}

// Request requests a permit from the pools of the failure domains, in their order, and returns the messages to send.
// Reduce returns an event.PermitAnswered later, unless the request is released before.
func (ho *Holder) Request(now time.Time, id event.RequestID, req event.PermitRequested, domains []string) []effect.Effect {
	ho.now = now
	ho.effects = ho.effects[:0]
	req.Holder = ho.Self.Name
	req.Incarnation = ho.Incarnation
	req.Peer = ho.Self.Peer
	hd := &hold{PermitRequested: req, id: id, since: now.Add(-req.Waited), until: now.Add(req.Wait), movedAt: now, nextDomains: domains}
	ho.holds[req.Request] = hd
	hd.moveToNextDomain()
	ho.sendHold(hd)
	return ho.effects
}

func (hd *hold) moveToNextDomain() {
	hd.FailureDomain = hd.nextDomains[0]
	hd.nextDomains = hd.nextDomains[1:]
	hd.attempts = 0
	hd.sentTo = ""
}

// Release returns the permit of the request or removes it from the queue.
func (ho *Holder) Release(now time.Time, request string) []effect.Effect {
	ho.now = now
	ho.effects = ho.effects[:0]
	hd, ok := ho.holds[request]
	if !ok {
		return nil
	}
	delete(ho.holds, request)
	ho.sendReturn(hd)
	return ho.effects
}

// sendReturn announces the end of a hold. If the message is lost, the reservation blocks memory only until it expires,
// since it is no longer renewed.
func (ho *Holder) sendReturn(hd *hold) {
	for _, to := range ho.recipients(hd) {
		ho.send(to, wire.PermitReturn{Request: hd.Request, Service: hd.Service, FailureDomain: hd.FailureDomain})
	}
}

// Holding returns the upstreams granted to the request, or nil if it has no permit.
func (ho *Holder) Holding(request string) []string {
	if hd, ok := ho.holds[request]; ok && hd.granted {
		return hd.Upstreams
	}
	return nil
}

// Reduce applies one event and returns the messages to send and the answers to earlier calls of Request.
func (ho *Holder) Reduce(now time.Time, ev event.Event) ([]effect.Effect, []event.PermitAnswered) {
	ho.now = now
	ho.effects = ho.effects[:0]
	var answers []event.PermitAnswered
	switch ev := ev.(type) {
	case event.PermitDecided:
		answers = ho.handleDecided(ev)
	case event.PermitStatusReceived:
		ho.handleStatusReceived(ev)
	case event.Ticked:
		answers = ho.tick()
	}
	return ho.effects, answers
}

func (ho *Holder) send(to event.Instance, msg wire.Message) {
	ho.effects = append(ho.effects, effect.SendToPeer{Address: to.Peer, Message: msg})
}

// Coordinators returns the coordinator of a pool and the instance that would replace it. They are chosen by rendezvous
// hashing: the instances with the highest hashes, those in the pool's own failure domain before others. All instances
// choose the same ones as long as they know the same instances, and the loss of one moves only its own pools.
func Coordinators(instances []event.Instance, key Pool) []event.Instance {
	type candidate struct {
		inst event.Instance
		near bool
		hash uint64
	}
	var best []candidate
	for _, inst := range instances {
		if inst.Leaving || inst.Peer == "" {
			continue
		}
		cd := candidate{inst, inst.FailureDomain == key.FailureDomain, hashOf(inst.Name, key)}
		index, _ := slices.BinarySearchFunc(best, cd, func(a, b candidate) int {
			switch {
			case a.near && !b.near:
				return -1
			case b.near && !a.near:
				return 1
			}
			return cmp.Compare(b.hash, a.hash)
		})
		best = slices.Insert(best, index, cd)
		best = best[:min(len(best), 2)]
	}
	list := make([]event.Instance, 0, len(best))
	for _, cd := range best {
		list = append(list, cd.inst)
	}
	return list
}

func hashOf(instance string, key Pool) uint64 {
	return xxhash.Sum64String(instance + "/" + key.Service + "/" + key.FailureDomain)
}

// coordinators is like Coordinators without the instances that recently did not answer.
func (ho *Holder) coordinators(key Pool) []event.Instance {
	reachable := ho.Instances
	if len(ho.skipUntil) > 0 {
		reachable = slices.DeleteFunc(slices.Clone(reachable), func(inst event.Instance) bool { return ho.now.Before(ho.skipUntil[inst.Name]) })
	}
	return Coordinators(reachable, key)
}

func (ho *Holder) coordinator(key Pool) (event.Instance, bool) {
	list := ho.coordinators(key)
	if len(list) == 0 {
		return event.Instance{}, false
	}
	return list[0], true
}

// recipients returns the instances that receive the messages about a hold: the coordinator and, for a grant of several
// engines, also the instance that would replace it. Otherwise, if the holder and the coordinator die together, no instance
// knows of the segments that the engines hold.
func (ho *Holder) recipients(hd *hold) []event.Instance {
	list := ho.coordinators(hd.pool())
	if !hd.granted || len(hd.Upstreams) < 2 {
		list = list[:min(len(list), 1)]
	}
	return list
}

func (hd *hold) pool() Pool {
	return Pool{hd.Service, hd.FailureDomain}
}

// sendHold sends the request to the coordinator of its pool. It reports whether there is one.
func (ho *Holder) sendHold(hd *hold) bool {
	to, ok := ho.coordinator(hd.pool())
	if !ok {
		return false
	}
	if to.Name != hd.sentTo {
		hd.sentTo = to.Name
		hd.attempts = 0
	}
	hd.attempts++
	hd.sentAt = ho.now
	ho.sendRequest(to, hd)
	return true
}

func (ho *Holder) sendRequest(to event.Instance, hd *hold) {
	req := hd.PermitRequested
	req.Peer = ho.Self.Peer
	req.Waited = ho.now.Sub(hd.since)
	req.Wait = hd.until.Sub(ho.now)
	ho.send(to, wire.PermitRequest(req))
}

func (ho *Holder) handleDecided(ev event.PermitDecided) []event.PermitAnswered {
	hd, ok := ho.holds[ev.Request]
	if !ok {
		if ev.Granted {
			ho.returnUnwanted(ev)
		}
		return nil
	}
	if hd.sentTo == ev.From {
		hd.attempts = 0
	}
	switch {
	case hd.granted || ev.Queued:
		return nil
	case ev.Granted:
		hd.granted = true
		hd.Upstreams = ev.Upstreams
		return []event.PermitAnswered{{
			ID: hd.id, Granted: true, Permit: hd.Request, Upstreams: ev.Upstreams, Until: ho.now.Add(ev.Lasts),
		}}
	case len(hd.nextDomains) > 0:
		hd.moveToNextDomain()
		ho.sendHold(hd)
		return nil
	}
	delete(ho.holds, ev.Request)
	return []event.PermitAnswered{{ID: hd.id, RetryAfter: ev.RetryAfter}}
}

// returnUnwanted returns a grant that arrived after the request was released.
func (ho *Holder) returnUnwanted(ev event.PermitDecided) {
	for _, inst := range ho.Instances {
		if inst.Name == ev.From {
			ho.send(inst, wire.PermitReturn{Request: ev.Request, Service: ev.Service, FailureDomain: ev.FailureDomain})
		}
	}
}

func (ho *Holder) handleStatusReceived(ev event.PermitStatusReceived) {
	delete(ho.unanswered, ev.From)
	for _, request := range ev.Unknown {
		hd, ok := ho.holds[request]
		if !ok {
			continue
		}
		for _, to := range ho.recipients(hd) {
			if to.Name == ev.From {
				ho.sendRequest(to, hd)
			}
		}
	}
}

func (ho *Holder) tick() []event.PermitAnswered {
	if len(ho.holds) == 0 {
		// Without holds there are no renewals, and the age of one that was not answered says nothing about the coordinator.
		clear(ho.unanswered)
		return nil
	}
	ho.skipUnresponsive()
	var lost []event.PermitAnswered
	for _, hd := range ho.sortedHolds() {
		if ho.spill(hd) {
			continue
		}
		to, ok := ho.coordinator(hd.pool())
		moved := ok && to.Name != hd.sentTo
		late := hd.attempts > 0 && ho.now.Sub(hd.sentAt) >= answerTimeout
		if ok && !moved && !late {
			continue
		}
		if ok {
			// A new coordinator learns from the holders which memory is reserved and which requests wait.
			ho.sendHold(hd)
			continue
		}
		if !hd.granted {
			delete(ho.holds, hd.Request)
			lost = append(lost, event.PermitAnswered{ID: hd.id, Lost: true})
		}
	}
	if !ho.now.Before(ho.renewAt) {
		ho.renewAt = ho.now.Add(RenewPeriod)
		ho.renew()
	}
	return lost
}

// skipUnresponsive excludes coordinators that do not answer for the duration of skipTime.
func (ho *Holder) skipUnresponsive() {
	maps.DeleteFunc(ho.skipUntil, func(_ string, until time.Time) bool { return !ho.now.Before(until) })
	for _, hd := range ho.holds {
		// This instance always answers itself, though late when the machine is busy, so it is never excluded.
		if hd.sentTo != ho.Self.Name && hd.attempts >= maxAttempts && ho.now.Sub(hd.sentAt) >= answerTimeout {
			ho.skipUntil[hd.sentTo] = ho.now.Add(skipTime)
		}
	}
	for name, since := range ho.unanswered {
		if name != ho.Self.Name && ho.now.Sub(since) >= RenewPeriod+answerTimeout {
			ho.skipUntil[name] = ho.now.Add(skipTime)
			delete(ho.unanswered, name)
		}
	}
}

func (ho *Holder) sortedHolds() []*hold {
	list := make([]*hold, 0, len(ho.holds))
	for _, hd := range ho.holds {
		list = append(list, hd)
	}
	slices.SortFunc(list, func(a, b *hold) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// maxPerRenewal is the maximum number of requests in one renewal. It keeps the message below a kilobyte.
const maxPerRenewal = 24

// spill moves a request that has waited in one pool for spillDelay to the pool of the next failure domain. The request
// keeps its age there, and so its position in the queue. It reports whether the request was sent to that pool.
func (ho *Holder) spill(hd *hold) bool {
	if hd.granted || len(hd.nextDomains) == 0 || ho.now.Sub(hd.movedAt) < spillDelay {
		return false
	}
	ho.sendReturn(hd)
	hd.nextDomains = append(hd.nextDomains, hd.FailureDomain)
	hd.moveToNextDomain()
	hd.movedAt = ho.now
	return ho.sendHold(hd)
}

// renewalKey identifies the holds that are renewed together: those of one pool at one recipient.
type renewalKey struct {
	to  event.Instance
	key Pool
}

// renew renews all holds at their recipients.
func (ho *Holder) renew() {
	holds := map[renewalKey][]*hold{}
	var keys []renewalKey
	for _, hd := range ho.sortedHolds() {
		for _, to := range ho.recipients(hd) {
			rk := renewalKey{to, hd.pool()}
			if holds[rk] == nil {
				keys = append(keys, rk)
			}
			holds[rk] = append(holds[rk], hd)
		}
	}
	for _, rk := range keys {
		if _, pending := ho.unanswered[rk.to.Name]; !pending {
			ho.unanswered[rk.to.Name] = ho.now
		}
		for part := range slices.Chunk(holds[rk], maxPerRenewal) {
			ho.sendRenewal(rk, part)
		}
	}
}

func (ho *Holder) sendRenewal(rk renewalKey, holds []*hold) {
	msg := wire.PermitRenew{
		Holder: ho.Self.Name, Incarnation: ho.Incarnation, Peer: ho.Self.Peer,
		Service: rk.key.Service, FailureDomain: rk.key.FailureDomain,
	}
	for _, hd := range holds {
		if hd.granted {
			msg.Requests = append(msg.Requests, hd.Request)
		} else {
			msg.Waiting = append(msg.Waiting, hd.Request)
		}
	}
	ho.send(rk.to, msg)
}

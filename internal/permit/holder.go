package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Timing of an instance that asks.
const (
	// RenewPeriod is the time between two words on what this instance holds and waits for.
	RenewPeriod = time.Second
	// answerTime is how long a coordinator may take to answer; then it is told once more.
	answerTime = 300 * time.Millisecond
	// tries is how often a coordinator is told before another one is taken.
	tries = 2
	// distrust is how long a coordinator that did not answer is passed over.
	distrust = 5 * time.Second
)

// hold is one request that waits for a permit or has one.
type hold struct {
	event.PermitAsked
	id      event.RequestID
	since   time.Time
	until   time.Time
	granted bool
	// to is the coordinator told last, sentAt when, and sent how often without an answer.
	to     string
	sentAt time.Time
	sent   int
	// domains are the failure domains whose pools are still to be asked.
	domains []string
}

// Holder asks for permits, keeps them and gives them back.
type Holder struct {
	Self        event.Instance
	Incarnation uint64
	// Instances are the live ones that may coordinate, this one included.
	Instances []event.Instance

	now     time.Time
	effects []effect.Effect
	holds   map[string]*hold
	// silent holds until when a coordinator that did not answer is passed over.
	silent map[string]time.Time
	// renewals holds what was told to which coordinator and not yet answered, with the time of the first.
	unanswered map[string]time.Time
	renewAt    time.Time
}

// NewHolder returns a holder without permits.
func NewHolder(self event.Instance, incarnation uint64) *Holder {
	return &Holder{
		Self: self, Incarnation: incarnation,
		holds: map[string]*hold{}, silent: map[string]time.Time{}, unanswered: map[string]time.Time{},
	}
}

// Ask starts to ask the pools of the failure domains, the first one first, and returns what is to be done. An
// event.PermitAnswered follows from Reduce unless the request is released before.
func (ho *Holder) Ask(now time.Time, id event.RequestID, ask event.PermitAsked, domains []string) []effect.Effect {
	ho.now = now
	ho.effects = ho.effects[:0]
	ask.Holder = ho.Self.Name
	ask.Incarnation = ho.Incarnation
	ask.Peer = ho.Self.Peer
	hd := &hold{PermitAsked: ask, id: id, since: now, until: now.Add(ask.Wait), domains: domains}
	ho.holds[ask.Request] = hd
	hd.nextDomain()
	ho.tellHold(hd)
	return ho.effects
}

func (hd *hold) nextDomain() {
	hd.FailureDomain = hd.domains[0]
	hd.domains = hd.domains[1:]
	hd.sent = 0
	hd.to = ""
}

// Release gives back the permit or the place in the queue.
func (ho *Holder) Release(now time.Time, request string) []effect.Effect {
	ho.now = now
	ho.effects = ho.effects[:0]
	hd, ok := ho.holds[request]
	if !ok {
		return nil
	}
	delete(ho.holds, request)
	if to, ok := ho.coordinator(hd.Service, hd.FailureDomain); ok {
		// A word that gets lost costs no memory for long: what is not renewed ends.
		ho.tell(to, wire.PermitReturn{Request: request, Service: hd.Service, FailureDomain: hd.FailureDomain})
	}
	return ho.effects
}

// Holding returns the upstreams that the request holds, nil if none.
func (ho *Holder) Holding(request string) []string {
	if hd, ok := ho.holds[request]; ok && hd.granted {
		return hd.Upstreams
	}
	return nil
}

// Reduce takes one event and returns what is to be told and the answers to what was asked.
func (ho *Holder) Reduce(now time.Time, ev event.Event) ([]effect.Effect, []event.PermitAnswered) {
	ho.now = now
	ho.effects = ho.effects[:0]
	var answers []event.PermitAnswered
	switch ev := ev.(type) {
	case event.PermitGranted:
		answers = ho.answered(ev)
	case event.PermitsKnown:
		ho.known(ev)
	case event.Ticked:
		answers = ho.tick()
	}
	return ho.effects, answers
}

func (ho *Holder) tell(to event.Instance, msg wire.Message) {
	ho.effects = append(ho.effects, effect.Tell{Address: to.Peer, Message: msg})
}

// coordinator picks the instance that coordinates a pool: the one of the highest hash, one of the pool's own failure
// domain if there is one. All instances name the same one as long as they know the same instances, and the loss of one
// moves only its own pools.
func (ho *Holder) coordinator(service, domain string) (event.Instance, bool) {
	var best event.Instance
	var bestHash uint64
	bestNear := false
	for _, inst := range ho.Instances {
		if inst.Leaving || inst.Peer == "" || ho.now.Before(ho.silent[inst.Name]) {
			continue
		}
		near := inst.FailureDomain == domain
		hash := xxhash.Sum64String(inst.Name + "/" + service + "/" + domain)
		if best.Name == "" || near && !bestNear || near == bestNear && hash > bestHash {
			best, bestHash, bestNear = inst, hash, near
		}
	}
	return best, best.Name != ""
}

// tellHold tells the coordinator of one request, and reports false if there is none.
func (ho *Holder) tellHold(hd *hold) bool {
	to, ok := ho.coordinator(hd.Service, hd.FailureDomain)
	if !ok {
		return false
	}
	if to.Name != hd.to {
		hd.to = to.Name
		hd.sent = 0
	}
	hd.sent++
	hd.sentAt = ho.now
	ask := hd.PermitAsked
	ask.Peer = ho.Self.Peer
	ask.Waited = ho.now.Sub(hd.since)
	ask.Wait = hd.until.Sub(ho.now)
	ho.tell(to, wire.PermitAsk(ask))
	return true
}

func (ho *Holder) answered(ev event.PermitGranted) []event.PermitAnswered {
	hd, ok := ho.holds[ev.Request]
	if !ok {
		if ev.Granted {
			ho.returnUnwanted(ev)
		}
		return nil
	}
	if hd.to == ev.From {
		hd.sent = 0
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
	case len(hd.domains) > 0:
		hd.nextDomain()
		ho.tellHold(hd)
		return nil
	}
	delete(ho.holds, ev.Request)
	return []event.PermitAnswered{{ID: hd.id, RetryAfter: ev.RetryAfter}}
}

// returnUnwanted gives back a grant that crossed the request's release.
func (ho *Holder) returnUnwanted(ev event.PermitGranted) {
	for _, inst := range ho.Instances {
		if inst.Name == ev.From {
			ho.tell(inst, wire.PermitReturn{Request: ev.Request, Service: ev.Service, FailureDomain: ev.FailureDomain})
		}
	}
}

func (ho *Holder) known(ev event.PermitsKnown) {
	delete(ho.unanswered, ev.From)
	for _, request := range ev.Unknown {
		if hd, ok := ho.holds[request]; ok && hd.to == ev.From {
			ho.tellHold(hd)
		}
	}
}

func (ho *Holder) tick() []event.PermitAnswered {
	if len(ho.holds) == 0 {
		return nil
	}
	ho.passOverSilent()
	var lost []event.PermitAnswered
	for _, hd := range ho.sorted() {
		to, ok := ho.coordinator(hd.Service, hd.FailureDomain)
		moved := ok && to.Name != hd.to
		late := hd.sent > 0 && ho.now.Sub(hd.sentAt) >= answerTime
		if ok && !moved && !late {
			continue
		}
		if ok {
			// A new coordinator learns from its holders what is reserved and who waits.
			ho.tellHold(hd)
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

// passOverSilent stops asking coordinators that do not answer, for some time.
func (ho *Holder) passOverSilent() {
	for _, hd := range ho.holds {
		if hd.sent >= tries && ho.now.Sub(hd.sentAt) >= answerTime {
			ho.silent[hd.to] = ho.now.Add(distrust)
		}
	}
	for name, since := range ho.unanswered {
		if ho.now.Sub(since) >= RenewPeriod+answerTime {
			ho.silent[name] = ho.now.Add(distrust)
			delete(ho.unanswered, name)
		}
	}
}

func (ho *Holder) sorted() []*hold {
	list := make([]*hold, 0, len(ho.holds))
	for _, hd := range ho.holds {
		list = append(list, hd)
	}
	slices.SortFunc(list, func(one, two *hold) int { return cmp.Compare(one.Request, two.Request) })
	return list
}

// maxRenewed keeps a message under a kilobyte.
const maxRenewed = 24

// renew tells each coordinator what is held of its pools.
func (ho *Holder) renew() {
	groups := map[Pool][]string{}
	var pools []Pool
	for _, hd := range ho.sorted() {
		key := Pool{hd.Service, hd.FailureDomain}
		if groups[key] == nil {
			pools = append(pools, key)
		}
		groups[key] = append(groups[key], hd.Request)
	}
	for _, key := range pools {
		to, ok := ho.coordinator(key.Service, key.FailureDomain)
		if !ok {
			continue
		}
		if _, waits := ho.unanswered[to.Name]; !waits {
			ho.unanswered[to.Name] = ho.now
		}
		for part := range slices.Chunk(groups[key], maxRenewed) {
			ho.tell(to, wire.PermitRenew{
				Holder: ho.Self.Name, Incarnation: ho.Incarnation, Peer: ho.Self.Peer,
				Service: key.Service, FailureDomain: key.FailureDomain, Requests: part,
			})
		}
	}
}

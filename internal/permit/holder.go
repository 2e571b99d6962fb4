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
	// spillTime is how long a request waits in the queue of one pool before it goes to another failure domain's.
	spillTime = 3 * time.Second
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
	// movedAt is when it went to the present pool.
	movedAt time.Time
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
	hd := &hold{PermitAsked: ask, id: id, since: now.Add(-ask.Waited), until: now.Add(ask.Wait), movedAt: now, domains: domains}
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
	ho.giveBack(hd)
	return ho.effects
}

// giveBack tells that a hold is over. A word that gets lost costs no memory for long: what is not renewed ends.
func (ho *Holder) giveBack(hd *hold) {
	for _, to := range ho.witnesses(hd) {
		ho.tell(to, wire.PermitReturn{Request: hd.Request, Service: hd.Service, FailureDomain: hd.FailureDomain})
	}
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

// Coordinators returns who coordinates a pool, and who would next: the instances of the highest hashes, those of the
// pool's own failure domain before others. All instances name the same ones as long as they know the same instances,
// and the loss of one moves only its own pools.
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
		place, _ := slices.BinarySearchFunc(best, cd, func(one, two candidate) int {
			switch {
			case one.near && !two.near:
				return -1
			case two.near && !one.near:
				return 1
			}
			return cmp.Compare(two.hash, one.hash)
		})
		best = slices.Insert(best, place, cd)
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

// coordinators leaves out those that did not answer.
func (ho *Holder) coordinators(key Pool) []event.Instance {
	heard := ho.Instances
	if len(ho.silent) > 0 {
		heard = slices.DeleteFunc(slices.Clone(heard), func(inst event.Instance) bool { return ho.now.Before(ho.silent[inst.Name]) })
	}
	return Coordinators(heard, key)
}

func (ho *Holder) coordinator(key Pool) (event.Instance, bool) {
	list := ho.coordinators(key)
	if len(list) == 0 {
		return event.Instance{}, false
	}
	return list[0], true
}

// witnesses returns who is told of a hold: its coordinator, and for a grant of several engines also the next one. If the
// holder and the coordinator die together, nobody else knows of the segments that the engines hold.
func (ho *Holder) witnesses(hd *hold) []event.Instance {
	list := ho.coordinators(hd.pool())
	if !hd.granted || len(hd.Upstreams) < 2 {
		list = list[:min(len(list), 1)]
	}
	return list
}

func (hd *hold) pool() Pool {
	return Pool{hd.Service, hd.FailureDomain}
}

// tellHold tells the coordinator of one request, and reports false if there is none.
func (ho *Holder) tellHold(hd *hold) bool {
	to, ok := ho.coordinator(hd.pool())
	if !ok {
		return false
	}
	if to.Name != hd.to {
		hd.to = to.Name
		hd.sent = 0
	}
	hd.sent++
	hd.sentAt = ho.now
	ho.ask(to, hd)
	return true
}

func (ho *Holder) ask(to event.Instance, hd *hold) {
	ask := hd.PermitAsked
	ask.Peer = ho.Self.Peer
	ask.Waited = ho.now.Sub(hd.since)
	ask.Wait = hd.until.Sub(ho.now)
	ho.tell(to, wire.PermitAsk(ask))
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
		hd, ok := ho.holds[request]
		if !ok {
			continue
		}
		for _, to := range ho.witnesses(hd) {
			if to.Name == ev.From {
				ho.ask(to, hd)
			}
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
		if ho.spill(hd) {
			continue
		}
		to, ok := ho.coordinator(hd.pool())
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
		// This instance itself answers always, if late when the machine is busy.
		if hd.to != ho.Self.Name && hd.sent >= tries && ho.now.Sub(hd.sentAt) >= answerTime {
			ho.silent[hd.to] = ho.now.Add(distrust)
		}
	}
	for name, since := range ho.unanswered {
		if name != ho.Self.Name && ho.now.Sub(since) >= RenewPeriod+answerTime {
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

// spill takes a request that has waited long enough for one pool to that of the next failure domain, where it keeps its
// age and so its place. It reports whether it did.
func (ho *Holder) spill(hd *hold) bool {
	if hd.granted || len(hd.domains) == 0 || ho.now.Sub(hd.movedAt) < spillTime {
		return false
	}
	ho.giveBack(hd)
	hd.domains = append(hd.domains, hd.FailureDomain)
	hd.nextDomain()
	hd.movedAt = ho.now
	return ho.tellHold(hd)
}

// group is what one witness is told of one pool.
type group struct {
	to  event.Instance
	key Pool
}

// renew tells the witnesses of each hold that it goes on.
func (ho *Holder) renew() {
	holds := map[group][]*hold{}
	var groups []group
	for _, hd := range ho.sorted() {
		for _, to := range ho.witnesses(hd) {
			gr := group{to, hd.pool()}
			if holds[gr] == nil {
				groups = append(groups, gr)
			}
			holds[gr] = append(holds[gr], hd)
		}
	}
	for _, gr := range groups {
		if _, waits := ho.unanswered[gr.to.Name]; !waits {
			ho.unanswered[gr.to.Name] = ho.now
		}
		for part := range slices.Chunk(holds[gr], maxRenewed) {
			ho.renewSome(gr, part)
		}
	}
}

func (ho *Holder) renewSome(gr group, holds []*hold) {
	msg := wire.PermitRenew{
		Holder: ho.Self.Name, Incarnation: ho.Incarnation, Peer: ho.Self.Peer,
		Service: gr.key.Service, FailureDomain: gr.key.FailureDomain,
	}
	for _, hd := range holds {
		if hd.granted {
			msg.Requests = append(msg.Requests, hd.Request)
		} else {
			msg.Waiting = append(msg.Waiting, hd.Request)
		}
	}
	ho.tell(gr.to, msg)
}

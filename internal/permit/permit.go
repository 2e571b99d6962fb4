// Package permit reserves engine memory for long prompts. One instance coordinates a pool, the replicas of a service
// in one failure domain, and arbitrates its long prompts alone. Nothing is stored: who holds or waits says so again and
// again, so that another instance takes a pool over from what it hears. Two coordinators at once are only less good,
// since an engine refuses what does not fit and says that it ran nothing.
package permit

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Rules of the reservations.
const (
	// Headroom is the part of an engine's memory that long prompts leave to short ones.
	Headroom = 0.15
	// Lasts is how long a reservation stands without being renewed.
	Lasts = 6 * time.Second
	// settleTime is how long a new coordinator listens before it grants, so that holders can name what they have. It
	// is longer than the time in which they notice the change.
	settleTime = 400 * time.Millisecond
	// forgetTime is how long a pool is kept that nobody asks for.
	forgetTime = time.Minute
	// patience is how long the first in the queue may be overtaken by smaller requests that fit, as a part of its
	// whole wait.
	patience = 0.25
	// servePeriod is how often a queue is gone through without a reservation's end or a new request.
	servePeriod = 50 * time.Millisecond
	// maxQueue bounds the queue of one pool.
	maxQueue = 10_000
)

// Pool names the replicas of a service in one failure domain.
type Pool struct{ Service, FailureDomain string }

// Engine is a replica that may take long prompts.
type Engine struct {
	Upstream event.Upstream
	// Memory is what it holds, in tokens.
	Memory int64
	// Queued is the prompt work that it reports.
	Queued int64
}

// usable is what long prompts may reserve of the engine.
func (en Engine) usable() int64 {
	return int64(float64(en.Memory) * (1 - Headroom))
}

// Reservation is memory reserved for one request.
type Reservation struct {
	event.PermitAsked
	// Share is what it takes of each of its Upstreams, which are in the order of their segments.
	Share int64
	Until time.Time
}

// Coordinator arbitrates the pools that this instance is asked for.
type Coordinator struct {
	Self string
	// Engines returns the live replicas of a pool, in the order of their names.
	Engines func(pool Pool) []Engine
	// Upstream finds a replica by name, leaving or gone ones as long as they are known.
	Upstream func(name string) (event.Upstream, bool)
	// Gone tells that the holder's run is over: declared dead or followed by another.
	Gone func(holder string, incarnation uint64) bool
	// Listed tells that the platform's list has the holder. A new one is not there yet, a dead one no longer.
	Listed func(holder string) bool

	now     time.Time
	effects []effect.Effect
	pools   map[Pool]*pool
}

// pool is what is known of one pool.
type pool struct {
	key          Pool
	reservations map[string]*Reservation
	reserved     map[string]int64
	queue        []*waiting
	// turns holds the virtual time of each organisation's next turn, virtual that of the last grant.
	turns   map[string]float64
	virtual float64
	// opens is when granting begins, heard when somebody last asked.
	opens time.Time
	heard time.Time
	// served is when the queue was last gone through.
	served time.Time
}

// New returns a coordinator without pools.
func New(self string) *Coordinator {
	return &Coordinator{Self: self, pools: map[Pool]*pool{}}
}

// Reduce takes one event and returns what is to be done. The slice is valid until the next call.
func (co *Coordinator) Reduce(now time.Time, ev event.Event) []effect.Effect {
	co.now = now
	co.effects = co.effects[:0]
	switch ev := ev.(type) {
	case event.PermitAsked:
		co.asked(ev)
	case event.PermitReturned:
		co.returned(ev)
	case event.PermitRenewed:
		co.renewed(ev)
	case event.Ticked:
		co.tick()
	}
	return co.effects
}

// Reserved returns what is reserved of each engine of the pool, in tokens.
func (co *Coordinator) Reserved(key Pool) map[string]int64 {
	if pl, ok := co.pools[key]; ok {
		return pl.reserved
	}
	return nil
}

func (co *Coordinator) tell(address string, msg wire.Message) {
	co.effects = append(co.effects, effect.Tell{Address: address, Message: msg})
}

func (co *Coordinator) pool(key Pool) *pool {
	pl, ok := co.pools[key]
	if !ok {
		pl = &pool{
			key:          key,
			reservations: map[string]*Reservation{},
			reserved:     map[string]int64{},
			turns:        map[string]float64{},
			opens:        co.now.Add(settleTime),
		}
		co.pools[key] = pl
	}
	pl.heard = co.now
	return pl
}

func (co *Coordinator) asked(ev event.PermitAsked) {
	ev.Tokens = max(1, ev.Tokens)
	pl := co.pool(Pool{ev.Service, ev.FailureDomain})
	if rv, ok := pl.reservations[ev.Request]; ok {
		rv.Until = co.now.Add(Lasts)
		co.grant(rv)
		return
	}
	if len(ev.Upstreams) > 0 {
		co.takeOver(pl, ev)
		return
	}
	engines := co.Engines(pl.key)
	if !fits(engines, ev.Tokens) || len(pl.queue) >= maxQueue {
		co.answer(ev, wire.PermitGrant{RetryAfter: Lasts})
		return
	}
	if pl.waits(ev.Request) == nil {
		pl.queue = append(pl.queue, &waiting{PermitAsked: ev, since: co.now.Add(-ev.Waited), until: co.now.Add(ev.Wait)})
	}
	co.serve(pl, engines)
	if pl.waits(ev.Request) != nil {
		co.answer(ev, wire.PermitGrant{Queued: true})
	}
}

// takeOver notes a reservation that an earlier coordinator granted. It stands even if it takes more than is there.
func (co *Coordinator) takeOver(pl *pool, ev event.PermitAsked) {
	pl.leaveQueue(ev.Request)
	rv := &Reservation{PermitAsked: ev, Share: shareOf(ev.Tokens, len(ev.Upstreams)), Until: co.now.Add(Lasts)}
	pl.reserve(rv)
	co.grant(rv)
}

func (pl *pool) reserve(rv *Reservation) {
	pl.reservations[rv.Request] = rv
	for _, name := range rv.Upstreams {
		pl.reserved[name] += rv.Share
	}
}

func (pl *pool) free(rv *Reservation) {
	delete(pl.reservations, rv.Request)
	for _, name := range rv.Upstreams {
		pl.reserved[name] -= rv.Share
		if pl.reserved[name] <= 0 {
			delete(pl.reserved, name)
		}
	}
}

func (co *Coordinator) grant(rv *Reservation) {
	co.answer(rv.PermitAsked, wire.PermitGrant{Granted: true, Upstreams: rv.Upstreams, Lasts: rv.Until.Sub(co.now)})
}

func (co *Coordinator) answer(ask event.PermitAsked, msg wire.PermitGrant) {
	msg.From = co.Self
	msg.Request = ask.Request
	msg.Service = ask.Service
	msg.FailureDomain = ask.FailureDomain
	co.tell(ask.Peer, msg)
}

func (co *Coordinator) returned(ev event.PermitReturned) {
	pl, ok := co.pools[Pool{ev.Service, ev.FailureDomain}]
	if !ok {
		return
	}
	pl.heard = co.now
	pl.leaveQueue(ev.Request)
	if rv, ok := pl.reservations[ev.Request]; ok {
		pl.free(rv)
		co.serve(pl, co.Engines(pl.key))
	}
}

func (co *Coordinator) renewed(ev event.PermitRenewed) {
	pl := co.pool(Pool{ev.Service, ev.FailureDomain})
	var unknown []string
	for _, request := range ev.Requests {
		if rv, ok := pl.reservations[request]; ok {
			rv.Until = co.now.Add(Lasts)
			continue
		}
		unknown = append(unknown, request)
	}
	for _, request := range ev.Waiting {
		if rv, ok := pl.reservations[request]; ok {
			// The grant got lost. Unless it is told again, the holder would wait and renew for as long as it may.
			rv.Until = co.now.Add(Lasts)
			co.grant(rv)
			continue
		}
		if pl.waits(request) == nil {
			unknown = append(unknown, request)
		}
	}
	co.tell(ev.Peer, wire.PermitState{From: co.Self, Unknown: unknown})
}

func (co *Coordinator) tick() {
	for key, pl := range co.pools {
		if len(pl.queue) > 0 || len(pl.reservations) > 0 {
			co.sweep(pl)
		}
		if len(pl.queue) > 0 && co.now.Sub(pl.served) >= servePeriod {
			co.serve(pl, co.Engines(key))
		}
		if len(pl.queue)+len(pl.reservations) == 0 && co.now.Sub(pl.heard) > forgetTime {
			delete(co.pools, key)
		}
	}
}

// sweep ends reservations that were not renewed or whose holder is dead, and frees what the engines still hold for a
// dead holder's request: its streams may be open and silent, and its exported cache has no other end. Of a holder that
// is live but could not be heard only the reservation ends, since its request may be running well.
func (co *Coordinator) sweep(pl *pool) {
	for _, rv := range pl.reservations {
		gone := co.Gone(rv.Holder, rv.Incarnation)
		if !gone && co.now.Before(rv.Until) {
			continue
		}
		pl.free(rv)
		if gone || !co.Listed(rv.Holder) {
			co.effects = append(co.effects, effect.Sweep{Request: rv.Request, Upstreams: co.upstreams(rv.Upstreams)})
		}
	}
}

func (co *Coordinator) upstreams(names []string) []event.Upstream {
	var found []event.Upstream
	for _, name := range names {
		if up, ok := co.Upstream(name); ok {
			found = append(found, up)
		}
	}
	return found
}

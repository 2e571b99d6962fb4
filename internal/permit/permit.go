// Package permit reserves engine memory for long prompts. A pool, the replicas of a service in one failure domain, has one
// instance as its coordinator, which alone decides on the pool's long prompts. Nothing is persisted: the holders of
// permits and of queued requests renew them periodically, so that another instance can rebuild the state of a pool from
// the renewals. Two coordinators at the same time make worse decisions but do no harm, since an engine refuses a request
// that does not fit and reports that it was not executed.
package permit

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Parameters of the reservations.
const (
	// Headroom is the fraction of an engine's memory that long prompts must leave to short ones.
	Headroom = 0.15
	// ReservationTTL is the time after which a reservation expires unless it is renewed.
	ReservationTTL = 6 * time.Second
	// settleTime is how long a new coordinator waits before it grants memory, so that holders can report their permits
	// first; otherwise it could grant memory that is already reserved. It is longer than holders take to notice the change
	// of the coordinator.
	settleTime = 400 * time.Millisecond
	// poolIdleTime is how long the state of a pool is kept after its last message, once it has no reservations and its queue
	// is empty.
	poolIdleTime = time.Minute
	// overtakeShare is the fraction of its total wait during which a request may be overtaken by smaller ones that fit.
	overtakeShare = 0.25
	// scanPeriod is the time between two scans of a queue when no reservation is returned and no request is added.
	scanPeriod = 50 * time.Millisecond
	// maxQueue is the maximum length of the queue of one pool.
	maxQueue = 10_000
)

// Pool identifies the replicas of a service in one failure domain.
type Pool struct{ Service, FailureDomain string }

// Engine is a replica that may take long prompts.
type Engine struct {
	Upstream event.Upstream
	// Memory is the engine's capacity in tokens.
	Memory int64
	// Queued is the prompt work that the engine reports as waiting, in tokens.
	Queued int64
}

// usable returns the memory in tokens that long prompts may reserve on the engine.
func (en Engine) usable() int64 {
	return int64(float64(en.Memory) * (1 - Headroom))
}

// Reservation is memory reserved for one request.
type Reservation struct {
	event.PermitRequested
	// Share is the memory in tokens reserved on each of the Upstreams, which are in the order of their segments.
	Share int64
	// Until is when the reservation expires unless it is renewed.
	Until time.Time
}

// Coordinator grants the memory of the pools for which this instance receives requests.
type Coordinator struct {
	Self string
	// Engines returns the live replicas of a pool, sorted by name.
	Engines func(pool Pool) []Engine
	// Upstream returns a replica by name, including leaving ones and unlisted ones that are not yet removed.
	Upstream func(name string) (event.Upstream, bool)
	// HolderGone reports whether the holder's run has ended: it was declared dead, or a later run has its name.
	HolderGone func(holder string, incarnation uint64) bool
	// HolderListed reports whether the platform's list contains the holder. A new holder is not in it yet, a dead one no
	// longer.
	HolderListed func(holder string) bool

	now     time.Time
	effects []effect.Effect
	pools   map[Pool]*pool
}

// pool is the state of one pool.
type pool struct {
	key Pool
	// reservations contains the reservations by request.
	reservations map[string]*Reservation
	// reserved is the reserved memory in tokens by engine.
	reserved map[string]int64
	queue    []*waiter
	// finishTags is the virtual time by organisation at which its last granted request ends, which is when its next one may
	// start.
	finishTags map[string]float64
	// virtualTime is the virtual start time of the last grant.
	virtualTime float64
	// grantFrom is when the coordinator begins to grant.
	grantFrom time.Time
	// usedAt is when the last message about the pool arrived.
	usedAt time.Time
	// scannedAt is when the queue was last scanned.
	scannedAt time.Time
}

// New returns a coordinator without pools.
func New(self string) *Coordinator {
	return &Coordinator{Self: self, pools: map[Pool]*pool{}}
}

// Reduce applies one event and returns the effects to perform. The slice is valid until the next call.
func (co *Coordinator) Reduce(now time.Time, ev event.Event) []effect.Effect {
	co.now = now
	co.effects = co.effects[:0]
	switch ev := ev.(type) {
	case event.PermitRequested:
		co.handleRequested(ev)
	case event.PermitReturned:
		co.handleReturned(ev)
	case event.PermitRenewed:
		co.handleRenewed(ev)
	case event.Ticked:
		co.tick()
	}
	return co.effects
}

// Reserved returns the reserved memory in tokens by engine of the pool. Engines without reservations are left out.
func (co *Coordinator) Reserved(key Pool) map[string]int64 {
	if pl, ok := co.pools[key]; ok {
		return pl.reserved
	}
	return nil
}

func (co *Coordinator) send(address string, msg wire.Message) {
	co.effects = append(co.effects, effect.SendToPeer{Address: address, Message: msg})
}

func (co *Coordinator) pool(key Pool) *pool {
	pl, ok := co.pools[key]
	if !ok {
		pl = &pool{
			key:          key,
			reservations: map[string]*Reservation{},
			reserved:     map[string]int64{},
			finishTags:   map[string]float64{},
			grantFrom:    co.now.Add(settleTime),
		}
		co.pools[key] = pl
	}
	pl.usedAt = co.now
	return pl
}

func (co *Coordinator) handleRequested(ev event.PermitRequested) {
	ev.Tokens = max(1, ev.Tokens)
	pl := co.pool(Pool{ev.Service, ev.FailureDomain})
	if rv, ok := pl.reservations[ev.Request]; ok {
		rv.Until = co.now.Add(ReservationTTL)
		co.grant(rv)
		return
	}
	if len(ev.Upstreams) > 0 {
		co.restore(pl, ev)
		return
	}
	engines := co.Engines(pl.key)
	if !fits(engines, ev.Tokens) || len(pl.queue) >= maxQueue {
		co.answer(ev, wire.PermitDecision{RetryAfter: ReservationTTL})
		return
	}
	if pl.findQueued(ev.Request) == nil {
		pl.queue = append(pl.queue, &waiter{PermitRequested: ev, since: co.now.Add(-ev.Waited), until: co.now.Add(ev.Wait)})
	}
	co.scanQueue(pl, engines)
	if pl.findQueued(ev.Request) != nil {
		co.answer(ev, wire.PermitDecision{Queued: true})
	}
}

// restore records a reservation that an earlier coordinator granted. It is valid even if it exceeds the free memory.
func (co *Coordinator) restore(pl *pool, ev event.PermitRequested) {
	pl.dequeue(ev.Request)
	rv := &Reservation{PermitRequested: ev, Share: shareOf(ev.Tokens, len(ev.Upstreams)), Until: co.now.Add(ReservationTTL)}
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
	co.answer(rv.PermitRequested, wire.PermitDecision{Granted: true, Upstreams: rv.Upstreams, Lasts: rv.Until.Sub(co.now)})
}

func (co *Coordinator) answer(req event.PermitRequested, msg wire.PermitDecision) {
	msg.From = co.Self
	msg.Request = req.Request
	msg.Service = req.Service
	msg.FailureDomain = req.FailureDomain
	co.send(req.Peer, msg)
}

func (co *Coordinator) handleReturned(ev event.PermitReturned) {
	pl, ok := co.pools[Pool{ev.Service, ev.FailureDomain}]
	if !ok {
		return
	}
	pl.usedAt = co.now
	pl.dequeue(ev.Request)
	if rv, ok := pl.reservations[ev.Request]; ok {
		pl.free(rv)
		co.scanQueue(pl, co.Engines(pl.key))
	}
}

func (co *Coordinator) handleRenewed(ev event.PermitRenewed) {
	pl := co.pool(Pool{ev.Service, ev.FailureDomain})
	var unknown []string
	for _, request := range ev.Requests {
		if rv, ok := pl.reservations[request]; ok {
			rv.Until = co.now.Add(ReservationTTL)
			continue
		}
		unknown = append(unknown, request)
	}
	for _, request := range ev.Waiting {
		if rv, ok := pl.reservations[request]; ok {
			// The grant was lost. Unless it is sent again, the holder waits and renews until its deadline.
			rv.Until = co.now.Add(ReservationTTL)
			co.grant(rv)
			continue
		}
		if pl.findQueued(request) == nil {
			unknown = append(unknown, request)
		}
	}
	co.send(ev.Peer, wire.PermitStatus{From: co.Self, Unknown: unknown})
}

func (co *Coordinator) tick() {
	for key, pl := range co.pools {
		if len(pl.queue) > 0 || len(pl.reservations) > 0 {
			co.sweep(pl)
		}
		if len(pl.queue) > 0 && co.now.Sub(pl.scannedAt) >= scanPeriod {
			co.scanQueue(pl, co.Engines(key))
		}
		if len(pl.queue)+len(pl.reservations) == 0 && co.now.Sub(pl.usedAt) > poolIdleTime {
			delete(co.pools, key)
		}
	}
}

// sweep ends reservations that were not renewed or whose holder is dead. For a holder that is dead or not listed it also
// frees what the engines still hold for the request: its streams may be open without sending data, and nothing else frees
// its exported cache. For a live holder whose renewals did not arrive it ends the reservation alone, since the request may
// still be running.
func (co *Coordinator) sweep(pl *pool) {
	for _, rv := range pl.reservations {
		gone := co.HolderGone(rv.Holder, rv.Incarnation)
		if !gone && co.now.Before(rv.Until) {
			continue
		}
		pl.free(rv)
		if gone || !co.HolderListed(rv.Holder) {
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

package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/quiet"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// maxChecks is how many times in a row, without an event in between, a silent replica is assumed to be working on a
// request because it accepts connections or sends events to other requests.
const maxChecks = 3

// silenceWatch notices that the replica of an attempt sends nothing. It ends no attempt for that: it reports the silence to the reducer, which may
// grant another run. Only a connection whose other end acknowledges nothing is ended.
type silenceWatch struct {
	att *attempt
	ctx context.Context
	// mu guards the fields below.
	mu sync.Mutex
	// timer calls tick.
	timer *time.Timer
	// clock measures the silence.
	clock quiet.Clock
	// checks counts in how many looks in a row the replica seemed to be working.
	checks int
	// events counts the events, so that a look notices one that arrived meanwhile.
	events int
	// writing reports whether an event is being written to the caller. The replica's next one then waits for that.
	writing bool
	// seen reports whether the silence since the last event was counted.
	seen bool
	// ended reports whether the attempt is over.
	ended bool
}

// watchSilence starts to watch the attempt, whose answer should begin within the limit.
func (att *attempt) watchSilence(ctx context.Context, limit time.Duration) *silenceWatch {
	sw := &silenceWatch{att: att, ctx: ctx}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.clock.Heard(time.Now(), limit)
	sw.timer = time.AfterFunc(sw.clock.Timer(), tasks.Guard("silence watch", sw.tick))
	return sw
}

// stop ends the watch.
func (sw *silenceWatch) stop() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.ended = true
	sw.timer.Stop()
}

// progressed records that an event arrived, which is written to the caller next. The following one may take as long as the limit.
func (sw *silenceWatch) progressed(now time.Time, limit time.Duration) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.seen {
		sw.seen = false
		silent, stood := sw.clock.Silent(now)
		sw.att.in.count("Silences.Ended")
		sw.att.in.log.Info().Str("Request", sw.att.cl.info.Name).Int("Attempt", sw.att.eff.Attempt).Str("Replica", sw.att.eff.Replica.Name).
			Int64("SilentMs", silent.Milliseconds()).Int64("StoodStillMs", stood.Milliseconds()).Msg("silence of a replica ended")
	}
	sw.clock.Heard(now, limit)
	sw.events++
	sw.checks = 0
	sw.writing = true
	sw.arm()
}

// wrote records that the event was written.
func (sw *silenceWatch) wrote() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.writing = false
}

// arm sets the timer. mu is held.
func (sw *silenceWatch) arm() {
	if !sw.ended {
		sw.timer.Reset(sw.clock.Timer())
	}
}

// reservesInVain reports whether nothing has shown for too long that the request uses the memory that is reserved for it.
func (sw *silenceWatch) reservesInVain() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	silent, _ := sw.clock.Silent(time.Now())
	return silent > max(maxUnusedReservation, sw.clock.Limit())
}

// tick is called when the timer fires.
func (sw *silenceWatch) tick() {
	if sw.timerEnded(time.Now()) {
		sw.look()
	}
}

// timerEnded reports whether the replica has to be looked at now.
func (sw *silenceWatch) timerEnded(now time.Time) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.ended {
		return false
	}
	if !sw.clock.TimerEnded(now, !sw.writing) {
		sw.arm()
		return false
	}
	return true
}

// look finds out why nothing has arrived, and reports the silence to the reducer if the replica is not seen to be at work. Up to maxChecks times in
// a row it is, if other requests recently received events from it or if it accepts a new connection: it then has more work than estimated, and a
// run elsewhere would waste the part of the prompt that it has processed.
func (sw *silenceWatch) look() {
	att := sw.att
	conn := att.delivery.conn.Load()
	if conn != nil && hasUnread(conn.Conn) {
		sw.lookAgain()
		return
	}
	if conn != nil {
		if proof := sw.proofOfConnection(conn.Conn); proof != cutoff.None {
			att.in.count("Silences.Dead")
			att.end(proof)
			return
		}
	}
	if hasReservations(&att.eff) && !att.cl.headerSent.Load() {
		sw.report(steer.FellSilent{})
		return
	}
	sw.mu.Lock()
	limit, since, isBegun := sw.clock.Limit(), sw.clock.Since(), sw.events > 0
	sw.checks++
	mayWork := sw.checks <= maxChecks
	sw.mu.Unlock()
	var replicaLastEvent time.Time
	if at, ok := att.in.lastEvents.Load(att.eff.Replica.Name); ok {
		replicaLastEvent = at.(time.Time)
	}
	var lastEvent *time.Time
	if isBegun {
		lastEvent = &since
	}
	stalled := connectionStalled(lastEvent, replicaLastEvent, limit)
	switch {
	case stalled:
		sw.report(steer.FellSilent{OthersHeard: true})
	case mayWork && time.Since(replicaLastEvent) < limit:
		sw.lookAgain()
	default:
		unreachable := att.unreachableNow(sw.ctx)
		if mayWork && !unreachable {
			sw.lookAgain()
			return
		}
		sw.report(steer.FellSilent{Unreachable: unreachable})
	}
}

// proofOfConnection returns the proof that the state of the connection is. Nothing was expected before the request was sent: on a kept connection the
// last packet may be older.
func (sw *silenceWatch) proofOfConnection(conn net.Conn) cutoff.Proof {
	sw.mu.Lock()
	since := sw.clock.Since()
	sw.mu.Unlock()
	unacknowledged, received := acknowledgement(conn)
	return cutoff.OfConnection(unacknowledged, min(received, time.Since(since)))
}

// lookAgain begins the limit anew, unless an event has.
func (sw *silenceWatch) lookAgain() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.clock.IsOver() {
		sw.clock.Restart(time.Now())
		sw.arm()
	}
}

// report reports the silence to the reducer, unless an event has arrived meanwhile, and goes on watching.
func (sw *silenceWatch) report(ev steer.FellSilent) {
	sw.mu.Lock()
	if sw.ended || !sw.clock.IsOver() {
		sw.mu.Unlock()
		return
	}
	if !sw.seen {
		sw.seen = true
		sw.att.in.count("Silences.Seen")
	}
	now := time.Now()
	ev.ID, ev.Attempt = sw.att.cl.id, sw.att.eff.Attempt
	ev.Silent, ev.StoodStill = sw.clock.Silent(now)
	if via := sw.att.via.Load(); via != nil {
		ev.Via = *via
	}
	sw.clock.Restart(now)
	sw.arm()
	sw.mu.Unlock()
	sw.att.in.apply(ev)
}

// unreachableNow reports whether the next hop of the attempt accepts no new connection: the replica, or the Instance through which the
// attempt goes.
func (att *attempt) unreachableNow(ctx context.Context) bool {
	if via := att.via.Load(); via != nil {
		return !att.in.acceptsConnections(ctx, *via)
	}
	refused := att.in.refusesConnections(withCause(ctx, causeReplicaProbe), att.eff.Replica)
	att.unreachable.Store(refused)
	return refused
}

// connectionStalled reports whether other requests received events from the replica more than half the limit after this
// request's last event, which is nil if it received none. An engine sends the events of all its streams together, so either the
// connection that receives none is dead although the replica is alive, or the engine has preempted the request.
func connectionStalled(lastEvent *time.Time, replicaLastEvent time.Time, limit time.Duration) bool {
	return lastEvent != nil && replicaLastEvent.Sub(*lastEvent) > limit/2
}

// hasReservations reports whether helpers reserve memory for the attempt.
func hasReservations(eff *steer.Send) bool {
	return slices.ContainsFunc(eff.Helpers, func(helper steer.Helper) bool { return helper.Tokens > 0 })
}

// firstByteLimit returns the time after which the replica is looked at if the response has not begun. It is shorter for an attempt with
// reservations: their memory is in use at several replicas, so that another run is worth more.
func firstByteLimit(eff *steer.Send) time.Duration {
	if hasReservations(eff) {
		return min(eff.FirstTimeout, maxUnusedReservation)
	}
	return eff.FirstTimeout
}

// last returns how long the replica was silent when the attempt ended, and how long the process stood still in that time, if the silence was
// reported.
func (sw *silenceWatch) last() (silent, stood time.Duration, seen bool) {
	if sw == nil {
		return 0, 0, false
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	silent, stood = sw.clock.Silent(time.Now())
	return silent, stood, sw.seen
}

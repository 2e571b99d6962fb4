package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// maxChecks is how many times in a row, without an event in between, a silent replica is assumed to be working on a
	// request because it accepts connections or sends events to other requests.
	maxChecks = 3
	// silenceSlices is the number of timers after which a replica counts as silent. Each of them shows that the process runs.
	silenceSlices = 8
	// maxLateSlices is how many late timers in a row delay the verdict. A process that is late all the time must still notice a dead connection.
	maxLateSlices = 16
	// maxTimerDelay is how late a timer may be without the process having stood still.
	maxTimerDelay = 100 * time.Millisecond
)

// silenceWatch notices that the replica of an attempt sends nothing. It ends no attempt for that: it reports the silence to the reducer, which may
// grant another run. Only a connection whose other end acknowledges nothing is ended.
//
// Time for which the process stood still does not count, since what the replica sent meanwhile waits in the socket. A timer that fires late shows
// it. The time is divided into slices, and the last one has to be on time, so that what waits is read before.
type silenceWatch struct {
	att *attempt
	ctx context.Context
	// mu guards the fields below.
	mu sync.Mutex
	// timer calls tick.
	timer *time.Timer
	// limit is how long the replica may be silent before it is looked at.
	limit time.Duration
	// since is when the last event arrived, or the attempt began.
	since time.Time
	// armedAt is when the timer was set.
	armedAt time.Time
	// slices counts the slices since the last event or the last look.
	slices int
	// late counts the timers in a row that fired late.
	late int
	// stood is how long the process has stood still since the last event.
	stood time.Duration
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
	now := time.Now()
	sw := &silenceWatch{att: att, ctx: ctx, limit: limit, since: now}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.timer = time.AfterFunc(limit/silenceSlices, sw.tick)
	sw.armedAt = now
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
		sw.att.in.count("Silences.Ended")
		sw.att.in.log.Info().Str("Request", sw.att.cl.info.Name).Int("Attempt", sw.att.eff.Attempt).Str("Replica", sw.att.eff.Replica.Name).
			Int64("SilentMs", now.Sub(sw.since).Milliseconds()).Int64("StoodStillMs", sw.stood.Milliseconds()).Msg("silence of a replica ended")
	}
	sw.limit, sw.since = limit, now
	sw.events++
	sw.late, sw.checks, sw.stood = 0, 0, 0
	sw.writing = true
	sw.restart(now)
}

// wrote records that the event was written.
func (sw *silenceWatch) wrote() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.writing = false
}

// restart begins the first slice. mu is held.
func (sw *silenceWatch) restart(now time.Time) {
	sw.slices = 0
	sw.arm(now)
}

// arm sets the timer to the end of the next slice. mu is held.
func (sw *silenceWatch) arm(now time.Time) {
	if !sw.ended {
		sw.armedAt = now
		sw.timer.Reset(sw.limit / silenceSlices)
	}
}

// reservesInVain reports whether nothing has shown for too long that the request uses the memory that is reserved for it.
func (sw *silenceWatch) reservesInVain() bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return time.Since(sw.since)-sw.stood > max(maxUnusedReservation, sw.limit)
}

// tick is called at the end of each slice.
func (sw *silenceWatch) tick() {
	if sw.sliceEnded(time.Now()) {
		sw.look()
	}
}

// sliceEnded counts a slice and reports whether the replica has to be looked at now.
func (sw *silenceWatch) sliceEnded(now time.Time) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.ended {
		return false
	}
	if late := now.Sub(sw.armedAt) - sw.limit/silenceSlices; late > maxTimerDelay {
		sw.stood += late
		sw.late++
	} else {
		sw.late = 0
	}
	if !sw.writing {
		sw.slices++
	}
	if sw.slices < silenceSlices || sw.late > 0 && sw.late <= maxLateSlices {
		sw.arm(now)
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
		if proof := cutoff.OfConnection(acknowledgement(conn.Conn)); proof != cutoff.None {
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
	limit, since, isBegun := sw.limit, sw.since, sw.events > 0
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

// lookAgain starts the next slices, unless an event has started them.
func (sw *silenceWatch) lookAgain() {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if sw.slices >= silenceSlices {
		sw.restart(time.Now())
	}
}

// report reports the silence to the reducer, unless an event has arrived meanwhile, and goes on watching.
func (sw *silenceWatch) report(ev steer.FellSilent) {
	sw.mu.Lock()
	if sw.ended || sw.slices < silenceSlices {
		sw.mu.Unlock()
		return
	}
	if !sw.seen {
		sw.seen = true
		sw.att.in.count("Silences.Seen")
	}
	now := time.Now()
	ev.ID, ev.Attempt = sw.att.cl.id, sw.att.eff.Attempt
	ev.StoodStill = sw.stood
	ev.Silent = now.Sub(sw.since) - sw.stood
	if via := sw.att.via.Load(); via != nil {
		ev.Via = *via
	}
	sw.restart(now)
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

// descriptor calls use with the file descriptor of the connection and reports whether it could.
func descriptor(conn net.Conn, use func(fd int)) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}

// last returns how long the replica was silent when the attempt ended, and how long the process stood still in that time, if the silence was
// reported.
func (sw *silenceWatch) last() (silent, stood time.Duration, seen bool) {
	if sw == nil {
		return 0, 0, false
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return time.Since(sw.since) - sw.stood, sw.stood, sw.seen
}

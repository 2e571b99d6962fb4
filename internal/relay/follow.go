package relay

import (
	"context"
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/posit"
)

const (
	// pollShare is the interval between two polls of the store by a poller, as a share of ConfigLag.
	pollShare = 0.3
	// confirmShare is the interval between two confirmation requests by an Instance that is not a poller, as a share of
	// ConfigLag.
	confirmShare = 0.35
	// storeTimeout is the timeout of one call to the store. A connection that died silently delays the call by little
	// more than this.
	storeTimeout = 600 * time.Millisecond
	// minPollBackoff is the pause after a failed poll. It doubles up to maxPollBackoff because the store charges for
	// every call, rejected ones included.
	minPollBackoff = 150 * time.Millisecond
	// maxPollBackoff is the maximum pause after a failed poll.
	maxPollBackoff = time.Second
	// fallbackInterval is the interval between polls of the store by an Instance that is not a poller, while no poller
	// confirms anything.
	fallbackInterval = 3 * time.Second
	// noConfigPause is the pause between reads of the store while there is no configuration.
	noConfigPause = 400 * time.Millisecond
	// maxStaleReads is how many stale reads are tried before the first linearizable call. A stale read costs a tenth of
	// a linearizable call, and all instances may start at once.
	maxStaleReads = 10
	// readyTokenShare is the share of TokenLife without a confirmation after which the Instance becomes unready, so
	// that callers go to instances where their tokens are still accepted.
	readyTokenShare = 0.55
)

// follower keeps the configuration and the lists of replicas and instances up to date. A few instances, the pollers,
// poll the store for its position, and the others ask the pollers, whose responses include the changes. The store's
// watch is not used for this: it may stall or be cut without a sign, and a silent watch would not prove that tokens are
// still valid.
type follower struct {
	in *Instance
	// peers are the instances that are registered, by name.
	peers map[string]Peer
	// lost are the instances whose entries a return of the store has lost, by name.
	lost map[string]lostPeer
	// storeDown reports whether the last call to the store failed.
	storeDown bool
	// loaded reports whether the store has been read successfully.
	loaded bool
	// backoff is the pause after the next failed poll, but at least minPollBackoff. It is 0 after a success.
	backoff time.Duration
	// staleReads counts the stale reads made before there was a configuration.
	staleReads int
	// pollers is the number of instances that this one takes to be pollers, raised while no poller can confirm anything.
	// It may be below storePollers, so it is read through pollerCount.
	pollers int
	// nextFallback is the earliest time at which this Instance polls the store itself although it is not a poller.
	nextFallback time.Time
	// routingFailedAt is when a read of the configuration from the store last failed and a peer was asked for it instead.
	routingFailedAt time.Time
	// returnedAt is when this Instance last learned that the store had returned from a copy; zero if it never has.
	returnedAt time.Time
	// reread is when the state, which came from a stale read, is read again linearizably; zero if it need not be.
	reread time.Time
	// askedForVersions reports whether this Instance has asked others for a configuration that the store has lost.
	askedForVersions bool
	// lastReturn is the position at which the return was noticed.
	lastReturn posit.Position
	// evacuations are the evacuated failure domains.
	evacuations evacuations
	// lastUndecodable is the last logged error of a configuration that cannot be decoded.
	lastUndecodable string
}

func (fl *follower) run(ctx context.Context) error {
	pause := fl.bootstrap(ctx)
	for ctx.Err() == nil {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
			pause = fl.bootstrap(ctx)
		case from := <-fl.in.gossip.newPositions:
			pause = fl.syncFromPeer(ctx, from)
		}
		timer.Stop()
		fl.dropLostEvacuations()
	}
	return ctx.Err()
}

// bootstrap is called at the end of each pause. It makes a stale read of the store while there is no configuration, at
// most maxStaleReads times, and calls sync otherwise. It returns the pause until the next call. Stale reads come first
// because all instances of a large fleet may start at once, and each linearizable call counts against the store's rate
// limit.
func (fl *follower) bootstrap(ctx context.Context) time.Duration {
	if !fl.in.configured() && fl.staleReads < maxStaleReads {
		fl.staleReads++
		if err := fl.readAll(ctx, true); err != nil {
			fl.markUnreachable(ctx, err)
		}
		if !fl.in.configured() {
			return noConfigPause
		}
	}
	if !fl.askedForVersions {
		fl.askForVersions()
	}
	return fl.sync(ctx)
}

// sync updates the state once and returns the pause until the next call. A poller whose poll fails asks the other
// pollers, and an Instance whose state no poller confirms may poll the store itself. While further instances are taken as
// pollers, these, and no others, ask the regular ones before they poll: an Instance that polled as long as its own polls succeed would go on
// after the outage for as long as it lives, and the store charges for every call.
func (fl *follower) sync(ctx context.Context) time.Duration {
	fl.dropLostPeers()
	fl.rereadIfDue(ctx)
	lag := float64(fl.in.opts.ConfigLag)
	canAskPeers := fl.canAskPeers()
	isRegular := fl.in.gossip.pollsStore(storePollers)
	isPoller := !canAskPeers || fl.in.gossip.pollsStore(fl.pollerCount())
	if canAskPeers && isPoller && !isRegular && fl.confirmByRegularPollers(ctx) {
		fl.in.polls.Store(false)
		return time.Duration(confirmShare * lag)
	}
	fl.in.polls.Store(isPoller)
	if !isPoller && fl.confirmByPeers(ctx) {
		return time.Duration(confirmShare * lag)
	}
	if !isPoller && !fl.shouldFallBack() {
		return minPollBackoff
	}
	polled := fl.pollStore(ctx)
	if polled && canAskPeers && isRegular {
		fl.confirmByRegularPollers(ctx)
	}
	switch {
	case polled && !fl.in.configured():
		return noConfigPause
	case polled || canAskPeers && isPoller && fl.confirmByPeers(ctx):
		return time.Duration(pollShare * lag)
	}
	fl.addPollers()
	pause := max(fl.backoff, minPollBackoff)
	fl.backoff = min(2*pause, maxPollBackoff)
	return pause
}

// shouldFallBack reports whether an Instance that is not a poller should poll the store because no poller responds or
// reaches the store. More pollers are chosen first: otherwise hundreds of instances would call the store each second
// during an outage, and the store charges for every call.
func (fl *follower) shouldFallBack() bool {
	if fl.addPollers() || time.Now().Before(fl.nextFallback) {
		return false
	}
	fl.nextFallback = time.Now().Add(fallbackInterval)
	return true
}

// addPollers doubles the number of pollers up to maxStorePollers and reports whether the number grew.
func (fl *follower) addPollers() bool {
	previous := fl.pollerCount()
	fl.pollers = min(2*previous, maxStorePollers)
	if fl.pollers == previous {
		return false
	}
	withPosition(fl.in.log.Info().Int("Pollers", fl.pollers), fl.position()).Msg("state not confirmed by any poller; more instances are taken as pollers")
	return true
}

// position returns the position that the state has reached.
func (fl *follower) position() posit.Position { return fl.in.changes.position() }

// pollerCount returns the number of instances that are taken to poll the store. confirmByPeers halves it after each
// success until it is back at storePollers, and confirmByRegularPollers puts it back there.
func (fl *follower) pollerCount() int { return max(fl.pollers, storePollers) }

// syncFromPeer requests the changes from the Instance that announced a newer revision, calls sync if that fails, and
// returns the pause until the next call of bootstrap. Pollers do this too; otherwise each change would cost one call to
// the store per poller.
func (fl *follower) syncFromPeer(ctx context.Context, from *net.UDPAddr) time.Duration {
	if !fl.canAskPeers() || !fl.confirmByPeer(ctx, from) {
		return fl.sync(ctx)
	}
	return time.Duration(pollShare * float64(fl.in.opts.ConfigLag))
}

// canAskPeers reports whether other instances can be asked for changes. They cannot be asked for the whole state, so an
// Instance without any reads the store itself.
func (fl *follower) canAskPeers() bool {
	return fl.loaded && fl.in.configured() && fl.in.gossip.hasPeers()
}

// pollStore polls the store, applies any changes and reports whether the store responded and the state is up to date.
func (fl *follower) pollStore(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The confirmation is dated to before the call: the position in the response may lack a change that the store
	// accepts before the response arrives.
	requestedAt := bootTime()
	fl.in.count("Store.Questions")
	found, err := fl.in.directory.Revision(limited)
	if err == nil {
		err = fl.update(ctx, found, changesTimeout+changesFactor*(bootTime()-requestedAt))
	}
	if err != nil {
		fl.markUnreachable(ctx, err)
		return false
	}
	fl.in.count("Confirmed.ByStore")
	fl.markReachable()
	fl.confirm(requestedAt)
	return true
}

// markReachable records that the state is the store's again, whether read from the store or from a peer. If the outage
// were taken to continue, each replica removed from the store would stay in use for as long as one that only seems
// removed because of an outage.
func (fl *follower) markReachable() {
	if fl.storeDown {
		withPosition(fl.in.log.Info(), fl.position()).Msg("store reachable again")
	}
	fl.storeDown = false
	fl.backoff = 0
}

// confirm records that the state was the store's at the given time, which counts from boot as that of bootTime does.
func (fl *follower) confirm(at time.Duration) {
	if int64(at) > fl.in.confirmed.Load() {
		fl.in.confirmed.Store(int64(at))
	}
	if fl.in.configured() {
		fl.in.firstConfirmedOnce.Do(func() { close(fl.in.firstConfirmed) })
	}
}

// markUnreachable counts the failure of a read or poll of the store and records that the store is down unless ctx was
// cancelled.
func (fl *follower) markUnreachable(ctx context.Context, err error) {
	fl.in.count("Store.Failures")
	if ctx.Err() != nil || fl.storeDown {
		return
	}
	fl.storeDown = true
	withPosition(fl.in.log.Warn().Err(err), fl.position()).Msg("store unreachable; the last state stays in use")
}

// fresh reports whether the last confirmation, from the store or from a peer, is younger than the given share of
// TokenLife.
func (in *Instance) fresh(share float64) bool {
	return in.confirmed.Load() != 0 && in.confirmedAge() < time.Duration(share*float64(in.opts.TokenLife))
}

package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/posit"
)

// The store may return from a copy that lacks its last changes. No answer names the position of the copy, so the whole contents
// are read again.

const (
	// maxReadStaleness is the maximum age of what a stale read returns. After a return of the store, a stale read may be
	// from before it for as long.
	maxReadStaleness = 30 * time.Second
	// returnSpread is the time over which the instances spread their calls after a return of the store, for each instance.
	// All learn of the return at the same moment, and the store limits its calls a second.
	returnSpread = 4 * time.Millisecond
)

// trustsStaleReads reports whether a stale read is certainly from after the last return of the store.
func (fl *follower) trustsStaleReads() bool {
	return fl.returnedAt.IsZero() || time.Since(fl.returnedAt) > maxReadStaleness
}

// readReturned replaces the state by the contents of the store after it has returned from a copy. from is the Instance that
// reported the return, nil if a poll found it. A position from before a return that is known is an error.
func (fl *follower) readReturned(ctx context.Context, from *net.UDPAddr, found posit.Position) error {
	have := fl.position()
	if found.Era < have.Era {
		return OrderFailed.New("relay: an answer from %s came after %s, from before the store returned from a copy; it is ignored", found, have)
	}
	fl.recordReturn(from, have, found)
	if from != nil {
		delay.For(ctx, rand.N(fl.in.returnWindow()))
	}
	fl.in.count("Store.Reads")
	retries := maxPageRetries
	if from != nil {
		// That Instance can serve the directory, too.
		retries = 0
	}
	snap, err := fl.readPages(ctx, false, retries)
	if err != nil && from != nil {
		withPosition(fl.in.log.Info().Err(err), found).Str("Source", from.String()).Msg("reading the store after its return failed; fetching the directory from the instance that reported it")
		snap, err = fl.in.fetchDirectory(ctx, from, found)
	}
	if err != nil {
		return err
	}
	if snap.Position.Before(found) {
		return OrderFailed.New("relay: the store was read at %s although it was at %s before; it is read again", snap.Position, found)
	}
	fl.replaceState(&snap)
	return nil
}

// lostPeer is an Instance whose entry a return of the store has lost.
type lostPeer struct {
	Peer
	// until is when the entry would have expired at the latest if the Instance had ended just before the return.
	until time.Time
}

// keepLostPeers keeps the instances known before a return of the store whose entries the copy lacks. They write them again
// within a moment, and one that the store rejects is alive all the same. If they were taken for gone, rate limits and retry
// budgets would be shared by too few, and all instances would poll the store.
func (fl *follower) keepLostPeers(before map[string]Peer) {
	if fl.lost == nil {
		fl.lost = map[string]lostPeer{}
	}
	for name, peer := range before {
		fl.lost[name] = lostPeer{Peer: peer, until: time.Now().Add(announceTTL)}
	}
	for name := range fl.peers {
		delete(fl.lost, name)
	}
}

// knownPeers returns the instances that are registered and those whose entries the store has lost.
func (fl *follower) knownPeers() map[string]Peer {
	if len(fl.lost) == 0 {
		return fl.peers
	}
	known := maps.Clone(fl.peers)
	for name, peer := range fl.lost {
		known[name] = peer.Peer
	}
	return known
}

// dropLostPeers drops the instances that have not written their entries again in time.
func (fl *follower) dropLostPeers() {
	dropped := false
	for name, peer := range fl.lost {
		if !time.Now().Before(peer.until) {
			delete(fl.lost, name)
			dropped = true
		}
	}
	if dropped {
		fl.in.setPeers(fl.knownPeers())
	}
}

// returnWindow is the time over which all instances spread their calls after a return of the store.
func (in *Instance) returnWindow() time.Duration {
	return returnSpread * time.Duration(1+len(*in.gossip.peers.Load()))
}

// rereadIfDue reads the whole contents again if the first read was stale. It may have been from before a return of the store,
// whatever era the answer named, with a revision that the store has given out again since: the changes up to it would be missed.
// While the store is down it is not tried: a read without an answer takes seconds, in which no peer is asked either.
func (fl *follower) rereadIfDue(ctx context.Context) {
	if fl.reread.IsZero() || fl.storeDown || time.Now().Before(fl.reread) {
		return
	}
	fl.in.count("Store.Rereads")
	snap, err := fl.readPages(ctx, false, 0)
	if err != nil {
		fl.reread = time.Now().Add(fallbackInterval)
		fl.in.log.Info().Err(err).Msg("reading the store again after a stale read failed; it is tried again")
		return
	}
	fl.reread = time.Time{}
	fl.replaceState(&snap)
}

// recordReturn records that the store has returned from a copy, and logs it once for each return: reading the store may take
// several attempts.
func (fl *follower) recordReturn(from *net.UDPAddr, have, found posit.Position) {
	fl.returnedAt = time.Now()
	if found.SameEra(fl.lastReturn) && found.Era != 0 {
		return
	}
	fl.lastReturn = found
	fl.in.count("Store.Returns")
	source := "store"
	if from != nil {
		source = from.String()
	}
	withPosition(fl.in.log.Warn(), found).Int64("EraBefore", have.Era).Int64("RevisionBefore", have.Revision).Str("Source", source).
		Int64("ConfirmedMs", fl.in.confirmedAge().Milliseconds()).Msg("store returned from a copy; the whole directory is read")
}

// isBehind reports whether another Instance is at a later position or has a later configuration in force. The latter is also the
// case if the store has lost that configuration and this Instance has started since.
func (in *Instance) isBehind(pos posit.Position, version int64) bool {
	return in.changes.position().Before(pos) || version > in.version()
}

// missesReturn reports whether the Instance that asks knows of a return of the store, or has a configuration in force that the store
// has lost. A later position of the same era is no reason to ask it: whoever announced that announces it here, too.
func (in *Instance) missesReturn(pos posit.Position, version int64) bool {
	have := in.changes.position()
	if !have.SameEra(pos) {
		return have.Before(pos)
	}
	return !have.Before(pos) && version > in.version()
}

// version returns the version of the configuration in force, 0 if there is none.
func (in *Instance) version() int64 {
	if routing := in.routing.Load(); routing != nil {
		return routing.Version
	}
	return 0
}

// askForVersions asks a few instances to announce their configuration if it is later than the one in force here. The store may have
// lost the newest configuration just before this Instance started, and an Instance that polls the store sends no other requests to
// instances.
func (fl *follower) askForVersions() {
	if !fl.canAskPeers() {
		return
	}
	fl.askedForVersions = true
	at := fl.position()
	raw := fl.in.gossip.encode(packet{Request: &confirmRequest{Since: at.Revision, Era: at.Era, Version: fl.in.version()}})
	for _, to := range fl.in.gossip.pickPeers() {
		fl.in.gossip.writeDatagram(raw, to)
	}
}

// adoptConfiguration puts the configuration of the Instance at the address into force if it is later than the one here, although
// the state here has reached that Instance's position: then the store has lost it, and it was in force all the same.
func (fl *follower) adoptConfiguration(ctx context.Context, from *net.UDPAddr, conf *confirmation) {
	if conf.Version <= fl.in.version() || !fl.in.configured() || fl.position().Before(conf.position()) {
		return
	}
	routing, err := fl.in.fetchRouting(ctx, from, posit.Position{})
	if err != nil {
		fl.in.log.Info().Err(err).Int64("Version", conf.Version).Msg("fetching a configuration that the store has lost failed")
		return
	}
	fl.in.count("Peers.ConfigurationsAdopted")
	fl.in.log.Warn().Int64("Version", routing.Version).Int64("VersionBefore", fl.in.version()).Str("Source", from.String()).Msg("store has lost a configuration; taken from an instance that has it")
	fl.in.install(routing)
	if fl.in.gossip.pollsStore(fl.pollerCount()) {
		// The others may lack it as well.
		fl.in.gossip.announcePosition()
	}
}

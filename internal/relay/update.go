package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// The follower updates its state once it knows of a newer revision.

const (
	// changesTimeout is the fixed part of the timeout for reading changes. The store may hold changes back, and then it
	// does not respond at all.
	changesTimeout = 150 * time.Millisecond
	// changesFactor is how many times the duration of the preceding Revision call is added to changesTimeout.
	changesFactor = 3
	// pageTimeout is the timeout for reading a page of at most a megabyte, which takes half a second over the slowest
	// link and longer when many instances read.
	pageTimeout = 2500 * time.Millisecond
	// maxPageRetries is how many failed page reads are retried, counted over all pages of one read.
	maxPageRetries = 3
)

// update brings the state to the position that a poll found, or a later one, and a poller then announces the new position
// to its peers. It reads only the changes where possible and everything otherwise, so that the cost of a change does not grow with
// the fleet.
func (fl *follower) update(ctx context.Context, found posit.Position, limit time.Duration) error {
	have := fl.position()
	if fl.loaded && found == have {
		return nil
	}
	if err := fl.updateTo(ctx, have, found, limit); err != nil {
		return err
	}
	if fl.in.gossip.pollsStore(fl.pollerCount()) {
		fl.in.gossip.announcePosition()
	}
	return nil
}

func (fl *follower) updateTo(ctx context.Context, have, found posit.Position, limit time.Duration) error {
	wasLoaded := fl.loaded
	if wasLoaded && (found.Before(have) || !found.SameEra(have)) {
		return fl.readReturned(ctx, nil, found)
	}
	if wasLoaded && fl.applyChangesTo(ctx, found, limit) {
		return nil
	}
	if err := fl.readAll(ctx, fl.trustsStaleReads()); err != nil || fl.hasReached(found) {
		return err
	}
	// If wasLoaded is set, the store did not return the changes above and does not return them now either.
	if !wasLoaded && fl.position().SameEra(found) && fl.applyChangesTo(ctx, found, limit) {
		return nil
	}
	return fl.readAll(ctx, false)
}

// hasReached reports whether the state is that of the position or of a later one in its era.
func (fl *follower) hasReached(pos posit.Position) bool {
	have := fl.position()
	return have.SameEra(pos) && !have.Before(pos)
}

// applyChangesTo brings the state to the position by applying changes, and reports whether the store provided them.
func (fl *follower) applyChangesTo(ctx context.Context, found posit.Position, limit time.Duration) bool {
	for !fl.hasReached(found) {
		if err := fl.applyNextChanges(ctx, limit); err != nil {
			fl.in.count("Store.ChangesMissed")
			withPosition(fl.in.log.Info().Err(err), found).Msg("changes not available; reading the whole directory")
			return false
		}
	}
	return true
}

// applyNextChanges reads and applies the next changes from the store.
func (fl *follower) applyNextChanges(ctx context.Context, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fl.in.count("Store.Changes")
	changes, upTo, err := fl.in.directory.Changes(limited, fl.position())
	if err != nil {
		return err
	}
	return fl.applyChanges(ctx, nil, changes, upTo)
}

// readAll replaces the state by the store's whole contents unless those are not newer, as a stale read may be.
func (fl *follower) readAll(ctx context.Context, stale bool) error {
	fl.in.count("Store.Reads")
	snap, err := fl.readPages(ctx, stale, maxPageRetries)
	if err != nil {
		return err
	}
	if fl.loaded && !fl.position().Before(snap.Position) {
		return nil
	}
	fl.reread = time.Time{}
	if stale && !fl.loaded && snap.Position.Era != 0 {
		fl.reread = time.Now().Add(rand.N(fl.in.returnWindow()))
	}
	fl.replaceState(&snap)
	return nil
}

// replaceState replaces the state by the store's whole contents. After a return of the store, what it has lost is kept: a later
// configuration, and for a while the replicas and instances whose entries may be written again.
func (fl *follower) replaceState(snap *Snapshot) {
	have := fl.position()
	returned := fl.loaded && (snap.Position.Before(have) || !snap.Position.SameEra(have))
	before := fl.peers
	fl.peers = make(map[string]Peer, len(snap.Peers))
	for _, peer := range snap.Peers {
		fl.peers[peer.Name] = peer
	}
	if returned {
		fl.keepLostPeers(before)
	}
	if returned || !fl.loaded {
		fl.reportOwnEntry(snap.Position.Era)
	}
	fl.loaded = true
	fl.in.entries.replace(snap.Replicas, snap.Peers)
	// Evacuations are applied before the replicas are listed, so that nothing is placed at those of an evacuated failure domain.
	if snap.evacuationsUnknown {
		fl.readEvacuations()
	} else {
		fl.replaceEvacuations(snap.Evacuated, snap.Position, returned)
	}
	if snap.Position != have {
		fl.in.changes.reset(snap.Position)
	}
	for i := range snap.Quarantines {
		fl.in.applyQuarantine(&snap.Quarantines[i])
	}
	fl.logUndecodable(snap.RoutingError, snap.Position)
	fl.in.install(snap.Routing)
	fl.in.setPeers(fl.knownPeers())
	replicas, own := fl.in.splitOwn(snap.Replicas)
	fl.in.replaceInvalid(slices.Concat(snap.Invalid, own))
	fl.in.apply(steer.Listed{Replicas: replicas, AfterOutage: fl.storeDown || returned, FromCopy: returned})
	fl.warnOfUnknownDomains(snap.Position)
}

// reportOwnEntry hands announce this Instance's entry, with its lease if the directory holds the entry with the same address
// and failure domain: that of an earlier run, or the one that a copy of the store still has. The directory was read in the era.
func (fl *follower) reportOwnEntry(era int64) {
	self := fl.in.self
	self.Lease = posit.Lease{Era: era}
	if entry, ok := fl.peers[self.Name]; ok && entry.Address == self.Address && entry.FailureDomain == self.FailureDomain {
		self = entry
	}
	// The entry reported before is outdated.
	select {
	case <-fl.in.ownEntry:
	default:
	}
	fl.in.ownEntry <- self
}

// readPages reads and merges all pages. A failed page is retried on its own: when all instances of a large fleet start
// at once, their reads saturate the store's link for seconds, and if each read started over after a failure none would
// ever complete. Changes made after the first page's position that later pages miss are read as changes afterwards.
func (fl *follower) readPages(ctx context.Context, stale bool, retries int) (Snapshot, error) {
	var all Snapshot
	after, failures := "", 0
	for {
		page, next, err := fl.readPage(ctx, stale, after)
		if err != nil {
			failures++
			if failures > retries || !delay.For(ctx, minPollBackoff<<failures) {
				return Snapshot{}, err
			}
			continue
		}
		if after == "" {
			all.Position = page.Position
		}
		if page.Position.Before(all.Position) || !page.Position.SameEra(all.Position) {
			return Snapshot{}, OrderFailed.New("relay: the store returned from a copy between two pages of one read, %s and %s; it is read again", all.Position, page.Position)
		}
		if page.Routing != nil {
			all.Routing = page.Routing
		}
		all.Replicas = append(all.Replicas, page.Replicas...)
		all.Peers = append(all.Peers, page.Peers...)
		all.Quarantines = append(all.Quarantines, page.Quarantines...)
		all.Evacuated = append(all.Evacuated, page.Evacuated...)
		all.Invalid = append(all.Invalid, page.Invalid...)
		if page.RoutingError != nil {
			all.RoutingError = page.RoutingError
		}
		if next == "" {
			return all, nil
		}
		after = next
	}
}

func (fl *follower) readPage(ctx context.Context, stale bool, after string) (Snapshot, string, error) {
	limited, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return fl.in.directory.Read(limited, stale, after)
}

// applyChanges applies all changes up to the position. On an error the position does not advance, since a state with
// only some of the changes would count as complete. The changes come from the Instance at the address, or from the
// store if from is nil.
func (fl *follower) applyChanges(ctx context.Context, from *net.UDPAddr, changes []Change, upTo posit.Position) error {
	// Evacuations are applied first, since they must take effect even if the configuration cannot be read.
	fl.applyEvacuations(changes, upTo, from)
	listChanged, peersChanged, configuredAt := fl.classify(changes, upTo)
	if configuredAt != nil {
		routing, err := fl.routingAt(ctx, from, *configuredAt)
		if err != nil {
			return err
		}
		fl.in.install(routing)
	}
	if peersChanged {
		fl.in.setPeers(fl.knownPeers())
	}
	for i := range changes {
		if qua := changes[i].Quarantine; qua != nil {
			fl.in.applyQuarantine(qua)
		}
	}
	fl.in.applyInvalid(changes)
	fl.in.entries.apply(changes)
	fl.in.changes.add(changes, upTo)
	fl.in.apply(listChanged)
	fl.warnOfUnknownDomains(upTo)
	return nil
}

// classify sorts the changes into those of replicas, of instances, which it applies to fl.peers, and of the
// configuration, of which it returns the last one's position or nil. The changes are of the era of upTo.
func (fl *follower) classify(changes []Change, upTo posit.Position) (listChanged steer.ListChanged, peersChanged bool, configuredAt *posit.Position) {
	latest := map[string]*steer.Replica{}
	for i := range changes {
		chg := &changes[i]
		switch {
		case chg.Routing:
			at := upTo.At(chg.Revision)
			configuredAt = &at
		case chg.Replica != nil && fl.in.isOwnAddress(chg.Replica.Address):
			latest[chg.Replica.Name] = nil
		case chg.Replica != nil:
			latest[chg.Replica.Name] = chg.Replica
		case chg.RemovedReplica != "":
			latest[chg.RemovedReplica] = nil
		case chg.Peer != nil:
			fl.peers[chg.Peer.Name] = *chg.Peer
			delete(fl.lost, chg.Peer.Name)
			peersChanged = true
		case chg.RemovedPeer != "":
			delete(fl.peers, chg.RemovedPeer)
			delete(fl.lost, chg.RemovedPeer)
			peersChanged = true
		}
	}
	listChanged.AfterOutage = fl.storeDown
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		if rep := latest[name]; rep != nil {
			listChanged.Replicas = append(listChanged.Replicas, *rep)
		} else {
			listChanged.Gone = append(listChanged.Gone, name)
		}
	}
	return listChanged, peersChanged, configuredAt
}

// catchUp applies the changes in another Instance's confirmation. If that Instance no longer holds them, everything is
// read from the store, or from that Instance while the store rejects this one.
func (fl *follower) catchUp(ctx context.Context, from *net.UDPAddr, conf *confirmation) error {
	have := fl.position()
	if !have.Before(conf.position()) {
		return nil
	}
	if !conf.position().SameEra(have) {
		return fl.readReturned(ctx, from, conf.position())
	}
	for i := range conf.Changes {
		conf.Changes[i].check()
	}
	if conf.appliesTo(have) {
		if conf.missesEvacuations() {
			fl.readEvacuations()
		}
		return fl.applyChanges(ctx, from, conf.Changes, have.At(conf.UpTo))
	}
	err := fl.readAll(ctx, fl.trustsStaleReads())
	if err == nil && !have.Before(fl.position()) {
		err = fl.readAll(ctx, false)
	}
	if err == nil {
		return nil
	}
	snap, err := fl.in.fetchDirectory(ctx, from, conf.position())
	if err != nil {
		return err
	}
	fl.replaceState(&snap)
	return nil
}

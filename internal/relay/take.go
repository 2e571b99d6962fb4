package relay

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// How the follower brings the state of the directory here once it knows that there is a newer one.

const (
	// changesTimeout and changesFactor bound the question for changes: so long, and so many times what the question before
	// it took. The store may keep changes back and then does not answer at all.
	changesTimeout = 150 * time.Millisecond
	changesFactor  = 3
	// pageTimeout bounds the reading of a page of at most a megabyte, which takes half a second over the slowest link and
	// more when many read. A page that fails is read again up to pageTries times over all pages.
	pageTimeout = 2500 * time.Millisecond
	pageTries   = 3
)

// take brings the state to the revision at least, and tells the others that there is something new. What has changed is
// asked for, and everything is read only where that is not to be had: the cost of a change must not grow with the fleet.
func (fl *follower) take(ctx context.Context, revision int64, limit time.Duration) error {
	if fl.read && revision <= fl.in.view.revision() {
		return nil
	}
	if err := fl.bring(ctx, revision, limit); err != nil {
		return err
	}
	if fl.in.notes.pollsStore(fl.polling()) {
		fl.in.notes.spread()
	}
	return nil
}

func (fl *follower) bring(ctx context.Context, revision int64, limit time.Duration) error {
	asks := fl.read
	if asks && fl.takeChanges(ctx, revision, limit) {
		return nil
	}
	if err := fl.readAll(ctx, true); err != nil || fl.in.view.revision() >= revision {
		return err
	}
	// What was not told before is not told now either.
	if !asks && fl.takeChanges(ctx, revision, limit) {
		return nil
	}
	return fl.readAll(ctx, false)
}

// takeChanges brings the state to the revision by what has changed and reports whether that was possible.
func (fl *follower) takeChanges(ctx context.Context, revision int64, limit time.Duration) bool {
	for fl.in.view.revision() < revision {
		if err := fl.takeSome(ctx, limit); err != nil {
			fl.in.count("Store.ChangesMissed")
			fl.in.log.Info().Err(err).Int64("Revision", revision).Msg("changes not told; everything is read")
			return false
		}
	}
	return true
}

// takeSome takes the next changes that the store tells.
func (fl *follower) takeSome(ctx context.Context, limit time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	fl.in.count("Store.Changes")
	changes, upTo, err := fl.in.directory.Changes(limited, fl.in.view.revision())
	if err != nil {
		return err
	}
	return fl.change(ctx, nil, changes, upTo)
}

// readAll takes the store's whole state unless it is older than the one here. A stale read may be.
func (fl *follower) readAll(ctx context.Context, stale bool) error {
	fl.in.count("Store.Reads")
	snap, err := fl.pages(ctx, stale)
	if err != nil {
		return err
	}
	if fl.read && snap.Revision <= fl.in.view.revision() {
		return nil
	}
	fl.peers = make(map[string]Peer, len(snap.Peers))
	for _, peer := range snap.Peers {
		fl.peers[peer.Name] = peer
	}
	fl.noteFirstRead()
	fl.in.view.reset(snap.Revision)
	fl.in.install(snap.Routing)
	fl.in.setPeers(fl.peers)
	fl.in.apply(steer.Listed{Replicas: snap.Replicas, Away: fl.away})
	return nil
}

// noteFirstRead notes that there was an answer, and what the directory still says of an earlier run of this instance.
func (fl *follower) noteFirstRead() {
	if fl.read {
		return
	}
	fl.read = true
	self := fl.in.self
	if earlier, ok := fl.peers[self.Name]; ok && earlier.Address == self.Address && earlier.FailureDomain == self.FailureDomain {
		self = earlier
	}
	offer(fl.in.entry, self)
}

// pages reads all pages and puts them together. A page that fails is asked for again by itself: when all instances of a
// large fleet start at once, their reading takes the store's link for seconds, and if each began anew after a failure none
// would ever have all. What later pages miss of the first one's time comes with the changes after its revision.
func (fl *follower) pages(ctx context.Context, stale bool) (Snapshot, error) {
	var whole Snapshot
	after, failures := "", 0
	for {
		page, next, err := fl.page(ctx, stale, after)
		if err != nil {
			failures++
			if failures > pageTries || !delay.For(ctx, askAgain<<failures) {
				return Snapshot{}, err
			}
			continue
		}
		if after == "" {
			whole.Revision = page.Revision
		}
		if page.Routing != nil {
			whole.Routing = page.Routing
		}
		whole.Replicas = append(whole.Replicas, page.Replicas...)
		whole.Peers = append(whole.Peers, page.Peers...)
		if next == "" {
			return whole, nil
		}
		after = next
	}
}

func (fl *follower) page(ctx context.Context, stale bool, after string) (Snapshot, string, error) {
	limited, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return fl.in.directory.Read(limited, stale, after)
}

// change takes all changes up to the revision, which a failure leaves undone: half of them would count as none missing. They
// came from another instance, or from the store where from is nil.
func (fl *follower) change(ctx context.Context, from *net.UDPAddr, changes []Change, upTo int64) error {
	relisted, peersChanged, routingAt := fl.sort(changes)
	if routingAt > 0 {
		routing, err := fl.routingAt(ctx, from, routingAt)
		if err != nil {
			return err
		}
		fl.in.install(routing)
	}
	if peersChanged {
		fl.in.setPeers(fl.peers)
	}
	fl.in.view.add(changes, upTo)
	fl.in.apply(relisted)
	return nil
}

// sort parts the changes by what they concern: replicas, other instances, the configuration and since which revision.
func (fl *follower) sort(changes []Change) (relisted steer.Relisted, peersChanged bool, routingAt int64) {
	latest := map[string]*steer.Replica{}
	for i := range changes {
		chg := &changes[i]
		switch {
		case chg.Routing:
			routingAt = chg.Revision
		case chg.Replica != nil:
			latest[chg.Replica.Name] = chg.Replica
		case chg.LeftReplica != "":
			latest[chg.LeftReplica] = nil
		case chg.Peer != nil:
			fl.peers[chg.Peer.Name] = *chg.Peer
			peersChanged = true
		case chg.LeftPeer != "":
			delete(fl.peers, chg.LeftPeer)
			peersChanged = true
		}
	}
	relisted.Away = fl.away
	for _, name := range slices.Sorted(maps.Keys(latest)) {
		if rep := latest[name]; rep != nil {
			relisted.Replicas = append(relisted.Replicas, *rep)
		} else {
			relisted.Gone = append(relisted.Gone, name)
		}
	}
	return relisted, peersChanged, routingAt
}

// catchUp takes the changes that another instance told. If it has forgotten them, everything is read.
func (fl *follower) catchUp(ctx context.Context, from *net.UDPAddr, conf *confirmation) error {
	have := fl.in.view.revision()
	if conf.Revision <= have {
		return nil
	}
	if conf.follows(have) {
		return fl.change(ctx, from, conf.Changes, conf.UpTo)
	}
	if err := fl.readAll(ctx, true); err != nil || fl.in.view.revision() > have {
		return err
	}
	return fl.readAll(ctx, false)
}

package relay

import (
	"context"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/posit"
)

// Instances that do not poll the store learn from those that do (pollers) how fresh their state is.

// confirmRequest asks another Instance when the store last confirmed its state, and what has changed after revision
// Since of the Era.
type confirmRequest struct {
	// Nonce identifies the request. A request without one is answered by an announcement, and only if the recipient has a later
	// configuration in force or keeps an evacuation that the store has lost.
	Nonce uint64 `cbor:"1,keyasint,omitempty"`
	Since int64  `cbor:"2,keyasint,omitempty"`
	// Era is missing in requests of instances whose version knows no eras.
	Era int64 `cbor:"3,keyasint,omitempty"`
	// Version is the version of the configuration in force at the sender.
	Version int64 `cbor:"4,keyasint,omitempty"`
}

// since returns the position that the sender has reached.
func (req *confirmRequest) since() posit.Position {
	return posit.Position{Era: req.Era, Revision: req.Since}
}

// confirmation is the response to a confirmRequest. A confirmation without a nonce only announces a new revision and
// proves nothing.
type confirmation struct {
	Nonce    uint64 `cbor:"1,keyasint,omitempty"`
	Revision int64  `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time in ms, rounded up, between the request to the store and this response.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
	// Changes holds every change after the requested revision up to UpTo; it is empty if the sender does not hold them.
	Changes []Change `cbor:"4,keyasint,omitempty"`
	// UpTo is less than Revision if there are more changes than fit.
	UpTo int64 `cbor:"5,keyasint,omitempty"`
	// Era is the era of Revision, Changes and UpTo. It is missing in confirmations of instances whose version knows no eras:
	// they prove nothing to an Instance that knows one.
	Era int64 `cbor:"6,keyasint,omitempty"`
	// Version is the version of the configuration in force at the sender.
	Version int64 `cbor:"7,keyasint,omitempty"`
	// Kept are the evacuations in force at the sender that the store has lost.
	Kept []keptEvacuation `cbor:"8,keyasint,omitempty"`
	// Evacuations reports whether Changes contains the changes of evacuations. Instances of earlier versions pass these on as irrelevant
	// changes.
	Evacuations bool `cbor:"9,keyasint,omitempty"`
}

// position returns the position that the sender has reached.
func (conf *confirmation) position() posit.Position {
	return posit.Position{Era: conf.Era, Revision: conf.Revision}
}

// receivedConfirmation is a confirmation with its sender.
type receivedConfirmation struct {
	confirmation
	from *net.UDPAddr
}

// appliesTo reports whether the changes can be applied by an Instance that has reached the position. It validates them
// since they come from the network.
func (conf *confirmation) appliesTo(have posit.Position) bool {
	upTo := have.At(conf.UpTo)
	if len(conf.Changes) == 0 || !conf.position().SameEra(have) || conf.position().Before(upTo) {
		return false
	}
	last := have.Next()
	for i := range conf.Changes {
		chg := &conf.Changes[i]
		at := have.At(chg.Revision)
		if at.Before(last) || upTo.Before(at) {
			return false
		}
		if chg.Replica != nil && chg.Replica.Name == "" || chg.Peer != nil && chg.Peer.Name == "" {
			return false
		}
		last = at
	}
	return true
}

const (
	// storePollers is how many instances poll the store. Two of them may fail at the same time without the others
	// noticing.
	storePollers = 3
	// maxStorePollers is how many instances poll the store at most while the regular pollers cannot confirm anything.
	maxStorePollers = 8 * storePollers
	// pollersPerRound is how many pollers an Instance asks in turn.
	pollersPerRound = 3
	// confirmTimeout is how long an Instance waits for a confirmation.
	confirmTimeout = 120 * time.Millisecond
)

// handleConfirmRequest sends when the store last confirmed the state here and what has changed since. An Instance whose
// state was never confirmed does not respond.
func (gs *gossip) handleConfirmRequest(req confirmRequest, to *net.UDPAddr) {
	if gs.in.missesReturn(req.since(), req.Version) {
		trySend(gs.newPositions, to)
	}
	if req.Nonce == 0 && (req.Version < gs.in.version() || len(gs.in.kept()) > 0) {
		gs.writeDatagram(gs.encode(gs.announcement()), to)
	}
	if req.Nonce == 0 || gs.in.confirmed.Load() == 0 {
		return
	}
	// The position is read after the age: in between it can only become newer than what the age proves. The version is read
	// before the position, which follows it.
	age := gs.in.confirmedAge()
	conf := confirmation{Nonce: req.Nonce, AgeMs: age.Milliseconds() + 1, Version: gs.in.version(), Kept: gs.in.kept(), Evacuations: true}
	since := req.since()
	if since.Era == 0 {
		// An instance whose version knows no eras takes its revision for one of this era.
		since = gs.in.changes.position().At(since.Revision)
	}
	changes, upTo := gs.in.changes.since(since)
	at := gs.in.changes.position()
	conf.Era, conf.Revision = at.Era, at.Revision
	if upTo.SameEra(at) {
		conf.Changes, conf.UpTo = changes, upTo.Revision
	}
	gs.writeDatagram(gs.encode(packet{Confirmation: &conf}), to)
}

// pollsStore reports whether this Instance is a poller if the given number of instances poll the store.
func (gs *gossip) pollsStore(pollers int) bool {
	ranked := *gs.ranked.Load()
	return slices.Contains(ranked[:min(pollers, len(ranked))], nil)
}

// hasPeers reports whether there is another Instance.
func (gs *gossip) hasPeers() bool { return len(*gs.ranked.Load()) > 1 }

// pollerAddresses returns the addresses of the other instances among the given number of pollers.
func (gs *gossip) pollerAddresses(pollers int) []*net.UDPAddr {
	ranked := *gs.ranked.Load()
	return slices.DeleteFunc(slices.Clone(ranked[:min(pollers, len(ranked))]), func(address *net.UDPAddr) bool { return address == nil })
}

// pickPeers returns up to storePollers of the other instances, in random order.
func (gs *gossip) pickPeers() []*net.UDPAddr {
	return pick(slices.Collect(maps.Values(*gs.peers.Load())), storePollers)
}

// pick returns up to count of the addresses, in random order, and reorders the slice.
func pick(addresses []*net.UDPAddr, count int) []*net.UDPAddr {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(count, len(addresses))]
}

// pickPollers returns up to pollersPerRound of the other pollers, in random order so that the load spreads over them.
func (gs *gossip) pickPollers(pollers int) []*net.UDPAddr {
	return pick(gs.pollerAddresses(pollers), pollersPerRound)
}

// requestConfirmation asks another Instance when the store last confirmed its state and what has changed after the
// position.
func (gs *gossip) requestConfirmation(ctx context.Context, to *net.UDPAddr, since posit.Position) (confirmation, bool) {
	for _, conf := range gs.requestConfirmations(ctx, []*net.UDPAddr{to}, since) {
		return conf, true
	}
	return confirmation{}, false
}

// requestConfirmations asks several instances at the same time and returns their confirmations as they arrive within
// confirmTimeout.
func (gs *gossip) requestConfirmations(ctx context.Context, recipients []*net.UDPAddr, since posit.Position) iter.Seq2[*net.UDPAddr, confirmation] {
	nonce := rand.Uint64() | 1
	raw := gs.encode(packet{Request: &confirmRequest{Nonce: nonce, Since: since.Revision, Era: since.Era, Version: gs.in.version()}})
	for _, to := range recipients {
		gs.writeDatagram(raw, to)
	}
	return func(yield func(*net.UDPAddr, confirmation) bool) {
		timer := time.NewTimer(confirmTimeout)
		defer timer.Stop()
		for answered := 0; answered < len(recipients); {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
				return
			case rc := <-gs.confirmations:
				if rc.Nonce != nonce || rc.AgeMs < 0 {
					continue
				}
				answered++
				if !yield(rc.from, rc.confirmation) {
					return
				}
			}
		}
	}
}

// announcement returns the packet that announces the current position.
func (gs *gossip) announcement() packet {
	version := gs.in.version()
	at := gs.in.changes.position()
	return packet{Confirmation: &confirmation{Revision: at.Revision, Era: at.Era, Version: version, Kept: gs.in.kept()}}
}

// announcePosition sends the current position to all other instances. One that misses it learns of it by its next
// request.
func (gs *gossip) announcePosition() {
	raw := gs.encode(gs.announcement())
	for _, address := range *gs.peers.Load() {
		gs.writeDatagram(raw, address)
	}
}

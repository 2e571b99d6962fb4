package relay

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// summaryPeriod is how often this Instance sends a summary of all its work, which makes up for lost notes.
	summaryPeriod = time.Second
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 8 << 10
	// noteQueueSize is how many notes wait to be sent before new ones are dropped.
	noteQueueSize = 256
	// receivePause is the pause after a datagram could not be received.
	receivePause = 5 * time.Millisecond
	// unackedQueueSize is how many packets wait for repeatUnacked. A replica that crashes has at most its slots in flight.
	unackedQueueSize = 128
	// ackQueueSize is how many acknowledgements wait for repeatUnacked. A lost one is made up for by the next repetition.
	ackQueueSize = 1024
)

// gossip exchanges notes and confirmations with other instances over UDP. A note is small, soon out of date and made up
// for by the next summary, so losing one is better than delivering it late.
type gossip struct {
	in   *Instance
	conn *net.UDPConn
	// peers holds the addresses of the other instances, by name.
	peers atomic.Pointer[map[string]*net.UDPAddr]
	// known holds the same addresses.
	known atomic.Pointer[map[netip.AddrPort]struct{}]
	// unlisted are the senders that are not among them.
	unlisted unlistedSenders
	queue    chan steer.SendNote
	// ranked holds the addresses of all instances in the order in which they are chosen as pollers, nil for this
	// Instance.
	ranked atomic.Pointer[[]*net.UDPAddr]
	// confirmations receives the confirmations for the one request that is open, of at most storePollers instances.
	confirmations chan receivedConfirmation
	// newPositions receives the address of an Instance that named a later position or a later configuration.
	newPositions chan *net.UDPAddr
	// unacked receives the packets to be repeated until they are acknowledged.
	unacked chan *unacked
	// acks receives the acknowledgements of these packets.
	acks chan ack
	// deathAcks holds, by the digest of the content, the channel that is closed when the last death under it is acknowledged.
	deathAcks sync.Map
	// deathRequesters are the instances that have just started and requested the deaths.
	deathRequesters deaths.Requesters
}

// packet is one datagram. Of its fields, one is set, or several as they say. All contents are encoded with numbered fields so that instances of
// two versions understand each other during a rolling update: unknown numbers are ignored and missing ones are zero. A
// number is never reassigned to another field.
type packet struct {
	Note         *steer.Note     `cbor:"1,keyasint,omitempty"`
	Request      *confirmRequest `cbor:"2,keyasint,omitempty"`
	Confirmation *confirmation   `cbor:"3,keyasint,omitempty"`
	// AckID asks for an acknowledgement of the Note or DeathsRequested beside it.
	AckID uint64 `cbor:"4,keyasint,omitempty"`
	// Ack acknowledges the packet with that AckID. A Note beside it answers DeathsRequested.
	Ack uint64 `cbor:"5,keyasint,omitempty"`
	// DeathsRequested requests the deaths of replicas that the recipient knows.
	DeathsRequested bool `cbor:"6,keyasint,omitempty"`
}

func openGossip(ctx context.Context, in *Instance) (*gossip, error) {
	if _, err := net.ResolveUDPAddr("udp", in.opts.PeerListen); err != nil {
		return nil, BadOption.Wrap(err, "relay: --peer-listen is %q; give an IP address and a port", in.opts.PeerListen)
	}
	conn, err := ports.Bind(ctx, in.monitor.BindFailed("peer-listen", in.opts.PeerListen), func() (*net.UDPConn, error) { return ports.ListenDatagrams(in.opts.PeerListen) })
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "relay: --peer-listen %s cannot be used; choose a free address", in.opts.PeerListen)
	}
	gs := &gossip{
		in: in, conn: conn, queue: make(chan steer.SendNote, noteQueueSize),
		confirmations: make(chan receivedConfirmation, storePollers), newPositions: make(chan *net.UDPAddr, 1),
		unacked: make(chan *unacked, unackedQueueSize), acks: make(chan ack, ackQueueSize),
	}
	gs.peers.Store(&map[string]*net.UDPAddr{})
	gs.known.Store(&map[netip.AddrPort]struct{}{})
	gs.ranked.Store(&[]*net.UDPAddr{nil})
	return gs, nil
}

func (gs *gossip) run(ctx context.Context) error {
	gs.in.monitor.Start(ctx, "gossip send", gs.send)
	gs.in.monitor.Start(ctx, "gossip summaries", gs.summarize)
	gs.in.monitor.Start(ctx, "gossip receive", gs.receive)
	gs.in.monitor.Start(ctx, "gossip repeat", gs.repeatUnacked)
	<-ctx.Done()
	return gs.conn.Close()
}

// enqueue queues a note without blocking. If the queue is full the note is dropped, and the next summary replaces it.
func (gs *gossip) enqueue(eff steer.SendNote) {
	if gs == nil || len(*gs.peers.Load()) == 0 {
		return
	}
	select {
	case gs.queue <- eff:
	default:
		gs.in.count("Notes.Dropped")
	}
}

func (gs *gossip) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case eff := <-gs.queue:
			gs.writeNote(eff)
		}
	}
}

func (gs *gossip) writeNote(eff steer.SendNote) {
	raw := gs.encode(packet{Note: &eff.Note})
	peers := *gs.peers.Load()
	if eff.To == nil {
		for _, address := range peers {
			gs.writeNoteTo(raw, address)
		}
		return
	}
	for _, name := range eff.To {
		if address, ok := peers[name]; ok {
			gs.writeNoteTo(raw, address)
		}
	}
}

func (gs *gossip) writeNoteTo(raw []byte, address *net.UDPAddr) {
	gs.in.count("Notes.Sent")
	gs.writeDatagram(raw, address)
}

func (gs *gossip) encode(pk packet) []byte {
	raw, err := cbor.Marshal(pk)
	if err != nil || len(raw) > maxDatagram {
		gs.in.log.Warn().Err(err).Int("Bytes", len(raw)).Msg("packet not sent: encoding failed or packet too long")
		return nil
	}
	return raw
}

// writeDatagram sends a datagram. Errors are ignored, since every user of a datagram tolerates its loss.
func (gs *gossip) writeDatagram(raw []byte, to *net.UDPAddr) {
	if len(raw) > 0 {
		_, _ = gs.conn.WriteToUDP(raw, to)
	}
}

func (gs *gossip) summarize(ctx context.Context) error {
	for delay.For(ctx, summaryPeriod) {
		gs.in.apply(steer.Summarized{})
	}
	return ctx.Err()
}

func (gs *gossip) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		count, from, err := gs.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// An error that stays must not take a processor.
			delay.For(ctx, receivePause)
			continue
		}
		gs.handleDatagram(buf[:count], from)
	}
}

func (gs *gossip) handleDatagram(raw []byte, from *net.UDPAddr) {
	defer func() { tasks.Caught("datagram", recover(), nil) }()
	var pk packet
	if err := cbor.Unmarshal(raw, &pk); err != nil || !gs.handlePacket(pk, from) {
		gs.in.count("Packets.Unreadable")
		gs.in.log.Warn().Int("Bytes", len(raw)).Msg("packet dropped: malformed")
	}
}

// handlePacket processes a packet and reports whether it was valid.
func (gs *gossip) handlePacket(pk packet, from *net.UDPAddr) bool {
	switch {
	case pk.Note != nil:
		if !gs.handleNote(pk.Note, from) {
			return false
		}
		if pk.AckID != 0 {
			gs.writeDatagram(gs.encode(packet{Ack: pk.AckID}), from)
		}
		if pk.Ack != 0 {
			trySend(gs.acks, ack{id: pk.Ack, from: from.String()})
		}
	case pk.Ack != 0:
		trySend(gs.acks, ack{id: pk.Ack, from: from.String()})
	case pk.DeathsRequested:
		gs.answerDeathsRequest(pk.AckID, from)
	case pk.Request != nil:
		gs.handleConfirmRequest(*pk.Request, from)
	case pk.Confirmation != nil && pk.Confirmation.Nonce == 0:
		if gs.in.isBehind(pk.Confirmation.position(), pk.Confirmation.Version) || gs.in.missesEvacuation(pk.Confirmation.Kept) {
			trySend(gs.newPositions, from)
		}
	case pk.Confirmation != nil:
		trySend(gs.confirmations, receivedConfirmation{*pk.Confirmation, from})
	default:
		return false
	}
	return true
}

// handleNote applies a note of another Instance and reports whether it was valid.
func (gs *gossip) handleNote(note *steer.Note, from *net.UDPAddr) bool {
	address := unmapped(from)
	if _, known := (*gs.known.Load())[address]; !known && !gs.unlisted.admits(address, note.From, time.Now()) {
		gs.in.count("Notes.FromUnlisted")
		return true
	}
	dropped, usable := note.DropInvalid()
	if !usable {
		return false
	}
	if dropped > 0 {
		gs.in.count("Notes.PartsDropped")
		gs.in.log.Warn().Str("From", note.From).Int("Parts", dropped).Msg("invalid parts of a note dropped")
	}
	gs.in.count("Notes.Heard")
	gs.in.apply(steer.NoteReceived{Note: *note})
	return true
}

// unmapped returns the address in the form in which the list holds it.
func unmapped(address *net.UDPAddr) netip.AddrPort {
	at := address.AddrPort()
	return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
}

func trySend[Value any](to chan Value, value Value) {
	select {
	case to <- value:
	default:
	}
}

// setPeers replaces the registered instances. The pollers are those whose names have the lowest hashes, so that all
// instances with the same list choose the same pollers.
func (in *Instance) setPeers(peers map[string]Peer) {
	ranked := slices.Collect(maps.Values(peers))
	if _, ok := peers[in.self.Name]; !ok {
		ranked = append(ranked, in.self)
	}
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	addresses, known := make(map[string]*net.UDPAddr, len(ranked)), make(map[netip.AddrPort]struct{}, len(ranked))
	var order []*net.UDPAddr
	var others []steer.Instance
	for _, peer := range ranked {
		if peer.Name == in.self.Name {
			order = append(order, nil)
			continue
		}
		// The address is not resolved: that would ask a resolver for a host name, and may take seconds.
		parsed, err := netip.ParseAddrPort(peer.Address)
		address := net.UDPAddrFromAddrPort(parsed)
		if err != nil || parsed.Port() == 0 {
			in.log.Warn().Str("Instance", peer.Name).Str("Address", peer.Address).Msg("peer skipped: invalid address")
			continue
		}
		addresses[peer.Name] = address
		known[unmapped(address)] = struct{}{}
		others = append(others, steer.Instance{Name: peer.Name, FailureDomain: peer.FailureDomain})
		order = append(order, address)
	}
	in.gossip.peers.Store(&addresses)
	in.gossip.known.Store(&known)
	in.gossip.ranked.Store(&order)
	in.peersListedOnce.Do(func() { close(in.peersListed) })
	_, listed := peers[in.self.Name]
	in.apply(steer.Peered{Instances: others, Listed: listed})
}

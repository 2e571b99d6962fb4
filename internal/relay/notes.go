package relay

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// summaryPeriod is how often all work is told again, which makes good what was lost.
	summaryPeriod = time.Second
	// maxNote bounds a datagram.
	maxNote = 8 << 10
	// noteBacklog is how many notes wait to be sent before the newest are dropped.
	noteBacklog = 256
)

// notes carries the instances' notes over UDP: each is small, soon out of date and made good by the next summary, so
// that a lost one is better than a late one.
type notes struct {
	in    *Instance
	conn  *net.UDPConn
	peers atomic.Pointer[map[string]*net.UDPAddr]
	queue chan steer.Tell
	// ranked holds all instances in the order in which they ask the store, nil for this one.
	ranked atomic.Pointer[[]*net.UDPAddr]
	// answers brings the confirmations to the one question that is open, news tells who has a newer revision.
	answers chan confirmation
	news    chan *net.UDPAddr
}

// packet is one datagram: one of its fields is set. All that it holds is encoded by numbered fields, so that instances of two
// versions understand each other during a release: unknown numbers are passed over and missing ones are zero. A number is
// never given to another field.
type packet struct {
	Note     *steer.Note   `cbor:"1,keyasint,omitempty"`
	Question *question     `cbor:"2,keyasint,omitempty"`
	Answer   *confirmation `cbor:"3,keyasint,omitempty"`
}

func openNotes(in *Instance) (*notes, error) {
	address, err := net.ResolveUDPAddr("udp", in.opts.PeerListen)
	if err != nil {
		return nil, BadOption.Wrap(err, "relay: --peer-listen is %q; give an IP number and a port", in.opts.PeerListen)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "relay: --peer-listen %s cannot be used; choose a free address", in.opts.PeerListen)
	}
	ns := &notes{
		in: in, conn: conn, queue: make(chan steer.Tell, noteBacklog),
		answers: make(chan confirmation, 1), news: make(chan *net.UDPAddr, 1),
	}
	ns.peers.Store(&map[string]*net.UDPAddr{})
	ns.ranked.Store(&[]*net.UDPAddr{nil})
	return ns, nil
}

func (ns *notes) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ns.send(ctx) })
	group.Go(func() error { return ns.summarize(ctx) })
	group.Go(func() error { return ns.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return ns.conn.Close()
	})
	return group.Wait()
}

// tell queues a note without waiting; the next summary stands in for one that finds the queue full.
func (ns *notes) tell(eff steer.Tell) {
	if ns == nil || len(*ns.peers.Load()) == 0 {
		return
	}
	select {
	case ns.queue <- eff:
	default:
		ns.in.count("Notes.Dropped")
	}
}

func (ns *notes) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case eff := <-ns.queue:
			ns.write(eff)
		}
	}
}

func (ns *notes) write(eff steer.Tell) {
	raw := ns.encode(packet{Note: &eff.Note})
	peers := *ns.peers.Load()
	if eff.To == nil {
		for _, address := range peers {
			ns.writeTo(raw, address)
		}
		return
	}
	for _, name := range eff.To {
		if address, ok := peers[name]; ok {
			ns.writeTo(raw, address)
		}
	}
}

func (ns *notes) writeTo(raw []byte, address *net.UDPAddr) {
	ns.in.count("Notes.Sent")
	ns.post(raw, address)
}

func (ns *notes) encode(pk packet) []byte {
	raw, err := cbor.Marshal(pk)
	if err != nil || len(raw) > maxNote {
		ns.in.log.Warn().Err(err).Int("Bytes", len(raw)).Msg("packet not sent: it does not encode or is too long")
		return nil
	}
	return raw
}

// post sends a datagram. One that cannot be sent is as good as lost, which all that use it bear.
func (ns *notes) post(raw []byte, to *net.UDPAddr) {
	if len(raw) > 0 {
		_, _ = ns.conn.WriteToUDP(raw, to)
	}
}

func (ns *notes) summarize(ctx context.Context) error {
	for delay.For(ctx, summaryPeriod) {
		ns.in.apply(steer.Summarized{})
	}
	return ctx.Err()
}

func (ns *notes) receive(ctx context.Context) error {
	buf := make([]byte, maxNote)
	for {
		count, from, err := ns.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		ns.hear(buf[:count], from)
	}
}

func (ns *notes) hear(raw []byte, from *net.UDPAddr) {
	var pk packet
	if err := cbor.Unmarshal(raw, &pk); err != nil || !ns.take(pk, from) {
		ns.in.count("Packets.Unreadable")
		ns.in.log.Warn().Int("Bytes", len(raw)).Msg("packet dropped: it cannot be read")
	}
}

// take acts on a packet and reports whether it made sense.
func (ns *notes) take(pk packet, from *net.UDPAddr) bool {
	switch {
	case pk.Note != nil:
		if !pk.Note.Valid() {
			return false
		}
		ns.in.count("Notes.Heard")
		ns.in.apply(steer.Heard{Note: *pk.Note})
	case pk.Question != nil:
		ns.answer(*pk.Question, from)
	case pk.Answer != nil && pk.Answer.Nonce == 0:
		if pk.Answer.Revision > ns.in.view.revision() {
			offer(ns.news, from)
		}
	case pk.Answer != nil:
		offer(ns.answers, *pk.Answer)
	default:
		return false
	}
	return true
}

func offer[Value any](to chan Value, value Value) {
	select {
	case to <- value:
	default:
	}
}

// setPeers takes the instances that are registered. Those that ask the store are the ones of the lowest hashes, so that
// all instances that know the same others choose the same.
func (in *Instance) setPeers(peers map[string]Peer) {
	ranked := slices.Collect(maps.Values(peers))
	if _, ok := peers[in.self.Name]; !ok {
		ranked = append(ranked, in.self)
	}
	slices.SortFunc(ranked, func(one, two Peer) int {
		return cmp.Compare(xxhash.Sum64String(one.Name), xxhash.Sum64String(two.Name))
	})
	addresses := make(map[string]*net.UDPAddr, len(ranked))
	var order []*net.UDPAddr
	var others []steer.Instance
	for _, peer := range ranked {
		if peer.Name == in.self.Name {
			order = append(order, nil)
			continue
		}
		address, err := net.ResolveUDPAddr("udp", peer.Address)
		if err != nil {
			in.log.Warn().Str("Instance", peer.Name).Str("Address", peer.Address).Msg("peer left out: its address cannot be read")
			continue
		}
		addresses[peer.Name] = address
		others = append(others, steer.Instance{Name: peer.Name, FailureDomain: peer.FailureDomain})
		order = append(order, address)
	}
	in.notes.peers.Store(&addresses)
	in.notes.ranked.Store(&order)
	in.apply(steer.Peered{Instances: others})
}

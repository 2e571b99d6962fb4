package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

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
	peers atomic.Pointer[[]*net.UDPAddr]
	queue chan steer.Note
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
	ns := &notes{in: in, conn: conn, queue: make(chan steer.Note, noteBacklog)}
	ns.peers.Store(&[]*net.UDPAddr{})
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
func (ns *notes) tell(nt steer.Note) {
	if ns == nil || len(*ns.peers.Load()) == 0 {
		return
	}
	select {
	case ns.queue <- nt:
	default:
		ns.in.count("Notes.Dropped")
	}
}

func (ns *notes) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case nt := <-ns.queue:
			ns.write(nt)
		}
	}
}

func (ns *notes) write(nt steer.Note) {
	raw, err := cbor.Marshal(nt)
	if err != nil || len(raw) > maxNote {
		ns.in.log.Warn().Err(err).Int("Bytes", len(raw)).Msg("note not sent: it does not encode or is too long")
		return
	}
	for _, address := range *ns.peers.Load() {
		ns.in.count("Notes.Sent")
		// A datagram that cannot be sent is as good as lost, and the next summary makes it good.
		_, _ = ns.conn.WriteToUDP(raw, address)
	}
}

func (ns *notes) summarize(ctx context.Context) error {
	for delay.For(ctx, summaryPeriod) {
		ns.in.mu.Lock()
		nt := ns.in.state.Summary(time.Now())
		ns.in.mu.Unlock()
		ns.tell(nt)
	}
	return ctx.Err()
}

func (ns *notes) receive(ctx context.Context) error {
	buf := make([]byte, maxNote)
	for {
		count, _, err := ns.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		var nt steer.Note
		if err := cbor.Unmarshal(buf[:count], &nt); err != nil || !nt.Valid() {
			ns.in.log.Warn().Int("Bytes", count).Msg("note dropped: it cannot be read")
			continue
		}
		ns.in.count("Notes.Heard")
		ns.in.apply(steer.Heard{Note: nt})
	}
}

// setPeers takes the instances that are registered.
func (in *Instance) setPeers(peers []Peer) {
	addresses := make([]*net.UDPAddr, 0, len(peers))
	for _, peer := range peers {
		if peer.Name == in.self.Name {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", peer.Address)
		if err != nil {
			in.log.Warn().Str("Instance", peer.Name).Str("Address", peer.Address).Msg("peer left out: its address cannot be read")
			continue
		}
		addresses = append(addresses, address)
	}
	in.notes.peers.Store(&addresses)
	in.apply(steer.PeersCounted{Live: len(addresses) + 1})
}

package entry

import (
	"context"
	"net/netip"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// OpenPeers opens the UDP socket to the other instances and returns its address, or "" if no peer keys are configured.
func (in *Instance) OpenPeers() (string, error) {
	keys := in.opts.PeerKeys
	if keys == nil && in.opts.PeerCert == "" {
		in.log.Warn().Str("Instance", in.opts.Name).Msg("no peer keys given: this instance runs without its peers")
		return "", nil
	}
	if keys == nil {
		loaded, err := peers.LoadKeys(in.opts.PeerCA, in.opts.PeerCert, in.opts.PeerKey)
		if err != nil {
			return "", err
		}
		keys = loaded
	}
	transport, err := peers.Listen(in.opts.PeerListen, keys, in.handlePeerMessage)
	if err != nil {
		return "", err
	}
	transport.Limit(in.limiter.Handshake)
	in.peers = transport
	in.registerPeerGauges()
	if addr, err := netip.ParseAddrPort(transport.Address()); err == nil && !addr.Addr().IsUnspecified() {
		in.loop.Submit(event.PeerListening{Address: transport.Address()})
	}
	return transport.Address(), nil
}

// handlePeerMessage handles one message from a peer and returns the answer, or nil if an acknowledgement is enough.
func (in *Instance) handlePeerMessage(ctx context.Context, _ string, msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ConfigAnnouncement, wire.ConfigRequest:
		return in.follower.Handle(msg)
	case wire.ClaimRequest, wire.ClaimSettle:
		return in.claims.Handle(ctx, msg)
	case wire.Quarantine:
		in.applyQuarantine(msg)
	case wire.QuarantineRequest:
		in.quarantineRequesters.Add(msg.From)
		return in.quarantineSnapshot()
	default:
		if ev, ok := wire.Event(msg); ok {
			in.loop.Submit(ev)
		}
	}
	return nil
}

// sendToPeer sends a message to one instance. A message to the instance itself is handled as if a peer had sent it.
func (in *Instance) sendToPeer(address string, msg wire.Message) {
	if in.peers == nil || address == "" {
		return
	}
	if address == in.peers.Address() {
		// The reducer's goroutine calls this and would deadlock if it waited for space in its own event queue.
		in.pending.Go(tasks.Guard("own message", func() { in.handlePeerMessage(context.Background(), in.opts.Name, msg) }))
		return
	}
	in.peers.Send(address, msg)
}

// updatePeers takes the addresses of the peers from the platform's instance list.
func (in *Instance) updatePeers(listed event.InstancesListed) {
	var addresses []string
	for _, inst := range listed.Instances {
		if inst.Name != in.opts.Name && inst.Peer != "" {
			addresses = append(addresses, inst.Peer)
		}
	}
	in.listedPeers.Store(&addresses)
}

// registerPeerGauges registers gauges for the traffic with peers.
func (in *Instance) registerPeerGauges() {
	gauges := map[string]func(peers.Traffic) int64{
		"Peers.SentBytes":     func(tf peers.Traffic) int64 { return tf.Sent },
		"Peers.ReceivedBytes": func(tf peers.Traffic) int64 { return tf.Received },
		"Peers.Dropped":       func(tf peers.Traffic) int64 { return tf.Dropped },
		"Peers.Dialled":       func(tf peers.Traffic) int64 { return tf.Dialled },
	}
	for name, value := range gauges {
		gauge := metrics.NewFunctionalGauge(func() int64 { return value(in.peers.Traffic()) })
		_ = in.Meter.Registry.Register(name, gauge)
	}
}

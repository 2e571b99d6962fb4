package entry

import (
	"context"
	"net/netip"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// OpenPeers opens the socket towards the other instances and returns its address, empty if there are no keys.
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
	transport, err := peers.Listen(in.opts.PeerListen, keys, in.hear)
	if err != nil {
		return "", err
	}
	in.peers = transport
	in.meterPeers()
	if addr, err := netip.ParseAddrPort(transport.Address()); err == nil && !addr.Addr().IsUnspecified() {
		in.loop.Submit(event.PeerOpened{Address: transport.Address()})
	}
	return transport.Address(), nil
}

// hear handles one message of a peer and returns the answer, nil if being heard is enough.
func (in *Instance) hear(ctx context.Context, _ string, msg wire.Message) wire.Message {
	switch msg := msg.(type) {
	case wire.ConfigNews, wire.ConfigWant:
		return in.follower.Handle(msg)
	case wire.ClaimAsk, wire.ClaimSettle:
		return in.claims.Handle(ctx, msg)
	case wire.Quarantine:
		in.hearQuarantine(msg)
	case wire.QuarantineWant:
		in.newcomers.add(msg.From)
		return in.quarantines()
	default:
		if ev, ok := wire.Event(msg); ok {
			in.loop.Submit(ev)
		}
	}
	return nil
}

// tell sends a message to one instance. What an instance tells itself comes back as an event of its own.
func (in *Instance) tell(address string, msg wire.Message) {
	if in.peers == nil || address == "" {
		return
	}
	if address == in.peers.Address() {
		// The reducer's goroutine must not wait for room in its own queue.
		in.pending.Go(func() { in.hear(context.Background(), in.opts.Name, msg) })
		return
	}
	in.peers.Tell(address, msg)
}

// tellAll tells every live peer.
func (in *Instance) tellAll(msg wire.Message) {
	if in.peers == nil {
		return
	}
	for _, address := range *in.livePeers.Load() {
		in.peers.Tell(address, msg)
	}
}

// knowPeers takes the peers from the platform's list.
func (in *Instance) knowPeers(listed event.InstancesListed) {
	var addresses []string
	for _, inst := range listed.Instances {
		if inst.Name != in.opts.Name && inst.Peer != "" {
			addresses = append(addresses, inst.Peer)
		}
	}
	in.livePeers.Store(&addresses)
}

// meterPeers shows what the peers cost.
func (in *Instance) meterPeers() {
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

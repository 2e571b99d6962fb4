package fault

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// datagramBytes is the maximum length of a datagram.
	datagramBytes = 64 << 10
	// sourceIdle is how long a source is kept after the last datagram that the target sent it.
	sourceIdle = 2 * time.Minute
)

// source is the address of a sender of datagrams, with its own socket to the target.
type source struct {
	px     *Proxy
	from   netip.AddrPort
	target *net.UDPConn
	silent atomic.Bool
}

// silence implements link.
func (sr *source) silence() {
	if !sr.silent.Swap(true) {
		sr.px.count(func(counts *Counts) { counts.Silenced++ })
	}
}

// cut implements link. UDP has no connection to close, so the source is made silent.
func (sr *source) cut() {
	sr.silence()
}

// runUDP forwards datagrams until the context ends.
func (px *Proxy) runUDP(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return px.udp.Close()
	})
	group.Go(func() error { return px.receive(ctx, group) })
	return group.Wait()
}

// receive forwards the callers' datagrams to the target.
func (px *Proxy) receive(ctx context.Context, group *errgroup.Group) error {
	sources := &sources{byAddress: map[netip.AddrPort]*source{}}
	buf := make([]byte, datagramBytes)
	for {
		count, from, err := px.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return closeError(ctx, err)
		}
		sr := sources.find(from)
		if sr == nil {
			if sr, err = px.newSource(from); err != nil {
				continue
			}
			sources.add(sr)
			group.Go(func() error {
				defer sources.remove(sr)
				sr.relayResponses(ctx)
				return nil
			})
		}
		px.forward(ctx, group, sr, buf[:count], func(datagram []byte) { _, _ = sr.target.Write(datagram) })
	}
}

// sources holds the known sources by address.
type sources struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*source
}

func (ss *sources) find(from netip.AddrPort) *source {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.byAddress[from]
}

func (ss *sources) add(sr *source) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.byAddress[sr.from] = sr
}

func (ss *sources) remove(sr *source) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.byAddress, sr.from)
}

func (px *Proxy) newSource(from netip.AddrPort) (*source, error) {
	conn, err := net.Dial("udp", px.target)
	if err != nil {
		return nil, err
	}
	sr := &source{px: px, from: from, target: conn.(*net.UDPConn)}
	px.add(sr)
	return sr, nil
}

// relayResponses forwards the target's datagrams to the source until the source is idle or the context ends.
func (sr *source) relayResponses(ctx context.Context) {
	defer sr.px.remove(sr)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = sr.target.Close() })
	defer stop()
	defer func() { _ = group.Wait() }()
	defer func() { _ = sr.target.Close() }()
	buf := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		_ = sr.target.SetReadDeadline(time.Now().Add(sourceIdle))
		count, err := sr.target.Read(buf)
		if err != nil {
			return
		}
		if sr.px.Faults().LoseAnswer {
			sr.px.count(func(counts *Counts) { counts.Dropped++ })
			continue
		}
		sr.px.forward(ctx, group, sr, buf[:count], func(datagram []byte) {
			_, _ = sr.px.udp.WriteToUDPAddrPort(datagram, sr.from)
		})
	}
}

// forward sends a datagram, immediately or after the delay, unless the source is silent or the datagram is dropped.
func (px *Proxy) forward(ctx context.Context, group *errgroup.Group, sr *source, datagram []byte, send func([]byte)) {
	fs := px.Faults()
	if sr.silent.Load() || px.drops(fs.Drop) {
		return
	}
	if fs.Delay == 0 {
		send(datagram)
		return
	}
	copied := append([]byte(nil), datagram...)
	due := time.Now().Add(fs.Delay.Std())
	group.Go(func() error {
		waitUntil(ctx, due)
		send(copied)
		return nil
	})
}

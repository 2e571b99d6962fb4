package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// Bounds of the connections between instances.
const (
	handshakeTimeout = time.Second
	// idleTimeout closes connections that carry nothing. It is longer than the time in which random probes come back
	// to the same peer in a fleet of a few hundred, so that probing does not cost a handshake each.
	idleTimeout = 10 * time.Minute
	// silenceTimeout is how long a connection may stay without any packet after something was sent. What lies between
	// two peers may have lost track of the connection, which then stays open and silent for good; a new one works.
	silenceTimeout = time.Second
	// recheckPeriod is how often connections are checked against the keys in force.
	recheckPeriod = 2 * time.Second
	// streamTime bounds the reading of one message and the writing of its answer.
	streamTime = 5 * time.Second
	// streamsPerConnection and handlers bound what peers can have under way here.
	streamsPerConnection = 64
	handlers             = 64
	// datagramLimit is what fits into a packet on any path; longer messages take a stream.
	datagramLimit = 1100
	// backlog is how many told messages wait for one peer; more are dropped.
	backlog = 128
)

// Application error codes of a closed connection.
const (
	codeStopped quic.ApplicationErrorCode = iota + 1
	codeSilent
	codeKeys
)

// QUIC implements Transport. One UDP socket dials and listens, so that the peers at both ends share a connection.
type QUIC struct {
	keys    *Keys
	handler Handler
	socket  net.PacketConn
	quic    *quic.Transport
	slots   chan struct{}

	// mu guards the links; a link's own lock may be taken under it.
	mu    sync.Mutex
	links map[string]*link
	// running guards the group and its context, counts the traffic. Links take both under their own lock, so that no other lock
	// is taken under these.
	running sync.Mutex
	group   *errgroup.Group
	ctx     context.Context
	counts  sync.Mutex
	traffic Traffic
}

// Traffic counts what the transport carried, in bytes within UDP.
type Traffic struct {
	Sent, Received int64
	// Dropped counts told messages that found no room or no connection.
	Dropped int64
	// Dialled counts the connections opened here.
	Dialled int64
}

// Listen opens the UDP socket at the address. Nothing is heard before Run.
func Listen(address string, keys *Keys, handler Handler) (*QUIC, error) {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "peers: UDP address %s cannot be used; choose a free one", address)
	}
	qu := &QUIC{
		keys:    keys,
		handler: handler,
		socket:  socket,
		slots:   make(chan struct{}, handlers),
		links:   map[string]*link{},
	}
	qu.quic = &quic.Transport{Conn: &meter{PacketConn: socket, qu: qu}}
	return qu, nil
}

// Address returns the UDP address.
func (qu *QUIC) Address() string {
	return qu.socket.LocalAddr().String()
}

// Traffic returns the counts so far.
func (qu *QUIC) Traffic() Traffic {
	qu.counts.Lock()
	defer qu.counts.Unlock()
	return qu.traffic
}

// meter counts the bytes of a socket.
type meter struct {
	net.PacketConn
	qu *QUIC
}

// SetReadBuffer lets quic-go size the buffer of the socket.
func (mt *meter) SetReadBuffer(bytes int) error {
	return mt.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer lets quic-go size the buffer of the socket.
func (mt *meter) SetWriteBuffer(bytes int) error {
	return mt.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// ReadFrom implements net.PacketConn.
func (mt *meter) ReadFrom(buf []byte) (int, net.Addr, error) {
	n, from, err := mt.PacketConn.ReadFrom(buf)
	mt.qu.counts.Lock()
	mt.qu.traffic.Received += int64(n)
	mt.qu.counts.Unlock()
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (mt *meter) WriteTo(buf []byte, to net.Addr) (int, error) {
	n, err := mt.PacketConn.WriteTo(buf, to)
	mt.qu.counts.Lock()
	mt.qu.traffic.Sent += int64(n)
	mt.qu.counts.Unlock()
	return n, err
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		MaxIncomingStreams:      streamsPerConnection,
		MaxIncomingUniStreams:   -1,
		EnableDatagrams:         true,
		DisablePathMTUDiscovery: true,
	}
}

// Run listens until the context ends, then closes all connections and the socket.
func (qu *QUIC) Run(ctx context.Context) error {
	defer func() { _ = qu.socket.Close() }()
	listener, err := qu.quic.Listen(qu.keys.serverConfig(), quicConfig())
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	qu.running.Lock()
	qu.group = group
	qu.ctx = ctx
	qu.running.Unlock()
	group.Go(func() error { return qu.accept(ctx, listener) })
	group.Go(func() error { return qu.recheck(ctx) })
	<-ctx.Done()
	qu.running.Lock()
	qu.group = nil
	qu.running.Unlock()
	qu.each(func(lk *link) { lk.close(codeStopped, "stopped") })
	_ = listener.Close()
	_ = qu.quic.Close()
	_ = group.Wait()
	return ctx.Err()
}

// spawn runs work in the transport's group and reports false if the transport does not run.
func (qu *QUIC) spawn(work func(ctx context.Context)) bool {
	qu.running.Lock()
	defer qu.running.Unlock()
	if qu.group == nil {
		return false
	}
	ctx := qu.ctx
	qu.group.Go(func() error {
		work(ctx)
		return nil
	})
	return true
}

func (qu *QUIC) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		// The peer dials from the socket on which it listens, so messages to it can go back the same way.
		qu.link(conn.RemoteAddr().String()).adopt(conn)
		qu.serve(conn)
	}
}

func (qu *QUIC) each(visit func(lk *link)) {
	qu.mu.Lock()
	links := make([]*link, 0, len(qu.links))
	for _, lk := range qu.links {
		links = append(links, lk)
	}
	qu.mu.Unlock()
	for _, lk := range links {
		visit(lk)
	}
}

// recheck closes connections whose peer would not be let in with the keys now in force, and forgets links that are
// not in use.
func (qu *QUIC) recheck(ctx context.Context) error {
	ticker := time.NewTicker(recheckPeriod)
	defer ticker.Stop()
	checked := qu.keys.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		mt := qu.keys.now()
		replaced := mt != checked
		checked = mt
		qu.each(func(lk *link) {
			if replaced {
				lk.recheck(mt)
			}
			qu.forget(lk)
		})
	}
}

func (qu *QUIC) forget(lk *link) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if lk.unused() {
		delete(qu.links, lk.address)
	}
}

func (qu *QUIC) link(address string) *link {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	lk, ok := qu.links[address]
	if !ok {
		lk = newLink(qu, address)
		qu.links[address] = lk
	}
	return lk
}

// Ask implements Transport.
func (qu *QUIC) Ask(ctx context.Context, address string, msg wire.Message) (wire.Message, error) {
	raw, err := wire.Encode(msg)
	if err != nil {
		return nil, err
	}
	answer, err := qu.link(address).exchange(ctx, raw)
	if err != nil {
		return nil, Unreachable.Wrap(err, "peers: %s gave no answer", address)
	}
	return wire.Decode(answer)
}

// Tell implements Transport. It never blocks.
func (qu *QUIC) Tell(address string, msg wire.Message) {
	raw, err := wire.Encode(msg)
	if err != nil || !qu.link(address).push(raw) {
		qu.dropped()
	}
}

func (qu *QUIC) dropped() {
	qu.counts.Lock()
	defer qu.counts.Unlock()
	qu.traffic.Dropped++
}

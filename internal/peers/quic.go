package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/ports"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Bounds of the connections between instances.
const (
	// handshakeTimeout is how long a handshake may go without progress. Dialling may take twice as long in all.
	handshakeTimeout = time.Second
	// idleTimeout is how long an unused connection stays open. It is longer than the interval between two random probes of
	// the same peer in a fleet of a few hundred instances; otherwise each probe would need a new handshake.
	idleTimeout = 10 * time.Minute
	// silenceTimeout is how long a connection may go without receiving any packet after a message was sent. The network
	// between two peers may lose the state of a connection, which then stays open but silent for good, while a new
	// connection works.
	silenceTimeout = time.Second
	// acceptPause is the pause after connections could not be accepted.
	acceptPause = 100 * time.Millisecond
	// recheckInterval is how often connections are checked against replaced keys and unused links are removed.
	recheckInterval = 2 * time.Second
	// streamTimeout bounds the reading of one message, the writing of its answer, and the sending of a queued message that
	// is longer than maxDatagram.
	streamTimeout = 5 * time.Second
	// maxStreams caps the streams that a peer can have open on one connection.
	maxStreams = 64
	// maxHandlers caps the messages that are received on streams and handled at once, over all peers.
	maxHandlers = 64
	// maxDatagram is the length in bytes that fits into one packet on any path. Longer messages are sent on a stream.
	maxDatagram = 1100
	// queueCapacity is how many messages of Send can wait for one peer. Further ones are dropped.
	queueCapacity = 128
)

// Application error codes of a closed connection.
const (
	// codeStopped means that the instance is stopping.
	codeStopped quic.ApplicationErrorCode = iota + 1
	// codeSilent means that no packet arrived within silenceTimeout.
	codeSilent
	// codeKeysReplaced means that the peer's certificate is not valid under the new keys.
	codeKeysReplaced
)

// QUIC implements Transport. It dials and listens on the same UDP socket, so that two peers can use one connection for
// both directions.
type QUIC struct {
	keys    *Keys
	handler Handler
	socket  net.PacketConn
	quic    *quic.Transport
	// handshakes bounds the handshakes that others begin.
	handshakes handshakes
	// handlerSlots holds one token per stream whose message is being handled; its capacity is maxHandlers.
	handlerSlots chan struct{}

	// mu guards links. A link's own lock may be acquired while mu is held.
	mu    sync.Mutex
	links map[string]*link
	// groupMu guards group and ctx. Links acquire it while holding their own lock, so no other lock may be acquired while
	// it is held; otherwise the two can deadlock.
	groupMu sync.Mutex
	group   *errgroup.Group
	ctx     context.Context
	// trafficMu guards traffic. As with groupMu, no other lock may be acquired while it is held.
	trafficMu sync.Mutex
	traffic   Traffic
}

// Traffic holds the counters of a transport.
type Traffic struct {
	// Sent counts the bytes of UDP payload sent.
	Sent int64
	// Received counts the bytes of UDP payload received.
	Received int64
	// Dropped counts messages of Send that could not be queued or sent.
	Dropped int64
	// Dialled counts the connections that this instance opened.
	Dialled int64
}

// Listen opens the UDP socket at the address. No message is received before Run.
func Listen(address string, keys *Keys, handler Handler) (*QUIC, error) {
	socket, err := ports.ListenDatagrams(address)
	if err != nil {
		return nil, Errors.NewType("listen").Wrap(err, "peers: UDP address %s cannot be used; choose a free one", address)
	}
	qu := &QUIC{
		keys:         keys,
		handler:      handler,
		socket:       socket,
		handlerSlots: make(chan struct{}, maxHandlers),
		links:        map[string]*link{},
	}
	qu.handshakes.known = qu.hasLink
	qu.quic = &quic.Transport{
		Conn:                &countingConn{PacketConn: socket, qu: qu},
		VerifySourceAddress: qu.handshakes.mustVerify, ConnContext: qu.handshakes.begin,
	}
	return qu, nil
}

// Address returns the local UDP address.
func (qu *QUIC) Address() string {
	return qu.socket.LocalAddr().String()
}

// Traffic returns the counters since Listen.
func (qu *QUIC) Traffic() Traffic {
	qu.trafficMu.Lock()
	defer qu.trafficMu.Unlock()
	return qu.traffic
}

// countingConn counts the bytes that a socket sends and receives.
type countingConn struct {
	net.PacketConn
	qu *QUIC
}

// SetReadBuffer lets quic-go set the size of the socket's receive buffer.
func (cc *countingConn) SetReadBuffer(bytes int) error {
	return cc.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer lets quic-go set the size of the socket's send buffer.
func (cc *countingConn) SetWriteBuffer(bytes int) error {
	return cc.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}

// ReadFrom implements net.PacketConn.
func (cc *countingConn) ReadFrom(buf []byte) (int, net.Addr, error) {
	n, from, err := cc.PacketConn.ReadFrom(buf)
	cc.qu.trafficMu.Lock()
	cc.qu.traffic.Received += int64(n)
	cc.qu.trafficMu.Unlock()
	return n, from, err
}

// WriteTo implements net.PacketConn.
func (cc *countingConn) WriteTo(buf []byte, to net.Addr) (int, error) {
	n, err := cc.PacketConn.WriteTo(buf, to)
	cc.qu.trafficMu.Lock()
	cc.qu.traffic.Sent += int64(n)
	cc.qu.trafficMu.Unlock()
	return n, err
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   -1,
		EnableDatagrams:         true,
		DisablePathMTUDiscovery: true,
	}
}

// Run accepts connections until the context ends, then closes all connections and the socket.
func (qu *QUIC) Run(ctx context.Context) error {
	defer func() { _ = qu.socket.Close() }()
	listener, err := qu.quic.Listen(qu.keys.serverConfig(), quicConfig())
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	qu.groupMu.Lock()
	qu.group = group
	qu.ctx = ctx
	qu.groupMu.Unlock()
	group.Go(tasks.GuardError("peers accept", func() error {
		// The transport cannot be opened again: nothing but the end of the context may end its parts.
		for ctx.Err() == nil {
			tasks.Guard("peers connection", func() { _ = qu.accept(ctx, listener) })()
			delay.For(ctx, acceptPause)
		}
		return ctx.Err()
	}))
	group.Go(tasks.GuardError("peers recheck", func() error { return qu.recheck(ctx) }))
	<-ctx.Done()
	qu.groupMu.Lock()
	qu.group = nil
	qu.groupMu.Unlock()
	qu.eachLink(func(lk *link) { lk.close(codeStopped, "stopped") })
	_ = listener.Close()
	_ = qu.quic.Close()
	_ = group.Wait()
	return ctx.Err()
}

// spawn runs work on a goroutine that Run waits for. It reports false if the transport does not run.
func (qu *QUIC) spawn(work func(ctx context.Context)) bool {
	qu.groupMu.Lock()
	defer qu.groupMu.Unlock()
	if qu.group == nil {
		return false
	}
	ctx := qu.ctx
	qu.group.Go(tasks.GuardError("peers stream", func() error {
		// A panic in one message must not end the others.
		tasks.Guard("peers message", func() { work(ctx) })()
		return nil
	}))
	return true
}

func (qu *QUIC) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		endHandshake(conn)
		// The peer dials from the socket that it listens on, so messages to its address can use this connection.
		qu.linkTo(conn.RemoteAddr().String()).adopt(conn)
		qu.serve(conn)
	}
}

func (qu *QUIC) eachLink(visit func(lk *link)) {
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

// recheck closes connections whose peer's certificate is not valid under replaced keys, and removes unused links.
func (qu *QUIC) recheck(ctx context.Context) error {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	checked := qu.keys.latest()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		mt := qu.keys.latest()
		replaced := mt != checked
		checked = mt
		qu.eachLink(func(lk *link) {
			if replaced {
				lk.recheck(mt)
			}
			qu.removeIfUnused(lk)
		})
	}
}

func (qu *QUIC) removeIfUnused(lk *link) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if lk.unused() {
		delete(qu.links, lk.address)
	}
}

// hasLink reports whether there is a link to the address.
func (qu *QUIC) hasLink(address string) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	_, ok := qu.links[address]
	return ok
}

// Limit makes reserve bound the memory of handshakes that others begin. It must be called before Run.
func (qu *QUIC) Limit(reserve func() (release func(), ok bool)) { qu.handshakes.reserve = reserve }

// linkTo returns the link to the address, after creating it if there is none.
func (qu *QUIC) linkTo(address string) *link {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	lk, ok := qu.links[address]
	if !ok {
		lk = newLink(qu, address)
		qu.links[address] = lk
	}
	return lk
}

// Request implements Transport.
func (qu *QUIC) Request(ctx context.Context, address string, msg wire.Message) (wire.Message, error) {
	raw, err := wire.Encode(msg)
	if err != nil {
		return nil, err
	}
	answer, err := qu.linkTo(address).exchange(ctx, raw)
	if err != nil {
		return nil, Unreachable.Wrap(err, "peers: no answer from %s; check that it runs and that UDP packets reach it", address)
	}
	return wire.Decode(answer)
}

// Send implements Transport. It never blocks: a message that cannot be queued is dropped and counted.
func (qu *QUIC) Send(address string, msg wire.Message) {
	raw, err := wire.Encode(msg)
	if err != nil || !qu.linkTo(address).enqueue(raw) {
		qu.countDropped()
	}
}

func (qu *QUIC) countDropped() {
	qu.trafficMu.Lock()
	defer qu.trafficMu.Unlock()
	qu.traffic.Dropped++
}

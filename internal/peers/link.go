package peers

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// link is what leads to one peer address: at most one connection that is used for sending, opened on demand.
type link struct {
	qu      *QUIC
	address string
	// dialling holds one token while a connection is being opened.
	dialling chan struct{}
	queue    chan []byte

	mu   sync.Mutex
	conn *quic.Conn
	// sending tells that a goroutine empties the queue; watching that one waits for a sign of life.
	sending  bool
	watching bool
}

func newLink(qu *QUIC, address string) *link {
	return &link{qu: qu, address: address, dialling: make(chan struct{}, 1), queue: make(chan []byte, backlog)}
}

// live returns the connection if it still is open.
func (lk *link) live() *quic.Conn {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.conn == nil || lk.conn.Context().Err() != nil {
		return nil
	}
	return lk.conn
}

// adopt takes a connection that the peer opened, unless one is in use already.
func (lk *link) adopt(conn *quic.Conn) {
	if lk.live() != nil {
		return
	}
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.conn = conn
}

func (lk *link) unused() bool {
	conn := lk.live()
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return conn == nil && !lk.sending && len(lk.queue) == 0 && len(lk.dialling) == 0
}

func (lk *link) close(code quic.ApplicationErrorCode, why string) {
	if conn := lk.live(); conn != nil {
		_ = conn.CloseWithError(code, why)
	}
}

func (lk *link) recheck(mt *material) {
	conn := lk.live()
	if conn == nil {
		return
	}
	if err := mt.verify(conn.ConnectionState().TLS); err != nil {
		_ = conn.CloseWithError(codeKeys, "the keys were replaced")
	}
}

// connect returns the open connection or opens one.
func (lk *link) connect(ctx context.Context) (*quic.Conn, error) {
	select {
	case lk.dialling <- struct{}{}:
		defer func() { <-lk.dialling }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := lk.live(); conn != nil {
		return conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", lk.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*handshakeTimeout)
	defer cancel()
	conn, err := lk.qu.quic.Dial(ctx, addr, lk.qu.keys.clientConfig(), quicConfig())
	if err != nil {
		return nil, err
	}
	lk.mu.Lock()
	lk.conn = conn
	lk.mu.Unlock()
	lk.qu.dialled()
	lk.qu.serve(conn)
	return conn, nil
}

func (qu *QUIC) dialled() {
	qu.counts.Lock()
	defer qu.counts.Unlock()
	qu.traffic.Dialled++
}

// exchange sends a message on a stream of its own and reads the answer.
func (lk *link) exchange(ctx context.Context, raw []byte) ([]byte, error) {
	conn, err := lk.connect(ctx)
	if err != nil {
		return nil, err
	}
	lk.watch(conn)
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	// Ends both directions, so that neither end keeps the stream after a failure.
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(raw); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readMessage(stream)
}

func readMessage(reader io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(reader, wire.MaxMessage+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > wire.MaxMessage {
		return nil, wire.Malformed.New("peers: the message has more than %d bytes", wire.MaxMessage)
	}
	return raw, nil
}

// push queues a message and sees to it that the queue is emptied. It reports whether there was room.
func (lk *link) push(raw []byte) bool {
	select {
	case lk.queue <- raw:
	default:
		return false
	}
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.sending {
		return true
	}
	lk.sending = lk.qu.spawn(lk.empty)
	return lk.sending
}

// empty sends what is queued and ends.
func (lk *link) empty(ctx context.Context) {
	for {
		select {
		case raw := <-lk.queue:
			if err := lk.send(ctx, raw); err != nil {
				lk.qu.dropped()
			}
		default:
			if lk.idle() {
				return
			}
		}
	}
}

func (lk *link) idle() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.sending = len(lk.queue) > 0
	return !lk.sending
}

func (lk *link) send(ctx context.Context, raw []byte) error {
	if len(raw) > datagramLimit {
		ctx, cancel := context.WithTimeout(ctx, streamTime)
		defer cancel()
		_, err := lk.exchange(ctx, raw)
		return err
	}
	conn, err := lk.connect(ctx)
	if err != nil {
		return err
	}
	lk.watch(conn)
	return conn.SendDatagram(raw)
}

// watch closes the connection if no packet at all comes back in silenceTimeout after a message: every packet that
// carries one is acknowledged by a peer that still has the connection.
func (lk *link) watch(conn *quic.Conn) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.watching {
		return
	}
	heard := conn.ConnectionStats().PacketsReceived
	lk.watching = lk.qu.spawn(func(ctx context.Context) {
		timer := time.NewTimer(silenceTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-conn.Context().Done():
		case <-timer.C:
			if conn.ConnectionStats().PacketsReceived == heard {
				_ = conn.CloseWithError(codeSilent, "silent")
			}
		}
		lk.mu.Lock()
		defer lk.mu.Unlock()
		lk.watching = false
	})
}

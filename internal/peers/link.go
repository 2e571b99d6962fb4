package peers

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// link exchanges messages with one peer address, over at most one connection that is opened on demand.
type link struct {
	qu      *QUIC
	address string
	// dialling holds one token while a connection is being opened.
	dialling chan struct{}
	// queue holds the encoded messages that Send has queued.
	queue chan []byte

	// mu guards the fields below.
	mu   sync.Mutex
	conn *quic.Conn
	// sending reports whether a goroutine is sending the queued messages.
	sending bool
	// watching reports whether a goroutine of watchSilence is running.
	watching bool
}

func newLink(qu *QUIC, address string) *link {
	return &link{qu: qu, address: address, dialling: make(chan struct{}, 1), queue: make(chan []byte, queueCapacity)}
}

// openConn returns the connection, nil if it is not open.
func (lk *link) openConn() *quic.Conn {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.conn == nil || lk.conn.Context().Err() != nil {
		return nil
	}
	return lk.conn
}

// adopt makes a connection that the peer opened the one that is used for sending, unless another one is open already.
func (lk *link) adopt(conn *quic.Conn) {
	if lk.openConn() != nil {
		return
	}
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.conn = conn
}

// unused reports whether the link has no open connection, nothing to send and no dial under way.
func (lk *link) unused() bool {
	conn := lk.openConn()
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return conn == nil && !lk.sending && len(lk.queue) == 0 && len(lk.dialling) == 0
}

func (lk *link) close(code quic.ApplicationErrorCode, reason string) {
	if conn := lk.openConn(); conn != nil {
		_ = conn.CloseWithError(code, reason)
	}
}

// recheck closes the connection if the peer's certificate is not valid under the new keys.
func (lk *link) recheck(mt *material) {
	conn := lk.openConn()
	if conn == nil {
		return
	}
	if err := mt.verify(conn.ConnectionState().TLS); err != nil {
		_ = conn.CloseWithError(codeKeysReplaced, "the keys were replaced")
	}
}

// connect returns the open connection, or dials the peer.
func (lk *link) connect(ctx context.Context) (*quic.Conn, error) {
	select {
	case lk.dialling <- struct{}{}:
		defer func() { <-lk.dialling }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := lk.openConn(); conn != nil {
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
	lk.qu.countDialled()
	lk.qu.serve(conn)
	return conn, nil
}

func (qu *QUIC) countDialled() {
	qu.trafficMu.Lock()
	defer qu.trafficMu.Unlock()
	qu.traffic.Dialled++
}

// exchange sends a message on a new stream and returns the answer.
func (lk *link) exchange(ctx context.Context, raw []byte) ([]byte, error) {
	conn, err := lk.connect(ctx)
	if err != nil {
		return nil, err
	}
	lk.watchSilence(conn)
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	// Both directions have to end, so that neither peer keeps the stream after a failure.
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, tasks.Guard("stream end", func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	}))
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
		return nil, wire.Malformed.New("peers: the message is longer than %d bytes", wire.MaxMessage)
	}
	return raw, nil
}

// enqueue queues a message and starts a goroutine that sends the queue, unless one is running. It reports false if the
// queue is full or the transport does not run.
func (lk *link) enqueue(raw []byte) bool {
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
	lk.sending = lk.qu.spawn(lk.sendQueued)
	return lk.sending
}

// sendQueued sends messages until the queue is empty.
func (lk *link) sendQueued(ctx context.Context) {
	for {
		select {
		case raw := <-lk.queue:
			if err := lk.send(ctx, raw); err != nil {
				lk.qu.countDropped()
			}
		default:
			if lk.stopIfEmpty() {
				return
			}
		}
	}
}

// stopIfEmpty clears sending if the queue is empty, and reports whether it did.
func (lk *link) stopIfEmpty() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.sending = len(lk.queue) > 0
	return !lk.sending
}

// send sends a message as a datagram, or on a stream if it is longer than maxDatagram.
func (lk *link) send(ctx context.Context, raw []byte) error {
	if len(raw) > maxDatagram {
		ctx, cancel := context.WithTimeout(ctx, streamTimeout)
		defer cancel()
		_, err := lk.exchange(ctx, raw)
		return err
	}
	conn, err := lk.connect(ctx)
	if err != nil {
		return err
	}
	lk.watchSilence(conn)
	return conn.SendDatagram(raw)
}

// watchSilence closes the connection if no packet at all arrives within silenceTimeout after a message was sent: a peer
// that still has the connection acknowledges every packet that carries a message.
func (lk *link) watchSilence(conn *quic.Conn) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.watching {
		return
	}
	received := conn.ConnectionStats().PacketsReceived
	lk.watching = lk.qu.spawn(func(ctx context.Context) {
		timer := time.NewTimer(silenceTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-conn.Context().Done():
		case <-timer.C:
			if conn.ConnectionStats().PacketsReceived == received {
				_ = conn.CloseWithError(codeSilent, "silent")
			}
		}
		lk.mu.Lock()
		defer lk.mu.Unlock()
		lk.watching = false
	})
}

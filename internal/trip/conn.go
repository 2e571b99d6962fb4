package trip

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/ports"
)

// maxReadAfterReset is for how long a write that has failed waits until what the other end had sent is read. It is there already, so that only a reader that waits for
// its caller takes longer.
const maxReadAfterReset = time.Second

// lastConn is the number of the connection that was opened last.
var lastConn atomic.Int64

// Dialer opens a TCP connection.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDialer returns a dialer whose connections count what is written to them, record when they are read from, and check the answers on them.
func CountingDialer(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, number: lastConn.Add(1), ended: make(chan struct{})}, nil
	}
}

// countingConn counts the bytes written, and records for its current use when the write began and when the first byte came back.
type countingConn struct {
	net.Conn
	// number identifies the connection in the log.
	number  int64
	written atomic.Int64
	// answers is the number of responses that were received on the connection.
	answers atomic.Int64
	// ended is closed when a read has failed or the connection is closed.
	ended     chan struct{}
	endedOnce sync.Once
	// mu guards the fields below.
	mu sync.Mutex
	// used reports whether the connection has been given to a request.
	used bool
	// wroteAt is when the write of the current request began, zero before that.
	wroteAt time.Time
	// readAt is when the first bytes were read after wroteAt, zero before that.
	readAt time.Time
	// readBefore reports whether bytes were read after the last response's and before wroteAt. They belong to no request.
	readBefore bool
	// writeFailed reports whether a write has failed.
	writeFailed bool
	// head checks the head of the answer to the current request.
	head headCheck
}

// Write implements net.Conn. While it lasts, all of the bytes count as written.
func (cc *countingConn) Write(raw []byte) (int, error) {
	cc.written.Add(int64(len(raw)))
	cc.mu.Lock()
	if cc.wroteAt.IsZero() {
		cc.wroteAt = time.Now()
	}
	cc.mu.Unlock()
	count, err := cc.Conn.Write(raw)
	cc.written.Add(int64(count - len(raw)))
	if err != nil {
		cc.mu.Lock()
		cc.writeFailed = true
		cc.mu.Unlock()
		cc.awaitReader(err)
	}
	return count, err
}

// awaitReader waits, if the other end has ended the connection, until all that it had sent is read or the connection is closed. net/http gives a request up once a
// write fails, although its answer may have come: an upstream that refuses a long request at once and closes the connection resets it.
func (cc *countingConn) awaitReader(err error) {
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return
	}
	timer := time.NewTimer(maxReadAfterReset)
	defer timer.Stop()
	select {
	case <-cc.ended:
	case <-timer.C:
	}
}

// Close implements net.Conn.
func (cc *countingConn) Close() error {
	cc.end()
	return cc.Conn.Close()
}

// end states that nothing more is read.
func (cc *countingConn) end() { cc.endedOnce.Do(func() { close(cc.ended) }) }

// Read implements net.Conn. It returns io.EOF only if the other end is proven to have closed the connection in order.
func (cc *countingConn) Read(buf []byte) (int, error) {
	count, err := cc.Conn.Read(buf)
	if err != nil {
		defer cc.end()
	}
	if err == io.EOF && !cc.endedInOrder() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: cc.LocalAddr(), Addr: cc.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	if count > 0 {
		cc.mu.Lock()
		defer cc.mu.Unlock()
		switch {
		case cc.wroteAt.IsZero():
			cc.readBefore = true
		case cc.readAt.IsZero():
			cc.readAt = time.Now()
		}
		if invalid := cc.head.check(buf[:count]); invalid != nil {
			return 0, invalid
		}
	}
	return count, err
}

// endedInOrder reports whether a read that found an end has proven that the other end has closed the connection in order. The kernel reports a reset to one
// call only. If that was a write, the read finds an ordinary end, and the part of an answer that has neither a length nor chunks would look whole. The state
// of the socket tells the two apart, also while the write that was told of the reset has not returned.
func (cc *countingConn) endedInOrder() bool {
	cc.mu.Lock()
	failed := cc.writeFailed
	cc.mu.Unlock()
	return !failed && isWaitingToClose(cc.Conn)
}

// isWaitingToClose reports whether the TCP connection is in the state in which its other end has closed it and this end has not. A connection whose socket
// cannot be seen proves nothing.
func isWaitingToClose(conn net.Conn) bool {
	waiting := false
	ports.Descriptor(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		waiting = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return waiting
}

// beginUse prepares the connection for the next request. It returns the number of bytes written until now.
func (cc *countingConn) beginUse() int64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.used {
		// net/http closes a kept connection on which bytes arrive between two requests, unless it is just given to the next one.
		cc.wroteAt, cc.readAt, cc.readBefore, cc.head = time.Time{}, time.Time{}, false, headCheck{line: cc.head.line[:0]}
	}
	cc.used = true
	return cc.written.Load()
}

// trace describes the current use of the connection.
func (cc *countingConn) trace() Trace {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	tr := Trace{Conn: cc.number, Answers: cc.answers.Load(), Early: cc.readBefore || cc.readAt.IsZero()}
	if !cc.readAt.IsZero() {
		tr.Waited = cc.readAt.Sub(cc.wroteAt)
	}
	return tr
}

package fault

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/ports"
)

const (
	// writtenBeforeReset is how many bytes a connection of ResetDuringWrite passes on before it waits for the reset.
	writtenBeforeReset = 16 << 10
	// lateRead is how long after a failed write a connection of WriteFailsFirst is read.
	lateRead = 20 * time.Millisecond
	// maxResetWait is how long such a connection waits for the reset, or for the other direction.
	maxResetWait = 5 * time.Second
)

// Dialer opens a connection.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// ResetDuringWrite returns a dialer for tests whose other end resets a TCP connection during a write, after it has sent something. The kernel
// reports a reset to one call only. If that is a write, a read that follows finds an ordinary end. Which of the two comes first is chance; on these
// connections it is always the write, and the write returns only after the read. A connection carries one request.
func ResetDuringWrite(dial Dialer) Dialer { return resetDialer(dial, false) }

// WriteFailsFirst returns a dialer for the same connections, on which the failed write returns at once and nothing is read until some time after it.
func WriteFailsFirst(dial Dialer) Dialer { return resetDialer(dial, true) }

func resetDialer(dial Dialer, readsLate bool) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn, failed: make(chan struct{}), ended: make(chan struct{}), readsLate: readsLate}, nil
	}
}

// resetConn is a connection of ResetDuringWrite.
type resetConn struct {
	net.Conn
	// failed is closed when a write has failed, and ended when a read has ended or the connection is closed.
	failed, ended       chan struct{}
	failOnce, endedOnce sync.Once
	// readsLate reports whether reads wait until some time after a write has failed, and writes wait for no read.
	readsLate bool
	// written is the number of bytes written. It belongs to the goroutine that writes.
	written int
	// answered reports whether bytes were read. It belongs to the goroutine that reads.
	answered bool
}

// Write implements net.Conn.
func (rc *resetConn) Write(raw []byte) (int, error) {
	if rc.written > writtenBeforeReset {
		rc.awaitReset()
	}
	count, err := rc.Conn.Write(raw)
	rc.written += count
	if err != nil {
		rc.failOnce.Do(func() { close(rc.failed) })
		if !rc.readsLate {
			awaitClosed(rc.ended)
		}
	}
	return count, err
}

// Read implements net.Conn.
func (rc *resetConn) Read(buf []byte) (int, error) {
	switch {
	case rc.readsLate:
		awaitClosed(rc.failed)
		time.Sleep(lateRead)
	case rc.answered:
		rc.awaitWrite()
	}
	count, err := rc.Conn.Read(buf)
	rc.answered = rc.answered || count > 0
	if err != nil {
		rc.endedOnce.Do(func() { close(rc.ended) })
	}
	return count, err
}

// SyscallConn implements syscall.Conn.
func (rc *resetConn) SyscallConn() (syscall.RawConn, error) {
	return rc.Conn.(syscall.Conn).SyscallConn()
}

// Close implements net.Conn.
func (rc *resetConn) Close() error {
	rc.endedOnce.Do(func() { close(rc.ended) })
	return rc.Conn.Close()
}

// awaitReset waits until the connection was reset.
func (rc *resetConn) awaitReset() {
	for until := time.Now().Add(maxResetWait); time.Now().Before(until) && !IsReset(rc.Conn); {
		time.Sleep(time.Millisecond)
	}
}

// awaitWrite waits until a write has failed, or there is something to read.
func (rc *resetConn) awaitWrite() {
	for until := time.Now().Add(maxResetWait); time.Now().Before(until) && unread(rc.Conn) == 0; {
		select {
		case <-rc.failed:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// IsReset reports whether the other end has reset the TCP connection, which is open at this end. It does not make the kernel report the reset.
func IsReset(conn net.Conn) (reset bool) {
	ports.Descriptor(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return reset
}

// unread returns the number of bytes that have arrived on the TCP connection and were not read.
func unread(conn net.Conn) (count int) {
	ports.Descriptor(conn, func(fd int) { count, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return count
}

func awaitClosed(ch <-chan struct{}) {
	select {
	case <-ch:
	case <-time.After(maxResetWait):
	}
}

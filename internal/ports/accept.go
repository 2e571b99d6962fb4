// Package ports opens the listening sockets of a process and keeps them in use when the system refuses something for a while.
package ports

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// minAcceptPause is the pause after a failed accept. It doubles up to maxAcceptPause while accepts fail.
	minAcceptPause = 5 * time.Millisecond
	// maxAcceptPause is the maximum pause. Callers that wait for longer give up, while descriptors are free again as soon as
	// another connection ends.
	maxAcceptPause = 100 * time.Millisecond
)

// Listener accepts connections until it is closed. http.Server gives up a listener on each error that it does not know to be
// temporary, such as ENOBUFS and ENOMEM, and pauses for up to a second after the others, such as EMFILE.
type Listener struct {
	net.Listener
	// report is called with each error.
	report func(err error)
	closed chan struct{}
	once   sync.Once
}

// NewListener returns a Listener that accepts from another one and reports errors.
func NewListener(from net.Listener, report func(err error)) *Listener {
	return &Listener{Listener: from, report: report, closed: make(chan struct{})}
}

// Accept implements net.Listener. It fails only when the listener is closed or its deadline has passed.
func (li *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		conn, err := li.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		li.report(err)
		select {
		case <-li.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// SetDeadline sets the time from which on Accept fails. A server that drains ends Accept by it and then takes the connections that wait.
func (li *Listener) SetDeadline(at time.Time) error {
	if limited, ok := li.Listener.(interface{ SetDeadline(at time.Time) error }); ok {
		return limited.SetDeadline(at)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn, so that a server that drains can ask whether connections wait.
func (li *Listener) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := li.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Listener.
func (li *Listener) Close() error {
	li.once.Do(func() { close(li.closed) })
	return li.Listener.Close()
}

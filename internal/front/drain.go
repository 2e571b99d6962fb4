package front

import (
	"context"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

const (
	// drainPeriod is the time between two looks at the connections that are still open.
	drainPeriod = 10 * time.Millisecond
	// partialTime is how long a draining Server waits for the next bytes of a request whose head has arrived in part.
	partialTime = time.Second
	// acceptPeriod is the time between two looks at whether further connections wait while a listener is being stopped.
	acceptPeriod = 20 * time.Millisecond
)

// Held is what a Server holds.
type Held struct {
	// Connections is the number of open connections.
	Connections int
	// Requests is the number of requests whose head was read and whose answer is not written.
	Requests int
}

// Held returns what the Server holds.
func (srv *Server) Held() Held {
	held := Held{}
	for _, cn := range srv.open() {
		held.Connections++
		cn.mu.Lock()
		if cn.request != nil {
			held.Requests++
		}
		cn.mu.Unlock()
	}
	return held
}

// Drain accepts the connections that wait and no others, closes each connection once no request is or arrives on it, and returns nil when none is
// left, or the context's error when it ends. The handler should have set Connection: close on answers for a while. Drain may be called again.
func (srv *Server) Drain(ctx context.Context) error {
	srv.stop(ctx)
	for {
		left := 0
		for _, cn := range srv.open() {
			if cn.drain() {
				left++
			}
		}
		if left == 0 {
			// What is left are connections with HTTP/2, on which http.Server loses no request.
			return srv.http.Shutdown(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		delay.For(ctx, drainPeriod)
	}
}

// drain closes the connection if nothing is there, and reports whether it is still open. One with HTTP/2 counts as closed.
func (cn *conn) drain() bool {
	cn.closeQuiet(partialTime)
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.released && !cn.http2
}

// stop accepts the connections that wait at the listeners, and closes these.
func (srv *Server) stop(ctx context.Context) {
	srv.mu.Lock()
	srv.stopped = true
	var all []*listener
	for ln := range srv.listeners {
		all = append(all, ln)
	}
	srv.mu.Unlock()
	var stops sync.WaitGroup
	for _, ln := range all {
		stops.Go(tasks.Guard("listener's end", func() { ln.stop(ctx) }))
	}
	stops.Wait()
}

// stop makes Accept end once no connection waits. The kernel resets those that wait when the listener is closed, and their requests may have arrived
// long before.
func (ln *listener) stop(ctx context.Context) {
	ln.stopping.Store(true)
	if limited, ok := ln.Listener.(interface{ SetDeadline(at time.Time) error }); !ok || limited.SetDeadline(time.Now()) != nil {
		_ = ln.Close()
	}
	select {
	case <-ln.ended:
	case <-ctx.Done():
		_ = ln.Close()
	}
}

// hasWaiting reports whether a connection waits to be accepted, and lets Accept take it. Otherwise it closes the listener.
func (ln *listener) hasWaiting() bool {
	limited, ok := ln.Listener.(interface {
		SetDeadline(at time.Time) error
		syscall.Conn
	})
	if !ok {
		return false
	}
	raw, err := limited.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		count, err := unix.Poll(polled, 0)
		waiting = err == unix.EINTR || count > 0
	})
	if err != nil || !waiting {
		_ = ln.Close()
		return false
	}
	return limited.SetDeadline(time.Now().Add(acceptPeriod)) == nil
}

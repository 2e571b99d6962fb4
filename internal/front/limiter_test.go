package front

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/memory"
)

// limited makes a world whose Limiter lets the given number of callers in.
func limited(t *testing.T, account *memory.Account, callers int) *world {
	return newWorld(t, answerOK, func(opts *Options) {
		opts.Callers, opts.Limiter = true, NewLimiter(account, int(float64(callers)/callersShare)+1)
	})
}

// hasEnded reports whether the server closes the connection.
func hasEnded(t *testing.T, conn net.Conn) bool {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.Copy(io.Discard, conn)
	return !isTimeout(err)
}

func TestConnectionsMakeRoomInTheOrderOfTheirUse(t *testing.T) {
	// Guards against connections that serve nobody and keep callers out, and against one with a request at work that is closed to make room.
	const callers = 4
	wd := limited(t, memory.New(0), callers)
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", wd.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	kept := wd.dial()
	kept.send(request)
	kept.receive()
	first := connect()
	_, err := io.WriteString(first, "GET / HT")
	assert.NilError(t, err)
	for len(wd.srv.open()) < 2 {
		time.Sleep(time.Millisecond)
	}
	// Heads that do not end are closed before kept connections, the oldest first.
	for range callers - 2 + 1 {
		_, err := io.WriteString(connect(), "GET / HT")
		assert.NilError(t, err)
	}
	assert.Assert(t, hasEnded(t, first))
	kept.send(request)
	kept.receive()
	assert.Equal(t, wd.srv.opts.Limiter.refused.Load(), int64(0))
	// A connection is counted after it was closed.
	for until := time.Now().Add(10 * time.Second); wd.srv.opts.Limiter.evicted[stageHead].Load() < 1; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	assert.Equal(t, wd.srv.opts.Limiter.evicted[stageIdle].Load(), int64(0))
}

func TestConnectionsGiveTheirMemoryBack(t *testing.T) {
	// Guards against memory that stays taken when connections have ended, in whatever way, until nobody is let in any more.
	// All of them fit, so that none is closed to make room.
	account := memory.New(1 << 30)
	wd := limited(t, account, 3*freeConnections)
	var conns []net.Conn
	for number := range 2 * freeConnections {
		conn, err := net.Dial("tcp", wd.address)
		assert.NilError(t, err)
		conns = append(conns, conn)
		head := "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20<<10)
		if number%2 == 0 {
			head += "\r\n\r\n"
		}
		_, err = io.WriteString(conn, head)
		assert.NilError(t, err)
	}
	for deadline := time.Now().Add(10 * time.Second); account.Held(memory.Connections) < freeConnections*connectionBytes; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), account.Held(memory.Connections))
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	// Connections that have taken nothing from the account may be the last to end.
	for deadline := time.Now().Add(10 * time.Second); account.Total()+int64(wd.srv.opts.Limiter.freeCount()) != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, account.Total(), int64(0))
	assert.Equal(t, wd.srv.opts.Limiter.freeCount(), 0)
}

func (lim *Limiter) freeCount() int {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.free
}

package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dandelionsail.example/dandelionsail/internal/conns"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/trip"
)

// connCause is the reason for opening a connection to a replica. It is the last part of a metric's name.
type connCause string

const (
	// causeRequired is a request that may run only once and for which no kept connection is used.
	causeRequired connCause = "Required"
	// causeNoneIdle is a request for which there was no idle connection.
	causeNoneIdle connCause = "NoneIdle"
	// causeOrder is an order, a reservation or a load query for which there was no idle connection.
	causeOrder connCause = "Order"
	// causePassedOn is a message that is passed on for another Instance and for which there was no idle connection.
	causePassedOn connCause = "PassedOn"
	// causeReplicaProbe is a probe of whether a replica is alive.
	causeReplicaProbe connCause = "ReplicaProbe"
	// causePathProbe is a probe of another replica, which shows whether the path is lost.
	causePathProbe connCause = "PathProbe"
)

// causeOf returns the cause of a connection that is opened for the message.
func causeOf(newConnection bool, msg *message) connCause {
	switch {
	case msg.forPeer:
		return causePassedOn
	case newConnection:
		return causeRequired
	case msg.to.Kind == notice.Reservation, msg.to.Kind == notice.Renewal, msg.to.Kind == notice.Release, msg.to.Kind == notice.LoadQuery, msg.to.Kind == notice.Order:
		return causeOrder
	}
	return causeNoneIdle
}

// causeKey is the context key of the cause of a connection.
type causeKey struct{}

// withCause returns a context for opening a connection for the cause.
func withCause(ctx context.Context, cause connCause) context.Context {
	return context.WithValue(ctx, causeKey{}, cause)
}

// replicaConns tracks the connections to replicas and closes those that were idle for too long. It is safe for concurrent use.
type replicaConns struct {
	// count counts an event by the name of its metric.
	count func(name string)
	// changed reports whether table has changes for the reducer.
	changed atomic.Bool
	// mu guards table and all.
	mu    sync.Mutex
	table *conns.Table
	// all holds the open connections by their entries in table.
	all map[*conns.Conn]*replicaConn
}

func newReplicaConns(count func(name string)) *replicaConns {
	return &replicaConns{count: count, table: conns.New(), all: map[*conns.Conn]*replicaConn{}}
}

// minUnused is the minimum time for which a new connection that no message has used yet is kept.
const minUnused = time.Second

// dialer returns a dialer whose connections are tracked and counted by their causes.
func (rcs *replicaConns) dialer(dial notice.Dialer) notice.Dialer {
	// net/http dials on goroutines of its own.
	return func(ctx context.Context, network, address string) (_ net.Conn, err error) {
		defer func() { tasks.Caught("dial", recover(), &err) }()
		cause, _ := ctx.Value(causeKey{}).(connCause)
		conn, err := dial(ctx, network, address)
		if err != nil {
			rcs.count("Connections.Failed." + string(cause))
			return nil, err
		}
		rcs.count("Connections.Opened." + string(cause))
		rcs.mu.Lock()
		defer rcs.mu.Unlock()
		rc := &replicaConn{Conn: conn, conns: rcs, address: address, entry: rcs.table.Opened(address, time.Now())}
		// The connection must last until the message that it is opened for is given it, also if the replica keeps no idle connections.
		left, _ := rcs.table.Expiry(rc.entry, time.Now())
		rc.timer = time.AfterFunc(max(left, minUnused), tasks.Guard("connection expiry", rc.expire))
		rcs.all[rc.entry] = rc
		rcs.changed.Store(rcs.table.HasChanges())
		return rc, nil
	}
}

// replicaConn is a connection to a replica.
type replicaConn struct {
	net.Conn
	// conns tracks the connection.
	conns *replicaConns
	// address is the replica's address.
	address string
	// entry is the connection's entry in conns.table.
	entry *conns.Conn
	// timer calls expire.
	timer *time.Timer
}

// SyscallConn implements syscall.Conn. What wraps the connection looks at its socket to tell a reset from an ordinary end.
func (rc *replicaConn) SyscallConn() (syscall.RawConn, error) {
	if sys, ok := rc.Conn.(syscall.Conn); ok {
		return sys.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Conn.
func (rc *replicaConn) Close() error {
	rc.conns.mu.Lock()
	rc.remove()
	rc.conns.mu.Unlock()
	return rc.Conn.Close()
}

// remove stops tracking the connection. A message that is given it from now on closes it and writes nothing to it, so that closing it
// breaks off no message. conns.mu is held.
func (rc *replicaConn) remove() {
	rc.timer.Stop()
	rc.conns.table.Closed(rc.entry)
	delete(rc.conns.all, rc.entry)
	rc.conns.changed.Store(rc.conns.table.HasChanges())
}

// expire closes the connection if it has been idle for too long. A request that is given it at the same moment writes nothing to it and
// gets another one.
func (rc *replicaConn) expire() {
	rc.conns.mu.Lock()
	left, idle := rc.conns.table.Expiry(rc.entry, time.Now())
	overdue := idle && left == 0
	switch {
	case overdue:
		rc.remove()
	case idle:
		rc.timer.Reset(left)
	}
	rc.conns.mu.Unlock()
	if overdue {
		rc.conns.count("Connections.Expired")
		_ = rc.Conn.Close()
	}
}

// connUse is the use of a connection by one message.
type connUse struct {
	// conns tracks the connection.
	conns *replicaConns
	// bound is how many idle connections to the replica may be kept.
	bound steer.ConnectionBound
	// proven requests a new connection or one that was just proven alive.
	proven bool
	// conn is nil before the message has a connection.
	conn *replicaConn
	// given receives conn for the sender, unless it is nil.
	given *atomic.Pointer[replicaConn]
	// number is the number that conns.Table gave to the use.
	number int
}

// hooks returns the hooks for sending the message. connected is called with whether a kept connection is used.
func (cu *connUse) hooks(connected func(reused bool)) trip.Hooks {
	return trip.Hooks{
		Connected: func(conn net.Conn, reused bool) {
			connected(reused)
			cu.begin(conn, reused)
		},
		Kept: cu.end,
	}
}

// begin records that the message was given the connection, and closes a kept one that its replica may be closing.
func (cu *connUse) begin(conn net.Conn, reused bool) {
	rc, ok := conn.(*replicaConn)
	if !ok {
		return
	}
	if cu.given != nil {
		cu.given.Store(rc)
	}
	cu.conns.mu.Lock()
	number, usable := cu.conns.table.Taken(rc.entry, time.Now(), cu.proven)
	cu.conn, cu.number = rc, number
	rc.timer.Stop()
	cu.conns.changed.Store(cu.conns.table.HasChanges())
	cu.conns.mu.Unlock()
	switch {
	case !reused:
	case usable && !closedByPeer(rc.Conn):
		cu.conns.count("Connections.Reused")
	default:
		_ = rc.Close()
	}
}

// closedByPeer reports whether the replica is known to have closed the idle connection, or to have sent something on it. net/http
// notices that in another goroutine, which may run too late: the request would be written, and it would be unknown whether it ran.
func closedByPeer(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	// Control does not wait for the goroutine of net/http that reads from the connection, as Read would.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err != unix.EAGAIN && err != unix.EINTR
	})
	return err != nil || closed
}

// answered records the timeout of idle connections in the header of the response.
func (cu *connUse) answered(header http.Header) {
	cu.conns.mu.Lock()
	defer cu.conns.mu.Unlock()
	if cu.conn != nil {
		cu.conns.table.Answered(cu.conn.entry, header)
		cu.resetTimer()
	}
}

// end records that the connection was kept after the response. If there are now more idle connections than may be kept, it closes the one
// that has been idle the longest. net/http may just have given that one to another message, which then writes nothing to it and gets
// another connection.
func (cu *connUse) end() {
	cu.conns.mu.Lock()
	if cu.conn == nil {
		cu.conns.mu.Unlock()
		return
	}
	cu.conns.table.Returned(cu.conn.entry, cu.number, time.Now())
	cu.resetTimer()
	var excess *replicaConn
	if cu.bound.Bounded {
		excess = cu.conns.all[cu.conns.table.Excess(cu.conn.address, cu.bound.MaxIdle)]
	}
	if excess != nil {
		excess.remove()
	}
	cu.conns.changed.Store(cu.conns.table.HasChanges())
	cu.conns.mu.Unlock()
	if excess != nil {
		cu.conns.count("Connections.OverPart")
		_ = excess.Conn.Close()
	}
}

// resetTimer sets the timer of the connection if it is idle. mu is held.
func (cu *connUse) resetTimer() {
	if left, idle := cu.conns.table.Expiry(cu.conn.entry, time.Now()); idle {
		cu.conn.timer.Reset(left)
	}
}

// takeChanges returns the addresses to which the first idle connection was kept, or the last one lost, since the previous call. If there
// are none, it costs one atomic read.
func (rcs *replicaConns) takeChanges() map[string]bool {
	if !rcs.changed.Load() {
		return nil
	}
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	rcs.changed.Store(false)
	return rcs.table.Changes()
}

// updateConnectionMetrics sets the gauges of the connections to replicas.
func (in *Instance) updateConnectionMetrics() {
	in.conns.mu.Lock()
	open, idle := in.conns.table.Counts()
	in.conns.mu.Unlock()
	in.gauge("Connections.Open", int64(open))
	in.gauge("Connections.Idle", int64(idle))
}

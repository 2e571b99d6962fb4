package relay

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimeout is how long a caller's keep-alive connection may stay idle if the configuration does not say.
const idleTimeout = 60 * time.Second

// callerServer serves callers. It closes their connections when these have been idle for as long as the configuration in force allows, which
// the timeout of http.Server cannot follow. A connection that is closed earlier than callers expect breaks the request that is just sent on it.
type callerServer struct {
	*http.Server
	// limit returns how long a connection may be idle.
	limit func() time.Duration
	mu    sync.Mutex
	// timers holds a timer for each idle connection.
	timers map[net.Conn]*time.Timer
}

func newCallerServer(server *http.Server, limit func() time.Duration) *callerServer {
	cs := &callerServer{Server: server, limit: limit, timers: map[net.Conn]*time.Timer{}}
	server.ConnState = cs.track
	return cs
}

// Serve serves the connections of the listener.
func (cs *callerServer) Serve(listener net.Listener) error {
	return cs.Server.Serve(callerListener{listener})
}

// track is called at each change of a connection's state, as http.Server.ConnState.
func (cs *callerServer) track(conn net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if timer, ok := cs.timers[conn]; ok {
		timer.Stop()
		delete(cs.timers, conn)
	}
	if cc, ok := conn.(*callerConn); ok && state == http.StateIdle {
		cc.beginIdle()
		cs.timers[conn] = time.AfterFunc(cs.limit(), cc.closeIdle)
	}
}

// callerListener accepts connections of callers.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (cl callerListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a connection of a caller. http.Server counts it as idle until the head of the next request is read whole, so that it could be
// closed while a request arrives and be served all the same. The caller, whose connection ends before an answer, would send the request to
// another instance as well.
type callerConn struct {
	net.Conn
	mu sync.Mutex
	// received reports whether bytes have arrived since the connection became idle.
	received bool
	// closed reports whether the connection was closed as idle. What arrives after that is not read.
	closed bool
}

// Read implements net.Conn.
func (cc *callerConn) Read(buf []byte) (int, error) {
	count, err := cc.Conn.Read(buf)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return 0, net.ErrClosed
	}
	cc.received = cc.received || count > 0
	return count, err
}

// CloseWrite closes the sending half, after which http.Server waits for the caller to read the answer.
func (cc *callerConn) CloseWrite() error {
	if half, ok := cc.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (cc *callerConn) beginIdle() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.received = false
}

// closeIdle closes the connection unless a request is arriving on it.
func (cc *callerConn) closeIdle() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.received {
		return
	}
	cc.closed = true
	_ = cc.Conn.Close()
}

// idleLimit returns how long a caller's connection may be idle.
func (in *Instance) idleLimit() time.Duration {
	if routing := in.routing.Load(); routing != nil && routing.Limits.Idle > 0 {
		return routing.Limits.Idle.Std()
	}
	return idleTimeout
}

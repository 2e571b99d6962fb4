package relay

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimeout is how long a caller's keep-alive connection may stay idle if the configuration does not say.
const idleTimeout = 60 * time.Second

// idleConns closes callers' connections that have been idle for as long as the configuration in force allows. The timeout of
// http.Server cannot follow the configuration. A connection that is closed earlier than callers expect breaks the request that
// is just sent on it.
type idleConns struct {
	// limit returns how long a connection may be idle.
	limit func() time.Duration
	mu    sync.Mutex
	// timers holds a timer for each idle connection.
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// track is called at each change of a connection's state, as http.Server.ConnState.
func (ic *idleConns) track(conn net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if timer, ok := ic.timers[conn]; ok {
		timer.Stop()
		delete(ic.timers, conn)
	}
	if state == http.StateIdle {
		ic.timers[conn] = time.AfterFunc(ic.limit(), func() { _ = conn.Close() })
	}
}

// idleLimit returns how long a caller's connection may be idle.
func (in *Instance) idleLimit() time.Duration {
	if routing := in.routing.Load(); routing != nil && routing.Limits.Idle > 0 {
		return routing.Limits.Idle.Std()
	}
	return idleTimeout
}

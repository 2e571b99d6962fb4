// Package conns tracks the connections to replicas: which of them are in use, which are idle, and until when an idle one may be used. It does no I/O and reads no clock.
package conns

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxIdle is how long a connection may be idle if its replica has stated no timeout.
	MaxIdle = 30 * time.Second
	// maxMargin is the maximum time before the end of a replica's timeout at which an idle connection is closed. It covers the
	// rounding of the timeout to whole seconds and the time that the next request takes to arrive.
	maxMargin = time.Second
	// marginShare is the share of a replica's timeout that the margin takes at most, so that short timeouts leave some time.
	marginShare = 1.0 / 3
)

// StatedTimeout returns the timeout of idle connections that the Keep-Alive header of a response states, or false if it states
// none. The value is a list of parameters such as "timeout=5, max=100".
func StatedTimeout(header http.Header) (time.Duration, bool) {
	for _, list := range header["Keep-Alive"] {
		for param := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(param, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 31)
			if err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// idleLimit returns how long a connection may be idle if the replica closes it after the timeout.
func idleLimit(timeout time.Duration) time.Duration {
	margin := min(maxMargin, time.Duration(marginShare*float64(timeout)))
	return min(timeout-margin, MaxIdle)
}

// ProvenAge is the maximum time since the end of the last response on a connection that counts as proven alive. It is short because
// the replica, or the path to it, may have failed since then without a sign.
const ProvenAge = time.Second

// Conn is one connection to a replica. It belongs to the Table that returned it.
type Conn struct {
	host *host
	// use is the number of the current or last use, 0 before the first.
	use int
	// idleSince is when the last use ended or, before the first one, when the connection was opened; zero while it is in use.
	idleSince time.Time
	// closed is set once the connection was removed from the Table.
	closed bool
}

// host is what is known of the connections to one address.
type host struct {
	address string
	// conns holds the open connections.
	conns map[*Conn]struct{}
	// idle is the number of idle connections.
	idle int
	// limit is how long a connection may be idle.
	limit time.Duration
}

// Table holds the connections to all replicas. It is not safe for concurrent use.
type Table struct {
	hosts map[string]*host
	// changed holds the addresses that have got their first idle connection (true) or lost their last one (false) since the previous call
	// of Changes.
	changed map[string]bool
	// open is the number of open connections.
	open int
	// idle is the number of idle connections.
	idle int
}

// New returns a Table without connections.
func New() *Table { return &Table{hosts: map[string]*host{}, changed: map[string]bool{}} }

// Opened adds a connection to the address. It is idle until it is taken. That may never happen, since the request that it was opened
// for may have been given another connection.
func (tbl *Table) Opened(address string, now time.Time) *Conn {
	hst, ok := tbl.hosts[address]
	if !ok {
		hst = &host{address: address, limit: MaxIdle, conns: map[*Conn]struct{}{}}
		tbl.hosts[address] = hst
	}
	tbl.open++
	conn := &Conn{host: hst}
	hst.conns[conn] = struct{}{}
	tbl.beginIdle(conn, now)
	return conn
}

// Closed removes the connection. Only the first call has an effect.
func (tbl *Table) Closed(conn *Conn) {
	if conn.closed {
		return
	}
	tbl.endIdle(conn)
	conn.closed = true
	delete(conn.host.conns, conn)
	tbl.open--
	if len(conn.host.conns) == 0 {
		delete(tbl.hosts, conn.host.address)
	}
}

// Taken begins a use of the connection and returns its number. ok reports whether the connection may be used: it is open, and was
// not idle for so long that the replica may be closing it. If proven is set, it must also have been proven alive by a response that
// ended less than ProvenAge ago, and in the first half of the time for which it may be idle.
func (tbl *Table) Taken(conn *Conn, now time.Time, proven bool) (use int, ok bool) {
	limit := conn.host.limit
	if proven {
		limit = min(limit/2, ProvenAge)
	}
	// If idleSince is zero, this use follows the last one so closely that the end of the last one has not been reported yet.
	usable := !conn.closed && limit > 0 && (conn.idleSince.IsZero() || now.Sub(conn.idleSince) < limit)
	tbl.endIdle(conn)
	conn.use++
	return conn.use, usable
}

// Returned ends the use with the given number and makes the connection idle. It has no effect if another use has begun since, because
// the end of a use may be reported after the beginning of the next one.
func (tbl *Table) Returned(conn *Conn, use int, now time.Time) {
	if conn.closed || conn.use != use || !conn.idleSince.IsZero() {
		return
	}
	tbl.beginIdle(conn, now)
}

// beginIdle marks the connection as idle since now.
func (tbl *Table) beginIdle(conn *Conn, now time.Time) {
	conn.idleSince = now
	conn.host.idle++
	tbl.idle++
	if conn.host.idle == 1 {
		tbl.markChanged(conn.host)
	}
}

// Excess returns the connection to the address that has been idle the longest if more than maxIdle are, and nil otherwise.
func (tbl *Table) Excess(address string, maxIdle int) *Conn {
	hst, ok := tbl.hosts[address]
	if !ok || hst.idle <= maxIdle {
		return nil
	}
	var oldest *Conn
	for conn := range hst.conns {
		if !conn.idleSince.IsZero() && (oldest == nil || conn.idleSince.Before(oldest.idleSince)) {
			oldest = conn
		}
	}
	return oldest
}

// endIdle marks the connection as in use. It has no effect if the connection is not idle.
func (tbl *Table) endIdle(conn *Conn) {
	if conn.idleSince.IsZero() {
		return
	}
	conn.idleSince = time.Time{}
	conn.host.idle--
	tbl.idle--
	if conn.host.idle == 0 {
		tbl.markChanged(conn.host)
	}
}

// markChanged records that an address has got its first idle connection or lost its last one. If both have happened since the previous call of
// Changes, nothing has changed.
func (tbl *Table) markChanged(hst *host) {
	if _, ok := tbl.changed[hst.address]; ok {
		delete(tbl.changed, hst.address)
		return
	}
	tbl.changed[hst.address] = hst.idle > 0
}

// Answered records the header of a response that arrived on the connection.
func (tbl *Table) Answered(conn *Conn, header http.Header) {
	if timeout, ok := StatedTimeout(header); ok {
		conn.host.limit = idleLimit(timeout)
	}
}

// Expiry returns how long the connection may still be idle, at least 0, or false if it is not idle.
func (tbl *Table) Expiry(conn *Conn, now time.Time) (time.Duration, bool) {
	if conn.closed || conn.idleSince.IsZero() {
		return 0, false
	}
	return max(0, conn.idleSince.Add(conn.host.limit).Sub(now)), true
}

// Changes returns the addresses that have got their first idle connection since the previous call, with true, and those that have lost their
// last one, with false. It returns nil if there are none.
func (tbl *Table) Changes() map[string]bool {
	if len(tbl.changed) == 0 {
		return nil
	}
	changed := tbl.changed
	tbl.changed = map[string]bool{}
	return changed
}

// HasChanges reports whether Changes would return any.
func (tbl *Table) HasChanges() bool { return len(tbl.changed) > 0 }

// Counts returns the number of open connections and of those that are idle.
func (tbl *Table) Counts() (open, idle int) { return tbl.open, tbl.idle }

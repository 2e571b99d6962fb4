// Package trip sends an HTTP request at most once. Go's HTTP client writes a request to another connection without notice if a kept
// one breaks under it and the method, or a header of the caller, says that the request may be repeated. What arrives then was
// decided by nobody and charged to no budget.
package trip

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
)

// CountingDialer returns a dialer whose connections count what is written to them.
func CountingDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. While it lasts, all of the bytes count as written.
func (cc *countingConn) Write(raw []byte) (int, error) {
	cc.written.Add(int64(len(raw)))
	count, err := cc.Conn.Write(raw)
	cc.written.Add(int64(count - len(raw)))
	return count, err
}

// Result is what became of a request.
type Result struct {
	Response *http.Response
	// Written reports whether any of the request may have left this process. It is true if there is a response.
	Written bool
	// StaleConn reports that nothing was written since the kept connection that was chosen had been closed meanwhile. The request can
	// be sent once more at no cost.
	StaleConn bool
	// Writes is the number of connections to which the request was written, as far as known. More than one is a defect.
	Writes int
}

// Hooks are functions that are called while a request is sent. Each may be nil.
type Hooks struct {
	// Connected is called before anything is written. conn is the connection that the dialer wrapped by the CountingDialer returned, and
	// reused reports whether it is a kept one. If Connected closes it, nothing is written, and a kept one counts as a StaleConn.
	Connected func(conn net.Conn, reused bool)
	// Kept is called when the connection of the last call of Connected is kept after the response. It may be called after that
	// connection was given to the next request.
	Kept func()
}

// Do sends the request over the transport, whose connections must come from a CountingDialer.
func Do(transport *http.Transport, req *http.Request, hooks Hooks) (Result, error) {
	tr := trace{connected: hooks.Connected}
	clientTrace := &httptrace.ClientTrace{GotConn: tr.gotConn}
	if hooks.Kept != nil {
		clientTrace.PutIdleConn = func(err error) {
			if err == nil {
				hooks.Kept()
			}
		}
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), clientTrace))
	preventRepeats(req)
	resp, err := transport.RoundTrip(req)
	result := tr.result()
	result.Response = resp
	if err != nil {
		return result, err
	}
	result.Written, result.StaleConn = true, false
	return result, nil
}

// preventRepeats makes the client take the request for one that cannot be sent again, as it does with a body that it cannot rewind.
func preventRepeats(req *http.Request) {
	req.GetBody = nil
	if (req.Body == nil || req.Body == http.NoBody) && looksRepeatable(req) {
		req.Body = io.NopCloser(strings.NewReader(""))
		req.ContentLength = 0
	}
}

// looksRepeatable reports whether the HTTP client repeats the request if it has no body.
func looksRepeatable(req *http.Request) bool {
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}

// trace records the connections that a request is given.
type trace struct {
	// connected is Hooks.Connected.
	connected func(conn net.Conn, reused bool)
	mu        sync.Mutex
	// conn is the latest connection, nil before the first or if it does not count.
	conn net.Conn
	// before is the count of conn when the request was given it.
	before int64
	reused bool
	// writes counts the earlier connections to which something was written.
	writes int
}

func (tr *trace) gotConn(info httptrace.GotConnInfo) {
	tr.mu.Lock()
	if tr.wroteToLatest() {
		tr.writes++
	}
	tr.conn, tr.before, tr.reused = info.Conn, 0, info.Reused
	dialed := info.Conn
	if cc, ok := info.Conn.(*countingConn); ok {
		tr.before = cc.written.Load()
		dialed = cc.Conn
	}
	tr.mu.Unlock()
	if tr.connected != nil {
		tr.connected(dialed, info.Reused)
	}
}

// wroteToLatest reports whether something may have been written to the latest connection. tr.mu is held.
func (tr *trace) wroteToLatest() bool {
	cc, ok := tr.conn.(*countingConn)
	return tr.conn != nil && (!ok || cc.written.Load() > tr.before)
}

func (tr *trace) result() Result {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	res := Result{Writes: tr.writes}
	if tr.wroteToLatest() {
		res.Writes++
	}
	res.Written = res.Writes > 0
	res.StaleConn = !res.Written && tr.conn != nil && tr.reused
	return res
}

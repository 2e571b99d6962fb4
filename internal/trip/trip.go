// Package trip sends an HTTP request at most once and checks the answer. All transports over which an instance reads answers come from NewTransport.
//
// Go's HTTP client writes a request to another connection without notice if a kept one breaks under it and the method, or a header of the caller, says that
// the request may be repeated. What arrives then was decided by nobody and charged to no budget.
package trip

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// Trace describes the connection that a request was written to last, and when the answer came.
type Trace struct {
	// Conn is the number of the connection, 0 if there was none.
	Conn int64
	// Answers is the number of responses that the connection had received before.
	Answers int64
	// Kept reports whether the connection was used before.
	Kept bool
	// Written is the number of bytes of the request that were written.
	Written int64
	// Waited is the time from the beginning of the write to the first byte that was read after it, 0 if none was.
	Waited time.Duration
	// Early reports that bytes of the response were there before the write began, or that none came after it. Such a response is not one
	// to this request.
	Early bool
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
	Trace  Trace
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
	tr.answered()
	result.Written, result.StaleConn = true, false
	if err := checkParsed(resp); err != nil {
		_ = resp.Body.Close()
		result.Response = nil
		return result, err
	}
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
		tr.before = cc.beginUse()
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
	if cc, ok := tr.conn.(*countingConn); ok {
		res.Trace = cc.trace()
		res.Trace.Kept, res.Trace.Written = tr.reused, cc.written.Load()-tr.before
	}
	return res
}

// answered counts a response of the latest connection.
func (tr *trace) answered() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if cc, ok := tr.conn.(*countingConn); ok {
		cc.answers.Add(1)
	}
}

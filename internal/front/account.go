package front

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Reason is why a request that was read whole has no whole answer.
type Reason string

// The reasons besides those that a handler gives to Request.Cut.
const (
	// EndedByCaller means that the caller closed its sending half, reset the connection, or no longer read.
	EndedByCaller Reason = "CallerLeft"
	// EndedByWriteDeadline means that the answer could not be written in time.
	EndedByWriteDeadline Reason = "WriteDeadline"
	// EndedByPanic means that the handler panicked, which is a defect.
	EndedByPanic Reason = "Panic"
	// EndedByClose means that the server was closed at the end of the grace period.
	EndedByClose Reason = "GraceExpired"
)

// IsOwnFault reports whether this process is to blame. There should never be such a loss.
func (rsn Reason) IsOwnFault() bool { return rsn == EndedByPanic || rsn == EndedByClose }

// Loss is a request that was read whole and whose caller got no whole answer.
type Loss struct {
	// Request is the ID that the caller gave to it.
	Request string
	Reason  Reason
	// Detail is what the handler knows besides the reason.
	Detail string
	// PassedOn reports whether it was sent to a replica.
	PassedOn bool
	// Written is the number of bytes of the answer that were written.
	Written int64
	// Age is the time since its head was read.
	Age time.Duration
	// Err is the first error of writing the answer, nil if there was none.
	Err error
}

// Request is the account of one request from the moment its head is read. It may be used by several goroutines.
type Request struct {
	at time.Time
	// name is the caller's ID, set when the request was read whole.
	name     atomic.Pointer[string]
	passedOn atomic.Bool
	// noBody reports whether the request has no body, so that it was read whole with its head.
	noBody bool
	// cut is why the handler ends the answer before its end, nil if it does not.
	cut      atomic.Pointer[cutOff]
	returned atomic.Bool
	panicked atomic.Bool
}

// RequestOf returns the account of the request. One that is not accounted for, such as a test's, gets an account that nobody reads.
func RequestOf(req *http.Request) *Request {
	if rq, _ := req.Context().Value(streamKey{}).(*Request); rq != nil {
		return rq
	}
	if cn, _ := req.Context().Value(connKey{}).(*conn); cn != nil {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		if cn.request != nil {
			return cn.request
		}
	}
	return &Request{}
}

func newRequest(req *http.Request) *Request {
	return &Request{at: time.Now(), noBody: req.ContentLength == 0}
}

// ReadWhole records that the request was read to its end. From then on it must be answered. name is the caller's ID of it.
func (rq *Request) ReadWhole(name string) { rq.name.Store(&name) }

// PassedOn records that the request was sent to a replica.
func (rq *Request) PassedOn() { rq.passedOn.Store(true) }

// cutOff is why a handler ends an answer before its end.
type cutOff struct {
	reason Reason
	detail string
}

// Cut records why the handler is about to end an answer before its end. The reason becomes a part of a metric's name, the detail only of the log.
func (rq *Request) Cut(reason Reason, detail string) { rq.cut.Store(&cutOff{reason, detail}) }

// beginRequest begins the account of a request.
func (cn *conn) beginRequest(req *http.Request) *Request {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.request = newRequest(req)
	cn.written, cn.writeError = 0, nil
	if cn.sendsLong {
		cn.sendsLong = false
		cn.setSendBuffer(sendBuffer)
	}
	return cn.request
}

// endRequest ends the account of the request, if there is one. The answer is written as far as it ever is.
func (cn *conn) endRequest() {
	cn.mu.Lock()
	reason, lost := cn.verdict()
	cn.mu.Unlock()
	if lost {
		cn.report(reason)
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.request = nil
}

// verdict returns why the request has no whole answer, or false if it has one or was not read whole. mu is held.
func (cn *conn) verdict() (Reason, bool) {
	rq := cn.request
	if rq == nil || rq.name.Load() == nil {
		return "", false
	}
	cut := rq.cut.Load()
	switch {
	case rq.returned.Load() && cn.writeError == nil:
		return "", false
	case rq.panicked.Load() && cut == nil && !cn.callerLeft:
		return EndedByPanic, true
	case cn.callerLeft:
		return EndedByCaller, true
	case cut != nil:
		return cut.reason, true
	case isTimeout(cn.writeError):
		return EndedByWriteDeadline, true
	}
	return EndedByCaller, true
}

// report reports the request that is being served as lost, unless it was not read whole or was reported before.
func (cn *conn) report(reason Reason) {
	cn.mu.Lock()
	rq := cn.request
	if rq == nil || rq.name.Load() == nil || rq.returned.Load() && cn.writeError == nil {
		cn.mu.Unlock()
		return
	}
	cn.request = nil
	loss := Loss{Request: *rq.name.Load(), Reason: reason, PassedOn: rq.passedOn.Load(), Written: cn.written, Age: time.Since(rq.at), Err: cn.writeError}
	cn.mu.Unlock()
	if cut := rq.cut.Load(); cut != nil {
		loss.Detail = cut.detail
	}
	if cn.srv.opts.Lost != nil {
		cn.srv.opts.Lost(loss)
	}
}

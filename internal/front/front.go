// Package front serves the connections of callers: it closes one only if no request has arrived on it, ends in a way that lets the caller read
// the answer before the end, drains without dropping a request, and reports each request that was read whole and has no whole answer.
package front

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the settings of a Server.
type Options struct {
	Handler http.Handler
	// Limiter bounds the connections. All servers of a process share it.
	Limiter *Limiter
	// Callers reports whether the connections are those of callers, and not of probes, other instances and readers of metrics.
	Callers bool
	// Refuse answers a request on a connection with HTTP/2 for which there is no memory. It has not run. If Refuse is nil, the answer is a 503.
	Refuse http.HandlerFunc
	// HeaderTimeout is the maximum time from the first byte of a request's header to its last one.
	HeaderTimeout time.Duration
	// BodyTimeout is how long a body may take to arrive if the handler sets no time of its own, 0 for a minute.
	BodyTimeout time.Duration
	ErrorLog    *log.Logger
	// IdleLimit returns how long a connection may currently be idle. It is nil if IdleTimeout says so.
	IdleLimit func() time.Duration
	// IdleTimeout is how long a connection may be idle, 0 if IdleLimit says so.
	IdleTimeout time.Duration
	// Lost is called for each request that was read whole and whose caller got no whole answer. It must not block, and may be nil.
	Lost func(Loss)
}

const (
	// maxHeader is the maximum size of a request's header in bytes.
	maxHeader = 64 << 10
	// defaultBodyTimeout is the BodyTimeout if none is set.
	defaultBodyTimeout = time.Minute
	// writeTimeout is how long an answer may take to be written if the handler sets no time of its own.
	writeTimeout = 2 * time.Minute
	// discardTime is how long the rest of a body that no handler has read is waited for.
	discardTime = time.Second
	// maxStreams is how many requests may be under way on a connection with HTTP/2.
	maxStreams = 100
	// http2Window is how many bytes of bodies a connection with HTTP/2 holds that no handler has read, and streamWindow how many of them may be of
	// one request.
	http2Window, streamWindow = 512 << 10, 256 << 10
	// maxFrame is the maximum size of a frame that is read. A connection holds one.
	maxFrame = 16 << 10
	// refusedRetryAfter is the Retry-After of a request that was refused for memory, in seconds.
	refusedRetryAfter = "1"
)

// Server serves callers by an http.Server, whose Shutdown it replaces: that drops requests that were read whole, and connections on which one
// has arrived.
type Server struct {
	opts Options
	http *http.Server
	// secure reports whether the connections carry TLS.
	secure atomic.Bool
	// closing reports whether Close was called, from which on connections end at once.
	closing atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// conns holds the connections that are not closed.
	conns map[*conn]struct{}
	// listeners holds what is being served.
	listeners map[*listener]struct{}
	// stopped reports whether no connections are accepted any more.
	stopped bool
}

// New returns a Server that serves nothing yet.
func New(opts Options) *Server {
	if opts.Limiter == nil {
		panic("front: a server needs the Limiter of its process")
	}
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = defaultBodyTimeout
	}
	if opts.Refuse == nil {
		opts.Refuse = refuse
	}
	srv := &Server{opts: opts, conns: map[*conn]struct{}{}, listeners: map[*listener]struct{}{}}
	srv.http = &http.Server{
		Handler:           http.HandlerFunc(srv.serve),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          opts.ErrorLog,
		ConnState:         track,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrame, MaxReceiveBufferPerConnection: http2Window, MaxReceiveBufferPerStream: streamWindow,
			WriteByteTimeout: writeTimeout,
		},
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connOf(nc))
		},
	}
	return srv
}

// Serve serves the connections of the listener. It returns http.ErrServerClosed after Drain or Close.
func (srv *Server) Serve(inner net.Listener) error {
	ln, err := srv.listen(inner)
	if err != nil {
		return err
	}
	defer srv.remove(ln)
	return srv.ended(srv.http.Serve(ln))
}

// ServeTLS is like Serve, over TLS.
func (srv *Server) ServeTLS(inner net.Listener, config *tls.Config) error {
	ln, err := srv.listen(inner)
	if err != nil {
		return err
	}
	defer srv.remove(ln)
	srv.http.TLSConfig = config
	srv.secure.Store(true)
	return srv.ended(srv.http.ServeTLS(ln, "", ""))
}

func (srv *Server) listen(inner net.Listener) (*listener, error) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	ln := &listener{Listener: inner, srv: srv, ended: make(chan struct{})}
	if srv.stopped {
		return nil, errors.Join(http.ErrServerClosed, inner.Close())
	}
	srv.listeners[ln] = struct{}{}
	return ln, nil
}

func (srv *Server) remove(ln *listener) {
	_ = ln.Close()
	close(ln.ended)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.listeners, ln)
}

// ended returns the error with which Serve ends.
func (srv *Server) ended(err error) error {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.stopped {
		return http.ErrServerClosed
	}
	return err
}

// Close closes the listeners and all connections at once. Requests that have no whole answer are reported.
func (srv *Server) Close() error {
	srv.closing.Store(true)
	srv.mu.Lock()
	srv.stopped = true
	srv.mu.Unlock()
	for _, cn := range srv.open() {
		cn.report(EndedByClose)
	}
	err := srv.http.Close()
	for _, cn := range srv.open() {
		_ = cn.release()
	}
	return err
}

// open returns the connections that are not closed.
func (srv *Server) open() []*conn {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	list := make([]*conn, 0, len(srv.conns))
	for cn := range srv.conns {
		list = append(list, cn)
	}
	return list
}

// connKey is the context key of a request's connection, and streamKey that of the account of a request on a connection with HTTP/2.
type (
	connKey   struct{}
	streamKey struct{}
)

// serve calls the handler and records how it ended.
func (srv *Server) serve(w http.ResponseWriter, req *http.Request) {
	cn, _ := req.Context().Value(connKey{}).(*conn)
	if cn == nil {
		srv.opts.Handler.ServeHTTP(w, req)
		return
	}
	srv.limitTimes(w, req)
	if req.ProtoMajor != 1 {
		srv.serveStream(cn, w, req)
		return
	}
	rq := cn.beginRequest(req)
	defer func() {
		// A panic goes on to net/http, which logs it and closes the connection.
		rq.panicked.Store(!rq.returned.Load())
		if rq.panicked.Load() && !req.ProtoAtLeast(1, 1) {
			// The end of the connection ends an answer of HTTP/1.0. Only a reset shows that this one is not whole.
			cn.mu.Lock()
			cn.broken = true
			cn.mu.Unlock()
		}
		if req.ContentLength != 0 && cn.hasReadDeadline() {
			// The handler has not read the whole body, and net/http waits for some of the rest.
			_ = cn.SetReadDeadline(time.Now().Add(discardTime))
		}
	}()
	srv.opts.Handler.ServeHTTP(w, req)
	rq.returned.Store(true)
}

// limitTimes bounds the times for the body and the answer of a request. The first one holds also for requests that are refused without reading the
// body: net/http reads on before it answers, and a slow sender would hold its connection for good. Handlers that read a body to its end lift it.
func (srv *Server) limitTimes(w http.ResponseWriter, req *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if req.ContentLength != 0 {
		_ = control.SetReadDeadline(time.Now().Add(srv.opts.BodyTimeout))
	}
}

// serveStream serves a request on a connection with HTTP/2, whose requests run at the same time. They are not accounted for as lost.
func (srv *Server) serveStream(cn *conn, w http.ResponseWriter, req *http.Request) {
	rq, size := newRequest(req), streamSize(req)
	switch cn.beginStream(rq, size) {
	case streamAdmitted:
		defer cn.endStream(rq, size)
		srv.opts.Handler.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), streamKey{}, rq)))
	case streamRefused:
		defer cn.refusedStreams.Add(-1)
		srv.opts.Refuse(w, req)
		// The answer is written before the request counts as ended.
		_ = http.NewResponseController(w).Flush()
	}
}

// refuse answers a request for which there is no memory. It has not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", refusedRetryAfter)
	http.Error(w, "no memory for the request now; send it again later", http.StatusServiceUnavailable)
}

// track follows the states of a connection, as http.Server.ConnState.
func track(nc net.Conn, state http.ConnState) {
	cn := connOf(nc)
	if cn == nil {
		return
	}
	if secure, ok := nc.(*tls.Conn); ok && cn.foundHTTP2(secure) {
		return
	}
	switch state {
	case http.StateActive:
		cn.beginActive()
	case http.StateIdle:
		cn.endRequest()
		cn.beginIdle()
	case http.StateClosed:
		cn.endRequest()
	}
}

// connOf returns the connection behind one that http.Server was given, nil if it is none of this package.
func connOf(nc net.Conn) *conn {
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	cn, _ := nc.(*conn)
	return cn
}

// listener accepts connections until it is stopped.
type listener struct {
	net.Listener
	srv *Server
	// stopping reports whether only what waits already is accepted.
	stopping atomic.Bool
	once     sync.Once
	// ended is closed when nothing is accepted any more.
	ended chan struct{}
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		if err == nil {
			if cn := ln.srv.add(nc); cn != nil {
				return cn, nil
			}
			continue
		}
		if !ln.stopping.Load() || !isTimeout(err) {
			return nil, err
		}
		if !ln.hasWaiting() {
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (ln *listener) Close() error {
	var err error
	ln.once.Do(func() { err = ln.Listener.Close() })
	return err
}

// add takes charge of a connection, or closes it and returns nil if there is no room for it.
func (srv *Server) add(nc net.Conn) *conn {
	cn := newConn(srv, nc)
	cn.limitKernel()
	srv.mu.Lock()
	srv.conns[cn] = struct{}{}
	srv.mu.Unlock()
	if !srv.opts.Limiter.admit(cn) {
		cn.abort()
		return nil
	}
	return cn
}

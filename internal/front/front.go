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
	// HeaderTimeout is the maximum time from the first byte of a request's header to its last one.
	HeaderTimeout time.Duration
	// MaxHeader is the maximum size of a request's header in bytes.
	MaxHeader int
	ErrorLog  *log.Logger
	// IdleLimit returns how long a connection may currently be idle. It is nil if IdleTimeout says so.
	IdleLimit func() time.Duration
	// IdleTimeout is how long a connection may be idle, 0 if IdleLimit says so.
	IdleTimeout time.Duration
	// Lost is called for each request that was read whole and whose caller got no whole answer. It must not block, and may be nil.
	Lost func(Loss)
}

// Server serves callers by an http.Server, whose Shutdown it replaces: that drops requests that were read whole, and connections on which one
// has arrived.
type Server struct {
	opts Options
	http *http.Server
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
	srv := &Server{opts: opts, conns: map[*conn]struct{}{}, listeners: map[*listener]struct{}{}}
	srv.http = &http.Server{
		Handler:           http.HandlerFunc(srv.serve),
		ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.MaxHeader,
		ErrorLog:          opts.ErrorLog,
		ConnState:         track,
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

// connKey is the context key of a request's connection.
type connKey struct{}

// serve calls the handler and records how it ended.
func (srv *Server) serve(w http.ResponseWriter, req *http.Request) {
	cn, _ := req.Context().Value(connKey{}).(*conn)
	if cn == nil || req.ProtoMajor != 1 {
		// The requests of an HTTP/2 connection run at the same time; they are not accounted for.
		srv.opts.Handler.ServeHTTP(w, req)
		return
	}
	rq := cn.beginRequest()
	defer func() {
		// A panic goes on to net/http, which logs it and closes the connection.
		rq.panicked.Store(!rq.returned.Load())
	}()
	srv.opts.Handler.ServeHTTP(w, req)
	rq.returned.Store(true)
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
			return ln.srv.add(nc), nil
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

// add takes charge of a connection.
func (srv *Server) add(nc net.Conn) *conn {
	cn := newConn(srv, nc)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.conns[cn] = struct{}{}
	return cn
}

package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// hookedConn calls hook after it has read the bytes of a later request than the first and before it returns them.
type hookedConn struct {
	net.Conn
	reads atomic.Int64
	hook  func()
}

// Read implements net.Conn.
func (hc *hookedConn) Read(buf []byte) (int, error) {
	count, err := hc.Conn.Read(buf)
	if count > 0 && hc.reads.Add(1) > 1 {
		hc.hook()
	}
	return count, err
}

func TestRequestOnAConnectionThatTheInstanceClosesIsNotServed(t *testing.T) {
	// Guards against a request that runs twice: the instance closes a connection as idle while it reads the next request from it, and serves that
	// request all the same. The caller sees the connection end before any byte of an answer, and sends the request to another instance.
	cases := map[string]func(server interface {
		Drain(ctx context.Context) error
	}){
		"idle for too long": func(interface {
			Drain(ctx context.Context) error
		}) {
		},
		"draining": func(server interface {
			Drain(ctx context.Context) error
		},
		) {
			go func() { _ = server.Drain(context.Background()) }()
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := &Instance{limiter: front.NewLimiter(memory.New(0), 10_000)}
				in.routing.Store(&decl.Routing{Limits: decl.CallerLimits{Idle: decl.Duration(time.Second)}})
				served := 0
				server := in.newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					served++
					w.WriteHeader(http.StatusNoContent)
				}), nil)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				go func() { _ = server.Serve(listener) }()
				caller, accepted := net.Pipe()
				listener.conns <- &hookedConn{Conn: accepted, hook: func() {
					end(server)
					time.Sleep(2 * time.Second)
				}}
				reader := bufio.NewReader(caller)
				answered := 0
				for range 2 {
					_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: hall.example\r\n\r\n")
					assert.NilError(t, err)
					if _, err = http.ReadResponse(reader, nil); err == nil {
						answered++
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				assert.Check(t, served == answered, "%d served, %d answered", served, answered)
				_ = server.Close()
				_ = caller.Close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

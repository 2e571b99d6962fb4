package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pl.conns:
		return conn, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error { close(pl.closed); return nil }

func (pl *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestIdleConnectionsLiveAsLongAsConfigured(t *testing.T) {
	// The configuration says how long a caller's connection may be idle, and callers reuse connections that have been idle for
	// less. One that is closed earlier breaks the request that a caller is just sending on it; one that stays open for longer
	// takes memory and a descriptor.
	cases := map[string]struct{ configured, limit time.Duration }{
		"longer than the default":  {3 * time.Minute, 3 * time.Minute},
		"shorter than the default": {10 * time.Second, 10 * time.Second},
		"not configured":           {0, idleTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := &Instance{limiter: front.NewLimiter(memory.New(0), 10_000)}
				in.routing.Store(&decl.Routing{Limits: decl.CallerLimits{Idle: decl.Duration(tc.configured)}})
				server := in.newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), nil)
				listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				ended := make(chan error, 1)
				go func() { ended <- server.Serve(listener) }()
				caller, accepted := net.Pipe()
				listener.conns <- accepted
				reader := bufio.NewReader(caller)
				for range 2 {
					_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: hall.example\r\n\r\n")
					assert.NilError(t, err)
					resp, err := http.ReadResponse(reader, nil)
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusNoContent)
					time.Sleep(tc.limit * 9 / 10)
				}
				time.Sleep(tc.limit * 2 / 10)
				_, err := reader.ReadByte()
				assert.Equal(t, err, io.EOF)
				assert.NilError(t, server.Close())
				assert.Equal(t, <-ended, http.ErrServerClosed)
			})
		})
	}
}

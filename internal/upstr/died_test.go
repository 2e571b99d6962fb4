package upstr_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

func TestDied(t *testing.T) {
	// Guards against blaming the content of a request for an engine that is still alive, and against missing a dead
	// one. After a failed attempt, the upstream counts as dead only if nothing listens any more, or if something in
	// between accepts connections and closes them. An upstream that answers or is only slow is alive.
	ending := func(conn net.Conn) { _ = conn.Close() }
	// On a busy machine the close takes a while to arrive. If the upstream were reported alive, the content would kill
	// one more upstream.
	endingLate := func(conn net.Conn) {
		time.Sleep(600 * time.Millisecond)
		_ = conn.Close()
	}
	hanging := func(net.Conn) {}
	cases := map[string]struct {
		accept func(net.Conn)
		died   bool
	}{
		"no listener":          {nil, true},
		"closes connections":   {ending, true},
		"closes after a delay": {endingLate, true},
		"never answers":        {hanging, false},
		"answers":              {func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400 \r\n\r\n")) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			if tc.accept == nil {
				_ = listener.Close()
			}
			go func() {
				if conn, err := listener.Accept(); err == nil {
					tc.accept(conn)
				}
			}()
			assert.Equal(t, upstr.New().Died(t.Context(), listener.Addr().String()), tc.died)
		})
	}
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	assert.Assert(t, !upstr.New().Died(t.Context(), server.Listener.Addr().String()))
}

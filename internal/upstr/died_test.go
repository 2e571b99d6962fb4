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
	// An attempt broke off. Its content is blamed only if the upstream's process is gone: nobody listens any more, or
	// something in between accepts connections and ends them. One that answers, or is only slow to, lives.
	ending := func(conn net.Conn) { _ = conn.Close() }
	// On a busy machine the end takes a while to come through; called alive, its content would kill one more upstream.
	endingLate := func(conn net.Conn) {
		time.Sleep(600 * time.Millisecond)
		_ = conn.Close()
	}
	hanging := func(net.Conn) {}
	cases := map[string]struct {
		accept func(net.Conn)
		died   bool
	}{
		"nobody listens":    {nil, true},
		"ends connections":  {ending, true},
		"ends them late":    {endingLate, true},
		"hangs":             {hanging, false},
		"answers as a rule": {func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 400 \r\n\r\n")) }, false},
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

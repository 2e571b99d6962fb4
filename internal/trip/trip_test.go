package trip_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/trip"
)

// closedConn behaves like a connection that its other end has closed, once closed is set.
type closedConn struct {
	net.Conn
	closed *atomic.Bool
}

func (cc closedConn) Write(raw []byte) (int, error) {
	if cc.closed.Load() {
		return 0, syscall.EPIPE
	}
	return cc.Conn.Write(raw)
}

// server counts the requests that arrive and breaks the connection instead of an answer while broken is set.
type server struct {
	*httptest.Server
	arrived atomic.Int32
	broken  atomic.Bool
	header  http.Header
	body    string
}

func newServer(t *testing.T) *server {
	srv := &server{}
	srv.Server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		srv.header, srv.body = req.Header, string(body)
		srv.arrived.Add(1)
		if srv.broken.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(srv.Close)
	return srv
}

func (srv *server) request(t *testing.T, method, body, key string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, srv.URL, reader)
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return req
}

func TestBrokenConnectionIsNotFollowedByAnotherSend(t *testing.T) {
	// A server breaks a kept connection off instead of an answer. The request must arrive once, whatever its method, body and headers
	// say about repeating it, and count as written.
	cases := map[string]struct{ method, body, key string }{
		"get":                    {"GET", "", ""},
		"head":                   {"HEAD", "", ""},
		"options":                {"OPTIONS", "", ""},
		"trace":                  {"TRACE", "", ""},
		"delete":                 {"DELETE", "", ""},
		"empty post with key":    {"POST", "", "key"},
		"post with key and body": {"POST", "body", "key"},
		"post":                   {"POST", "body", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			srv := newServer(t)
			transport := &http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			for range 3 {
				res, err := trip.Do(transport, srv.request(t, tc.method, tc.body, tc.key), trip.Hooks{})
				assert.NilError(t, err)
				assert.NilError(t, res.Response.Body.Close())
				assert.Equal(t, srv.body, tc.body)
			}
			srv.broken.Store(true)
			before := srv.arrived.Load()
			res, err := trip.Do(transport, srv.request(t, tc.method, tc.body, tc.key), trip.Hooks{})
			assert.Assert(t, err != nil)
			assert.Equal(t, srv.arrived.Load()-before, int32(1))
			assert.Assert(t, res.Written && !res.StaleConn && res.Writes == 1)
		})
	}
}

func TestKeptConnectionThatWasClosedIsStale(t *testing.T) {
	// A kept connection was closed by its other end just before it is chosen. Nothing of the request leaves, so that it may be sent
	// again without being a repeat.
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			srv := newServer(t)
			var closed atomic.Bool
			transport := &http.Transport{DialContext: trip.CountingDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return closedConn{conn, &closed}, err
			})}
			defer transport.CloseIdleConnections()
			res, err := trip.Do(transport, srv.request(t, method, "body", ""), trip.Hooks{})
			assert.NilError(t, err)
			assert.NilError(t, res.Response.Body.Close())
			closed.Store(true)
			res, err = trip.Do(transport, srv.request(t, method, "body", ""), trip.Hooks{})
			assert.Assert(t, err != nil)
			assert.Assert(t, !res.Written && res.StaleConn)
			closed.Store(false)
			_, err = trip.Do(transport, srv.request(t, method, "body", ""), trip.Hooks{})
			assert.NilError(t, err)
			assert.Equal(t, srv.arrived.Load(), int32(2))
		})
	}
}

func TestRefusedConnectionWritesNothing(t *testing.T) {
	srv := newServer(t)
	req := srv.request(t, "GET", "", "")
	srv.Close()
	res, err := trip.Do(&http.Transport{DialContext: trip.CountingDialer((&net.Dialer{}).DialContext)}, req, trip.Hooks{})
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, res, trip.Result{})
}

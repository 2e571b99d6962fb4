package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// anyRequest is a Protocol that reads only the ID of a request.
type anyRequest struct{ Protocol }

// ParseRequest implements Protocol.
func (anyRequest) ParseRequest(req *http.Request) RequestInfo {
	return RequestInfo{Name: req.Header.Get("X-Request-Id")}
}

// newFront returns an Instance with one public route to a service without replicas, and the address at which it serves callers.
func newFront(t *testing.T) (in *Instance, address string) {
	in = New(Options{Name: "one", FailureDomain: "a", Seed: 1, MaxBody: 1 << 20}, nil, anyRequest{}, &log.Logger{Level: log.PanicLevel}, func() int64 { return 0 })
	route := decl.Route{
		Name: "plain", Host: "hall.example", Prefix: "/", Shares: []decl.Share{{Service: "board", Weight: 1}}, Public: true, Attempts: 1,
		Timeout: decl.Duration(time.Second), Goal: decl.Duration(time.Second),
	}
	in.install(&decl.Routing{Version: 1, Routes: []decl.Route{route}, Services: map[string]decl.Pool{"board": {}}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := in.newCallerServer(http.HandlerFunc(in.serve), nil)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return in, listener.Addr().String()
}

func TestBrokenBodyIsNoSuccess(t *testing.T) {
	// Guards against a success that no replica gave: the body of a request breaks off, the handler returns without an answer, and net/http
	// completes it as 200 with an empty body. A caller that has closed only its sending half, or has sent a malformed chunk, reads that.
	cases := map[string]struct {
		head, body string
		halfClosed bool
	}{
		"sending half closed, length":   {"Content-Length: 10\r\n", "abc", true},
		"sending half closed, no body":  {"Content-Length: 10\r\n", "", true},
		"sending half closed, chunks":   {"Transfer-Encoding: chunked\r\n", "5\r\nab", true},
		"sending half closed, no end":   {"Transfer-Encoding: chunked\r\n", "2\r\nab\r\n", true},
		"length of a chunk malformed":   {"Transfer-Encoding: chunked\r\n", "x\r\nab\r\n", false},
		"end of a chunk malformed":      {"Transfer-Encoding: chunked\r\n", "2\r\nabcdef\r\n", false},
		"chunk longer than it may be":   {"Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nab\r\n", false},
		"malformed chunk, more follows": {"Transfer-Encoding: chunked\r\n", "x\r\nab\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: hall.example\r\n\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := newFront(t)
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: one\r\n"+tc.head+"\r\n"+tc.body)
			assert.NilError(t, err)
			if tc.halfClosed {
				assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			}
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			assert.Check(t, resp.Close)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}

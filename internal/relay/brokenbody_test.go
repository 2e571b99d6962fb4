package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

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
			_, address := newFront(t, nil)
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

package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCallerThatClosesItsSendingHalfReadsNoFalseSuccess(t *testing.T) {
	// Guards against a success that no replica gave: a caller closes its sending half while its request runs, and counts as gone. The handler returns
	// without an answer, and net/http completes it as an empty 200, or the part of a stream that was sent as a whole one.
	cases := map[string]struct {
		path  string
		begun string
	}{
		"before the answer":     {"/update", ""},
		"before the stream":     {"/stream/one", ""},
		"in the middle of one":  {"/stream/one", "id: 1\ndata: a\n\n"},
		"in the middle, length": {"/stream/one?length", "id: 1\ndata: a\n\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			_, address := newFront(t, func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				w.Header().Set("X-Request-Id", "one")
				if req.URL.RawQuery != "" {
					w.Header().Set("Content-Length", "100")
				}
				if tc.begun != "" {
					_, _ = io.WriteString(w, tc.begun)
					_ = http.NewResponseController(w).Flush()
				}
				close(arrived)
				<-req.Context().Done()
			})
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST "+tc.path+" HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: one\r\nContent-Length: 1\r\n\r\nx")
			assert.NilError(t, err)
			<-arrived
			reader := bufio.NewReader(conn)
			if tc.begun != "" {
				_, err = reader.Peek(1)
				assert.NilError(t, err)
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			if tc.begun == "" {
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				return
			}
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, err, io.ErrUnexpectedEOF)
		})
	}
}

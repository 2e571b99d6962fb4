package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// post returns the head and the body of a request.
func post(path, header, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: hall.example\r\nAuthorization: Bearer %s\r\n%s\r\n%s", path, token, header, body)
}

// withLength returns a whole request.
func withLength(path, body string) string {
	return post(path, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

func TestCallerThatClosesItsSendingHalfReadsNoFalseSuccess(t *testing.T) {
	// Guards against a success that no upstream gave: a caller closes its sending half while its request runs, and counts as gone. The handler ends
	// without an error, so that the part of the answer that there is, or an empty one, looks whole.
	cases := map[string]struct {
		request string
		tokens  int
		status  int
	}{
		"plain service":       {withLength("/board/next", "x"), 0, http.StatusBadGateway},
		"whole answer":        {withLength("/v1/completions", `{"model":"lyric","prompt":"p"}`), 3, http.StatusBadGateway},
		"stream not begun":    {withLength("/v1/completions", `{"model":"lyric","prompt":"p","stream":true}`), 0, http.StatusBadGateway},
		"stream has begun":    {withLength("/v1/completions", `{"model":"lyric","prompt":"p","stream":true}`), 3, http.StatusOK},
		"body is not sent":    {post("/board/next", "Content-Length: 5\r\n", "x"), 0, http.StatusBadRequest},
		"a chunk is not sent": {post("/v1/completions", "Transfer-Encoding: chunked\r\n", "5\r\nab"), 0, http.StatusBadRequest},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{}, 10)
			upstream := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				arrived <- struct{}{}
				stuckUpstream(tc.tokens).ServeHTTP(w, req)
			})
			rg := newRig(t, rigOptions{Models: []http.Handler{upstream}, Plain: []http.Handler{upstream}, Progress: time.Hour})
			conn, err := net.Dial("tcp", rg.address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, tc.request)
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			if tc.status != http.StatusBadRequest {
				<-arrived
			}
			if tc.status == http.StatusOK {
				_, err = reader.Peek(1)
				assert.NilError(t, err)
			}
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			body, _ := io.ReadAll(resp.Body)
			if tc.status == http.StatusOK {
				assert.Assert(t, strings.Contains(string(body), "event: error"), string(body))
				return
			}
			assert.Check(t, resp.Close || tc.status != http.StatusBadRequest)
		})
	}
}

func TestRequestsThatRunAtTheEndOfTheDrainAreAnswered(t *testing.T) {
	// Guards against a request that ends without an answer although it may have run: its upstream is at work when the drain time is over, and the
	// connections are closed.
	arrived, release := make(chan struct{}), make(chan struct{})
	upstream := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(arrived)
		<-release
	})
	rg := newRig(t, rigOptions{Plain: []http.Handler{upstream}, Progress: time.Hour, DrainTime: 2 * time.Second})
	t.Cleanup(func() { close(release) })
	conn, err := net.Dial("tcp", rg.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, withLength("/board/next", "x"))
	assert.NilError(t, err)
	<-arrived
	rg.stop()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

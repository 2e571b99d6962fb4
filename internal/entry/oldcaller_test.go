package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBrokenAnswerToAnOldCallerIsReset(t *testing.T) {
	// A plain service breaks off its answer. An answer to a caller with HTTP/1.0 has no chunks and ends with the connection, so that only a reset shows the caller
	// that it is incomplete.
	broken := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(w, "part of an")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	rg := newRig(t, rigOptions{Plain: []http.Handler{broken}})
	conn, err := net.Dial("tcp", rg.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /board/1 HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", token)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		assert.Equal(t, resp.StatusCode, 200)
		_, err = io.ReadAll(resp.Body)
	}
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

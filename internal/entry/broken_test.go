package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/fault"
)

// rawUpstream answers each call with the text that is set before it reads the body, and resets the connection. REQUEST in the text stands for the call's ID.
type rawUpstream struct{ text atomic.Pointer[string] }

func (ru *rawUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodOptions {
		// A probe of whether the upstream lives.
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(*ru.text.Load(), "REQUEST", req.Header.Get("X-Request-Id")))
	time.Sleep(10 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func TestPartOfAnAnswerToAResetUploadIsNoAnswer(t *testing.T) {
	// A plain service answers while a long call is still being written to it. Its answer has neither a length nor chunks, and it resets the connection after a
	// part. The write takes notice of the reset, so that the read finds an ordinary end. The caller must not get the part as a whole answer.
	t.Parallel()
	for name, text := range map[string]string{
		"part": "HTTP/1.1 200 OK\r\n\r\npart of an", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\npart of an", "nothing but a head": "HTTP/1.1 200 OK\r\n\r\n",
		"an error": "HTTP/1.1 500 Error\r\nX-Mark: m\r\n\r\npart of an",
	} {
		t.Run(name, func(t *testing.T) {
			ru := &rawUpstream{}
			ru.text.Store(&text)
			rg := newRig(t, rigOptions{Plain: []http.Handler{ru}, Dial: fault.ResetDuringWrite((&net.Dialer{}).DialContext)})
			resp, err := rg.caller.Do(t.Context(), http.MethodPost, "/board/1", []byte(strings.Repeat("x", 500_000)), nil)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			// An answer of the instance itself says what is known of the call.
			assert.Assert(t, err != nil || resp.StatusCode >= 500 && resp.Header.Get("X-Mark") == "", "%s", body)
		})
	}
}

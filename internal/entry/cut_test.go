package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutUpstream answers each call with the text that is set, and ends the connection by a close or a reset.
type cutUpstream struct {
	text  atomic.Pointer[string]
	reset atomic.Bool
}

func (cu *cutUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, strings.ReplaceAll(*cu.text.Load(), "REQUEST", req.Header.Get("X-Request-Id")))
	if tcp, ok := conn.(*net.TCPConn); ok && cu.reset.Load() {
		time.Sleep(time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

func TestCutAnswersOfUpstreams(t *testing.T) {
	// An upstream ends its connection in the head or the body of its answer, or sends a head that is none. The caller must get the whole answer, or a
	// failure that is not framed as a whole success. An answer without a length that is cut cleanly cannot be told from a whole one, so none is here.
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Mark: m\r\n"
	wholes := map[string]string{
		"length":   head + "Content-Length: 12\r\n\r\nwhole answer",
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n",
		"trailers": head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\nwhole answer\r\n0\r\nX-T: 1\r\n\r\n",
	}
	malformed := map[string]string{
		"two lengths": head + "Content-Length: 12\r\nContent-Length: 5\r\n\r\nwhole answer", "negative length": head + "Content-Length: -1\r\n\r\nwhole answer",
		"huge length": head + "Content-Length: 99999999999999999999\r\n\r\nwhole answer", "space before the colon": head + "Content-Length : 12\r\n\r\nwhole",
		"no colon": head + "Nothing\r\n\r\nwhole answer", "control byte": head + "X-Bad: a\x01\r\nContent-Length: 12\r\n\r\nwhole answer", "long head": head + "X-Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 12\r\n\r\nwhole answer",
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		malformed["status "+status] = strings.Replace(head, "200", status, 1) + "Content-Length: 12\r\n\r\nwhole answer"
	}
	for name, text := range wholes {
		for cut := range len(text) {
			if cut%7 == 0 || cut > len(text)-8 {
				malformed[fmt.Sprint(name, ", cut after ", cut)] = text[:cut]
			}
		}
	}
	cu := &cutUpstream{}
	// The rig asks for the load before the first case.
	cu.text.Store(new(string))
	rg := newRig(t, rigOptions{Plain: []http.Handler{cu}, Models: []http.Handler{cu}})
	ask := func(path, text string, reset bool) (int, string, error) {
		cu.text.Store(&text)
		cu.reset.Store(reset)
		resp, err := rg.caller.Do(t.Context(), http.MethodPost, path, []byte(`{"model":"lyric","prompt":"p","max_tokens":3}`), http.Header{"X-Request-Deadline": {"300ms"}})
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), err
	}
	tried := 0
	for name, text := range malformed {
		for _, path := range []string{"/board/1", "/v1/completions"} {
			status, body, err := ask(path, text, len(text)%2 == 0)
			if status == 503 || status == 504 {
				// The upstream is avoided after failures.
				continue
			}
			tried++
			assert.Assert(t, err != nil || status >= 400, "%s, %s: %d %q", path, name, status, body)
		}
	}
	assert.Assert(t, tried > 10, tried)
	for until := time.Now().Add(20 * time.Second); ; {
		status, body, err := ask("/board/1", wholes["chunks"], false)
		if err == nil && status == 200 {
			assert.Equal(t, body, "whole answer")
			break
		}
		assert.Assert(t, time.Now().Before(until), "%d %q %v", status, body, err)
	}
	rg.waitEmpty()
}

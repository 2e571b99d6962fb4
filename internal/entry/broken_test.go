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

	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/upstr"
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

func TestAnswerWithAChunkThatIsNoneMissesNothing(t *testing.T) {
	// An engine sends a chunk that cannot be added to an answer for a caller without a stream. The attempt that follows must ask for that chunk again: an answer
	// without it would look whole.
	var calls atomic.Int64
	engine := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/v1/completions" {
			return
		}
		id, from := req.Header.Get("X-Request-Id"), 0
		_, _ = fmt.Sscan(req.Header.Get(upstr.HeaderOffset), &from)
		for offset := from; offset < 3; offset++ {
			data := fmt.Sprintf(`{"choices":[{"text":"%d"}]}`, offset)
			if offset == 1 && calls.Add(1) == 1 {
				data = "no JSON"
			}
			_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", id, offset, data)
		}
		_, _ = fmt.Fprintf(w, "id: %s/3\ndata: [DONE]\n\n", id)
	})
	rg := newRig(t, rigOptions{Models: []http.Handler{engine, engine}})
	rg.waitRetryBudget()
	resp, err := rg.caller.Do(t.Context(), http.MethodPost, "/v1/completions", []byte(`{"model":"lyric","prompt":"p","max_tokens":3}`), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode != http.StatusOK || strings.Contains(string(body), `"text":"012"`), "%d %s", resp.StatusCode, body)
	assert.Assert(t, calls.Load() > 0)
}

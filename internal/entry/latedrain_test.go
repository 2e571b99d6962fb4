package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/entry"
)

// drip sends a call to the plain service, or a completions request, whose last byte is sent at the given time, and returns the status of its whole answer and what that states about the run.
func (rg *rig) drip(conn net.Conn, path, body string, at time.Time) (status int, state string, err error) {
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Request-Deadline: 20s\r\nContent-Length: %d\r\n\r\n%s", path, token, len(body), body[:len(body)-1])
	if err != nil {
		return 0, "", err
	}
	time.Sleep(time.Until(at))
	if _, err := io.WriteString(conn, body[len(body)-1:]); err != nil {
		return 0, "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(entry.HeaderRunState), err
}

func TestRequestsLateInADrainAreAnswered(t *testing.T) {
	// An instance shuts down. Requests arrive before and during its drain time, also through another instance, and their upstreams need longer than is left. Each
	// request that was read whole must be answered: one that was passed on, with an unknown outcome; a later one at once, as not run.
	const drainTime = 2 * time.Second
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprint("forwarded ", forwarded), func(t *testing.T) {
			var arrived atomic.Int64
			leave := make(chan struct{})
			slow := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
				if req.Method != http.MethodPost {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				arrived.Add(1)
				select {
				case <-leave:
				case <-req.Context().Done():
				}
			})
			rg := newRig(t, rigOptions{Plain: []http.Handler{slow}, Models: []http.Handler{slow}, DrainTime: drainTime, BodyTimeout: 10 * time.Second})
			t.Cleanup(func() { close(leave) })
			if forwarded {
				ln := &cutLinks{}
				rg = rg.startSecondWith(ln, drainTime, 10*time.Second)
				ln.cutOff()
				// The loss of the paths is known once requests come back from the other instance.
				await(t, func() bool {
					conn, err := net.Dial("tcp", rg.address)
					assert.NilError(t, err)
					defer func() { _ = conn.Close() }()
					before := arrived.Load()
					go func() { _, _, _ = rg.drip(conn, "/board/1", "x", time.Now()) }()
					time.Sleep(50 * time.Millisecond)
					return arrived.Load() > before
				})
			}
			before := arrived.Load()
			type outcome struct {
				after  time.Duration
				path   string
				status int
				state  string
				err    error
			}
			var outcomes []*outcome
			drainAt := time.Now().Add(100 * time.Millisecond)
			var sending sync.WaitGroup
			for _, path := range []string{"/board/1", "/v1/completions"} {
				for _, after := range []time.Duration{-80, 200, 500, 1000, 1400} {
					out := &outcome{after: after * time.Millisecond, path: path}
					outcomes = append(outcomes, out)
					conn, err := net.Dial("tcp", rg.address)
					assert.NilError(t, err)
					defer func() { _ = conn.Close() }()
					sending.Go(func() {
						out.status, out.state, out.err = rg.drip(conn, path, `{"model":"lyric","prompt":"p","max_tokens":3,"stream":true}`, drainAt.Add(out.after))
					})
				}
			}
			time.Sleep(time.Until(drainAt))
			rg.stop()
			sending.Wait()
			for _, out := range outcomes {
				what := fmt.Sprintf("%+v", out)
				assert.Check(t, out.err == nil, what)
				if out.after > 0 {
					assert.Check(t, out.status == http.StatusServiceUnavailable && out.state == string(effect.NotRun), what)
				}
			}
			assert.Check(t, arrived.Load()-before <= 2, "%d arrived", arrived.Load()-before)
		})
	}
}

// await waits until the condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !holds(); {
		assert.Assert(t, time.Now().Before(until))
	}
}

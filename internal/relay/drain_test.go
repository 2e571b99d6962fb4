package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// postTo sends a request over a new connection and returns its answer and its body.
func postTo(t *testing.T, address, header string) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /update HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: one\r\nContent-Length: 1\r\n"+header+"\r\nx")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

func TestLateRequestsOfADrainAreRefusedRatherThanCut(t *testing.T) {
	// Guards against a request that is begun late in the drain and cut at its end, after it may have run: it is refused before it is sent to a
	// replica, unless its deadline comes before attempts are aborted.
	now := time.Now()
	early := &drainPlan{Stop: cutoff.Stop{TakeUntil: now.Add(time.Hour), AbortAt: now.Add(2 * time.Hour)}}
	late := &drainPlan{Stop: cutoff.Stop{TakeUntil: now, AbortAt: now.Add(4 * time.Second)}}
	cases := map[string]struct {
		plan    *drainPlan
		header  string
		status  int
		arrives int64
		closes  bool
	}{
		"not draining":                {nil, "", 200, 1, false},
		"early":                       {early, "", 200, 1, true},
		"late, may run to the end":    {late, "", 503, 0, true},
		"late, deadline comes before": {late, "Timeout: 3s\r\n", 200, 1, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			in, address := newFront(t, func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				w.Header().Set("X-Request-Id", "one")
				_, _ = io.WriteString(w, "ok")
			})
			in.draining.Store(tc.plan)
			resp, _ := postTo(t, address, tc.header)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, arrived.Load(), tc.arrives)
			assert.Equal(t, resp.Close, tc.closes)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == 503)
		})
	}
}

func TestAttemptsAreAbortedInTheLastSixthOfTheGrace(t *testing.T) {
	// Guards against a request that is cut before the time that its caller is promised, and against a process that is killed before it has answered.
	now := time.Now()
	for _, grace := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			plan := newDrainPlan(now, grace, false)
			assert.Check(t, plan.AbortAt.Sub(now) >= grace*5/6, plan.AbortAt.Sub(now))
			assert.Check(t, plan.AbortAt.Before(plan.endAt))
			assert.Check(t, plan.endAt.Add(plan.answerTime).Before(now.Add(grace)))
		})
	}
}

func TestAnswerOfARouteThatChangesMeanwhile(t *testing.T) {
	// Guards against a request that is cut because a new configuration changes its route while it runs.
	route := func(change func(route *decl.Route)) []decl.Route {
		rt := decl.Route{
			Name: "plain", Host: "hall.example", Prefix: "/", Shares: []decl.Share{{Service: "board", Weight: 1}}, Public: true, Attempts: 1,
			Timeout: decl.Duration(5 * time.Second), Goal: decl.Duration(time.Second),
		}
		change(&rt)
		return []decl.Route{rt}
	}
	cases := map[string][]decl.Route{
		"removed":         nil,
		"another service": route(func(rt *decl.Route) { rt.Shares[0].Service = "hall" }),
		"shorter timeout": route(func(rt *decl.Route) { rt.Timeout = decl.Duration(time.Millisecond) }),
		"a stream now":    route(func(rt *decl.Route) { rt.Stream = true }),
		"not public now":  route(func(rt *decl.Route) { rt.Public = false }),
	}
	for name, routes := range cases {
		t.Run(name, func(t *testing.T) {
			var in *Instance
			entered, leave := make(chan struct{}), make(chan struct{})
			in, address := newFront(t, func(w http.ResponseWriter, _ *http.Request) {
				close(entered)
				<-leave
				w.Header().Set("X-Request-Id", "one")
				_, _ = io.WriteString(w, "ok")
			})
			go func() {
				<-entered
				in.install(&decl.Routing{Version: 2, Routes: routes, Services: map[string]decl.Pool{"hall": {}}, Limits: decl.CallerLimits{Idle: decl.Duration(time.Millisecond)}})
				close(leave)
			}()
			resp, body := postTo(t, address, "")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, "ok")
		})
	}
}

// counter returns the value of a counter.
func (in *Instance) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, in.registry).Count()
}

func TestLossesAreCounted(t *testing.T) {
	// Guards against a request without a whole answer that leaves no trace. A stream whose replica breaks off midway is cut, and counted with the reason.
	in, address := newFront(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("X-Request-Id", "one")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /stream/one HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: one\r\nContent-Length: 1\r\n\r\nx")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	for in.counter("Lost.UpstreamFailed") == 0 {
		time.Sleep(time.Millisecond)
	}
	in.recordLoss(front.Loss{Request: "two", Reason: front.EndedByClose})
	assert.Equal(t, in.counter("Lost.Own.GraceExpired"), int64(1))
}

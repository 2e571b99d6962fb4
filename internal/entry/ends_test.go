package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/stand"
)

// engine returns a simulated model engine. The rig runs it.
func engine(step time.Duration) *stand.Engine {
	opts := stand.DefaultEngineOptions()
	opts.Step = step
	opts.MaxBatch = 256
	return stand.NewEngine(opts)
}

// proxied returns a function that starts a fault-injecting proxy in front of an address until the test ends.
func proxied(t *testing.T, proxies *[]*fault.Proxy) func(string) string {
	return func(address string) string {
		px, err := fault.New("tcp", "127.0.0.1:0", address)
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- px.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-ended
		})
		*proxies = append(*proxies, px)
		return px.Address
	}
}

func TestSilentStreamsResume(t *testing.T) {
	// Guards against streams that hang until their deadline when connections go silent without an error, as when something
	// between the two ends loses their state. Here all connections to the engines go silent while callers stream. The
	// instance must detect the silence and resume the streams over new connections, so that each caller gets its complete
	// answer, and ask the engines to free the requests of the silent connections.
	var proxies []*fault.Proxy
	one, two := engine(5*time.Millisecond), engine(5*time.Millisecond)
	rg := newRig(t, rigOptions{
		Engines: []*stand.Engine{one, two}, Progress: 200 * time.Millisecond, Via: proxied(t, &proxies),
	})
	const streams = 60
	results := make(chan load.Result, streams)
	for number := range streams {
		go func() { results <- rg.caller.Complete(t.Context(), "lyric", load.Prompt(50, uint64(number)), 100) }()
	}
	for proxies[0].Counts().Open+proxies[1].Counts().Open < streams/2 {
		time.Sleep(time.Millisecond)
	}
	for _, px := range proxies {
		px.Silence()
	}
	for range streams {
		res := <-results
		assert.Equal(t, res.Outcome, load.OutcomeWhole, res.Detail)
	}
	assert.Assert(t, proxies[0].Counts().Silenced+proxies[1].Counts().Silenced > 0)
}

func TestCancelledRequestsLeaveNothing(t *testing.T) {
	// Guards against leaks when callers disconnect: while their request is queued, connects, prefills, or between tokens.
	// The engine must free each request at once, and no engine memory, map entry or goroutine may remain.
	const requests, atOnce = 10_000, 100
	en := engine(time.Millisecond)
	rg := newRig(t, rigOptions{Engines: []*stand.Engine{en}, Plain: []http.Handler{stand.NewService(5 * time.Millisecond).Handler()}})
	var group sync.WaitGroup
	for worker := range atOnce {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for number := range requests / atOnce {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(40))*time.Millisecond)
				if number%4 == 0 {
					header := http.Header{"Idempotency-Key": {fmt.Sprint(worker, ".", number)}}
					if resp, err := rg.caller.Do(ctx, http.MethodPost, "/board/next", []byte("{}"), header); err == nil {
						_ = resp.Body.Close()
					}
				} else {
					rg.caller.Complete(ctx, "lyric", load.Prompt(2000, uint64(worker*1000+number)), 100)
				}
				cancel()
			}
		})
	}
	group.Wait()
	rg.waitEmpty()
	for en.UsedTokens() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// stuckUpstream returns an upstream that sends the given number of tokens and then nothing until the request is cancelled.
func stuckUpstream(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		for token := range tokens {
			_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"choices\":[]}\n\n", req.Header.Get("X-Request-Id"), token)
			_ = http.NewResponseController(w).Flush()
		}
		<-req.Context().Done()
	})
}

func TestDeadlineInEveryStage(t *testing.T) {
	// Guards against callers that wait beyond their deadline or get a wrong statement about whether the request ran, at
	// whatever stage the upstream stops. The services' ProgressTimeout is longer than the test, so that only the deadline
	// can end these requests.
	cases := map[string]struct {
		models []http.Handler
		plain  []http.Handler
		path   string
		status int
		ran    effect.RunState
	}{
		"no first token":      {models: []http.Handler{stuckUpstream(0)}, path: "/v1/completions", status: 504, ran: effect.Unknown},
		"between tokens":      {models: []http.Handler{stuckUpstream(3)}, path: "/v1/completions", status: 504, ran: effect.HasRun},
		"plain service stuck": {plain: []http.Handler{stuckUpstream(0)}, path: "/board/next", status: 502, ran: effect.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rg := newRig(t, rigOptions{Models: tc.models, Plain: tc.plain, Progress: time.Hour})
			header := http.Header{entry.HeaderDeadline: {"200ms"}}
			resp, err := rg.caller.Do(t.Context(), http.MethodPost, tc.path, []byte(`{"model":"lyric","prompt":"p"}`), header)
			assert.NilError(t, err)
			detail, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, tc.status, string(detail))
			assert.Equal(t, resp.Header.Get(entry.HeaderRunState), string(tc.ran), string(detail))
			rg.waitEmpty()
		})
	}
}

// floodingEngine returns an engine whose answer is longer than all buffers between it and the caller can hold.
func floodingEngine() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		padding := bytes.Repeat([]byte("x"), 32<<10)
		for token := 0; req.Context().Err() == nil; token++ {
			_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"x\":\"%s\"}\n\n", req.Header.Get("X-Request-Id"), token, padding)
		}
	})
}

func TestCallerThatStopsReading(t *testing.T) {
	// Guards against requests that are held forever because the caller requests a long answer and reads none of it. The
	// request must end at its deadline, and the engine, which waits for the caller, must not be counted as silent.
	rg := newRig(t, rigOptions{Models: []http.Handler{floodingEngine()}, Progress: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", rg.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	document := `{"model":"lyric","prompt":"p","stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nX-Request-Deadline: 500ms\r\nContent-Length: %d\r\n\r\n%s", token, len(document), document)
	assert.NilError(t, err)
	for {
		if calls, _ := rg.instance.Held(); calls > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	rg.waitEmpty()
	silent := metrics.GetOrRegisterCounter("Attempts.Silent", rg.instance.Meter.Registry)
	assert.Equal(t, silent.Count(), int64(0))
}

func TestBadInput(t *testing.T) {
	// Guards against invalid requests that hang, are run or leak memory: each one must be answered at once with the
	// right status and the statement that nothing ran, and the instance must hold nothing of it afterwards.
	const post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
	const auth = "Authorization: Bearer " + token + "\r\n"
	body := func(document string) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(document), document)
	}
	cases := map[string]struct {
		request string
		status  int
		// bare means that the HTTP library refuses the request before it reaches a handler.
		bare bool
	}{
		"too large":              {post + auth + "Content-Length: 99999999\r\n\r\n", 413, false},
		"too large, chunked":     {post + auth + "Transfer-Encoding: chunked\r\n\r\n900000\r\n" + string(bytes.Repeat([]byte("x"), 0x900000)) + "\r\n0\r\n\r\n", 413, false},
		"not JSON":               {post + auth + body("hello"), 400, false},
		"unknown model":          {post + auth + body(`{"model":"x","prompt":"p"}`), 404, false},
		"no token":               {post + body(`{"model":"lyric","prompt":"p"}`), 401, false},
		"wrong token":            {post + "Authorization: Bearer x\r\n" + body(`{"model":"lyric","prompt":"p"}`), 401, false},
		"deadline in the past":   {post + auth + "X-Request-Deadline: 2001-01-01T00:00:00Z\r\n" + body(`{"model":"lyric","prompt":"p"}`), 400, false},
		"deadline is no time":    {post + auth + "X-Request-Deadline: soon\r\n" + body(`{"model":"lyric","prompt":"p"}`), 400, false},
		"huge max_tokens":        {post + auth + body(`{"model":"lyric","prompt":"p","max_tokens":9223372036854775807}`), 400, false},
		"slow sender":            {post + auth + "Content-Length: 50\r\n\r\n{", 400, false},
		"slow sender, no token":  {post + "Content-Length: 50\r\n\r\n{", 401, false},
		"invalid length":         {post + auth + "Content-Length: x\r\n\r\n", 400, true},
		"two lengths":            {post + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, true},
		"header too large":       {post + auth + "X-Flood: " + string(bytes.Repeat([]byte("x"), 128<<10)) + "\r\n" + body("{}"), 431, true},
		"unknown path":           {"POST /elsewhere HTTP/1.1\r\nHost: x\r\n" + auth + body("{}"), 404, false},
		"not HTTP":               {"hello\r\n\r\n", 400, true},
		"longer than any class":  {post + auth + body(`{"model":"lyric","prompt":"`+string(bytes.Repeat([]byte("x"), 5<<20))+`"}`), 413, false},
		"method of another path": {"PUT /v1/models HTTP/1.1\r\nHost: x\r\n" + auth + body("{}"), 404, false},
	}
	rg := newRig(t, rigOptions{Models: []http.Handler{stuckUpstream(0)}, Plain: []http.Handler{stuckUpstream(0)}})
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp := rg.sendRaw(tc.request)
			defer func() { _ = resp.Body.Close() }()
			detail, _ := io.ReadAll(resp.Body)
			assert.Equal(t, resp.StatusCode, tc.status, string(detail))
			if !tc.bare {
				assert.Equal(t, resp.Header.Get(entry.HeaderRunState), string(effect.NotRun))
			}
		})
	}
	rg.waitEmpty()
}

func TestSilenceInTheMiddleOfAnAnswerDoesNotEndIt(t *testing.T) {
	// Guards against an answer that is cut although its upstream is sound: it sends nothing for longer than the ProgressTimeout in the middle of the
	// answer, and no other attempt can go on with it.
	const silence, progress = 900 * time.Millisecond, 200 * time.Millisecond
	pausing := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(silence)
		_, _ = io.WriteString(w, "then.")
	})
	rg := newRig(t, rigOptions{Plain: []http.Handler{pausing, pausing}, Progress: progress})
	for name, header := range map[string]http.Header{"runs once": {}, "may be repeated": {"Idempotency-Key": {"key"}}} {
		resp, err := rg.caller.Do(t.Context(), http.MethodPost, "/board/next", []byte("{}"), header)
		assert.NilError(t, err, name)
		content, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.NilError(t, err, name)
		assert.Equal(t, string(content), "firstthen.", name)
	}
}

package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const token = "rig-token"

// rig runs one entry instance with a simulated platform and the test's upstreams in this process.
type rig struct {
	t        *testing.T
	platform *stand.Platform
	address  string
	instance *entry.Instance
	caller   *load.Caller
	client   *http.Client
	stop     context.CancelFunc
	ended    chan error
}

// rigOptions configure a rig.
type rigOptions struct {
	// Engines are run by the rig and listed before Models.
	Engines []*stand.Engine
	// Models are the handlers of the model engines.
	Models []http.Handler
	// Plain are the handlers of the plain service's upstreams.
	Plain []http.Handler
	// Memory is the instance's, 0 for no bound.
	Memory memory.Limit
	// DrainTime is the instance's, 10 s if it is 0.
	DrainTime time.Duration
	// BodyTimeout is the instance's, 300 ms if it is 0.
	BodyTimeout time.Duration
	// Progress is the services' ProgressTimeout.
	Progress time.Duration
	// Via maps an upstream's address to the one that the platform lists; nil lists the upstream's own address.
	Via func(address string) string
	// Dial opens the instance's connections to upstreams, nil for the usual ones.
	Dial notice.Dialer
}

// newRig starts the rig. When the test ends, the rig is stopped and the test fails if a goroutine is left.
func newRig(t *testing.T, opts rigOptions) *rig {
	t.Helper()
	// The metrics library runs one goroutine for the lifetime of the process.
	arbiter := goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick")
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks, arbiter) })
	rg := &rig{t: t, platform: stand.NewPlatform(0), ended: make(chan error, 1)}
	rg.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	t.Cleanup(rg.client.CloseIdleConnections)
	platform := rg.serve(rg.platform.Handler())
	models := opts.Models
	for _, en := range opts.Engines {
		rg.runEngine(en)
		models = append(models, en.Handler())
	}
	rg.listUpstreams("lyric", models, opts.Via)
	rg.listUpstreams("board", opts.Plain, opts.Via)
	rg.configure(platform, opts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rg.address = listener.Addr().String()
	rg.caller = &load.Caller{Address: rg.address, Token: token, HTTP: rg.client}
	logger := &log.Logger{Level: log.PanicLevel}
	rg.instance = entry.New(entry.Options{
		Name: "entry-0", FailureDomain: "a", Listen: rg.address, Platform: platform, Store: platform,
		ListPeriod: 50 * time.Millisecond, LoadPeriod: time.Second, DrainTime: cmp.Or(opts.DrainTime, 10*time.Second),
		MaxBody: 8 << 20, BodyTimeout: cmp.Or(opts.BodyTimeout, 300*time.Millisecond), Memory: opts.Memory, Dial: opts.Dial,
	}, logger)
	ctx, stop := context.WithCancel(context.Background())
	rg.stop = stop
	go func() { rg.ended <- rg.instance.Serve(ctx, listener) }()
	t.Cleanup(rg.end)
	rg.waitReady()
	return rg
}

// end stops the instance and waits for it. Further calls do not wait again.
func (rg *rig) end() {
	// The server's shutdown waits several seconds for connections on which no request has arrived yet.
	rg.client.CloseIdleConnections()
	rg.stop()
	if rg.ended != nil {
		assert.NilError(rg.t, <-rg.ended)
		rg.ended = nil
	}
}

// runEngine runs a simulated engine until the test ends.
func (rg *rig) runEngine(en *stand.Engine) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- en.Run(ctx) }()
	rg.t.Cleanup(func() {
		stop()
		<-ended
	})
}

func (rg *rig) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	rg.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func (rg *rig) listUpstreams(service string, handlers []http.Handler, via func(string) string) {
	for i, handler := range handlers {
		address := rg.serve(handler)
		if via != nil {
			address = via(address)
		}
		name := service + "-" + string(rune('0'+i))
		rg.platform.Put(plat.Entry{Name: name, Service: service, Address: address, FailureDomain: "a", State: plat.StateLive})
	}
}

func (rg *rig) configure(platform string, opts rigOptions) {
	progress := decl.Duration(opts.Progress)
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"lyric": {Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: 400_000, MaxRunning: 10_000, ProgressTimeout: progress},
			"board": {Kind: decl.KindPlain, Path: "/board/", MaxRunning: 10_000, ProgressTimeout: progress},
		},
		Organisations: map[string]decl.Organisation{"parish": {TokenDigests: []string{decl.TokenDigest(token)}}},
	}
	assert.NilError(rg.t, conf.Seed(rg.t.Context(), platform, &cfg))
}

func (rg *rig) waitReady() {
	for {
		resp, err := rg.client.Get("http://" + rg.address + "/readyz")
		assert.NilError(rg.t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitRetryBudget lists the instance and waits until it has its part of the retry budgets. One that has just started has none, and refuses a
// request whose first attempts all fail.
func (rg *rig) waitRetryBudget() {
	rg.platform.Put(plat.Entry{Name: "entry-0", Service: plat.ServiceEntry, Address: rg.address, FailureDomain: "a", State: plat.StateLive})
	for rg.instance.RetryShare() == 0 {
		time.Sleep(50 * time.Millisecond)
	}
}

// waitEmpty waits until the instance holds no requests. If that never happens, the test fails by its timeout.
func (rg *rig) waitEmpty() {
	for {
		calls, requests := rg.instance.Held()
		if calls == 0 && requests == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// sendRaw sends the bytes over a new connection and returns the parsed answer.
func (rg *rig) sendRaw(request string) *http.Response {
	rg.t.Helper()
	conn, err := net.Dial("tcp", rg.address)
	assert.NilError(rg.t, err)
	rg.t.Cleanup(func() { _ = conn.Close() })
	// The write may fail, because the instance may answer and close the connection before it has read everything.
	go func() { _, _ = conn.Write([]byte(request)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(rg.t, err)
	return resp
}

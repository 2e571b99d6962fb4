package entry_test

import (
	"bufio"
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
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const token = "rig-token"

// rig is one entry instance with upstreams of the test's own, all in this process.
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

// rigOptions say what differs from a quiet fleet.
type rigOptions struct {
	// Engines are run by the rig and listed before Models.
	Engines []*stand.Engine
	// Models and Plain serve the upstreams of each kind.
	Models []http.Handler
	Plain  []http.Handler
	// Progress is the services' ProgressTimeout.
	Progress time.Duration
	// Via returns the address that the platform lists for an upstream's own one; nil lists it itself.
	Via func(address string) string
}

// newRig starts everything; the test's end stops it and finds no goroutine left.
func newRig(t *testing.T, opts rigOptions) *rig {
	t.Helper()
	// The metrics library keeps one goroutine of its own for the whole process.
	arbiter := goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick")
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks, arbiter) })
	rg := &rig{t: t, platform: stand.NewPlatform(0), ended: make(chan error, 1)}
	rg.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
	t.Cleanup(rg.client.CloseIdleConnections)
	platform := rg.serve(rg.platform.Handler())
	models := opts.Models
	for _, en := range opts.Engines {
		rg.run(en)
		models = append(models, en.Handler())
	}
	rg.list("lyric", models, opts.Via)
	rg.list("board", opts.Plain, opts.Via)
	rg.configure(platform, opts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	rg.address = listener.Addr().String()
	rg.caller = &load.Caller{Address: rg.address, Token: token, HTTP: rg.client}
	logger := &log.Logger{Level: log.PanicLevel}
	rg.instance = entry.New(entry.Options{
		Name: "entry-0", FailureDomain: "a", Listen: rg.address, Platform: platform, Store: platform,
		ListPeriod: 50 * time.Millisecond, LoadPeriod: time.Second, DrainTime: 10 * time.Second,
		MaxBody: 8 << 20, BodyTimeout: 300 * time.Millisecond,
	}, logger)
	ctx, stop := context.WithCancel(context.Background())
	rg.stop = stop
	go func() { rg.ended <- rg.instance.Serve(ctx, listener) }()
	t.Cleanup(rg.end)
	rg.ready()
	return rg
}

// end stops the instance, once.
func (rg *rig) end() {
	// The server waits some seconds for connections on which it has seen no request yet.
	rg.client.CloseIdleConnections()
	rg.stop()
	if rg.ended != nil {
		assert.NilError(rg.t, <-rg.ended)
		rg.ended = nil
	}
}

// run runs an engine until the test ends.
func (rg *rig) run(en *stand.Engine) {
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

func (rg *rig) list(service string, handlers []http.Handler, via func(string) string) {
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

func (rg *rig) ready() {
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

// empty waits until the instance holds no request any more; a test that it never becomes so ends by its time-out.
func (rg *rig) empty() {
	for {
		calls, requests := rg.instance.Held()
		if calls == 0 && requests == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// raw sends bytes and returns what comes back as an answer.
func (rg *rig) raw(request string) *http.Response {
	rg.t.Helper()
	conn, err := net.Dial("tcp", rg.address)
	assert.NilError(rg.t, err)
	rg.t.Cleanup(func() { _ = conn.Close() })
	// The instance may answer and close before it has read all.
	go func() { _, _ = conn.Write([]byte(request)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(rg.t, err)
	return resp
}

package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
)

// cutLinks are the connections of one instance to its upstreams.
type cutLinks struct {
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func (ln *cutLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if ln.cut.Load() {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		ln.mu.Lock()
		ln.conns = append(ln.conns, conn)
		ln.mu.Unlock()
	}
	return conn, err
}

// cutOff closes the open connections and refuses new ones.
func (ln *cutLinks) cutOff() {
	ln.cut.Store(true)
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for _, conn := range ln.conns {
		_ = conn.Close()
	}
	ln.conns = nil
}

// startSecond runs a second instance, entry-1, with the links, and lists both.
func (rg *rig) startSecond(ln *cutLinks) *rig {
	rg.t.Helper()
	return rg.startSecondWith(ln, 10*time.Second, 300*time.Millisecond)
}

// startSecondWith runs such an instance with the DrainTime and the BodyTimeout.
func (rg *rig) startSecondWith(ln *cutLinks, drainTime, bodyTimeout time.Duration) *rig {
	rg.t.Helper()
	platform := rg.serve(rg.platform.Handler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(rg.t, err)
	second := &rig{t: rg.t, platform: rg.platform, address: listener.Addr().String(), client: rg.client, ended: make(chan error, 1)}
	second.caller = &load.Caller{Address: second.address, Token: token, HTTP: rg.client}
	rg.platform.Put(plat.Entry{Name: "entry-0", Service: plat.ServiceEntry, Address: rg.address, FailureDomain: "a", State: plat.StateLive})
	rg.platform.Put(plat.Entry{Name: "entry-1", Service: plat.ServiceEntry, Address: second.address, FailureDomain: "a", State: plat.StateLive})
	second.instance = entry.New(entry.Options{
		Name: "entry-1", FailureDomain: "a", Listen: second.address, Platform: platform, Store: platform,
		ListPeriod: 50 * time.Millisecond, LoadPeriod: time.Second, DrainTime: drainTime,
		MaxBody: 8 << 20, BodyTimeout: bodyTimeout, Dial: ln.dial,
	}, &log.Logger{Level: log.PanicLevel})
	ctx, stop := context.WithCancel(context.Background())
	second.stop = stop
	go func() { second.ended <- second.instance.Serve(ctx, listener) }()
	rg.t.Cleanup(second.end)
	second.waitReady()
	return second
}

// engines returns the engines of a rig.
func engines() []*stand.Engine {
	return []*stand.Engine{stand.NewEngine(stand.DefaultEngineOptions()), stand.NewEngine(stand.DefaultEngineOptions())}
}

// post sends an update to the plain service and returns the status and the body of the answer.
func (rg *rig) post(header http.Header) (int, string) {
	rg.t.Helper()
	resp, err := rg.caller.Do(rg.t.Context(), http.MethodPost, "/board/1", []byte("hymn 101"), header)
	assert.NilError(rg.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(rg.t, err)
	return resp.StatusCode, string(text)
}

func TestInstanceCutOffFromUpstreamsServesItsCallers(t *testing.T) {
	// An instance loses its links to all upstreams, while callers and another instance reach it. Its callers must be served, each request
	// once, and directly again soon after the links work.
	var runs atomic.Int64
	board := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodOptions {
			return
		}
		runs.Add(1)
		raw, _ := io.ReadAll(req.Body)
		_, _ = w.Write([]byte("set " + string(raw)))
	})
	rg := newRig(t, rigOptions{Engines: engines(), Plain: []http.Handler{board, board}})
	ln := &cutLinks{}
	second := rg.startSecond(ln)
	status, _ := second.post(nil)
	assert.Equal(t, status, http.StatusOK)
	ln.cutOff()
	runs.Store(0)
	for range 20 {
		status, text := second.post(nil)
		assert.Equal(t, status, http.StatusOK, text)
		assert.Equal(t, text, "set hymn 101")
	}
	assert.Equal(t, runs.Load(), int64(20))
	for i := range 10 {
		got := second.caller.Complete(t.Context(), "lyric", load.Prompt(500, uint64(i)), 8)
		assert.Equal(t, got.Outcome, load.OutcomeWhole, "%+v", got)
	}
	ln.cut.Store(false)
	healed := time.Now()
	for ; ; time.Sleep(20 * time.Millisecond) {
		ln.mu.Lock()
		direct := len(ln.conns)
		ln.mu.Unlock()
		status, _ := second.post(nil)
		assert.Equal(t, status, http.StatusOK)
		if direct > 4 {
			break
		}
		assert.Assert(t, time.Since(healed) < 2*time.Second)
	}
}

func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	// Two instances have lost their paths. A request must be refused as not run after one hop, and not go back and forth.
	rg := newRig(t, rigOptions{Plain: []http.Handler{http.NotFoundHandler(), http.NotFoundHandler()}})
	ln := &cutLinks{}
	second := rg.startSecond(ln)
	ln.cutOff()
	status, text := second.post(http.Header{entry.HeaderForwardedBy: {"entry-0"}})
	assert.Assert(t, status == http.StatusServiceUnavailable || status == http.StatusBadGateway, text)
	status, text = second.post(http.Header{entry.HeaderForwardedBy: {"entry-0"}})
	assert.Equal(t, status, http.StatusServiceUnavailable, text)
	assert.Assert(t, strings.Contains(text, "NoPath"), text)
}

func TestLostPathToUpstreamsIsNotTakenForDeath(t *testing.T) {
	// The connections of an instance to all engines are reset, and new ones refused, while it runs a stream. The engines live: the content must
	// not count as having crashed one.
	hold := make(chan struct{})
	var held atomic.Int64
	engine := http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			return
		}
		held.Add(1)
		select {
		case <-hold:
		case <-req.Context().Done():
		}
	})
	rg := newRig(t, rigOptions{Models: []http.Handler{engine, engine, engine}})
	t.Cleanup(func() { close(hold) })
	ln := &cutLinks{}
	second := rg.startSecond(ln)
	for range 6 {
		before := held.Load()
		ended := make(chan load.Result, 1)
		ctx, leave := context.WithCancel(t.Context())
		go func() { ended <- second.caller.Complete(ctx, "lyric", load.Prompt(500, 1), 8) }()
		for until := time.Now().Add(3 * time.Second); held.Load() == before; time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(until), "the content reaches no engine any more")
		}
		ln.cutOff()
		time.Sleep(300 * time.Millisecond)
		ln.cut.Store(false)
		time.Sleep(300 * time.Millisecond)
		leave()
		got := <-ended
		assert.Assert(t, got.Status != http.StatusUnprocessableEntity, got.Detail)
	}
}

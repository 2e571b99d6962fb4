package entry_test

import (
	"context"
	"net"
	"net/http"
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
	platform := rg.serve(rg.platform.Handler())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(rg.t, err)
	second := &rig{t: rg.t, platform: rg.platform, address: listener.Addr().String(), client: rg.client, ended: make(chan error, 1)}
	second.caller = &load.Caller{Address: second.address, Token: token, HTTP: rg.client}
	rg.platform.Put(plat.Entry{Name: "entry-0", Service: plat.ServiceEntry, Address: rg.address, FailureDomain: "a", State: plat.StateLive})
	rg.platform.Put(plat.Entry{Name: "entry-1", Service: plat.ServiceEntry, Address: second.address, FailureDomain: "a", State: plat.StateLive})
	second.instance = entry.New(entry.Options{
		Name: "entry-1", FailureDomain: "a", Listen: second.address, Platform: platform, Store: platform,
		ListPeriod: 50 * time.Millisecond, LoadPeriod: time.Second, DrainTime: 10 * time.Second,
		MaxBody: 8 << 20, BodyTimeout: 300 * time.Millisecond, Dial: ln.dial,
	}, &log.Logger{Level: log.PanicLevel})
	ctx, stop := context.WithCancel(context.Background())
	second.stop = stop
	go func() { second.ended <- second.instance.Serve(ctx, listener) }()
	rg.t.Cleanup(second.end)
	second.waitReady()
	return second
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

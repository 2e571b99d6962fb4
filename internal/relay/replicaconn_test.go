package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// connReplica is a replica that counts its connections.
type connReplica struct {
	*httptest.Server
	steer.Replica
	// opened counts the connections that it accepted.
	opened atomic.Int64
	mu     sync.Mutex
	// idle holds the connections that are idle.
	idle map[net.Conn]bool
}

// startConnReplica starts a replica that closes connections that were idle for the timeout, 0 for none.
func startConnReplica(t *testing.T, idleTimeout time.Duration, answer http.HandlerFunc) *connReplica {
	rep := &connReplica{idle: map[net.Conn]bool{}}
	rep.Server = httptest.NewUnstartedServer(answer)
	rep.Config.IdleTimeout = idleTimeout
	rep.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		rep.mu.Lock()
		defer rep.mu.Unlock()
		if state == http.StateNew {
			rep.opened.Add(1)
		}
		delete(rep.idle, conn)
		if state == http.StateIdle {
			rep.idle[conn] = true
		}
	}
	rep.Start()
	t.Cleanup(rep.Close)
	rep.Replica = steer.Replica{Name: "board-0", Born: 1, Service: "board", Address: rep.Listener.Addr().String(), Slots: 4}
	return rep
}

// closeIdle closes the connections that are idle at the replica and returns how many there were.
func (rep *connReplica) closeIdle() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for conn := range rep.idle {
		_ = conn.Close()
	}
	count := len(rep.idle)
	clear(rep.idle)
	return count
}

// newConnTest returns an Instance that knows the replica.
func newConnTest(t *testing.T, rep *connReplica) *Instance {
	in := New(Options{Name: "one", FailureDomain: "a", Seed: 1}, nil, headerProtocol{}, &log.Logger{Level: log.PanicLevel}, func() int64 { return 0 })
	in.apply(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"board": {}}}})
	in.apply(steer.Listed{Replicas: []steer.Replica{rep.Replica}})
	t.Cleanup(in.pooled.CloseIdleConnections)
	return in
}

// exchangeWhole sends a message and reads the whole response.
func (in *Instance) exchangeWhole(newConnection bool, msg message) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+msg.to.Replica.Address+"/", nil)
	if err != nil {
		return err
	}
	resp, _, err := in.exchange(newConnection, msg, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// counted returns the value of a counter.
func (in *Instance) counted(name string) int64 {
	if counter, ok := in.registry.Get(name).(metrics.Counter); ok {
		return counter.Count()
	}
	return 0
}

func TestConnectionsAreCountedByCause(t *testing.T) {
	// Without these counters nobody can tell which of the many new connections could be avoided.
	cases := map[string]struct {
		newConnection bool
		msg           message
		cause         connCause
	}{
		"request":                           {false, message{to: steer.Target{Kind: notice.First}}, causeNoneIdle},
		"retry":                             {false, message{to: steer.Target{Kind: notice.Retry}}, causeNoneIdle},
		"request that may run once":         {true, message{to: steer.Target{Kind: notice.First}}, causeRequired},
		"reservation":                       {false, message{to: steer.Target{Kind: notice.Reservation}}, causeOrder},
		"renewal":                           {false, message{to: steer.Target{Kind: notice.Renewal}}, causeOrder},
		"release":                           {false, message{to: steer.Target{Kind: notice.Release}}, causeOrder},
		"load query":                        {false, message{to: steer.Target{Kind: notice.LoadQuery}}, causeOrder},
		"message of another instance":       {false, message{to: steer.Target{Kind: notice.First}, forPeer: true}, causePassedOn},
		"the same, which may run only once": {true, message{to: steer.Target{Kind: notice.First}, forPeer: true}, causePassedOn},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {})
			in := newConnTest(t, rep)
			tc.msg.to.Replica = rep.Replica
			tc.msg.to.ExpiresAt = time.Now().Add(time.Minute)
			assert.NilError(t, in.exchangeWhole(tc.newConnection, tc.msg))
			assert.Equal(t, in.counted("Connections.Opened."+string(tc.cause)), int64(1))
			assert.Equal(t, rep.opened.Load(), int64(1))
			rep.Close()
			in.pooled.CloseIdleConnections()
			err := in.exchangeWhole(tc.newConnection, tc.msg)
			assert.Assert(t, isNotWritten(err), "%v", err)
			assert.Equal(t, in.counted("Connections.Failed."+string(tc.cause)), int64(1))
		})
	}
	t.Run("probes", func(t *testing.T) {
		rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {})
		in := newConnTest(t, rep)
		for _, cause := range []connCause{causeReplicaProbe, causePathProbe} {
			assert.Assert(t, !in.refusesConnections(withCause(t.Context(), cause), rep.Replica))
			assert.Equal(t, in.counted("Connections.Opened."+string(cause)), int64(1))
		}
	})
}

func TestConnectionIsKeptAfterEachKindOfAnswer(t *testing.T) {
	// Guards against a new connection for the request after an answer that was not read to its end or was not closed.
	isStream := map[string]bool{"stream": true, "refused stream": true, "failed stream": true, "misdirected stream": true}
	failure := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failed", http.StatusInternalServerError) }
	refusal := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "not run", http.StatusServiceUnavailable) }
	misdirected := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "another replica", http.StatusMisdirectedRequest)
	}
	cases := map[string]http.HandlerFunc{
		"empty":   func(http.ResponseWriter, *http.Request) {},
		"failure": failure, "failed stream": failure, "refusal": refusal, "refused stream": refusal,
		"misdirected": misdirected, "misdirected stream": misdirected,
		"whole": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 100<<10)) },
		"stream": func(w http.ResponseWriter, _ *http.Request) {
			for range 3 {
				_, _ = io.WriteString(w, "data: 1\n\n")
				_ = http.NewResponseController(w).Flush()
			}
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			rep := startConnReplica(t, 0, answer)
			in := newConnTest(t, rep)
			in.protocol = refusalProtocol{}
			for range 3 {
				in.attemptOnce(rep.Replica, isStream[name], false)
			}
			assert.Equal(t, rep.opened.Load(), int64(1))
			assert.Equal(t, in.counted("Connections.Reused"), int64(2))
		})
	}
}

// refusalProtocol is a Protocol whose replicas refuse with 503 and answer for another replica with 421.
type refusalProtocol struct{ Protocol }

func (refusalProtocol) SetHeaders(http.Header, ForwardInfo) {}

// ParseResponse implements Protocol.
func (refusalProtocol) ParseResponse(resp *http.Response) ResponseInfo {
	return ResponseInfo{Sealed: true, NotRun: resp.StatusCode == http.StatusServiceUnavailable, Misdirected: resp.StatusCode == http.StatusMisdirectedRequest}
}

// attemptOnce sends one attempt to the replica and returns its result.
func (in *Instance) attemptOnce(replica steer.Replica, stream, newConnection bool) steer.AttemptEnded {
	recorder := httptest.NewRecorder()
	cl := &call{
		id: steer.RequestID(in.nextID.Add(1)), w: recorder, req: httptest.NewRequest(http.MethodPost, "/", nil), route: &decl.Route{Stream: stream},
		control: http.NewResponseController(recorder), arrived: time.Now(),
	}
	ended := in.runAttempt(cl, steer.Send{
		ID: cl.id, Attempt: 1, Replica: replica, NewConnection: newConnection, Deadline: time.Now().Add(2 * time.Second), DecidedAt: time.Now(),
		Kind: notice.First, FirstTimeout: time.Second, GapTimeout: time.Second,
	})
	in.buffers.release(cl.buffered)
	return ended
}

func TestConnectionOfARefusalThatDoesNotEnd(t *testing.T) {
	// A replica refuses a request and then stalls in the middle of the refusal's body. The request must not wait for the rest of it.
	release := make(chan struct{})
	rep := startConnReplica(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	defer close(release)
	in := newConnTest(t, rep)
	in.protocol = refusalProtocol{}
	began := time.Now()
	assert.Equal(t, in.attemptOnce(rep.Replica, false, false).Result, steer.ResultNotRun)
	assert.Assert(t, time.Since(began) < 500*time.Millisecond, "%v", time.Since(began))
}

func TestConnectionIsClosedBeforeTheReplicaClosesIt(t *testing.T) {
	// A replica closes connections that were idle for a second, and says so. The Instance closes them first: a request that is written
	// while the replica closes may have run.
	rep := startConnReplica(t, time.Second, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=1") })
	in := newConnTest(t, rep)
	msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
	assert.NilError(t, in.exchangeWhole(false, msg))
	time.Sleep(400 * time.Millisecond)
	assert.NilError(t, in.exchangeWhole(false, msg))
	assert.Equal(t, rep.opened.Load(), int64(1))
	time.Sleep(850 * time.Millisecond)
	assert.Equal(t, in.counted("Connections.Expired"), int64(1))
	in.updateConnectionMetrics()
	assert.Equal(t, in.registry.Get("Connections.Open").(metrics.Gauge).Value(), int64(0))
	assert.NilError(t, in.exchangeWhole(false, msg))
	assert.Equal(t, rep.opened.Load(), int64(2))
	assert.Equal(t, in.counted("Messages.StaleConnections"), int64(0))
}

func TestOverdueConnectionIsNotUsed(t *testing.T) {
	// The process stood still for longer than the replica keeps idle connections, so that no timer could close them. The next request
	// comes before the timers: it must not be written to such a connection.
	rep := startConnReplica(t, 0, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Keep-Alive", "timeout=1") })
	in := newConnTest(t, rep)
	msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
	assert.NilError(t, in.exchangeWhole(false, msg))
	in.conns.mu.Lock()
	var kept *replicaConn
	for _, rc := range in.conns.all {
		rc.timer.Stop()
		kept = rc
	}
	in.conns.mu.Unlock()
	assert.Assert(t, kept != nil)
	time.Sleep(750 * time.Millisecond)
	assert.NilError(t, in.exchangeWhole(false, msg))
	assert.Equal(t, rep.opened.Load(), int64(2))
	assert.Equal(t, in.counted("Messages.StaleConnections"), int64(1))
}

func TestNothingIsWrittenToAConnectionThatTheReplicaHasClosed(t *testing.T) {
	// A replica closes an idle connection, and a request comes before net/http has read that. Written to the closed connection, the
	// request would count as one that may have run, though it never arrived.
	rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {})
	in := newConnTest(t, rep)
	msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
	for round := range 500 {
		assert.NilError(t, in.exchangeWhole(false, msg), "round %d", round)
		for rep.closeIdle() == 0 {
			time.Sleep(10 * time.Microsecond)
		}
	}
}

func TestReplicaThatClosesKeptConnectionsGetsEachRequestAtMostOnce(t *testing.T) {
	// A replica closes idle connections at any moment, without stating a timeout, while requests arrive. A request that meets a closed
	// connection goes to another one if nothing was written, and otherwise counts as broken: it must never arrive twice.
	var mu sync.Mutex
	arrived := map[string]int{}
	rep := startConnReplica(t, 0, func(_ http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrived[req.Header.Get("Number")]++
	})
	in := newConnTest(t, rep)
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for ctx.Err() == nil {
			rep.closeIdle()
			time.Sleep(300 * time.Microsecond)
		}
	}()
	sent := map[string]bool{}
	for number := range 2000 {
		name := string(rune('a'+number%26)) + time.Duration(number).String()
		req, err := http.NewRequest(http.MethodGet, "http://"+rep.Address+"/", nil)
		assert.NilError(t, err)
		req.Header.Set("Number", name)
		resp, _, err := in.exchange(false, message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}, req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		sent[name] = err == nil
	}
	cancel()
	<-closed
	mu.Lock()
	defer mu.Unlock()
	answered := 0
	for name, ok := range sent {
		assert.Assert(t, arrived[name] <= 1, "request %s arrived %d times", name, arrived[name])
		if ok {
			answered++
			assert.Equal(t, arrived[name], 1)
		}
	}
	assert.Assert(t, answered > 1000, "%d", answered)
	assert.Equal(t, in.counted("Messages.WrittenAgain"), int64(0))
}

package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conns"
	"dandelionsail.example/dandelionsail/internal/lines"
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

// newConnTest returns an Instance that knows the replica, whose service declares no number of connections.
func newConnTest(t *testing.T, rep *connReplica) *Instance {
	return newBoundedTest(t, rep, Options{Name: "one", FailureDomain: "a", Seed: 1}, 0)
}

// newBoundedTest returns an Instance that knows the replica, whose service declares the number of connections.
func newBoundedTest(t *testing.T, rep *connReplica, opts Options, connections int) *Instance {
	in := New(opts, nil, headerProtocol{}, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	in.apply(steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"board": {Connections: connections}}}})
	in.apply(steer.Listed{Replicas: []steer.Replica{rep.Replica}})
	t.Cleanup(in.pooled.CloseIdleConnections)
	return in
}

// exchangeWhole sends a message and reads the whole response. One that may run only once is a POST with a body.
func (in *Instance) exchangeWhole(newConnection bool, msg message) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+msg.to.Replica.Address+"/", nil)
	if newConnection {
		req, err = http.NewRequest(http.MethodPost, "http://"+msg.to.Replica.Address+"/", strings.NewReader("body"))
	}
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
	// Guards against a connection that is counted under another cause: the counters show which new connections could be avoided.
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

func TestReplicaThatKeepsNoIdleConnections(t *testing.T) {
	// The header of an unfinished response states that the replica keeps no idle connections. A connection that is then opened for a
	// message must not count as overdue before the message is given it.
	release := make(chan struct{})
	defer close(release)
	var first atomic.Bool
	rep := startConnReplica(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		isFirst := first.CompareAndSwap(false, true)
		w.Header().Set("Keep-Alive", "timeout=0")
		_ = http.NewResponseController(w).Flush()
		if isFirst {
			<-release
		}
	})
	in := newConnTest(t, rep)
	msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
	req, err := http.NewRequest(http.MethodGet, "http://"+rep.Address+"/", nil)
	assert.NilError(t, err)
	resp, _, err := in.exchange(false, msg, req)
	assert.NilError(t, err)
	for range 20 {
		assert.NilError(t, in.exchangeWhole(false, msg))
	}
	assert.Equal(t, in.counted("Connections.Reused"), int64(0))
	assert.NilError(t, resp.Body.Close())
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
	// A replica closes an idle connection, and a request is sent before net/http has noticed. Written to the closed connection, the
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
	// connection goes to another one if nothing was written, and otherwise counts as broken: it must never arrive twice, and one that may
	// run only once must use the kept connections all the same. Real replicas close idle connections far less often.
	cases := map[string]struct {
		once        bool
		connections int
	}{
		"repeatable":                     {false, 0},
		"may run once":                   {true, 100},
		"may run once, nothing declared": {true, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			arrived := map[string]int{}
			rep := startConnReplica(t, 0, func(_ http.ResponseWriter, req *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				arrived[req.Header.Get("Number")]++
			})
			in := newBoundedTest(t, rep, Options{Name: "one", FailureDomain: "a", Seed: 1}, tc.connections)
			ctx, cancel := context.WithCancel(t.Context())
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				for ctx.Err() == nil {
					rep.closeIdle()
					time.Sleep(300 * time.Microsecond)
				}
			}()
			answered := map[string]bool{}
			for number := range 2000 {
				name := strconv.Itoa(number)
				req, err := http.NewRequest(http.MethodGet, "http://"+rep.Address+"/", nil)
				assert.NilError(t, err)
				req.Header.Set("Number", name)
				resp, _, err := in.exchange(tc.once, message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}, req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				answered[name] = err == nil
			}
			cancel()
			<-closed
			mu.Lock()
			defer mu.Unlock()
			count := 0
			for name, ok := range answered {
				assert.Assert(t, arrived[name] <= 1, "request %s arrived %d times", name, arrived[name])
				if ok {
					count++
					assert.Equal(t, arrived[name], 1)
				}
			}
			t.Logf("%d of 2000 answered, %d connections opened, %d used again", count, rep.opened.Load(), in.counted("Connections.Reused"))
			assert.Assert(t, count > 1000, "%d", count)
			assert.Equal(t, in.counted("Connections.Reused") > 0, !tc.once || tc.connections > 0)
			assert.Equal(t, in.counted("Messages.WrittenAgain"), int64(0))
		})
	}
}

func TestRequestThatMayRunOnceUsesAConnectionThatWasJustProvenAlive(t *testing.T) {
	// A kept connection goes silent without a reset. Written to it, a request that may run only once would fail, since it would be unknown
	// whether it ran. Such a request is given a kept connection only if a response has just ended on it, and otherwise replaces it.
	rep := startConnReplica(t, 0, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Closing", strconv.FormatBool(req.Close))
	})
	var silent atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &silentConn{Conn: conn, since: &silent, opened: !silent.Load()}, err
	}
	in := newBoundedTest(t, rep, Options{Name: "one", FailureDomain: "a", Seed: 1, Dial: dial}, 100)
	msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
	for range 5 {
		assert.NilError(t, in.exchangeWhole(true, msg))
	}
	assert.Equal(t, rep.opened.Load(), int64(1))
	assert.Equal(t, in.counted("Connections.Opened.Required"), int64(1))
	assert.Equal(t, in.counted("Connections.Reused"), int64(4))
	silent.Store(true)
	time.Sleep(conns.ProvenAge + 10*time.Millisecond)
	assert.NilError(t, in.exchangeWhole(true, msg))
	assert.Equal(t, rep.opened.Load(), int64(2))
	in.updateConnectionMetrics()
	assert.Equal(t, in.registry.Get("Connections.Open").(metrics.Gauge).Value(), int64(1))
}

// silentConn is a connection that loses what is written to it once since is set, if it was opened before.
type silentConn struct {
	net.Conn
	since  *atomic.Bool
	opened bool
}

func (sc *silentConn) Write(raw []byte) (int, error) {
	if sc.opened && sc.since.Load() {
		// Write reports that the connection is closed, if it is.
		if _, err := sc.Conn.Write(nil); err != nil {
			return 0, err
		}
		return len(raw), nil
	}
	return sc.Conn.Write(raw)
}

func TestRequestThatMayRunOnceHasAConnectionOfItsOwnUnlessConnectionsAreDeclared(t *testing.T) {
	// If the configuration declares no number of connections, such a request must open a connection of its own. Otherwise it must use the
	// kept one, whose last response has just ended.
	for _, connections := range []int{0, 100} {
		t.Run(strconv.Itoa(connections), func(t *testing.T) {
			var closes atomic.Int64
			rep := startConnReplica(t, 0, func(_ http.ResponseWriter, req *http.Request) {
				if req.Close {
					closes.Add(1)
				}
			})
			in := newBoundedTest(t, rep, Options{Name: "one", FailureDomain: "a", Seed: 1}, connections)
			for range 3 {
				assert.NilError(t, in.exchangeWhole(true, message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}))
			}
			want := map[int]int64{0: 3, 100: 1}[connections]
			assert.Equal(t, rep.opened.Load(), want)
			assert.Equal(t, closes.Load(), map[int]int64{0: 3, 100: 0}[connections])
		})
	}
}

func TestInstancesKeepFewerConnectionsThanTheReplicaAccepts(t *testing.T) {
	// Five instances send two requests at a time to a replica that accepts 12 connections and has 4 slots. If each kept
	// up to four connections, the replica would reset what the next instance opens. The sum must also hold after all instances restart.
	var inUse sync.WaitGroup
	release := make(chan struct{})
	rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {
		inUse.Done()
		<-release
	})
	names := []string{"one", "two", "three", "four", "five"}
	for range 2 {
		var all []*Instance
		for _, name := range names {
			in := newBoundedTest(t, rep, Options{Name: name, FailureDomain: "a", Seed: 1}, 12)
			var others []steer.Instance
			for _, other := range names {
				if other != name {
					others = append(others, steer.Instance{Name: other, FailureDomain: "a"})
				}
			}
			in.apply(steer.Peered{Instances: others, Listed: true})
			all = append(all, in)
		}
		for _, in := range all {
			inUse.Add(2)
			release = make(chan struct{})
			var ended sync.WaitGroup
			for range 2 {
				ended.Go(func() {
					assert.Check(t, in.exchangeWhole(false, message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}))
				})
			}
			inUse.Wait()
			close(release)
			ended.Wait()
			_, idle := in.countConnections()
			assert.Assert(t, idle <= 1, "%d", idle)
		}
		sum := 0
		for _, in := range all {
			open, _ := in.countConnections()
			sum += open
		}
		assert.Assert(t, sum > 0 && sum <= 5, "%d", sum)
		for _, in := range all {
			in.pooled.CloseIdleConnections()
		}
	}
}

// countConnections returns the number of connections, and of those that are idle.
func (in *Instance) countConnections() (open, idle int) {
	in.conns.mu.Lock()
	defer in.conns.mu.Unlock()
	return in.conns.table.Counts()
}

func TestReplicaThatRestartsCostsOneConnection(t *testing.T) {
	// A replica restarts on its address while connections to it are kept. The first request after that must not be written to one of
	// them, and one connection must do for all that follow one another.
	for name, once := range map[string]bool{"repeatable": false, "may run once": true} {
		t.Run(name, func(t *testing.T) {
			rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {})
			in := newBoundedTest(t, rep, Options{Name: "one", FailureDomain: "a", Seed: 1}, 100)
			msg := message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}
			assert.NilError(t, in.exchangeWhole(once, msg))
			rep.Close()
			listener, err := net.Listen("tcp", rep.Address)
			assert.NilError(t, err)
			again := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			served := make(chan error, 1)
			go func() { served <- again.Serve(listener) }()
			for range 10 {
				assert.NilError(t, in.exchangeWhole(once, msg))
			}
			assert.Equal(t, in.counted("Connections.Opened.NoneIdle")+in.counted("Connections.Opened.Required"), int64(2))
			assert.NilError(t, again.Close())
			assert.Equal(t, <-served, http.ErrServerClosed)
		})
	}
}

func TestReducerPrefersAReplicaWithAnIdleConnection(t *testing.T) {
	// Guards against idle connections, or the closing of one, that are not reported to the reducer.
	boards := []*connReplica{}
	list := []steer.Replica{}
	for i := range 2 {
		rep := startConnReplica(t, 0, func(http.ResponseWriter, *http.Request) {})
		rep.Name = "board-" + strconv.Itoa(i)
		boards, list = append(boards, rep), append(list, rep.Replica)
	}
	in := newBoundedTest(t, boards[0], Options{Name: "one", FailureDomain: "a", Seed: 1}, 100)
	in.apply(steer.Listed{Replicas: list})
	choose := func() string {
		cl := &call{id: steer.RequestID(in.nextID.Add(1)), effects: make(chan steer.Effect, effectQueueSize)}
		in.mu.Lock()
		in.calls[cl.id] = cl
		in.mu.Unlock()
		route := &decl.Route{Name: "look", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RetryAny, Attempts: 2, Timeout: decl.Duration(time.Second), Goal: decl.Duration(time.Second)}
		in.apply(steer.Arrived{ID: cl.id, Route: route, Deadline: time.Now().Add(time.Second), LeavesAt: time.Now().Add(time.Second)})
		sent := (<-cl.effects).(steer.Send)
		in.apply(steer.AttemptEnded{ID: cl.id, Attempt: sent.Attempt, Result: steer.ResultDone})
		return sent.Replica.Name
	}
	for i, rep := range boards {
		assert.NilError(t, in.exchangeWhole(false, message{to: steer.Target{Replica: rep.Replica, Kind: notice.First}}))
		for range 8 {
			assert.Equal(t, choose(), rep.Name)
		}
		for rep.closeIdle() == 0 {
			time.Sleep(time.Millisecond)
		}
		for deadline := time.Now().Add(time.Second); !in.conns.changed.Load() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, in.conns.changed.Load())
		if i == 0 {
			continue
		}
		chosen := map[string]bool{}
		for range 20 {
			chosen[choose()] = true
		}
		assert.Equal(t, len(chosen), 2)
	}
}

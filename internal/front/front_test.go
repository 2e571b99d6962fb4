package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/ports"
)

// world is a Server on real sockets.
type world struct {
	t       *testing.T
	srv     *Server
	address string
	// lost receives the losses.
	lost chan Loss
	// ended receives the result of Serve.
	ended chan error
}

func newWorld(t *testing.T, handler http.HandlerFunc, change func(opts *Options)) *world {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return serveOn(t, inner, handler, change)
}

func serveOn(t *testing.T, inner net.Listener, handler http.HandlerFunc, change func(opts *Options)) *world {
	wd := &world{t: t, address: inner.Addr().String(), lost: make(chan Loss, 100), ended: make(chan error, 1)}
	opts := Options{Limiter: NewLimiter(memory.New(0), 10_000), Handler: handler, HeaderTimeout: 8 * time.Second, Lost: func(loss Loss) { wd.lost <- loss }}
	if change != nil {
		change(&opts)
	}
	wd.srv = New(opts)
	go func() { wd.ended <- wd.srv.Serve(inner) }()
	t.Cleanup(func() {
		_ = wd.srv.Close()
		assert.Equal(t, <-wd.ended, http.ErrServerClosed)
	})
	return wd
}

// caller is a connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (wd *world) dial() *caller {
	conn, err := net.Dial("tcp", wd.address)
	assert.NilError(wd.t, err)
	wd.t.Cleanup(func() { _ = conn.Close() })
	return &caller{wd.t, conn, bufio.NewReader(conn)}
}

const request = "GET / HTTP/1.1\r\nHost: hall.example\r\n\r\n"

func (ca *caller) send(text string) {
	_, err := io.WriteString(ca, text)
	assert.NilError(ca.t, err)
}

// receive reads an answer and its body.
func (ca *caller) receive() (int, string) {
	_ = ca.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(ca.reader, nil)
	assert.NilError(ca.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(ca.t, err)
	return resp.StatusCode, string(body)
}

// end checks that the connection ends without a reset.
func (ca *caller) end() {
	ca.t.Helper()
	_ = ca.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := ca.reader.ReadByte()
	assert.Equal(ca.t, err, io.EOF)
}

// drain starts to drain and returns the channel that receives the result.
func (wd *world) drain() chan error {
	done := make(chan error, 1)
	go func() { done <- wd.srv.Drain(wd.t.Context()) }()
	return done
}

// awaitDraining waits until no connections are accepted any more.
func (wd *world) awaitDraining() {
	for {
		conn, err := net.Dial("tcp", wd.address)
		if err != nil {
			return
		}
		_ = conn.Close()
		time.Sleep(time.Millisecond)
	}
}

func answerOK(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	RequestOf(req).ReadWhole("one")
	_, _ = io.WriteString(w, "ok")
}

// gatedListener accepts nothing until gate is closed.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

// Accept implements net.Listener.
func (gl gatedListener) Accept() (net.Conn, error) {
	<-gl.gate
	return gl.TCPListener.Accept()
}

func TestConnectionsThatWaitToBeAcceptedAreServed(t *testing.T) {
	// Guards against requests that are reset unread: when a listener is closed, the kernel resets the connections that wait to be accepted. Their
	// requests may have arrived long before, on a machine whose processors are busy. The listener of a process is wrapped, and must not hide this.
	cases := map[string]func(inner net.Listener) net.Listener{
		"socket":         func(inner net.Listener) net.Listener { return inner },
		"ports.Listener": func(inner net.Listener) net.Listener { return ports.NewListener(inner, func(error) {}) },
	}
	for name, wrap := range cases {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			gate := make(chan struct{})
			wd := serveOn(t, wrap(gatedListener{inner.(*net.TCPListener), gate}), answerOK, nil)
			var callers []*caller
			for range 20 {
				ca := wd.dial()
				ca.send(request)
				callers = append(callers, ca)
			}
			// The listener is known to the server once Serve has begun.
			for !wd.serves() {
				time.Sleep(time.Millisecond)
			}
			done := wd.drain()
			time.Sleep(10 * time.Millisecond)
			close(gate)
			for _, ca := range callers {
				status, body := ca.receive()
				assert.Equal(t, status, 200)
				assert.Equal(t, body, "ok")
				ca.end()
				_ = ca.Close()
			}
			assert.NilError(t, <-done)
		})
	}
}

func (wd *world) serves() bool {
	wd.srv.mu.Lock()
	defer wd.srv.mu.Unlock()
	return len(wd.srv.listeners) == 1
}

func TestRequestThatArrivesWhileDrainingIsAnswered(t *testing.T) {
	// Guards against requests that are read whole and dropped: after http.Server.Shutdown has begun, a request whose head is read is not served, and
	// its connection ends without an answer.
	cases := map[string]struct {
		// before is sent before the drain begins, after is sent then.
		before, after string
		// kept is set if the connection has carried a request before.
		kept bool
	}{
		"head in two parts":              {"GET / HTTP/1.1\r\nHost: hall", ".example\r\n\r\n", false},
		"head in two parts, kept":        {"GET / HTTP/1.1\r\nHost: hall", ".example\r\n\r\n", true},
		"body comes late":                {"POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 4\r\n\r\nab", "cd", true},
		"last byte comes late":           {"POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 4\r\n\r\nabc", "d", false},
		"chunks come late":               {"POST / HTTP/1.1\r\nHost: hall.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n", true},
		"body after 100 Continue is due": {"POST / HTTP/1.1\r\nHost: hall.example\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "abcd", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wd := newWorld(t, answerOK, nil)
			ca := wd.dial()
			if tc.kept {
				ca.send(request)
				ca.receive()
			}
			ca.send(tc.before)
			// The server has read what was sent.
			for wd.received() == 0 {
				time.Sleep(time.Millisecond)
			}
			done := wd.drain()
			wd.awaitDraining()
			time.Sleep(50 * time.Millisecond)
			ca.send(tc.after)
			status, body := ca.receive()
			if status == http.StatusContinue {
				status, body = ca.receive()
			}
			assert.Equal(t, status, 200)
			assert.Equal(t, body, "ok")
			ca.end()
			_ = ca.Close()
			assert.NilError(t, <-done)
			assert.Equal(t, len(wd.lost), 0)
		})
	}
}

// received returns the number of connections on which a part of a request was read that is not answered.
func (wd *world) received() int {
	count := 0
	for _, cn := range wd.srv.open() {
		cn.mu.Lock()
		if cn.received {
			count++
		}
		cn.mu.Unlock()
	}
	return count
}

func TestConnectionWithUnreadBytesIsNotClosedAsIdle(t *testing.T) {
	// Guards against a request that is lost on a busy machine: it has arrived in the socket, and the goroutine that waits for it has not run yet when
	// the connection is closed as idle.
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = inner.Close() }()
	sent, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = sent.Close() }()
	accepted, err := inner.Accept()
	assert.NilError(t, err)
	srv := New(Options{Limiter: NewLimiter(memory.New(0), 10_000)})
	cn := srv.add(accepted)
	defer func() { _ = cn.release() }()
	assert.Check(t, !cn.closeQuiet(0), "closed before its goroutine has run")
	cn.waiting = true
	_, err = io.WriteString(sent, "GET")
	assert.NilError(t, err)
	for arrived := false; !arrived; {
		_ = cn.raw.Control(func(fd uintptr) { arrived = readable(int(fd)) })
	}
	assert.Check(t, !cn.closeQuiet(0), "closed with unread bytes")
	buf := make([]byte, 10)
	count, err := cn.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:count]), "GET")
	cn.waiting = true
	assert.Check(t, !cn.closeQuiet(time.Hour), "closed with a part of a request")
	assert.Check(t, !cn.closeQuiet(0), "closed with a part of a request")
	assert.Check(t, cn.closeQuiet(time.Nanosecond))
}

func TestDrainClosesWhatIsIdleAtOnce(t *testing.T) {
	// Guards against a drain that lasts until the end of the grace period although nothing is open but idle connections, used or new ones, and against
	// a reset where a caller sends a request at the same moment.
	wd := newWorld(t, answerOK, nil)
	kept, fresh := wd.dial(), wd.dial()
	kept.send(request)
	kept.receive()
	for wd.waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	done := wd.drain()
	kept.end()
	fresh.end()
	_ = kept.Close()
	_ = fresh.Close()
	assert.NilError(t, <-done)
	assert.Equal(t, wd.srv.Held(), Held{})
}

// waiting returns the number of connections that wait for a request.
func (wd *world) waiting() int {
	count := 0
	for _, cn := range wd.srv.open() {
		cn.mu.Lock()
		if cn.waiting && !cn.received && !cn.active {
			count++
		}
		cn.mu.Unlock()
	}
	return count
}

func TestDrainAnswersEverythingItServes(t *testing.T) {
	// Guards against any way in which a request is served on a connection that the drain closes: callers send on kept connections without a pause
	// while the server drains. Each request that was served is answered.
	for range 5 {
		var served, answered atomic.Int64
		wd := newWorld(t, func(w http.ResponseWriter, req *http.Request) {
			served.Add(1)
			answerOK(w, req)
		}, nil)
		var callers sync.WaitGroup
		for range 40 {
			ca := wd.dial()
			callers.Go(func() {
				defer func() { _ = ca.Close() }()
				for {
					if _, err := io.WriteString(ca, request); err != nil {
						return
					}
					resp, err := http.ReadResponse(ca.reader, nil)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					answered.Add(1)
				}
			})
		}
		for answered.Load() < 400 {
			time.Sleep(time.Millisecond)
		}
		assert.NilError(t, <-wd.drain())
		callers.Wait()
		assert.Equal(t, served.Load(), answered.Load())
		assert.Equal(t, len(wd.lost), 0)
	}
}

func TestAnswerIsReadThoughMoreIsSent(t *testing.T) {
	// Guards against an answer that a reset overtakes: the server answers and closes while the caller is still sending, the kernel answers what comes
	// then by a reset, and the caller's system may discard the answer that it has not read.
	cases := map[string]struct {
		head string
		size int
	}{
		"second request behind the last":   {"GET / HTTP/1.1\r\nHost: hall.example\r\n\r\n" + request, 0},
		"many requests behind the last":    {strings.Repeat(request, 500), 0},
		"long body of a refused request":   {"POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 8000000\r\n\r\n", 8_000_000},
		"long chunks of a refused request": {"POST / HTTP/1.1\r\nHost: hall.example\r\nTransfer-Encoding: chunked\r\n\r\n7a1200\r\n", 8_000_000},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wd := newWorld(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusUnauthorized)
				_, _ = io.WriteString(w, "no")
			}, nil)
			ca := wd.dial()
			ca.send(tc.head)
			piece := strings.Repeat("x", 50_000)
			for sent := 0; sent < tc.size; sent += len(piece) {
				ca.send(piece)
			}
			status, body := ca.receive()
			assert.Equal(t, status, http.StatusUnauthorized)
			assert.Equal(t, body, "no")
			ca.end()
		})
	}
}

func TestAnswerThatIsReadyAfterItsWriteDeadlineIsWritten(t *testing.T) {
	// Guards against an answer that is lost although the caller waits for it: the process stands still until the write deadline has passed, and
	// every later write fails at once. A caller that does not read holds its request no longer than before.
	cases := map[string]struct {
		size  int
		reads bool
	}{
		"short":             {100, true},
		"long":              {64 << 10, true},
		"caller that waits": {64 << 20, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			failed := make(chan error, 1)
			wd := newWorld(t, func(w http.ResponseWriter, req *http.Request) {
				RequestOf(req).ReadWhole("one")
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second))
				_, err := w.Write(make([]byte, tc.size))
				failed <- err
			}, nil)
			ca := wd.dial()
			ca.send(request)
			if !tc.reads {
				assert.ErrorContains(t, <-failed, "timeout")
				loss := <-wd.lost
				assert.Equal(t, loss.Reason, EndedByWriteDeadline)
				return
			}
			_, body := ca.receive()
			assert.Equal(t, len(body), tc.size)
			assert.NilError(t, <-failed)
		})
	}
}

func TestRequestThatArrivedByItsReadDeadlineIsRead(t *testing.T) {
	// Guards against a request that is dropped because the process stood still: it arrives in time, and the read deadline has passed when the process
	// goes on.
	wd := newWorld(t, func(w http.ResponseWriter, req *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(-time.Second))
		body, err := io.ReadAll(req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
	}, nil)
	ca := wd.dial()
	long := strings.Repeat("x", 8000)
	ca.send("POST / HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 8000\r\n\r\n" + long)
	status, body := ca.receive()
	assert.Equal(t, status, 200)
	assert.Equal(t, body, long)
}

func TestIdleLimitThatIsRaisedIsHeeded(t *testing.T) {
	// Guards against a connection that is closed earlier than its caller expects: the limit is raised by a new configuration while the connection is
	// idle, and the timer was set by the former one.
	var limit atomic.Int64
	limit.Store(int64(50 * time.Millisecond))
	wd := newWorld(t, answerOK, func(opts *Options) { opts.IdleLimit = func() time.Duration { return time.Duration(limit.Load()) } })
	ca := wd.dial()
	ca.send(request)
	ca.receive()
	limit.Store(int64(time.Hour))
	time.Sleep(200 * time.Millisecond)
	ca.send(request)
	status, _ := ca.receive()
	assert.Equal(t, status, 200)
	limit.Store(int64(time.Millisecond))
	ca.send(request)
	ca.receive()
	ca.end()
}

func TestLossesAreReported(t *testing.T) {
	// Guards against a request that ends without a whole answer and leaves no trace: the log could not tell which side ended it, and why.
	leave := func(_ *world, ca *caller) { _ = ca.Close() }
	stay := func(*world, *caller) {}
	cases := map[string]struct {
		handler http.HandlerFunc
		then    func(wd *world, ca *caller)
		reason  Reason
	}{
		"answered": {answerOK, stay, ""},
		"not read whole": {func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, stay, ""},
		"cut by the handler": {func(w http.ResponseWriter, req *http.Request) {
			rq := RequestOf(req)
			rq.ReadWhole("one")
			rq.PassedOn()
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			rq.Cut("Silent", "for 2 s")
			panic(http.ErrAbortHandler)
		}, stay, "Silent"},
		"panic": {func(_ http.ResponseWriter, req *http.Request) {
			RequestOf(req).ReadWhole("one")
			panic("defect")
		}, stay, EndedByPanic},
		"caller leaves": {func(_ http.ResponseWriter, req *http.Request) {
			RequestOf(req).ReadWhole("one")
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}, leave, EndedByCaller},
		"closed at the end": {func(_ http.ResponseWriter, req *http.Request) {
			RequestOf(req).ReadWhole("one")
			<-req.Context().Done()
		}, func(wd *world, _ *caller) { _ = wd.srv.Close() }, EndedByClose},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			entered := make(chan struct{})
			wd := newWorld(t, func(w http.ResponseWriter, req *http.Request) {
				close(entered)
				tc.handler(w, req)
			}, nil)
			ca := wd.dial()
			ca.send(request)
			<-entered
			for wd.srv.Held().Requests == 1 && !wd.whole() {
				time.Sleep(time.Millisecond)
			}
			tc.then(wd, ca)
			for wd.srv.Held().Requests > 0 {
				time.Sleep(time.Millisecond)
			}
			if tc.reason == "" {
				_ = wd.srv.Close()
				assert.Equal(t, len(wd.lost), 0)
				return
			}
			loss := <-wd.lost
			assert.Equal(t, loss.Reason, tc.reason)
			assert.Equal(t, loss.Request, "one")
			assert.Equal(t, loss.Detail == "for 2 s", loss.Reason == "Silent")
			assert.Equal(t, loss.PassedOn, loss.Reason == "Silent")
			assert.Equal(t, loss.Written > 0, loss.Reason == "Silent")
		})
	}
}

// whole reports whether a request was read whole.
func (wd *world) whole() bool {
	for _, cn := range wd.srv.open() {
		cn.mu.Lock()
		rq := cn.request
		cn.mu.Unlock()
		if rq != nil && rq.name.Load() != nil {
			return true
		}
	}
	return false
}

func TestDrainEndsAtItsLimit(t *testing.T) {
	// Guards against a drain that outlasts the grace period: a request does not end, and the process would be killed with all that it holds.
	wd := newWorld(t, func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }, nil)
	wd.dial().send(request)
	for wd.srv.Held().Requests == 0 {
		time.Sleep(time.Millisecond)
	}
	limited, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Equal(t, wd.srv.Drain(limited), context.DeadlineExceeded)
	assert.Equal(t, wd.srv.Held(), Held{Connections: 1, Requests: 1})
}

func TestPartOfARequestDoesNotHoldAConnectionForGood(t *testing.T) {
	// Guards against descriptors that are used up: a caller sends two bytes on a kept connection and then nothing. The timer of idle connections left it
	// alone, and http.Server waits without a limit for the first four bytes.
	wd := newWorld(t, func(http.ResponseWriter, *http.Request) {}, func(opts *Options) {
		opts.HeaderTimeout = 300 * time.Millisecond
		opts.IdleLimit = func() time.Duration { return 200 * time.Millisecond }
	})
	ca := wd.dial()
	ca.send(request)
	ca.receive()
	ca.send("GE")
	_ = ca.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := ca.reader.ReadByte()
	assert.Assert(t, err != nil && !isTimeout(err), err)
}

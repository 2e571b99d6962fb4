package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// newHeldBody returns a body for which an account counts as many bytes as it has.
func newHeldBody(t *testing.T, text string) (*heldBody, *memory.Account) {
	ac := memory.New(1 << 20)
	hb := &heldBody{account: ac, data: []byte(text), length: len(text)}
	assert.Assert(t, ac.TryNew(memory.Bodies, int64(len(text))))
	hb.reserved(int64(len(text)))
	return hb, ac
}

func TestBodyIsReleasedOnceItCannotBeSentAgain(t *testing.T) {
	// Guards against bodies that are held for as long as their answers last although nothing sends them again, and against a body that is given
	// back while a replica that answers early still reads it, or given back twice, so that the account counts less than is held.
	hb, ac := newHeldBody(t, "hymn 101")
	reader, err := hb.open()
	assert.NilError(t, err)
	start := make([]byte, 4)
	_, err = io.ReadFull(reader, start)
	assert.NilError(t, err)
	hb.answerBegan()
	assert.Equal(t, ac.Total(), int64(8))
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, string(start)+string(rest), "hymn 101")
	assert.NilError(t, reader.Close())
	assert.NilError(t, reader.Close())
	assert.Equal(t, ac.Total(), int64(0))
	_, err = reader.Read(start)
	assert.Equal(t, err, http.ErrBodyReadAfterClose)
	_, err = hb.open()
	assert.Assert(t, err != nil)
	hb.end()
	assert.Equal(t, ac.Total(), int64(0))
}

func TestBodyOfAResumableRequestIsHeldUntilItsEnd(t *testing.T) {
	// Guards against a stream that is resumed at another replica with an empty body.
	hb, ac := newHeldBody(t, "hymn 101")
	hb.resumable = true
	for range 2 {
		reader, err := hb.open()
		assert.NilError(t, err)
		raw, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), "hymn 101")
		assert.NilError(t, reader.Close())
		hb.answerBegan()
		assert.Equal(t, ac.Total(), int64(8))
	}
	_, err := hb.open()
	assert.NilError(t, err)
	hb.end()
	assert.Equal(t, ac.Total(), int64(0))
}

// boundMemory sets what may be held. Requests that arrive later see that, since each loads the routing first.
func (in *Instance) boundMemory(bound int64) {
	in.memory = memory.New(bound)
	in.buffers.account = in.memory
	in.routing.Store(in.routing.Load())
}

// dialFront opens a connection on which requests can be sent and their answers read.
func dialFront(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// awaitAnswer reads an answer and returns it with its body.
func awaitAnswer(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

func TestRefusalForMemoryReachesTheCaller(t *testing.T) {
	// Guards against a refusal that its caller never reads: the connection closes while it still sends its body, and the reset discards the
	// answer. A caller that finds its connection cut does not know whether its request has run.
	in, address := newFront(t, nil)
	in.boundMemory(256 << 10)
	conn, reader := dialFront(t, address)
	body := strings.Repeat("x", 1<<20)
	for i, head := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)} {
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: r-%d\r\n%s", i, head)
		assert.NilError(t, err)
		resp, text := awaitAnswer(t, reader)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1")
		assert.Equal(t, text, "memory: too large\n")
		assert.Assert(t, !resp.Close)
	}
	assert.Equal(t, in.memory.Total(), int64(0))
	assert.Equal(t, in.counted("Memory.Refused.too large"), int64(2))
}

func TestBodyThatDoesNotArriveIsBoundedInTime(t *testing.T) {
	// Guards against callers that hold memory for as long as they like, since nothing bounds the time that a body takes.
	in, address := newFront(t, nil)
	conn, reader := dialFront(t, address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: one\r\nTimeout: 300ms\r\nContent-Length: 10\r\n\r\nabc")
	assert.NilError(t, err)
	resp, _ := awaitAnswer(t, reader)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, resp.Close)
	assert.Equal(t, in.memory.Total(), int64(0))
}

func TestStalledSenderMakesRoomForOthers(t *testing.T) {
	// Guards against a caller that announces a long body, stops in the middle of it, and so keeps everybody else's long body from being read.
	in, address := newFront(t, nil)
	in.boundMemory(1300 << 10)
	stalled, stalledReader := dialFront(t, address)
	head := "POST / HTTP/1.1\r\nHost: hall.example\r\nX-Request-Id: %s\r\nContent-Length: 1048576\r\n\r\n%s"
	_, err := fmt.Fprintf(stalled, head, "stalled", strings.Repeat("x", memory.SmallBody+1))
	assert.NilError(t, err)
	for in.memory.Held(memory.Bodies) < 1<<20 {
		time.Sleep(time.Millisecond)
	}
	other, _ := dialFront(t, address)
	_, err = fmt.Fprintf(other, head, "other", strings.Repeat("x", 1<<20))
	assert.NilError(t, err)
	resp, text := awaitAnswer(t, stalledReader)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, text, "memory: body too slow while others wait\n")
	for in.open() == 0 {
		// The other request has been read and waits for a replica.
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, in.memory.Held(memory.Bodies), int64(1<<20))
}

func TestDetourCarriesTheBodyOnce(t *testing.T) {
	// Guards against copies of a long body on its way to another instance, and against an encoding that instances of earlier releases cannot
	// decode.
	for name, length := range map[string]int{"none": 0, "short": 1, "long": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			in, _ := newFront(t, nil)
			body := bytes.Repeat([]byte("x"), length)
			hb := &heldBody{account: in.memory, data: body, length: length}
			req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/verse?n=1", nil)
			assert.NilError(t, err)
			if length > 0 {
				req.ContentLength, req.GetBody = int64(length), hb.open
			}
			hop, err := in.newDetour("127.0.0.1:1", true, message{name: "request-1", request: "request-1"}, req)
			assert.NilError(t, err)
			for range 2 {
				sent, err := hop.GetBody()
				assert.NilError(t, err)
				raw, err := io.ReadAll(sent)
				assert.NilError(t, err)
				assert.NilError(t, sent.Close())
				assert.Equal(t, int64(len(raw)), hop.ContentLength)
				var dr detourRequest
				assert.NilError(t, cbor.Unmarshal(raw, &dr))
				assert.Equal(t, dr.Name+" "+dr.Target+" "+dr.From, "request-1 /verse?n=1 one")
				assert.Assert(t, bytes.Equal(dr.Body, body))
			}
			assert.Equal(t, hb.readers.Load(), int32(0))
		})
	}
}

func TestAnswersAreBufferedWithinMemory(t *testing.T) {
	// Guards against answers that exceed the memory together: what does not fit is passed on while it arrives. An answer that states its length
	// takes no more than that.
	cases := map[string]struct {
		length, declared int
		held             int64
		whole            bool
		buffered         int
	}{
		"short":                     {length: 100, declared: 100, whole: true, buffered: 101},
		"empty":                     {length: 0, declared: 0, whole: true, buffered: 1},
		"long":                      {length: 200 << 10, declared: 200 << 10, whole: true, buffered: 200<<10 + 1},
		"length unknown":            {length: 5 << 10, declared: -1, whole: true, buffered: 8 << 10},
		"longer than it states":     {length: 5 << 10, declared: 100, whole: true, buffered: 8 << 10},
		"memory used up":            {length: 200 << 10, declared: 200 << 10, held: 1 << 20, buffered: 0},
		"memory used up in between": {length: 200 << 10, declared: 200 << 10, held: 900 << 10, buffered: 64 << 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ac := memory.New(1 << 20)
			assert.Assert(t, ac.Try(memory.Bodies, int(tc.held)))
			bu := &buffers{account: ac}
			buf, whole, err := bu.read(bytes.NewReader(make([]byte, tc.length)), int64(tc.declared))
			assert.NilError(t, err)
			assert.Equal(t, whole, tc.whole)
			assert.Equal(t, cap(buf), tc.buffered)
			assert.Equal(t, ac.Held(memory.Answers), int64(cap(buf)))
			bu.release(cap(buf))
			assert.Equal(t, ac.Total(), tc.held)
		})
	}
}

func TestBodiesAreReadWhole(t *testing.T) {
	// Guards against a body that loses bytes where it moves from its first buffer to the next, and against a reservation that is not what is held.
	for _, length := range []int{1, memory.SmallBody - 1, memory.SmallBody, memory.SmallBody + 1, 300 << 10, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(length, " ", chunked), func(t *testing.T) {
				in, _ := newFront(t, nil)
				body := bytes.Repeat([]byte("hymn 101 "), length/9+1)[:length]
				cl := newBodyCall(in, body)
				if chunked {
					cl.req.ContentLength = -1
				}
				assert.Assert(t, in.readBody(cl))
				assert.Assert(t, bytes.Equal(cl.body.data, body))
				assert.Equal(t, cl.body.length, length)
				assert.Equal(t, in.memory.Total(), int64(cap(cl.body.data)))
				cl.body.end()
				assert.Equal(t, in.memory.Total(), int64(0))
				if length == 1<<20 {
					cl = newBodyCall(in, append(body, 'x'))
					cl.req.ContentLength = -1
					assert.Assert(t, !in.readBody(cl))
					assert.Equal(t, cl.w.(*bodyWriter).status, http.StatusRequestEntityTooLarge)
					assert.Equal(t, in.memory.Total(), int64(0))
				}
			})
		}
	}
}

// bodyWriter is a ResponseWriter without a connection.
type bodyWriter struct {
	header http.Header
	status int
}

func (bw *bodyWriter) Header() http.Header               { return bw.header }
func (bw *bodyWriter) WriteHeader(status int)            { bw.status = status }
func (bw *bodyWriter) Write(raw []byte) (int, error)     { return len(raw), nil }
func (bw *bodyWriter) SetReadDeadline(_ time.Time) error { return nil }

// newBodyCall returns a call whose body is yet to be read.
func newBodyCall(in *Instance, body []byte) *call {
	bw := &bodyWriter{header: http.Header{}}
	req, err := http.NewRequest(http.MethodPost, "http://hall.example/", bytes.NewReader(body))
	if err != nil {
		panic(errors.New("relay: the request of a test is invalid"))
	}
	return &call{w: bw, req: req, control: http.NewResponseController(bw), route: &in.routing.Load().Routes[0], deadline: time.Now().Add(time.Minute)}
}

// openCalls keeps the calls of BenchmarkReadBody on the heap.
var openCalls atomic.Pointer[[1]*call]

// BenchmarkReadBody measures what reading a body of a request costs, without a connection.
func BenchmarkReadBody(b *testing.B) {
	in := New(Options{Name: "one", MaxBody: 8 << 20}, nil, anyRequest{}, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	in.install(&decl.Routing{Version: 1, Routes: []decl.Route{{Name: "plain", Host: "hall.example", Prefix: "/"}}})
	for _, length := range []int{0, 300, 8 << 10, 64 << 10, 4 << 20} {
		b.Run(strconv.Itoa(length), func(b *testing.B) {
			body := make([]byte, length)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				cl := newBodyCall(in, body)
				// As in serve, the call outlives the function that reads its body.
				open := &[1]*call{}
				openCalls.Store(open)
				for pb.Next() {
					next := &call{w: cl.w, req: cl.req, control: cl.control, route: cl.route, deadline: cl.deadline}
					open[0] = next
					if length > 0 {
						next.req.Body = io.NopCloser(bytes.NewReader(body))
					}
					if !in.readBody(next) {
						b.Fail()
					}
					next.body.end()
				}
			})
		})
	}
}

package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// sealProtocol is a Protocol whose answers carry the request's ID and a signature.
type sealProtocol struct{ Protocol }

// ParseRequest implements Protocol.
func (sealProtocol) ParseRequest(req *http.Request) RequestInfo {
	return RequestInfo{Name: req.Header.Get("Name")}
}

// SetHeaders implements Protocol.
func (sealProtocol) SetHeaders(http.Header, ForwardInfo) {}

// ParseResponse implements Protocol.
func (sealProtocol) ParseResponse(resp *http.Response) ResponseInfo {
	return ResponseInfo{Name: resp.Header.Get("Name"), Sealed: resp.Header.Get("Seal") != ""}
}

// cutReplica answers each request with the bytes that are set, and ends the connection.
type cutReplica struct {
	net.Listener
	mu   sync.Mutex
	text []byte
	end  cutEnd
}

// cutEnd is how a replica ends its connection.
type cutEnd int

const (
	endClose cutEnd = iota
	endHalf
	endReset
	ends
)

func newCutReplica(t testing.TB) *cutReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cr := &cutReplica{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go cr.serve(conn.(*net.TCPConn))
		}
	}()
	return cr
}

// set sets what is answered from now on.
func (cr *cutReplica) set(text []byte, end cutEnd) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.text, cr.end = text, end
}

func (cr *cutReplica) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	cr.mu.Lock()
	text, end := cr.text, cr.end
	cr.mu.Unlock()
	_, _ = conn.Write(text)
	switch end {
	case endReset:
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	case endHalf:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
}

// cutShapes are forms of whole answers. The ones that end with their connection, or that are streams, say so.
var cutShapes = []struct {
	head, framed, body string
	open, stream       bool
}{
	{cutHead + "Content-Length: 12\r\n\r\n", "whole answer", "whole answer", false, false},
	{cutHead + "Transfer-Encoding: chunked\r\n\r\n", "6\r\nwhole \r\n6;x=y\r\nanswer\r\n0\r\n\r\n", "whole answer", false, false},
	{cutHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n", "c\r\nwhole answer\r\n0\r\nX-T: 1\r\n\r\n", "whole answer", false, false},
	{cutHead + "\r\n", "whole answer", "whole answer", true, false},
	{"HTTP/1.1 103 Early Hints\r\n\r\n" + cutHead + "Content-Length: 12\r\n\r\n", "whole answer", "whole answer", false, false},
	{cutHead + "Content-Length: 0\r\n\r\n", "", "", false, false},
	{cutHead + "Transfer-Encoding: chunked\r\n\r\n", "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
	{cutHead + "Content-Length: 30\r\n\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false, true},
	{cutHead + "\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, true},
}

const cutHead = "HTTP/1.1 200 OK\r\nName: r\r\nSeal: s\r\n"

// cutServices is the number of services with a replica each, so that a failure pauses no replica that is used soon.
const cutServices = 4096

// knowCutReplica makes the Instance know a replica at the address in each of the services, and a route to each, under /c/ for calls and /s/ for streams.
func (in *Instance) knowCutReplica(address string) []steer.Replica {
	routing := &decl.Routing{Version: 1, Services: map[string]decl.Pool{}}
	var list []steer.Replica
	for i := range cutServices {
		name := strconv.Itoa(i)
		routing.Services[name] = decl.Pool{}
		list = append(list, steer.Replica{Name: name, Born: 1, Service: name, Address: address, Slots: 16})
		for _, stream := range []bool{false, true} {
			prefix := map[bool]string{false: "/c/", true: "/s/"}[stream] + name + "/"
			routing.Routes = append(routing.Routes, decl.Route{
				Name: prefix, Host: "h", Prefix: prefix, Stream: stream, Shares: []decl.Share{{Service: name, Weight: 1}}, Repeats: decl.RetryNone,
				Timeout: decl.Duration(5 * time.Second), Goal: decl.Duration(4 * time.Second), Attempts: 1, Public: true,
			})
		}
	}
	routing.Index()
	in.protocol = sealProtocol{}
	in.install(routing)
	in.apply(steer.Listed{Replicas: list})
	return list
}

// judge returns what is wrong with an answer that its caller got without an error, if the replica sent the text.
func judge(shape int, text []byte, end cutEnd, whole bool, status int, header http.Header, body []byte) string {
	sp := &cutShapes[shape]
	switch {
	case status >= 300 && header.Get("Seal") != "" && !bytes.Contains(text, []byte(strconv.Itoa(status))):
		return "a failure bears the replica's signature"
	case status >= 300:
		return ""
	case header.Get("Seal") == "":
		return "a success without the replica's signature"
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	for err == nil && resp.StatusCode < 200 {
		// Only the table has informational answers, and they end with the same head.
		rest := text[bytes.Index(text, []byte("\r\n\r\n"))+4:]
		text = rest
		resp, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(rest)), nil)
	}
	if err != nil {
		return "a success although the head is none: " + err.Error()
	}
	want, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("a success %q although the body is cut: %v", body, err)
	case !bytes.Equal(want, body):
		return fmt.Sprintf("a success %q instead of %q", body, want)
	case whole && string(body) != sp.body && !(sp.open && end != endReset):
		return fmt.Sprintf("a success with %q, which is not the whole body", body)
	}
	return ""
}

// FuzzAnswer sends answers that are cut and in which bytes are replaced, through the front for callers.
func FuzzAnswer(f *testing.F) {
	for shape := range cutShapes {
		for end := range ends {
			f.Add(uint8(shape), uint16(1000), uint8(end), uint16(0), []byte{})
			f.Add(uint8(shape), uint16(40+10*shape), uint8(end), uint16(0), []byte{})
			f.Add(uint8(shape), uint16(1000), uint8(end), uint16(37), []byte("Content-Length: 5\r\n"))
			f.Add(uint8(shape), uint16(1000), uint8(end), uint16(52), []byte("-"))
		}
	}
	// Empty lines and blanks after the last event of a stream.
	for _, end := range []string{"\n", "\r\n", " ", "\n\n\n"} {
		f.Add(uint8(8), uint16(1000), uint8(endClose), uint16(1000), []byte(end))
	}
	in, _ := newFuzzInstance(f)
	rep := newCutReplica(f)
	in.knowCutReplica(rep.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	ticked := make(chan error, 1)
	go func() { ticked <- in.tick(ctx) }()
	f.Cleanup(func() { cancel(); <-ticked })
	server := httptest.NewServer(http.HandlerFunc(in.serve))
	f.Cleanup(server.Close)
	var next atomic.Int64
	f.Fuzz(func(t *testing.T, shapeByte uint8, cut uint16, endByte uint8, at uint16, replacement []byte) {
		shape, end := int(shapeByte)%len(cutShapes), cutEnd(endByte)%ends
		sp := &cutShapes[shape]
		text := []byte(sp.head + sp.framed)
		changed := len(replacement) > 0
		if changed {
			from := min(int(at), len(text))
			text = append(append(bytes.Clone(text[:from]), replacement...), text[min(len(text), from+1):]...)
		}
		text = text[:min(int(cut), len(text))]
		if changed && bytes.Contains(text, []byte("HTTP/1.1 1")) {
			// judge does not follow arbitrary informational answers.
			return
		}
		rep.set(text, end)
		kind := map[bool]string{false: "c", true: "s"}[sp.stream]
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("%s/%s/%d/", server.URL, kind, next.Add(1)%cutServices), strings.NewReader("x"))
		assert.NilError(t, err)
		req.Host = "h"
		req.Header.Set("Name", "r")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		assert.Equal(t, judge(shape, text, end, !changed, resp.StatusCode, resp.Header, body), "", "%q", text)
	})
}

// newDetourSender returns a function that sends a message to a replica through the peer at the address and returns the answer.
func newDetourSender(t *testing.T, address string) func(replica steer.Replica) (*http.Response, []byte, error) {
	in := newTestInstance(t, "one", newFakeDirectory())
	in.protocol = sealProtocol{}
	return func(replica steer.Replica) (*http.Response, []byte, error) {
		in.setPeers(peersByName([]Peer{{Name: "two", Address: address}}))
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+replica.Address+"/", strings.NewReader("x"))
		assert.NilError(t, err)
		resp, err := in.exchangeVia("two", true, message{request: "r", name: "r", to: steer.Target{Replica: replica, Kind: notice.First}}, req)
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}

// FuzzDetour asks an Instance to pass arbitrary messages on.
func FuzzDetour(f *testing.F) {
	in, _ := newFuzzInstance(f)
	rep := newCutReplica(f)
	rep.set([]byte(cutShapes[0].head+cutShapes[0].framed), endClose)
	in.knowCutReplica(rep.Addr().String())
	in.setPeers(peersByName([]Peer{{Name: "two", Address: "127.0.0.1:9"}}))
	for _, dr := range []detourRequest{
		{From: "two", Replica: "0", Born: 1, Kind: notice.First, Request: "r", Name: "r", TimeLeftMs: 1000, Method: "POST", Target: "/x?y", Host: "h", Header: http.Header{"X": {"y"}}, Body: []byte("x")},
		{From: "two", Replica: "1", Born: 1, Kind: notice.Renewal, ExpiresInMs: math.MaxInt64, TimeLeftMs: 50, Method: "a b", Target: "//x", Header: http.Header{"": {"\r\n"}}},
		{Replica: "2", Born: 1, TimeLeftMs: math.MinInt64, ExpiresInMs: -1, Kind: 99},
	} {
		raw, err := cbor.Marshal(dr)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		req := httptest.NewRequestWithContext(ctx, http.MethodPost, detourPath, bytes.NewReader(raw))
		req.RemoteAddr = "127.0.0.1:1"
		rec := httptest.NewRecorder()
		in.serveDetour(rec, req)
		assert.Assert(t, rec.Header().Get(detourResultHeader) != "")
		assert.Equal(t, in.detours.Load(), int64(0))
	})
}

func TestAnswersCutBehindDetour(t *testing.T) {
	// A replica ends its connection after each byte of its answer, which another Instance passes on. The sender must get the whole answer or an error.
	two := newTestInstance(t, "two", newFakeDirectory())
	rep := newCutReplica(t)
	list := two.knowCutReplica(rep.Addr().String())
	two.setPeers(peersByName([]Peer{{Name: "one", Address: "127.0.0.1:9"}}))
	server := httptest.NewServer(http.HandlerFunc(two.serveDetour))
	t.Cleanup(server.Close)
	send := newDetourSender(t, server.Listener.Addr().String())
	used, succeeded := 0, 0
	for shape := range cutShapes {
		sp := &cutShapes[shape]
		whole := sp.head + sp.framed
		for cut := range len(whole) + 1 {
			end := cutEnd((cut + shape) % int(ends))
			text := []byte(whole[:cut])
			rep.set(text, end)
			resp, body, err := send(list[used])
			used++
			if err != nil {
				assert.Assert(t, cut < len(whole) || end == endReset, "the whole answer of form %d: %v", shape, err)
				continue
			}
			succeeded++
			assert.Equal(t, judge(shape, text, end, true, resp.StatusCode, resp.Header, body), "", "%q, end %d", text, end)
		}
	}
	assert.Assert(t, used < cutServices && succeeded >= len(cutShapes)/2, "%d of %d", succeeded, used)
}

func TestAnswersCutBetweenInstances(t *testing.T) {
	// The connection between two instances ends after some byte of an answer that one passes on, of all bytes in turn. The other one must get the whole answer or an error, also
	// of an answer that has neither a length nor chunks at the replica.
	two := newTestInstance(t, "two", newFakeDirectory())
	rep := newCutReplica(t)
	list := two.knowCutReplica(rep.Addr().String())
	two.setPeers(peersByName([]Peer{{Name: "one", Address: "127.0.0.1:9"}}))
	server := httptest.NewServer(http.HandlerFunc(two.serveDetour))
	t.Cleanup(server.Close)
	tap := newTap(t, server.Listener.Addr().String())
	send := newDetourSender(t, tap.Addr().String())
	for shape := range cutShapes {
		sp := &cutShapes[shape]
		rep.set([]byte(sp.head+sp.framed), endClose)
		tap.set(-1, endClose)
		resp, body, err := send(list[shape])
		for try := 0; err != nil && try < 20; try++ {
			// On a busy machine the message may be held back, since it is too old.
			resp, body, err = send(list[shape])
		}
		assert.NilError(t, err)
		assert.Equal(t, string(body), sp.body)
		assert.Equal(t, resp.Header.Get("Seal"), "s")
		length := int(tap.passed.Load())
		assert.Assert(t, length > len(sp.body))
		// Over the forms, each byte of what the instances add is a cut.
		for cut := shape % 4; cut < length; cut += 4 {
			tap.set(cut, cutEnd((cut/4+shape)%int(ends)))
			_, body, err := send(list[shape])
			assert.Assert(t, err != nil, "form %d, cut after %d of %d bytes: %q", shape, cut, length, body)
		}
	}
}

// tap passes connections on to an address and cuts the answers.
type tap struct {
	net.Listener
	to  string
	mu  sync.Mutex
	cut int
	end cutEnd
	// passed is the number of bytes of the last answer that were passed on.
	passed atomic.Int64
}

func newTap(t *testing.T, to string) *tap {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	tp := &tap{Listener: listener, to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go tp.serve(conn.(*net.TCPConn))
		}
	}()
	return tp
}

// set sets after how many bytes the answers are cut from now on, below 0 for none.
func (tp *tap) set(cut int, end cutEnd) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	tp.cut, tp.end = cut, end
}

func (tp *tap) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	peer, err := net.Dial("tcp", tp.to)
	if err != nil {
		return
	}
	defer func() { _ = peer.Close() }()
	go func() { _, _ = io.Copy(peer, conn) }()
	tp.mu.Lock()
	cut, end := tp.cut, tp.end
	tp.mu.Unlock()
	tp.passed.Store(0)
	buf := make([]byte, 1)
	for passed := 0; passed != cut; passed++ {
		if _, err := peer.Read(buf); err != nil {
			return
		}
		tp.passed.Add(1)
		if _, err := conn.Write(buf); err != nil {
			return
		}
	}
	switch end {
	case endReset:
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	case endHalf:
		_ = conn.CloseWrite()
		time.Sleep(time.Millisecond)
	}
}

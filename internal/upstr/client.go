package upstr

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/trip"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
	// probeTimeout bounds the probe of Died. On a busy machine the connections of a dead process take a while to close:
	// with 300 ms, 4 of 42 parallel runs missed a death and let a request that crashes engines kill a third one; with 2 s, 1 of
	// 42 did.
	probeTimeout = 2 * time.Second
	// reachTimeout is the timeout of Reaches; a live upstream accepts a connection within a few milliseconds.
	reachTimeout = 300 * time.Millisecond
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// idlePerUpstream is how many idle connections are kept per upstream.
	idlePerUpstream = 64
	// maxReportBytes bounds an engine's load report.
	maxReportBytes = 1 << 20
	// maxCacheEventsBytes bounds one response with cache events.
	maxCacheEventsBytes = 8 << 20
	// maxPrefillBytes bounds the answer to a prefill, which is a short handle.
	maxPrefillBytes = 64 << 10
)

// Client implements Engine and Plain over net/http.
type Client struct {
	// Check, unless nil, is called just before each call is sent and again once a connection was opened for it. The call is not
	// sent if it returns an error.
	Check func(call Call) error
	// Announced, unless nil, is called with what each answer announces. sent is when the call was sent.
	Announced func(call Call, sent time.Time, ann notice.Announced)
	// Connected, unless nil, is called with the address of each new connection.
	Connected func(address string)
	dial      notice.Dialer
	mu        sync.Mutex
	// pools holds one transport per address, so that the idle connections to one unresponsive upstream can be closed
	// alone.
	pools map[string]*http.Transport
	// unpooled opens a new connection for each call and closes it afterwards.
	unpooled *http.Transport
}

// New returns a client with no connections.
func New() *Client { return NewWithDialer((&net.Dialer{}).DialContext) }

// NewWithDialer returns a client that opens its connections by dial. Tests cut a client off from its upstreams with it.
func NewWithDialer(dial notice.Dialer) *Client {
	cl := &Client{dial: dial, pools: map[string]*http.Transport{}}
	cl.unpooled = cl.newTransport(true)
	return cl
}

func (cl *Client) newTransport(disableKeepAlives bool) *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := cl.dial(limited, network, address)
		if err == nil && cl.Connected != nil {
			cl.Connected(address)
		}
		return conn, err
	}
	transport := trip.NewTransport(notice.CheckedDialer(dial))
	transport.DisableCompression, transport.DisableKeepAlives = true, disableKeepAlives
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = idlePerUpstream, idleTimeout
	transport.WriteBufferSize, transport.ReadBufferSize = 64<<10, 32<<10
	return transport
}

// check returns the error of Check if the call must not be sent.
func (cl *Client) check(call Call) error {
	if cl.Check == nil {
		return nil
	}
	return cl.Check(call)
}

func (cl *Client) transport(call Call) *http.Transport {
	// A kept connection that the upstream closes as a call is written to it leaves open whether the call arrived. Calls that must not
	// be repeated ask for a new one.
	if call.NewConnection {
		return cl.unpooled
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	pool, ok := cl.pools[call.Address]
	if !ok {
		pool = cl.newTransport(false)
		cl.pools[call.Address] = pool
	}
	return pool
}

// Died reports whether the upstream's process is gone: it refuses a new connection or closes it without a response. An
// upstream that only closed an earlier connection answers on the new one. An accepted connection alone proves nothing,
// since a proxy in between may accept it for a process that is gone; so Died sends a request that every server answers
// and that has no effect. An upstream that the probe must not reach counts as alive. A timeout does not count as a death: a process that crashes does not leave its connections
// open.
func (cl *Client) Died(ctx context.Context, address string) bool {
	if cl.check(Call{Address: address, Kind: notice.Probe}) != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := cl.dial(limited, "tcp", address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		err = probe(limited, conn, address)
	}
	return err != nil && limited.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Reaches reports whether a new connection to the upstream opens within reachTimeout. It returns true if ctx ends first, or if the probe must
// not be sent.
func (cl *Client) Reaches(ctx context.Context, address string) bool {
	if cl.check(Call{Address: address, Kind: notice.Probe}) != nil {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	conn, err := cl.dial(limited, "tcp", address)
	if err != nil {
		return ctx.Err() != nil
	}
	_ = conn.Close()
	return true
}

// probe sends an OPTIONS request and waits for the first byte of the response.
func probe(ctx context.Context, conn net.Conn, address string) error {
	if until, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(until)
	}
	if _, err := fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// CloseIdle implements Engine.
func (cl *Client) CloseIdle(address string) {
	cl.mu.Lock()
	pool := cl.pools[address]
	delete(cl.pools, address)
	cl.mu.Unlock()
	if pool != nil {
		pool.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, pool := range cl.pools {
		pool.CloseIdleConnections()
	}
	cl.unpooled.CloseIdleConnections()
}

// announcedNames are the names of the headers in which upstreams announce.
var announcedNames = notice.Names{Leaving: HeaderLeaving}

// Do implements Plain. All calls to upstreams but the probe of Died pass through it.
func (cl *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	if err := cl.check(call); err != nil {
		return nil, withProof(err, norun.OfWrite(false))
	}
	sent := time.Now()
	ctx = notice.WithCheck(ctx, func() error { return cl.check(call) })
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, err
	}
	hooks := trip.Hooks{}
	if call.Connected != nil {
		hooks.Connected = func(_ net.Conn, reused bool) { call.Connected(reused) }
	}
	res, err := trip.Do(cl.transport(call), req, hooks)
	if err == nil {
		cl.readAnnounced(call, sent, res.Response)
		if call.Request != "" && statesNotRun(res.Response) {
			defer drain(res.Response.Body)
			return nil, refusalError(call, res)
		}
		return res.Response, nil
	}
	proof := norun.OfWrite(res.Written)
	switch {
	case proof == norun.None:
		return nil, Failed.Wrap(err, "upstr: no answer from %s; the request may have run", call.Address)
	case errorx.IsOfType(err, Held):
		return nil, withProof(err, proof)
	}
	return nil, withProof(NotSent.Wrap(err, "upstr: nothing was sent to %s; check that it runs and that the address is right", call.Address), proof)
}

// withProof adds the proof to the error, if there is one.
func withProof(err error, proof norun.Proof) error {
	if proof == norun.None {
		return err
	}
	if typed := errorx.Cast(err); typed != nil {
		return typed.WithProperty(PropertyProof, proof)
	}
	return err
}

// statesNotRun reports whether the answer refuses a call and states that it was not run.
func statesNotRun(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderRunState) == RunStateNotRun
}

// refusalError returns the error for an answer which states that the call of a request was not run. It has a proof unless the answer may belong
// to an earlier call on the connection.
func refusalError(call Call, res trip.Result) error {
	proof := norun.OfAnswer(norun.Answer{
		Refusal: true, Request: call.Request, Named: norun.Named(res.Response.Header, HeaderRequest), Kept: res.Trace.Kept, Early: res.Trace.Early,
	})
	return withProof(statusError(call.Address, res.Response), proof)
}

// readAnnounced reports what the answer announces. An answer that names another request is a late one to an earlier call.
func (cl *Client) readAnnounced(call Call, sent time.Time, resp *http.Response) {
	name := norun.Named(resp.Header, HeaderRequest)
	if cl.Announced != nil && (name == "" || name == call.Request) {
		cl.Announced(call, sent, notice.Parse(announcedNames, resp.StatusCode, resp.Header))
	}
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	target, err := url.Parse("http://" + call.Address + call.Path)
	if err != nil {
		return nil, withProof(NotSent.Wrap(err, "upstr: invalid path %q", call.Path), norun.OfWrite(false))
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           target,
		Host:          call.Address,
		Header:        call.Header.Clone(),
		ContentLength: call.Length,
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if call.Length != 0 {
		req.Body = io.NopCloser(call.Body)
	}
	req.Header.Set(HeaderRequest, call.Request)
	return req.WithContext(ctx), nil
}

// Complete implements Engine.
func (cl *Client) Complete(ctx context.Context, call Call) (Stream, error) {
	call.Header = engineHeader(call)
	resp, err := cl.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		rd := NewReader(resp.Body, call.Request, call.Offset, call.Account)
		rd.Heartbeat = call.Heartbeat
		return rd, nil
	}
	defer drain(resp.Body)
	return nil, statusError(call.Address, resp)
}

func engineHeader(call Call) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	if call.Offset > 0 {
		header.Set(HeaderOffset, strconv.FormatInt(call.Offset, 10))
	}
	if call.Reservation != "" {
		header.Set(HeaderReservation, call.Reservation)
	}
	if len(call.Imports) > 0 {
		header.Set(HeaderImports, strings.Join(call.Imports, ","))
	}
	return header
}

func statusError(address string, resp *http.Response) error {
	kind := Failed
	if statesNotRun(resp) {
		kind = NotRun
	}
	err := kind.New("upstr: %s answered %s", address, resp.Status)
	return err.WithProperty(PropertyStatus, resp.StatusCode).
		WithProperty(PropertyRetryAfter, RetryAfter(resp.Header))
}

// RetryAfter parses the Retry-After header as seconds. It returns 0 if the header is absent, negative or not a number.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// drain reads a little of the remaining body, so that the connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}

// Prefill implements Engine.
func (cl *Client) Prefill(ctx context.Context, call Call, from, to int64) (string, error) {
	call.Kind = notice.Part
	call.Method = http.MethodPost
	call.Path = "/v1/prefill"
	call.Header = engineHeader(call)
	call.Header.Set(HeaderSegment, fmt.Sprintf("%d-%d", from, to))
	resp, err := cl.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return "", statusError(call.Address, resp)
	}
	var answer struct{ Handle string }
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPrefillBytes)).Decode(&answer); err != nil {
		return "", Failed.Wrap(err, "upstr: decoding the prefill answer of %s failed", call.Address)
	}
	return answer.Handle, nil
}

// Drop implements Engine.
func (cl *Client) Drop(ctx context.Context, address, request string) error {
	path := "/v1/requests/" + url.PathEscape(request)
	return cl.exchange(ctx, Call{Address: address, Kind: notice.Release, Method: http.MethodDelete, Path: path, NewConnection: true}, 0, nil)
}

// Load implements Engine.
func (cl *Client) Load(ctx context.Context, address string) (Report, error) {
	var report Report
	err := cl.exchange(ctx, Call{Address: address, Kind: notice.LoadQuery, Method: http.MethodGet, Path: "/v1/load"}, maxReportBytes, &report)
	return report, err
}

// CacheEvents implements Engine.
func (cl *Client) CacheEvents(ctx context.Context, address string, after int64) ([]event.CacheChanged, error) {
	path := "/v1/cache/events?after=" + strconv.FormatInt(after, 10)
	var batches []event.CacheChanged
	err := cl.exchange(ctx, Call{Address: address, Kind: notice.LoadQuery, Method: http.MethodGet, Path: path}, maxCacheEventsBytes, &batches)
	return batches, err
}

// Order implements Engine.
func (cl *Client) Order(ctx context.Context, address string, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return err
	}
	call := Call{
		Address: address,
		Kind:    notice.Order,
		Method:  http.MethodPost,
		Path:    "/v1/orders",
		Header:  http.Header{HeaderFence: {strconv.FormatInt(order.Fence, 10)}},
		Body:    bytes.NewReader(raw),
		Length:  int64(len(raw)),
		// A kept connection may have gone silent, and the order would be delivered late.
		NewConnection: true,
	}
	return cl.exchange(ctx, call, 0, nil)
}

// exchange sends a call and decodes at most limit bytes of its JSON response into out, unless out is nil.
func (cl *Client) exchange(ctx context.Context, call Call, limit int64, out any) error {
	resp, err := cl.Do(ctx, call)
	if err != nil {
		return err
	}
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusPreconditionFailed {
		return Fenced.New("upstr: %s rejected an outdated fencing number; send the order from the current lease holder", call.Address)
	}
	if resp.StatusCode/100 != 2 {
		return statusError(call.Address, resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(out); err != nil {
		return Failed.Wrap(err, "upstr: decoding the answer of %s%s failed", call.Address, call.Path)
	}
	return nil
}

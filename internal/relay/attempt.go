package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/steer"
)

const (
	// dialTimeout bounds a new connection; a live replica takes one in a few milliseconds.
	dialTimeout = 600 * time.Millisecond
	// idleReplica is how long a connection to a replica is kept, less than replicas keep theirs.
	idleReplica = 3 * time.Second
	// probeTimeout bounds the look whether a replica that broke off still takes connections.
	probeTimeout = 250 * time.Millisecond
	// maxAnswer is the longest plain answer; it is held until it is whole.
	maxAnswer = 8 << 20
	// leastLeft is the shortest time worth telling a replica.
	leastLeft = time.Millisecond
)

func newTransport(fresh bool) *http.Transport {
	// A connection that fell silent for good shows only by probes that are not answered.
	probes := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: probes}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     idleReplica,
		ReadBufferSize:      4 << 10,
		WriteBufferSize:     4 << 10,
	}
}

// answer is a whole answer of a replica.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (an *answer) write(cl *call) {
	copyHeader(cl.w.Header(), an.header)
	cl.w.Header().Set("Content-Length", strconv.Itoa(len(an.body)))
	cl.headerOut = true
	cl.w.WriteHeader(an.status)
	_, _ = cl.w.Write(an.body)
}

// attempt sends the request to a replica, passes its answer on and returns how that ended.
func (in *Instance) attempt(cl *call, eff steer.Send) steer.AttemptEnded {
	ctx, cancel := context.WithDeadline(cl.req.Context(), eff.Deadline)
	defer cancel()
	cl.mu.Lock()
	cl.attempt, cl.cancel = eff.Attempt, cancel
	cl.mu.Unlock()
	tr := &try{in: in, cl: cl, eff: eff, ended: steer.AttemptEnded{ID: cl.id, Attempt: eff.Attempt}}
	tr.ended.Result = tr.run(ctx)
	if tr.ended.Result == steer.ResultBroken && ctx.Err() == nil {
		tr.ended.Died = died(ctx, eff.Replica.Address)
	}
	tr.ended.Begun = cl.headerOut
	return tr.ended
}

// try is one attempt under way.
type try struct {
	in    *Instance
	cl    *call
	eff   steer.Send
	ended steer.AttemptEnded
	// wrote tells that the request may have left, silent that the replica made no progress in its time.
	wrote  atomic.Bool
	silent atomic.Bool
	timer  *time.Timer
	// cancel ends the renewing of memory that helpers set aside, renewed tells that it has ended.
	cancel  context.CancelFunc
	renewed chan struct{}
	// limit is the longest silence allowed now.
	limit  atomic.Int64
	checks atomic.Int32
	last   time.Time
	// progressed is when the last event came, nil before the first. It keeps the steady clock, which the time of day is not.
	progressed atomic.Pointer[time.Time]
}

func (tr *try) run(ctx context.Context) steer.Result {
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	tr.cancel = cancel
	limit := firstLimit(&tr.eff)
	tr.limit.Store(int64(limit))
	tr.timer = time.AfterFunc(limit, func() { tr.check(watched, cancel) })
	defer tr.timer.Stop()
	if fault, ok := tr.reserve(watched); !ok {
		tr.ended.At = fault
		return steer.ResultNotRun
	}
	defer tr.release()
	transport := tr.in.kept
	if tr.eff.Fresh {
		transport = tr.in.fresh1
	}
	sent := time.Now()
	resp, err := transport.RoundTrip(tr.request(watched))
	if err != nil {
		return tr.failed(ctx)
	}
	reply := tr.in.protocol.Reply(resp)
	tr.in.answered(tr.eff.Replica, sent, reply)
	defer func() { _ = resp.Body.Close() }()
	return tr.receive(ctx, resp, reply)
}

// check ends an attempt whose replica is silent. One that other requests heard lately, or that takes new connections, is
// not: it has more to do than was reckoned, and to send the request elsewhere would waste what it has read of it. A
// connection that only looks open shows by its probes.
func (tr *try) check(ctx context.Context, cancel context.CancelFunc) {
	limit := time.Duration(tr.limit.Load())
	if setsAside(&tr.eff) && !tr.cl.headerOut {
		tr.silent.Store(true)
		cancel()
		return
	}
	var heard time.Time
	if at, ok := tr.in.heard.Load(tr.eff.Replica.Name); ok {
		heard = at.(time.Time)
	}
	if tr.checks.Add(1) <= maxChecks && !passedBy(tr.progressed.Load(), heard, limit) {
		if since := time.Since(heard); since < limit {
			tr.timer.Reset(limit - since)
			return
		}
		if !died(ctx, tr.eff.Replica.Address) {
			tr.timer.Reset(limit)
			return
		}
	}
	tr.silent.Store(true)
	cancel()
}

// passedBy tells that other requests heard the replica long after this one's last event: the events of an engine leave it
// together, so that the connection is dead on which none came, though the replica is alive. Without that a stream sat on
// such a connection until its caller left, for as long as others heard the replica.
func passedBy(last *time.Time, heard time.Time, limit time.Duration) bool {
	return last != nil && heard.Sub(*last) > limit/2
}

// setsAside tells that helpers set memory aside for the attempt.
func setsAside(eff *steer.Send) bool {
	return slices.ContainsFunc(eff.Helpers, func(helper steer.Helper) bool { return helper.Tokens > 0 })
}

// firstLimit is how long the answer may take to begin. Memory set aside that no request uses must not be renewed for as
// long as a silent replica is believed to be at work.
func firstLimit(eff *steer.Send) time.Duration {
	if setsAside(eff) {
		return min(eff.FirstBy, ticketIdle)
	}
	return eff.FirstBy
}

// maxChecks is how often a replica that takes connections or is heard by others is believed to be at work on a request that it is silent about.
const maxChecks = 3

// failed classifies an attempt without a whole answer.
func (tr *try) failed(ctx context.Context) steer.Result {
	switch {
	case !tr.wrote.Load():
		return steer.ResultNotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return steer.ResultExpired
	case tr.silent.Load():
		return steer.ResultSilent
	case ctx.Err() != nil:
		return steer.ResultCancelled
	}
	return steer.ResultBroken
}

func (tr *try) request(ctx context.Context) *http.Request {
	cl := tr.cl
	// A connection that was had may carry the request from here on, whatever error follows.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { tr.wrote.Store(true) }})
	req := (&http.Request{
		Method: cl.req.Method, Host: cl.req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    target(cl.req, tr.eff.Replica.Address),
		Header: hops.Kept(cl.req.Header),
	}).WithContext(ctx)
	if len(cl.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(cl.body))
		req.ContentLength = int64(len(cl.body))
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Without it the library would add its own.
		req.Header["User-Agent"] = []string{""}
	}
	dress := Dress{
		Replica: tr.eff.Replica.Name, Organisation: cl.org, Left: max(leastLeft, time.Until(tr.eff.Deadline)),
		Priority: tr.eff.Priority, After: cl.after,
	}
	for i, helper := range tr.eff.Helpers {
		dress.Helpers = append(dress.Helpers, DressHelper{Address: helper.Address, Ticket: tr.ticketID(i)})
	}
	tr.in.protocol.Dress(req.Header, dress)
	return req
}

// target keeps the path as the caller wrote it.
func target(req *http.Request, address string) *url.URL {
	if strings.HasPrefix(req.RequestURI, "/") && !strings.HasPrefix(req.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: req.RequestURI}
	}
	return &url.URL{Scheme: "http", Host: address, Path: req.URL.Path, RawPath: req.URL.RawPath, RawQuery: req.URL.RawQuery}
}

func copyHeader(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range hops.Kept(from) {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
	if from.Get("Content-Type") == "" {
		// Without it the library would guess one.
		to["Content-Type"] = nil
	}
}

func (tr *try) receive(ctx context.Context, resp *http.Response, reply Reply) steer.Result {
	tr.ended.Status = resp.StatusCode
	tr.ended.At = reply.At
	if reply.Name != tr.cl.ask.Name && reply.Name != "" {
		// An answer to another request, which came late on a kept connection.
		return steer.ResultBroken
	}
	switch {
	case reply.Misdirected:
		return steer.ResultMisdirected
	case reply.NotRun:
		return steer.ResultNotRun
	case !reply.Sealed || resp.Header.Get("Content-Encoding") != "":
		return steer.ResultBroken
	case tr.cl.route.Stream && resp.StatusCode < http.StatusMultipleChoices:
		return tr.stream(ctx, resp)
	}
	return tr.whole(ctx, resp)
}

// whole holds an answer until all of it is here, so that one that breaks off can be replaced.
func (tr *try) whole(ctx context.Context, resp *http.Response) steer.Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return tr.failed(ctx)
	}
	an := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusMultipleChoices || tr.cl.headerOut {
		tr.cl.failure = an
		return steer.ResultAnswered
	}
	tr.in.apply(steer.Began{ID: tr.cl.id, Attempt: tr.eff.Attempt})
	an.write(tr.cl)
	return steer.ResultDone
}

// died tells that the replica takes no new connection.
func died(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = conn.Close()
	return false
}

package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/trip"
)

const (
	// dialTimeout is the timeout for opening a connection; a live replica accepts one within a few milliseconds.
	dialTimeout = 600 * time.Millisecond
	// peerIdleTimeout is how long an idle connection to another Instance is kept.
	peerIdleTimeout = 3 * time.Second
	// maxIdlePerHost is the maximum number of idle connections to one address.
	maxIdlePerHost = 4
	// probeTimeout is the timeout of refusesConnections, which checks whether a replica still accepts connections after
	// an attempt broke or its replica fell silent.
	probeTimeout = 250 * time.Millisecond
	// maxStatus is the highest status that an answer may have.
	maxStatus = 599
	// minTimeLeft is the minimum time left that a replica is told, even if less is left until the deadline.
	minTimeLeft = time.Millisecond
)

// newDialer returns the function that opens connections within the timeout: dial, or that of the system if it is nil.
func newDialer(dial notice.Dialer, timeout time.Duration) notice.Dialer {
	if dial == nil {
		// Only unanswered TCP keep-alive probes show that a connection has died silently.
		probes := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
		return (&net.Dialer{Timeout: timeout, KeepAliveConfig: probes}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(limited, network, address)
	}
}

// newTransport returns a transport that opens its connections by dial and keeps idle ones for the given time.
func newTransport(dial notice.Dialer, disableKeepAlives bool, idleTimeout time.Duration) *http.Transport {
	transport := trip.NewTransport(notice.CheckedDialer(dial))
	transport.DisableCompression, transport.DisableKeepAlives = true, disableKeepAlives
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdlePerHost, idleTimeout
	transport.ReadBufferSize, transport.WriteBufferSize = 4<<10, 4<<10
	return transport
}

// response is a complete response of a replica.
type response struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse sends the caller a replica's whole response.
func (in *Instance) writeResponse(cl *call, rsp *response) {
	in.announceClose(cl)
	copyHeader(cl.w.Header(), rsp.header)
	cl.w.Header().Set("Content-Length", strconv.Itoa(len(rsp.body)))
	cl.headerSent.Store(true)
	cl.allowWrite(len(rsp.body))
	cl.w.WriteHeader(rsp.status)
	_, _ = cl.w.Write(rsp.body)
}

// runAttempt sends the request to a replica, forwards its response and returns how the attempt ended.
func (in *Instance) runAttempt(cl *call, eff steer.Send) (ended steer.AttemptEnded) {
	defer func() {
		if cause := recover(); cause != nil {
			ended = in.attemptPanicked(cl, eff, cause)
		}
	}()
	ctx, end, release := cutoff.Context(cl.req.Context(), eff.Deadline)
	defer release()
	cl.mu.Lock()
	cl.attempt, cl.cancel = eff.Attempt, end
	cl.mu.Unlock()
	att := &attempt{in: in, cl: cl, eff: eff, end: end, expiresAt: make([]time.Time, len(eff.Helpers)), ended: steer.AttemptEnded{ID: cl.id, Attempt: eff.Attempt}}
	att.ended.Result = att.run(ctx)
	att.ended.Proof = att.delivery.proof
	att.ended.Unreachable = att.unreachable.Load()
	if via := att.via.Load(); via != nil {
		att.ended.Via = *via
	}
	if att.ended.Result == steer.ResultBroken && att.ended.Via == "" {
		att.examine()
	}
	att.ended.Begun = cl.headerSent.Load()
	if att.ended.Result != steer.ResultDone {
		att.logTrace()
	}
	return att.ended
}

// examine finds out why the replica has broken off its answer. The attempt's own context has ended if its connection was found to be dead.
func (att *attempt) examine() {
	limited, stop := context.WithDeadline(att.cl.req.Context(), att.eff.Deadline)
	defer stop()
	att.ended.Unreachable, att.ended.Died = att.in.examineFailure(limited, att.eff.Replica)
}

// attemptPanicked returns the end of an attempt that panicked, which is a defect. Without an end the reducer would count the attempt as running at
// its replica for good.
func (in *Instance) attemptPanicked(cl *call, eff steer.Send, cause any) steer.AttemptEnded {
	in.count("Attempts.Panicked")
	in.log.Error().Str("Request", cl.info.Name).Str("Replica", eff.Replica.Name).Str("Cause", fmt.Sprint(cause)).Bytes("Stack", debug.Stack()).Msg("attempt panicked")
	return steer.AttemptEnded{ID: cl.id, Attempt: eff.Attempt, Result: steer.ResultBroken, Begun: cl.headerSent.Load()}
}

// logTrace logs how the request was sent and what came back, which explains why it was sent again or not.
func (att *attempt) logTrace() {
	entry := att.in.log.Info().Str("Request", att.cl.info.Name).Int("Attempt", att.eff.Attempt).
		Str("Replica", att.eff.Replica.Name).Int64("Born", att.eff.Replica.Born).Str("Result", att.ended.Result.String())
	addString(entry, "Via", att.ended.Via)
	if tr := att.delivery.trace; tr.Conn != 0 {
		entry.Int64("Connection", tr.Conn).Bool("Kept", tr.Kept).Int64("Answers", tr.Answers).Int64("Written", tr.Written).Int64("WaitedUs", tr.Waited.Microseconds())
	}
	if att.delivery.status != 0 {
		entry.Int("Status", att.delivery.status).Str("Named", att.delivery.answer.Name).Bool("NotRun", att.delivery.answer.NotRun)
	}
	silence, stood, seen := att.watch.last()
	if seen {
		entry.Int64("SilentMs", silence.Milliseconds()).Int64("StoodStillMs", stood.Milliseconds())
	}
	entry.Str("End", att.ended.End.String()).Bool("Begun", att.ended.Begun).Str("Proof", att.ended.Proof.String()).Msg("attempt without a whole answer")
	att.in.count("Attempts.Ended." + att.ended.End.String())
	if att.ended.Proof != norun.None {
		att.in.count("Attempts.NotRun." + att.ended.Proof.String() + "." + repeatKind(att.cl.route))
	}
}

// attempt is one attempt under way.
type attempt struct {
	in    *Instance
	cl    *call
	eff   steer.Send
	ended steer.AttemptEnded
	// end ends the attempt with a proof that its answer will not go on.
	end cutoff.CancelFunc
	// watch notices that the replica is silent.
	watch *silenceWatch
	// unreachable reports whether watch found that the replica accepts no connection.
	unreachable atomic.Bool
	// via names the Instance through which the attempt is sent, nil if it is sent directly.
	via atomic.Pointer[string]
	// cancel ends the renewal of the attempt's reservations.
	cancel context.CancelFunc
	// reservedAt is when the last of the attempt's reservations was made.
	reservedAt time.Time
	// expiresAt holds when the reservation at each helper expires unless it is renewed.
	expiresAt []time.Time
	// renewalDone is closed when the renewal has ended; nil if it was not started.
	renewalDone chan struct{}
	// lastEvent is the time of the last event, zero before the first. Only the goroutine that reads the response uses it.
	lastEvent time.Time
	// delivery is what became of the request.
	delivery delivery
}

func (att *attempt) run(ctx context.Context) steer.Result {
	renewing := att.renewal(ctx)
	defer att.cancel()
	att.watch = att.watchSilence(ctx, firstByteLimit(&att.eff))
	defer att.watch.stop()
	att.delivery.proof = norun.OfWrite(false)
	if result := att.reserve(renewing); result != 0 {
		return result
	}
	defer att.release()
	began := time.Now()
	resp, ri, err := att.in.exchange(att.eff.NewConnection, att.message(), att.newRequest(ctx))
	if isHeldBack(err) && att.delivery.proof != norun.None {
		return steer.ResultHeld
	}
	if isNotWritten(err) && att.delivery.proof != norun.None {
		att.ended.GivenUp = cutoff.Of(ctx).IsOwn()
		att.ended.Hung = att.ended.GivenUp && time.Since(began) >= probeTimeout
		return steer.ResultNotSent
	}
	if err != nil {
		return att.failureResult(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return att.receive(ctx, resp, ri)
}

// renewal returns the context of the renewal of the attempt's reservations, which cancel ends.
func (att *attempt) renewal(ctx context.Context) context.Context {
	renewing, cancel := context.WithCancel(ctx)
	att.cancel = cancel
	return renewing
}

// message returns the attempt's request as exchange takes it.
func (att *attempt) message() message {
	name := att.cl.info.Name
	msg := message{id: att.cl.id, request: name, name: name, to: steer.Target{Replica: att.eff.Replica, Kind: att.eff.Kind, Granted: att.eff.Granted}, decidedAt: att.eff.DecidedAt, via: &att.via, delivery: &att.delivery}
	if hasReservations(&att.eff) {
		// The reservations were made on the same decision.
		msg.decidedAt = att.reservedAt
	}
	for _, helper := range att.eff.Helpers {
		msg.parts = append(msg.parts, steer.Target{Replica: helper.Replica, Kind: notice.Part})
	}
	return msg
}

// failureResult classifies an attempt that may have arrived and ended with the error, without a complete response.
func (att *attempt) failureResult(ctx context.Context, err error) steer.Result {
	att.ended.Died = diedBehindDetour(err)
	att.ended.End = cutoff.OfRead(ctx, err)
	switch {
	case att.ended.End.IsDeadline():
		return steer.ResultExpired
	case att.ended.End.IsResumption():
		return steer.ResultSilent
	case att.ended.End.IsOwn():
		return steer.ResultCancelled
	}
	return steer.ResultBroken
}

// callerFailed returns the result of an attempt whose caller was written to with the error.
func (att *attempt) callerFailed(err error) steer.Result {
	att.ended.End = cutoff.OfWrite(err)
	return steer.ResultCancelled
}

// unusable returns the result of an attempt whose replica has answered with something that the caller cannot be given.
func (att *attempt) unusable() steer.Result {
	att.ended.End = cutoff.OfAnswer(true)
	return steer.ResultBroken
}

func (att *attempt) newRequest(ctx context.Context) *http.Request {
	cl := att.cl
	req := (&http.Request{
		Method: cl.req.Method, Host: cl.req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    targetURL(cl.req, att.eff.Replica.Address),
		Header: hops.EndToEnd(cl.req.Header),
	}).WithContext(ctx)
	if cl.body.length > 0 {
		req.GetBody = cl.body.open
		req.ContentLength = int64(cl.body.length)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// Otherwise net/http adds its own User-Agent.
		req.Header["User-Agent"] = []string{""}
	}
	fi := ForwardInfo{
		Replica: att.eff.Replica.Name, Organisation: cl.org, TimeLeft: max(minTimeLeft, time.Until(att.eff.Deadline)),
		Priority: att.eff.Priority, After: cl.lastEventID,
	}
	for i, helper := range att.eff.Helpers {
		fi.Helpers = append(fi.Helpers, ForwardHelper{Address: helper.Address, ReservationID: att.reservationID(i)})
	}
	att.in.protocol.SetHeaders(req.Header, fi)
	return req
}

// targetURL returns the URL at the replica with the path and query exactly as the caller sent them, if possible.
func targetURL(req *http.Request, address string) *url.URL {
	if strings.HasPrefix(req.RequestURI, "/") && !strings.HasPrefix(req.RequestURI, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: req.RequestURI}
	}
	return &url.URL{Scheme: "http", Host: address, Path: req.URL.Path, RawPath: req.URL.RawPath, RawQuery: req.URL.RawQuery}
}

func copyHeader(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range hops.EndToEnd(from) {
		to[name] = values
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
	if from.Get("Content-Type") == "" {
		// Otherwise net/http guesses a Content-Type.
		to["Content-Type"] = nil
	}
}

func (att *attempt) receive(ctx context.Context, resp *http.Response, ri ResponseInfo) steer.Result {
	att.ended.Status = resp.StatusCode
	att.ended.FaultyReplica = ri.FaultyReplica
	if ri.Name != att.cl.info.Name && ri.Name != "" {
		// The response names another request: it is a late one to an earlier request on a reused connection.
		return att.unusable()
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		// net/http reads such a status and panics when it is to be written.
		return att.unusable()
	}
	switch {
	case ri.Misdirected:
		drainBody(resp)
		return steer.ResultMisdirected
	case ri.NotRun:
		drainBody(resp)
		return steer.ResultNotRun
	case !ri.Sealed || resp.Header.Get("Content-Encoding") != "":
		return att.unusable()
	case att.cl.route.Stream && resp.StatusCode < http.StatusMultipleChoices:
		return att.stream(ctx, resp)
	}
	return att.receiveWhole(ctx, resp)
}

const (
	// maxDrained is the maximum length in bytes of a refusal's body that is read so that its connection can be kept.
	maxDrained = 16 << 10
	// drainTimeout is the timeout for reading it. The body usually arrives together with the header.
	drainTimeout = 20 * time.Millisecond
)

// drainBody reads and discards the rest of a refusal's body, since net/http closes the connection of a response whose body is closed
// before its end.
func drainBody(resp *http.Response) {
	if resp.ContentLength < 0 || resp.ContentLength > maxDrained {
		return
	}
	timer := time.AfterFunc(drainTimeout, tasks.Guard("body end", func() { _ = resp.Body.Close() }))
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// receiveWhole buffers the response until it is complete, so that another attempt can replace one whose response is cut
// off. A successful response is written to the caller; one that is too long to be buffered is passed on while it arrives. An
// error response, or any response if the caller was sent a header before, is kept in errorResponse instead.
func (att *attempt) receiveWhole(ctx context.Context, resp *http.Response) steer.Result {
	body, whole, err := att.in.buffers.read(resp.Body, resp.ContentLength)
	att.cl.buffered += cap(body)
	if err != nil {
		return att.failureResult(ctx, err)
	}
	rsp := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusMultipleChoices || att.cl.headerSent.Load() {
		if !whole {
			att.in.log.Warn().Str("Request", att.cl.info.Name).Str("Replica", att.eff.Replica.Name).Int("Status", resp.StatusCode).Msg("error response too long to be kept")
			return att.unusable()
		}
		att.cl.errorResponse = rsp
		return steer.ResultAnswered
	}
	goesOn := att.began(ctx)
	if whole {
		att.in.writeResponse(att.cl, rsp)
		return steer.ResultDone
	}
	if !goesOn {
		return att.failureResult(ctx, errReplaced)
	}
	return att.passOn(ctx, resp, body)
}

// began states that the response to the caller begins. It returns false if another run was granted in place of the attempt before the reducer
// heard of that. From Began on, none is granted to a request that may not be resumed.
func (att *attempt) began(ctx context.Context) bool {
	att.in.apply(steer.Began{ID: att.cl.id, Attempt: att.eff.Attempt})
	if cutoff.Of(ctx).IsResumption() {
		return false
	}
	att.cl.body.answerBegan()
	return true
}

// passOn writes the response to the caller while it arrives. begun is the part of it that has arrived already.
func (att *attempt) passOn(ctx context.Context, resp *http.Response, begun []byte) steer.Result {
	att.in.count("Responses.PassedOn")
	att.in.announceClose(att.cl)
	copyHeader(att.cl.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		att.cl.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	att.cl.headerSent.Store(true)
	att.cl.allowWrite(len(begun))
	att.cl.w.WriteHeader(resp.StatusCode)
	if _, err := att.cl.w.Write(begun); err != nil {
		return att.callerFailed(err)
	}
	rest := &bodyReader{body: resp.Body}
	if _, err := io.Copy(att.cl.w, rest); err != nil && rest.err == nil {
		return att.callerFailed(err)
	}
	if rest.err != nil {
		return att.failureResult(ctx, rest.err)
	}
	return steer.ResultDone
}

// bodyReader remembers the error of a response's body, so that it can be distinguished from one of the caller's connection.
type bodyReader struct {
	body io.Reader
	// err is the error that ended the body, nil if it ended as a whole.
	err error
}

// Read implements io.Reader.
func (br *bodyReader) Read(buf []byte) (int, error) {
	count, err := br.body.Read(buf)
	if err != nil && err != io.EOF {
		br.err = err
	}
	return count, err
}

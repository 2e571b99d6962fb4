package relay

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// effectQueueSize is the capacity of a call's effects channel. It suffices: the reducer queues at most a Send and a
	// Finish at once.
	effectQueueSize = 4
	// defaultTimeout is how long a caller is assumed to wait if its request states no timeout.
	defaultTimeout = 30 * time.Second
	// noConfigRetryAfter is the Retry-After sent by an Instance without a usable configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the Retry-After sent while this Instance shuts down. It is short since another Instance can serve the caller.
	drainRetryAfter = 20 * time.Millisecond
	// writeGrace is how long a long answer may take to be written, and how long after a request's deadline parts of one may be.
	writeGrace = 300 * time.Millisecond
)

// call is one caller's request.
type call struct {
	id    steer.RequestID
	w     http.ResponseWriter
	req   *http.Request
	info  RequestInfo
	route *decl.Route
	org   string
	body  heldBody
	// contentDigest identifies the request's content.
	contentDigest steer.Digest
	deadline      time.Time
	effects       chan steer.Effect
	control       *http.ResponseController
	// account is the account of the request at the server.
	account *front.Request

	// headerSent reports whether the caller was sent a replica's status and header.
	headerSent atomic.Bool
	// lastEventID is the ID of the last event that was forwarded to the caller, empty if there was none.
	lastEventID string
	// errorResponse is a replica's error response, held until it is clear that no other response follows.
	errorResponse *response
	// complete reports whether the caller was sent a replica's whole answer.
	complete bool
	// lastResult is how the last attempt ended, 0 before there is one.
	lastResult steer.Result
	// arrived is when the request arrived.
	arrived time.Time
	// buffered is the size in bytes of the responses that are buffered for the call.
	buffered int

	// mu guards attempt and cancel.
	mu sync.Mutex
	// attempt is the number of the last attempt that was started.
	attempt int
	// cancel ends that attempt.
	cancel cutoff.CancelFunc
}

// serve handles one request from its arrival to its end.
func (in *Instance) serve(w http.ResponseWriter, req *http.Request) {
	cl := &call{
		w: w, req: req, info: in.protocol.ParseRequest(req), account: front.RequestOf(req),
		effects: make(chan steer.Effect, effectQueueSize), control: http.NewResponseController(w),
	}
	arrived := time.Now()
	in.awaitStart(req.Context())
	if !in.admit(cl) {
		return
	}
	timeout := cl.info.StatedTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	cl.deadline = arrived.Add(min(timeout, cl.route.Timeout.Std()))
	cl.arrived = arrived
	cl.limitWrites()
	defer cl.body.end()
	if !in.readBody(cl) {
		return
	}
	cl.account.ReadWhole(cl.info.Name)
	if in.draining.Load().refuses(time.Now(), cl.deadline) {
		in.reject(cl, http.StatusServiceUnavailable, string(steer.ReasonDraining), drainRetryAfter)
		return
	}
	in.process(cl, in.arrivedEvent(cl))
}

// admit finds the request's route and organisation, or writes the rejection and returns false.
func (in *Instance) admit(cl *call) bool {
	routing := in.routing.Load()
	if routing == nil {
		in.reject(cl, http.StatusServiceUnavailable, "no configuration yet", noConfigRetryAfter)
		return false
	}
	cl.route = routing.Find(cl.req.Host, cl.req.URL.Path)
	if cl.route == nil {
		in.reject(cl, http.StatusNotFound, "no route", 0)
		return false
	}
	if cl.info.Token != "" {
		cl.org = routing.Tokens[decl.TokenDigest(cl.info.Token)]
	}
	if cl.route.Public && cl.org == "" {
		return true
	}
	// A revoked token must not be accepted for longer than TokenLife, even by an Instance that cannot reach the store. On a public route it
	// would still make the request that of its Organisation.
	if !in.fresh(1) {
		cl.w.Header().Set("Connection", "close")
		in.reject(cl, http.StatusServiceUnavailable, "tokens unconfirmed", noConfigRetryAfter)
		return false
	}
	if cl.org == "" {
		in.reject(cl, http.StatusUnauthorized, "unknown token", 0)
		return false
	}
	return true
}

func (in *Instance) arrivedEvent(cl *call) steer.Arrived {
	priority := cl.route.Priority
	if orgPriority, ok := in.routing.Load().Priorities[cl.org]; ok {
		priority = orgPriority
	}
	cl.id = steer.RequestID(in.nextID.Add(1))
	cl.contentDigest = cl.digest()
	return steer.Arrived{
		ID: cl.id, Route: cl.route, Path: cl.req.URL.Path, Name: cl.info.Name, Organisation: cl.org, Priority: priority,
		Prompt: cl.info.Prompt, Answer: cl.info.Answer, Deadline: cl.deadline, LeavesAt: callerLeavesAt(cl.route, cl.arrived, cl.deadline),
		Digest: cl.contentDigest, Parts: cl.info.Parts, StatedTimeout: cl.info.StatedTimeout,
	}
}

// callerLeavesAt returns when a caller is assumed to give up if no answer has begun.
func callerLeavesAt(route *decl.Route, arrived, deadline time.Time) time.Time {
	if !route.Stream {
		return deadline
	}
	wait := max(minCallerWait, callerWaitGoals*route.Goal.Std(), callerWaitGaps*route.Gap.Std())
	if at := arrived.Add(wait); at.Before(deadline) {
		return at
	}
	return deadline
}

// The caller of a stream that has not begun is assumed to give up after the longest of the following three times.
const (
	// minCallerWait is the first of them, which does not depend on the route.
	minCallerWait = 2 * time.Second
	// callerWaitGoals gives the second as a multiple of the route's Goal.
	callerWaitGoals = 4
	// callerWaitGaps gives the third as a multiple of the route's Gap.
	callerWaitGaps = 8
)

func (cl *call) digest() steer.Digest {
	hash := xxhash.New()
	for _, part := range []string{cl.org, "\n", cl.req.Method, "\n", cl.req.RequestURI, "\n"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(cl.body.data)
	return steer.Digest(hash.Sum64())
}

// process reports the request's arrival to the reducer and carries out the effects that it queues for the call, until
// its Finish.
func (in *Instance) process(cl *call, ev steer.Arrived) {
	in.mu.Lock()
	in.calls[cl.id] = cl
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		delete(in.calls, cl.id)
		in.mu.Unlock()
	}()
	defer func() { in.buffers.release(cl.buffered) }()
	defer func() { in.recordTime("Requests.Whole."+routeKind(cl.route), time.Since(cl.arrived)) }()
	in.apply(ev)
	callerGone := cl.req.Context().Done()
	overdue, isAsked := time.NewTimer(time.Until(cl.deadline)+outcomeMargin), false
	defer overdue.Stop()
	for {
		select {
		case eff := <-cl.effects:
			switch eff := eff.(type) {
			case steer.Send:
				cl.account.PassedOn()
				ended := in.runAttempt(cl, eff)
				cl.lastResult, cl.complete = ended.Result, ended.Result == steer.ResultDone
				in.apply(ended)
			case steer.Finish:
				in.finish(cl, eff)
				return
			}
		case <-callerGone:
			callerGone = nil
			in.apply(steer.CallerGone{ID: cl.id})
		case <-overdue.C:
			if isAsked {
				in.endWithoutOutcome(cl)
				return
			}
			// The process may have stood still, and the reducer not have heard that the deadline has passed.
			isAsked = true
			in.apply(steer.Ticked{})
			overdue.Reset(outcomeMargin)
		}
	}
}

// outcomeMargin is how long after a request's deadline its outcome is waited for, once before the reducer is asked and once after.
const outcomeMargin = time.Second

// endWithoutOutcome ends a request for which the reducer has sent no Finish, which is a defect: a panic in the reducer was caught, and the effects
// of that event are lost. Without this the caller, the connection and the body would be held for good.
func (in *Instance) endWithoutOutcome(cl *call) {
	in.count("Requests.WithoutOutcome")
	in.log.Error().Str("Request", cl.info.Name).Int64("AgeMs", time.Since(cl.arrived).Milliseconds()).Msg("request ended without an outcome of the reducer")
	in.apply(steer.CallerGone{ID: cl.id})
	cl.allowWrite(0)
	if cl.headerSent.Load() {
		cl.account.Cut("WithoutOutcome", "")
		panic(http.ErrAbortHandler)
	}
	cl.w.Header().Set("Connection", "close")
	in.reject(cl, http.StatusGatewayTimeout, "no outcome", 0)
}

// abort ends the attempt with the proof if it is the call's last one.
func (cl *call) abort(attempt int, proof cutoff.Proof) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.attempt == attempt && cl.cancel != nil {
		cl.cancel(proof)
	}
}

// routeKind returns the route's kind as metric names state it.
func routeKind(route *decl.Route) string {
	if route.Stream {
		return "stream"
	}
	return "plain"
}

// repeatKind returns whether the route's requests may run once or again, as metric names state it.
func repeatKind(route *decl.Route) string {
	if route.Repeats == decl.RetryNone {
		return "once"
	}
	return "repeatable"
}

const (
	// shortAnswer is the maximum size in bytes of an answer that the buffers of a connection take without waiting for the caller to read.
	shortAnswer = 16 << 10
	// shortAnswerTime is how long a short answer may take to be written. It outlasts the time for which the process may stand still in between.
	shortAnswerTime = 10 * time.Second
)

// allowWrite lets an answer of the given size be written although the process stands still before or while it is. A caller whose kept connection
// closes before any byte of an answer takes its request for unread and sends it again, but it may have run.
func (cl *call) allowWrite(size int) {
	period := writeGrace
	if size <= shortAnswer {
		period = shortAnswerTime
	}
	if at := time.Now().Add(period); at.After(cl.deadline.Add(writeGrace)) {
		_ = cl.control.SetWriteDeadline(at)
	}
}

// limitWrites sets the time until which parts of an answer may be written. A caller that stops reading does not hold the request for longer.
func (cl *call) limitWrites() { _ = cl.control.SetWriteDeadline(cl.deadline.Add(writeGrace)) }

// finish ends the caller's request: if it failed, with the replica's error response or a refusal, or by cutting the
// connection if a response has begun. A caller counts as gone once it has closed its sending half, and may still read: without an
// error or a cut, net/http would complete its answer as an empty 200, or the part of a stream that was sent as the whole.
func (in *Instance) finish(cl *call, eff steer.Finish) {
	if eff.DeliverFailure || eff.Refusal != nil && !eff.Refusal.NotRun {
		in.gossip.awaitDeathAcks(cl.req.Context(), cl.contentDigest)
	}
	cl.allowWrite(0)
	switch {
	case eff.DeliverFailure && !cl.headerSent.Load() && cl.errorResponse != nil:
		in.writeResponse(cl, cl.errorResponse)
	case eff.Refusal == nil && !eff.DeliverFailure && cl.complete:
	case cl.headerSent.Load():
		// Part of the response is sent; only a cut connection shows the caller that the rest is missing.
		cl.recordCut(eff)
		panic(http.ErrAbortHandler)
	case eff.Refusal != nil:
		in.reject(cl, statusCode(eff.Refusal), string(eff.Refusal.Reason), eff.Refusal.RetryAfter)
	default:
		cl.w.Header().Set("Connection", "close")
		in.reject(cl, http.StatusBadGateway, "caller left", 0)
	}
}

// recordCut records why an answer is about to end before its end.
func (cl *call) recordCut(eff steer.Finish) {
	reason := front.EndedByCaller
	if eff.Refusal != nil {
		reason = front.Reason(eff.Refusal.Reason)
	}
	cl.account.Cut(reason, "last attempt "+cl.lastResult.String())
}

// statusCode returns the HTTP status for a refusal. It is 503 only if the request did not run and never will, since
// callers retry on 503.
func statusCode(refusal *steer.Refusal) int {
	switch {
	case refusal.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == steer.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// reject writes this Instance's own error response to a request. A positive retryAfter is sent as Retry-After.
func (in *Instance) reject(cl *call, status int, reason string, retryAfter time.Duration) {
	in.log.Info().Str("Request", cl.info.Name).Int("Status", status).Str("Reason", reason).
		Int64("ConfirmedMs", in.confirmedAge().Milliseconds()).Msg("rejected")
	in.count("Rejected.Status." + strconv.Itoa(status))
	if retryAfter > 0 {
		cl.w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	cl.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	in.announceClose(cl)
	cl.w.WriteHeader(status)
	_, _ = io.WriteString(cl.w, reason+"\n")
}

package relay

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// mailbox is how many effects wait for a call; it has at most a Send and a Finish at once.
	mailbox = 4
	// defaultPatience stands for a caller that does not say how long it waits.
	defaultPatience = 30 * time.Second
	// configPause is when a caller should come back to an instance without a configuration.
	configPause = 300 * time.Millisecond
	// writeGrace is how long after its deadline a caller can still be told of the end.
	writeGrace = 300 * time.Millisecond
)

// call is one caller's request in the shell.
type call struct {
	id       steer.RequestID
	w        http.ResponseWriter
	req      *http.Request
	ask      Ask
	route    *decl.Route
	org      string
	body     []byte
	deadline time.Time
	mail     chan steer.Effect
	control  *http.ResponseController

	// headerOut tells that the caller has a status; after is the last event that it has.
	headerOut bool
	after     string
	// failure is a replica's answer of failure, kept until it is clear that no other answer follows.
	failure *answer
	arrived time.Time

	mu      sync.Mutex
	attempt int
	cancel  context.CancelFunc
}

// serve takes one request to its end.
func (in *Instance) serve(w http.ResponseWriter, req *http.Request) {
	if in.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	cl := &call{
		w: w, req: req, ask: in.protocol.Ask(req),
		mail: make(chan steer.Effect, mailbox), control: http.NewResponseController(w),
	}
	arrived := time.Now()
	in.awaitStart(req.Context())
	if !in.admit(cl) {
		return
	}
	if !in.read(cl) {
		return
	}
	patience := cl.ask.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	cl.deadline = arrived.Add(min(patience, cl.route.Timeout.Std()))
	_ = cl.control.SetWriteDeadline(cl.deadline.Add(writeGrace))
	cl.arrived = arrived
	in.converse(cl, in.arrival(cl))
}

// admit finds the request's route and organisation, or answers why there is none.
func (in *Instance) admit(cl *call) bool {
	routing := in.routing.Load()
	if routing == nil {
		in.reject(cl, http.StatusServiceUnavailable, "no configuration yet", configPause)
		return false
	}
	cl.route = routing.Find(cl.req.Host, cl.req.URL.Path)
	if cl.route == nil {
		in.reject(cl, http.StatusNotFound, "no route", 0)
		return false
	}
	if cl.ask.Token != "" {
		cl.org = routing.Tokens[decl.TokenDigest(cl.ask.Token)]
	}
	if cl.route.Public {
		return true
	}
	// A token that was taken away must not be used any longer, also here where the store cannot be heard.
	if !in.fresh(1) {
		cl.w.Header().Set("Connection", "close")
		in.reject(cl, http.StatusServiceUnavailable, "tokens unconfirmed", configPause)
		return false
	}
	if cl.org == "" {
		in.reject(cl, http.StatusUnauthorized, "unknown token", 0)
		return false
	}
	return true
}

// read takes in the whole body.
func (in *Instance) read(cl *call) bool {
	limit := in.opts.MaxBody
	if own := in.routing.Load().Limits.BodyBytes; own > 0 {
		limit = own
	}
	if cl.req.ContentLength > limit {
		in.reject(cl, http.StatusRequestEntityTooLarge, "body too long", 0)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(cl.w, cl.req.Body, limit))
	if err == nil {
		cl.body = body
		return true
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		in.reject(cl, http.StatusRequestEntityTooLarge, "body too long", 0)
	}
	return false
}

func (in *Instance) arrival(cl *call) steer.Arrived {
	priority := cl.route.Priority
	if own, ok := in.routing.Load().Priorities[cl.org]; ok {
		priority = own
	}
	cl.id = steer.RequestID(in.nextID.Add(1))
	return steer.Arrived{
		ID: cl.id, Route: cl.route, Name: cl.ask.Name, Organisation: cl.org, Priority: priority,
		Prompt: cl.ask.Prompt, Answer: cl.ask.Answer, Deadline: cl.deadline, Patience: leaves(cl.route, cl.arrived, cl.deadline),
		Digest: cl.digest(), Given: cl.ask.Patience,
	}
}

// leaves is when a caller gives up a stream that has not begun.
func leaves(route *decl.Route, arrived, deadline time.Time) time.Time {
	if !route.Stream {
		return deadline
	}
	wait := max(leastWait, waitGoals*route.Goal.Std(), waitGaps*route.Gap.Std())
	if at := arrived.Add(wait); at.Before(deadline) {
		return at
	}
	return deadline
}

// Callers of streams give up after the longest of these without an event.
const (
	leastWait = 2 * time.Second
	waitGoals = 4
	waitGaps  = 8
)

func (cl *call) digest() steer.Digest {
	hash := xxhash.New()
	for _, part := range []string{cl.org, "\n", cl.req.Method, "\n", cl.req.RequestURI, "\n"} {
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(cl.body)
	return steer.Digest(hash.Sum64())
}

// converse carries out the call's effects until its Finish.
func (in *Instance) converse(cl *call, ev steer.Arrived) {
	in.mu.Lock()
	in.calls[cl.id] = cl
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		delete(in.calls, cl.id)
		in.mu.Unlock()
	}()
	defer func() { in.time("Requests.Whole."+kind(cl.route), time.Since(cl.arrived)) }()
	in.apply(ev)
	gone := cl.req.Context().Done()
	for {
		select {
		case eff := <-cl.mail:
			switch eff := eff.(type) {
			case steer.Send:
				in.apply(in.attempt(cl, eff))
			case steer.Finish:
				in.finish(cl, eff)
				return
			}
		case <-gone:
			gone = nil
			in.apply(steer.CallerGone{ID: cl.id})
		}
	}
}

func (cl *call) abort(attempt int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.attempt == attempt && cl.cancel != nil {
		cl.cancel()
	}
}

// kind names the two kinds of route in the metrics.
func kind(route *decl.Route) string {
	if route.Stream {
		return "stream"
	}
	return "plain"
}

// finish gives the caller the end of its request.
func (in *Instance) finish(cl *call, eff steer.Finish) {
	switch {
	case eff.Deliver && !cl.headerOut && cl.failure != nil:
		cl.failure.write(cl)
	case eff.Refusal == nil && !eff.Deliver:
	case cl.headerOut:
		// Some of the answer is out: only a cut connection tells the caller that it is not whole.
		panic(http.ErrAbortHandler)
	case eff.Refusal != nil:
		in.reject(cl, status(eff.Refusal), string(eff.Refusal.Reason), eff.Refusal.RetryAfter)
	}
}

// status is 503 only for what has not run and never will: callers send it again.
func status(refusal *steer.Refusal) int {
	switch {
	case refusal.NotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == steer.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// reject answers a request that no replica answered.
func (in *Instance) reject(cl *call, status int, reason string, after time.Duration) {
	in.log.Info().Str("Request", cl.ask.Name).Int("Status", status).Str("Reason", reason).
		Int64("ConfirmedMs", in.confirmedAge().Milliseconds()).Msg("rejected")
	in.count("Rejected.Status." + strconv.Itoa(status))
	if after > 0 {
		cl.w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', -1, 64))
	}
	cl.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	cl.w.WriteHeader(status)
	_, _ = io.WriteString(cl.w, reason+"\n")
}

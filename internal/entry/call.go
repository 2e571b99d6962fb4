package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/once"
)

// effectBuffer is the capacity of a call's channel of effects. At most one Send and one Finish wait in it at a time.
const effectBuffer = 4

// writeGrace is the time after a call's deadline in which the final error can still be written to the caller.
const writeGrace = time.Second

// call is one caller's request and the state of its answer.
type call struct {
	id event.RequestID
	// name is the id under which upstreams and claims know the request, see requestName.
	name     string
	w        http.ResponseWriter
	req      *http.Request
	arrived  time.Time
	deadline time.Time
	// raw is the request's body as received.
	raw []byte
	// reserved is the number of bytes that are reserved for it in the memory account.
	reserved int64
	// body is nil for plain services.
	body         *body.Body
	organisation string
	service      string
	// effects holds the reducer's effects that handleEffects carries out.
	effects chan effect.Effect
	control *http.ResponseController
	// line is the buffer in which each chunk is framed as a server-sent event.
	line []byte

	// digest identifies the request's content.
	digest event.Digest
	// arrival is the event of its arrival.
	arrival event.Arrived
	// headerSent means that the status and header were sent to the caller.
	headerSent bool
	// complete means that the caller was sent an upstream's whole answer, or that the whole is assembled.
	complete bool
	// account is the account of the request at the server.
	account *front.Request
	// offset is the number of answer tokens forwarded so far, over all attempts.
	offset int64
	// forwarded is offset for the watchdog's goroutine.
	forwarded atomic.Int64
	// firstAt is when the answer began.
	firstAt time.Time
	// lastAt is when the last chunk was flushed or the answer ended.
	lastAt time.Time
	// answer assembles the answer for a caller that did not ask for a stream.
	answer answer
	// outcome records a plain service's response for replays under the same idempotency key.
	outcome once.Recorder

	// mu guards the fields below.
	mu sync.Mutex
	// attempt is the number of the running attempt.
	attempt int
	// cancel ends the running attempt.
	cancel cutoff.CancelFunc
	// cancelForward ends the passing on to another instance, nil if the call is not passed on. forwardEnded is the proof with which it was ended.
	cancelForward cutoff.CancelFunc
	forwardEnded  cutoff.Proof
	// plainBegun reports whether the header of a plain service's response is about to be sent. Such a response cannot be resumed.
	plainBegun bool
}

func newCall(w http.ResponseWriter, req *http.Request, arrived time.Time) *call {
	return &call{
		w: w, req: req, arrived: arrived, account: front.RequestOf(req),
		effects: make(chan effect.Effect, effectBuffer),
		control: http.NewResponseController(w),
	}
}

// serve submits the request to the reducer and carries out its effects. It returns when the caller has its answer.
func (in *Instance) serve(cl *call, ev event.Arrived) {
	cl.id = event.RequestID(in.nextID.Add(1))
	cl.name = in.requestName(cl.id)
	cl.deadline = ev.Deadline
	cl.digest = ev.Digest
	ev.ID = cl.id
	cl.arrival = ev
	cl.w.Header().Set(HeaderRequestID, cl.name)
	cl.account.ReadWhole(cl.name)
	in.register(cl)
	defer in.unregister(cl)
	// Without a write deadline, a caller that stops reading would hold its request and the upstream's memory beyond the
	// request's deadline. The write deadline is cleared at the end because the connection may serve another request.
	_ = cl.control.SetWriteDeadline(cl.deadline.Add(writeGrace))
	defer func() { _ = cl.control.SetWriteDeadline(time.Time{}) }()
	if !in.loop.Submit(ev) {
		fromRefusal(&effect.Refusal{Reason: effect.ReasonDraining, RunState: effect.NotRun, Remedy: "send it again"}).write(cl.w)
		return
	}
	in.handleEffects(cl)
}

// requestName returns the id under which upstreams and claims know the request. It is unique over all runs of all instances.
func (in *Instance) requestName(id event.RequestID) string {
	return in.run + "-" + strconv.FormatUint(uint64(id), 36)
}

// handleEffects carries out the call's effects until its Finish, and reports to the reducer when the caller disconnects.
func (in *Instance) handleEffects(cl *call) {
	gone := cl.req.Context().Done()
	overdue, isAsked := time.NewTimer(time.Until(cl.deadline)+outcomeMargin), false
	defer overdue.Stop()
	for {
		select {
		case eff := <-cl.effects:
			switch eff := eff.(type) {
			case effect.Send:
				cl.account.PassedOn()
				ended := in.attempt(cl, eff)
				cl.complete = ended.Result == event.ResultDone
				in.loop.Submit(ended)
			case effect.Forward:
				cl.account.PassedOn()
				if in.forward(cl, eff) {
					return
				}
			case effect.Finish:
				in.finish(cl, eff)
				return
			}
		case <-gone:
			gone = nil
			in.loop.Submit(event.CallerGone{ID: cl.id})
		case <-overdue.C:
			if isAsked {
				in.endWithoutOutcome(cl)
				return
			}
			isAsked = true
			in.loop.Submit(event.CallerGone{ID: cl.id})
			overdue.Reset(outcomeMargin)
		}
	}
}

// outcomeMargin is how long after a request's deadline its outcome is waited for, once before the reducer is told that nobody waits any more
// and once after.
const outcomeMargin = time.Second

// endWithoutOutcome ends a request for which the reducer has sent no Finish, which is a defect: a panic in the reducer was caught, and the effects
// of that event are lost. Without this the caller, the connection and the body would be held for good.
func (in *Instance) endWithoutOutcome(cl *call) {
	in.incCounter("Requests.WithoutOutcome")
	in.log.Error().Str("Request", cl.name).Int64("AgeMs", time.Since(cl.arrived).Milliseconds()).Msg("request ended without an outcome of the reducer")
	cl.w.Header().Set("Connection", "close")
	cl.writeError(fromRefusal(&effect.Refusal{Reason: effect.ReasonOutcome, RunState: effect.Unknown, Remedy: "send it again if it may run twice"}))
}

func (in *Instance) register(cl *call) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.calls[cl.id] = cl
}

func (in *Instance) unregister(cl *call) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.calls, cl.id)
}

func (in *Instance) find(id event.RequestID) *call {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.calls[id]
}

// deliver queues an effect for its call. It does not block: the channel has room for all effects that a call can have
// waiting.
func (in *Instance) deliver(id event.RequestID, eff effect.Effect) {
	if cl := in.find(id); cl != nil {
		cl.effects <- eff
	}
}

// abort cancels the attempt that the effect names if it is still the running one.
func (in *Instance) abort(eff effect.Abort) {
	cl := in.find(eff.ID)
	if cl == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.attempt == eff.Attempt && cl.cancel != nil && !(cl.plainBegun && eff.Proof.IsResumption()) {
		cl.cancel(eff.Proof)
	}
}

// begin returns the context of an attempt. It ends when the caller disconnects, at the deadline or by an abort. release frees its resources.
func (cl *call) begin(eff effect.Send) (ctx context.Context, release func()) {
	ctx, cancel, release := cutoff.Context(cl.req.Context(), eff.Deadline)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.attempt = eff.Attempt
	cl.cancel = cancel
	return ctx, release
}

// finish sends the caller what is still missing: the replayed answer, the error or the assembled answer. A caller counts as gone once it has closed
// its sending half, and may still read: without an error or a cut, the part of an answer that there is would look whole.
func (in *Instance) finish(cl *call, eff effect.Finish) {
	switch {
	case eff.Replay != nil:
		replay(cl.w, eff.Replay)
	case eff.Refusal != nil:
		if cl.arrival.Forwarded && (eff.Refusal.Reason == effect.ReasonNoPath || eff.Refusal.Reason == effect.ReasonDraining) && !cl.headerSent {
			cl.w.Header().Set(HeaderForwardRefused, string(eff.Refusal.Reason))
		}
		if eff.Refusal.Reason == effect.ReasonQuarantine && eff.Refusal.RunState != effect.NotRun {
			in.awaitQuarantineAcks(cl)
		}
		cl.writeError(fromRefusal(eff.Refusal))
	case !cl.complete:
		cl.w.Header().Set("Connection", "close")
		cl.writeError(fromRefusal(&effect.Refusal{Reason: effect.ReasonOutcome, RunState: effect.Unknown, Remedy: "keep both halves of the connection open"}))
	case cl.body != nil && !cl.body.Stream:
		cl.answer.write(cl)
	}
	in.observe(cl, eff)
}

// writeError sends an error to the caller, as an event of the stream if the stream has begun.
func (cl *call) writeError(ae *apiError) {
	if !cl.headerSent {
		ae.write(cl.w)
		return
	}
	if cl.body == nil {
		// Part of a plain service's response was sent. Only an aborted connection shows the caller that it is incomplete.
		cl.account.Cut(front.Reason(ae.Code), ae.Message)
		panic(http.ErrAbortHandler)
	}
	_, _ = cl.w.Write([]byte("event: error\ndata: "))
	_, _ = cl.w.Write(ae.document())
	_, _ = cl.w.Write([]byte("\n\n"))
	_ = cl.control.Flush()
}

// replay answers with the recorded outcome of an earlier run under the same idempotency key.
func replay(w http.ResponseWriter, out *event.Outcome) {
	header := w.Header()
	header.Set("Idempotent-Replayed", "true")
	header.Set(HeaderRunState, string(effect.HasRun))
	if out.ContentType != "" {
		header.Set("Content-Type", out.ContentType)
	}
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body)
}

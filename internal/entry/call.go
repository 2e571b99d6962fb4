package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/once"
)

// mailbox is how many effects wait for a call; a call has at most a Send and a Finish at once.
const mailbox = 4

// writeGrace is how long after its deadline a caller can still be told of the end.
const writeGrace = time.Second

// call is one caller's request in the shell.
type call struct {
	id       event.RequestID
	name     string
	w        http.ResponseWriter
	req      *http.Request
	arrived  time.Time
	deadline time.Time
	raw      []byte
	// body is nil for plain services.
	body         *body.Body
	organisation string
	service      string
	mail         chan effect.Effect
	control      *http.ResponseController
	// line is the buffer in which chunks are framed for the caller.
	line []byte

	// headerOut tells that the caller has a status.
	headerOut bool
	// offset is how many tokens the caller has; firstAt and lastAt are when the first and last came.
	offset  int64
	firstAt time.Time
	lastAt  time.Time
	// answer holds the answer of a caller that did not ask for a stream.
	answer answer
	// outcome is what a plain service answered, kept for the record.
	outcome once.Recorder

	mu      sync.Mutex
	attempt int
	cancel  context.CancelFunc
}

func newCall(w http.ResponseWriter, req *http.Request, arrived time.Time) *call {
	return &call{
		w: w, req: req, arrived: arrived,
		mail:    make(chan effect.Effect, mailbox),
		control: http.NewResponseController(w),
	}
}

// serve takes a request through the reducer to its end. It returns when the caller has its answer.
func (in *Instance) serve(cl *call, ev event.Arrived) {
	cl.id = event.RequestID(in.nextID.Add(1))
	cl.name = in.requestName(cl.id)
	cl.deadline = ev.Deadline
	ev.ID = cl.id
	cl.w.Header().Set(HeaderRequestID, cl.name)
	in.register(cl)
	defer in.unregister(cl)
	// A caller that stops reading would hold its request, and the upstream's memory, beyond the deadline: a write that
	// waits for it ends shortly after. The connection may serve another request afterwards.
	_ = cl.control.SetWriteDeadline(cl.deadline.Add(writeGrace))
	defer func() { _ = cl.control.SetWriteDeadline(time.Time{}) }()
	if !in.loop.Submit(ev) {
		fromRefusal(&effect.Refusal{Reason: effect.ReasonDraining, Ran: effect.NotRun, Remedy: "send it again"}).write(cl.w)
		return
	}
	in.converse(cl)
}

// requestName is the request's name towards upstreams and in the claims, unique over all runs of all instances.
func (in *Instance) requestName(id event.RequestID) string {
	return in.run + "-" + strconv.FormatUint(uint64(id), 36)
}

// converse carries out the call's effects until its Finish.
func (in *Instance) converse(cl *call) {
	gone := cl.req.Context().Done()
	for {
		select {
		case eff := <-cl.mail:
			switch eff := eff.(type) {
			case effect.Send:
				in.loop.Submit(in.attempt(cl, eff))
			case effect.Finish:
				in.finish(cl, eff)
				return
			}
		case <-gone:
			gone = nil
			in.loop.Submit(event.CallerGone{ID: cl.id})
		}
	}
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

// mail hands an effect to its call. The mailbox has room for all that one call can be sent.
func (in *Instance) mail(id event.RequestID, eff effect.Effect) {
	if cl := in.find(id); cl != nil {
		cl.mail <- eff
	}
}

func (in *Instance) abort(eff effect.Abort) {
	cl := in.find(eff.ID)
	if cl == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.attempt == eff.Attempt && cl.cancel != nil {
		cl.cancel()
	}
}

// begin opens the context of an attempt, which ends with the caller, the deadline or an abort.
func (cl *call) begin(eff effect.Send) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(cl.req.Context(), eff.Deadline)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.attempt = eff.Attempt
	cl.cancel = cancel
	return ctx, cancel
}

// finish gives the caller the end of its request.
func (in *Instance) finish(cl *call, eff effect.Finish) {
	switch {
	case eff.Replay != nil:
		replay(cl.w, eff.Replay)
	case eff.Refusal != nil:
		cl.refuse(fromRefusal(eff.Refusal))
	case cl.body != nil && !cl.body.Stream:
		cl.answer.write(cl)
	}
	in.observe(cl, eff)
}

// refuse tells the caller of a failure, in the stream if that is under way.
func (cl *call) refuse(ae *apiError) {
	if !cl.headerOut {
		ae.write(cl.w)
		return
	}
	if cl.body == nil {
		// Part of a plain answer is out: only a cut connection tells the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
	_, _ = cl.w.Write([]byte("event: error\ndata: "))
	_, _ = cl.w.Write(ae.document())
	_, _ = cl.w.Write([]byte("\n\n"))
	_ = cl.control.Flush()
}

func replay(w http.ResponseWriter, out *event.Outcome) {
	header := w.Header()
	header.Set("Idempotent-Replayed", "true")
	header.Set(HeaderRan, string(effect.HasRun))
	if out.ContentType != "" {
		header.Set("Content-Type", out.ContentType)
	}
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body)
}

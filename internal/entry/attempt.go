package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// dropTimeout bounds one call that asks an engine to free a request: after an attempt that ended because the upstream was
// silent, and for the prefill segments of an attempt that ended.
const dropTimeout = 500 * time.Millisecond

// attempt sends the request to an upstream, forwards the answer to the caller and returns how the attempt ended.
func (in *Instance) attempt(cl *call, eff effect.Send) event.AttemptEnded {
	ctx, release := cl.begin(eff)
	defer release()
	last := eff.Upstreams[len(eff.Upstreams)-1]
	ended := event.AttemptEnded{ID: cl.id, Attempt: eff.Attempt, Upstream: last.Name}
	var err error
	if cl.body != nil {
		err = in.stream(ctx, cl, eff, &ended)
	} else {
		err = in.exchange(ctx, cl, eff, &ended)
	}
	ended.Offset = cl.offset
	ended.Result, ended.End = attemptResult(ctx, err, cl)
	ended.Proof = proofOf(err)
	ended.RetryAfter = retryAfter(err)
	if refused := refusalStatus(err); refused != 0 {
		ended.Status = refused
		ended.Alive = true
	}
	in.handleUpstreamFailure(cl, eff, &ended)
	return ended
}

// upstreamOf returns the upstream of the attempt with the given name, or the attempt's last one if none has it.
func upstreamOf(eff effect.Send, name string) event.Upstream {
	for _, up := range eff.Upstreams {
		if up.Name == name {
			return up
		}
	}
	return eff.Upstreams[len(eff.Upstreams)-1]
}

// handleUpstreamFailure checks whether an upstream that failed or broke off is still alive, and asks a silent engine to free
// the request.
func (in *Instance) handleUpstreamFailure(cl *call, eff effect.Send, ended *event.AttemptEnded) {
	// The attempt's own context has ended if another attempt was granted.
	ctx, cancel := context.WithDeadline(cl.req.Context(), eff.Deadline)
	defer cancel()
	up := upstreamOf(eff, ended.Upstream)
	switch ended.Result {
	case event.ResultFailed, event.ResultBroken:
		// Idle timeouts and restarts of something on the path close connections too. Only the death of the upstream's
		// process counts towards a quarantine of the request.
		ended.Alive = ended.Alive || !in.upstream.Died(ctx, up.Address) || in.lostPath(ctx, up.Address, eff.Witness)
	case event.ResultSilent:
		if cl.body == nil {
			return
		}
		// The engine does not notice that a silent connection was closed. Without the call it would keep the request's
		// memory until it has generated the whole answer.
		limited, cancel := context.WithTimeout(ctx, dropTimeout)
		defer cancel()
		_ = in.upstream.Drop(limited, up.Address, cl.name)
	}
}

// upstreamCall returns the fields that calls to engines and to plain services share.
func (cl *call) upstreamCall(eff effect.Send) upstr.Call {
	return upstr.Call{
		Address:       eff.Upstreams[len(eff.Upstreams)-1].Address,
		Kind:          cl.kindOf(eff),
		ID:            cl.id,
		Request:       cl.name,
		Method:        cl.req.Method,
		Path:          cl.req.URL.RequestURI(),
		Header:        forwardedHeader(cl.req.Header),
		Offset:        eff.Offset,
		Priority:      eff.Priority,
		Reservation:   eff.Permit,
		NewConnection: eff.NewConnection,
	}
}

// kindOf returns the kind of the attempt's call to the upstream that answers.
func (cl *call) kindOf(eff effect.Send) notice.Kind {
	switch {
	case eff.Offset > 0:
		return notice.Resumption
	case eff.Attempt > 1:
		return notice.Retry
	}
	return notice.First
}

// strippedHeaders are the end-to-end headers that an instance does not forward. Hop-by-hop headers are removed as well.
var strippedHeaders = []string{"Authorization", HeaderDeadline, HeaderForwardedBy}

// internalHeaders are headers that only an instance may send to an engine. If they were forwarded from a caller, the caller
// could read another organisation's exported cache, skip the start of its answer or get a higher priority than all others.
var internalHeaders = []string{
	upstr.HeaderRequest, upstr.HeaderPriority, upstr.HeaderOffset, upstr.HeaderImports, upstr.HeaderSegment,
	upstr.HeaderReservation, upstr.HeaderFence, upstr.HeaderRunState, upstr.HeaderLeaving,
}

// forwardedHeader returns a copy of the header without the fields that are not forwarded.
func forwardedHeader(header http.Header) http.Header {
	kept := hops.EndToEnd(header)
	for _, name := range slices.Concat(strippedHeaders, internalHeaders) {
		kept.Del(name)
	}
	return kept
}

// stream forwards a model's answer chunk by chunk. If the attempt has several upstreams, all but the last one prefill
// segments of the prompt first.
func (in *Instance) stream(ctx context.Context, cl *call, eff effect.Send, ended *event.AttemptEnded) error {
	var imports []string
	if len(eff.Upstreams) > 1 {
		defer in.freeSegments(eff)
		handles, err := in.prefill(ctx, cl, eff, ended)
		if err != nil {
			return err
		}
		imports = handles
	}
	wd := startWatchdog(in.reportSilence(cl, eff, ended.Upstream), eff.FirstProgressTimeout, eff.ProgressTimeout)
	defer wd.stop()
	up := cl.upstreamCall(eff)
	up.Imports = imports
	up.Body, up.Length = cl.body.Streamed()
	up.Account = in.memory
	up.Heartbeat = func() {
		in.heartbeats.Store(up.Address, true)
		wd.progress()
	}
	if _, ok := in.heartbeats.Load(up.Address); ok {
		// This engine sends heartbeats while it works, so the shorter limit applies to the first sign of progress too.
		wd.shortenLimit(eff.ProgressTimeout)
	}
	answer, err := in.upstream.Complete(ctx, up)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	answering := false
	for {
		chunk, err := answer.Next()
		if err == io.EOF {
			return cl.finishAnswer()
		}
		if err != nil {
			return err
		}
		if !answering {
			answering = true
			in.notifyAnswerStarted(cl)
		}
		wd.suspend()
		if err := cl.forwardChunk(chunk, answer.Buffered()); err != nil {
			return err
		}
		wd.progress()
	}
}

// notifyAnswerStarted records when the answer began, unless an earlier attempt has begun it, and reports to the reducer that
// this attempt's answer has begun.
func (in *Instance) notifyAnswerStarted(cl *call) {
	if cl.firstAt.IsZero() {
		cl.firstAt = time.Now()
	}
	in.loop.Submit(event.AnswerStarted{ID: cl.id, Attempt: cl.attempt})
}

// errCallerWrite means that a write to the caller failed, because its connection broke or the write deadline passed.
var errCallerWrite = errors.New("entry: the answer cannot be written to the caller")

// forwardChunk writes one chunk to the caller, or adds it to the assembled answer if the caller did not ask for a stream. If
// more is set, the next chunk is available already and the write is not flushed.
func (cl *call) forwardChunk(chunk upstr.Chunk, more bool) error {
	if !cl.body.Stream {
		return cl.keepChunk(chunk)
	}
	cl.passed(chunk)
	cl.startStream()
	cl.line = append(cl.line[:0], "data: "...)
	cl.line = append(cl.line, chunk.Data...)
	cl.line = append(cl.line, "\n\n"...)
	if _, err := cl.w.Write(cl.line); err != nil {
		return errCallerWrite
	}
	if more {
		return nil
	}
	cl.lastAt = time.Now()
	if err := cl.control.Flush(); err != nil {
		return errCallerWrite
	}
	return nil
}

// passed records that the chunk has reached the answer, which another attempt would resume after it.
func (cl *call) passed(chunk upstr.Chunk) {
	cl.offset = chunk.Offset + 1
	cl.forwarded.Store(cl.offset)
}

// keepChunk adds a chunk to the assembled answer. One that is not added is asked for again: the answer would miss it.
func (cl *call) keepChunk(chunk upstr.Chunk) error {
	if chunk.Offset >= cl.body.MaxTokens {
		return upstr.Failed.New("entry: the upstream's answer goes on beyond the %d tokens that were asked for", cl.body.MaxTokens)
	}
	if err := cl.answer.add(chunk.Data); err != nil {
		return err
	}
	cl.passed(chunk)
	return nil
}

// startStream sends the status and header of a streamed answer, unless they were sent before.
func (cl *call) startStream() {
	if cl.headerSent {
		return
	}
	cl.headerSent = true
	header := cl.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	cl.w.WriteHeader(http.StatusOK)
}

// finishAnswer sends the end marker to a caller that asked for a stream. The caller gets it only after a complete answer.
func (cl *call) finishAnswer() error {
	cl.lastAt = time.Now()
	if !cl.body.Stream {
		return nil
	}
	cl.startStream()
	if _, err := cl.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errCallerWrite
	}
	return nil
}

// exchange sends a call to a plain service and forwards its response.
func (in *Instance) exchange(ctx context.Context, cl *call, eff effect.Send, ended *event.AttemptEnded) error {
	// How long a call takes depends on the plain service, so its response may begin as late as the deadline. A connection
	// that is reused from an earlier call may have gone silent, so there a response that has not begun within
	// eff.ProgressTimeout is reported as silent; the retry uses a new connection.
	wd := startWatchdog(in.reportSilence(cl, eff, ended.Upstream), time.Until(eff.Deadline), eff.ProgressTimeout)
	defer wd.stop()
	up := cl.upstreamCall(eff)
	up.Body = bytes.NewReader(cl.raw)
	up.Length = int64(len(cl.raw))
	up.Connected = func(reused bool) {
		if reused {
			wd.shortenLimit(eff.ProgressTimeout)
		}
	}
	resp, err := in.upstream.Do(ctx, up)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	ended.Status = resp.StatusCode
	wd.progress()
	if !cl.beginPlain(ctx) {
		return ctx.Err()
	}
	in.notifyAnswerStarted(cl)
	cl.startPlain(resp)
	return cl.copyPlain(resp.Body, wd)
}

// beginPlain states that the response begins, and reports whether it may: not if another run was granted in place of the attempt meanwhile. From then
// on such a grant does not end the attempt.
func (cl *call) beginPlain(ctx context.Context) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cutoff.Of(ctx).IsResumption() {
		return false
	}
	cl.plainBegun = true
	return true
}

// startPlain sends the status and header of a plain service's response to the caller.
func (cl *call) startPlain(resp *http.Response) {
	header := cl.w.Header()
	for name, values := range forwardedHeader(resp.Header) {
		header[name] = values
	}
	header.Set(HeaderRequestID, cl.name)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	cl.headerSent = true
	cl.outcome.Start(resp.StatusCode, resp.Header.Get("Content-Type"))
	cl.w.WriteHeader(resp.StatusCode)
}

// plainBufferSize is the size in bytes of the buffer through which a plain service's response is forwarded.
const plainBufferSize = 32 << 10

// copyPlain forwards the body of a plain service's response and records it for replays. The watchdog is suspended during
// writes to the caller, because a caller that reads slowly or disconnects is not a fault of the upstream.
func (cl *call) copyPlain(from io.Reader, wd *watchdog) error {
	buf := make([]byte, plainBufferSize)
	for {
		count, err := from.Read(buf)
		wd.suspend()
		_, _ = cl.outcome.Write(buf[:count])
		if _, err := cl.w.Write(buf[:count]); err != nil {
			return errCallerWrite
		}
		if err == io.EOF {
			cl.outcome.Complete()
			return nil
		}
		if err != nil {
			return err
		}
		if err := cl.control.Flush(); err != nil {
			return errCallerWrite
		}
		wd.progress()
	}
}

// attemptResult classifies the end of an attempt, with the proof that its answer does not go on. The order of the cases matters: a cancelled context
// breaks the connection as well, and the cancellation is then the cause to report.
func attemptResult(ctx context.Context, err error, cl *call) (event.Result, cutoff.Proof) {
	proof := cutoff.OfRead(ctx, err)
	switch {
	case err == nil:
		return event.ResultDone, proof
	case errorx.IsOfType(err, upstr.Held):
		return event.ResultHeld, proof
	case errorx.IsOfType(err, upstr.NotSent):
		return event.ResultNotSent, proof
	case errorx.IsOfType(err, upstr.NotRun):
		return event.ResultNotRun, proof
	case proof.IsDeadline():
		return event.ResultExpired, proof
	case errors.Is(err, errCallerWrite):
		return event.ResultCancelled, cutoff.OfWrite(err)
	case proof.IsOwn():
		return event.ResultCancelled, proof
	case proof.IsResumption():
		return event.ResultSilent, proof
	case cl.offset > 0 || cl.headerSent:
		return event.ResultBroken, proof
	default:
		return event.ResultFailed, proof
	}
}

// proofOf returns the proof that the error carries, if the request has certainly not run.
func proofOf(err error) norun.Proof {
	proof, _ := property(err, upstr.PropertyProof).(norun.Proof)
	return proof
}

// refusalStatus returns the HTTP status that the error carries, or 0 if it carries none.
func refusalStatus(err error) int {
	value, _ := property(err, upstr.PropertyStatus).(int)
	return value
}

// retryAfter returns the delay that the upstream asked for before a retry, or 0 if it gave none.
func retryAfter(err error) time.Duration {
	after, _ := property(err, upstr.PropertyRetryAfter).(time.Duration)
	return after
}

func property(err error, key errorx.Property) any {
	if err == nil {
		return nil
	}
	value, _ := errorx.ExtractProperty(err, key)
	return value
}

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

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/hops"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// dropTime bounds how long an attempt that went silent waits for its engine to free the request.
const dropTime = 500 * time.Millisecond

// attempt sends the request to an upstream and passes its answer on. It returns how that ended.
func (in *Instance) attempt(cl *call, eff effect.Send) event.AttemptEnded {
	ctx, cancel := cl.begin(eff)
	defer cancel()
	watched, silence := context.WithCancelCause(ctx)
	defer silence(nil)
	last := eff.Upstreams[len(eff.Upstreams)-1]
	ended := event.AttemptEnded{ID: cl.id, Attempt: eff.Attempt, Upstream: last.Name}
	var err error
	if cl.body != nil {
		err = in.stream(watched, cl, eff, silence, &ended)
	} else {
		err = in.exchange(watched, cl, eff, silence, &ended)
	}
	ended.Offset = cl.offset
	ended.Result = result(ctx, watched, err, cl)
	ended.RetryAfter = advice(err)
	if refused := status(err); refused != 0 {
		ended.Status = refused
		ended.Alive = true
	}
	in.aftermath(ctx, cl, upstreamOf(eff, ended.Upstream), &ended)
	return ended
}

// upstreamOf finds the upstream of the attempt that has the name.
func upstreamOf(eff effect.Send, name string) event.Upstream {
	for _, up := range eff.Upstreams {
		if up.Name == name {
			return up
		}
	}
	return eff.Upstreams[len(eff.Upstreams)-1]
}

// aftermath looks after an upstream that broke off or went silent.
func (in *Instance) aftermath(ctx context.Context, cl *call, up event.Upstream, ended *event.AttemptEnded) {
	switch ended.Result {
	case event.ResultFailed, event.ResultBroken:
		// A connection also ends by an idle timeout or a restart of what lies between. Only deaths count towards a
		// quarantine.
		ended.Alive = ended.Alive || !in.upstream.Died(ctx, up.Address)
	case event.ResultSilent:
		if cl.body == nil {
			return
		}
		// The engine does not see a silent connection end, and would keep the request's memory to the end of its answer.
		limited, cancel := context.WithTimeout(ctx, dropTime)
		defer cancel()
		_ = in.upstream.Drop(limited, up.Address, cl.name)
	}
}

// upstreamCall is what both kinds of call have in common.
func (cl *call) upstreamCall(eff effect.Send) upstr.Call {
	return upstr.Call{
		Address:     eff.Upstreams[len(eff.Upstreams)-1].Address,
		Request:     cl.name,
		Method:      cl.req.Method,
		Path:        cl.req.URL.RequestURI(),
		Header:      forwarded(cl.req.Header),
		Offset:      eff.Offset,
		Priority:    eff.Priority,
		Reservation: eff.Permit,
		Fresh:       eff.Fresh,
	}
}

// setAnew are the headers that an instance does not pass on, beside those of one connection.
var setAnew = []string{"Authorization", HeaderDeadline}

// ownHeaders are said by an instance to an engine and by nobody else. Passed on from a caller they would let it read
// another organisation's exported cache, skip the start of its answer or go before all others.
var ownHeaders = []string{
	upstr.HeaderRequest, upstr.HeaderPriority, upstr.HeaderOffset, upstr.HeaderImports, upstr.HeaderSegment,
	upstr.HeaderReservation, upstr.HeaderFence, upstr.HeaderRun,
}

func forwarded(header http.Header) http.Header {
	kept := hops.Kept(header)
	for _, name := range slices.Concat(setAnew, ownHeaders) {
		kept.Del(name)
	}
	return kept
}

// stream passes a model's answer on, chunk by chunk.
func (in *Instance) stream(ctx context.Context, cl *call, eff effect.Send, silence context.CancelCauseFunc, ended *event.AttemptEnded) error {
	var imports []string
	if len(eff.Upstreams) > 1 {
		defer in.freeSegments(eff)
		handles, err := in.prefill(ctx, cl, eff, silence, ended)
		if err != nil {
			return err
		}
		imports = handles
	}
	wd := watch(silence, eff.FirstSilence, eff.Silence)
	defer wd.stop()
	up := cl.upstreamCall(eff)
	up.Imports = imports
	up.Body, up.Length = cl.body.Streamed()
	up.Heartbeat = func() {
		in.heartbeats.Store(up.Address, true)
		wd.progress()
	}
	if _, ok := in.heartbeats.Load(up.Address); ok {
		// An engine that says when it is at work is silent when it does not.
		wd.expect(eff.Silence)
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
			return cl.end()
		}
		if err != nil {
			return err
		}
		if !answering {
			answering = true
			in.answering(cl)
		}
		wd.hold()
		if err := cl.pass(chunk, answer.Buffered()); err != nil {
			return err
		}
		wd.progress()
	}
}

// answering notes that the attempt's answer has begun.
func (in *Instance) answering(cl *call) {
	if cl.firstAt.IsZero() {
		cl.firstAt = time.Now()
	}
	in.loop.Submit(event.Answering{ID: cl.id, Attempt: cl.attempt})
}

// errCaller tells that the caller's connection broke.
var errCaller = errors.New("entry: the caller's connection broke")

// pass gives the caller one chunk; more tells that another follows at once.
func (cl *call) pass(chunk upstr.Chunk, more bool) error {
	cl.offset = chunk.Offset + 1
	if !cl.body.Stream {
		return cl.answer.add(chunk.Data)
	}
	cl.startStream()
	cl.line = append(cl.line[:0], "data: "...)
	cl.line = append(cl.line, chunk.Data...)
	cl.line = append(cl.line, "\n\n"...)
	if _, err := cl.w.Write(cl.line); err != nil {
		return errCaller
	}
	if more {
		return nil
	}
	cl.lastAt = time.Now()
	if err := cl.control.Flush(); err != nil {
		return errCaller
	}
	return nil
}

func (cl *call) startStream() {
	if cl.headerOut {
		return
	}
	cl.headerOut = true
	header := cl.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	cl.w.WriteHeader(http.StatusOK)
}

// end passes the end marker on, which the caller sees only after a whole answer.
func (cl *call) end() error {
	cl.lastAt = time.Now()
	if !cl.body.Stream {
		return nil
	}
	cl.startStream()
	if _, err := cl.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return errCaller
	}
	return nil
}

// exchange passes a plain service's answer on.
func (in *Instance) exchange(ctx context.Context, cl *call, eff effect.Send, silence context.CancelCauseFunc, ended *event.AttemptEnded) error {
	// How long a plain call takes is the service's affair, so it has until its deadline. A connection that was kept
	// from an earlier call may have gone silent, so on one the answer must begin in time; the retry uses a new one.
	wd := watch(silence, time.Until(eff.Deadline), eff.Silence)
	defer wd.stop()
	up := cl.upstreamCall(eff)
	up.Body = bytes.NewReader(cl.raw)
	up.Length = int64(len(cl.raw))
	up.Connected = func(reused bool) {
		if reused {
			wd.expect(eff.Silence)
		}
	}
	resp, err := in.upstream.Do(ctx, up)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	ended.Status = resp.StatusCode
	if resp.Header.Get(upstr.HeaderRun) == upstr.RunStateNotRun {
		return upstr.NotRun.New("entry: the service refused the call and ran nothing").
			WithProperty(upstr.PropertyRetryAfter, upstr.RetryAfter(resp.Header))
	}
	wd.progress()
	in.answering(cl)
	cl.startPlain(resp)
	return cl.copyPlain(resp.Body, wd)
}

// startPlain gives the caller the status and header of a plain answer.
func (cl *call) startPlain(resp *http.Response) {
	header := cl.w.Header()
	for name, values := range forwarded(resp.Header) {
		header[name] = values
	}
	header.Set(HeaderRequestID, cl.name)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	cl.headerOut = true
	cl.outcome.Start(resp.StatusCode, resp.Header.Get("Content-Type"))
	cl.w.WriteHeader(resp.StatusCode)
}

// plainBuffer is how much of a plain answer is passed on at a time.
const plainBuffer = 32 << 10

// copyPlain passes the body on. A caller that reads slowly or leaves is no fault of the upstream.
func (cl *call) copyPlain(from io.Reader, wd *watchdog) error {
	buf := make([]byte, plainBuffer)
	for {
		count, err := from.Read(buf)
		wd.hold()
		_, _ = cl.outcome.Write(buf[:count])
		if _, err := cl.w.Write(buf[:count]); err != nil {
			return errCaller
		}
		if err == io.EOF {
			cl.outcome.Complete()
			return nil
		}
		if err != nil {
			return err
		}
		if err := cl.control.Flush(); err != nil {
			return errCaller
		}
		wd.progress()
	}
}

// result classifies the end of an attempt. The order matters: a cancelled context breaks the connection too, and is
// the cause.
func result(ctx, watched context.Context, err error, cl *call) event.Result {
	switch {
	case err == nil:
		return event.ResultDone
	case errorx.IsOfType(err, upstr.NotSent):
		return event.ResultNotSent
	case errorx.IsOfType(err, upstr.NotRun):
		return event.ResultNotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return event.ResultExpired
	case ctx.Err() != nil || errors.Is(err, errCaller):
		return event.ResultCancelled
	case context.Cause(watched) == errSilent:
		return event.ResultSilent
	case cl.offset > 0 || cl.headerOut:
		return event.ResultBroken
	default:
		return event.ResultFailed
	}
}

// status returns the HTTP status that a refusal carries, 0 if none came.
func status(err error) int {
	value, _ := property(err, upstr.PropertyStatus).(int)
	return value
}

// advice returns the time after which the upstream wants to be asked again, 0 if it gave none.
func advice(err error) time.Duration {
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

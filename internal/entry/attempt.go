package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// errSilent is the cause with which an attempt without progress is cancelled.
var errSilent = errors.New("entry: the upstream made no progress in its time")

// attempt sends the request to an upstream and passes its answer on. It returns how that ended.
func (in *Instance) attempt(cl *call, eff effect.Send) event.AttemptEnded {
	ctx, cancel := cl.begin(eff)
	defer cancel()
	watched, silence := context.WithCancelCause(ctx)
	defer silence(nil)
	last := eff.Upstreams[len(eff.Upstreams)-1]
	up := upstr.Call{
		Address:     last.Address,
		Request:     cl.name,
		Method:      cl.req.Method,
		Path:        cl.req.URL.RequestURI(),
		Header:      forwarded(cl.req.Header),
		Body:        bytes.NewReader(cl.raw),
		Length:      int64(len(cl.raw)),
		Offset:      eff.Offset,
		Priority:    eff.Priority,
		Reservation: eff.Permit,
		Fresh:       eff.Fresh,
	}
	ended := event.AttemptEnded{ID: cl.id, Attempt: eff.Attempt, Upstream: last.Name}
	var err error
	if cl.body != nil {
		up.Body, up.Length = cl.body.Streamed()
		err = in.stream(watched, cl, up, watchdog(silence, eff.Silence))
	} else {
		err = in.exchange(watched, cl, up, &ended)
	}
	ended.Offset = cl.offset
	ended.Result = result(ctx, watched, err, cl)
	ended.RetryAfter = advice(err)
	return ended
}

// hopHeaders belong to one connection or are set anew for the upstream.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length", "Expect", HeaderDeadline,
}

func forwarded(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// watchdog returns a timer that declares the upstream silent unless it is reset in time.
func watchdog(silence context.CancelCauseFunc, period time.Duration) *progress {
	return &progress{timer: time.AfterFunc(period, func() { silence(errSilent) }), period: period}
}

type progress struct {
	timer  *time.Timer
	period time.Duration
}

func (pr *progress) made() {
	pr.timer.Reset(pr.period)
}

// stream passes a model's answer on, chunk by chunk.
func (in *Instance) stream(ctx context.Context, cl *call, up upstr.Call, pr *progress) error {
	defer pr.timer.Stop()
	answer, err := in.upstream.Complete(ctx, up)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Close() }()
	for {
		chunk, err := answer.Next()
		if err == io.EOF {
			return cl.end()
		}
		if err != nil {
			return err
		}
		pr.made()
		if cl.offset == 0 {
			cl.firstAt = time.Now()
			in.loop.Submit(event.Answering{ID: cl.id, Attempt: cl.attempt})
		}
		if err := cl.pass(chunk, answer.Buffered()); err != nil {
			return err
		}
	}
}

// errCaller tells that the caller's connection broke.
var errCaller = errors.New("entry: the caller's connection broke")

// pass gives the caller one chunk; more tells that another follows at once.
func (cl *call) pass(chunk upstr.Chunk, more bool) error {
	cl.offset = chunk.Offset + 1
	cl.lastAt = time.Now()
	if !cl.body.Stream {
		return cl.answer.add(chunk.Data)
	}
	cl.startStream()
	line := append(append([]byte("data: "), chunk.Data...), '\n', '\n')
	if _, err := cl.w.Write(line); err != nil {
		return errCaller
	}
	if more {
		return nil
	}
	if err := http.NewResponseController(cl.w).Flush(); err != nil {
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
func (in *Instance) exchange(ctx context.Context, cl *call, up upstr.Call, ended *event.AttemptEnded) error {
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
	cl.firstAt = time.Now()
	in.loop.Submit(event.Answering{ID: cl.id, Attempt: cl.attempt})
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
	_, err = io.Copy(cl.w, io.TeeReader(resp.Body, &cl.outcome))
	if err != nil {
		return io.ErrUnexpectedEOF
	}
	cl.outcome.Complete()
	return nil
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

func advice(err error) time.Duration {
	if err == nil {
		return 0
	}
	value, ok := errorx.ExtractProperty(err, upstr.PropertyRetryAfter)
	if !ok {
		return 0
	}
	after, _ := value.(time.Duration)
	return after
}

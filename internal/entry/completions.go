package entry

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/front"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// defaultMaxTokens is the max_tokens of a request that gives none.
const defaultMaxTokens = 256

// requestParser turns a caller's request into the reducer's event, or returns the error to answer with.
type requestParser func(cl *call, dir *directory) (event.Arrived, *apiError)

// handle authenticates the organisation, parses its request and serves it.
func (in *Instance) handle(w http.ResponseWriter, req *http.Request, parse requestParser) {
	cl := newCall(w, req, time.Now())
	cl.answer.held.Account = in.memory
	defer func() {
		in.memory.Release(memory.Bodies, cl.reserved)
		cl.answer.held.Release()
	}()
	dir := in.config.Load()
	org, ok := dir.organisation(req)
	if !ok {
		unauthorized().write(w)
		return
	}
	cl.organisation = org
	ev, ae := parse(cl, dir)
	if ae != nil {
		ae.write(w)
		return
	}
	cl.service = ev.Service
	ev.Organisation = org
	ev.Key = req.Header.Get("Idempotency-Key")
	ev.Forwarded = req.Header.Get(HeaderForwardedBy) != ""
	ev.Digest = digest(req, cl.raw)
	in.serve(cl, ev)
}

// completions serves both forms of the completions API.
func (in *Instance) completions(w http.ResponseWriter, req *http.Request) {
	in.handle(w, req, in.parseCompletion)
}

func (in *Instance) parseCompletion(cl *call, dir *directory) (event.Arrived, *apiError) {
	raw, ae := in.readBody(cl)
	if ae != nil {
		return event.Arrived{}, ae
	}
	bd, err := body.Scan(raw)
	if err != nil {
		return event.Arrived{}, badRequest(http.StatusBadRequest, "MalformedBody", err.Error())
	}
	service, ok := dir.models[bd.Model]
	if !ok || !dir.cfg.Organisations[cl.organisation].MayUse(service) {
		message := fmt.Sprintf("no model %q is offered; GET /v1/models lists them", bd.Model)
		return event.Arrived{}, badRequest(http.StatusNotFound, "UnknownModel", message)
	}
	svc := dir.cfg.Services[service].WithDefaults()
	if ae := boundMaxTokens(bd, svc); ae != nil {
		return event.Arrived{}, ae
	}
	deadline, ae := readDeadline(cl.req, svc, cl.arrived)
	prefixes := body.Prefixes(bd.PromptBytes())
	cl.body = bd
	cl.raw = raw
	return event.Arrived{
		Service:      service,
		Model:        bd.Model,
		PromptTokens: bd.PromptTokens(),
		MaxTokens:    bd.MaxTokens,
		Deadline:     deadline,
		Idempotent:   true,
		Prefixes:     prefixes,
		Features:     modelFeatures(bd.Model, bd.Features(prefixes)),
	}, ae
}

// modelFeatures returns the features for the model: what crashes one model's engines may be sound for another's.
func modelFeatures(model string, hashes []uint64) []cause.Feature {
	salt := xxhash.Sum64String(model)
	features := make([]cause.Feature, 0, len(hashes))
	for _, hash := range hashes {
		features = append(features, cause.Feature(hash^salt))
	}
	slices.Sort(features)
	return slices.Compact(features)
}

// boundMaxTokens sets max_tokens to the default if the caller gave none, and refuses a value that exceeds the memory of any
// engine of the service.
func boundMaxTokens(bd *body.Body, svc decl.Service) *apiError {
	if bd.MaxTokens == 0 {
		bd.MaxTokens = defaultMaxTokens
	}
	if svc.MemoryTokens > 0 && bd.MaxTokens > svc.MemoryTokens {
		message := fmt.Sprintf("max_tokens is %d; give at most %d", bd.MaxTokens, svc.MemoryTokens)
		return badRequest(http.StatusBadRequest, "MaxTokensTooLarge", message)
	}
	return nil
}

// digest returns the hash of the request's method, URI and body. A claim detects by it that an idempotency key is reused for
// another request, and the quarantine identifies content by it.
func digest(req *http.Request, raw []byte) event.Digest {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s\n%s\n", req.Method, req.URL.RequestURI())
	_, _ = hash.Write(raw)
	return event.Digest(hash.Sum(nil))
}

// readBody reads the whole body, limited in length by MaxBody and in time by BodyTimeout. It waits for memory if the body does not fit.
func (in *Instance) readBody(cl *call) ([]byte, *apiError) {
	if cl.req.ContentLength > in.opts.MaxBody {
		return nil, tooLarge(in.opts.MaxBody)
	}
	from := http.MaxBytesReader(cl.w, cl.req.Body, in.opts.MaxBody)
	if ae := in.reserveBody(cl, from); ae != nil {
		return nil, ae
	}
	raw, err := in.receive(cl, from)
	if err == nil {
		if cl.req.ContentLength < 0 {
			in.memory.Release(memory.Bodies, cl.reserved-int64(cap(raw)))
			cl.reserved = int64(cap(raw))
		}
		// If the read deadline stayed in force, the server would take the caller as disconnected when it passes.
		_ = cl.control.SetReadDeadline(time.Time{})
		return raw, nil
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return nil, tooLarge(in.opts.MaxBody)
	}
	// Where the next request would begin on the connection is unknown.
	cl.w.Header().Set("Connection", "close")
	if err == memory.SlowBody {
		return nil, memoryUsedUp()
	}
	return nil, badRequest(http.StatusBadRequest, "IncompleteBody", "the body ended early or came too slowly; send it whole")
}

// receive reads the body, for which memory is reserved. If the caller stops sending while others wait for memory, the error is memory.SlowBody.
func (in *Instance) receive(cl *call, from io.Reader) (raw []byte, err error) {
	if cl.reserved > memory.SmallBody {
		done := front.ReceiveLong(cl.req)
		defer done()
	}
	guard := &memory.SlowGuard{
		From: from, Rest: cl.req.ContentLength, Deadline: time.Now().Add(in.opts.BodyTimeout), Pressed: in.memory.Pressed,
		Interrupt: func() { _ = cl.control.SetReadDeadline(time.Now()) },
	}
	err = guard.Watch(func(from io.Reader) error {
		raw, err = readAll(from, cl.req.ContentLength)
		return err
	})
	return raw, err
}

const (
	// memoryWait is the maximum time that a request waits for memory before its body is read.
	memoryWait = time.Second
	// memoryRetryAfter is the Retry-After of a request that was refused for memory.
	memoryRetryAfter = time.Second
	// discardTime is how long the body of a refused request is read and discarded. A connection that closes with unread bytes is reset, which
	// can discard the answer before the caller has read it.
	discardTime = time.Second
)

// reserveBody reserves memory for the call's body, or discards the body and returns the error to answer with. A body of unknown length may
// take the whole MaxBody, of which its last two buffers hold half as much again.
func (in *Instance) reserveBody(cl *call, from io.Reader) *apiError {
	size := cl.req.ContentLength
	if size < 0 {
		size = in.opts.MaxBody + in.opts.MaxBody/2
	}
	waited, err := in.memory.Reserve(cl.req.Context(), memory.Bodies, size, memoryWait)
	if err == nil {
		cl.reserved = size
		if waited > 0 {
			// The time to send the body begins when it is read.
			_ = cl.control.SetReadDeadline(time.Now().Add(in.opts.BodyTimeout))
			in.log.Info().Str("Instance", in.opts.Name).Str("Organisation", cl.organisation).Int64("Bytes", size).Int64("WaitedMs", waited.Milliseconds()).Msg("waited for memory")
		}
		return nil
	}
	metrics.GetOrRegisterCounter("Memory.Refused."+string(err.(memory.Refusal)), in.Meter.Registry).Inc(1)
	in.log.Info().Str("Instance", in.opts.Name).Str("Organisation", cl.organisation).Int64("Bytes", size).Int64("HeldBytes", in.memory.Total()).Err(err).Msg("refused for memory")
	_ = cl.control.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, from)
	return memoryUsedUp()
}

// memoryUsedUp returns the refusal of a request that has found no memory. It has not run.
func memoryUsedUp() *apiError {
	ae := badRequest(http.StatusServiceUnavailable, "MemoryUsedUp", "the instance has no memory for the request now, and nothing has run; send it again later")
	ae.RetryAfter = memoryRetryAfter
	return ae
}

func tooLarge(limit int64) *apiError {
	return badRequest(http.StatusRequestEntityTooLarge, "BodyTooLarge", fmt.Sprintf("the body has more than %d bytes; shorten it", limit))
}

const (
	// initialBufferSize is the size in bytes of a body's buffer before any of the body was received.
	initialBufferSize = 64 << 10
	// bufferGrowth is the factor by which a full buffer grows.
	bufferGrowth = 4
)

// readAll reads a body. If the length is known, the buffer ends up with exactly that length. It grows with the data
// received: if it were allocated at once, callers could take memory from all others by announcing long bodies that they
// never send.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	raw := make([]byte, min(length, initialBufferSize))
	for have := 0; ; {
		count, err := io.ReadFull(reader, raw[have:])
		have += count
		if err != nil || int64(have) == length {
			return raw[:have], err
		}
		grown := make([]byte, min(length, int64(have)*bufferGrowth))
		copy(grown, raw)
		raw = grown
	}
}

// readDeadline returns the caller's deadline, at most the service's MaxDeadline ahead, or the service's default if the
// caller gave none.
func readDeadline(req *http.Request, svc decl.Service, now time.Time) (time.Time, *apiError) {
	text := req.Header.Get(HeaderDeadline)
	if text == "" {
		return now.Add(svc.Deadline.Std()), nil
	}
	latest := now.Add(svc.MaxDeadline.Std())
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		period, err := time.ParseDuration(text)
		if err != nil {
			return time.Time{}, badRequest(http.StatusBadRequest, "BadDeadline", HeaderDeadline+`: give a duration such as "30s" or an RFC 3339 time`)
		}
		at = now.Add(period)
	}
	if !at.After(now) {
		return time.Time{}, badRequest(http.StatusBadRequest, "BadDeadline", HeaderDeadline+": the deadline is not in the future")
	}
	if at.After(latest) {
		at = latest
	}
	return at, nil
}

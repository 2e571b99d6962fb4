// Package upstr speaks to upstreams: model engines over the completions API with server-sent events, and plain HTTP
// services.
package upstr

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Headers between an entry instance and its upstreams.
const (
	// HeaderRequest names the request; every chunk of its answer repeats the name.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority orders the requests within an engine; a higher one goes first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the first token of the answer that is still wanted.
	HeaderOffset = "X-Resume-Offset"
	// HeaderImports lists cache handles that hold the leading segments of the prompt, comma separated.
	HeaderImports = "X-Cache-Imports"
	// HeaderSegment is the run of prompt tokens to prefill, as "from-to".
	HeaderSegment = "X-Segment"
	// HeaderReservation names the memory reservation that covers the request.
	HeaderReservation = "X-Reservation"
	// HeaderRun is the upstream's word on a refused request: "NotRun" if it did nothing with it.
	HeaderRun = "X-Run-State"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderFence is the fencing number of an order.
	HeaderFence = "X-Fencing-Number"
	// RunStateNotRun is the value of HeaderRun for a request that was not run.
	RunStateNotRun = "NotRun"
)

// Engine is a fleet of model engines; each call names one by its address.
type Engine interface {
	// Complete starts an answer. The error is one of NotSent, NotRun or Failed.
	Complete(ctx context.Context, call Call) (Stream, error)
	// Prefill computes one segment of a prompt on top of imported ones and returns the handle of its exported cache.
	Prefill(ctx context.Context, call Call, from, to int64) (handle string, err error)
	// Drop frees what the engine holds for the request, cache exports included. It uses a connection of its own, since
	// it is called when an open one may be silent.
	Drop(ctx context.Context, address, request string) error
	// Load returns the engine's report of itself.
	Load(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the batches after the sequence number, waiting for some time if there are none.
	CacheEvents(ctx context.Context, address string, after int64) ([]event.CacheChanged, error)
	// Order tells the engine what it should have loaded and which role it should play.
	Order(ctx context.Context, address string, order Order) error
	// CloseIdle closes the idle connections to the address.
	CloseIdle(address string)
}

// Plain is a fleet of plain HTTP services.
type Plain interface {
	// Do sends one call and returns the answer, whose body the caller closes. The error is NotSent or Failed.
	Do(ctx context.Context, call Call) (*http.Response, error)
}

// Call is one attempt at an upstream.
type Call struct {
	Address string
	// Request names the request over all its attempts.
	Request string
	// Method and Path are as the caller sent them.
	Method string
	Path   string
	Header http.Header
	// Body has Length bytes; it is read once.
	Body   io.Reader
	Length int64
	// Offset, Priority, Reservation and Imports go into the headers of their names. Engines only.
	Offset      int64
	Priority    int
	Reservation string
	Imports     []string
	// Fresh asks for a connection that nothing used before and nothing will use again.
	Fresh bool
	// Connected is called when the call has its connection, with whether earlier calls used it; nil is allowed.
	Connected func(reused bool)
	// Heartbeat is called for each comment in a stream, by which an engine says that it is still at work; nil is
	// allowed. Engines only.
	Heartbeat func()
}

// Stream is an answer as it arrives.
type Stream interface {
	// Next returns the next chunk in order, io.EOF after the end marker, io.ErrUnexpectedEOF if the stream ended
	// without it, or a Crossed error. The chunk's data is valid until the call after.
	Next() (Chunk, error)
	// Buffered reports whether Next would return without waiting for the network.
	Buffered() bool
	// Close ends the stream and cancels the request upstream if it still runs.
	Close() error
}

// Chunk is one server-sent event of an answer.
type Chunk struct {
	// Request is the request that the upstream says the chunk belongs to.
	Request string
	// Offset is the number of tokens of the answer before this chunk.
	Offset int64
	// Data is the JSON of the event.
	Data []byte
}

// Report is an engine's report of itself.
type Report struct {
	// Age is how old the figures are, in the engine's own words.
	Age     time.Duration
	Load    event.Load
	Role    string
	Models  []string
	Loading []string
}

// Order states what an engine should be, not a step towards it, so that a late one can be seen and set right.
type Order struct {
	// Fence is the fencing number of the lease under which the order is given.
	Fence int64
	// Models are the loaded models wanted, as "name@version" with adapters as "name@version:adapter".
	Models []string
	// Role is the wanted role, empty for no change.
	Role string
}

var (
	// Errors groups what upstreams return.
	Errors = errorx.NewNamespace("upstr")
	// NotSent tells that no byte of the request can have left.
	NotSent = Errors.NewType("not_sent", errorx.Temporary())
	// NotRun tells that the upstream refused the request and ran nothing of it.
	NotRun = Errors.NewType("not_run", errorx.Temporary())
	// Failed tells that the request may have run; the end is not known.
	Failed = Errors.NewType("failed")
	// Fenced tells that an order carried an old fencing number.
	Fenced = Errors.NewType("fenced")
	// PropertyStatus carries the HTTP status of a refusal.
	PropertyStatus = errorx.RegisterProperty("status")
	// PropertyRetryAfter carries the time.Duration after which the upstream wants to be asked again.
	PropertyRetryAfter = errorx.RegisterProperty("retry_after")
)

// Package upstr is the client for upstreams: model engines, by the completions API with server-sent events, and plain
// HTTP services.
package upstr

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/memory"
	"dandelionsail.example/dandelionsail/internal/notice"
)

// Headers between an entry instance and its upstreams.
const (
	// HeaderRequest identifies the request; every chunk of its answer repeats the value.
	HeaderRequest = "X-Request-Id"
	// HeaderPriority is the priority of the request within an engine; higher values go first.
	HeaderPriority = "X-Priority"
	// HeaderOffset is the offset of the first token of the answer that is still needed.
	HeaderOffset = "X-Resume-Offset"
	// HeaderImports lists cache handles that hold the leading segments of the prompt, comma separated.
	HeaderImports = "X-Cache-Imports"
	// HeaderSegment is the range of prompt tokens to prefill, as "from-to".
	HeaderSegment = "X-Segment"
	// HeaderReservation identifies the memory reservation that covers the request.
	HeaderReservation = "X-Reservation"
	// HeaderRunState is set by an upstream that rejects a request: RunStateNotRun if it ran nothing of it.
	HeaderRunState = "X-Run-State"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderFence is the fencing number of an order.
	HeaderFence = "X-Fencing-Number"
	// HeaderLeaving is "1" in all answers of an upstream that is about to shut down.
	HeaderLeaving = "X-Leaving"
	// RunStateNotRun is the value of HeaderRunState for a request that was not run.
	RunStateNotRun = "NotRun"
)

// Engine calls model engines; each call selects one by its address.
type Engine interface {
	// Complete starts a completion and returns its stream. The error is one of NotSent, NotRun or Failed.
	Complete(ctx context.Context, call Call) (Stream, error)
	// Prefill computes one segment of a prompt on top of imported ones and returns the handle of its exported cache.
	Prefill(ctx context.Context, call Call, from, to int64) (handle string, err error)
	// Drop frees everything that the engine holds for the request, including cache exports. It uses a new connection,
	// because an open one may be unresponsive when Drop is called.
	Drop(ctx context.Context, address, request string) error
	// Load returns the engine's load report.
	Load(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the batches after the sequence number. If there are none, it waits for some time.
	CacheEvents(ctx context.Context, address string, after int64) ([]event.CacheChanged, error)
	// Order sends the engine an order, which states the models to have loaded and the role to take.
	Order(ctx context.Context, address string, order Order) error
	// CloseIdle closes the idle connections to the address.
	CloseIdle(address string)
}

// Plain calls plain HTTP services.
type Plain interface {
	// Do sends a call and returns the response, whose body the caller must close. The error is NotSent, NotRun or Failed.
	Do(ctx context.Context, call Call) (*http.Response, error)
}

// Call is one attempt of a request at an upstream.
type Call struct {
	Address string
	// Kind is the kind of the call. The methods of Client other than Do set it.
	Kind notice.Kind
	// ID is the request of the call at this instance, 0 if there is none.
	ID event.RequestID
	// Request identifies the request across all its attempts.
	Request string
	// Method is the HTTP method of the call.
	Method string
	// Path is the path of the call, with the query if there is one.
	Path   string
	Header http.Header
	// Body is the request body; it is read once.
	Body io.Reader
	// Length is the length of Body in bytes.
	Length int64
	// Offset is sent to engines as HeaderOffset if it is above 0.
	Offset int64
	// Priority is sent to engines as HeaderPriority.
	Priority int
	// Reservation is sent to engines as HeaderReservation unless empty.
	Reservation string
	// Imports is sent to engines as HeaderImports unless empty.
	Imports []string
	// NewConnection asks for a new connection that is not reused afterwards.
	NewConnection bool
	// Connected, unless nil, is called once the call has its connection; reused reports whether earlier calls used it.
	Connected func(reused bool)
	// Account, unless nil, counts what is held of the answer. Engines only.
	Account *memory.Account
	// Heartbeat, unless nil, is called for each comment in a stream, which an engine sends to show that it is still
	// working. Engines only.
	Heartbeat func()
}

// Stream is an answer that is being received.
type Stream interface {
	// Next returns the next chunk in order. It returns io.EOF after the end marker, io.ErrUnexpectedEOF if the stream
	// ends without it or misses a chunk, or the error of the connection. The chunk's data is valid until the next call.
	Next() (Chunk, error)
	// Buffered reports whether Next would return without waiting for the network.
	Buffered() bool
	// Close ends the stream and cancels the request at the upstream if it is still running.
	Close() error
}

// Chunk is one server-sent event of an answer.
type Chunk struct {
	// Request is the request that the upstream says the chunk belongs to.
	Request string
	// Offset is the number of tokens of the answer before this chunk.
	Offset int64
	// Data is the data of the event, as JSON.
	Data []byte
}

// Report is an engine's load report.
type Report struct {
	// Age is the age of the figures, as the engine reports it.
	Age     time.Duration
	Load    event.Load
	Role    string
	Models  []string
	Loading []string
}

// Order describes the target state of an engine, not a change, so that a late order can be detected and corrected.
type Order struct {
	// Fence is the fencing number of the lease under which the order is sent.
	Fence int64
	// Models are the models to have loaded, as "name@version" with adapters as "name@version:adapter".
	Models []string
	// Role is the role to take, empty for no change.
	Role string
}

var (
	// Errors is the namespace of the errors of this package.
	Errors = errorx.NewNamespace("upstr")
	// NotSent means that no byte of the request can have been sent.
	NotSent = Errors.NewType("not_sent", errorx.Temporary())
	// NotRun means that the upstream rejected the request and ran nothing of it.
	NotRun = Errors.NewType("not_run", errorx.Temporary())
	// Failed means that the request may have run and its outcome is unknown.
	Failed = Errors.NewType("failed")
	// Held means that the call was not sent, since its upstream has announced something that rules it out.
	Held = Errors.NewType("held", errorx.Temporary())
	// Fenced means that the upstream rejected an order because its fencing number is outdated.
	Fenced = Errors.NewType("fenced")
	// PropertyStatus holds the HTTP status of a rejected request.
	PropertyStatus = errorx.RegisterProperty("status")
	// PropertyProof holds the norun.Proof of an error after which the call has certainly not run.
	PropertyProof = errorx.RegisterProperty("proof")
	// PropertyRetryAfter holds the time.Duration after which the upstream asks for a retry.
	PropertyRetryAfter = errorx.RegisterProperty("retry_after")
)

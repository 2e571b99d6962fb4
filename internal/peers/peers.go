// Package peers carries messages between entry instances.
package peers

import (
	"context"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// Transport sends messages to the peer address of another instance.
type Transport interface {
	// Ask sends a message and returns the answer, or Unreachable.
	Ask(ctx context.Context, address string, msg wire.Message) (wire.Message, error)
	// Tell sends a message of at most about a kilobyte that may be lost.
	Tell(address string, msg wire.Message)
}

// Handler answers a peer's message; the answer to a message that was told is dropped, and nil stands for wire.Ack. The
// name is the one in the peer's certificate. It may run on many goroutines and must not block for long.
type Handler func(ctx context.Context, from string, msg wire.Message) wire.Message

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("peers")
	// Unreachable tells that the peer gave no answer; it may have acted on the message.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
	// BadKeys tells that a key, certificate or authority cannot be used.
	BadKeys = Errors.NewType("bad_keys")
)

// Package peers sends messages between entry instances, over QUIC with certificates of a common authority.
package peers

import (
	"context"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// Transport sends messages to the peer address of another instance.
type Transport interface {
	// Request sends a message and returns the peer's answer. If none arrives, the error is Unreachable.
	Request(ctx context.Context, address string, msg wire.Message) (wire.Message, error)
	// Send sends a message without waiting for an answer. The message may be lost. It should be at most about a kilobyte
	// long, so that it fits into one packet.
	Send(address string, msg wire.Message)
}

// Handler handles a message of a peer and returns the answer, where nil stands for wire.Ack. The answer to a message sent
// by Send is discarded. from is the name in the peer's certificate. A Handler is called from many goroutines at once and
// must not block for long.
type Handler func(ctx context.Context, from string, msg wire.Message) wire.Message

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("peers")
	// Unreachable is returned if the peer did not answer. The peer may have processed the message nevertheless.
	Unreachable = Errors.NewType("unreachable", errorx.Temporary())
	// BadKeys is returned if a key, a certificate or the authority cannot be used.
	BadKeys = Errors.NewType("bad_keys")
)

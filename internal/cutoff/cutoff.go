// Package cutoff decides what proves that an answer under way will not go on. Both fronts end an attempt whose answer has begun only with such a
// proof. An upstream's silence is none: an engine preempts its newest request in the middle of its stream and reads it again, others wait for a
// helper that is gone, and a process that stood still has not read what waits in its socket.
package cutoff

import (
	"context"
	"errors"
	"time"
)

// Proof says why an attempt ended, or may be ended, before its answer was complete. Only the functions of this package make one. The zero value
// proves nothing: the answer may go on.
type Proof uint8

// The proofs.
const (
	// None proves nothing.
	None Proof = iota
	// Closed means that the connection to the upstream has ended, or was reset or given up by the operating system.
	Closed
	// Dead means that the other end of the connection has acknowledged nothing for MaxUnacknowledged although something was sent to it.
	Dead
	// Malformed means that the upstream has sent what is no answer to the request.
	Malformed
	// Expired means that the request's deadline or its route's timeout has passed.
	Expired
	// Left means that the caller has closed its connection or cannot be written to.
	Left
	// Resumed means that another run of the request was granted, which goes on with the answer.
	Resumed
	// Stopped means that the process is about to be killed.
	Stopped
)

var names = [...]string{"None", "Closed", "Dead", "Malformed", "Expired", "Left", "Resumed", "Stopped"}

// String returns the name of the proof for logs and metrics.
func (pf Proof) String() string {
	if int(pf) >= len(names) {
		return "Unknown"
	}
	return names[pf]
}

// IsOwn reports whether the attempt was ended here although it could have gone on: its caller has left, its time is up or the process ends.
func (pf Proof) IsOwn() bool { return pf == Expired || pf == Left || pf == Stopped }

// IsDeadline reports whether the request's time was up.
func (pf Proof) IsDeadline() bool { return pf == Expired }

// IsResumption reports whether another run goes on with the answer.
func (pf Proof) IsResumption() bool { return pf == Resumed }

// MaxUnacknowledged is for how long the other end of a connection may acknowledge nothing of what was sent to it. Its operating system does so
// also while its process is stopped or does not read. In that time data are sent four times if nothing comes back.
const MaxUnacknowledged = 3 * time.Second

// OfRead returns the proof that an error of reading an answer is. The error of an attempt that was ended here says nothing of the connection; its
// proof is that of the context.
func OfRead(ctx context.Context, err error) Proof {
	if proof := Of(ctx); proof != None || err == nil {
		return proof
	}
	return Closed
}

// OfConnection returns the proof that the state of a connection is, if the other end is gone: something that was sent is not acknowledged, and
// nothing at all was received for the time.
func OfConnection(unacknowledged bool, sinceReceived time.Duration) Proof {
	if unacknowledged && sinceReceived >= MaxUnacknowledged {
		return Dead
	}
	return None
}

// OfAnswer returns the proof of an upstream that answered with something that the caller cannot be given.
func OfAnswer(unusable bool) Proof {
	if unusable {
		return Malformed
	}
	return None
}

// OfWrite returns the proof of a caller that an answer was written to with the error.
func OfWrite(err error) Proof {
	if err != nil {
		return Left
	}
	return None
}

// OfCaller returns the proof of a caller that has left.
func OfCaller(left bool) Proof {
	if left {
		return Left
	}
	return None
}

// OfGrant returns the proof of an attempt in whose place another run was granted.
func OfGrant(granted bool) Proof {
	if granted {
		return Resumed
	}
	return None
}

// OfStop returns the proof of a process that ends its attempts at the given time, since it is killed soon after.
func OfStop(now, at time.Time) Proof {
	if now.Before(at) {
		return None
	}
	return Stopped
}

// CancelFunc ends an attempt with the proof. Without one it does nothing.
type CancelFunc func(proof Proof)

// ended is the cause of an attempt's context that was cancelled with a proof.
type ended struct{ proof Proof }

// Error implements error.
func (en *ended) Error() string { return "cutoff: the attempt was ended: " + en.proof.String() }

// Context returns the context of an attempt and the function that ends it. The context also ends with that of the caller and at the deadline. release
// frees its resources once the attempt is over.
func Context(caller context.Context, deadline time.Time) (ctx context.Context, cancel CancelFunc, release func()) {
	limited, stop := context.WithDeadline(caller, deadline)
	ctx, end := context.WithCancelCause(limited)
	cancel = func(proof Proof) {
		if proof != None {
			end(&ended{proof})
		}
	}
	return ctx, cancel, func() {
		end(nil)
		stop()
	}
}

// Of returns the proof with which the context of an attempt ended, None if it has not.
func Of(ctx context.Context) Proof {
	if ctx.Err() == nil {
		return None
	}
	cause := context.Cause(ctx)
	var en *ended
	switch {
	case errors.As(cause, &en):
		return en.proof
	case errors.Is(cause, context.DeadlineExceeded):
		return Expired
	}
	return Left
}

// Package steer decides what becomes of requests that are passed on to upstreams as their callers sent them: which
// replicas take a request, when it waits, when it is sent again and when it is refused. It is a reducer: events and the
// time in, effects out; it reads no clock and does no I/O.
package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Event is one input of the reducer.
type Event interface{ isEvent() }

// RequestID names a request within one run of one instance.
type RequestID uint64

// Digest tells requests of the same content apart from others: organisation, method, path and body.
type Digest uint64

// Arrived tells that a caller's request was read whole and may be served.
type Arrived struct {
	ID    RequestID
	Route *decl.Route
	// Name is the request's name towards its caller, for the log.
	Name         string
	Organisation string
	// Priority is the organisation's or else the route's, 0 the most urgent.
	Priority int
	// Prompt and Answer are in tokens, the answer's at most; 0 for plain services.
	Prompt, Answer int64
	// Deadline is when the caller must have its end.
	Deadline time.Time
	// Patience is when the caller gives up if no answer has begun.
	Patience time.Time
	// Given is the time that the caller said it has left, 0 if it did not say.
	Given  time.Duration
	Digest Digest
}

// CallerGone tells that the caller closed its connection.
type CallerGone struct{ ID RequestID }

// Began tells that the first byte of an answer came.
type Began struct {
	ID      RequestID
	Attempt int
}

// Progressed tells that an event of a stream came that had begun before.
type Progressed struct {
	ID      RequestID
	Attempt int
	// Pause is the time since the event before.
	Pause time.Duration
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultDone is a whole answer of success.
	ResultDone Result = iota + 1
	// ResultAnswered is a whole answer of failure by the replica itself, which may have run the request.
	ResultAnswered
	// ResultNotSent is a failure before any byte of the request could have left.
	ResultNotSent
	// ResultNotRun is a refusal by a replica that says it ran nothing.
	ResultNotRun
	// ResultMisdirected is such a refusal by another replica than the one meant, which has its address now.
	ResultMisdirected
	// ResultBroken is an answer that did not come or not whole.
	ResultBroken
	// ResultSilent is an answer that made no progress in its time.
	ResultSilent
	// ResultExpired is an attempt that the request's deadline ended.
	ResultExpired
	// ResultCancelled is an attempt that the caller's leaving ended.
	ResultCancelled
)

// AttemptEnded tells how one attempt ended. Each effect.Send brings one, always.
type AttemptEnded struct {
	ID      RequestID
	Attempt int
	Result  Result
	// Begun tells that some of an answer is with the caller, so that nothing but its rest can follow.
	Begun bool
	// Died tells that the replica took no new connection after it broke off.
	Died bool
	// Pause is the longest time between two events, which ended at PauseAt.
	Pause   time.Duration
	PauseAt time.Time
	// Status is the replica's, 0 if none came.
	Status int
	// At names the replica at fault where another than the one asked was, empty if unknown.
	At string
}

// Replica is one incarnation of an upstream.
type Replica struct {
	// Name is unique to the replica, Born tells its incarnations apart.
	Name          string `cbor:"1,keyasint,omitempty"`
	Born          int64  `cbor:"2,keyasint,omitempty"`
	Service       string `cbor:"3,keyasint,omitempty"`
	Address       string `cbor:"4,keyasint,omitempty"`
	FailureDomain string `cbor:"5,keyasint,omitempty"`
	Slots         int    `cbor:"6,keyasint,omitempty"`
	// Leaving replicas get nothing new.
	Leaving bool `cbor:"7,keyasint,omitempty"`
}

// Listed brings the replicas that are registered now.
type Listed struct {
	Replicas []Replica
	// Away tells that the list was out of reach until now, so that a live replica may be missing from it.
	Away bool
}

// Relisted brings what has changed of the list: replicas that came or are registered anew, and the names of those that are
// registered no longer.
type Relisted struct {
	Replicas []Replica
	Gone     []string
	// Away tells that the list was out of reach until now, so that a live replica may be among those that are gone.
	Away bool
}

// Configured brings the version in force.
type Configured struct{ Routing *decl.Routing }

// Peered brings the other instances that live.
type Peered struct{ Instances []Instance }

// Heard brings another instance's note.
type Heard struct{ Note Note }

// Surveyed brings an engine's own report of its load.
type Surveyed struct {
	Replica string
	// Running counts the requests that it runs or keeps waiting, Used is the memory in tokens that they take.
	Running int
	Used    int64
}

// Answered tells of an answer of a replica to anything that it was sent, as its header came.
type Answered struct {
	Replica string
	// Born is the incarnation that answered.
	Born int64
	// Sent is when the request left to which it is the answer.
	Sent time.Time
	// Limited tells that the replica names a rate limit, PerS is that in requests a second from all instances together.
	Limited bool
	PerS    float64
}

// Draining tells that the instance was asked to stop. From Hold on nothing waits here any longer, and at Stop what is
// still under way ends.
type Draining struct{ Hold, Stop time.Time }

// Ticked lets time pass.
type Ticked struct{}

// Summarized asks for the notes by which the others make good what they did not hear.
type Summarized struct{}

func (Arrived) isEvent()      {}
func (CallerGone) isEvent()   {}
func (Began) isEvent()        {}
func (Progressed) isEvent()   {}
func (AttemptEnded) isEvent() {}
func (Listed) isEvent()       {}
func (Relisted) isEvent()     {}
func (Configured) isEvent()   {}
func (Peered) isEvent()       {}
func (Heard) isEvent()        {}
func (Surveyed) isEvent()     {}
func (Answered) isEvent()     {}
func (Draining) isEvent()     {}
func (Ticked) isEvent()       {}
func (Summarized) isEvent()   {}

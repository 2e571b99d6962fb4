// Package steer schedules requests that are proxied to upstreams unchanged: it decides which replicas take a request, when
// the request waits, when it is retried and when it is refused. It is a reducer that turns events and the current time into
// effects; it reads no clock and does no I/O.
package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// RequestID identifies a request within one run of one instance.
type RequestID uint64

// Digest is a hash of a request's content: organisation, method, path and body.
type Digest uint64

// Part identifies a part of a prompt for the model that is asked for. Prompts that differ may share parts.
type Part = cause.Feature

// Arrived reports that a caller's request was read completely and may be served.
type Arrived struct {
	ID    RequestID
	Route *decl.Route
	// Path is the path that the route was found for.
	Path string
	// Name is the request ID that the caller sees, for the log.
	Name         string
	Organisation string
	// Priority is that of the organisation or else of the route; 0 is the most urgent.
	Priority int
	// Prompt is the length of the prompt in tokens, 0 for plain services.
	Prompt int64
	// Answer is the longest possible answer in tokens, 0 for plain services.
	Answer int64
	// Deadline is when the request must have ended for its caller.
	Deadline time.Time
	// LeavesAt is when the caller is expected to leave if no answer has begun.
	LeavesAt time.Time
	// StatedTimeout is the remaining time that the caller stated, 0 if it stated none.
	StatedTimeout time.Duration
	Digest        Digest
	// Parts are the parts of the prompt that other prompts may share, sorted and without repetitions.
	Parts []Part
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ ID RequestID }

// Began reports the first byte of an answer.
type Began struct {
	ID      RequestID
	Attempt int
}

// Progressed reports an event of a stream after the first one.
type Progressed struct {
	ID      RequestID
	Attempt int
	// Pause is the time since the previous event.
	Pause time.Duration
}

// FellSilent reports that the replica of an attempt has sent nothing for the attempt's timeout and was not seen to be at work. The attempt goes on
// unless an Abort follows. The event is repeated while the silence lasts.
type FellSilent struct {
	ID      RequestID
	Attempt int
	// Silent is the time since the last event or since the attempt began, without StoodStill.
	Silent time.Duration
	// StoodStill is how long this process stood still in that time.
	StoodStill time.Duration
	// OthersHeard reports whether the replica has sent events to other requests meanwhile.
	OthersHeard bool
	// Unreachable reports whether the replica, or the instance through which the attempt goes, accepted no new connection.
	Unreachable bool
	// Via is the instance that passes the attempt on, empty if it was sent directly.
	Via string
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultDone is a complete successful answer.
	ResultDone Result = iota + 1
	// ResultAnswered is a complete error answer from the replica itself, which may have run the request.
	ResultAnswered
	// ResultNotSent is a failure before any byte of the request can have been sent.
	ResultNotSent
	// ResultNotRun is a refusal by a replica that states that it ran nothing.
	ResultNotRun
	// ResultMisdirected is such a refusal by a different replica that now has the address of the intended one.
	ResultMisdirected
	// ResultBroken is an answer that is missing or incomplete.
	ResultBroken
	// ResultSilent is an answer that made no progress within its timeout, and in whose place another run was granted.
	ResultSilent
	// ResultExpired is an attempt that was ended by the request's deadline.
	ResultExpired
	// ResultCancelled is an attempt that was cancelled: the caller disconnected or an Abort ended it.
	ResultCancelled
	// ResultHeld is an attempt of which nothing was sent, since a Verdict held it back.
	ResultHeld
)

// AttemptEnded reports how an attempt ended. Exactly one follows each Send.
type AttemptEnded struct {
	ID      RequestID
	Attempt int
	Result  Result
	// Proof is why the request has not run because of the attempt. Without one it may have run, whatever the Result.
	Proof norun.Proof
	// End is why the attempt ended without a complete answer. A begun answer ends only with such a proof, see cutoff.
	End cutoff.Proof
	// Begun reports whether the caller already has the start of an answer, so that only the rest of it can follow.
	Begun bool
	// Unreachable reports whether the replica accepted no new connection after it broke off the answer or fell silent.
	Unreachable bool
	// Died reports whether the replica broke off the answer and accepts no connection, although another replica does.
	Died bool
	// OpenEnded reports that nothing but the end of its connection ended the answer, so that it may have ended with its replica.
	OpenEnded bool
	// Via is the instance that passed the attempt on, empty if it was sent directly.
	Via string
	// GivenUp reports whether the caller left, or its time ended, before anything was sent, so that the result says nothing of the replica.
	GivenUp bool
	// Hung reports whether, if GivenUp is set, a new connection to the replica had been under way for longer than a live replica takes.
	Hung bool
	// Pause is the longest time between two events of the stream.
	Pause time.Duration
	// PauseAt is when the longest pause ended.
	PauseAt time.Time
	// Status is the HTTP status of the replica's answer, 0 if there was none.
	Status int
	// FaultyReplica is the name or address of the replica at fault if that is not the one that was sent the request, empty
	// if unknown.
	FaultyReplica string
}

// answered reports whether the replica answered.
func (ev *AttemptEnded) answered() bool {
	switch ev.Result {
	case ResultDone, ResultAnswered, ResultNotRun, ResultMisdirected:
		return true
	}
	return false
}

// Replica is one incarnation of an upstream process.
type Replica struct {
	// Name is unique among the replicas.
	Name string `cbor:"1,keyasint,omitempty"`
	// Born identifies the incarnation.
	Born          int64  `cbor:"2,keyasint,omitempty"`
	Service       string `cbor:"3,keyasint,omitempty"`
	Address       string `cbor:"4,keyasint,omitempty"`
	FailureDomain string `cbor:"5,keyasint,omitempty"`
	// Slots is how many requests the replica serves at the same time.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Leaving reports whether the replica is draining and must get no new requests.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// ColdMs is how much longer in ms the replica is cold, as of when its entry was written, or ColdUnknown.
	ColdMs int64 `cbor:"8,keyasint,omitempty"`
}

// ColdUnknown stands for an entry that does not state how long its replica is cold.
const ColdUnknown = -1

// Listed carries the complete list of registered replicas.
type Listed struct {
	Replicas []Replica
	// AfterOutage reports whether the list was unavailable until now, so that live replicas may be missing from it.
	AfterOutage bool
	// FromCopy reports whether the list's store has returned from a copy, so that the list may contain entries from before changes
	// that were known already.
	FromCopy bool
}

// ListChanged carries the changes of the list of registered replicas.
type ListChanged struct {
	// Replicas holds the replicas that were registered or changed.
	Replicas []Replica
	// Gone names the replicas that are no longer registered.
	Gone []string
	// AfterOutage reports whether the list was unavailable until now, so that a live replica may be in Gone.
	AfterOutage bool
}

// Configured carries the configuration version in force.
type Configured struct{ Routing *decl.Routing }

// Peered carries the other live instances.
type Peered struct {
	Instances []Instance
	// Listed reports whether this instance is listed, too.
	Listed bool
}

// ListConfirmed reports that the list of instances was current the given time ago.
type ListConfirmed struct{ Age time.Duration }

// NoteReceived carries a note received from another instance.
type NoteReceived struct{ Note Note }

// LoadReported carries an engine's own load report, the answer to a QueryLoad.
type LoadReported struct {
	Replica string
	// Running counts the requests that the engine runs or has queued.
	Running int
	// Used is the memory in tokens that these requests occupy.
	Used int64
}

// Evacuated carries all failure domains that the operators have evacuated: nothing new is sent to their replicas.
type Evacuated struct {
	// FailureDomains is the complete set.
	FailureDomains []string
	// At is the position of the list's store at which they were, for the log.
	At posit.Position
}

// ResponseReceived reports the header of a replica's answer to any kind of request.
type ResponseReceived struct {
	Replica string
	// Born identifies the incarnation that answered.
	Born int64
	// Sent is when the request was sent.
	Sent time.Time
	notice.Announced
}

// StoodStill reports that the process stood still before the events that follow.
type StoodStill struct{ Gap time.Duration }

// DeathsReceived reports that another instance has answered a RequestDeaths, or that none did in time.
type DeathsReceived struct{ Standstill int }

// CauseRead carries a cause of crashes that an instance recorded in the store.
type CauseRead struct {
	Cause cause.Cause
	// Ended reports that an operator has ended it.
	Ended bool
}

// Draining reports that the instance was asked to shut down.
type Draining struct {
	// RefuseWaitingAt is when the requests that still wait for a replica are refused.
	RefuseWaitingAt time.Time
	// AbortAt is when the attempts that are still running are aborted.
	AbortAt time.Time
}

// Ticked reports that time has passed: timers are checked and waiting requests dispatched.
type Ticked struct{}

// Summarized requests the notes that repeat the instance's whole state, so that the others recover from lost notes.
type Summarized struct{}

func (Arrived) isEvent()          {}
func (CallerGone) isEvent()       {}
func (Began) isEvent()            {}
func (Progressed) isEvent()       {}
func (FellSilent) isEvent()       {}
func (AttemptEnded) isEvent()     {}
func (Listed) isEvent()           {}
func (ListChanged) isEvent()      {}
func (Configured) isEvent()       {}
func (Peered) isEvent()           {}
func (NoteReceived) isEvent()     {}
func (LoadReported) isEvent()     {}
func (Evacuated) isEvent()        {}
func (ResponseReceived) isEvent() {}
func (Sending) isEvent()          {}
func (StoodStill) isEvent()       {}
func (DeathsReceived) isEvent()   {}
func (CauseRead) isEvent()        {}
func (Draining) isEvent()         {}
func (ListConfirmed) isEvent()    {}
func (Ticked) isEvent()           {}
func (Summarized) isEvent()       {}

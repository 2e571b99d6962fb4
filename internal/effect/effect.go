// Package effect defines the outputs of an instance's reducers as data. The shell performs them and reports their results
// as events.
package effect

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Effect is one action for the shell to perform.
type Effect interface{ isEffect() }

// Send starts an attempt: it sends a request to an upstream. An event.AttemptEnded always follows.
type Send struct {
	ID      event.RequestID
	Attempt int
	// Upstreams has one replica, or several in the order in which they prefill the prompt's segments.
	Upstreams []event.Upstream
	// Offset is the index of the first token of the answer that the caller does not have yet.
	Offset int64
	// Priority is passed on to the engine, which runs requests of higher priority first.
	Priority int
	// Permit is the name of the reservation, empty for prompts sent without one.
	Permit string
	// NewConnection asks for a new connection, because a reused one may be silent or because the transport must not repeat
	// the request.
	NewConnection bool
	// Deadline is the time by which the attempt must have ended.
	Deadline time.Time
	// ProgressTimeout is the time without progress after which the silence is reported.
	ProgressTimeout time.Duration
	// FirstProgressTimeout is the same before the first byte of the answer; 0 means ProgressTimeout.
	FirstProgressTimeout time.Duration
	// Witness is the address of another upstream of the service, empty if there is none. If it accepts no connection either, the path
	// to them has been lost, and none has died.
	Witness string
}

// Forward passes a request of which nothing was sent on to another instance, since the path to its service is lost. An
// event.ForwardFailed and the event.Arrived again follow if that instance does not take it.
type Forward struct {
	ID event.RequestID
	To event.Instance
}

// ProbePaths requests new connections to upstreams, by address. An event.PathObserved follows for each.
type ProbePaths struct{ Addresses []string }

// PathsInDoubt states whether new connections that succeed are to be reported by an event.PathObserved.
type PathsInDoubt struct{ InDoubt bool }

// Abort ends an attempt with the proof that its answer does not go on. Its event.AttemptEnded carries ResultCancelled, or ResultSilent if another
// attempt was granted, unless the attempt has already ended otherwise.
type Abort struct {
	ID      event.RequestID
	Attempt int
	Proof   cutoff.Proof
}

// Finish ends a request that has no attempt under way. Exactly one Finish follows each event.Arrived.
type Finish struct {
	ID event.RequestID
	// Refusal is nil if the caller has the complete answer or has disconnected, and if Replay is set.
	Refusal *Refusal
	// Replay is the recorded outcome of an earlier run with which to answer the caller, nil if there is none.
	Replay *event.Outcome
}

// RunState states whether a refused or failed request ran.
type RunState string

const (
	// NotRun means that no upstream ran any of the request or ever will.
	NotRun RunState = "NotRun"
	// HasRun means that an upstream ran some or all of the request.
	HasRun RunState = "Ran"
	// Unknown means that the request may have run or may still run.
	Unknown RunState = "Unknown"
)

// Reason is the reason why a request was refused or failed.
type Reason string

const (
	// ReasonLimit means that the organisation has reached one of its limits.
	ReasonLimit Reason = "LimitExceeded"
	// ReasonOverloaded means that the work ahead of the request takes too long, or that no memory can be reserved for it.
	ReasonOverloaded Reason = "Overloaded"
	// ReasonDeadline means that the deadline has passed or is too early for the request.
	ReasonDeadline Reason = "DeadlineExceeded"
	// ReasonPromptTooLong means that the prompt exceeds every length class, or that prompt and answer exceed one engine's
	// memory.
	ReasonPromptTooLong Reason = "PromptTooLong"
	// ReasonNoUpstream means that no replica of the service is live, or that a granted engine has left.
	ReasonNoUpstream Reason = "NoUpstream"
	// ReasonUpstream means that an attempt failed and that the request is not retried.
	ReasonUpstream Reason = "UpstreamFailed"
	// ReasonBudget means that an attempt failed and that the organisation's retry budget allows no other.
	ReasonBudget Reason = "RetryBudgetUsed"
	// ReasonQuarantine means that requests of the same content have crashed upstreams.
	ReasonQuarantine Reason = "Quarantined"
	// ReasonKeyReused means that the idempotency key was used before with different content.
	ReasonKeyReused Reason = "IdempotencyKeyReused"
	// ReasonKeyRunning means that the first request with the idempotency key may still be running.
	ReasonKeyRunning Reason = "IdempotencyKeyRunning"
	// ReasonClaim means that the idempotency key could not be recorded.
	ReasonClaim Reason = "ClaimUnavailable"
	// ReasonDraining means that the instance is shutting down.
	ReasonDraining Reason = "Draining"
	// ReasonNoPath means that this instance has lost its path to the service's upstreams.
	ReasonNoPath Reason = "NoPath"
	// ReasonUnknownModel means that no service is declared under the requested name.
	ReasonUnknownModel Reason = "UnknownModel"
	// ReasonOutcome means that the request may have run and that its outcome is not known.
	ReasonOutcome Reason = "OutcomeUnknown"
	// ReasonAnswerNotKept means that the first request with the idempotency key was answered and its answer was not kept.
	ReasonAnswerNotKept Reason = "AnswerNotKept"
	// ReasonRejected means that the upstream rejected the request as invalid, as any other replica would.
	ReasonRejected Reason = "RejectedUpstream"
)

// Refusal is the failure that the caller receives instead of an answer.
type Refusal struct {
	Reason   Reason
	RunState RunState
	// RetryAfter is the delay before a retry makes sense, 0 if never or unknown.
	RetryAfter time.Duration
	// Remedy describes in a sentence what the caller can do.
	Remedy string
}

// Claim records an idempotency key before its request is sent. An event.ClaimSettled always follows.
type Claim struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Key          string
	Digest       event.Digest
	Deadline     time.Time
}

// RecordOutcome records the outcome of a claimed request.
type RecordOutcome struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Key          string
	Digest       event.Digest
	// Release drops the claim: the request certainly did not run, and a resend may run it.
	Release bool
	// Unknown records that the outcome is not known.
	Unknown bool
}

// RequestPermit asks the pool's coordinator for a reservation. An event.PermitAnswered always follows.
type RequestPermit struct {
	ID            event.RequestID
	Service       string
	FailureDomain string
	Organisation  string
	// Tokens is the KV memory to reserve, prompt and answer together.
	Tokens   int64
	Class    string
	Priority int
	Deadline time.Time
}

// ReleasePermit releases a reservation.
type ReleasePermit struct {
	ID            event.RequestID
	Service       string
	FailureDomain string
	Permit        string
}

// SendQuarantine sends quarantine entries to one peer, by its peer address.
type SendQuarantine struct {
	To      string
	Entries []event.QuarantineReported
}

// RequestQuarantine requests all quarantine entries of some peers. An event.QuarantineReceived with the same Standstill follows.
type RequestQuarantine struct{ Standstill int }

// AnnounceAnswered sends all peers the features that an upstream has answered since others crashed under them.
type AnnounceAnswered struct{ Features []cause.Feature }

// AnnounceQuarantine sends a quarantine entry to all peers.
type AnnounceQuarantine struct{ Quarantined event.QuarantineReported }

// SendDemand sends this instance's demands to the instance that divides the organisations' limits. It may be lost.
type SendDemand struct {
	To      event.Instance
	Demands []event.Demand
}

// SendShares sends an instance its shares of organisations' limits. It may be lost.
type SendShares struct {
	To     event.Instance
	Shares []event.Share
}

// PermitSeparator separates the request's name from the number of the attempt in the name of a permit.
const PermitSeparator = "~"

// Sweep frees what engines still hold for a request whose holder died.
type Sweep struct {
	// Request is the name of the permit.
	Request   string
	Upstreams []event.Upstream
}

// SendToPeer sends a message to the peer address of another instance. It may be lost; a sender that needs an answer has to
// repeat it.
type SendToPeer struct {
	Address string
	Message wire.Message
}

// CloseIdle closes the idle connections to an upstream after one of its connections stopped making progress.
type CloseIdle struct {
	Upstream string
	// Address is the upstream's address, which identifies its connections.
	Address string
}

// CountAndLog increments a counter and, if LogMessage is set, logs a change of state.
type CountAndLog struct {
	// Counter is the name of the metric.
	Counter string
	// LogMessage is the log message, empty for none.
	LogMessage string
	// Subject is the upstream or organisation that the log message is about.
	Subject string
}

func (Send) isEffect()               {}
func (Abort) isEffect()              {}
func (Finish) isEffect()             {}
func (Claim) isEffect()              {}
func (RecordOutcome) isEffect()      {}
func (RequestPermit) isEffect()      {}
func (ReleasePermit) isEffect()      {}
func (AnnounceAnswered) isEffect()   {}
func (AnnounceQuarantine) isEffect() {}
func (SendQuarantine) isEffect()     {}
func (RequestQuarantine) isEffect()  {}
func (SendDemand) isEffect()         {}
func (SendShares) isEffect()         {}
func (Sweep) isEffect()              {}
func (SendToPeer) isEffect()         {}
func (CloseIdle) isEffect()          {}
func (CountAndLog) isEffect()        {}
func (Forward) isEffect()            {}
func (ProbePaths) isEffect()         {}
func (PathsInDoubt) isEffect()       {}

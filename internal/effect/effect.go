// Package effect defines the outputs of an instance's reducers as data. The shell carries them out and reports what
// came of it as events.
package effect

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Effect is one thing the shell is told to do.
type Effect interface{ isEffect() }

// Send starts an attempt at an upstream. An event.AttemptEnded follows, always.
type Send struct {
	ID      event.RequestID
	Attempt int
	// Upstreams has one replica, or several in the order in which a prompt's segments are prefilled.
	Upstreams []event.Upstream
	// Offset is the first token of the answer still wanted.
	Offset int64
	// Priority is passed on to the engine; a higher one goes first.
	Priority int
	// Permit names the reservation, empty for short prompts.
	Permit string
	// Fresh asks for a connection of its own, because an older one may be silent or the request must not be repeated
	// by the transport.
	Fresh bool
	// Deadline is when the attempt must have ended.
	Deadline time.Time
	// Silence is the longest time without progress.
	Silence time.Duration
	// FirstSilence is the longest time without progress before the first byte of the answer; 0 means Silence.
	FirstSilence time.Duration
}

// Abort ends an attempt; its event.AttemptEnded carries ResultCancelled if nothing else came first.
type Abort struct {
	ID      event.RequestID
	Attempt int
}

// Finish ends a request that has no attempt under way. Exactly one Finish follows each event.Arrived.
type Finish struct {
	ID event.RequestID
	// Refusal is nil when the caller already has its whole answer or has gone.
	Refusal *Refusal
	// Replay is set when the recorded outcome of an earlier run answers the caller.
	Replay *event.Outcome
}

// Ran says what is known of a refused or failed request.
type Ran string

// What is known of a request that was not answered.
const (
	// NotRun means that no upstream ran any of it, nor ever will.
	NotRun Ran = "NotRun"
	// HasRun means that an upstream ran some or all of it.
	HasRun Ran = "Ran"
	// Unknown means that it may have run or may yet run.
	Unknown Ran = "Unknown"
)

// Reason is why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonLimit        Reason = "LimitExceeded"
	ReasonBusy         Reason = "Overloaded"
	ReasonDeadline     Reason = "DeadlineExceeded"
	ReasonTooLong      Reason = "PromptTooLong"
	ReasonNoUpstream   Reason = "NoUpstream"
	ReasonUpstream     Reason = "UpstreamFailed"
	ReasonQuarantine   Reason = "Quarantined"
	ReasonKeyReused    Reason = "IdempotencyKeyReused"
	ReasonKeyRunning   Reason = "IdempotencyKeyRunning"
	ReasonClaim        Reason = "ClaimUnavailable"
	ReasonDraining     Reason = "Draining"
	ReasonUnknownModel Reason = "UnknownModel"
	ReasonOutcome      Reason = "OutcomeUnknown"
	ReasonAnswerGone   Reason = "AnswerNotKept"
	// ReasonRejected means that the upstream found the request itself wrong; another replica would too.
	ReasonRejected Reason = "RejectedUpstream"
)

// Refusal is what the caller is told instead of an answer.
type Refusal struct {
	Reason Reason
	Ran    Ran
	// RetryAfter tells when a new try makes sense, 0 if never or unknown.
	RetryAfter time.Duration
	// Remedy says in a sentence what the caller can do.
	Remedy string
}

// Claim records an idempotency key before its request is sent. An event.ClaimSettled follows, always.
type Claim struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Key          string
	Digest       event.Digest
	Deadline     time.Time
}

// RecordOutcome tells the claims what became of a claimed request.
type RecordOutcome struct {
	ID           event.RequestID
	Organisation string
	Service      string
	Key          string
	Digest       event.Digest
	// Release drops the claim: the request was certainly not run, and a resend may try again.
	Release bool
	// Unknown records that the end is not known.
	Unknown bool
}

// AskPermit asks the pool's coordinator for a reservation. An event.PermitAnswered follows, always.
type AskPermit struct {
	ID            event.RequestID
	Service       string
	FailureDomain string
	Organisation  string
	// Tokens is the memory wanted, prompt and answer together.
	Tokens   int64
	Class    string
	Priority int
	Deadline time.Time
}

// ReleasePermit gives a reservation back.
type ReleasePermit struct {
	ID            event.RequestID
	Service       string
	FailureDomain string
	Permit        string
}

// TellQuarantine passes a quarantine on to all peers.
type TellQuarantine struct{ Quarantined event.Quarantined }

// TellDemand tells the instance that shares out the organisations' limits what they ask for here. It may be lost.
type TellDemand struct {
	To      event.Instance
	Demands []event.Demand
}

// TellShares tells an instance its parts of organisations' limits. It may be lost.
type TellShares struct {
	To     event.Instance
	Shares []event.Share
}

// PermitMark parts the name of a permit into its request's name and the number of the attempt.
const PermitMark = "~"

// Sweep frees what engines still hold for a request whose holder died.
type Sweep struct {
	Request   string
	Upstreams []event.Upstream
}

// Tell sends a message to the peer address of another instance. It may be lost; who needs an answer tells again.
type Tell struct {
	Address string
	Message wire.Message
}

// CloseIdle closes the idle connections to an upstream, because one of them went silent.
type CloseIdle struct {
	Upstream string
	// Address is the upstream's, which names its connections.
	Address string
}

// Note counts something under a metric name and, when Line is set, logs a change of state.
type Note struct {
	Counter string
	Line    string
	// Subject is what the line is about, an upstream or an organisation.
	Subject string
}

func (Send) isEffect()           {}
func (Abort) isEffect()          {}
func (Finish) isEffect()         {}
func (Claim) isEffect()          {}
func (RecordOutcome) isEffect()  {}
func (AskPermit) isEffect()      {}
func (ReleasePermit) isEffect()  {}
func (TellQuarantine) isEffect() {}
func (TellDemand) isEffect()     {}
func (TellShares) isEffect()     {}
func (Sweep) isEffect()          {}
func (Tell) isEffect()           {}
func (CloseIdle) isEffect()      {}
func (Note) isEffect()           {}

package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/posit"
)

// Effect is an action for the shell to carry out.
type Effect interface{ isEffect() }

// Send starts an attempt. Exactly one AttemptEnded follows.
type Send struct {
	ID      RequestID
	Attempt int
	Replica Replica
	// Helpers read parts of the prompt. Most requests have none.
	Helpers []Helper
	// Priority is passed on to the engine; 0 is the most urgent.
	Priority int
	// NewConnection requests a new connection. The replica may just have closed an idle keep-alive connection, and a
	// request that breaks on it could not be retried because it may have run. After a silence the kept connections to all replicas may be
	// silent for good, since something on the path has lost their state.
	NewConnection bool
	Deadline      time.Time
	// DecidedAt is when the attempt was decided on.
	DecidedAt time.Time
	// Kind is notice.First, notice.Retry or notice.Resumption.
	Kind notice.Kind
	// Granted reports whether the attempt has a grant for a rate-limited replica.
	Granted bool
	// FirstTimeout is the time without a first byte of the answer after which its replica is looked at.
	FirstTimeout time.Duration
	// GapTimeout is the time between two parts of the answer after which its replica is looked at.
	GapTimeout time.Duration
}

// Helper is a replica that reads a part of the prompt for the replica that answers.
type Helper struct {
	Replica
	// Tokens is the memory that the helper reserves for the request, 0 for none.
	Tokens int64
}

// Abort ends a running attempt with the proof that its answer does not go on.
type Abort struct {
	ID      RequestID
	Attempt int
	Proof   cutoff.Proof
}

// Finish ends a request. Exactly one follows each Arrived.
type Finish struct {
	ID RequestID
	// Refusal is nil if the caller has its complete answer, has disconnected, or gets the last replica's answer unchanged.
	Refusal *Refusal
	// DeliverFailure passes a replica's error answer on to the caller.
	DeliverFailure bool
}

// Reason is why a request was refused or failed.
type Reason string

// The reasons.
const (
	// ReasonBusy means that no replica has capacity in time.
	ReasonBusy Reason = "Overloaded"
	// ReasonDeadline means that the request waited too long or its deadline has passed.
	ReasonDeadline Reason = "DeadlineExceeded"
	// ReasonUpstream means that an attempt failed and must not be repeated.
	ReasonUpstream Reason = "UpstreamFailed"
	// ReasonBudget means that an attempt failed and that the budget of repeats allows no other.
	ReasonBudget Reason = "RetryBudgetUsed"
	// ReasonQuarantine means that replicas died while running the same content.
	ReasonQuarantine Reason = "Quarantined"
	// ReasonDraining means that the instance is shutting down.
	ReasonDraining Reason = "Draining"
	// ReasonLimited means that the rate limits of the replicas leave no capacity in time.
	ReasonLimited Reason = "RateLimited"
	// ReasonLeaving means that all replicas of the service leave.
	ReasonLeaving Reason = "ReplicasLeaving"
	// ReasonEvacuated means that the operators have evacuated the failure domains of all replicas of the service that remain.
	ReasonEvacuated Reason = "ReplicasEvacuated"
	// ReasonResting means that all replicas of the service have asked this instance for rest.
	ReasonResting Reason = "ReplicasResting"
	// ReasonNoPath means that no instance has a path to the replicas.
	ReasonNoPath Reason = "NoPath"
	// ReasonDown means that the failure domains of all replicas of the service that remain are down.
	ReasonDown Reason = "ReplicasDown"
	// ReasonOutdated means that a decision to send is too old to be carried out. No caller sees it.
	ReasonOutdated Reason = "Outdated"
)

// Refusal is the error that the caller gets instead of an answer.
type Refusal struct {
	Reason Reason
	// NotRun guarantees that no replica has run any part of the request or will run it.
	NotRun bool
	// RetryAfter is how long the caller should wait before it retries; 0 gives no advice.
	RetryAfter time.Duration
}

// SendNote sends a note to other instances. The note may be lost unless it is Acked.
type SendNote struct {
	Note Note
	// To names the recipients, nil for all other instances.
	To []string
	// Acked asks for the note to be repeated until its recipients, which are all other instances, acknowledge it.
	Acked bool
	// AckDigest is the content of the request whose failure is answered only then.
	AckDigest Digest
}

// QueryLoad queries engines for their load. A LoadReported follows for each engine that answers.
type QueryLoad struct{ Replicas []Replica }

// RequestDeaths requests the deaths that other instances know. A DeathsReceived with the same Standstill follows.
type RequestDeaths struct{ Standstill int }

// RecordCause records a cause of crashes in the store, for instances that start when no other one knows of it.
type RecordCause struct{ Cause cause.Cause }

// Wake requests a Ticked after the given time.
type Wake struct{ After time.Duration }

// LogLine is a log line about a decision.
type LogLine struct {
	// Message also names the counter of such decisions, so a change of it renames a metric.
	Message string
	Request string
	Replica string
	Reason  Reason
	// Age is the time since the request arrived or since the reported fact was observed.
	Age time.Duration
	// Estimate is the estimated time on which the decision is based.
	Estimate time.Duration
	// Attempt is the number of the attempt, or of the replica's failures or deaths.
	Attempt int
	// Helpers names the replicas that read parts of the prompt.
	Helpers []string
	// Tokens is the length of the prompt.
	Tokens int64
	// Times is the slowdown of a replica relative to its declared performance.
	Times float64
	// PerS is a rate limit in requests per second.
	PerS float64
	// Announcement is the kind of a replica's announcement.
	Announcement string
	// Source is how the announcement was learned: from an answer, from the list, from a note of another instance, or from a message that
	// another instance was to pass on.
	Source string
	// Reporter names the instance whose note it was, or that was to pass the message on.
	Reporter string
	// Service is the service that the decision is about.
	Service string
	// FailureDomain is the failure domain that the decision is about.
	FailureDomain string
	// FailureDomains names failure domains that count as down.
	FailureDomains []string
	// Via names the instance through which a message goes.
	Via string
	// Rest is how long the replica asked for rest.
	Rest time.Duration
	// Status is the HTTP status of the replica's answer.
	Status int
	// Proof is why the attempt's request has not run, "None" if it may have.
	Proof string
	// Ended is why the attempt ended without a complete answer, "None" if that is not known.
	Ended string
	// Silent is how long a replica has sent nothing, without the time for which this process stood still.
	Silent time.Duration
	// StoodStill is how long this process stood still meanwhile.
	StoodStill time.Duration
	// Send is the kind of a message that was held back.
	Send string
	// PassedOver lists why replicas were passed over, with the number of replicas.
	PassedOver []string
	// Content identifies the content that a death is counted under.
	Content Digest
	// Parts are the parts of the prompt that other prompts may share, or those of a cause of crashes.
	Parts []Part
	// Crashes is the number of crashes that the cause explains.
	Crashes int
	// Wrote is how long the answer had been going on.
	Wrote time.Duration
	// Invalid quotes an announcement whose value cannot be used.
	Invalid string
	// At is the position of the list's store at which the reported fact was read.
	At posit.Position
	// Replicas is the number of replicas that the decision affects.
	Replicas int
	// Cause is why another instance did not pass a message on, or why failures are not put down to the path.
	Cause string
	// Budget is what a decision about a repeat was based on.
	Budget *budget.Use
	// Organisation is whose request the decision is about, if that matters to it.
	Organisation string
	// End is set on the last line of a request that was admitted.
	End *Outcome
}

// Outcome is the outcome of a request, from which the utility that it lost and the cause of the loss can be derived.
type Outcome struct {
	Route string
	// Value is the utility that an answer in time would have had.
	Value float64
	// TriedBefore reports whether the caller seems to have tried before.
	TriedBefore bool
	// Goal is the age at which the answer should have begun.
	Goal time.Duration
	// First is the age at which the answer began, 0 if it did not.
	First time.Duration
	// Gap is the longest pause within a stream that the route promises.
	Gap time.Duration
	// Pause is the longest pause that occurred.
	Pause time.Duration
	// PauseAt is the age at which the longest pause ended.
	PauseAt time.Duration
}

func (Send) isEffect()          {}
func (Abort) isEffect()         {}
func (Finish) isEffect()        {}
func (SendNote) isEffect()      {}
func (QueryLoad) isEffect()     {}
func (RequestDeaths) isEffect() {}
func (RecordCause) isEffect()   {}
func (Wake) isEffect()          {}
func (Verdict) isEffect()       {}
func (LogLine) isEffect()       {}

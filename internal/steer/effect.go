package steer

import "time"

// Effect is one thing the shell is told to do.
type Effect interface{ isEffect() }

// Send starts an attempt. An AttemptEnded follows, always.
type Send struct {
	ID      RequestID
	Attempt int
	Replica Replica
	// Helpers read parts of the prompt, none for most requests.
	Helpers []Helper
	// Priority is what the engine is told, 0 the most urgent.
	Priority int
	// Fresh asks for a connection of its own: a kept one may just have been closed by the replica, and the request
	// could not be sent again because it may have run.
	Fresh    bool
	Deadline time.Time
	// FirstBy is the longest time until the answer begins, GapBy between two parts of it.
	FirstBy, GapBy time.Duration
}

// Helper is a replica that reads part of a prompt.
type Helper struct {
	Replica
	// Tokens is how much memory it sets aside for the request, 0 for none.
	Tokens int64
}

// Abort ends the attempt under way.
type Abort struct {
	ID      RequestID
	Attempt int
}

// Finish ends a request. Exactly one follows each Arrived.
type Finish struct {
	ID RequestID
	// Refusal is nil when the caller has its whole answer, has left, or gets the answer of the last attempt as it came.
	Refusal *Refusal
	// Deliver hands the caller the failure that a replica answered.
	Deliver bool
}

// Reason is why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonBusy       Reason = "Overloaded"
	ReasonDeadline   Reason = "DeadlineExceeded"
	ReasonUpstream   Reason = "UpstreamFailed"
	ReasonQuarantine Reason = "Quarantined"
	ReasonDraining   Reason = "Draining"
	ReasonLimited    Reason = "RateLimited"
)

// Refusal is what the caller is told instead of an answer.
type Refusal struct {
	Reason Reason
	// NotRun is a promise: no replica ran any of it, nor ever will.
	NotRun bool
	// RetryAfter tells when a new try makes sense; 0 gives no advice.
	RetryAfter time.Duration
}

// Tell sends a note to other instances. It may be lost.
type Tell struct {
	Note Note
	// To names them, nil for all.
	To []string
}

// Survey asks engines for their load. A Surveyed follows for each that answers.
type Survey struct{ Replicas []Replica }

// Wake asks for a Ticked after the time.
type Wake struct{ After time.Duration }

// Line is a decision for the log.
type Line struct {
	Message string
	Request string
	Replica string
	Reason  Reason
	// Age is how long the request has been here, Estimate what was reckoned for the decision.
	Age, Estimate time.Duration
	Attempt       int
	// Helpers names the replicas that read parts of the prompt.
	Helpers []string
	// Tokens is the prompt's length.
	Tokens int64
	// Times is how many times longer than declared a replica takes.
	Times float64
	// PerS is a rate limit in requests a second.
	PerS float64
	// End is set on the line that ends a request.
	End *End
}

// End is what a request came to, from which its worth and the cause of what was lost of it can be told.
type End struct {
	Route string
	// Value is what an answer in time would have been worth, Back tells that the caller was here before.
	Value float64
	Back  bool
	// Goal is the age at which the answer should have begun, First that at which it did, 0 if it did not.
	Goal, First time.Duration
	// Gap is the longest pause that the caller was promised, Pause the longest that there was, which ended at PauseAt.
	Gap, Pause, PauseAt time.Duration
}

func (Send) isEffect()   {}
func (Abort) isEffect()  {}
func (Finish) isEffect() {}
func (Tell) isEffect()   {}
func (Survey) isEffect() {}
func (Wake) isEffect()   {}
func (Line) isEffect()   {}

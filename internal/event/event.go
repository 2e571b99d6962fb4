// Package event defines the inputs of an instance's reducers. Every decision follows from an event and the time the
// shell stamped it with; a reducer itself reads no clock and does no I/O.
package event

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Event is one input of the reducers.
type Event interface{ isEvent() }

// RequestID names a request within one run of one instance.
type RequestID uint64

// Digest is the SHA-256 digest of a request: method, path and body.
type Digest [32]byte

// Arrived tells that a caller's request has been read and authenticated.
type Arrived struct {
	ID           RequestID
	Organisation string
	Service      string
	// Model is what the caller named, empty for plain services.
	Model string
	// PromptTokens is estimated from the length of the body; 0 for plain services.
	PromptTokens int64
	// MaxTokens bounds the answer.
	MaxTokens int64
	// Deadline is when the caller must have its end, answer or failure.
	Deadline time.Time
	// Idempotent requests may be sent again after a failure.
	Idempotent bool
	// Key is the caller's idempotency key, empty if it gave none.
	Key string
	// Digest identifies the content, for claims and quarantine.
	Digest Digest
	// Prefixes are hashes of the prompt's leading blocks, shortest first, for prefix affinity.
	Prefixes []uint64
}

// CallerGone tells that the caller closed its connection.
type CallerGone struct{ ID RequestID }

// Answering tells that the first byte of an answer came from upstream.
type Answering struct {
	ID      RequestID
	Attempt int
}

// AttemptEnded tells how one attempt at an upstream ended.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Upstream string
	Result   Result
	// Offset is how many tokens of the answer were passed on whole so far, over all attempts.
	Offset int64
	// RetryAfter is the upstream's own advice, 0 if it gave none.
	RetryAfter time.Duration
	// Status is the upstream's HTTP status, 0 if none came.
	Status int
	// Alive tells that the upstream took a new connection after it broke this one off, so that it did not die of it.
	Alive bool
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultDone is a whole answer with its end marker.
	ResultDone Result = iota + 1
	// ResultNotSent is a failure before any byte of the request could have left.
	ResultNotSent
	// ResultNotRun is a refusal by an upstream that says it ran nothing.
	ResultNotRun
	// ResultFailed is a failure after bytes of the request may have left and before any of the answer.
	ResultFailed
	// ResultBroken is an answer that ended without its end marker.
	ResultBroken
	// ResultSilent is an answer without progress for the service's ProgressTimeout.
	ResultSilent
	// ResultExpired is an attempt ended by the request's deadline.
	ResultExpired
	// ResultCancelled is an attempt ended by the caller's leaving or by an effect.
	ResultCancelled
)

// Load is an upstream's report of itself.
type Load struct {
	// Running and Waiting count the requests.
	Running int64
	Waiting int64
	// QueuedTokens is the prompt work accepted and not yet prefilled.
	QueuedTokens int64
	// UsedTokens and MemoryTokens describe the KV memory.
	UsedTokens   int64
	MemoryTokens int64
}

// LoadReported brings an upstream's report, which lags.
type LoadReported struct {
	Upstream string
	// At is when the upstream measured it, by the shell's clock less the age that the upstream gave.
	At   time.Time
	Load Load
	// Role, Models and Loading describe what the engine serves; empty for plain services.
	Role    string
	Models  []string
	Loading []string
}

// CacheChanged brings an engine's prefix cache events.
type CacheChanged struct {
	Upstream string
	// First and Last are the sequence numbers of the batch; a gap to the one before means lost events.
	First, Last int64
	Added       []uint64
	Removed     []uint64
	// Cleared tells that the engine lost all of its cache.
	Cleared bool
}

// Upstream is a replica as the platform lists it.
type Upstream struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	Leaving       bool
}

// UpstreamsListed brings the platform's list of replicas.
type UpstreamsListed struct{ Upstreams []Upstream }

// Instance is an entry instance as the platform lists it or a peer knows it.
type Instance struct {
	Name    string
	Address string
	// Peer is where it hears its peers, over UDP.
	Peer          string
	FailureDomain string
	Leaving       bool
}

// InstancesListed brings the platform's list of entry instances.
type InstancesListed struct{ Instances []Instance }

// ConfigAccepted brings a version of the configuration; a version not above the one in force is ignored.
type ConfigAccepted struct{ Config *decl.Config }

// PermitAnswered brings the coordinator's answer to an effect.AskPermit.
type PermitAnswered struct {
	ID      RequestID
	Granted bool
	// Upstreams are the engines granted, in the order in which segments are prefilled; the last one generates.
	Upstreams []string
	// Permit names the reservation at the coordinator.
	Permit string
	// Until is when the reservation ends.
	Until time.Time
	// RetryAfter advises when to ask again if not granted.
	RetryAfter time.Duration
	// Lost tells that the coordinator could not be reached.
	Lost bool
}

// ClaimResult is what became of a claim of an idempotency key.
type ClaimResult int

// The results of a claim.
const (
	// ClaimWon means that the request may run, once, here.
	ClaimWon ClaimResult = iota + 1
	// ClaimRepeated means that the same request was claimed before; the recorded outcome applies.
	ClaimRepeated
	// ClaimConflict means that the key was claimed by a request with another digest.
	ClaimConflict
	// ClaimUnavailable means that the claim was not recorded and never will be.
	ClaimUnavailable
)

// Outcome is the recorded end of a claimed request.
type Outcome struct {
	// Known is false while the run is under way or its end is unknown.
	Known bool
	// Running is true while the first run may be under way.
	Running bool
	// Status is the upstream's HTTP status.
	Status int
	// Body is the start of the answer, kept up to a bound, with Truncated telling whether more came.
	Body        []byte
	ContentType string
	Truncated   bool
}

// ClaimSettled brings the result of an effect.Claim.
type ClaimSettled struct {
	ID      RequestID
	Result  ClaimResult
	Outcome Outcome
}

// Quarantined tells that a digest took upstreams down, here or at a peer.
type Quarantined struct {
	Digest Digest
	// Deaths counts the upstreams that died with it in flight.
	Deaths int
	// Until is when the quarantine ends.
	Until time.Time
}

// Demand is what one organisation asks of one instance, as a part of its limits over the whole fleet: 1 for as much
// as it may.
type Demand struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Part         float32
}

// Share is the part of an organisation's limits that one instance may use, from 0 to 1.
type Share struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Part         float32
}

// DemandHeard brings what organisations ask of another instance, to the one that shares out their limits.
type DemandHeard struct {
	From    string
	Demands []Demand
}

// SharesHeard brings the parts of limits that this instance may use.
type SharesHeard struct{ Shares []Share }

// DrainStarted tells that this instance was asked to stop.
type DrainStarted struct{}

// Ticked lets time pass. The shell sends it as often as the reducer asks for, TickPeriod apart at the least.
type Ticked struct{}

// TickPeriod is the resolution of every timeout that a reducer keeps.
const TickPeriod = 5 * time.Millisecond

func (Arrived) isEvent()         {}
func (CallerGone) isEvent()      {}
func (Answering) isEvent()       {}
func (AttemptEnded) isEvent()    {}
func (LoadReported) isEvent()    {}
func (CacheChanged) isEvent()    {}
func (UpstreamsListed) isEvent() {}
func (InstancesListed) isEvent() {}
func (ConfigAccepted) isEvent()  {}
func (PermitAnswered) isEvent()  {}
func (ClaimSettled) isEvent()    {}
func (Quarantined) isEvent()     {}
func (DemandHeard) isEvent()     {}
func (SharesHeard) isEvent()     {}
func (DrainStarted) isEvent()    {}
func (Ticked) isEvent()          {}

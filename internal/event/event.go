// Package event defines the inputs of an instance's reducers. A reducer decides only from an event and the time that the
// shell passes with it; it reads no clock and does no I/O itself.
package event

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Event is one input of the reducers.
type Event interface{ isEvent() }

// RequestID identifies a request within one run of one instance.
type RequestID uint64

// Digest is the SHA-256 digest of a request: method, path and body.
type Digest [32]byte

// Arrived reports that a caller's request has been read and authenticated.
type Arrived struct {
	ID           RequestID
	Organisation string
	Service      string
	// Model is the model that the caller asked for, empty for plain services.
	Model string
	// PromptTokens is estimated from the length of the body; 0 for plain services.
	PromptTokens int64
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int64
	// Deadline is the time by which the caller must have the complete answer or a failure.
	Deadline time.Time
	// Idempotent reports whether the request may be sent again after a failure.
	Idempotent bool
	// Key is the caller's idempotency key, empty if the caller sent none.
	Key string
	// Digest identifies the request's content, for claims and quarantine.
	Digest Digest
	// Prefixes are hashes of the prompt's leading blocks, shortest first, for prefix affinity.
	Prefixes []uint64
	// Features are hashes of what other prompts may share with this one, sorted and without repetitions.
	Features []cause.Feature
	// Forwarded reports whether another instance, which has lost its path to the service, has passed the request on.
	Forwarded bool
}

// PathObserved reports whether a new connection of this instance to the upstream at the address succeeded.
type PathObserved struct {
	Address string
	Reached bool
}

// ForwardFailed reports that another instance did not take a request for the service.
type ForwardFailed struct {
	Instance, Service string
	// NoPath reports whether it refused since it has lost its path, too. Otherwise it was not reached or leaves.
	NoPath bool
}

// ForwardTaken reports that another instance has answered a request for the service.
type ForwardTaken struct{ Instance, Service string }

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ ID RequestID }

// AnswerStarted reports that the first byte of an answer arrived from the upstream.
type AnswerStarted struct {
	ID      RequestID
	Attempt int
}

// FellSilent reports that the upstream of an attempt has sent nothing for its progress timeout. The attempt goes on unless an effect.Abort follows. The
// event is repeated while the silence lasts.
type FellSilent struct {
	ID       RequestID
	Attempt  int
	Upstream string
	// Offset is the number of complete tokens of the answer passed on to the caller so far, over all attempts.
	Offset int64
	// Silent is the time since the last sign of progress or since the attempt began, without StoodStill.
	Silent time.Duration
	// StoodStill is how long this process stood still in that time.
	StoodStill time.Duration
}

// AttemptEnded reports the result of one attempt to send a request to an upstream.
type AttemptEnded struct {
	ID       RequestID
	Attempt  int
	Upstream string
	Result   Result
	// Proof is why the request has not run because of the attempt. Without one it may have run, whatever the Result.
	Proof norun.Proof
	// End is why the attempt ended without a complete answer. A begun answer ends only with such a proof, see cutoff.
	End cutoff.Proof
	// Offset is the number of complete tokens of the answer passed on to the caller so far, over all attempts.
	Offset int64
	// RetryAfter is the delay that the upstream asked for, 0 if it asked for none.
	RetryAfter time.Duration
	// Status is the upstream's HTTP status, 0 if none was received.
	Status int
	// Alive reports that the upstream accepted a new connection after it had closed the attempt's connection, which shows
	// that the request did not crash it.
	Alive bool
}

// Result is the result of an attempt.
type Result int

const (
	// ResultDone is a complete answer with its end marker.
	ResultDone Result = iota + 1
	// ResultNotSent is a failure before any byte of the request could have left.
	ResultNotSent
	// ResultNotRun is a refusal by an upstream that reports that it ran nothing.
	ResultNotRun
	// ResultFailed is a failure after bytes of the request may have left and before any of the answer.
	ResultFailed
	// ResultBroken is an answer that ended without its end marker.
	ResultBroken
	// ResultSilent is an answer without progress for the service's ProgressTimeout, and in whose place another attempt was granted.
	ResultSilent
	// ResultExpired is an attempt that was ended by the request's deadline.
	ResultExpired
	// ResultCancelled is an attempt that was ended because the caller disconnected or by an effect.Abort.
	ResultCancelled
	// ResultHeld is an attempt of which nothing was sent, since its upstream had announced something that rules it out.
	ResultHeld
)

// UpstreamAnnounced reports what an upstream announces about itself in an answer.
type UpstreamAnnounced struct {
	Upstream string
	Address  string
	// Leaving reports that the upstream is about to shut down.
	Leaving bool
	// RestUntil is until when the upstream wants no requests from this instance, zero if it does not say.
	RestUntil time.Time
	// Invalid quotes an announcement whose value cannot be used, for the log.
	Invalid string
}

// Load is the load that an upstream reports for itself.
type Load struct {
	// Running is the number of requests that the upstream runs.
	Running int64
	// Waiting is the number of requests in the upstream's queue.
	Waiting int64
	// QueuedTokens is the number of prompt tokens accepted and not yet prefilled.
	QueuedTokens int64
	// UsedTokens is the part of the KV memory in use, in tokens.
	UsedTokens int64
	// MemoryTokens is the size of the KV memory in tokens.
	MemoryTokens int64
}

// LoadReported carries an upstream's load report, which is always somewhat out of date.
type LoadReported struct {
	Upstream string
	// At is the time of the measurement: the shell's clock minus the age that the upstream reported.
	At   time.Time
	Load Load
	// Role is the engine's role, empty for plain services.
	Role string
	// Models are the models that the engine serves, empty for plain services.
	Models []string
	// Loading are the models that the engine is loading, empty for plain services.
	Loading []string
}

// CacheChanged carries a batch of an engine's prefix cache events.
type CacheChanged struct {
	Upstream string
	// First is the sequence number of the batch's first event. A gap to the previous batch means that events were lost.
	First int64
	// Last is the sequence number of the batch's last event.
	Last int64
	// Added are the hashes of the prefixes that the engine added to its cache, of the same kind as Arrived.Prefixes.
	Added []uint64
	// Removed are the hashes of the prefixes that the engine removed from its cache.
	Removed []uint64
	// Cleared reports that the engine lost its whole cache.
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

// UpstreamsListed carries the platform's list of replicas.
type UpstreamsListed struct{ Upstreams []Upstream }

// Instance is an entry instance as the platform or a peer lists it.
type Instance struct {
	Name    string
	Address string
	// Peer is the UDP address at which the instance receives messages from its peers.
	Peer          string
	FailureDomain string
	Leaving       bool
}

// InstancesListed carries the platform's list of entry instances.
type InstancesListed struct{ Instances []Instance }

// ConfigAccepted carries a version of the configuration. A version that is not higher than the one in force is ignored.
type ConfigAccepted struct{ Config *decl.Config }

// PermitAnswered carries the coordinator's answer to an effect.RequestPermit.
type PermitAnswered struct {
	ID      RequestID
	Granted bool
	// Upstreams are the granted engines in the order in which they prefill the prompt's segments; the last one also
	// generates the answer.
	Upstreams []string
	// Permit is the name of the reservation at the coordinator.
	Permit string
	// Until is the time at which the reservation expires.
	Until time.Time
	// RetryAfter is the delay before the next request for a permit if this one was not granted.
	RetryAfter time.Duration
	// Lost reports that the coordinator could not be reached.
	Lost bool
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult int

const (
	// ClaimWon means that this instance may run the request, once.
	ClaimWon ClaimResult = iota + 1
	// ClaimRepeated means that the same request was claimed before; the recorded outcome applies.
	ClaimRepeated
	// ClaimConflict means that the key was claimed by a request with another digest.
	ClaimConflict
	// ClaimUnavailable means that the claim was not recorded and never will be.
	ClaimUnavailable
)

// Outcome is the recorded outcome of a claimed request.
type Outcome struct {
	// Known is false while the request is running and if its outcome is unknown.
	Known bool
	// Running is true while the first run may still be under way.
	Running bool
	// Status is the upstream's HTTP status.
	Status int
	// Body is the start of the answer, kept up to a maximum length.
	Body        []byte
	ContentType string
	// Truncated reports whether the answer was longer than Body.
	Truncated bool
}

// ClaimSettled carries the result of an effect.Claim.
type ClaimSettled struct {
	ID      RequestID
	Result  ClaimResult
	Outcome Outcome
}

// QuarantineReported reports that requests with this digest crashed upstreams, at this instance or at a peer.
type QuarantineReported struct {
	Digest Digest
	// Deaths is the number of upstreams that crashed while running such a request.
	Deaths int
	// Until is the time at which the entry expires.
	Until time.Time
	// Observed holds the deaths themselves, all or the new ones. A peer of an earlier release reports none.
	Observed []deaths.Death
	// Suspicions are deaths with the features of their requests.
	Suspicions []cause.Death
	// Answered are features that an upstream has answered since others crashed under them.
	Answered []cause.Feature
}

// StoodStill reports that the process stood still before the events that follow.
type StoodStill struct{ Gap time.Duration }

// QuarantineReceived reports that a peer has answered a RequestQuarantine, or that none did in time.
type QuarantineReceived struct{ Standstill int }

// Demand is an organisation's demand at one instance, as a fraction of its limits for the whole fleet.
type Demand struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	// Fraction is the demand as a fraction of the limit of which the organisation uses the largest fraction. Above 1 the
	// demand exceeds that limit.
	Fraction float32
}

// Share is the share of an organisation's limits that one instance may use.
type Share struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	// Fraction is the share as a fraction of each limit, from 0 to 1.
	Fraction float32
}

// DemandReceived carries another instance's demands to the instance that divides these organisations' limits.
type DemandReceived struct {
	From    string
	Demands []Demand
}

// SharesReceived carries the shares of organisations' limits that this instance may use.
type SharesReceived struct{ Shares []Share }

// DrainAnnounced reports that this instance was asked to stop. It goes on taking requests that fit until DrainStarted.
type DrainAnnounced struct {
	// AbortAt is when the requests that are still running are ended.
	AbortAt time.Time
	// DrainAt is when DrainStarted follows.
	DrainAt time.Time
}

// DrainStarted reports that this instance takes no more requests, since it was asked to stop.
type DrainStarted struct{}

// Ticked reports that time has passed. The shell sends it after the delay that the reducer asks for, which is at least
// TickPeriod.
type Ticked struct{}

// TickPeriod is the resolution of a reducer's timeouts.
const TickPeriod = 5 * time.Millisecond

func (Arrived) isEvent()            {}
func (CallerGone) isEvent()         {}
func (AnswerStarted) isEvent()      {}
func (FellSilent) isEvent()         {}
func (AttemptEnded) isEvent()       {}
func (LoadReported) isEvent()       {}
func (UpstreamAnnounced) isEvent()  {}
func (CacheChanged) isEvent()       {}
func (UpstreamsListed) isEvent()    {}
func (InstancesListed) isEvent()    {}
func (ConfigAccepted) isEvent()     {}
func (PermitAnswered) isEvent()     {}
func (ClaimSettled) isEvent()       {}
func (QuarantineReported) isEvent() {}
func (StoodStill) isEvent()         {}
func (QuarantineReceived) isEvent() {}
func (DemandReceived) isEvent()     {}
func (SharesReceived) isEvent()     {}
func (DrainAnnounced) isEvent()     {}
func (DrainStarted) isEvent()       {}
func (Ticked) isEvent()             {}
func (PathObserved) isEvent()       {}
func (ForwardFailed) isEvent()      {}
func (ForwardTaken) isEvent()       {}

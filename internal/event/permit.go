package event

import "time"

// PermitRequested carries an instance's request for a reservation, or its report of one that it already holds. It may
// arrive more than once.
type PermitRequested struct {
	_ struct{} `cbor:",toarray"`
	// Holder is the name of the requesting instance.
	Holder string
	// Incarnation identifies the run of the requesting instance.
	Incarnation uint64
	// Peer is the address to which the answer is sent.
	Peer string
	// Request is the name of the request, unique over all instances and runs, and also the name of its permit.
	Request       string
	Service       string
	FailureDomain string
	Organisation  string
	// Weight is the organisation's weight under contention.
	Weight float64
	// Tokens is the KV memory to reserve, prompt and answer together.
	Tokens   int64
	Class    string
	Priority int
	// Wait is how much longer the request can wait.
	Wait time.Duration
	// Waited is how long the request has waited so far.
	Waited time.Duration
	// Upstreams is set if the permit was granted before, by another coordinator or another run of this one.
	Upstreams []string
}

// PermitDecided carries a coordinator's answer to a PermitRequested.
type PermitDecided struct {
	_ struct{} `cbor:",toarray"`
	// From is the name of the coordinator.
	From          string
	Request       string
	Service       string
	FailureDomain string
	// Granted reports that the memory is reserved. If neither Granted nor Queued is set, the pool can never hold the
	// request.
	Granted bool
	// Queued reports that the request waits in the coordinator's queue and that the answer will follow.
	Queued    bool
	Upstreams []string
	// Lasts is the time after which the reservation expires if it is not renewed.
	Lasts time.Duration
	// RetryAfter is the delay before the next request for a permit if the pool cannot hold the request.
	RetryAfter time.Duration
}

// PermitReturned releases a reservation or a place in the coordinator's queue.
type PermitReturned struct {
	_             struct{} `cbor:",toarray"`
	Request       string
	Service       string
	FailureDomain string
}

// PermitRenewed carries the requests for which an instance holds memory or still waits for it.
type PermitRenewed struct {
	_             struct{} `cbor:",toarray"`
	Holder        string
	Incarnation   uint64
	Peer          string
	Service       string
	FailureDomain string
	// Requests are the requests that hold a reservation.
	Requests []string
	// Waiting are the requests that have not been granted one yet.
	Waiting []string
}

// PermitStatusReceived carries a coordinator's answer to a PermitRenewed.
type PermitStatusReceived struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Unknown are the requests of which the coordinator has no record.
	Unknown []string
}

func (PermitRequested) isEvent()      {}
func (PermitDecided) isEvent()        {}
func (PermitReturned) isEvent()       {}
func (PermitRenewed) isEvent()        {}
func (PermitStatusReceived) isEvent() {}

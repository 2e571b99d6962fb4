package event

import "time"

// PermitAsked brings the wish of an instance for a reservation, or its word on one that it holds already. It may come
// more than once.
type PermitAsked struct {
	_ struct{} `cbor:",toarray"`
	// Holder is the instance that asks and Incarnation its run.
	Holder      string
	Incarnation uint64
	// Peer is where the answer goes.
	Peer string
	// Request names the request over all instances and runs, and so its permit.
	Request       string
	Service       string
	FailureDomain string
	Organisation  string
	// Weight is the organisation's share under contention.
	Weight float64
	// Tokens is the memory wanted, prompt and answer together.
	Tokens   int64
	Class    string
	Priority int
	// Wait is how long the asker can wait from now on, Waited how long it has.
	Wait   time.Duration
	Waited time.Duration
	// Upstreams are set if the permit was granted before, by another coordinator or another run of this one.
	Upstreams []string
}

// PermitGranted brings a coordinator's answer to a PermitAsked.
type PermitGranted struct {
	_ struct{} `cbor:",toarray"`
	// From is the coordinator.
	From          string
	Request       string
	Service       string
	FailureDomain string
	// Granted tells that the memory is reserved; Queued that the answer will follow. If neither is set, the pool can
	// never hold the request.
	Granted   bool
	Queued    bool
	Upstreams []string
	// Lasts is how long the reservation stands without being renewed.
	Lasts time.Duration
	// RetryAfter advises when to ask again if the pool cannot hold the request.
	RetryAfter time.Duration
}

// PermitReturned gives a reservation or a place in the queue back.
type PermitReturned struct {
	_             struct{} `cbor:",toarray"`
	Request       string
	Service       string
	FailureDomain string
}

// PermitRenewed brings the requests for which an instance still waits or holds memory.
type PermitRenewed struct {
	_             struct{} `cbor:",toarray"`
	Holder        string
	Incarnation   uint64
	Peer          string
	Service       string
	FailureDomain string
	// Requests are those held, Waiting those for which no grant has come yet.
	Requests []string
	Waiting  []string
}

// PermitsKnown answers a PermitRenewed.
type PermitsKnown struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Unknown names the requests that the coordinator has nothing about.
	Unknown []string
}

func (PermitAsked) isEvent()    {}
func (PermitGranted) isEvent()  {}
func (PermitReturned) isEvent() {}
func (PermitRenewed) isEvent()  {}
func (PermitsKnown) isEvent()   {}

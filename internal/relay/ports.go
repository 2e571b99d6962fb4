// Package relay runs an Instance, which forwards callers' requests as they were sent, in the upstreams' own protocol.
// The reducer in package steer makes the decisions; this package does the I/O. Directory and Protocol, declared in this
// file, abstract the store and the headers of callers and upstreams. They are implemented elsewhere.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var (
	// Errors is the namespace of the errors that this package returns.
	Errors = errorx.NewNamespace("relay")
	// BadOption reports a setting that cannot be used.
	BadOption = Errors.NewType("bad_option")
	// OrderFailed reports that a replica or another Instance did not carry out a request of this Instance.
	OrderFailed = Errors.NewType("order_failed")
	// UndecodableConfig reports that the Directory holds a configuration that cannot be decoded.
	UndecodableConfig = Errors.NewType("undecodable_config")
)

// Directory is the store that holds the configuration, the replicas and the other instances.
type Directory interface {
	// Revision returns the position of the last change to any of them, read linearizably.
	Revision(ctx context.Context) (posit.Position, error)
	// Read returns one page of the contents. after is empty for the first page, and the next of the preceding page for
	// each later one; next is empty on the last page. A stale read costs the store little and may be some seconds old.
	Read(ctx context.Context, stale bool, after string) (page Snapshot, next string, err error)
	// Changes returns, in order, every change after the given position up to the position that it returns, in the same
	// era. It returns an error if there is none or if it cannot prove that none is missing. There may be more changes
	// after the returned position.
	Changes(ctx context.Context, after posit.Position) ([]Change, posit.Position, error)
	// Routing returns the configuration as of the given position or a later one of the same era. A stale read costs the
	// store little, and may fail because it is too old. The error is UndecodableConfig if the configuration cannot be decoded.
	Routing(ctx context.Context, stale bool, atLeast posit.Position) (*decl.Routing, error)
	// Announce registers this Instance until the TTL expires; announcing again renews it. A nonzero peer.Lease.ID is the
	// lease of an existing entry with the same contents, which is renewed instead of being written again.
	Announce(ctx context.Context, peer Peer, ttl time.Duration) error
	// RecordQuarantine keeps the entry for the TTL. An entry for the same parts is replaced.
	RecordQuarantine(ctx context.Context, qua Quarantine, ttl time.Duration) error
}

// Quarantine is an entry of the Directory about parts of prompts that crash replicas.
type Quarantine struct {
	// Name is the end of the entry's key, empty if the record comes from another Instance.
	Name string `cbor:"-"`
	// Parts are those that came together in all crashes.
	Parts []steer.Part `cbor:"1,keyasint,omitempty"`
	// Crashes is the number of replicas that had crashed.
	Crashes int `cbor:"2,keyasint,omitempty"`
	// LastCrashMs is when the last of them crashed, in Unix ms.
	LastCrashMs int64 `cbor:"3,keyasint,omitempty"`
	// Callers identifies those whose requests crashed replicas.
	Callers []uint64 `cbor:"4,keyasint,omitempty"`
	// Ended reports that an operator has ended the quarantine.
	Ended bool `cbor:"5,keyasint,omitempty"`
}

// Snapshot is the contents of a Directory, or one page of them.
type Snapshot struct {
	// Position is the position up to which all changes are certainly included; for several pages it is the first
	// page's.
	Position posit.Position
	// Routing is nil if there is no readable configuration.
	Routing *decl.Routing
	// RoutingError is an UndecodableConfig if there is a configuration that cannot be decoded.
	RoutingError error
	Replicas     []steer.Replica
	Peers        []Peer
	// Quarantines are the entries about parts of prompts.
	Quarantines []Quarantine
	// Evacuated names the failure domains that the operators have evacuated.
	Evacuated []string
	// Invalid holds the entries that are left out because they cannot be used.
	Invalid []InvalidEntry
	// evacuationsUnknown reports whether the contents come from an Instance of an earlier version, which knows no evacuations.
	evacuationsUnknown bool
}

// Peer is another Instance and the address at which it receives notes.
type Peer struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	// FailureDomain is the failure domain in which the Instance runs.
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	// Lease is the Directory's lease on the entry; its ID is 0 if it is not known. Other instances are not sent it. Number
	// 4 of the encoding belonged to it.
	Lease posit.Lease `cbor:"-"`
}

// Change is one change in a Directory. At most one field after Revision is set, or Invalid and the name of what it removes; none is set if
// the change is irrelevant to Instances.
type Change struct {
	// Revision is the change's revision in the era of the changes that it is part of.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Replica was registered, or registered again with other values.
	Replica *steer.Replica `cbor:"2,keyasint,omitempty"`
	// Peer was registered, or registered again with other values.
	Peer *Peer `cbor:"3,keyasint,omitempty"`
	// RemovedReplica names a replica that is no longer registered.
	RemovedReplica string `cbor:"4,keyasint,omitempty"`
	// RemovedPeer names an Instance that is no longer registered.
	RemovedPeer string `cbor:"5,keyasint,omitempty"`
	// Routing reports whether the configuration changed.
	Routing bool `cbor:"6,keyasint,omitempty"`
	// Quarantine was recorded.
	Quarantine *Quarantine `cbor:"7,keyasint,omitempty"`
	// Evacuation is one that was begun or ended.
	Evacuation *Evacuation `cbor:"8,keyasint,omitempty"`
	// Invalid is an entry that cannot be used; what was registered under its name before is removed. An empty Reason reports that it is gone.
	Invalid *InvalidEntry `cbor:"9,keyasint,omitempty"`
}

// Evacuation is the operators' request that nothing new be sent to the replicas of a failure domain.
type Evacuation struct {
	FailureDomain string `cbor:"1,keyasint,omitempty"`
	// Ended reports whether the request was withdrawn.
	Ended bool `cbor:"2,keyasint,omitempty"`
}

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(req *http.Request) RequestInfo
	// SetHeaders sets the headers that a replica is sent in addition to the caller's, and removes those that it must not
	// see.
	SetHeaders(header http.Header, fi ForwardInfo)
	// ParseResponse parses the headers of a replica's response.
	ParseResponse(resp *http.Response) ResponseInfo
	// Reserve returns the request that reserves memory at a replica or renews a reservation.
	Reserve(ctx context.Context, replica steer.Replica, rsv Reservation) (*http.Request, error)
	// NewLoadRequest returns the request for a replica's load report.
	NewLoadRequest(ctx context.Context, replica steer.Replica) (*http.Request, error)
	// ParseLoad parses a load report: the number of requests that run or wait at the replica, and the memory in tokens that
	// they use.
	ParseLoad(body []byte) (running int, used int64, err error)
	// Release returns the request that releases a reservation.
	Release(ctx context.Context, replica steer.Replica, id string) (*http.Request, error)
}

// Reservation is a reservation of memory at a replica.
type Reservation struct {
	// ID identifies the reservation; it is unique to one attempt at one replica.
	ID     string
	Tokens int64
	// TTL is how long the reservation lasts unless it is renewed.
	TTL time.Duration
}

// RequestInfo is the information in a caller's request headers.
type RequestInfo struct {
	// Name is the request ID that the caller chose.
	Name string
	// Token is the caller's access token, empty if it sent none.
	Token string
	// StatedTimeout is the timeout that the caller stated for the response, 0 if it stated none.
	StatedTimeout time.Duration
	// Prompt is the length of the prompt in tokens.
	Prompt int64
	// Answer is the maximum length of the response in tokens.
	Answer int64
	// Parts identifies the parts of the prompt that other prompts may share, sorted and without repetitions.
	Parts []steer.Part
	// After is the ID of the last event that the caller received of a stream that it resumes.
	After string
}

// ForwardInfo is the information that a replica is sent with a request.
type ForwardInfo struct {
	// Replica names the replica that the request is meant for.
	Replica string
	// Organisation is the caller's, empty on public routes.
	Organisation string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent requests and negative if none is sent.
	Priority int
	// Helpers are the replicas that process parts of the prompt.
	Helpers []ForwardHelper
	// After is the ID of the last event that the caller received.
	After string
}

// ForwardHelper is a replica that processes a part of the prompt. ReservationID is empty if nothing is reserved at
// the replica.
type ForwardHelper struct{ Address, ReservationID string }

// ResponseInfo is the information in a replica's response headers.
type ResponseInfo struct {
	// Name is the request ID as the replica received it.
	Name string
	// Sealed reports whether the response carries the replica's signature.
	Sealed bool
	// NotRun reports that the replica states that it did not run the request.
	NotRun bool
	// Misdirected reports that the response came from another replica than the one that the request was meant for.
	Misdirected bool
	// FaultyReplica names the replica at fault, empty if it is unknown or the one that was sent the request.
	FaultyReplica string
	// Announced is what the replica that responds announces about itself.
	Announced notice.Announced
}

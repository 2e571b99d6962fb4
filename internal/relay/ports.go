// Package relay is the shell of an instance that passes requests on as callers sent them, in the upstreams' own
// protocol: it reads and writes, package steer decides. What it speaks with callers, upstreams and the store lies behind
// the ports of this file, which are implemented elsewhere.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("relay")
	// BadOption tells that a setting cannot be used.
	BadOption = Errors.NewType("bad_option")
	// OrderFailed tells that a replica did not carry out an order.
	OrderFailed = Errors.NewType("order_failed")
)

// Directory is the store that holds the configuration, the replicas and the other instances.
type Directory interface {
	// Revision returns, linearizably, the number of the last change to any of it.
	Revision(ctx context.Context) (int64, error)
	// Read returns a page of it, the first after "" and each other one after the place that the one before returned, until
	// that is "". A stale one costs the store little and may be some seconds old.
	Read(ctx context.Context, stale bool, after string) (page Snapshot, next string, err error)
	// Changes returns, in order, every change after the revision up to the one that it returns, of which it can prove that
	// none is missing, and an error if there is none. There may be more.
	Changes(ctx context.Context, after int64) ([]Change, int64, error)
	// Routing returns the configuration as it was at the revision or later.
	Routing(ctx context.Context, atLeast int64) (*decl.Routing, error)
	// Announce registers this instance for as long as it announces itself again within the time. The peer's lease, if there
	// is one, is of an entry that says the same.
	Announce(ctx context.Context, peer Peer, ttl time.Duration) error
}

// Snapshot is what a Directory holds, or a page of it.
type Snapshot struct {
	// Revision is that of the last change that it is sure to hold; over several pages that of the first.
	Revision int64
	// Routing is nil if there is no configuration that can be read.
	Routing  *decl.Routing
	Replicas []steer.Replica
	Peers    []Peer
}

// Peer is another instance and where it hears notes.
type Peer struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	// FailureDomain is where it runs.
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	// Lease is by what the Directory keeps the entry, 0 if that is not known.
	Lease int64 `cbor:"4,keyasint,omitempty"`
}

// Change is one change in a Directory. One of the fields behind Revision is set, none if what changed concerns nobody.
type Change struct {
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Replica and Peer were registered, or registered anew with other figures.
	Replica *steer.Replica `cbor:"2,keyasint,omitempty"`
	Peer    *Peer          `cbor:"3,keyasint,omitempty"`
	// LeftReplica and LeftPeer name what is registered no longer.
	LeftReplica string `cbor:"4,keyasint,omitempty"`
	LeftPeer    string `cbor:"5,keyasint,omitempty"`
	// Routing tells that the configuration is another.
	Routing bool `cbor:"6,keyasint,omitempty"`
}

// Protocol translates the headers of requests and answers.
type Protocol interface {
	// Ask reads what a caller's request says of itself.
	Ask(req *http.Request) Ask
	// Dress sets what a replica is told beside the caller's own headers, and takes away what it must not see.
	Dress(header http.Header, dr Dress)
	// Reply reads what a replica's answer says of itself.
	Reply(resp *http.Response) Reply
	// Reserve returns the request that sets memory aside at a replica, or renews that.
	Reserve(ctx context.Context, replica steer.Replica, tk Ticket) (*http.Request, error)
	// Survey returns the request for a replica's report of its load, Load reads the answer.
	Survey(ctx context.Context, replica steer.Replica) (*http.Request, error)
	Load(body []byte) (running int, used int64, err error)
	// Release returns the request that gives the memory back.
	Release(ctx context.Context, replica steer.Replica, id string) (*http.Request, error)
}

// Ticket is memory set aside at a replica.
type Ticket struct {
	// ID names it, unique to one attempt at one replica.
	ID     string
	Tokens int64
	// Hold is how long it lasts without being renewed.
	Hold time.Duration
}

// Ask is what a caller's request says of itself.
type Ask struct {
	// Name is the caller's name for the request.
	Name string
	// Token is the caller's, empty if it gave none.
	Token string
	// Patience is how long the caller waits, 0 if it did not say.
	Patience time.Duration
	// Prompt and Answer are in tokens.
	Prompt, Answer int64
	// After is the last event that the caller has of a stream that it resumes.
	After string
}

// Dress is what a replica is told of a request.
type Dress struct {
	// Replica names the one that is meant.
	Replica string
	// Organisation is the caller's, empty on public routes.
	Organisation string
	// Left is the time until the deadline.
	Left time.Duration
	// Priority is 0 for the most urgent, negative if none is said.
	Priority int
	// Helpers are the replicas that read parts of the prompt.
	Helpers []DressHelper
	// After is the last event that the caller has.
	After string
}

// DressHelper is a replica that reads a part of the prompt; Ticket names the memory that it set aside, if any.
type DressHelper struct{ Address, Ticket string }

// Reply is what a replica's answer says of itself.
type Reply struct {
	// Name is the request's as the replica heard it.
	Name string
	// Sealed tells that the answer bears its replica's signature.
	Sealed bool
	// NotRun is the replica's word that it ran nothing, Misdirected that it is another one than was meant.
	NotRun, Misdirected bool
	RetryAfter          time.Duration
	// At names the replica at fault, empty if that is the one asked or unknown.
	At string
	// Limited tells that the replica names a rate limit, Limit is that in requests a second from all instances together.
	Limited bool
	Limit   float64
}

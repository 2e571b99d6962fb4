// Package store speaks to the platform's key-value service, the one place where anything is agreed or kept.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Store is the platform's key-value service. Revisions rise with every write anywhere in the service.
type Store interface {
	// Get returns the pair, or Missing.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns up to limit pairs whose keys have the prefix and are not below from, in the order of keys.
	List(ctx context.Context, prefix, from string, limit int) ([]Pair, error)
	// Swap writes the value if the pair's revision still is revision; 0 means that there must be none. It returns the
	// new pair, or Conflict. A lease of 0 binds the pair to none.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (Pair, error)
	// Delete removes the pair if its revision still is revision, or returns Conflict.
	Delete(ctx context.Context, key string, revision int64) error
	// Grant opens a lease, which ends with its pairs unless it is renewed in time.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew starts the lease's time anew, or returns Missing.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its pairs.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch sends every change of keys with the prefix from the revision on, until the context ends or the service
	// fails; then the channel closes. It counts as one call while it waits.
	Watch(ctx context.Context, prefix string, revision int64) (<-chan Change, error)
}

// Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Revision is the service's revision of the last write to the key; it only rises, also over a removal.
	Revision int64
	Lease    LeaseID
}

// Change is one write that a watch saw.
type Change struct {
	Pair    Pair
	Deleted bool
}

// LeaseID names a lease.
type LeaseID int64

// MaxValue is the longest value in bytes that the platform holds.
const MaxValue = 1 << 20

var (
	// Errors groups what a store returns.
	Errors = errorx.NewNamespace("store")
	// Missing tells that the key or lease is not there.
	Missing = Errors.NewType("missing", errorx.NotFound())
	// Conflict tells that the key was written since the revision named; read it again.
	Conflict = Errors.NewType("conflict")
	// Unavailable tells that the service gave no answer. After a write its effect is unknown: read back to see.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// Limited tells that the service refused the call for its rate; nothing was done.
	Limited = Errors.NewType("limited", errorx.Temporary())
	// Invalid tells that the call can never succeed as it is.
	Invalid = Errors.NewType("invalid")
)

// Package store is a client of the platform's key-value service, the only place where instances reach agreement and keep
// state.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// Store is the platform's key-value service. The revision is one counter for the whole service, which every write to any
// key increases.
type Store interface {
	// Get returns the pair, or a Missing error.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns up to limit pairs whose keys have the prefix and are not below from, in key order.
	List(ctx context.Context, prefix, from string, limit int) ([]Pair, error)
	// Swap is a compare-and-swap: it writes the value only if the pair is still at the revision, where 0 means that the
	// key does not exist. It returns the new pair, or a Conflict error. A lease of 0 attaches the pair to no lease.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (Pair, error)
	// Delete removes the pair if it is still at the revision, or returns a Conflict error.
	Delete(ctx context.Context, key string, revision int64) error
	// Grant creates a lease. Unless it is renewed in time it expires, and the service removes its pairs.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the lease's time to live, or returns a Missing error.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its pairs.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch sends every change of keys with the prefix from the revision on, or from now on if it is 0. When the context
	// ends or the service fails, it closes the channel. A watch counts as one call while it waits.
	Watch(ctx context.Context, prefix string, revision int64) (<-chan Change, error)
}

// Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Revision is the service's revision at the last write to the key. It only increases, even if the key is removed and
	// written again.
	Revision int64
	// Lease is the lease that the pair is attached to, 0 for none.
	Lease LeaseID
}

// Change is one write or removal that a watch reported.
type Change struct {
	Pair    Pair
	Deleted bool
}

// LeaseID identifies a lease.
type LeaseID int64

// MaxValue is the platform's limit for the length of a value, in bytes.
const MaxValue = 1 << 20

var (
	// Errors is the namespace of the errors that a Store returns.
	Errors = errorx.NewNamespace("store")
	// Missing reports that the key or lease does not exist.
	Missing = Errors.NewType("missing", errorx.NotFound())
	// Conflict reports that the key was written after the given revision; read it again.
	Conflict = Errors.NewType("conflict")
	// Unavailable reports that the service gave no valid response. A write may have taken effect: read the key back.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// Limited reports that the service rejected the call because of its rate limit; the call had no effect.
	Limited = Errors.NewType("limited", errorx.Temporary())
	// Invalid reports that the call can never succeed as it is, so a retry is useless.
	Invalid = Errors.NewType("invalid")
)

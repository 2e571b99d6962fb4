// Package store is a client of the platform's key-value service, the only place where instances reach agreement and keep
// state.
package store

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/posit"
)

// Store is the platform's key-value service. The revision is one counter for the whole service, which every write to any
// key increases. The service may return from a copy some seconds old; positions and leases have an era, which counts this.
type Store interface {
	// Era returns the era of the latest answer.
	Era() Era
	// CheckEra reads the record of the era again. Call it if another instance knows of a higher era.
	CheckEra(ctx context.Context) error
	// Get returns the pair, or a Missing error.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns up to limit pairs whose keys have the prefix and are not below from, in key order.
	List(ctx context.Context, prefix, from string, limit int) ([]Pair, error)
	// Swap is a compare-and-swap: it writes the value only if the pair is still as it was read, where a pair without a
	// position means that the key does not exist. It returns the new pair, or a Conflict error. The zero lease attaches the
	// pair to no lease.
	Swap(ctx context.Context, have Pair, value []byte, lease posit.Lease) (Pair, error)
	// Delete removes the pair if it is still as it was read, or returns a Conflict error.
	Delete(ctx context.Context, have Pair) error
	// Grant creates a lease. Unless it is renewed in time it expires, and the service removes its pairs.
	Grant(ctx context.Context, ttl time.Duration) (posit.Lease, error)
	// Renew restarts the lease's time to live, or returns a Missing error.
	Renew(ctx context.Context, lease posit.Lease) error
	// Revoke ends the lease and removes its pairs.
	Revoke(ctx context.Context, lease posit.Lease) error
	// Watch sends every change of keys with the prefix from now on. When the context ends or the service fails, it closes the
	// channel. A watch counts as one call while it waits.
	Watch(ctx context.Context, prefix string) (<-chan Change, error)
}

// Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Position is the service's position at the last write to the key. It only increases, even if the key is removed and
	// written again. It is zero for a key that does not exist.
	Position posit.Position
	// Lease is the lease that the pair is attached to; its ID is 0 for none.
	Lease posit.Lease
}

// Exists reports whether the key existed when the pair was read.
func (pr Pair) Exists() bool { return pr.Position != posit.Position{} }

// Change is one write or removal that a watch reported.
type Change struct {
	Pair    Pair
	Deleted bool
}

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
	// Returned reports that the service returned from a copy between what the caller had read and the answer to its write, which
	// may have taken effect after the return: read the key back.
	Returned = Unavailable.NewSubtype("returned")
	// Limited reports that the service rejected the call because of its rate limit; the call had no effect.
	Limited = Errors.NewType("limited", errorx.Temporary())
	// Invalid reports that the call can never succeed as it is, so a retry is useless.
	Invalid = Errors.NewType("invalid")
)

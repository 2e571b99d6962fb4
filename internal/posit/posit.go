// Package posit contains positions in the history of the platform's store. The store may return from a copy that lacks its last
// changes, and then gives out their revisions and leases again. So a revision or a lease alone neither orders changes, nor names
// a content, nor is a right: each needs the era, which counts these returns. Code elsewhere compares positions, never
// revisions.
package posit

import (
	"cmp"
	"fmt"
)

// Position is a point in the store's history.
type Position struct {
	// Era counts the store's returns from a copy. It is 0 if the store does not name it.
	Era int64
	// Revision is the store's revision. It only increases within an era.
	Revision int64
}

// Compare returns -1 if the position is before the other one, 1 if it is after it, and 0 if both are the same.
func (pos Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(pos.Era, other.Era), cmp.Compare(pos.Revision, other.Revision))
}

// Before reports whether the position is before the other one.
func (pos Position) Before(other Position) bool { return pos.Compare(other) < 0 }

// SameEra reports whether there is no return of the store between the two positions.
func (pos Position) SameEra(other Position) bool { return pos.Era == other.Era }

// At returns the position of another revision of the same era.
func (pos Position) At(revision int64) Position { return Position{Era: pos.Era, Revision: revision} }

// Next returns the position of the next change in the same era.
func (pos Position) Next() Position { return pos.At(pos.Revision + 1) }

// String returns the position for texts.
func (pos Position) String() string {
	return fmt.Sprintf("revision %d of era %d", pos.Revision, pos.Era)
}

// Lease is a lease of the store. After a return of the store its number may be somebody else's.
type Lease struct {
	// Era is the era in which the lease was granted or last seen at the store.
	Era int64
	// ID is the store's number of the lease, 0 for none.
	ID int64
}

// HeldIn reports whether there is a lease and it is the store's in the era.
func (ls Lease) HeldIn(era int64) bool { return ls.ID != 0 && ls.Era == era }

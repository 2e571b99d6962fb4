// Package lease acquires and renews named leases in the platform's key-value service, each with a fencing number. All
// names of one instance are bound to one lease of the service, so that the cost of a renewal does not depend on the
// number of names held.
package lease

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// Prefix is the key prefix of the names in the key-value service.
	Prefix = "dandelionsail/lease/"
	// TTL is the time after which the service ends a lease that is not renewed.
	TTL = 15 * time.Second
	// Margin is how long before the end of the TTL a holder that could not renew stops acting under the lease.
	Margin = 5 * time.Second
	// renewPeriod is the time between two renewals. Two of them fit in before the holder has to stop acting, which is
	// TTL - Margin after the last successful one; a failed renewal is retried at the next step.
	renewPeriod = 4 * time.Second
	// acquirePeriod is the time between two attempts to acquire a name that another instance holds.
	acquirePeriod = 5 * time.Second
	// stepPeriod is how often a holder checks for leases to renew, acquire or release.
	stepPeriod = time.Second
	// releaseTimeout limits how long a holder that shuts down takes to release its leases.
	releaseTimeout = time.Second
)

// Lease describes a lease that this instance holds.
type Lease struct {
	// Fence is the fencing number, higher for each new holder. It is made of the service's position at which the name was
	// acquired: after a return of the service from a copy its revisions are given out again.
	Fence int64
	// Since is when the name was acquired.
	Since time.Time
}

// Holder acquires, renews and releases the leases of one instance.
type Holder struct {
	st    store.Store
	nonce string

	mu     sync.Mutex
	wanted map[string]bool
	held   map[string]heldName
	// dropped contains the held names that Drop marked for release.
	dropped map[string]bool
	// until is when the holder has to stop acting under its leases, by the monotonic clock.
	until time.Time
	// untilWall is the same moment by the wall clock, the only one of the two that advances while a virtual machine is
	// suspended.
	untilWall time.Time

	// The fields below are not guarded by mu; only Run uses them.

	// lease is the service's lease to which all held names are bound; its ID is 0 if there is none.
	lease posit.Lease
	// renewAt is when the lease is due for renewal.
	renewAt time.Time
	// triedAt is the time of the last attempt to acquire each name.
	triedAt map[string]time.Time
	// uncertain contains the names for which the outcome of the last write to acquire them is unknown.
	uncertain map[string]bool
	// releasing holds, by name, the pairs of the released leases whose deletion the service has not confirmed.
	releasing map[string]store.Pair
}

// heldName is a held lease with its pair at the service.
type heldName struct {
	Lease
	pair store.Pair
}

// eraFence is the difference between the fencing numbers of two eras, above each revision.
const eraFence = 1 << 40

// fenceOf returns the fencing number of a name acquired at the position.
func fenceOf(pos posit.Position) int64 { return pos.Era*eraFence + pos.Revision }

// New returns a holder without leases. The nonce must be unique to this run of the instance.
func New(st store.Store, nonce string) *Holder {
	return &Holder{
		st:        st,
		nonce:     nonce,
		wanted:    map[string]bool{},
		held:      map[string]heldName{},
		dropped:   map[string]bool{},
		triedAt:   map[string]time.Time{},
		uncertain: map[string]bool{},
		releasing: map[string]store.Pair{},
	}
}

// SetWanted replaces the set of names that the holder tries to hold. Names that are no longer in it are released.
func (hd *Holder) SetWanted(names []string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.wanted = map[string]bool{}
	for _, name := range names {
		hd.wanted[name] = true
	}
}

// Check reports whether the lease is held right now. Call it immediately before each action under the lease: the process
// may have been paused since an earlier check, and another instance may hold the lease by now. An action that is still
// sent after a pause between Check and the action is rejected by its fencing number, or noticed when the next holder
// checks the state.
func (hd *Holder) Check(name string) (Lease, bool) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	held, ok := hd.held[name]
	now := time.Now()
	// In another era the name may have another holder, whatever the time of this one.
	return held.Lease, ok && held.pair.Position.Era == hd.st.Era().Number && !hd.dropped[name] && now.Before(hd.until) && now.Round(0).Before(hd.untilWall)
}

// Drop releases a lease whose fencing number an upstream refused. While the name is wanted, the holder acquires it again
// with a higher number if it is free.
func (hd *Holder) Drop(name string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.dropped[name] = true
}

// Names returns the names of the leases held right now, sorted.
func (hd *Holder) Names() []string {
	hd.mu.Lock()
	names := slices.Sorted(maps.Keys(hd.held))
	hd.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool {
		_, ok := hd.Check(name)
		return !ok
	})
}

// Run acquires, renews and releases leases until the context ends, and then releases all of them.
func (hd *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		hd.step(ctx)
		select {
		case <-ctx.Done():
			hd.shutdown(ctx)
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// shutdown releases all leases after the context has ended.
func (hd *Holder) shutdown(ctx context.Context) {
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	hd.releaseAll(releaseCtx)
}

func (hd *Holder) step(ctx context.Context) {
	if hd.lease.ID != 0 {
		hd.renew(ctx)
	}
	for _, name := range hd.namesToRelease() {
		hd.release(name)
	}
	wanted, held := hd.wantedAndHeld()
	hd.deleteReleased(ctx)
	for name := range hd.uncertain {
		if !slices.Contains(wanted, name) {
			// This instance may own the name without knowing it. Renewals would then keep the name alive and block all
			// other instances from acquiring it.
			hd.releaseAll(ctx)
			return
		}
	}
	if len(wanted) == 0 {
		hd.releaseAll(ctx)
		return
	}
	if hd.lease.ID == 0 && !hd.grant(ctx) {
		return
	}
	for _, name := range wanted {
		if !slices.Contains(held, name) {
			hd.acquire(ctx, name)
		}
	}
}

// namesToRelease returns the held names that are no longer wanted or were dropped.
func (hd *Holder) namesToRelease() []string {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	var names []string
	for name := range hd.held {
		if !hd.wanted[name] || hd.dropped[name] {
			names = append(names, name)
		}
	}
	return names
}

func (hd *Holder) wantedAndHeld() (wanted, held []string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return slices.Sorted(maps.Keys(hd.wanted)), slices.Sorted(maps.Keys(hd.held))
}

// extend moves the time at which the holder has to stop acting. started must be read before the call that granted or
// renewed the lease, so that the holder stops no later than TTL - Margin after the service restarted the TTL.
func (hd *Holder) extend(started time.Time) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.until = started.Add(TTL - Margin)
	hd.untilWall = hd.until.Round(0)
	hd.renewAt = started.Add(renewPeriod)
}

func (hd *Holder) grant(ctx context.Context) bool {
	started := time.Now()
	lease, err := hd.st.Grant(ctx, TTL)
	if err != nil {
		return false
	}
	hd.lease = lease
	hd.extend(started)
	return true
}

// renew renews the lease when it is due. If the lease has ended, also by a return of the service from a copy, or could not be renewed
// in time, all names are lost.
func (hd *Holder) renew(ctx context.Context) {
	started := time.Now()
	if started.Before(hd.renewAt) {
		return
	}
	err := hd.st.Renew(ctx, hd.lease)
	switch {
	case err == nil:
		hd.extend(started)
	case errorx.IsOfType(err, store.Missing), !time.Now().Before(hd.until):
		hd.forgetLease()
	}
}

// forgetLease clears all local state of the lease. What remains at the service expires with the TTL.
func (hd *Holder) forgetLease() {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.held = map[string]heldName{}
	hd.dropped = map[string]bool{}
	hd.until = time.Time{}
	hd.lease = posit.Lease{}
	clear(hd.uncertain)
	clear(hd.releasing)
	clear(hd.triedAt)
}

// releaseAll revokes the lease and with it all names.
func (hd *Holder) releaseAll(ctx context.Context) {
	lease := hd.lease
	hd.forgetLease()
	if lease.ID != 0 {
		_ = hd.st.Revoke(ctx, lease)
	}
}

// release stops the use of a lease. deleteReleased makes its name free.
func (hd *Holder) release(name string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.releasing[name] = hd.held[name].pair
	delete(hd.held, name)
	delete(hd.dropped, name)
	delete(hd.triedAt, name)
}

// deleteReleased deletes the names that were released and tries again at the next step where the service did not confirm it.
// A repeated deletion does no harm, since it applies to the pair of this run's lease only. Revoking the service's lease
// instead would free the name at once, and with it all others.
func (hd *Holder) deleteReleased(ctx context.Context) {
	for name, pair := range hd.releasing {
		err := hd.st.Delete(ctx, pair)
		if err == nil || errorx.IsOfType(err, store.Conflict) || errorx.IsOfType(err, store.Missing) {
			delete(hd.releasing, name)
		}
	}
}

// acquire tries to become the holder of the name. If the outcome of an earlier write is unknown, it reads the name to find
// out whether this run already owns it.
func (hd *Holder) acquire(ctx context.Context, name string) {
	if last, ok := hd.triedAt[name]; ok && time.Since(last) < acquirePeriod && !hd.uncertain[name] {
		return
	}
	hd.triedAt[name] = time.Now()
	pair, err := hd.st.Swap(ctx, store.Pair{Key: Prefix + name}, []byte(hd.nonce), hd.lease)
	if errorx.IsOfType(err, store.Conflict) && hd.uncertain[name] {
		pair, err = hd.st.Get(ctx, Prefix+name)
		if err == nil && (string(pair.Value) != hd.nonce || pair.Lease != hd.lease) {
			delete(hd.uncertain, name)
			return
		}
	}
	switch {
	case err == nil:
		delete(hd.uncertain, name)
		hd.setHeld(name, pair)
	case errorx.IsOfType(err, store.Unavailable):
		hd.uncertain[name] = true
	case errorx.IsOfType(err, store.Missing):
		hd.forgetLease()
	}
}

func (hd *Holder) setHeld(name string, pair store.Pair) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.held[name] = heldName{Lease: Lease{Fence: fenceOf(pair.Position), Since: time.Now()}, pair: pair}
}

// Package lease holds named leases in the platform's key-value service, each with a fencing number. All leases of one
// instance hang on one lease of the service, so that renewing costs the same however many it holds.
package lease

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/store"
)

const (
	// Prefix is where the names are kept.
	Prefix = "dandelionsail/lease/"
	// TTL is when the service ends a lease that is not renewed.
	TTL = 15 * time.Second
	// Margin is how long before that its holder stops to act under it.
	Margin = 5 * time.Second
	// renewPeriod leaves two tries before the holder has to stop.
	renewPeriod = 4 * time.Second
	// takePeriod is how often a name that another holds is tried again.
	takePeriod = 5 * time.Second
	// stepPeriod is how often a holder looks what is due.
	stepPeriod = time.Second
	// lastWrites bounds what a holder that stops spends on giving back.
	lastWrites = time.Second
)

// Held is a lease that is held.
type Held struct {
	// Fence is the fencing number: the service's revision at which the name was taken, higher for each new holder.
	Fence int64
	// Since is when the name was taken.
	Since time.Time
}

// Holder holds the leases of one instance.
type Holder struct {
	st    store.Store
	nonce string

	mu     sync.Mutex
	wanted map[string]bool
	held   map[string]Held
	// dropped are held names to be given back.
	dropped map[string]bool
	// until is when the holder has to stop, by the monotonic clock; wall is the same by the wall clock, which alone
	// goes on while a virtual machine is suspended.
	until time.Time
	wall  time.Time

	// The rest belongs to Run. lease is the service's, 0 if there is none.
	lease store.LeaseID
	// renewAt is when to renew; tried is when each name was last tried.
	renewAt time.Time
	tried   map[string]time.Time
	// unsure are names whose write had no clear answer.
	unsure map[string]bool
}

// New returns a holder that holds nothing. The nonce names this run of the instance and no other.
func New(st store.Store, nonce string) *Holder {
	return &Holder{
		st:      st,
		nonce:   nonce,
		wanted:  map[string]bool{},
		held:    map[string]Held{},
		dropped: map[string]bool{},
		tried:   map[string]time.Time{},
		unsure:  map[string]bool{},
	}
}

// Want replaces the names that the holder tries to hold; others are given back.
func (hd *Holder) Want(names []string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.wanted = map[string]bool{}
	for _, name := range names {
		hd.wanted[name] = true
	}
}

// Check reports whether the lease is held right now. It is to be asked right before each act under the lease: between
// an earlier look and the act this process may have been paused, and another may hold the lease by now. What still
// leaves after a pause between this answer and the act is stopped by the fencing number, or seen at the next holder's
// look.
func (hd *Holder) Check(name string) (Held, bool) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	held, ok := hd.held[name]
	now := time.Now()
	return held, ok && !hd.dropped[name] && now.Before(hd.until) && now.Round(0).Before(hd.wall)
}

// Drop gives back a lease whose fencing number an upstream refused, to take it anew with a higher one if it is free.
func (hd *Holder) Drop(name string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.dropped[name] = true
}

// Names returns what is held right now.
func (hd *Holder) Names() []string {
	hd.mu.Lock()
	names := slices.Sorted(maps.Keys(hd.held))
	hd.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool {
		_, ok := hd.Check(name)
		return !ok
	})
}

// Run takes, renews and gives back until the context ends, and then gives everything back.
func (hd *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		hd.step(ctx)
		select {
		case <-ctx.Done():
			hd.leave(ctx)
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// leave gives everything back after the context has ended.
func (hd *Holder) leave(ctx context.Context) {
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWrites)
	defer cancel()
	hd.giveUp(last)
}

func (hd *Holder) step(ctx context.Context) {
	if hd.lease != 0 {
		hd.renew(ctx)
	}
	for _, name := range hd.unwanted() {
		hd.giveBack(ctx, name)
	}
	wanted, held := hd.names()
	for name := range hd.unsure {
		if !slices.Contains(wanted, name) {
			// The name may be ours without our knowing; kept alive by the renewals it would bar everyone else.
			hd.giveUp(ctx)
			return
		}
	}
	if len(wanted) == 0 {
		hd.giveUp(ctx)
		return
	}
	if hd.lease == 0 && !hd.grant(ctx) {
		return
	}
	for _, name := range wanted {
		if !slices.Contains(held, name) {
			hd.take(ctx, name)
		}
	}
}

// unwanted returns what is held and is to be given back.
func (hd *Holder) unwanted() []string {
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

func (hd *Holder) names() (wanted, held []string) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return slices.Sorted(maps.Keys(hd.wanted)), slices.Sorted(maps.Keys(hd.held))
}

// extend moves the time to stop; started is taken before the call that extended the lease at the service.
func (hd *Holder) extend(started time.Time) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.until = started.Add(TTL - Margin)
	hd.wall = hd.until.Round(0)
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

// renew extends the lease when it is due. One that ended, or that could not be renewed in time, is lost with all names.
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
		hd.lose()
	}
}

// lose forgets the lease. What is left of it at the service ends by itself.
func (hd *Holder) lose() {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.held = map[string]Held{}
	hd.dropped = map[string]bool{}
	hd.until = time.Time{}
	hd.lease = 0
	clear(hd.unsure)
	clear(hd.tried)
}

// giveUp gives everything back.
func (hd *Holder) giveUp(ctx context.Context) {
	lease := hd.lease
	hd.lose()
	if lease != 0 {
		_ = hd.st.Revoke(ctx, lease)
	}
}

func (hd *Holder) giveBack(ctx context.Context, name string) {
	hd.mu.Lock()
	held := hd.held[name]
	delete(hd.held, name)
	delete(hd.dropped, name)
	delete(hd.tried, name)
	hd.mu.Unlock()
	if hd.st.Delete(ctx, Prefix+name, held.Fence) != nil {
		hd.unsure[name] = true
	}
}

// take tries to become the holder of the name.
func (hd *Holder) take(ctx context.Context, name string) {
	if last, ok := hd.tried[name]; ok && time.Since(last) < takePeriod && !hd.unsure[name] {
		return
	}
	hd.tried[name] = time.Now()
	pair, err := hd.st.Swap(ctx, Prefix+name, []byte(hd.nonce), 0, hd.lease)
	if errorx.IsOfType(err, store.Conflict) && hd.unsure[name] {
		pair, err = hd.st.Get(ctx, Prefix+name)
		if err == nil && (string(pair.Value) != hd.nonce || pair.Lease != hd.lease) {
			delete(hd.unsure, name)
			return
		}
	}
	switch {
	case err == nil:
		delete(hd.unsure, name)
		hd.keep(name, pair.Revision)
	case errorx.IsOfType(err, store.Unavailable):
		hd.unsure[name] = true
	case errorx.IsOfType(err, store.Missing):
		hd.lose()
	}
}

func (hd *Holder) keep(name string, fence int64) {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	hd.held[name] = Held{Fence: fence, Since: time.Now()}
}

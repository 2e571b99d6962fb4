// Package memory bounds the bytes that an instance holds for callers. One Account counts them all. What exceeds its bound waits, first come
// first served, or is refused before it is read, so that a burst of long bodies does not take the process above the memory it may use.
package memory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what bytes are held for.
type Kind int

// The kinds.
const (
	// Bodies are the bodies of callers' requests.
	Bodies Kind = iota
	// Answers are buffered answers of replicas.
	Answers
	// Detours are messages that are passed on for other instances.
	Detours
	// Connections are the connections of callers and others, with the heads of their requests.
	Connections
	kinds
)

// String returns the kind's name as metrics state it.
func (kd Kind) String() string {
	return [kinds]string{"Bodies", "Answers", "Detours", "Connections"}[kd]
}

const (
	// SmallBody is the maximum size in bytes of a reservation that does not wait behind larger ones. Callers of small requests are not
	// delayed by a burst of long ones.
	SmallBody = 64 << 10
	// largeShare is the share of the bound that larger reservations may use. The rest is left for small ones and for answers of requests
	// that run already.
	largeShare = 0.875
	// connectionLevel is the level in relation to the bound up to which new connections are taken, so that a burst of bodies leaves room for them.
	// The memory for it is among what Limit leaves for the kernel.
	connectionLevel = 1.25
	// headShare is the share of the bound that Connections may have taken for heads to be let in. The rest is left for bodies.
	headShare = 0.25
	// holdGain is the weight of the latest reservation in the average of the times for which large ones are held.
	holdGain = 0.1
)

// Refusal is why a reservation was refused. Each error of Reserve is one.
type Refusal string

// Values of Refusal.
const (
	// TooLarge means that the reservation exceeds the bound by itself.
	TooLarge Refusal = "too large"
	// TooLate means that its turn was not expected in time when it was asked for.
	TooLate Refusal = "too late"
	// TimedOut means that its turn did not come in time.
	TimedOut Refusal = "timed out"
	// Closed means that the Account lets nothing wait any more.
	Closed Refusal = "closed"
	// CallerLeft means that the context ended.
	CallerLeft Refusal = "caller left"
)

// Error implements error.
func (ref Refusal) Error() string {
	return "memory: no reservation (" + string(ref) + "); send the request again later"
}

// Account counts the bytes that are held, by kind. It is safe for concurrent use. A reservation that fits, and every release while nothing
// waits, takes no lock.
type Account struct {
	// bound is the maximum of total, 0 if there is none.
	bound int64
	total atomic.Int64
	held  [kinds]atomic.Int64
	// peak is the highest total so far.
	peak atomic.Int64
	// mu guards the fields below.
	mu sync.Mutex
	// small and large hold the waiters for at most SmallBody bytes and for more.
	small, large queue
	// hold is the average time for which the last large reservations were held.
	hold time.Duration
	// closed reports whether nothing may wait any more.
	closed bool
}

// queue holds waiters in the order of arrival.
type queue struct {
	list []*waiter
	// count is the length of list. It is written with the Account's mu held and read without it.
	count atomic.Int64
	// bytes is the sum of what they wait for.
	bytes int64
}

// waiter is a reservation that waits.
type waiter struct {
	kind Kind
	size int64
	// result receives nil once the bytes are reserved, or why they will not be. Its capacity is 1.
	result chan error
	// since is when the wait began.
	since time.Time
}

// New returns an Account with the bound in bytes, 0 for none.
func New(bound int64) *Account { return &Account{bound: bound} }

// Bound returns the bound in bytes, 0 if there is none.
func (ac *Account) Bound() int64 { return ac.bound }

// Held returns the number of bytes that are held for the kind.
func (ac *Account) Held(kind Kind) int64 { return ac.held[kind].Load() }

// Total returns the number of bytes that are held.
func (ac *Account) Total() int64 { return ac.total.Load() }

// Peak returns the highest number of bytes that were held at once.
func (ac *Account) Peak() int64 { return ac.peak.Load() }

// Waiting returns how many reservations wait, and for how many bytes.
func (ac *Account) Waiting() (count, bytes int64) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.small.count.Load() + ac.large.count.Load(), ac.small.bytes + ac.large.bytes
}

// Gauges calls set with the name and the value of each gauge: the bound, what is held in all and by kind, the highest sum, and what waits.
func (ac *Account) Gauges(set func(name string, value int64)) {
	set("Memory.BoundBytes", ac.Bound())
	set("Memory.TotalBytes", ac.Total())
	set("Memory.PeakBytes", ac.Peak())
	for kind := range kinds {
		set("Memory.HeldBytes."+kind.String(), ac.Held(kind))
	}
	waiting, bytes := ac.Waiting()
	set("Memory.Waiting", waiting)
	set("Memory.WaitingBytes", bytes)
}

// Pressed reports whether reservations wait.
func (ac *Account) Pressed() bool { return ac.small.count.Load() > 0 || ac.large.count.Load() > 0 }

// Try reserves the bytes for something that has begun, or returns false if the bound does not allow that. It does not wait behind others.
func (ac *Account) Try(kind Kind, size int) bool { return ac.take(kind, int64(size), ac.bound) }

// TryConnection reserves the bytes for a new connection, or returns false if they do not fit.
func (ac *Account) TryConnection(size int64) bool {
	return ac.take(Connections, size, int64(connectionLevel*float64(ac.bound)))
}

// TryHead reserves the bytes for the head of a request, or returns false if they do not fit.
func (ac *Account) TryHead(size int64) bool {
	return (ac.bound == 0 || ac.Held(Connections)+size <= int64(headShare*float64(ac.bound))) && ac.take(Connections, size, ac.bound)
}

// TryNew reserves the bytes for something that has not begun, or returns false if they do not fit or others of
// their class wait for their turn.
func (ac *Account) TryNew(kind Kind, size int64) bool {
	return ac.queueOf(size).count.Load() == 0 && ac.take(kind, size, ac.level(size))
}

// Reserve reserves the bytes for something that has not begun. It waits for its turn for at most the given time, and returns how long it has
// waited. The error is a Refusal, and nothing is reserved then.
func (ac *Account) Reserve(ctx context.Context, kind Kind, size int64, wait time.Duration) (waited time.Duration, err error) {
	if ac.TryNew(kind, size) {
		return 0, nil
	}
	wt, err := ac.enqueue(kind, size, wait)
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err = <-wt.result:
	case <-timer.C:
		err = ac.giveUp(wt, TimedOut)
	case <-ctx.Done():
		err = ac.giveUp(wt, CallerLeft)
	}
	return time.Since(wt.since), err
}

// Release gives bytes back.
func (ac *Account) Release(kind Kind, size int64) {
	ac.held[kind].Add(-size)
	ac.total.Add(-size)
	if ac.Pressed() {
		ac.mu.Lock()
		defer ac.mu.Unlock()
		ac.grant()
	}
}

// ReleaseLarge gives back bytes that were reserved at once and held for the given time.
func (ac *Account) ReleaseLarge(kind Kind, size int64, held time.Duration) {
	ac.mu.Lock()
	ac.hold += time.Duration(holdGain * float64(held-ac.hold))
	ac.mu.Unlock()
	ac.Release(kind, size)
}

// Close refuses everything that waits or would have to.
func (ac *Account) Close() {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	ac.closed = true
	for _, qu := range []*queue{&ac.small, &ac.large} {
		for len(qu.list) > 0 {
			ac.remove(qu, 0).result <- Closed
		}
	}
}

// level returns the total up to which a new reservation of the size may be made.
func (ac *Account) level(size int64) int64 {
	if size <= SmallBody {
		return ac.bound
	}
	return int64(largeShare * float64(ac.bound))
}

// take reserves the bytes unless the total would exceed the level.
func (ac *Account) take(kind Kind, size, level int64) bool {
	for {
		before := ac.total.Load()
		if ac.bound > 0 && before+size > level {
			return false
		}
		if !ac.total.CompareAndSwap(before, before+size) {
			continue
		}
		ac.held[kind].Add(size)
		for peak := ac.peak.Load(); before+size > peak && !ac.peak.CompareAndSwap(peak, before+size); {
			peak = ac.peak.Load()
		}
		return true
	}
}

// enqueue adds a waiter, or returns why it must not wait.
func (ac *Account) enqueue(kind Kind, size int64, wait time.Duration) (*waiter, error) {
	if size > ac.level(size) {
		return nil, TooLarge
	}
	ac.mu.Lock()
	defer ac.mu.Unlock()
	if ac.closed {
		return nil, Closed
	}
	qu := ac.queueOf(size)
	if len(qu.list) > 0 && ac.expectedWait(qu.bytes+size) > wait {
		// The first in the queue waits in any case, so that the estimate follows when reservations are held for a shorter time again.
		return nil, TooLate
	}
	wt := &waiter{kind: kind, size: size, result: make(chan error, 1), since: time.Now()}
	qu.list = append(qu.list, wt)
	qu.bytes += size
	qu.count.Add(1)
	// A release that saw no waiter may have made room meanwhile.
	ac.grant()
	return wt, nil
}

// expectedWait returns how long it takes until the bytes can be reserved that have to be until the end of a wait. All that is held is released
// in about the time for which a reservation is held. ac.mu is held.
func (ac *Account) expectedWait(ahead int64) time.Duration {
	return time.Duration(float64(ac.hold) * float64(ahead) / (largeShare * float64(ac.bound)))
}

func (ac *Account) queueOf(size int64) *queue {
	if size <= SmallBody {
		return &ac.small
	}
	return &ac.large
}

// grant reserves the bytes for the waiters that fit, in their order. ac.mu is held.
func (ac *Account) grant() {
	for _, qu := range []*queue{&ac.small, &ac.large} {
		for len(qu.list) > 0 && ac.take(qu.list[0].kind, qu.list[0].size, ac.level(qu.list[0].size)) {
			ac.remove(qu, 0).result <- nil
		}
	}
}

// remove takes a waiter out of its queue. ac.mu is held.
func (ac *Account) remove(qu *queue, at int) *waiter {
	wt := qu.list[at]
	qu.list = slices.Delete(qu.list, at, at+1)
	qu.bytes -= wt.size
	qu.count.Add(-1)
	return wt
}

// giveUp ends a wait and returns the refusal, or nil if the bytes were reserved meanwhile.
func (ac *Account) giveUp(wt *waiter, ref Refusal) error {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	select {
	case err := <-wt.result:
		return err
	default:
	}
	qu := ac.queueOf(wt.size)
	ac.remove(qu, slices.Index(qu.list, wt))
	ac.grant()
	return ref
}

package order

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/clock"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/store"
)

// weightsKey is the store's key for the whole fleet's loads of the last minute.
const weightsKey = "dandelionsail/weights"

// rateWindow is the period over which loads are counted.
const rateWindow = time.Minute

// maxAttempts bounds the attempts of one call if other instances write the key at the same time.
const maxAttempts = 5

// loadEntry records the loads of one order.
type loadEntry struct {
	// At is when the loads were taken, in milliseconds since 1970 by the clock of the instance that took them. A clock that
	// is off by a second shifts the window by a second.
	At    int64
	Loads int
	// Nonce is unique to the order. By it an instance recognises its own write after a lost response.
	Nonce string
}

// LoadLimiter enforces the weight store's rate limit across the whole fleet by a value in the key-value service. Orders are
// rare, minutes apart in each pool, so the read and the write for each cost next to nothing.
type LoadLimiter struct {
	st store.Store
	// PerMinute is how many loads the weight store serves per minute.
	PerMinute int
	name      string
	// began is when this limiter was made. Times are taken as steady from then on.
	began time.Time
	// nonces counts the orders; Take is called by one goroutine for each pool.
	nonces atomic.Int64

	mu sync.Mutex
	// own holds the loads that this instance took within the window.
	own []loadEntry
}

// NewLoadLimiter returns the limiter of one instance. The name must be unique to this run of the instance, since the nonces
// contain it.
func NewLoadLimiter(st store.Store, name string, perMinute int) *LoadLimiter {
	return &LoadLimiter{st: st, name: name, PerMinute: perMinute, began: time.Now()}
}

// Take takes the loads of one order from the limit, or returns false if they have to wait. An order with more loads than
// fit into a minute takes the whole minute's. After a lost response, loads may stay taken for an order that is never sent;
// the rate then stays below the limit for a minute.
func (ll *LoadLimiter) Take(ctx context.Context, loads int) (bool, error) {
	if loads == 0 {
		return true, nil
	}
	nonce := ll.name + "/" + strconv.FormatInt(ll.nonces.Add(1), 10)
	for range maxAttempts {
		ok, err := ll.take(ctx, min(loads, ll.PerMinute), nonce)
		if !errorx.IsOfType(err, store.Conflict) {
			return ok, err
		}
	}
	return false, nil
}

func (ll *LoadLimiter) take(ctx context.Context, loads int, nonce string) (bool, error) {
	now := clock.Steady(ll.began, time.Now())
	list, have, err := ll.read(ctx)
	if err != nil {
		return false, err
	}
	kept, total := withinWindow(ll.withOwn(list, now), now)
	for _, le := range kept {
		if le.Nonce == nonce {
			return true, nil
		}
	}
	if total+loads > ll.PerMinute {
		return false, nil
	}
	taken := loadEntry{At: now.UnixMilli(), Loads: loads, Nonce: nonce}
	raw, err := json.Marshal(append(kept, taken))
	if err != nil {
		return false, err
	}
	if _, err = ll.st.Swap(ctx, have, raw, posit.Lease{}); err != nil {
		return false, err
	}
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.own = append(ll.own, taken)
	return true, nil
}

// withOwn returns the entries and those of this instance that the store has lost by a return from a copy.
func (ll *LoadLimiter) withOwn(list []loadEntry, now time.Time) []loadEntry {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.own, _ = withinWindow(ll.own, now)
	for _, le := range ll.own {
		if !slices.ContainsFunc(list, func(other loadEntry) bool { return other.Nonce == le.Nonce }) {
			list = append(list, le)
		}
	}
	return list
}

func (ll *LoadLimiter) read(ctx context.Context) ([]loadEntry, store.Pair, error) {
	pair, err := ll.st.Get(ctx, weightsKey)
	if errorx.IsOfType(err, store.Missing) {
		return nil, store.Pair{Key: weightsKey}, nil
	}
	if err != nil {
		return nil, pair, err
	}
	list, err := decodeEntries(pair.Value)
	return list, pair, err
}

func decodeEntries(raw []byte) ([]loadEntry, error) {
	var list []loadEntry
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, store.Invalid.Wrap(err, "order: value of %s does not decode; remove the key, its loads count for one minute only", weightsKey)
	}
	return list, nil
}

// withinWindow returns the entries within the window and the sum of their loads. Entries that are further in the future by
// this clock than the length of the window are dropped too.
func withinWindow(list []loadEntry, now time.Time) (kept []loadEntry, total int) {
	for _, le := range list {
		age := now.Sub(time.UnixMilli(le.At))
		if age < rateWindow && age > -rateWindow {
			kept = append(kept, le)
			total += le.Loads
		}
	}
	return kept, total
}

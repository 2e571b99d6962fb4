package deaths

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Requesters holds the addresses of the instances that requested the known deaths recently. They get announcements although
// the list of instances may not show them yet. It is safe for concurrent use, and its zero value is empty.
type Requesters struct {
	mu          sync.Mutex
	requestedAt map[string]time.Time
}

const (
	// requesterTTL is how long a requester gets announcements without being in the list. By then the list shows it.
	requesterTTL = 30 * time.Second
	// maxRequesters is the maximum number of requesters held, far above the number of instances that start within
	// requesterTTL.
	maxRequesters = 1000
)

// Add adds the address unless it is empty.
func (rq *Requesters) Add(address string) {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	if rq.requestedAt == nil {
		rq.requestedAt = map[string]time.Time{}
	}
	rq.dropExpired()
	if address != "" && len(rq.requestedAt) < maxRequesters {
		rq.requestedAt[address] = time.Now()
	}
}

func (rq *Requesters) dropExpired() {
	maps.DeleteFunc(rq.requestedAt, func(_ string, at time.Time) bool { return time.Since(at) > requesterTTL })
}

// Recent returns the addresses that were added within requesterTTL and removes the others.
func (rq *Requesters) Recent() []string {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	rq.dropExpired()
	return slices.Collect(maps.Keys(rq.requestedAt))
}

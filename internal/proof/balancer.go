package proof

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/fleet"
)

const (
	// probePeriod is how often the balancer looks at each instance's readiness.
	probePeriod = 50 * time.Millisecond
	// probeTime is how long it waits for the answer.
	probeTime = 250 * time.Millisecond
)

// member is one entry instance as the balancer sees it.
type member struct {
	// killed tells that the run ended the process without notice.
	killed  atomic.Bool
	name    string
	process *fleet.Process
	// ready follows the instance's own word.
	ready bool
	// brokenAt is when the run killed or paused it; what it was at work on then may be cut.
	brokenAt time.Time
	// mendedAt is when a paused one went on.
	mendedAt time.Time
}

// balancer stands in for the platform's: it sends callers to the instances that say that they are ready.
type balancer struct {
	client *http.Client

	mu      sync.Mutex
	members []*member
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTime}}
}

func (bl *balancer) add(name string, pr *fleet.Process) *member {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb := &member{name: name, process: pr, ready: true}
	bl.members = append(bl.members, mb)
	return mb
}

// remove takes an instance out that has ended.
func (bl *balancer) remove(gone *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	kept := bl.members[:0:0]
	for _, mb := range bl.members {
		if mb != gone {
			kept = append(kept, mb)
		}
	}
	bl.members = kept
}

// all returns the instances, ready or not.
func (bl *balancer) all() []*member {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return append([]*member(nil), bl.members...)
}

// pick draws a ready instance, or nil.
func (bl *balancer) pick(draw uint64) *member {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	var ready []*member
	for _, mb := range bl.members {
		if mb.ready {
			ready = append(ready, mb)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[draw%uint64(len(ready))]
}

// run probes the instances until the context ends.
func (bl *balancer) run(ctx context.Context) error {
	for delay.For(ctx, probePeriod) {
		var probes sync.WaitGroup
		for _, mb := range bl.all() {
			probes.Go(func() { bl.probe(ctx, mb) })
		}
		probes.Wait()
	}
	return nil
}

func (bl *balancer) probe(ctx context.Context, mb *member) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+mb.process.Address+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := bl.client.Do(req)
	ready := false
	if err == nil {
		ready = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb.ready = ready
}

// broken notes that the run kills or pauses the instance now, and mended that it goes on.
func (bl *balancer) broken(mb *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb.brokenAt = time.Now()
}

func (bl *balancer) mended(mb *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb.mendedAt = time.Now()
}

// excuses tells whether the run broke the instance between two times, or left it broken then.
func (bl *balancer) excuses(mb *member, from, to time.Time) bool {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if mb.brokenAt.IsZero() || mb.brokenAt.After(to) {
		return false
	}
	return mb.mendedAt.IsZero() || mb.mendedAt.After(from)
}

// any draws an instance, ready or not.
func (bl *balancer) any(random *rand.Rand) *member {
	all := bl.all()
	return all[random.IntN(len(all))]
}

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
	// probePeriod is the pause between two readiness probes of an instance.
	probePeriod = 50 * time.Millisecond
	// probeTimeout is the timeout of a readiness probe and of a status request.
	probeTimeout = 250 * time.Millisecond
)

// member is one entry instance behind the balancer.
type member struct {
	// killed reports whether the run killed the process.
	killed  atomic.Bool
	name    string
	process *fleet.Process
	// ready is the result of the last readiness probe.
	ready bool
	// faultedAt is when the run killed or paused the instance. Its requests of that time may be cut.
	faultedAt time.Time
	// resumedAt is when the run resumed the paused instance.
	resumedAt time.Time
}

// balancer replaces the platform's load balancer: it sends callers to the instances that are ready.
type balancer struct {
	client *http.Client

	mu      sync.Mutex
	members []*member
}

func newBalancer() *balancer {
	return &balancer{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}}
}

func (bl *balancer) add(name string, pr *fleet.Process) *member {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb := &member{name: name, process: pr, ready: true}
	bl.members = append(bl.members, mb)
	return mb
}

// remove removes an instance that has ended.
func (bl *balancer) remove(removed *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	remaining := bl.members[:0:0]
	for _, mb := range bl.members {
		if mb != removed {
			remaining = append(remaining, mb)
		}
	}
	bl.members = remaining
}

// all returns the instances, ready or not.
func (bl *balancer) all() []*member {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return append([]*member(nil), bl.members...)
}

// pick returns the ready instance that the random number selects, or nil if none is ready.
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

// recordFault records that the run kills or pauses the instance now.
func (bl *balancer) recordFault(mb *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb.faultedAt = time.Now()
}

// recordResume records that the run resumes the instance now.
func (bl *balancer) recordResume(mb *member) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	mb.resumedAt = time.Now()
}

// faultedDuring reports whether the instance was dead or paused by an injected fault at any time between from and to.
func (bl *balancer) faultedDuring(mb *member, from, to time.Time) bool {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if mb.faultedAt.IsZero() || mb.faultedAt.After(to) {
		return false
	}
	return mb.resumedAt.IsZero() || mb.resumedAt.After(from)
}

// randomMember returns a random instance, ready or not.
func (bl *balancer) randomMember(random *rand.Rand) *member {
	all := bl.all()
	return all[random.IntN(len(all))]
}

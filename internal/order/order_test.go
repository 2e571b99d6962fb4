package order_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/order"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const ttl = 15 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func lyricService(version string, fencing bool) decl.Service {
	return decl.Service{Kind: decl.KindModel, ChecksFencing: fencing, Models: []decl.Model{{Name: "lyric", Version: version, Adapters: []string{"hindi"}}}}
}

func pool(count int, models ...string) []order.Replica {
	var reps []order.Replica
	for i := range count {
		reps = append(reps, order.Replica{Name: fmt.Sprintf("lyric-%02d", i), Reported: true, Models: models, Role: "Mixed"})
	}
	return reps
}

// runRollout simulates a rollout to engines that take a minute to load, and returns the maximum number of replicas that were
// unavailable at once.
func runRollout(t *testing.T, reps []order.Replica, svc decl.Service) int {
	t.Helper()
	ro := order.NewRollout()
	ready := map[int]time.Time{}
	maxUnavailable := 0
	now := start
	for range 3600 {
		now = now.Add(time.Second)
		for i, at := range ready {
			if !now.Before(at) {
				reps[i].Models, reps[i].Loading = reps[i].Loading, nil
				delete(ready, i)
			}
		}
		maxUnavailable = max(maxUnavailable, len(ready))
		po := ro.Next(order.Snapshot{Now: now, Service: svc, Replicas: reps, Since: start, Fence: 7, TTL: ttl})
		if po == nil {
			continue
		}
		ro.RecordSent(now, po)
		i := slices.IndexFunc(reps, func(rep order.Replica) bool { return rep.Name == po.Replica.Name })
		reps[i].Models, reps[i].Loading = nil, po.Order.Models
		ready[i] = now.Add(time.Minute)
	}
	for _, rep := range reps {
		assert.DeepEqual(t, rep.Models, order.WantedModels(svc, nil))
	}
	return maxUnavailable
}

func TestVersionRollsOutInSteps(t *testing.T) {
	// A new version is configured. Each engine unloads the old version when it is ordered to load the new one, so a rollout
	// to all replicas at once would leave the pool without capacity. Only one replica in eight may be unavailable, except
	// for replicas that served nothing before.
	cases := map[string]struct {
		reps           []order.Replica
		maxUnavailable int
	}{
		"one replica":      {pool(1, "lyric@v1"), 1},
		"five replicas":    {pool(5, "lyric@v1"), 1},
		"twenty replicas":  {pool(20, "lyric@v1"), 2},
		"nothing loaded":   {pool(6), 6},
		"up to date":       {pool(6, "lyric@v2", "lyric@v2:hindi"), 0},
		"adapter missing":  {pool(6, "lyric@v2"), 1},
		"unversioned name": {pool(6, "lyric"), 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, runRollout(t, tc.reps, lyricService("v2", true)), tc.maxUnavailable)
		})
	}
}

func TestRolloutHaltsWhenReplicaDoesNotComeUp(t *testing.T) {
	// The first engine that is ordered to load the new version never finishes loading it.
	// The other engines must keep serving the old version: only the first one gets the order again.
	reps := pool(5, "lyric@v1", "lyric@v1:hindi")
	ro := order.NewRollout()
	ordered := map[string]int{}
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		po := ro.Next(order.Snapshot{Now: now, Service: lyricService("v2", true), Replicas: reps, Since: start, Fence: 7, TTL: ttl})
		if po == nil {
			continue
		}
		ro.RecordSent(now, po)
		ordered[po.Replica.Name]++
		reps[0].Models, reps[0].Loading = nil, po.Order.Models
	}
	assert.Equal(t, len(ordered), 1)
	assert.Assert(t, ordered["lyric-00"] > 1)
}

func TestNewHolderWaitsBeforeFirstOrder(t *testing.T) {
	// A holder takes over a pool. If the engines check fencing numbers, it only has to wait for their reports. If they do
	// not, a late order of the previous holder would undo the new one's, so the previous lease and the longest order
	// must have ended first.
	cases := map[string]struct {
		fencing bool
		wait    time.Duration
	}{
		"engines check fencing":        {true, 3 * time.Second},
		"engines do not check fencing": {false, ttl + order.SendTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			snap := order.Snapshot{Service: lyricService("v2", tc.fencing), Replicas: pool(3, "lyric@v1"), Since: start, Fence: 7, TTL: ttl}
			snap.Now = start.Add(tc.wait - time.Millisecond)
			assert.Assert(t, order.NewRollout().Next(snap) == nil)
			snap.Now = start.Add(tc.wait)
			po := order.NewRollout().Next(snap)
			assert.Assert(t, po != nil)
			assert.Equal(t, po.Order.Fence, int64(7))
			assert.Equal(t, po.Loads, 2)
		})
	}
}

func TestStaleOrderIsCorrected(t *testing.T) {
	// A late order of a previous holder arrives after the pool has reached its wanted state. The next snapshot shows its
	// effect, and the affected replica must get an order again.
	reps := pool(3, "lyric@v2", "lyric@v2:hindi")
	ro := order.NewRollout()
	snap := order.Snapshot{Now: start.Add(time.Hour), Service: lyricService("v2", false), Replicas: reps, Since: start, TTL: ttl}
	assert.Assert(t, ro.Next(snap) == nil)
	reps[1].Models = []string{"lyric@v1"}
	po := ro.Next(snap)
	assert.Assert(t, po != nil)
	assert.Equal(t, po.Replica.Name, "lyric-01")
}

func TestNoOrderWithoutDeclaredVersions(t *testing.T) {
	svc := decl.Service{Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}}
	snap := order.Snapshot{Now: start.Add(time.Hour), Service: svc, Replicas: pool(3, "something@else"), Since: start, TTL: ttl}
	assert.Assert(t, order.NewRollout().Next(snap) == nil)
}

func TestRolesSpreadOverFailureDomains(t *testing.T) {
	domains := map[string]string{"r1": "a", "r2": "a", "r3": "b", "r4": "b", "r5": "c", "r6": "c"}
	roles := order.AssignRoles(decl.Service{Roles: map[string]int{"Decode": 3, "Prefill": 2}}, domains)
	assert.DeepEqual(t, roles, map[string]string{"r1": "Decode", "r3": "Decode", "r5": "Decode", "r2": "Prefill", "r4": "Prefill"})
}

func TestLoadRateHoldsFleetWide(t *testing.T) {
	// Ten holders want to load at once, and some of the key-value service's responses are lost. In each minute no more loads
	// may be allowed than the weight store serves, and every holder must get its turn.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		kv.SetFaults(stand.Faults{LostAnswers: 0.2})
		var at []time.Time
		waiting := map[int]bool{}
		var holders []*order.LoadLimiter
		for i := range 10 {
			holders = append(holders, order.NewLoadLimiter(stand.NewMemoryStore(kv), fmt.Sprintf("entry-%d", i), 6))
			waiting[i] = true
		}
		for len(waiting) > 0 {
			for i := range holders {
				if !waiting[i] {
					continue
				}
				if ok, _ := holders[i].Take(t.Context(), 2); ok {
					delete(waiting, i)
					at = append(at, time.Now())
				}
			}
			time.Sleep(time.Second)
			assert.Assert(t, len(at) < 100)
		}
		for i := 3; i < len(at); i++ {
			assert.Assert(t, at[i].Sub(at[i-3]) >= 59*time.Second, "%v", at)
		}
	})
}

func TestConcurrentOrdersTakeTheirOwnLoads(t *testing.T) {
	// The keeper sends the orders of several pools at the same time. If two of them had the same nonce, one would take the
	// other's loads for its own, and more loads would be started than the weight store serves.
	const perMinute, orders = 20, 60
	kv := stand.NewKV(stand.Rates{})
	limiter := order.NewLoadLimiter(stand.NewMemoryStore(kv), "entry-0", perMinute)
	var taken atomic.Int64
	var group sync.WaitGroup
	for range orders {
		group.Go(func() {
			if ok, err := limiter.Take(t.Context(), 1); err == nil && ok {
				taken.Add(1)
			}
		})
	}
	group.Wait()
	assert.Assert(t, taken.Load() > 0 && taken.Load() <= perMinute, "%d loads taken, allowed %d", taken.Load(), perMinute)
}

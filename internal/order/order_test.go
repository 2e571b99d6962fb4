package order_test

import (
	"fmt"
	"slices"
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

func lyric(version string, fencing bool) decl.Service {
	return decl.Service{Kind: decl.KindModel, ChecksFencing: fencing, Models: []decl.Model{{Name: "lyric", Version: version, Adapters: []string{"hindi"}}}}
}

func pool(count int, models ...string) []order.Replica {
	var reps []order.Replica
	for i := range count {
		reps = append(reps, order.Replica{Name: fmt.Sprintf("lyric-%02d", i), Reported: true, Models: models, Role: "Mixed"})
	}
	return reps
}

// roll runs a rollout over engines that take a minute to load, and returns how many were away at most.
func roll(t *testing.T, reps []order.Replica, svc decl.Service) int {
	t.Helper()
	st := order.New()
	ready := map[int]time.Time{}
	most := 0
	now := start
	for range 3600 {
		now = now.Add(time.Second)
		for i, at := range ready {
			if !now.Before(at) {
				reps[i].Models, reps[i].Loading = reps[i].Loading, nil
				delete(ready, i)
			}
		}
		most = max(most, len(ready))
		snd := st.Next(order.Look{Now: now, Service: svc, Replicas: reps, Since: start, Fence: 7, TTL: ttl})
		if snd == nil {
			continue
		}
		st.Sent(now, snd)
		i := slices.IndexFunc(reps, func(rep order.Replica) bool { return rep.Name == snd.Replica.Name })
		reps[i].Models, reps[i].Loading = nil, snd.Order.Models
		ready[i] = now.Add(time.Minute)
	}
	for _, rep := range reps {
		assert.DeepEqual(t, rep.Models, order.Wanted(svc, nil))
	}
	return most
}

func TestVersionRollsOutInSteps(t *testing.T) {
	// A new version is declared. Each engine drops the old one when it is ordered to load the new, and callers must
	// not lose the pool: one replica in eight may be away, except where a replica served nothing before.
	cases := map[string]struct {
		reps []order.Replica
		most int
	}{
		"one replica":      {pool(1, "lyric@v1"), 1},
		"five replicas":    {pool(5, "lyric@v1"), 1},
		"twenty replicas":  {pool(20, "lyric@v1"), 2},
		"newly started":    {pool(6), 6},
		"already there":    {pool(6, "lyric@v2", "lyric@v2:hindi"), 0},
		"adapter missing":  {pool(6, "lyric@v2"), 1},
		"unversioned name": {pool(6, "lyric"), 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, roll(t, tc.reps, lyric("v2", true)), tc.most)
		})
	}
}

func TestRolloutHaltsWhenAReplicaStaysAway(t *testing.T) {
	// The first engine that is ordered to load the new version never comes up with it.
	// The others must keep serving the old one: the order is repeated there, and nothing else is touched.
	reps := pool(5, "lyric@v1", "lyric@v1:hindi")
	st := order.New()
	ordered := map[string]int{}
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		snd := st.Next(order.Look{Now: now, Service: lyric("v2", true), Replicas: reps, Since: start, Fence: 7, TTL: ttl})
		if snd == nil {
			continue
		}
		st.Sent(now, snd)
		ordered[snd.Replica.Name]++
		reps[0].Models, reps[0].Loading = nil, snd.Order.Models
	}
	assert.Equal(t, len(ordered), 1)
	assert.Assert(t, ordered["lyric-00"] > 1)
}

func TestNewHolderWaits(t *testing.T) {
	// A holder takes over a pool. Where the engines check fencing numbers it waits only for their reports. Where they
	// obey anyone, the last holder's late order would undo the new one's, so its lease and its longest order have to
	// be over first.
	cases := map[string]struct {
		fencing bool
		quiet   time.Duration
	}{
		"engines check":        {true, 3 * time.Second},
		"engines do not check": {false, ttl + order.SendTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			look := order.Look{Service: lyric("v2", tc.fencing), Replicas: pool(3, "lyric@v1"), Since: start, Fence: 7, TTL: ttl}
			look.Now = start.Add(tc.quiet - time.Millisecond)
			assert.Assert(t, order.New().Next(look) == nil)
			look.Now = start.Add(tc.quiet)
			snd := order.New().Next(look)
			assert.Assert(t, snd != nil)
			assert.Equal(t, snd.Order.Fence, int64(7))
			assert.Equal(t, snd.Loads, 2)
		})
	}
}

func TestLateOrderIsSetRight(t *testing.T) {
	// An order of an earlier holder arrives after the pool was at its wanted end. The next look sees it and gives the
	// order again.
	reps := pool(3, "lyric@v2", "lyric@v2:hindi")
	st := order.New()
	look := order.Look{Now: start.Add(time.Hour), Service: lyric("v2", false), Replicas: reps, Since: start, TTL: ttl}
	assert.Assert(t, st.Next(look) == nil)
	reps[1].Models = []string{"lyric@v1"}
	snd := st.Next(look)
	assert.Assert(t, snd != nil)
	assert.Equal(t, snd.Replica.Name, "lyric-01")
}

func TestNothingDeclaredNothingOrdered(t *testing.T) {
	svc := decl.Service{Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}}
	look := order.Look{Now: start.Add(time.Hour), Service: svc, Replicas: pool(3, "something@else"), Since: start, TTL: ttl}
	assert.Assert(t, order.New().Next(look) == nil)
}

func TestRolesAreDealtOverDomains(t *testing.T) {
	domains := map[string]string{"r1": "a", "r2": "a", "r3": "b", "r4": "b", "r5": "c", "r6": "c"}
	roles := order.Roles(decl.Service{Roles: map[string]int{"Decode": 3, "Prefill": 2}}, domains)
	assert.DeepEqual(t, roles, map[string]string{"r1": "Decode", "r3": "Decode", "r5": "Decode", "r2": "Prefill", "r4": "Prefill"})
}

func TestWeightRateIsKeptFleetWide(t *testing.T) {
	// Ten holders want to load at once, and a part of the store's answers is lost. Over each minute no more loads are
	// allowed than the weight store serves, and all get their turn.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		kv.SetFaults(stand.Faults{LostAnswers: 0.2})
		var at []time.Time
		waiting := map[int]bool{}
		var holders []*order.Weights
		for i := range 10 {
			holders = append(holders, order.NewWeights(stand.NewMemory(kv), fmt.Sprintf("entry-%d", i), 6))
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

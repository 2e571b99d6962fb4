package steer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// declareConnections puts a configuration into force whose replicas accept the number of connections.
func (in *instance) declareConnections(version int64, engines, plain int) {
	in.reduce(steer.Configured{Routing: &decl.Routing{Version: version, Services: map[string]decl.Pool{
		"lyric": {Engine: &figures, Connections: engines}, "board": {Connections: plain},
	}}})
}

// boundOf returns how many idle connections the instance may keep to the replica.
func (in *instance) boundOf(replica steer.Replica) steer.ConnectionBound {
	in.t.Helper()
	effects := in.reduce(steer.Sending{Targets: []steer.Target{{Replica: replica, Kind: notice.First}}})
	return find[steer.Verdict](in.t, effects).Connections
}

func TestIdleConnectionsOfAllInstancesStayBelowTheBound(t *testing.T) {
	// Each of many instances keeps a connection to each replica. Together they may not keep more than a replica accepts, less what its
	// requests need: it resets the connections beyond, on which requests may run already.
	cases := map[string]struct{ instances, engines, connections int }{
		"few":                           {6, 6, 100},
		"more than connections":         {300, 224, 100},
		"as many as connections":        {100, 60, 100},
		"80, subsets in domains":        {80, 78, 128},
		"116":                           {116, 60, 64},
		"fewer connections than slots":  {6, 6, 8},
		"one connection":                {6, 6, 1},
		"replicas in subsets by hashes": {20, 128, 64},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			list := fleetReplicas(tc.engines, fleetDomains)
			var all []steer.Instance
			for i := range tc.instances {
				all = append(all, steer.Instance{Name: fmt.Sprint("instance-", i), FailureDomain: fleetDomains[i%3]})
			}
			sums := map[string]int{}
			for i, self := range all {
				in := &instance{t: t, now: start, st: steer.New(steer.Options{Name: self.Name, FailureDomain: self.FailureDomain, Run: 1, Seed: 1, Budget: usualBudget})}
				in.declareConnections(1, tc.connections, tc.connections)
				in.reduce(steer.Peered{Instances: append(append([]steer.Instance{}, all[:i]...), all[i+1:]...), Listed: true})
				in.reduce(steer.Listed{Replicas: list})
				for _, replica := range list {
					bound := in.boundOf(replica)
					assert.Assert(t, bound.Bounded)
					sums[replica.Name] += bound.MaxIdle
				}
			}
			for _, replica := range list {
				room := tc.connections - replica.Slots - 2
				assert.Assert(t, sums[replica.Name] <= max(0, room), "%s: %d", replica.Name, sums[replica.Name])
				if room > tc.connections/2 {
					assert.Assert(t, sums[replica.Name] >= room/2, "%s: only %d of %d", replica.Name, sums[replica.Name], room)
				}
			}
		})
	}
}

func TestPartOfTheConnectionsFollowsTheInstances(t *testing.T) {
	// The part shrinks at once when instances are added, and when one is gone it grows only once that one has certainly closed its
	// connections: it may just be cut off from the store.
	in := newInstance(t, "one", 6)
	in.declareConnections(2, 100, 100)
	replica := replicas(6)[0]
	alone := in.boundOf(replica).MaxIdle
	others := []steer.Instance{{Name: "two", FailureDomain: "a"}, {Name: "three", FailureDomain: "a"}, {Name: "four", FailureDomain: "a"}}
	in.reduce(steer.Peered{Instances: others, Listed: true})
	shared := in.boundOf(replica).MaxIdle
	assert.Assert(t, shared < alone, "%d of %d", shared, alone)
	in.reduce(steer.Peered{Listed: true})
	assert.Assert(t, in.boundOf(replica).MaxIdle <= shared)
	in.now = in.now.Add(time.Minute)
	assert.Equal(t, in.boundOf(replica).MaxIdle, alone)
}

func TestServiceWithoutDeclaredConnectionsHasNoBound(t *testing.T) {
	in := newInstance(t, "one", 6)
	assert.Equal(t, in.boundOf(replicas(6)[0]), steer.ConnectionBound{})
	in.declareConnections(2, 100, 0)
	assert.Assert(t, in.boundOf(replicas(6)[0]).Bounded)
	assert.Assert(t, !in.boundOf(replicas(6)[6]).Bounded)
}

func TestIdleConnectionDecidesBetweenEqualReplicas(t *testing.T) {
	// Without the preference each instance sends its few requests to all replicas in turn, and each finds its idle connection closed by
	// then. The replica must not be preferred over one that is less busy, nor where the service declares no number of connections.
	cases := map[string]struct {
		connections int
		route       *decl.Route
		address     string
		preferred   string
		// busy is the number of requests at the replica already.
		busy int
		// minHits and maxHits bound how many of 20 instances choose the preferred replica.
		minHits, maxHits int
	}{
		"engine":               {100, &short, "a3", "lyric-3", 0, 11, 20},
		"plain":                {100, &lookup, "b1", "board-1", 0, 20, 20},
		"nothing declared":     {0, &short, "a3", "lyric-3", 0, 0, 8},
		"plain, not declared":  {0, &lookup, "b1", "board-1", 0, 1, 17},
		"busy plain replica":   {100, &lookup, "b1", "board-1", 1, 0, 0},
		"no idle connection":   {100, &short, "", "lyric-3", 0, 0, 8},
		"plain, no connection": {100, &lookup, "", "board-1", 0, 1, 17},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			hits := 0
			for seed := range 20 {
				in := newInstance(t, fmt.Sprint("instance-", seed), 6)
				in.st = steer.New(steer.Options{Name: "one", FailureDomain: "a", Run: 1, Seed: uint64(seed) + 1, Budget: usualBudget})
				in.declareConnections(2, tc.connections, tc.connections)
				in.reduce(steer.Listed{Replicas: replicas(6)})
				for range tc.busy {
					// This request goes to the replica with the idle connection.
					in.reduce(steer.IdleConnections{Changed: map[string]bool{tc.address: true}})
					in.arrive(tc.route, 0)
				}
				if tc.address != "" {
					in.reduce(steer.IdleConnections{Changed: map[string]bool{tc.address: true}})
				}
				if find[steer.Send](t, in.arrive(tc.route, 5000)).Replica.Name == tc.preferred {
					hits++
				}
			}
			assert.Assert(t, hits >= tc.minHits && hits <= tc.maxHits, "%d", hits)
		})
	}
}

func TestLostIdleConnectionIsNotPreferred(t *testing.T) {
	in := newInstance(t, "one", 0)
	in.declareConnections(2, 100, 100)
	in.reduce(steer.IdleConnections{Changed: map[string]bool{"b0": true}})
	in.reduce(steer.IdleConnections{Changed: map[string]bool{"b0": false, "b1": true}})
	for range 5 {
		sent := find[steer.Send](t, in.arrive(&lookup, 0))
		assert.Equal(t, sent.Replica.Name, "board-1")
		in.reduce(steer.AttemptEnded{ID: sent.ID, Attempt: sent.Attempt, Result: steer.ResultDone})
	}
}

func TestRequestsBeyondTheConnectionsWait(t *testing.T) {
	// A replica with more slots than connections resets what is beyond them. The requests that no replica has a connection for wait.
	in := newInstance(t, "one", 0)
	in.declareConnections(2, 100, 3)
	sent := map[string]int{}
	for range 12 {
		for _, eff := range in.arrive(&lookup, 0) {
			if send, ok := eff.(steer.Send); ok {
				sent[send.Replica.Name]++
			}
		}
	}
	assert.DeepEqual(t, sent, map[string]int{"board-0": 3, "board-1": 3})
	assert.Equal(t, in.st.Waiting(), 6)
}

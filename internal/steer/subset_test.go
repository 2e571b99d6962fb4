package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

var cellStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// dealt returns an instance of a fleet of so many that knows so many engines.
func dealt(name string, instances, engines int) *State {
	st := New(Options{Name: name, Seed: 1})
	st.Reduce(cellStart, Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &decl.Engine{
		Slots: 16, Memory: 315_000, Step: 0.85, ReadRate: 177, PairCost: 0.184, Chunk: 2048, Stride: 51, Helpers: 16,
	}}}}})
	var names []string
	for i := range instances {
		if other := fmt.Sprint("instance-", i); other != name {
			names = append(names, other)
		}
	}
	st.Reduce(cellStart, Peered{Names: names})
	var list []Replica
	for i := range engines {
		list = append(list, Replica{Name: fmt.Sprint("engine-", i), Service: "lyric", Slots: 16})
	}
	st.Reduce(cellStart, Listed{Replicas: list})
	return st
}

func TestWorkOfADecisionIsBounded(t *testing.T) {
	// The fleet grows, and with it what an instance weighs and whom it tells. Both must stay at what a few cells hold, or the
	// notes of all take the time of all.
	cases := map[string]struct{ instances, engines, weighed, told int }{
		"a small fleet is one cell": {6, 14, 14, 5},
		"sixty instances":           {60, 45, 45, 59},
		"three hundred instances":   {300, 2250, 128, 30},
		"few before many":           {9, 2000, 2000, 8},
		"one model of the aim":      {430, 300, 128, 210},
		"a single large pool":       {430, 12_000, 420, 30},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := dealt("instance-0", tc.instances, tc.engines)
			svc := st.services["lyric"]
			weighed := len(st.candidates(svc))
			told := tc.instances - 1
			if names := st.neighbours(svc); names != nil {
				told = len(names)
			}
			assert.Assert(t, weighed <= tc.weighed && weighed >= min(tc.engines, 3*cellSize/2), weighed)
			assert.Assert(t, told <= tc.told, told)
		})
	}
}

func TestWhoUsesAReplicaHearsOfIt(t *testing.T) {
	// Two instances use the same engine. Each must be among those whom the other tells, or both take its slots for free.
	const instances, engines = 60, 1200
	sts := map[string]*State{}
	for i := range instances {
		name := fmt.Sprint("instance-", i)
		sts[name] = dealt(name, instances, engines)
	}
	users := map[string][]string{}
	for name, st := range sts {
		for _, rep := range st.candidates(st.services["lyric"]) {
			users[rep.Name] = append(users[rep.Name], name)
		}
	}
	unused := engines - len(users)
	assert.Assert(t, unused <= engines/10, "%d engines are used by nobody", unused)
	for _, names := range users {
		for _, one := range names {
			for _, two := range names {
				assert.Assert(t, one == two || slices.Contains(sts[one].neighbours(sts[one].services["lyric"]), two))
			}
		}
	}
}

func TestLossOfACellIsNoLossOfService(t *testing.T) {
	// Nearly all replicas of an instance's cells fail, as with a failure domain. It serves with others.
	st := dealt("instance-0", 300, 2250)
	svc := st.services["lyric"]
	for _, rep := range st.candidates(svc) {
		rep.downUntil = cellStart.Add(time.Second)
	}
	assert.Equal(t, len(st.candidates(svc)), 2250)
	st.now = cellStart.Add(2 * time.Second)
	assert.Assert(t, len(st.candidates(svc)) < 200)
}

func TestAllJobsAreToldHoweverMany(t *testing.T) {
	// An instance has more requests under way than one datagram holds. One that was not told again would count as over at
	// the others, who would give its slots away.
	one, two := dealt("instance-0", 2, 20), dealt("instance-1", 2, 20)
	route := decl.Route{Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Stream: true, Timeout: decl.Duration(10 * time.Second), Goal: decl.Duration(time.Second), Attempts: 1}
	for id := range 130 {
		one.Reduce(cellStart, Arrived{ID: RequestID(id), Route: &route, Prompt: 100, Answer: 10, Deadline: cellStart.Add(10 * time.Second), Patience: cellStart.Add(10 * time.Second)})
	}
	for range 2 {
		for _, eff := range slices.Clone(one.Reduce(cellStart, Summarized{})) {
			nt := eff.(Tell).Note
			assert.Assert(t, len(nt.Jobs) <= summaryJobs)
			two.Reduce(cellStart, Heard{Note: nt})
		}
		assert.Equal(t, len(two.peers["instance-0"].jobs), 130)
	}
	one.callerGone(CallerGone{ID: 5})
	one.Reduce(cellStart, AttemptEnded{ID: 5, Attempt: 1, Result: ResultCancelled})
	two.Reduce(cellStart, Heard{Note: one.Reduce(cellStart, Summarized{})[0].(Tell).Note})
	assert.Equal(t, len(two.peers["instance-0"].jobs), 129)
}

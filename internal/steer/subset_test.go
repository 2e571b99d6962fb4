package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

var fleetStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is so many instances and engines, dealt over failure domains in turn.
type fleet struct{ instances, engines, domains int }

func (fl fleet) domainOf(index int) string { return fmt.Sprint("domain-", index%max(1, fl.domains)) }

// instance returns the instance of the number, which knows all others and all engines.
func (fl fleet) instance(index int) *State {
	st := New(Options{Name: fmt.Sprint("instance-", index), FailureDomain: fl.domainOf(index), Seed: 1})
	st.Reduce(fleetStart, Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &decl.Engine{
		Slots: 16, Memory: 315_000, Step: 0.85, ReadRate: 177, PairCost: 0.184, Chunk: 2048, Stride: 51, Helpers: 16,
	}}, "board": {}}}})
	var others []Instance
	for i := range fl.instances {
		if i != index {
			others = append(others, Instance{Name: fmt.Sprint("instance-", i), FailureDomain: fl.domainOf(i)})
		}
	}
	st.Reduce(fleetStart, Peered{Instances: others})
	list := []Replica{{Name: "board-0", Service: "board", FailureDomain: fl.domainOf(0), Slots: 6}}
	for i := range fl.engines {
		list = append(list, Replica{Name: fmt.Sprint("engine-", i), Service: "lyric", FailureDomain: fl.domainOf(i), Slots: 16})
	}
	st.Reduce(fleetStart, Listed{Replicas: list})
	return st
}

func TestWorkOfADecisionIsBounded(t *testing.T) {
	// The fleet grows, and with it what an instance weighs and whom it tells. Both must stay at what a subset holds, or the
	// messages of all take the time of all.
	cases := map[string]struct {
		fleet
		weighed, told int
	}{
		"a small fleet is not split": {fleet{6, 14, 3}, 14, 5},
		"sixty instances":            {fleet{60, 45, 3}, 45, 59},
		"two hundred instances":      {fleet{195, 112, 5}, 23, 38},
		"without failure domains":    {fleet{195, 112, 1}, 40, 70},
		"three hundred instances":    {fleet{300, 2250, 5}, 140, 20},
		"few before many":            {fleet{9, 2000, 3}, 2000, 8},
		"one model of the aim":       {fleet{430, 300, 7}, 31, 45},
		"a single large pool":        {fleet{430, 12_000, 7}, 500, 25},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := tc.instance(0)
			svc := st.services["lyric"]
			weighed := len(st.candidates(svc))
			told := tc.instances - 1
			if names := st.users(st.ownSubset(svc)); names != nil {
				told = len(names)
			}
			assert.Assert(t, weighed <= tc.weighed && weighed >= min(tc.engines, subsetSize/2), weighed)
			assert.Assert(t, told <= tc.told, told)
		})
	}
}

func TestWhoUsesAReplicaHearsOfIt(t *testing.T) {
	// Two instances use the same engine. Each must be among those whom the other tells, or both take its slots for free. And
	// no engine may be left without users.
	cases := map[string]fleet{
		"by failure domains":                {60, 1200, 3},
		"without failure domains":           {60, 1200, 1},
		"more failure domains than suffice": {60, 200, 20},
	}
	for name, fl := range cases {
		t.Run(name, func(t *testing.T) {
			sts := map[string]*State{}
			users := map[string][]string{}
			for i := range fl.instances {
				st := fl.instance(i)
				sts[st.Options.Name] = st
				for _, rep := range st.candidates(st.services["lyric"]) {
					users[rep.Name] = append(users[rep.Name], st.Options.Name)
				}
			}
			assert.Equal(t, len(users), fl.engines)
			for rep, names := range users {
				told := sts[names[0]].users(sts[names[0]].audience(sts[names[0]].replicas[rep]))
				for _, other := range names[1:] {
					assert.Assert(t, told == nil || slices.Contains(told, other))
				}
			}
		})
	}
}

func TestSubsetsLieWithinAFailureDomain(t *testing.T) {
	// What passes between failure domains is paid for, the messages on load most of all. Where each domain has enough of
	// its own, its instances use and tell nobody else.
	st := fleet{195, 112, 5}.instance(7)
	for _, rep := range st.candidates(st.services["lyric"]) {
		assert.Equal(t, rep.FailureDomain, st.Options.FailureDomain)
	}
	for _, name := range st.users(st.audience(st.replicas["board-0"])) {
		at := slices.IndexFunc(st.others, func(inst Instance) bool { return inst.Name == name })
		assert.Equal(t, st.others[at].FailureDomain, st.Options.FailureDomain)
	}
}

func TestLossOfASubsetIsNoLossOfService(t *testing.T) {
	// Nearly all replicas of an instance's subset fail, as with a failure domain. It serves with others, and those that use
	// these hear of it.
	st := fleet{300, 2250, 3}.instance(0)
	svc := st.services["lyric"]
	for _, rep := range st.candidates(svc) {
		rep.downUntil = fleetStart.Add(time.Second)
	}
	assert.Equal(t, len(st.candidates(svc)), 2250)
	far := st.replicas["engine-1"]
	told := st.users(st.audience(far))
	assert.Assert(t, len(told) >= subsetUsers)
	for _, name := range told {
		at := slices.IndexFunc(st.others, func(inst Instance) bool { return inst.Name == name })
		assert.Equal(t, st.others[at].FailureDomain, far.FailureDomain)
	}
	st.now = fleetStart.Add(2 * time.Second)
	assert.Assert(t, len(st.candidates(svc)) < 300)
}

func TestAllJobsAreToldHoweverMany(t *testing.T) {
	// An instance has more requests under way than one datagram holds. One that was not told again would count as over at
	// the others, who would give its slots away.
	one, two := fleet{2, 20, 1}.instance(0), fleet{2, 20, 1}.instance(1)
	route := decl.Route{Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Stream: true, Timeout: decl.Duration(10 * time.Second), Goal: decl.Duration(time.Second), Attempts: 1}
	for id := range 130 {
		one.Reduce(fleetStart, Arrived{ID: RequestID(id), Route: &route, Prompt: 100, Answer: 10, Deadline: fleetStart.Add(10 * time.Second), Patience: fleetStart.Add(10 * time.Second)})
	}
	for range 2 {
		for _, eff := range slices.Clone(one.Reduce(fleetStart, Summarized{})) {
			if eff, ok := eff.(Tell); ok {
				assert.Assert(t, len(eff.Note.Jobs) <= summaryJobs)
				two.Reduce(fleetStart, Heard{Note: eff.Note})
			}
		}
		assert.Equal(t, len(two.peers["instance-0"].jobs), 130)
	}
	one.callerGone(CallerGone{ID: 5})
	one.Reduce(fleetStart, AttemptEnded{ID: 5, Attempt: 1, Result: ResultCancelled})
	two.Reduce(fleetStart, Heard{Note: one.Reduce(fleetStart, Summarized{})[0].(Tell).Note})
	assert.Equal(t, len(two.peers["instance-0"].jobs), 129)
}

func TestRefusalOfWhatIsPartlyKnownSaysNothing(t *testing.T) {
	// In a large fleet calls of a plain service are told within failure domains only. A replica that is full refuses, and looks
	// as if it had room. Avoided for that, one after the other would be out of use, just when there is most to do.
	for name, tc := range map[string]struct {
		instances int
		avoided   bool
	}{"large": {195, false}, "small": {6, true}} {
		t.Run(name, func(t *testing.T) {
			st := fleet{tc.instances, 20, 5}.instance(0)
			route := decl.Route{Name: "read", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RepeatsAny, Timeout: decl.Duration(time.Second), Goal: decl.Duration(time.Second), Attempts: 2}
			st.Reduce(fleetStart, Arrived{ID: 1, Route: &route, Deadline: fleetStart.Add(time.Second), Patience: fleetStart.Add(time.Second)})
			st.Reduce(fleetStart, AttemptEnded{ID: 1, Attempt: 1, Result: ResultNotRun})
			assert.Equal(t, !st.replicas["board-0"].usable(fleetStart), tc.avoided)
		})
	}
}

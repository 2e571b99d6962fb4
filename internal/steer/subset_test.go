package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

var fleetStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet describes a number of instances and engines, distributed over failure domains in turn.
type fleet struct{ instances, engines, domains int }

func (fl fleet) domainOf(index int) string { return fmt.Sprint("domain-", index%max(1, fl.domains)) }

// instance returns the state of the instance with the index, which knows all other instances and all engines.
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
	st.Reduce(fleetStart, Peered{Instances: others, Listed: true})
	list := []Replica{{Name: "board-0", Service: "board", FailureDomain: fl.domainOf(0), Slots: 6}}
	for i := range fl.engines {
		list = append(list, Replica{Name: fmt.Sprint("engine-", i), Service: "lyric", FailureDomain: fl.domainOf(i), Slots: 16})
	}
	st.Reduce(fleetStart, Listed{Replicas: list})
	return st
}

func TestSubsetsBoundCandidatesAndAudience(t *testing.T) {
	// The replicas that an instance considers and the instances that it notifies must not grow with the fleet beyond a
	// subset. Otherwise the instances would spend their time on each other's notes.
	cases := map[string]struct {
		fleet
		candidates, audience int
	}{
		"small fleet, not split":        {fleet{6, 14, 3}, 14, 5},
		"60 instances":                  {fleet{60, 45, 3}, 45, 59},
		"116 instances, few engines":    {fleet{116, 60, 3}, 20, 38},
		"195 instances":                 {fleet{195, 112, 5}, 23, 38},
		"one failure domain":            {fleet{195, 112, 1}, 40, 70},
		"300 instances":                 {fleet{300, 2250, 5}, 140, 20},
		"few instances, many engines":   {fleet{9, 2000, 3}, 2000, 8},
		"one model of the target fleet": {fleet{430, 300, 7}, 31, 45},
		"one pool of 12000 engines":     {fleet{430, 12_000, 7}, 500, 25},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			st := tc.instance(0)
			svc := st.services["lyric"]
			considered := len(st.candidates(svc))
			notified := tc.instances - 1
			if names := st.usersUnlessAll(st.ownSubset(svc)); names != nil {
				notified = len(names)
			}
			assert.Assert(t, considered <= tc.candidates && considered >= min(tc.engines, minSubsetReplicas/2), considered)
			assert.Assert(t, notified <= tc.audience, notified)
		})
	}
}

func TestUsersOfReplicaNotifyEachOther(t *testing.T) {
	// Two instances use the same engine. Each must receive the other's notes about it, or both would count its slots as
	// free. No engine may be left without users.
	cases := map[string]fleet{
		"split by failure domain":            {60, 1200, 3},
		"one failure domain":                 {60, 1200, 1},
		"failure domains too small to split": {60, 200, 20},
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
				notified := sts[names[0]].usersUnlessAll(sts[names[0]].audience(sts[names[0]].replicas[rep]))
				for _, other := range names[1:] {
					assert.Assert(t, notified == nil || slices.Contains(notified, other))
				}
			}
		})
	}
}

func TestSubsetsStayWithinFailureDomain(t *testing.T) {
	// Traffic between failure domains is charged for, and notes on load are the largest part of it. Where each domain has
	// enough replicas and instances, its instances must use and notify only those of their own domain.
	st := fleet{195, 112, 5}.instance(7)
	for _, rep := range st.candidates(st.services["lyric"]) {
		assert.Equal(t, rep.FailureDomain, st.Options.FailureDomain)
	}
	for _, name := range st.usersUnlessAll(st.audience(st.replicas["board-0"])) {
		at := slices.IndexFunc(st.others, func(inst Instance) bool { return inst.Name == name })
		assert.Equal(t, st.others[at].FailureDomain, st.Options.FailureDomain)
	}
}

func TestLostSubsetFallsBackToAllReplicas(t *testing.T) {
	// Nearly all replicas of an instance's subset fail, as in the loss of a failure domain. The instance must use replicas
	// of other subsets, and the users of these must receive its notes.
	st := fleet{300, 2250, 3}.instance(0)
	svc := st.services["lyric"]
	for _, rep := range st.candidates(svc) {
		rep.failed(fleetStart, notice.Failing, "")
	}
	assert.Equal(t, len(st.candidates(svc)), 2250)
	far := st.replicas["engine-1"]
	notified := st.usersUnlessAll(st.audience(far))
	assert.Assert(t, len(notified) >= minSubsetInstances)
	for _, name := range notified {
		at := slices.IndexFunc(st.others, func(inst Instance) bool { return inst.Name == name })
		assert.Equal(t, st.others[at].FailureDomain, far.FailureDomain)
	}
	st.now = fleetStart.Add(2 * time.Second)
	assert.Assert(t, len(st.candidates(svc)) < 300)
}

func TestSummaryCoversAllJobs(t *testing.T) {
	// An instance has more open requests than one datagram holds. The others would treat a request that a summary leaves out
	// as ended, and would use its slots for other requests.
	sender, receiver := fleet{2, 20, 1}.instance(0), fleet{2, 20, 1}.instance(1)
	route := decl.Route{Name: "short", Shares: []decl.Share{{Service: "lyric", Weight: 1}}, Stream: true, Timeout: decl.Duration(10 * time.Second), Goal: decl.Duration(time.Second), Attempts: 1}
	for id := range 130 {
		sender.Reduce(fleetStart, Arrived{ID: RequestID(id), Route: &route, Prompt: 100, Answer: 10, Deadline: fleetStart.Add(10 * time.Second), LeavesAt: fleetStart.Add(10 * time.Second)})
	}
	for range 2 {
		for _, eff := range slices.Clone(sender.Reduce(fleetStart, Summarized{})) {
			if eff, ok := eff.(SendNote); ok {
				assert.Assert(t, len(eff.Note.Jobs) <= maxSummaryJobs)
				receiver.Reduce(fleetStart, NoteReceived{Note: eff.Note})
			}
		}
		assert.Equal(t, len(receiver.peers["instance-0"].jobs), 130)
	}
	sender.callerGone(CallerGone{ID: 5})
	sender.Reduce(fleetStart, AttemptEnded{ID: 5, Attempt: 1, Result: ResultCancelled})
	receiver.Reduce(fleetStart, NoteReceived{Note: sender.Reduce(fleetStart, Summarized{})[0].(SendNote).Note})
	assert.Equal(t, len(receiver.peers["instance-0"].jobs), 129)
}

func TestRefusalIsIgnoredWhereLoadIsPartlyKnown(t *testing.T) {
	// In a large fleet, notes about calls to a plain service stay within failure domains. A full replica that refuses a call
	// then looks as if it had capacity. If it were avoided for the refusal, one replica after the other would drop out of
	// use under the highest load.
	for name, tc := range map[string]struct {
		instances int
		avoided   bool
	}{"large": {195, false}, "small": {6, true}} {
		t.Run(name, func(t *testing.T) {
			st := fleet{tc.instances, 20, 5}.instance(0)
			route := decl.Route{Name: "read", Shares: []decl.Share{{Service: "board", Weight: 1}}, Repeats: decl.RetryAny, Timeout: decl.Duration(time.Second), Goal: decl.Duration(time.Second), Attempts: 2}
			st.Reduce(fleetStart, Arrived{ID: 1, Route: &route, Deadline: fleetStart.Add(time.Second), LeavesAt: fleetStart.Add(time.Second)})
			st.Reduce(fleetStart, AttemptEnded{ID: 1, Attempt: 1, Result: ResultNotRun, Proof: norun.Refused})
			assert.Equal(t, !st.replicas["board-0"].usable(fleetStart), tc.avoided)
		})
	}
}

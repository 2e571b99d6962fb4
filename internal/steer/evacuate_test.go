package steer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// domainReplicas returns the given number of engines and one plain replica in each of the failure domains.
func domainReplicas(engines int, domains ...string) []steer.Replica {
	var list []steer.Replica
	for _, domain := range domains {
		for i := range engines {
			list = append(list, steer.Replica{Name: fmt.Sprint("lyric-", domain, i), Born: 1, Service: "lyric", Address: fmt.Sprint(domain, i), FailureDomain: domain, Slots: 16})
		}
		list = append(list, steer.Replica{Name: "board-" + domain, Born: 1, Service: "board", Address: "b" + domain, FailureDomain: domain, Slots: 6})
	}
	return list
}

// newDomainInstance returns an instance in failure domain "a" that knows another one and two engines and a plain replica in each failure domain.
func newDomainInstance(t *testing.T, domains ...string) *instance {
	in := newInstance(t, "one", 0)
	in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "b"}}, Listed: true})
	in.reduce(steer.Listed{Replicas: domainReplicas(2, domains...)})
	return in
}

// evacuate puts the set of evacuated failure domains in force.
func (in *instance) evacuate(domains ...string) []steer.Effect {
	return in.reduce(steer.Evacuated{FailureDomains: domains, At: posit.Position{Revision: 9}})
}

// domainsUsed sends the given number of requests, ends each, and returns the failure domains whose replicas they reached.
func (in *instance) domainsUsed(route *decl.Route, count int) map[string]int {
	in.t.Helper()
	used := map[string]int{}
	for range count {
		sent := in.waitForSend(time.Second, in.arrive(route, prompt(route)))
		used[sent.Replica.FailureDomain]++
		for _, helper := range sent.Helpers {
			used[helper.FailureDomain]++
		}
		in.end(sent, steer.ResultDone)
	}
	return used
}

func TestEvacuatedReplicasGetNothingNew(t *testing.T) {
	// The operators empty a failure domain, the instance's own. Nothing may be placed there, in whatever order lists and evacuations
	// arrive; replicas that register there later are evacuated, too.
	list := domainReplicas(2, "a", "b", "c")
	late := append(slices.Clone(list), steer.Replica{Name: "lyric-a9", Born: 1, Service: "lyric", Address: "a9", FailureDomain: "a", Slots: 16})
	cases := map[string][]steer.Event{
		"listed before":                 {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a"}}},
		"listed after":                  {steer.Evacuated{FailureDomains: []string{"a"}}, steer.Listed{Replicas: list}},
		"one joins":                     {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a"}}, steer.ListChanged{Replicas: late[len(list):]}},
		"one starts again":              {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a"}}, steer.ListChanged{Replicas: []steer.Replica{{Name: "lyric-a0", Born: 2, Service: "lyric", Address: "a0", FailureDomain: "a", Slots: 16}}}},
		"all leave the list and return": {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a"}}, steer.Listed{Replicas: list[3:]}, steer.Listed{Replicas: late}},
		"one is moved there":            {steer.Evacuated{FailureDomains: []string{"a"}}, steer.Listed{Replicas: []steer.Replica{{Name: "lyric-a0", Born: 1, Service: "lyric", Address: "a0", FailureDomain: "b", Slots: 16}}}, steer.Listed{Replicas: list}},
		"written again within a second": {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a"}}, steer.Evacuated{}, steer.Evacuated{FailureDomains: []string{"a"}}},
		"another joins and ends":        {steer.Listed{Replicas: list}, steer.Evacuated{FailureDomains: []string{"a", "c"}}, steer.Evacuated{FailureDomains: []string{"a"}}},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			in := newInstance(t, "one", 0)
			for _, ev := range events {
				in.reduce(ev)
			}
			for _, route := range []*decl.Route{&short, &long, &update, &lookup} {
				used := in.domainsUsed(route, 20)
				assert.Equal(t, used["a"], 0, "%s: %v", route.Name, used)
				assert.Assert(t, used["b"] > 0 && used["c"] > 0, "%s: %v", route.Name, used)
			}
			assert.Assert(t, in.st.Usable(), "the instance must stay ready")
			in.evacuate()
			assert.Assert(t, in.domainsUsed(&short, 20)["a"] > 0)
		})
	}
}

func TestWhatWaitsForEvacuatedReplicasIsPlacedAnew(t *testing.T) {
	// Requests have a claim on the last slot of an evacuated replica, a grant for a send to it, or are about to be sent. They go
	// elsewhere at once, with the time that they have, and as first attempts.
	elsewhere := func(t *testing.T, in *instance, effects []steer.Effect) {
		t.Helper()
		arrived := in.now
		sent := in.waitForSend(100*time.Millisecond, effects)
		assert.Equal(t, sent.Replica.FailureDomain, "b")
		assert.Equal(t, sent.Kind, notice.First)
		assert.Assert(t, sent.Deadline.Sub(arrived) <= short.Timeout.Std())
	}
	one := func(t *testing.T, slots int) *instance {
		in := newInstance(t, "one", 0)
		in.reduce(steer.Peered{Instances: []steer.Instance{{Name: "two", FailureDomain: "a"}}, Listed: true})
		list := domainReplicas(1, "a")
		list[0].Slots = slots
		in.reduce(steer.Listed{Replicas: list})
		return in
	}
	addOther := func(in *instance) { in.reduce(steer.ListChanged{Replicas: domainReplicas(1, "b")}) }
	t.Run("claim", func(t *testing.T) {
		in := one(t, 1)
		none[steer.Send](t, in.arrive(&short, 5000))
		assert.DeepEqual(t, in.claimedReplicas(), []string{"lyric-a0"})
		addOther(in)
		elsewhere(t, in, in.evacuate("a"))
	})
	t.Run("granted", func(t *testing.T) {
		in := one(t, 16)
		in.announce("lyric-a0", notice.Announced{Limited: true, PerS: 2})
		none[steer.Send](t, in.arrive(&short, 5000))
		addOther(in)
		elsewhere(t, in, in.evacuate("a"))
	})
	t.Run("about to be sent", func(t *testing.T) {
		in := one(t, 16)
		sent := find[steer.Send](t, in.arrive(&short, 5000))
		addOther(in)
		in.evacuate("a")
		assert.Equal(t, in.verdict(sent.Replica.Name, sent.Kind, false).HeldBy, notice.Evacuated)
		elsewhere(t, in, in.end(sent, steer.ResultHeld))
	})
	t.Run("waits for its connection", func(t *testing.T) {
		in := one(t, 16)
		sent := find[steer.Send](t, in.arrive(&short, 5000))
		target := steer.Target{Replica: sent.Replica, Kind: sent.Kind}
		assert.Assert(t, !find[steer.Verdict](t, in.reduce(steer.Sending{ID: sent.ID, Targets: []steer.Target{target}})).Held())
		in.evacuate("a")
		vd := find[steer.Verdict](t, in.reduce(steer.Sending{ID: sent.ID, Targets: []steer.Target{target}, Repeated: true}))
		assert.Equal(t, vd.HeldBy, notice.Evacuated)
	})
}

func TestRunningStreamsOutliveEvacuation(t *testing.T) {
	// A stream runs at a replica whose failure domain is evacuated. It must go on, and its reservations be renewed and released.
	in := newDomainInstance(t, "a", "b")
	in.evacuate("b")
	sent := in.waitForSend(time.Second, in.arrive(&short, 5000))
	in.reduce(steer.Began{ID: sent.ID, Attempt: sent.Attempt})
	none[steer.Abort](t, in.evacuate("a"))
	none[steer.Abort](t, in.advance(time.Second))
	for _, kind := range []notice.Kind{notice.Renewal, notice.Release} {
		assert.Assert(t, !in.verdict(sent.Replica.Name, kind, false).Held())
	}
	fin := find[steer.Finish](t, in.end(sent, steer.ResultDone))
	assert.Assert(t, fin.Refusal == nil)
}

func TestRequestIsRefusedAtOnceIfAllAreEvacuated(t *testing.T) {
	// All failure domains with replicas of a service are evacuated, or the other replicas leave. Callers must be refused at once, with
	// a statement that nothing ran and a time to retry at, and nothing may be sent.
	cases := map[string]func(in *instance){
		"all evacuated":         func(in *instance) { in.evacuate("a", "b") },
		"evacuated by turns":    func(in *instance) { in.evacuate("b"); in.evacuate("a", "b") },
		"the others leave":      func(in *instance) { in.evacuate("a"); leave(in, "lyric-b0", "lyric-b1", "board-b") },
		"the others are gone":   func(in *instance) { in.evacuate("a"); in.reduce(steer.Listed{Replicas: domainReplicas(2, "a")}) },
		"with an unused domain": func(in *instance) { in.evacuate("a", "b", "nowhere") },
		"one is listed while all is": func(in *instance) {
			in.evacuate("a", "b")
			in.reduce(steer.Listed{Replicas: domainReplicas(3, "a", "b")})
		},
	}
	for name, empty := range cases {
		t.Run(name, func(t *testing.T) {
			in := newDomainInstance(t, "a", "b")
			empty(in)
			for _, route := range []*decl.Route{&short, &long, &update, &lookup} {
				times := map[time.Duration]bool{}
				for range 10 {
					effects := in.arrive(route, prompt(route))
					effects = append(effects, in.advance(10*time.Millisecond)...)
					none[steer.Send](t, effects)
					none[steer.ProbePaths](t, effects)
					ref := find[steer.Finish](t, effects).Refusal
					assert.Equal(t, ref.Reason, steer.ReasonEvacuated)
					assert.Assert(t, ref.NotRun && ref.RetryAfter >= time.Second, ref.RetryAfter)
					times[ref.RetryAfter] = true
				}
				assert.Assert(t, len(times) > 5)
			}
		})
	}
}

// leave has the replicas announce that they leave.
func leave(in *instance, names ...string) {
	for _, name := range names {
		in.announce(name, notice.Announced{Leaving: true})
	}
}

func TestWaitingRequestIsRefusedWhenAllAreEvacuated(t *testing.T) {
	// Requests wait for a busy replica when the last failure domain is evacuated. They must not wait for their deadline.
	in := newInstance(t, "one", 0)
	in.reduce(steer.Listed{Replicas: domainReplicas(1, "a")})
	for in.st.Waiting() == 0 {
		none[steer.Finish](t, in.arrive(&update, 0))
	}
	fin := find[steer.Finish](t, in.evacuate("a"))
	assert.Equal(t, fin.Refusal.Reason, steer.ReasonEvacuated)
	assert.Assert(t, fin.Refusal.NotRun)
}

func TestEvacuatedReplicasSayNothingOfPaths(t *testing.T) {
	// The operators switch an evacuated failure domain off. The instance must not conclude that it has lost its path, must not probe there,
	// and must not take a replica there as a witness.
	in := newDomainInstance(t, "a", "b")
	in.evacuate("b")
	for range 3 {
		for _, name := range []string{"lyric-b0", "lyric-b1", "board-b"} {
			none[steer.ProbePaths](t, in.reduce(steer.PathObserved{Replica: name}))
		}
		in.advance(200 * time.Millisecond)
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
	witness, ok := in.st.Witness("lyric-a0")
	assert.Assert(t, ok && witness.Name == "lyric-a1")
	_, ok = in.st.Witness("board-a")
	assert.Assert(t, !ok)
	for _, name := range []string{"lyric-a0", "lyric-a1"} {
		for _, eff := range in.reduce(steer.PathObserved{Replica: name}) {
			if probes, ok := eff.(steer.ProbePaths); ok {
				for _, rep := range probes.Replicas {
					assert.Equal(t, rep.FailureDomain, "a")
				}
			}
		}
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 1, "failures of what remains count")
}

func TestConnectionsToEvacuatedReplicasAreNoEvidence(t *testing.T) {
	// A connection for the release of a reservation reaches an evacuated replica, or an attempt that was decided before fails there. Neither
	// says anything of the replicas that remain.
	t.Run("reached", func(t *testing.T) {
		in := newDomainInstance(t, "a", "b")
		in.evacuate("b")
		in.reduce(steer.PathObserved{Replica: "lyric-a0"})
		in.reduce(steer.PathObserved{Replica: "lyric-b0", Reached: true})
		in.reduce(steer.PathObserved{Replica: "lyric-a1"})
		assert.Equal(t, len(in.st.LostPaths(in.now)), 1)
	})
	t.Run("attempts fail", func(t *testing.T) {
		in := newDomainInstance(t, "a", "b")
		in.evacuate("a")
		var sent []steer.Send
		for range 6 {
			sent = append(sent, in.waitForSend(time.Second, in.arrive(&update, 0)))
		}
		in.evacuate("b")
		for _, eff := range sent {
			for _, eff := range in.end(eff, steer.ResultNotSent) {
				if note, ok := eff.(steer.SendNote); ok {
					assert.Equal(t, len(note.Note.Down), 0, "the others need not know")
				}
				_, probes := eff.(steer.ProbePaths)
				assert.Assert(t, !probes)
			}
		}
		assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
	})
}

func TestNothingIsPassedOnToEvacuatedReplicas(t *testing.T) {
	// Another instance, which has lost its path and may not know of the evacuation yet, asks this one to pass messages on.
	in := newDomainInstance(t, "a", "b")
	in.evacuate("b")
	for kind := range notice.Kinds {
		target := steer.Target{Replica: steer.Replica{Name: "lyric-b0", Born: 1, Service: "lyric"}, Kind: kind}
		vd := find[steer.Verdict](t, in.reduce(steer.Sending{Targets: []steer.Target{target}, ForPeer: true}))
		passes := kind == notice.Renewal || kind == notice.Release
		assert.Equal(t, vd.Held(), !passes, kind.String())
	}
}

func TestPathLossEndsWithWhatRemains(t *testing.T) {
	// All replicas of a failure domain fail, which makes the path count as lost, and the operators evacuate it. The replicas that remain are
	// reached: the loss must end, or messages would take detours for as long as the evacuation lasts.
	in := newDomainInstance(t, "a", "b")
	// One of the other failure domain fails as well: without it, the path would not count as lost.
	for _, name := range []string{"lyric-b0", "lyric-b1", "lyric-a0"} {
		in.reduce(steer.PathObserved{Replica: name})
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 1)
	for _, name := range []string{"lyric-a0", "lyric-a1"} {
		in.reduce(steer.PathObserved{Replica: name, Reached: true})
	}
	assert.Equal(t, len(in.st.LostPaths(in.now)), 1)
	in.evacuate("b")
	assert.Equal(t, len(in.st.LostPaths(in.now)), 0)
}

func TestSummaryFollowsEvacuationAtOnce(t *testing.T) {
	// When the set changes, instances get new users of the replicas that they load. These must not wait for the next summary, and a set
	// that is reported again changes nothing.
	in := newDomainInstance(t, "a", "b", "c")
	in.waitForSend(time.Second, in.arrive(&short, 5000))
	jobs := func(effects []steer.Effect) (count int) {
		for _, eff := range effects {
			if note, ok := eff.(steer.SendNote); ok && note.Note.Full {
				count += len(note.Note.Jobs)
			}
		}
		return count
	}
	assert.Equal(t, jobs(in.evacuate("c")), 1)
	assert.Equal(t, len(in.evacuate("c")), 0)
	assert.Equal(t, jobs(in.evacuate()), 1)
}

func TestReturningReplicasCountAsCold(t *testing.T) {
	// The replicas of an evacuated failure domain got no requests, and may have been restarted. When the evacuation ends they count as cold
	// if their service has slow start, and otherwise not.
	for name, slow := range map[string]decl.SlowStart{"slow start": {Duration: seconds(3), PerS: 14}, "none": {}} {
		t.Run(name, func(t *testing.T) {
			in := newDomainInstance(t, "a", "b")
			in.reduce(steer.Configured{Routing: &decl.Routing{Version: 2, Services: map[string]decl.Pool{"lyric": {Engine: &figures, SlowStart: slow}, "board": {}}}})
			in.evacuate("b")
			in.evacuate()
			warming := map[string]bool{}
			for _, status := range in.st.InForce(in.now.Add(2900 * time.Millisecond)) {
				if status.Announcement == notice.Warming {
					warming[status.Replica] = true
				}
			}
			if !slow.Applies() {
				assert.Equal(t, len(warming), 0)
				return
			}
			assert.DeepEqual(t, warming, map[string]bool{"lyric-b0": true, "lyric-b1": true})
		})
	}
}

func TestEvacuationsAreLogged(t *testing.T) {
	in := newDomainInstance(t, "a", "b")
	lines := func(domains ...string) (lines []steer.LogLine) {
		for _, eff := range in.st.Reduce(in.now, steer.Evacuated{FailureDomains: domains, At: posit.Position{Revision: 9}}) {
			if line, ok := eff.(steer.LogLine); ok {
				lines = append(lines, line)
			}
		}
		return lines
	}
	assert.DeepEqual(t, lines("b", "nowhere"), []steer.LogLine{
		{Message: "evacuation in force", FailureDomain: "b", At: posit.Position{Revision: 9}, Replicas: 3},
		{Message: "evacuation in force", FailureDomain: "nowhere", At: posit.Position{Revision: 9}},
	})
	assert.Equal(t, len(lines("b", "nowhere")), 0)
	assert.DeepEqual(t, in.st.EvacuatedReplicas(), map[string]int{"b": 3, "nowhere": 0})
	in.now = in.now.Add(time.Minute)
	assert.DeepEqual(t, lines("b"), []steer.LogLine{{Message: "evacuation ended", FailureDomain: "nowhere", At: posit.Position{Revision: 9}, Age: time.Minute}})
}

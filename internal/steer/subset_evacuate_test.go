package steer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSubsetsAgreeDuringEvacuations(t *testing.T) {
	// A failure domain is evacuated, and its instances are hosted by the others. All instances must compute the same split, or some would
	// receive no notes about work at replicas that they use and would count its slots as free. No replica in use may be left without users, no instance
	// without replicas, and the instances of an evacuated failure domain must not all be hosted by the same other one.
	fleets := map[string]fleet{
		"6 instances":   {6, 14, 3},
		"80 instances":  {80, 78, 3},
		"116 instances": {116, 60, 3},
		"300 instances": {300, 2250, 5},
		"two domains":   {60, 1200, 2},
	}
	steps := map[string][][]string{
		"one":                 {{"domain-1"}},
		"by turns":            {{"domain-1"}, {}, {"domain-0"}},
		"overlapping":         {{"domain-1"}, {"domain-0", "domain-1"}, {"domain-0"}},
		"all":                 {{"domain-0", "domain-1", "domain-2", "domain-3", "domain-4"}},
		"removed and written": {{"domain-1"}, {}, {"domain-1"}},
		"ended":               {{"domain-1"}, {}},
	}
	for name, fl := range fleets {
		for step, sets := range steps {
			t.Run(name+" "+step, func(t *testing.T) {
				t.Parallel()
				fl.checkSubsets(t, sets)
			})
		}
	}
}

// checkSubsets puts the sets of evacuated failure domains in force one after the other, and checks the split after the last.
func (fl fleet) checkSubsets(t *testing.T, sets [][]string) {
	sts := map[string]*State{}
	users := map[string][]string{}
	last := sets[len(sets)-1]
	// Not all instances are examined, since each knows all the others and all replicas.
	stride := max(1, fl.instances/16)
	for i := 0; i < fl.instances; i += stride {
		st := fl.instance(i)
		for _, set := range sets {
			st.Reduce(fleetStart, Evacuated{FailureDomains: set})
		}
		sts[st.Options.Name] = st
		for _, rep := range st.candidates(st.services["lyric"]) {
			assert.Assert(t, !slices.Contains(last, rep.FailureDomain))
			users[rep.Name] = append(users[rep.Name], st.Options.Name)
		}
	}
	remaining := map[string]bool{}
	for i := range fl.engines {
		if !slices.Contains(last, fl.domainOf(i)) {
			remaining[fmt.Sprint("engine-", i)] = true
		}
	}
	for name := range users {
		assert.Assert(t, remaining[name])
	}
	names := slices.Sorted(maps.Keys(sts))
	for _, name := range names {
		assert.Assert(t, len(remaining) == 0 || len(sts[name].candidates(sts[name].services["lyric"])) >= min(len(remaining), minUsableReplicas), name)
	}
	for rep, using := range users {
		for _, from := range using {
			notified := sts[from].usersUnlessAll(sts[from].audience(sts[from].replicas[rep]))
			for _, other := range using {
				assert.Assert(t, notified == nil || other == from || slices.Contains(notified, other), "%s uses %s and does not hear %s", other, rep, from)
			}
		}
	}
	first := sts[names[0]]
	for rep := range remaining {
		sub := first.audience(first.replicas[rep])
		notified := first.usersUnlessAll(sub)
		assert.Assert(t, notified == nil || len(notified) > 0 || sub == first.ownSubset(first.services["lyric"]), "%s has no users", rep)
		for _, st := range sts {
			assert.Equal(t, st.audience(st.replicas[rep]), sub, "%s splits the replicas otherwise", st.Options.Name)
		}
	}
	fl.checkHosts(t, first, last)
}

// checkHosts checks that the instances of the evacuated failure domains are distributed over all others.
func (fl fleet) checkHosts(t *testing.T, st *State, evacuated []string) {
	hosted := map[string]int{}
	moved := 0
	for i := range fl.instances {
		domain := fl.domainOf(i)
		host := st.hostOf(domain, fmt.Sprint("instance-", i))
		if !slices.Contains(evacuated, domain) {
			assert.Equal(t, host, domain)
			continue
		}
		moved++
		hosted[host]++
	}
	hosts := len(st.hosts())
	if hosts < 2 || moved < 16 {
		return
	}
	for _, host := range st.hosts() {
		assert.Assert(t, 3*hosted[host]*hosts >= moved, "%s hosts %d of %d", host, hosted[host], moved)
	}
}

func TestEvacuationMovesOnlyItsOwnInstances(t *testing.T) {
	// A second failure domain is evacuated. Instances that are hosted by a third one, or live there, stay where they are: each that moves
	// knows nothing of the load of its new subset for a moment.
	st := fleet{300, 2250, 5}.instance(0)
	hosts := func(set ...string) map[string]string {
		st.Reduce(fleetStart, Evacuated{FailureDomains: set})
		byName := map[string]string{}
		for _, inst := range append([]Instance{st.self()}, st.others...) {
			byName[inst.Name] = st.hosted(inst).FailureDomain
		}
		return byName
	}
	before, after := hosts("domain-1"), hosts("domain-1", "domain-2")
	for name, host := range before {
		if host != "domain-2" {
			assert.Equal(t, after[name], host)
		}
	}
	for name, host := range hosts("domain-1") {
		assert.Equal(t, host, before[name])
	}
}

func TestPlainNotesFollowHost(t *testing.T) {
	// In a large fleet, notes about plain calls stay in one failure domain. The instances of an evacuated one call the replicas of their
	// host: its instances must receive notes about these calls.
	fl := fleet{195, 112, 5}
	st := fl.instance(1)
	st.Reduce(fleetStart, Evacuated{FailureDomains: []string{"domain-1"}})
	host := st.nearDomain()
	assert.Assert(t, host != "domain-1")
	notified := st.usersUnlessAll(st.audience(st.replicas["board-0"]))
	for _, inst := range st.others {
		if inst.FailureDomain == host {
			assert.Assert(t, slices.Contains(notified, inst.Name))
		}
	}
	assert.Assert(t, len(notified) < 60, len(notified))
}

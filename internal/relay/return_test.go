package relay

import (
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// returnTo makes the Directory return from a copy at the revision.
func (dir *fakeDirectory) returnTo(revision int64) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	dir.snap.Position = posit.Position{Era: dir.snap.Position.Era + 1, Revision: revision}
	dir.changes = nil
}

func TestInstancesThatTheStoreLostStayKnown(t *testing.T) {
	// The copy lacks the entries of the other instances, and one of them is cut off from the store and can't write it again. Its
	// share of the rate limits must not go to the others before its entry would have expired anyway.
	dir := newFakeDirectory()
	dir.returnTo(7)
	one, two, three := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir), newTestInstance(t, "three", dir)
	registerAll(dir, one, two, three)
	fl := &follower{in: one}
	assert.Assert(t, fl.pollStore(t.Context()))
	entries := dir.snap.Peers
	known := func() int { return len(*one.gossip.peers.Load()) }
	dir.snap.Peers = nil
	dir.returnTo(7)
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, known(), 2)
	dir.addChange(Change{Peer: &entries[1]})
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, known(), 2)
	fl.lost["three"] = lostPeer{Peer: entries[2], until: time.Now()}
	fl.dropLostPeers()
	assert.Equal(t, known(), 1)
}

func TestCallsAfterReturnOfStore(t *testing.T) {
	// All instances learn of a return of the store at the same moment. Each reads the whole directory once, and the polls stay those of
	// the few pollers: the store charges for every call and limits them.
	size := 12
	if text := os.Getenv("DANDELIONSAIL_RETURN"); text != "" {
		var err error
		size, err = strconv.Atoi(text)
		assert.NilError(t, err, "DANDELIONSAIL_RETURN=INSTANCES")
	}
	of := newOutageFleet(t, size)
	assert.Assert(t, of.watch(time.Minute, func() bool { return of.pollers() == storePollers }))
	of.phase("before", time.Second)
	reads, polls := of.dir.freshReads.Load(), of.dir.revisionCalls.Load()
	of.dir.returnTo(5)
	began := time.Now()
	assert.Assert(t, of.watch(time.Minute, func() bool {
		return !slices.ContainsFunc(of.ins, func(in *Instance) bool { return in.changes.position().Era != 1 })
	}))
	took := time.Since(began)
	assert.Assert(t, of.confirmedSince(bootTime()))
	t.Logf("%d instances: %d reads of the whole directory and %d polls until all had followed after %v", size, of.dir.freshReads.Load()-reads, of.dir.revisionCalls.Load()-polls, took.Round(10*time.Millisecond))
	assert.Equal(t, of.dir.freshReads.Load()-reads, int64(size))
	assert.Assert(t, of.watch(time.Minute, func() bool { return of.pollers() == storePollers }))
}

func TestConfirmationOfAnotherEraProvesNothing(t *testing.T) {
	// A peer has not seen the return of the store, or runs a version that knows no eras. Its confirmation must not count, and what it
	// announces must not be asked for again and again.
	dir := newFakeDirectory()
	dir.returnTo(7)
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	before, now := &follower{in: two}, &follower{in: one}
	assert.Assert(t, before.pollStore(t.Context()))
	dir.returnTo(5)
	assert.Assert(t, now.pollStore(t.Context()))
	assert.Assert(t, !now.confirmByPeers(t.Context()), "a peer that has not seen the return")
	dir.down.Store(true)
	assert.Assert(t, before.confirmByPeers(t.Context()), "by a peer that has")
	assert.Equal(t, two.changes.position(), dir.snap.Position)
	for _, era := range []int64{0, 1} {
		announced := confirmation{Era: era, Revision: 99}
		assert.Assert(t, !one.isBehind(announced.position(), announced.Version))
		assert.Assert(t, !now.acceptConfirmation(bootTime(), &announced))
	}
}

func TestStaleStateIsReadAgainOnce(t *testing.T) {
	// A state from a stale read is read again. While the store is down, and for a while after a failed attempt, that must not
	// hold up what else the instance asks for.
	dir := newFakeDirectory()
	dir.returnTo(7)
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.NilError(t, fl.readAll(t.Context(), true))
	fl.reread = time.Now()
	attempt := func() int64 {
		before := dir.freshReads.Load()
		fl.rereadIfDue(t.Context())
		return dir.freshReads.Load() - before
	}
	fl.storeDown = true
	assert.Equal(t, attempt(), int64(0))
	fl.storeDown = false
	dir.failingPages = 1
	assert.Equal(t, attempt(), int64(0))
	assert.Equal(t, attempt(), int64(0), "just after a failed attempt")
	fl.reread = time.Now()
	assert.Equal(t, attempt(), int64(1))
	assert.Equal(t, attempt(), int64(0), "it was read")
	assert.Assert(t, fl.reread.IsZero())
}

func TestInstanceOfFormerVersionGetsChanges(t *testing.T) {
	// During a rolling update, instances whose version knows no eras ask those that do. Without the changes in the answers, each of
	// them would read the whole directory at each change.
	dir := newFakeDirectory()
	dir.returnTo(7)
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	fl := &follower{in: one}
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.addChange(Change{RemovedReplica: "board-0"})
	assert.Assert(t, fl.pollStore(t.Context()))
	conf, ok := two.gossip.requestConfirmation(t.Context(), one.gossip.conn.LocalAddr().(*net.UDPAddr), posit.Position{Revision: 7})
	assert.Assert(t, ok)
	assert.Equal(t, conf.UpTo, int64(8))
	assert.Equal(t, len(conf.Changes), 1)
}

func TestAnswerFromBeforeReturnIsIgnored(t *testing.T) {
	// An answer from before the return arrives after one from after it.
	dir := newFakeDirectory()
	dir.returnTo(9)
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.returnTo(7)
	assert.Assert(t, fl.pollStore(t.Context()))
	confirmed := in.confirmed.Load()
	dir.snap.Position = posit.Position{Era: 1, Revision: 9}
	assert.Assert(t, !fl.pollStore(t.Context()))
	assert.Equal(t, in.confirmed.Load(), confirmed)
	assert.Equal(t, in.changes.position(), posit.Position{Era: 2, Revision: 7})
}

func TestConfirmedStateIsComplete(t *testing.T) {
	// Replicas come and go and configurations change while the store returns from copies of any age, and instances poll it or ask each
	// other in any order. Whenever an instance counts its state as confirmed, that state is the store's, and the configuration in
	// force is never older than the store's, nor than an earlier one. The evacuations in force are those of the store and those that a return has
	// lost.
	rapid.Check(t, func(rt *rapid.T) {
		dir := newFakeDirectory()
		dir.changesPerCall = rapid.IntRange(1, 5).Draw(rt, "changesPerCall")
		dir.snap.Position, dir.snap.Replicas = posit.Position{Era: 1, Revision: 7}, nil
		version := int64(1)
		type kept struct {
			snap    Snapshot
			changes []Change
		}
		copyNow := func() kept {
			return kept{Snapshot{Position: dir.snap.Position, Routing: dir.snap.Routing, Replicas: slices.Clone(dir.snap.Replicas), Peers: dir.snap.Peers, Evacuated: slices.Clone(dir.snap.Evacuated)}, slices.Clone(dir.changes)}
		}
		ins := []*Instance{newTestInstance(t, "one", dir), newTestInstance(t, "two", dir), newTestInstance(t, "three", dir)}
		registerAll(dir, ins...)
		var followers []*follower
		for _, in := range ins {
			followers = append(followers, &follower{in: in})
		}
		copies := []kept{copyNow()}
		inForce := make([]int64, len(ins))
		check := func(i int) {
			replicas, _, evacuated := ins[i].entries.lists()
			lost := followers[i].evacuations.lost
			assert.Assert(rt, slices.Equal(evacuated, slices.Sorted(slices.Values(dir.snap.Evacuated))))
			evacuatedNow := ins[i].state.EvacuatedReplicas()
			assert.Equal(rt, len(evacuatedNow), len(lost)+len(dir.snap.Evacuated))
			for domain := range evacuatedNow {
				_, kept := lost[domain]
				assert.Assert(rt, kept != slices.Contains(dir.snap.Evacuated, domain), domain)
			}
			assert.Equal(rt, len(replicas), len(dir.snap.Replicas))
			for _, rep := range dir.snap.Replicas {
				assert.Assert(rt, slices.Contains(replicas, rep), rep.Name)
			}
			assert.Equal(rt, ins[i].changes.position(), dir.snap.Position)
			assert.Assert(rt, ins[i].version() >= dir.snap.Routing.Version && ins[i].version() >= inForce[i])
			inForce[i] = ins[i].version()
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(ins)-1).Draw(rt, "instance")
			switch step := rapid.SampledFrom([]string{"replica", "replica", "gone", "routing", "evacuate", "evacuate", "end", "copy", "return", "poll", "ask", "poll", "ask"}).Draw(rt, "step"); step {
			case "replica":
				rep := steer.Replica{Name: "r" + strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "replica")), Service: "board", Address: "10.0.0.1:8080", Slots: 1 + len(dir.changes)}
				dir.snap.Replicas = append(slices.DeleteFunc(dir.snap.Replicas, func(other steer.Replica) bool { return other.Name == rep.Name }), rep)
				dir.addChange(Change{Replica: &rep})
			case "gone":
				if len(dir.snap.Replicas) > 0 {
					name := dir.snap.Replicas[0].Name
					dir.snap.Replicas = slices.Clone(dir.snap.Replicas[1:])
					dir.addChange(Change{RemovedReplica: name})
				}
			case "routing":
				version++
				dir.snap.Routing = &decl.Routing{Version: version}
				dir.addChange(Change{Routing: true})
			case "evacuate", "end":
				domain := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain")
				dir.snap.Evacuated = slices.DeleteFunc(slices.Clone(dir.snap.Evacuated), func(other string) bool { return other == domain })
				if step == "evacuate" {
					dir.snap.Evacuated = append(dir.snap.Evacuated, domain)
				}
				dir.addChange(Change{Evacuation: &Evacuation{FailureDomain: domain, Ended: step == "end"}})
			case "copy":
				copies = append(copies, copyNow())
			case "return":
				from := copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")]
				era := dir.snap.Position.Era + 1
				dir.snap, dir.changes = from.snap, slices.Clone(from.changes)
				dir.snap.Replicas = slices.Clone(from.snap.Replicas)
				dir.snap.Position.Era = era
			case "poll":
				assert.Assert(rt, followers[i].pollStore(rt.Context()))
				check(i)
			case "ask":
				other := rapid.IntRange(0, len(ins)-1).Draw(rt, "other")
				if followers[i].loaded && other != i && ins[other].confirmed.Load() != 0 {
					before := ins[i].changes.position()
					if followers[i].confirmByPeer(rt.Context(), ins[other].gossip.conn.LocalAddr().(*net.UDPAddr)) {
						assert.Assert(rt, !ins[i].changes.position().Before(ins[other].changes.position()))
						assert.Assert(rt, !ins[i].changes.position().Before(before))
					}
				}
			}
		}
		for i := range followers {
			assert.Assert(rt, followers[i].pollStore(rt.Context()))
			check(i)
		}
	})
}

func TestLostConfigurationIsAdoptedTogetherWithChanges(t *testing.T) {
	// The instance that has the lost configuration is also a change ahead. If the question were over once the change is applied, an
	// instance that polls the store would not ask again.
	dir := newFakeDirectory()
	dir.returnTo(7)
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	listener, err := net.Listen("tcp", two.gossip.conn.LocalAddr().String())
	for err != nil {
		// The port that the datagrams use is taken for TCP.
		two = newTestInstance(t, "two", dir)
		listener, err = net.Listen("tcp", two.gossip.conn.LocalAddr().String())
	}
	registerAll(dir, one, two)
	ahead, started := &follower{in: two}, &follower{in: one}
	assert.Assert(t, ahead.pollStore(t.Context()))
	assert.Assert(t, started.pollStore(t.Context()))
	two.install(&decl.Routing{Version: 2})
	dir.addChange(Change{RemovedReplica: "board-0"})
	assert.Assert(t, ahead.pollStore(t.Context()))
	server := &http.Server{Handler: http.HandlerFunc(two.serveConfig)}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	assert.Assert(t, started.confirmByPeers(t.Context()))
	assert.Equal(t, one.version(), int64(2))
}

func TestOnlyInstancesThatKnowMoreAreAskedBack(t *testing.T) {
	// An instance that asks for changes may know of a return of the store, or of a configuration that the store has lost. One that is
	// only a change ahead must not be asked back: each such answer would cost a poll.
	dir := newFakeDirectory()
	dir.returnTo(7)
	in := newTestInstance(t, "one", dir)
	assert.Assert(t, (&follower{in: in}).pollStore(t.Context()))
	cases := map[string]struct {
		at      posit.Position
		version int64
		misses  bool
	}{
		"the same":                              {posit.Position{Era: 1, Revision: 7}, 1, false},
		"a change ahead":                        {posit.Position{Era: 1, Revision: 8}, 1, false},
		"a change of the configuration ahead":   {posit.Position{Era: 1, Revision: 8}, 2, false},
		"a configuration that the store lost":   {posit.Position{Era: 1, Revision: 7}, 2, true},
		"a later era":                           {posit.Position{Era: 2, Revision: 5}, 1, true},
		"an earlier era":                        {posit.Position{Revision: 9}, 1, false},
		"an earlier era, a later configuration": {posit.Position{Revision: 9}, 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, in.missesReturn(tc.at, tc.version), tc.misses) })
	}
}

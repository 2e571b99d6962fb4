package relay

import (
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// evacuated returns the failure domains whose evacuation is in force at the reducer.
func (in *Instance) evacuated() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Sorted(maps.Keys(in.state.EvacuatedReplicas()))
}

// evacuate writes or removes the operators' request in the directory.
func (dir *fakeDirectory) evacuate(domain string, ended bool) {
	dir.snap.Evacuated = slices.DeleteFunc(slices.Clone(dir.snap.Evacuated), func(other string) bool { return other == domain })
	if !ended {
		dir.snap.Evacuated = append(dir.snap.Evacuated, domain)
	}
	dir.addChange(Change{Evacuation: &Evacuation{FailureDomain: domain, Ended: ended}})
}

func names(list ...string) []string { return list }

func TestEvacuationIsFollowed(t *testing.T) {
	// An evacuation is written or removed. A poller must read it from the changes or, if the store has lost its history, from the whole
	// directory. An instance that requests confirmations must receive it with them.
	for name, forgetful := range map[string]bool{"changes": false, "history lost": true} {
		t.Run(name, func(t *testing.T) {
			dir := newFakeDirectory()
			one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
			registerAll(dir, one, two)
			poller, asking := &follower{in: one}, &follower{in: two}
			for _, fl := range []*follower{poller, asking} {
				assert.Assert(t, fl.pollStore(t.Context()))
			}
			check := func(want ...string) {
				t.Helper()
				if forgetful {
					dir.changes = nil
				}
				assert.Assert(t, poller.pollStore(t.Context()))
				assert.Assert(t, slices.Equal(one.evacuated(), want), one.evacuated())
				assert.Assert(t, asking.confirmByPeer(t.Context(), one.gossip.conn.LocalAddr().(*net.UDPAddr)))
				assert.Assert(t, slices.Equal(two.evacuated(), want), two.evacuated())
			}
			dir.evacuate("a", false)
			check("a")
			dir.evacuate("b", false)
			check("a", "b")
			dir.evacuate("a", true)
			dir.evacuate("a", false)
			check("a", "b")
			dir.evacuate("a", true)
			check("b")
			dir.evacuate("b", true)
			check()
		})
	}
}

// failingRouting is a Directory whose configuration cannot be read.
type failingRouting struct {
	*fakeDirectory
	err error
}

func (dir failingRouting) Routing(context.Context, bool, posit.Position) (*decl.Routing, error) {
	return nil, dir.err
}

func TestEvacuationDoesNotWaitForConfiguration(t *testing.T) {
	// A configuration that cannot be read and an evacuation arrive in one batch of changes. Guards against an evacuation that waits until
	// the configuration can be read.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.addChange(Change{Routing: true})
	dir.evacuate("a", false)
	in.directory = failingRouting{dir, OrderFailed.New("away")}
	dir.failingPages = 100
	assert.Assert(t, !fl.pollStore(t.Context()))
	assert.DeepEqual(t, in.evacuated(), names("a"))
}

// loggedTo makes the instance log into the buffer.
func (in *Instance) loggedTo(buf *bytes.Buffer) {
	in.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: buf}}
}

func TestUndecodableConfigurationIsLogged(t *testing.T) {
	// The operators write a configuration that cannot be decoded. One line must say that the last one stays in use, and the other changes
	// of the batch must take effect.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	var buf bytes.Buffer
	in.loggedTo(&buf)
	bad := UndecodableConfig.New("ColdStartS is a string")
	in.directory = failingRouting{dir, bad}
	dir.addChange(Change{Routing: true})
	dir.evacuate("a", false)
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.DeepEqual(t, in.evacuated(), names("a"))
	assert.Equal(t, in.version(), int64(1))
	dir.snap.Routing, dir.snap.RoutingError = nil, bad
	dir.changes = nil
	dir.addChange(Change{})
	dir.changes = nil
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, in.version(), int64(1))
	assert.Equal(t, strings.Count(buf.String(), "cannot be decoded"), 1, buf.String())
	assert.Assert(t, strings.Contains(buf.String(), "the last one stays in use"), buf.String())
}

func TestUnusableFailureDomainsAreLoggedOnce(t *testing.T) {
	// Operators evacuate failure domains with an empty name, one that no replica is in, and very long and odd names. Each must cause
	// one line. The other evacuations must be in force, and a name that is too long for a datagram must not be passed on.
	long, odd := strings.Repeat("x", 5000), "a/\n\x00 ü"
	for name, asChanges := range map[string]bool{"changes": true, "whole directory": false} {
		t.Run(name, func(t *testing.T) {
			dir := newFakeDirectory()
			dir.snap.Replicas = []steer.Replica{{Name: "board-0", Service: "board", Address: "10.0.0.1:8080", FailureDomain: "a", Slots: 1}}
			one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
			registerAll(dir, one, two)
			var buf bytes.Buffer
			one.loggedTo(&buf)
			poller, asking := &follower{in: one}, &follower{in: two}
			assert.Assert(t, poller.pollStore(t.Context()))
			assert.Assert(t, asking.pollStore(t.Context()))
			for range 3 {
				for _, domain := range []string{"", "nowhere", long, odd, "a"} {
					dir.evacuate(domain, false)
				}
				if !asChanges {
					dir.changes = nil
				}
				assert.Assert(t, poller.pollStore(t.Context()))
			}
			want := slices.Sorted(slices.Values(names("a", odd, "nowhere")))
			assert.DeepEqual(t, one.evacuated(), want)
			assert.Assert(t, asking.confirmByPeer(t.Context(), one.gossip.conn.LocalAddr().(*net.UDPAddr)))
			assert.DeepEqual(t, two.evacuated(), want)
			assert.Equal(t, strings.Count(buf.String(), `"evacuation ignored"`), 2, buf.String())
			assert.Equal(t, strings.Count(buf.String(), "has no replicas"), 2, buf.String())
			assert.Equal(t, strings.Count(buf.String(), `"evacuation seen"`), 3, buf.String())
			assert.Assert(t, buf.Len() < 5000, "%d bytes logged", buf.Len())
		})
	}
}

func TestEvacuationLostByStoreStaysInForce(t *testing.T) {
	// The store returns from a copy that lacks an evacuation. The evacuation must stay in force until the operators have had time to write
	// it again. If they write or remove it in that time, their change must take effect.
	cases := map[string]struct {
		after  func(dir *fakeDirectory, fl *follower)
		expect []string
	}{
		"just after":          {func(*fakeDirectory, *follower) {}, names("a")},
		"written again":       {func(dir *fakeDirectory, fl *follower) { dir.evacuate("a", false); expireLost(fl) }, names("a")},
		"written and removed": {func(dir *fakeDirectory, _ *follower) { dir.evacuate("a", false); dir.evacuate("a", true) }, nil},
		"removed":             {func(dir *fakeDirectory, _ *follower) { dir.evacuate("a", true) }, nil},
		"time has passed":     {func(_ *fakeDirectory, fl *follower) { expireLost(fl) }, nil},
		"another return":      {func(dir *fakeDirectory, _ *follower) { dir.returnTo(7) }, names("a")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			dir := newFakeDirectory()
			dir.returnTo(7)
			in := newTestInstance(t, "one", dir)
			fl := &follower{in: in}
			dir.evacuate("a", false)
			assert.Assert(t, fl.pollStore(t.Context()))
			dir.returnTo(7)
			dir.snap.Evacuated = nil
			assert.Assert(t, fl.pollStore(t.Context()))
			assert.DeepEqual(t, in.evacuated(), names("a"))
			tc.after(dir, fl)
			assert.Assert(t, fl.pollStore(t.Context()))
			fl.dropLostEvacuations()
			assert.Assert(t, slices.Equal(in.evacuated(), tc.expect), in.evacuated())
		})
	}
}

// expireLost ends the time for which lost evacuations stay in force.
func expireLost(fl *follower) {
	for name, until := range fl.evacuations.lost {
		fl.evacuations.lost[name] = until.Add(-lostEvacuationTime)
	}
}

func TestEvacuationInCopyIsInForceAgain(t *testing.T) {
	// An evacuation has ended, and the store returns from a copy that contains it. It must be in force until it is removed from the store
	// again.
	dir := newFakeDirectory()
	dir.returnTo(7)
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	dir.evacuate("a", false)
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.evacuate("a", true)
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, len(in.evacuated()), 0)
	dir.returnTo(8)
	dir.snap.Evacuated = names("a")
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.DeepEqual(t, in.evacuated(), names("a"))
	dir.evacuate("a", true)
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, len(in.evacuated()), 0)
}

func TestNewInstanceLearnsLostEvacuation(t *testing.T) {
	// The store has returned from a copy without an evacuation, and an instance starts before the operators have written it again. It must
	// learn of it from the others, and for no longer than they keep it. Once the operators have removed it, a late packet must not bring it back.
	dir := newFakeDirectory()
	dir.returnTo(7)
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	older, started := &follower{in: one}, &follower{in: two}
	dir.evacuate("a", false)
	assert.Assert(t, older.pollStore(t.Context()))
	dir.returnTo(7)
	dir.snap.Evacuated = nil
	assert.Assert(t, older.pollStore(t.Context()))
	assert.Assert(t, started.pollStore(t.Context()))
	assert.Equal(t, len(two.evacuated()), 0)
	started.askForVersions()
	var from *net.UDPAddr
	select {
	case from = <-two.gossip.newPositions:
	case <-time.After(time.Second):
		t.Fatal("no answer")
	}
	assert.Assert(t, started.confirmByPeer(t.Context(), from))
	assert.DeepEqual(t, two.evacuated(), names("a"))
	assert.Assert(t, !started.evacuations.lost["a"].After(older.evacuations.lost["a"].Add(10*time.Millisecond)))
	dir.evacuate("a", true)
	assert.Assert(t, started.pollStore(t.Context()))
	assert.Equal(t, len(two.evacuated()), 0)
	late := confirmation{Era: 2, Revision: 8, Kept: one.kept()}
	assert.Equal(t, len(late.Kept), 1)
	assert.Assert(t, started.position().SameEra(late.position()))
	started.adoptEvacuations(from, &late)
	assert.Equal(t, len(two.evacuated()), 0)
	// A late packet must not bring it back either at an instance that has taken nothing from others.
	three := newTestInstance(t, "three", dir)
	other := &follower{in: three}
	assert.Assert(t, other.pollStore(t.Context()))
	dir.evacuate("a", false)
	dir.evacuate("a", true)
	assert.Assert(t, other.pollStore(t.Context()))
	other.adoptEvacuations(from, &late)
	assert.Equal(t, len(three.evacuated()), 0)
}

func TestDirectoryOfPeerNamesEvacuations(t *testing.T) {
	// The store rejects an instance and returns from a copy. The directory that the others serve must contain the evacuations.
	dir := newFakeDirectory()
	dir.returnTo(7)
	in := newTestInstance(t, "one", dir)
	dir.evacuate("a", false)
	assert.Assert(t, (&follower{in: in}).pollStore(t.Context()))
	server := httptest.NewServer(http.HandlerFunc(in.serveDirectory))
	defer server.Close()
	from, err := net.ResolveUDPAddr("udp", server.Listener.Addr().String())
	assert.NilError(t, err)
	snap, err := in.fetchDirectory(t.Context(), from, posit.Position{Era: 1, Revision: 8})
	assert.NilError(t, err)
	assert.DeepEqual(t, snap.Evacuated, names("a"))
}

func TestEvacuationPassesEarlierVersions(t *testing.T) {
	// During a rolling update an instance asks one of an earlier version, which does not know evacuations: it sends their changes as
	// irrelevant ones, and its directory names none. The evacuation must be read from the store, and one that is in force must stay in force.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.evacuate("a", false)
	dir.snap.Position.Revision = 9
	earlier := &confirmation{Revision: 8, UpTo: 8, Changes: []Change{{Revision: 8}}}
	assert.NilError(t, fl.catchUp(t.Context(), nil, earlier))
	assert.Equal(t, len(in.evacuated()), 0)
	assert.Assert(t, !fl.reread.IsZero())
	fl.reread = time.Now()
	fl.rereadIfDue(t.Context())
	assert.DeepEqual(t, in.evacuated(), names("a"))
	fl.replaceState(&Snapshot{Position: posit.Position{Revision: 10}, evacuationsUnknown: true})
	assert.DeepEqual(t, in.evacuated(), names("a"))
	known := &confirmation{Revision: 11, UpTo: 11, Changes: []Change{{Revision: 11}}, Evacuations: true}
	fl.reread = time.Time{}
	assert.NilError(t, fl.catchUp(t.Context(), nil, known))
	assert.Assert(t, fl.reread.IsZero())
}

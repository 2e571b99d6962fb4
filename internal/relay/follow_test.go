package relay

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// fakeDirectory is a Directory in memory.
type fakeDirectory struct {
	// mu guards snap and changes in tests that change them while followers run.
	mu         sync.Mutex
	snap       Snapshot
	down       atomic.Bool
	freshReads atomic.Int64
	// staleLag is how many revisions stale reads are behind.
	staleLag int64
	// changes are the changes that Changes returns.
	changes []Change
	// changesPerCall is the maximum number of changes that one call returns.
	changesPerCall int
	// failingPages is the number of page reads that fail before one succeeds.
	failingPages int
	// fullReads counts the reads of the first page.
	fullReads atomic.Int64
	// revisionCalls counts the calls to Revision.
	revisionCalls atomic.Int64
}

func (dir *fakeDirectory) Revision(context.Context) (posit.Position, error) {
	dir.revisionCalls.Add(1)
	if dir.down.Load() {
		return posit.Position{}, OrderFailed.New("away")
	}
	dir.mu.Lock()
	defer dir.mu.Unlock()
	return dir.snap.Position, nil
}

func (dir *fakeDirectory) Changes(_ context.Context, after posit.Position) ([]Change, posit.Position, error) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	var changes []Change
	for _, chg := range dir.changes {
		if chg.Revision > after.Revision && len(changes) < dir.changesPerCall {
			changes = append(changes, chg)
		}
	}
	if len(changes) == 0 || changes[0].Revision != after.Revision+1 {
		return nil, posit.Position{}, OrderFailed.New("history is gone")
	}
	return changes, after.At(changes[len(changes)-1].Revision), nil
}

func (dir *fakeDirectory) Routing(context.Context, bool, posit.Position) (*decl.Routing, error) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	return dir.snap.Routing, nil
}

// addChange makes one change and records it.
func (dir *fakeDirectory) addChange(chg Change) {
	dir.mu.Lock()
	defer dir.mu.Unlock()
	dir.snap.Position = dir.snap.Position.Next()
	chg.Revision = dir.snap.Position.Revision
	dir.changes = append(dir.changes, chg)
}

// Read returns the contents in two pages, first the replicas and then the rest; the second page is one revision newer.
func (dir *fakeDirectory) Read(_ context.Context, stale bool, after string) (Snapshot, string, error) {
	if dir.failingPages > 0 {
		dir.failingPages--
		return Snapshot{}, "", OrderFailed.New("away")
	}
	dir.mu.Lock()
	defer dir.mu.Unlock()
	if after != "" {
		return Snapshot{Position: dir.snap.Position.Next(), Routing: dir.snap.Routing, Peers: dir.snap.Peers, Evacuated: dir.snap.Evacuated}, "", nil
	}
	page := Snapshot{Position: dir.snap.Position, Replicas: dir.snap.Replicas}
	dir.fullReads.Add(1)
	if stale {
		page.Position.Revision -= dir.staleLag
	} else {
		dir.freshReads.Add(1)
	}
	return page, "rest", nil
}

func (dir *fakeDirectory) Announce(context.Context, Peer, time.Duration) error { return nil }

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{changesPerCall: 60, snap: Snapshot{Position: posit.Position{Revision: 7}, Routing: &decl.Routing{Version: 1}, Replicas: []steer.Replica{{Name: "board-0", Service: "board", Address: "10.0.0.1:8080", Slots: 1}}}}
}

// newTestInstance returns an Instance that runs nothing but its gossip.
func newTestInstance(t *testing.T, name string, dir *fakeDirectory) *Instance {
	in := New(Options{Name: name, PeerListen: "127.0.0.1:0", TokenLife: time.Second, ConfigLag: 400 * time.Millisecond, MissingTime: time.Minute}, dir, nil, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	gs, err := openGossip(t.Context(), in)
	assert.NilError(t, err)
	in.gossip = gs
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- gs.run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return in
}

func peersByName(list []Peer) map[string]Peer {
	peers := map[string]Peer{}
	for _, peer := range list {
		peers[peer.Name] = peer
	}
	return peers
}

// registerAll makes the instances known to each other, directly and by their entries in the directory.
func registerAll(dir *fakeDirectory, ins ...*Instance) {
	dir.snap.Peers = nil
	for _, in := range ins {
		dir.snap.Peers = append(dir.snap.Peers, Peer{Name: in.opts.Name, Address: in.gossip.conn.LocalAddr().String()})
	}
	for _, in := range ins {
		in.setPeers(peersByName(dir.snap.Peers))
	}
}

func TestPeerConfirmationEndsStoreOutage(t *testing.T) {
	// An Instance's poll fails and a peer then confirms its state. If the outage were taken to continue, a replica that
	// is removed would stay in use for as long as one that is missing because of an outage, far longer than a change
	// may take.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	poller, nonPoller := &follower{in: two}, &follower{in: one}
	assert.Assert(t, poller.pollStore(t.Context()))
	assert.Assert(t, nonPoller.pollStore(t.Context()))
	nonPoller.storeDown = true
	assert.Assert(t, nonPoller.confirmByPeers(t.Context()))
	dir.snap.Position, dir.snap.Replicas = dir.snap.Position.Next(), nil
	assert.Assert(t, poller.pollStore(t.Context()))
	assert.Assert(t, nonPoller.confirmByPeers(t.Context()))
	assert.Assert(t, !one.state.Usable())
}

func TestForwardedConfirmationKeepsItsAge(t *testing.T) {
	// The store confirmed a peer's state a while ago. The confirmation that the peer sends must be at least as old, to
	// the millisecond, or a token's lifetime would be extended each time a confirmation passes from one Instance to the
	// next.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	assert.Assert(t, (&follower{in: two}).pollStore(t.Context()))
	confirmed := two.confirmed.Load()
	time.Sleep(50 * time.Millisecond)
	nonPoller := &follower{in: one}
	assert.NilError(t, nonPoller.update(t.Context(), posit.Position{Revision: 7}, time.Second))
	assert.Assert(t, nonPoller.confirmByPeers(t.Context()))
	assert.Assert(t, one.confirmed.Load() > 0 && one.confirmed.Load() <= confirmed, "%d %d", one.confirmed.Load(), confirmed)
}

func TestOldPeerConfirmationIsRejected(t *testing.T) {
	// A peer that cannot reach the store has an old state. Its response must not count as a confirmation.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	assert.Assert(t, (&follower{in: two}).pollStore(t.Context()))
	two.confirmed.Add(-int64(300 * time.Millisecond))
	assert.Assert(t, !(&follower{in: one}).confirmByPeers(t.Context()))
}

func TestStaleReadBehindRevisionIsRepeated(t *testing.T) {
	// A stale read is behind the confirmed revision. If it were used as it is, a token revoked in between would remain
	// valid.
	dir := newFakeDirectory()
	dir.staleLag = 1
	in := newTestInstance(t, "one", dir)
	assert.Assert(t, (&follower{in: in}).pollStore(t.Context()))
	assert.Equal(t, dir.freshReads.Load(), int64(1))
	assert.Equal(t, in.changes.position(), posit.Position{Revision: 7})
}

func TestChangeIsFetchedOnceForAllInstances(t *testing.T) {
	// Replicas come and go every few seconds in a large fleet. If each Instance read the whole list at each change, the
	// load would grow with the square of the fleet and a change would take seconds to come into force. One Instance
	// reads the changes from the store, and the others get them in its confirmations.
	dir := newFakeDirectory()
	ins := []*Instance{newTestInstance(t, "one", dir), newTestInstance(t, "two", dir), newTestInstance(t, "three", dir), newTestInstance(t, "four", dir)}
	registerAll(dir, ins...)
	var followers []*follower
	for _, in := range ins {
		fl := &follower{in: in}
		assert.Assert(t, fl.pollStore(t.Context()))
		followers = append(followers, fl)
	}
	fullReads, revisionCalls := dir.fullReads.Load(), dir.revisionCalls.Load()
	dir.addChange(Change{RemovedReplica: "board-0"})
	dir.snap.Replicas = nil
	assert.Assert(t, followers[0].pollStore(t.Context()))
	from := ins[0].gossip.conn.LocalAddr().(*net.UDPAddr)
	for _, fl := range followers[1:] {
		assert.Assert(t, fl.confirmByPeer(t.Context(), from))
		assert.Equal(t, fl.in.changes.position(), dir.snap.Position)
		assert.Assert(t, !fl.in.state.Usable())
	}
	assert.Equal(t, dir.fullReads.Load(), fullReads)
	assert.Equal(t, dir.revisionCalls.Load(), revisionCalls+1)
}

func TestManyChangesSpanSeveralConfirmations(t *testing.T) {
	// A hundred engines start at the same time, and their entries do not fit into one datagram. The changes left out of
	// it must follow in the next one, or the Instance never learns of them.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	poller, nonPoller := &follower{in: two}, &follower{in: one}
	assert.Assert(t, poller.pollStore(t.Context()))
	assert.Assert(t, nonPoller.pollStore(t.Context()))
	for i := range 100 {
		dir.addChange(Change{Replica: &steer.Replica{Name: "engine-" + strconv.Itoa(i), Service: "lyric", Address: "10.0.0.1:8080", Slots: 1}})
	}
	assert.Assert(t, poller.pollStore(t.Context()))
	fullReads := dir.fullReads.Load()
	assert.Assert(t, nonPoller.confirmByPeers(t.Context()))
	assert.Equal(t, one.changes.position(), dir.snap.Position)
	assert.Equal(t, dir.fullReads.Load(), fullReads)
	for i := range 100 {
		assert.Assert(t, one.state.IsRegistered("engine-"+strconv.Itoa(i)), i)
	}
}

func TestFailedPageIsRetried(t *testing.T) {
	// All instances start at once and saturate the store's link for seconds. A failed page is retried on its own; a
	// read that started over would add to the load and never end.
	dir := newFakeDirectory()
	dir.failingPages = 2
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.NilError(t, fl.readAll(t.Context(), true))
	assert.Equal(t, in.changes.position(), posit.Position{Revision: 7})
	assert.Assert(t, in.configured() && in.state.IsRegistered("board-0"))
	dir.failingPages = maxPageRetries + 1
	assert.Assert(t, fl.readAll(t.Context(), true) != nil)
}

func TestUnavailableChangesCauseFullRead(t *testing.T) {
	// The confirming peer started after the change and does not hold it. If its confirmation counted without the
	// change, a removed replica would receive requests for good.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	nonPoller := &follower{in: one}
	assert.Assert(t, nonPoller.pollStore(t.Context()))
	dir.addChange(Change{RemovedReplica: "board-0"})
	dir.snap.Replicas = nil
	assert.Assert(t, (&follower{in: two}).pollStore(t.Context()))
	assert.Assert(t, nonPoller.confirmByPeers(t.Context()))
	assert.Equal(t, one.changes.position(), dir.snap.Position)
	assert.Assert(t, !one.state.Usable())
}

func TestOlderFullReadIsIgnored(t *testing.T) {
	// A stale read is older than the Instance's state. If it were applied, a removed replica would be used again.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.addChange(Change{RemovedReplica: "board-0"})
	assert.Assert(t, fl.pollStore(t.Context()))
	dir.staleLag = 1
	assert.NilError(t, fl.readAll(t.Context(), true))
	assert.Equal(t, in.changes.position(), dir.snap.Position)
	assert.Assert(t, !in.state.Usable())
}

func TestInvalidChangesAreRejected(t *testing.T) {
	cases := map[string]confirmation{
		"no changes":                        {Revision: 9, UpTo: 9},
		"change before the revision":        {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 7}}},
		"change after UpTo":                 {Revision: 9, UpTo: 8, Changes: []Change{{Revision: 9}}},
		"UpTo after the confirmed revision": {Revision: 8, UpTo: 9, Changes: []Change{{Revision: 9}}},
		"out of order":                      {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 9}, {Revision: 8}}},
		"replica without a name":            {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 9, Replica: &steer.Replica{}}}},
	}
	for name, conf := range cases {
		t.Run(name, func(t *testing.T) { assert.Assert(t, !conf.appliesTo(posit.Position{Revision: 7})) })
	}
	good := confirmation{Revision: 9, UpTo: 9, Changes: []Change{{Revision: 8}, {Revision: 9}, {Revision: 9}}}
	assert.Assert(t, good.appliesTo(posit.Position{Revision: 7}))
}

func FuzzPacket(f *testing.F) {
	f.Add([]byte{})
	in := New(Options{Name: "one", PeerListen: "127.0.0.1:0", TokenLife: time.Second}, newFakeDirectory(), nil, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	gs, err := openGossip(context.Background(), in)
	if err != nil {
		f.Fatal(err)
	}
	in.gossip = gs
	f.Add(gs.encode(packet{Note: &steer.Note{From: "two", Jobs: []steer.Job{{ID: 1, Replicas: []string{"a", "b"}, Prompt: 5, Reservations: []int64{1}}}}}))
	f.Add(gs.encode(packet{Request: &confirmRequest{Nonce: 1}}))
	f.Add(gs.encode(packet{Confirmation: &confirmation{Nonce: 1, Revision: 2, AgeMs: 3}}))
	f.Add(gs.encode(packet{Confirmation: &confirmation{Nonce: 1, Revision: 2, UpTo: 2, Changes: []Change{{Revision: 2, Replica: &steer.Replica{Name: "a"}}}}}))
	in.apply(steer.Listed{Replicas: []steer.Replica{{Name: "a", Service: "s", Slots: 2}}})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		gs.handleDatagram(raw, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	})
}

func TestReservationAtSilentReplicaExpires(t *testing.T) {
	// A prompt is sent to a replica that accepts connections and never responds, while helpers reserve memory for it.
	// If the replica were assumed to be working for three times its estimate, the reservations would be renewed for
	// longer than memory may stay unused.
	eff := &steer.Send{FirstTimeout: 20 * time.Second, Helpers: []steer.Helper{{Tokens: 100_000}}}
	assert.Assert(t, firstByteLimit(eff)+reservationTTL < 9*time.Second)
	assert.Equal(t, firstByteLimit(&steer.Send{FirstTimeout: 20 * time.Second}), 20*time.Second)
}

func TestBootstrapMakesFewStoreCalls(t *testing.T) {
	// All instances of a large fleet start at once, without a configuration. If each called the store until there was
	// one, and then for the changes since, six calls of each would arrive at the same moment. Stale reads suffice to
	// begin with, and the pollers confirm the rest.
	dir := newFakeDirectory()
	ins := make([]*Instance, 5)
	for i := range ins {
		ins[i] = newTestInstance(t, "instance-"+strconv.Itoa(i), dir)
	}
	registerAll(dir, ins...)
	routing := dir.snap.Routing
	dir.snap.Routing = nil
	var followers []*follower
	for _, in := range ins {
		fl := &follower{in: in}
		followers = append(followers, fl)
		assert.Equal(t, fl.bootstrap(t.Context()), noConfigPause)
	}
	assert.Equal(t, dir.revisionCalls.Load(), int64(0))
	dir.snap.Routing = routing
	dir.addChange(Change{Routing: true})
	for _, pollers := range []bool{true, false} {
		for _, fl := range followers {
			if fl.in.gossip.pollsStore(storePollers) == pollers {
				fl.bootstrap(t.Context())
			}
		}
	}
	assert.Equal(t, dir.revisionCalls.Load(), int64(storePollers))
	for _, fl := range followers {
		assert.Assert(t, fl.in.fresh(1))
	}
}

func TestFewInstancesPollUnreachableStore(t *testing.T) {
	// The store is unreachable for a large fleet, and no poller can confirm anything. If each other Instance then
	// polled the store itself once a second, all those calls would be charged. More pollers are chosen first, and an
	// Instance that is not a poller polls seldom.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	registerAll(dir, in)
	fl := &follower{in: in}
	assert.Assert(t, fl.pollStore(t.Context()))
	self, peers := dir.snap.Peers[0], map[string]Peer{}
	for i := 0; in.gossip.pollsStore(maxStorePollers); i++ {
		name := "dead-" + strconv.Itoa(i)
		peers[name] = Peer{Name: name, Address: "127.0.0.1:1"}
		peers[self.Name] = self
		in.setPeers(peers)
	}
	dir.down.Store(true)
	before := dir.revisionCalls.Load()
	for range 8 {
		fl.sync(t.Context())
	}
	assert.Equal(t, dir.revisionCalls.Load(), before+1)
	assert.Equal(t, fl.pollerCount(), maxStorePollers)
}

func TestExtraPollerStopsPollingAfterOutage(t *testing.T) {
	// An outage of the store has made many instances pollers. When it is over and the regular pollers confirm the state again, an
	// Instance must not remain a poller just because its own polls succeed; while they cannot, it must.
	dir := newFakeDirectory()
	var ins []*Instance
	for i := range 6 {
		ins = append(ins, newTestInstance(t, "poller-"+strconv.Itoa(i), dir))
	}
	registerAll(dir, ins...)
	extra := &follower{in: ins[0], loaded: true, pollers: maxStorePollers}
	assert.Assert(t, extra.pollStore(t.Context()))
	extra.sync(t.Context())
	assert.Equal(t, extra.pollerCount(), maxStorePollers, "no other one has confirmed the state")
	for _, in := range ins[1:] {
		assert.Assert(t, (&follower{in: in}).pollStore(t.Context()))
	}
	for range 5 {
		extra.sync(t.Context())
		for _, in := range ins[1:] {
			assert.Assert(t, (&follower{in: in}).pollStore(t.Context()))
		}
	}
	assert.Equal(t, extra.pollerCount(), storePollers)
}

func (*fakeDirectory) RecordQuarantine(context.Context, Quarantine, time.Duration) error { return nil }

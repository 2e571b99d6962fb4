package relay

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// shelf is a Directory in memory.
type shelf struct {
	snap  Snapshot
	away  atomic.Bool
	reads atomic.Int64
	// staleBy is how many revisions stale reads are behind.
	staleBy int64
	// changes are told on request; wholes counts what was read whole, questions those for the revision.
	changes []Change
	// atOnce is how many changes are told at once, failures how many pages fail before one is handed out.
	atOnce    int
	failures  int
	wholes    atomic.Int64
	questions atomic.Int64
}

func (sh *shelf) Revision(context.Context) (int64, error) {
	sh.questions.Add(1)
	if sh.away.Load() {
		return 0, OrderFailed.New("away")
	}
	return sh.snap.Revision, nil
}

func (sh *shelf) Changes(_ context.Context, after int64) ([]Change, int64, error) {
	var changes []Change
	for _, chg := range sh.changes {
		if chg.Revision > after && len(changes) < sh.atOnce {
			changes = append(changes, chg)
		}
	}
	if len(changes) == 0 || changes[0].Revision != after+1 {
		return nil, 0, OrderFailed.New("history is gone")
	}
	return changes, changes[len(changes)-1].Revision, nil
}

func (sh *shelf) Routing(context.Context, int64) (*decl.Routing, error) { return sh.snap.Routing, nil }

// change makes one change and remembers it.
func (sh *shelf) change(chg Change) {
	sh.snap.Revision++
	chg.Revision = sh.snap.Revision
	sh.changes = append(sh.changes, chg)
}

// Read hands everything out in two pages, replicas and then the rest, the second of which is a revision newer.
func (sh *shelf) Read(_ context.Context, stale bool, after string) (Snapshot, string, error) {
	if sh.failures > 0 {
		sh.failures--
		return Snapshot{}, "", OrderFailed.New("away")
	}
	if after != "" {
		return Snapshot{Revision: sh.snap.Revision + 1, Routing: sh.snap.Routing, Peers: sh.snap.Peers}, "", nil
	}
	page := Snapshot{Revision: sh.snap.Revision, Replicas: sh.snap.Replicas}
	sh.wholes.Add(1)
	if stale {
		page.Revision -= sh.staleBy
	} else {
		sh.reads.Add(1)
	}
	return page, "rest", nil
}

func (sh *shelf) Announce(context.Context, Peer, time.Duration) error { return nil }

func newShelf() *shelf {
	return &shelf{atOnce: 60, snap: Snapshot{Revision: 7, Routing: &decl.Routing{Version: 1}, Replicas: []steer.Replica{{Name: "board-0", Service: "board", Slots: 1}}}}
}

// quiet returns an instance whose notes run and nothing else.
func quiet(t *testing.T, name string, sh *shelf) *Instance {
	in := New(Options{Name: name, PeerListen: "127.0.0.1:0", TokenLife: time.Second, ConfigLag: 400 * time.Millisecond, MissingTime: time.Minute}, sh, nil, &log.Logger{Level: log.PanicLevel}, func() int64 { return 0 })
	ns, err := openNotes(in)
	assert.NilError(t, err)
	in.notes = ns
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ns.run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return in
}

func byName(list []Peer) map[string]Peer {
	peers := map[string]Peer{}
	for _, peer := range list {
		peers[peer.Name] = peer
	}
	return peers
}

// know makes the instances know each other, now and by what lies on the shelf.
func know(sh *shelf, ins ...*Instance) {
	sh.snap.Peers = nil
	for _, in := range ins {
		sh.snap.Peers = append(sh.snap.Peers, Peer{Name: in.opts.Name, Address: in.notes.conn.LocalAddr().String()})
	}
	for _, in := range ins {
		in.setPeers(byName(sh.snap.Peers))
	}
}

func TestOutageEndsWithAnothersWord(t *testing.T) {
	// An instance's own question failed, and another instance confirms its state. A replica leaves. Taken to be in an
	// outage still, the instance would use it for as long as a replica that an outage hides, far beyond the time for a
	// change.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	poller, hearer := &follower{in: two}, &follower{in: one}
	assert.Assert(t, poller.ask(t.Context()))
	assert.Assert(t, hearer.ask(t.Context()))
	hearer.away = true
	assert.Assert(t, hearer.hear(t.Context()))
	sh.snap.Revision, sh.snap.Replicas = 8, nil
	assert.Assert(t, poller.ask(t.Context()))
	assert.Assert(t, hearer.hear(t.Context()))
	assert.Assert(t, !one.state.Usable())
}

func TestConfirmationIsNoNewerThanItWas(t *testing.T) {
	// The store confirmed another instance's state a while ago. What it passes on is as old, to the millisecond at least,
	// so that a token's life is never stretched by going from one instance to the next.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	assert.Assert(t, (&follower{in: two}).ask(t.Context()))
	confirmed := two.confirmed.Load()
	time.Sleep(50 * time.Millisecond)
	hearer := &follower{in: one}
	assert.NilError(t, hearer.take(t.Context(), 7, time.Second))
	assert.Assert(t, hearer.hear(t.Context()))
	assert.Assert(t, one.confirmed.Load() > 0 && one.confirmed.Load() <= confirmed, "%d %d", one.confirmed.Load(), confirmed)
}

func TestOldConfirmationIsNone(t *testing.T) {
	// The other instance is out of the store's reach. Its state is old, and what it says of it is no confirmation.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	assert.Assert(t, (&follower{in: two}).ask(t.Context()))
	two.confirmed.Add(-int64(300 * time.Millisecond))
	assert.Assert(t, !(&follower{in: one}).hear(t.Context()))
}

func TestStaleReadThatIsTooOldIsRepeated(t *testing.T) {
	// The cheap read is behind the revision that was confirmed. Taken as it is, a token taken away before that would stay.
	sh := newShelf()
	sh.staleBy = 1
	in := quiet(t, "one", sh)
	assert.Assert(t, (&follower{in: in}).ask(t.Context()))
	assert.Equal(t, sh.reads.Load(), int64(1))
	assert.Equal(t, in.view.revision(), int64(7))
}

func TestChangeIsReadOnceForAll(t *testing.T) {
	// Replicas come and go every few seconds in a large fleet. If each instance read the whole list at each change, the
	// reading would grow with the square of the fleet, and a change would be in force only after seconds. One instance asks
	// for what has changed, and the others take it from that one's answers.
	sh := newShelf()
	ins := []*Instance{quiet(t, "one", sh), quiet(t, "two", sh), quiet(t, "three", sh), quiet(t, "four", sh)}
	know(sh, ins...)
	var followers []*follower
	for _, in := range ins {
		fl := &follower{in: in}
		assert.Assert(t, fl.ask(t.Context()))
		followers = append(followers, fl)
	}
	wholes, questions := sh.wholes.Load(), sh.questions.Load()
	sh.change(Change{LeftReplica: "board-0"})
	sh.snap.Replicas = nil
	assert.Assert(t, followers[0].ask(t.Context()))
	from := ins[0].notes.conn.LocalAddr().(*net.UDPAddr)
	for _, fl := range followers[1:] {
		assert.Assert(t, fl.hearFrom(t.Context(), from))
		assert.Equal(t, fl.in.view.revision(), sh.snap.Revision)
		assert.Assert(t, !fl.in.state.Usable())
	}
	assert.Equal(t, sh.wholes.Load(), wholes)
	assert.Equal(t, sh.questions.Load(), questions+1)
}

func TestManyChangesTakeSeveralAnswers(t *testing.T) {
	// A hundred instances start at the same time. What they register does not fit into one datagram; what was left out of
	// it must come with the next, or the instance would never know of it.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	poller, hearer := &follower{in: two}, &follower{in: one}
	assert.Assert(t, poller.ask(t.Context()))
	assert.Assert(t, hearer.ask(t.Context()))
	for i := range 100 {
		sh.change(Change{Replica: &steer.Replica{Name: "engine-" + strconv.Itoa(i), Service: "lyric", Address: "10.0.0.1:8080", Slots: 1}})
	}
	assert.Assert(t, poller.ask(t.Context()))
	wholes := sh.wholes.Load()
	assert.Assert(t, hearer.hear(t.Context()))
	assert.Equal(t, one.view.revision(), sh.snap.Revision)
	assert.Equal(t, sh.wholes.Load(), wholes)
	for i := range 100 {
		assert.Assert(t, one.state.Lists("engine-"+strconv.Itoa(i)), i)
	}
}

func TestPageThatFailsIsReadAgain(t *testing.T) {
	// All instances start at once, and the store's link is full for seconds. A page that failed is asked for again; a read
	// that began anew would add to the load and never end.
	sh := newShelf()
	sh.failures = 2
	in := quiet(t, "one", sh)
	fl := &follower{in: in}
	assert.NilError(t, fl.readAll(t.Context(), true))
	assert.Equal(t, in.view.revision(), int64(7))
	assert.Assert(t, in.configured() && in.state.Lists("board-0"))
	sh.failures = pageTries + 1
	assert.Assert(t, fl.readAll(t.Context(), true) != nil)
}

func TestForgottenChangesAreReadWhole(t *testing.T) {
	// The instance that confirms has started after the change, so that it cannot tell of it. Taken as confirmed without
	// it, a replica that left would get work for good.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	hearer := &follower{in: one}
	assert.Assert(t, hearer.ask(t.Context()))
	sh.change(Change{LeftReplica: "board-0"})
	sh.snap.Replicas = nil
	assert.Assert(t, (&follower{in: two}).ask(t.Context()))
	assert.Assert(t, hearer.hear(t.Context()))
	assert.Equal(t, one.view.revision(), sh.snap.Revision)
	assert.Assert(t, !one.state.Usable())
}

func TestOlderWholeIsNotTaken(t *testing.T) {
	// A stale read is older than what the instance has. Taken, it would bring back a replica that left.
	sh := newShelf()
	in := quiet(t, "one", sh)
	fl := &follower{in: in}
	assert.Assert(t, fl.ask(t.Context()))
	sh.change(Change{LeftReplica: "board-0"})
	assert.Assert(t, fl.ask(t.Context()))
	sh.staleBy = 1
	assert.NilError(t, fl.readAll(t.Context(), true))
	assert.Equal(t, in.view.revision(), sh.snap.Revision)
	assert.Assert(t, !in.state.Usable())
}

func TestChangesOfAnotherStateAreNotTaken(t *testing.T) {
	cases := map[string]confirmation{
		"none":              {Revision: 9, UpTo: 9},
		"from before":       {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 7}}},
		"beyond their end":  {Revision: 9, UpTo: 8, Changes: []Change{{Revision: 9}}},
		"end not confirmed": {Revision: 8, UpTo: 9, Changes: []Change{{Revision: 9}}},
		"out of order":      {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 9}, {Revision: 8}}},
		"without a name":    {Revision: 9, UpTo: 9, Changes: []Change{{Revision: 9, Replica: &steer.Replica{}}}},
	}
	for name, conf := range cases {
		t.Run(name, func(t *testing.T) { assert.Assert(t, !conf.follows(7)) })
	}
	good := confirmation{Revision: 9, UpTo: 9, Changes: []Change{{Revision: 8}, {Revision: 9}, {Revision: 9}}}
	assert.Assert(t, good.follows(7))
}

func FuzzPacket(f *testing.F) {
	f.Add([]byte{})
	in := New(Options{Name: "one", PeerListen: "127.0.0.1:0", TokenLife: time.Second}, newShelf(), nil, &log.Logger{Level: log.PanicLevel}, func() int64 { return 0 })
	ns, err := openNotes(in)
	if err != nil {
		f.Fatal(err)
	}
	in.notes = ns
	f.Add(ns.encode(packet{Note: &steer.Note{From: "two", Jobs: []steer.Job{{ID: 1, Replicas: []string{"a", "b"}, Prompt: 5, Tickets: []int64{1}}}}}))
	f.Add(ns.encode(packet{Question: &question{Nonce: 1}}))
	f.Add(ns.encode(packet{Answer: &confirmation{Nonce: 1, Revision: 2, AgeMs: 3}}))
	f.Add(ns.encode(packet{Answer: &confirmation{Nonce: 1, Revision: 2, UpTo: 2, Changes: []Change{{Revision: 2, Replica: &steer.Replica{Name: "a"}}}}}))
	in.apply(steer.Listed{Replicas: []steer.Replica{{Name: "a", Service: "s", Slots: 2}}})
	f.Fuzz(func(_ *testing.T, raw []byte) { ns.hear(raw, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}) })
}

func TestMemoryForNobodyEnds(t *testing.T) {
	// A prompt is sent to a replica that takes connections and never answers, while helpers hold memory for it. Believed to
	// be at work for three times its estimate, the memory would be renewed for longer than it may lie idle.
	eff := &steer.Send{FirstBy: 20 * time.Second, Helpers: []steer.Helper{{Tokens: 100_000}}}
	assert.Assert(t, firstLimit(eff)+ticketHold < 9*time.Second)
	assert.Equal(t, firstLimit(&steer.Send{FirstBy: 20 * time.Second}), 20*time.Second)
}

func TestStartAsksTheStoreLittle(t *testing.T) {
	// All instances of a large fleet start at once, and there is no configuration yet. Each asked the store itself until there
	// was one, and for what had changed since: six calls of each at the same moment. The stale copy is enough to begin with,
	// and those that ask the store anyway confirm the rest.
	sh := newShelf()
	ins := make([]*Instance, 5)
	for i := range ins {
		ins[i] = quiet(t, "instance-"+strconv.Itoa(i), sh)
	}
	know(sh, ins...)
	routing := sh.snap.Routing
	sh.snap.Routing = nil
	var followers []*follower
	for _, in := range ins {
		fl := &follower{in: in}
		followers = append(followers, fl)
		assert.Equal(t, fl.begin(t.Context()), emptyPause)
	}
	assert.Equal(t, sh.questions.Load(), int64(0))
	sh.snap.Routing = routing
	sh.change(Change{Routing: true})
	for _, pollers := range []bool{true, false} {
		for _, fl := range followers {
			if fl.in.notes.pollsStore(storePollers) == pollers {
				fl.begin(t.Context())
			}
		}
	}
	assert.Equal(t, sh.questions.Load(), int64(storePollers))
	for _, fl := range followers {
		assert.Assert(t, fl.in.fresh(1))
	}
}

func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	// The store is down for all of a large fleet, and none of those that ask it can confirm anything. Each other instance took
	// that for a reason to ask the store itself, once a second, and each call is paid for. First others take the place of those
	// that ask, and an instance that is none of these asks seldom.
	sh := newShelf()
	in := quiet(t, "one", sh)
	know(sh, in)
	fl := &follower{in: in}
	assert.Assert(t, fl.ask(t.Context()))
	self, peers := sh.snap.Peers[0], map[string]Peer{}
	for i := 0; in.notes.pollsStore(mostPollers); i++ {
		name := "dead-" + strconv.Itoa(i)
		peers[name] = Peer{Name: name, Address: "127.0.0.1:1"}
		peers[self.Name] = self
		in.setPeers(peers)
	}
	sh.away.Store(true)
	before := sh.questions.Load()
	for range 8 {
		fl.follow(t.Context())
	}
	assert.Equal(t, sh.questions.Load(), before+1)
	assert.Equal(t, fl.polling(), mostPollers)
}

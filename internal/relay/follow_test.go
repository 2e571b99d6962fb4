package relay

import (
	"context"
	"net"
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
}

func (sh *shelf) Revision(context.Context) (int64, error) {
	if sh.away.Load() {
		return 0, OrderFailed.New("away")
	}
	return sh.snap.Revision, nil
}

func (sh *shelf) Read(_ context.Context, stale bool) (Snapshot, error) {
	snap := sh.snap
	if stale {
		snap.Revision -= sh.staleBy
	} else {
		sh.reads.Add(1)
	}
	return snap, nil
}

func (sh *shelf) Announce(context.Context, Peer, time.Duration) error { return nil }

func newShelf() *shelf {
	return &shelf{snap: Snapshot{Revision: 7, Routing: &decl.Routing{Version: 1}, Replicas: []steer.Replica{{Name: "board-0", Service: "board", Slots: 1}}}}
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

// know makes the instances know each other, now and by what lies on the shelf.
func know(sh *shelf, ins ...*Instance) {
	sh.snap.Peers = nil
	for _, in := range ins {
		sh.snap.Peers = append(sh.snap.Peers, Peer{Name: in.opts.Name, Address: in.notes.conn.LocalAddr().String()})
	}
	for _, in := range ins {
		in.setPeers(sh.snap.Peers)
	}
}

func TestOutageEndsWithAnothersWord(t *testing.T) {
	// An instance's own question failed, and another instance confirms its state. A replica leaves. Taken to be in an
	// outage still, the instance would use it for as long as a replica that an outage hides, far beyond the time for a
	// change.
	sh := newShelf()
	one, two := quiet(t, "one", sh), quiet(t, "two", sh)
	know(sh, one, two)
	asker, hearer := &follower{in: two}, &follower{in: one}
	assert.Assert(t, asker.ask(t.Context()))
	assert.Assert(t, hearer.ask(t.Context()))
	hearer.away = true
	assert.Assert(t, hearer.hear(t.Context()))
	sh.snap.Revision, sh.snap.Replicas = 8, nil
	assert.Assert(t, asker.ask(t.Context()))
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
	assert.NilError(t, hearer.take(t.Context(), 7))
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
	assert.Equal(t, in.revision.Load(), int64(7))
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

package relay

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/lines"
	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestUnusableEntryIsLoggedOnce(t *testing.T) {
	// An entry that cannot be used is written again with each heartbeat and read again with each page. Each time one line would be dozens a second in
	// a fleet, which displace others.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	text := &bytes.Buffer{}
	in.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: text}}
	fl := &follower{in: in}
	invalid := InvalidEntry{Kind: EntryReplica, Name: "odd", Reason: "no address"}
	dir.snap.Invalid = nil
	assert.NilError(t, fl.readAll(t.Context(), false))
	for range 5 {
		dir.addChange(InvalidChange(invalid))
		assert.Assert(t, fl.pollStore(t.Context()))
	}
	assert.Equal(t, in.invalid.count(), 1)
	assert.Equal(t, strings.Count(text.String(), "left out"), 1, text)
	assert.Assert(t, strings.Contains(text.String(), `"Entry":"odd"`) && strings.Contains(text.String(), `"Reason":"no address"`), text)
	assert.Assert(t, in.state.Usable())
	dir.addChange(Change{RemovedReplica: "odd"})
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Equal(t, in.invalid.count(), 0)
	assert.Equal(t, strings.Count(text.String(), "usable again or gone"), 1, text)
	in.replaceInvalid([]InvalidEntry{invalid})
	in.replaceInvalid([]InvalidEntry{invalid})
	in.replaceInvalid(nil)
	assert.Equal(t, strings.Count(text.String(), "left out"), 2, text)
	assert.Equal(t, in.invalid.count(), 0)
}

func TestReplicaWithOwnAddressIsLeftOut(t *testing.T) {
	// The entry of a replica has the address at which the Instance itself listens. Requests would go round in a circle.
	dir := newFakeDirectory()
	in := newTestInstance(t, "one", dir)
	in.opts.Listen = "10.0.0.9:8080"
	fl := &follower{in: in}
	own := steer.Replica{Name: "own", Service: "board", Address: in.opts.Listen, Slots: 4}
	dir.snap.Replicas = append(dir.snap.Replicas, own)
	assert.NilError(t, fl.readAll(t.Context(), false))
	assert.Assert(t, !in.state.IsRegistered("own") && in.state.IsRegistered("board-0"))
	for range 2 {
		dir.addChange(Change{Replica: &own})
		assert.Assert(t, fl.pollStore(t.Context()))
		assert.Assert(t, !in.state.IsRegistered("own"))
		assert.Equal(t, in.invalid.count(), 1)
	}
	own.Address = "10.0.0.10:8080"
	dir.addChange(Change{Replica: &own})
	assert.Assert(t, fl.pollStore(t.Context()))
	assert.Assert(t, in.state.IsRegistered("own"))
	assert.Equal(t, in.invalid.count(), 0)
}

func TestNamelessEntriesDoNotKeepPeersFromFollowing(t *testing.T) {
	// Another Instance, of a release that checks less, passes on entries that cannot be used. They must not make the others read everything anew.
	dir := newFakeDirectory()
	one, two := newTestInstance(t, "one", dir), newTestInstance(t, "two", dir)
	registerAll(dir, one, two)
	first, second := &follower{in: one}, &follower{in: two}
	assert.NilError(t, first.readAll(t.Context(), false))
	assert.NilError(t, second.readAll(t.Context(), false))
	dir.addChange(Change{Replica: &steer.Replica{Service: "board", Address: "10.0.0.1:8080", Slots: 1}})
	dir.addChange(Change{Replica: &steer.Replica{Name: "odd", Service: "board", Address: "10.0.0.1:99999", Slots: 1}})
	dir.addChange(Change{Replica: &steer.Replica{Name: "sound", Service: "board", Address: "10.0.0.1:8080", Slots: 1}})
	dir.addChange(Change{Peer: &Peer{Address: "10.0.0.1:8080"}})
	assert.Assert(t, first.pollStore(t.Context()))
	reads := dir.fullReads.Load()
	assert.Assert(t, second.confirmsBy(t.Context(), localAddress(one)))
	assert.Equal(t, second.position(), first.position())
	assert.Equal(t, dir.fullReads.Load(), reads)
	assert.Assert(t, two.state.IsRegistered("sound") && !two.state.IsRegistered("odd"))
}

// localAddress returns the address at which the Instance receives datagrams.
func localAddress(in *Instance) *net.UDPAddr { return in.gossip.conn.LocalAddr().(*net.UDPAddr) }

// newFuzzInstance returns an Instance whose gossip is open, for targets that pass it what peers send.
func newFuzzInstance(f *testing.F) (*Instance, *follower) {
	in := New(Options{Name: "one", PeerListen: "127.0.0.1:0", TokenLife: time.Second, ConfigLag: time.Second, MaxBody: 1 << 20}, newFakeDirectory(), nil, &log.Logger{Level: log.PanicLevel}, lines.New(io.Discard, 1))
	gs, err := openGossip(f.Context(), in)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = gs.conn.Close() })
	in.gossip = gs
	return in, &follower{in: in}
}

// FuzzShared serves arbitrary bytes as another Instance's directory and configuration, and applies what can be decoded.
func FuzzShared(f *testing.F) {
	in, fl := newFuzzInstance(f)
	for _, shared := range []sharedState{
		{Revision: 9, Era: 1, Routing: &decl.Routing{Version: 2, Routes: []decl.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []decl.Share{{Service: "s", Weight: 1}}}}}, Replicas: []steer.Replica{{Name: "a", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, Peers: []Peer{{Name: "two", Address: "127.0.0.1:9"}}, Evacuated: []string{"a"}, Evacuations: true},
		{Revision: math.MinInt64, Era: math.MaxInt64, Routing: &decl.Routing{Version: math.MinInt64}, Replicas: []steer.Replica{{Slots: math.MinInt}}, Peers: []Peer{{}}},
	} {
		raw, err := cbor.Marshal(shared)
		assert.NilError(f, err)
		f.Add(raw)
	}
	served := []byte{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(served) }))
	f.Cleanup(server.Close)
	from := server.Listener.Addr().(*net.TCPAddr)
	f.Fuzz(func(t *testing.T, raw []byte) {
		served = raw
		snap, err := in.fetchDirectory(t.Context(), &net.UDPAddr{IP: from.IP, Port: from.Port}, posit.Position{})
		if err != nil {
			return
		}
		for i := range snap.Replicas {
			assert.NilError(t, CheckReplica(&snap.Replicas[i]))
		}
		fl.replaceState(&snap)
		snap.Routing.Find("h", "/a/b")
		in.apply(steer.Ticked{})
	})
}

// FuzzChanges applies the changes of an arbitrary confirmation.
func FuzzChanges(f *testing.F) {
	in, fl := newFuzzInstance(f)
	in.install(&decl.Routing{Version: math.MaxInt64})
	for _, changes := range [][]Change{
		{{Replica: &steer.Replica{Name: "a", Service: "s", Address: "10.0.0.1:80", Slots: 1}}, {RemovedReplica: "a"}, {Peer: &Peer{Name: "two", Address: "127.0.0.1:9"}}, {RemovedPeer: "two"}},
		{{Replica: &steer.Replica{Slots: math.MinInt}}, {Peer: &Peer{}}, {Quarantine: &Quarantine{}}, {Evacuation: &Evacuation{}}, {Invalid: &InvalidEntry{Kind: 99}}},
		{{Quarantine: &Quarantine{Parts: []steer.Part{1}, Crashes: math.MaxInt, LastCrashMs: math.MaxInt64, Ended: true}}, {Evacuation: &Evacuation{FailureDomain: "a", Ended: true}}},
	} {
		raw, err := cbor.Marshal(changes)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var conf confirmation
		if len(raw) > maxDatagram || cbor.Unmarshal(raw, &conf.Changes) != nil {
			return
		}
		conf.Evacuations = true
		at := fl.position()
		if at.Revision > 1<<40 {
			in.changes.reset(posit.Position{})
			at = fl.position()
		}
		for i := range conf.Changes {
			conf.Changes[i].Routing = false
			conf.Changes[i].Revision = at.Revision + 1 + int64(i)
		}
		conf.Revision = at.Revision + int64(len(conf.Changes))
		conf.UpTo = conf.Revision
		fl.peers = map[string]Peer{}
		in.entries.replace(nil, nil)
		if len(conf.Changes) > 0 {
			assert.NilError(t, fl.catchUp(t.Context(), nil, &conf))
			assert.Equal(t, fl.position().Revision, conf.Revision)
		}
		in.apply(steer.Ticked{})
	})
}

package relay

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
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
		dir.addChange(InvalidChange(0, invalid))
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
	assert.Assert(t, second.confirmByPeer(t.Context(), localAddress(one)))
	assert.Equal(t, second.position(), first.position())
	assert.Equal(t, dir.fullReads.Load(), reads)
	assert.Assert(t, two.state.IsRegistered("sound") && !two.state.IsRegistered("odd"))
}

// localAddress returns the address at which the Instance receives datagrams.
func localAddress(in *Instance) *net.UDPAddr { return in.gossip.conn.LocalAddr().(*net.UDPAddr) }

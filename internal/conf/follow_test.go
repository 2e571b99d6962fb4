package conf_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/wire"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// net carries messages between followers in one process.
type network struct {
	mu        sync.Mutex
	followers map[string]*conf.Follower
	// deaf loses every message that is told.
	deaf atomic.Bool
	// silent answers nobody who asks.
	silent   atomic.Bool
	messages atomic.Int64
}

func (nt *network) Ask(ctx context.Context, address string, msg wire.Message) (wire.Message, error) {
	if nt.silent.Load() {
		<-ctx.Done()
		return nil, peers.Unreachable.New("no answer of %s", address)
	}
	nt.messages.Add(1)
	nt.mu.Lock()
	fl := nt.followers[address]
	nt.mu.Unlock()
	if fl == nil {
		return nil, peers.Unreachable.New("no %s", address)
	}
	return fl.Handle(msg), nil
}

func (nt *network) Tell(address string, msg wire.Message) {
	if nt.deaf.Load() {
		return
	}
	_, _ = nt.Ask(context.Background(), address, msg)
}

// fleet is a set of followers over one service.
type fleet struct {
	t       *testing.T
	kv      *stand.KV
	net     *network
	members []event.Instance
	// last holds each instance's version in force.
	mu   sync.Mutex
	last map[string]int64
}

func newFleet(t *testing.T, kv *stand.KV) *fleet {
	return &fleet{t: t, kv: kv, net: &network{followers: map[string]*conf.Follower{}}, last: map[string]int64{}}
}

// start runs a follower and tells all of the members.
func (ft *fleet) start(name, domain string) *conf.Follower {
	inst := event.Instance{Name: name, FailureDomain: domain, Peer: name}
	fl := conf.NewFollower(conf.New(stand.NewMemory(ft.kv)), inst, func(cfg *decl.Config) {
		ft.mu.Lock()
		defer ft.mu.Unlock()
		assert.Check(ft.t, cfg.Version > ft.last[name], "%s went from %d to %d", name, ft.last[name], cfg.Version)
		ft.last[name] = cfg.Version
	})
	fl.SetPeer(name)
	fl.Transport = ft.net
	ft.members = append(ft.members, inst)
	ft.net.mu.Lock()
	ft.net.followers[name] = fl
	for _, other := range ft.net.followers {
		other.SetMembers(ft.members)
	}
	ft.net.mu.Unlock()
	go func() { _ = fl.Run(ft.t.Context()) }()
	return fl
}

func (ft *fleet) count(version int64) int {
	count := 0
	for _, fl := range ft.net.followers {
		if fl.Version() >= version {
			count++
		}
	}
	return count
}

func (ft *fleet) atLeast(version int64) bool {
	return ft.count(version) == len(ft.members)
}

func TestFewWatchersAndAllHear(t *testing.T) {
	// Sixty instances in three failure domains follow one log. Two of each domain watch the store, and most of the
	// rest hear from peers at once. Whom no told message reached, by chance or because all are lost, learns by asking.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := submitted(t, 1)
		ft := newFleet(t, kv)
		for i := range 60 {
			ft.start(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3))
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, kv.Calls().Watching, int64(3*conf.WatchersPerDomain))
		_, err := lg.Submit(t.Context(), patch("second", 1))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, ft.count(2) >= 45, "%d heard", ft.count(2))
		time.Sleep(10 * time.Second)
		assert.Assert(t, ft.atLeast(2))
		ft.net.deaf.Store(true)
		_, err = lg.Submit(t.Context(), patch("third", 2))
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.Assert(t, ft.atLeast(3))
	})
}

func TestStartWithTheStoreDown(t *testing.T) {
	// An instance is replaced while the store is down. It takes the configuration from a peer and serves; when the
	// store is back it follows on, and no instance ever has a lower version than before.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := submitted(t, 5)
		ft := newFleet(t, kv)
		ft.start("entry-0", "a")
		time.Sleep(time.Second)
		kv.SetFaults(stand.Faults{Outage: true})
		late := ft.start("entry-1", "a")
		time.Sleep(5 * time.Second)
		assert.Equal(t, late.Version(), int64(5))
		kv.SetFaults(stand.Faults{})
		_, err := lg.Submit(t.Context(), patch("after", 5))
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.Assert(t, ft.atLeast(6))
	})
}

func TestWatchCutAndLogTrimmed(t *testing.T) {
	// The only watcher's watch goes silent while many patches land and are trimmed away. It re-reads, finds its next
	// patch gone, and takes the snapshot, without ever going back.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := submitted(t, 3)
		ft := newFleet(t, kv)
		only := ft.start("entry-0", "a")
		time.Sleep(time.Second)
		kv.SetFaults(stand.Faults{Outage: true})
		time.Sleep(time.Second)
		kv.SetFaults(stand.Faults{})
		lg.SnapshotEvery, lg.KeepPatches = 10, 4
		for base := int64(3); base < 60; base++ {
			_, err := lg.Submit(t.Context(), patch(fmt.Sprintf("p%d", base), base))
			assert.NilError(t, err)
		}
		assert.NilError(t, lg.Compact(t.Context()))
		time.Sleep(11 * time.Second)
		assert.Equal(t, only.Version(), int64(60))
	})
}

func TestNewcomerWhosePeersAreSilentReadsTheStore(t *testing.T) {
	// Instances are replaced one after the other while an engine dies. A newcomer knows the others before it has a
	// configuration, those that it asks are just being stopped and answer nothing, and it is none of the watchers. It waited
	// for news for up to seven seconds, asked again, and its callers had no answer for fifteen. The store has it all along.
	synctest.Test(t, func(t *testing.T) {
		_, kv := submitted(t, 5)
		ft := newFleet(t, kv)
		for i := range 12 {
			ft.members = append(ft.members, event.Instance{Name: fmt.Sprintf("leaving-%d", i), FailureDomain: "a", Peer: "gone"})
		}
		ft.net.silent.Store(true)
		ft.net.deaf.Store(true)
		late := ft.start("entry-3", "a")
		time.Sleep(4 * time.Second)
		assert.Assert(t, !late.Watches())
		assert.Equal(t, late.Version(), int64(5))
	})
}

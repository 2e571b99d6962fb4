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
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/wire"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// network carries messages between followers in one process.
type network struct {
	mu        sync.Mutex
	followers map[string]*conf.Follower
	// dropSends makes Send lose every message.
	dropSends atomic.Bool
	// unresponsive makes Request wait until its context ends.
	unresponsive atomic.Bool
	messages     atomic.Int64
}

func (nt *network) Request(ctx context.Context, address string, msg wire.Message) (wire.Message, error) {
	if nt.unresponsive.Load() {
		<-ctx.Done()
		return nil, peers.Unreachable.New("no answer from %s", address)
	}
	nt.messages.Add(1)
	nt.mu.Lock()
	fl := nt.followers[address]
	nt.mu.Unlock()
	if fl == nil {
		return nil, peers.Unreachable.New("unknown peer %s", address)
	}
	return fl.Handle(msg), nil
}

func (nt *network) Send(address string, msg wire.Message) {
	if nt.dropSends.Load() {
		return
	}
	_, _ = nt.Request(context.Background(), address, msg)
}

// fleet is a set of followers over one key-value service.
type fleet struct {
	t       *testing.T
	kv      *stand.KV
	net     *network
	members []event.Instance
	// mu guards last.
	mu sync.Mutex
	// last holds the version in force of each instance.
	last map[string]int64
}

func newFleet(t *testing.T, kv *stand.KV) *fleet {
	return &fleet{t: t, kv: kv, net: &network{followers: map[string]*conf.Follower{}}, last: map[string]int64{}}
}

// start runs a follower and updates the member list of all followers.
func (ft *fleet) start(name, domain string) *conf.Follower {
	return ft.startWith(name, domain, stand.NewMemoryStore(ft.kv))
}

// startWith does so with a follower that uses the store.
func (ft *fleet) startWith(name, domain string, st store.Store) *conf.Follower {
	inst := event.Instance{Name: name, FailureDomain: domain, Peer: name}
	fl := conf.NewFollower(conf.New(st), inst, func(cfg *decl.Config) {
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

func (ft *fleet) countAtLeast(version int64) int {
	count := 0
	for _, fl := range ft.net.followers {
		if fl.Version() >= version {
			count++
		}
	}
	return count
}

func (ft *fleet) allAtLeast(version int64) bool {
	return ft.countAtLeast(version) == len(ft.members)
}

func TestPatchReachesAllInstancesWithFewWatches(t *testing.T) {
	// Guards against every instance watching the store, and against instances that miss a patch. Of sixty instances in
	// three failure domains, two per domain watch the store; most of the others must get the patch by announcements
	// within a second. The ones that no announcement reaches, by chance or because all are lost, must get it by
	// polling.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := newLog(t, 1)
		ft := newFleet(t, kv)
		for i := range 60 {
			ft.start(fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3))
		}
		time.Sleep(30 * time.Second)
		assert.Equal(t, kv.Calls().Watching, int64(3*conf.WatchersPerDomain))
		_, err := lg.Submit(t.Context(), patch("second", 1))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Assert(t, ft.countAtLeast(2) >= 45, "%d instances have the patch", ft.countAtLeast(2))
		time.Sleep(10 * time.Second)
		assert.Assert(t, ft.allAtLeast(2))
		ft.net.dropSends.Store(true)
		_, err = lg.Submit(t.Context(), patch("third", 2))
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.Assert(t, ft.allAtLeast(3))
	})
}

func TestStartDuringStoreOutage(t *testing.T) {
	// Guards against an instance that cannot start while the store is down. It must take the configuration from a peer,
	// follow the store again after the outage, and never put a lower version in force.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := newLog(t, 5)
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
		assert.Assert(t, ft.allAtLeast(6))
	})
}

func TestWatcherRecoversFromSnapshotAfterTrim(t *testing.T) {
	// Guards against a watcher that stays behind or goes back when its next patch has been trimmed. An outage ends the
	// only watch, and many patches are written and trimmed before it is opened again. The watcher must continue from
	// the snapshot.
	synctest.Test(t, func(t *testing.T) {
		lg, kv := newLog(t, 3)
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

func TestNewInstanceReadsStoreWhenPeersDoNotAnswer(t *testing.T) {
	// Guards against a new instance that waits for peers although the store has the configuration. During a rolling
	// replacement it already knows its peers, the ones that it queries are being stopped and do not answer, and it is
	// not a watcher. If it only waited up to seven seconds for an announcement and then queried peers again, its
	// callers would get no answer for fifteen.
	synctest.Test(t, func(t *testing.T) {
		_, kv := newLog(t, 5)
		ft := newFleet(t, kv)
		for i := range 12 {
			ft.members = append(ft.members, event.Instance{Name: fmt.Sprintf("leaving-%d", i), FailureDomain: "a", Peer: "gone"})
		}
		ft.net.unresponsive.Store(true)
		ft.net.dropSends.Store(true)
		late := ft.start("entry-3", "a")
		time.Sleep(4 * time.Second)
		assert.Assert(t, !late.IsWatcher())
		assert.Equal(t, late.Version(), int64(5))
	})
}

func TestSlowReadAppliesNoPatchTwice(t *testing.T) {
	// The store's answer to an instance takes a second. Meanwhile a peer hands over the patches that are in the answer. They must not be applied
	// a second time, as if they were the versions after: the instance would be ahead of all others with a configuration that nobody
	// submitted, and would write it into the log when the store has lost patches.
	synctest.Test(t, func(t *testing.T) {
		kv := stand.NewKV(stand.Rates{})
		ft := newFleet(t, kv)
		slow := &slowStore{Store: stand.NewMemoryStore(kv)}
		one := ft.startWith("one", "domain-0", slow)
		ft.start("two", "domain-0")
		operator := conf.New(stand.NewMemoryStore(kv))
		_, err := operator.Submit(t.Context(), patch("a", 0))
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		slow.slow.Store(true)
		for i, id := range []string{"b", "c", "d"} {
			_, err = operator.Submit(t.Context(), patch(id, int64(i)+1))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		slow.slow.Store(false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, one.Version(), int64(4))
	})
}

package once_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/once"
	"dandelionsail.example/dandelionsail/internal/peers"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// flaky is a store whose writes may land late, long after their caller was told that there is no answer.
type flaky struct {
	store.Store
	mu     sync.Mutex
	random *rand.Rand
	// late is the share of writes that land up to maxLate after their caller gave up.
	late float64
	// least is the shortest time that a late write takes.
	least time.Duration
	// cut ends every call without effect.
	cut bool
}

const maxLate = 20 * time.Second

func (fk *flaky) draw() (late, cut bool, after time.Duration) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return fk.random.Float64() < fk.late, fk.cut, fk.least + time.Duration(fk.random.Int64N(int64(maxLate)))
}

func (fk *flaky) set(late float64, cut bool) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	fk.late, fk.cut = late, cut
}

func (fk *flaky) Get(ctx context.Context, key string) (store.Pair, error) {
	if _, cut, _ := fk.draw(); cut {
		return store.Pair{}, store.Unavailable.New("cut off")
	}
	return fk.Store.Get(ctx, key)
}

func (fk *flaky) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	late, cut, after := fk.draw()
	if cut {
		return store.Pair{}, store.Unavailable.New("cut off")
	}
	if late {
		time.AfterFunc(after, func() { _, _ = fk.Store.Swap(context.Background(), key, value, revision, lease) })
		return store.Pair{}, store.Unavailable.New("no answer yet")
	}
	return fk.Store.Swap(ctx, key, value, revision, lease)
}

// world is a few instances over one service, and what they ran.
type world struct {
	ctx       context.Context
	kv        *stand.KV
	instances []*instance
	mu        sync.Mutex
	// runs counts the runs by key; refused holds the requests that were told "not run".
	runs     map[string]int
	problems []string
	random   *rand.Rand
	// sealAt is the length at which segments are sealed.
	sealAt int
	// silent loses messages between instances, before or after they were acted upon.
	silent float64
}

type instance struct {
	wd   *world
	name string
	st   *flaky
	// current is replaced when the instance crashes.
	current atomic.Pointer[once.Claims]
	stop    context.CancelFunc
	next    atomic.Int64
}

func newWorld(t *testing.T, count int, seed uint64) *world {
	return newWorldSealedAt(t, count, seed, 64<<10)
}

func newWorldSealedAt(t *testing.T, count int, seed uint64, sealAt int) *world {
	wd := &world{sealAt: sealAt, kv: stand.NewKV(stand.Rates{}), runs: map[string]int{}, random: rand.New(rand.NewPCG(seed, 1))}
	var stop context.CancelFunc
	wd.ctx, stop = context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		// Instances that stop still try to record what they know; time stands still after the test.
		time.Sleep(5 * time.Second)
	})
	for i := range count {
		wd.instances = append(wd.instances, &instance{wd: wd, name: fmt.Sprintf("entry-%d", i)})
	}
	for i, in := range wd.instances {
		in.start(seed + uint64(i))
	}
	return wd
}

func (in *instance) start(seed uint64) {
	ctx, stop := context.WithCancel(in.wd.ctx)
	in.st = &flaky{Store: stand.NewMemory(in.wd.kv), random: rand.New(rand.NewPCG(seed, 2))}
	claims := once.New(in.st, in.name)
	claims.Transport = in.wd
	claims.SealAt(in.wd.sealAt)
	in.stop = stop
	var members []event.Instance
	for _, other := range in.wd.instances {
		members = append(members, event.Instance{Name: other.name, Peer: other.name})
	}
	claims.SetMembers(members)
	in.current.Store(claims)
	go func() { _ = claims.Run(ctx) }()
}

// lost draws whether a message vanishes.
func (wd *world) lost() bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.random.Float64() < wd.silent
}

func (wd *world) setSilent(share float64) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.silent = share
}

// Ask implements peers.Transport.
func (wd *world) Ask(ctx context.Context, address string, msg wire.Message) (wire.Message, error) {
	for _, in := range wd.instances {
		if in.name != address || wd.lost() {
			continue
		}
		answer := in.current.Load().Handle(ctx, msg)
		if wd.lost() {
			break
		}
		return answer, nil
	}
	return nil, peers.Unreachable.New("no answer from %s", address)
}

// Tell implements peers.Transport.
func (wd *world) Tell(string, wire.Message) {}

// send is one request under the key, as an instance takes it: claimed, then run and recorded, or given up.
func (in *instance) send(key string, giveUp bool) event.ClaimResult {
	ky := once.Key{Organisation: "o", Service: "s", Key: key}
	claims := in.current.Load()
	nonce := fmt.Sprintf("%p-%d", claims, in.next.Add(1))
	ctx, cancel := context.WithTimeout(in.wd.ctx, 30*time.Second)
	defer cancel()
	result, _ := claims.Claim(ctx, ky, event.Digest{1}, nonce)
	if result != event.ClaimWon {
		return result
	}
	// Requests wait for an upstream between their claim and their end.
	time.Sleep(time.Second)
	if giveUp {
		go func() { _ = claims.Settle(in.wd.ctx, ky, nonce, event.Outcome{}, true) }()
		return event.ClaimUnavailable
	}
	in.wd.ran(key)
	go func() {
		_ = claims.Settle(in.wd.ctx, ky, nonce, event.Outcome{Known: true, Status: 200}, false)
	}()
	return result
}

func (wd *world) ran(key string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.runs[key]++
	if wd.runs[key] > 1 {
		wd.problems = append(wd.problems, key+" ran twice")
	}
}

// step is one thing that happens in a world.
type step struct {
	Kind     string
	Instance int
	Key      int
	GiveUp   bool
	Pause    time.Duration
}

func steps(t *rapid.T, instances int) []step {
	kinds := []string{"send", "send", "send", "send", "send", "send", "late", "lost", "cut", "crash", "outage", "silence", "sound"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			Instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
			Key:      rapid.IntRange(0, 1).Draw(t, "key"),
			GiveUp:   rapid.Bool().Draw(t, "giveUp"),
			Pause:    time.Duration(rapid.SampledFrom([]int{0, 10, 300, 1500, 5000, 12000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 5, 40).Draw(t, "steps")
}

func (wd *world) do(st step) {
	in := wd.instances[st.Instance]
	switch st.Kind {
	case "send":
		go in.send(fmt.Sprintf("k%d", st.Key), st.GiveUp)
	case "late":
		in.st.set(0.7, false)
	case "cut":
		in.st.set(0, true)
	case "lost":
		wd.kv.SetFaults(stand.Faults{LostAnswers: 0.5})
	case "outage":
		wd.kv.SetFaults(stand.Faults{Outage: true})
	case "crash":
		in.stop()
		in.start(uint64(st.Key))
	case "silence":
		wd.setSilent(0.5)
	case "sound":
		wd.kv.SetFaults(stand.Faults{})
		wd.setSilent(0)
		in.st.set(0, false)
	}
	time.Sleep(st.Pause)
}

func TestNoKeyRunsTwice(t *testing.T) {
	// Callers send the same keys to three instances, again and again, while writes land late, answers are lost,
	// instances are cut off or replaced and messages between them vanish.
	// A key may run once; a claim that was given up frees it, and a resend then runs, but never beside the first. When
	// all is sound again and no claimant died, a key that never ran can be run.
	rapid.Check(t, func(rt *rapid.T) {
		script := steps(rt, 3)
		seed := rapid.Uint64().Draw(rt, "seed")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			// Every second or third claim begins a new segment.
			wd := newWorldSealedAt(t, 3, seed, 200)
			crashed := false
			for _, st := range script {
				wd.do(st)
				crashed = crashed || st.Kind == "crash"
			}
			wd.recover(crashed)
			problems = wd.problems
		})
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

// recover makes all sound and sends every key once more through each instance.
func (wd *world) recover(crashed bool) {
	for i := range wd.instances {
		wd.do(step{Kind: "sound", Instance: i})
	}
	time.Sleep(time.Minute)
	for key := range 2 {
		name := fmt.Sprintf("k%d", key)
		for _, in := range wd.instances {
			in.send(name, false)
			time.Sleep(time.Second)
		}
		if wd.runs[name] == 0 && !crashed {
			wd.problems = append(wd.problems, name+" can never run")
		}
	}
}

func TestRefusedClaimFreesItsKey(t *testing.T) {
	// The writes of a redemption's claim land only after its caller was told "not run", one after the other.
	// None of them may leave a record behind: when the store answers again the resend has to run, once, and a further
	// one gets the recorded outcome.
	synctest.Test(t, func(t *testing.T) {
		wd := newWorld(t, 1, 1)
		in := wd.instances[0]
		in.st.least = 15 * time.Second
		in.st.set(1, false)
		began := time.Now()
		assert.Equal(t, in.send("k", false), event.ClaimUnavailable)
		assert.Assert(t, time.Since(began) < 15*time.Second)
		in.st.set(0, false)
		time.Sleep(in.st.least + maxLate)
		assert.Equal(t, in.send("k", false), event.ClaimWon)
		time.Sleep(5 * time.Second)
		assert.Equal(t, in.send("k", false), event.ClaimRepeated)
		assert.Equal(t, wd.runs["k"], 1)
	})
}

func TestLongOutageIsRefusedAtOnce(t *testing.T) {
	// The store is down for minutes. The first redemption waits for it; later ones are not held back for the same
	// long wait but hear at once that they were not run, and the first after the outage runs. What waits to be released
	// asks the store once in four seconds a shard, so that an outage is not made longer by everyone's calls.
	synctest.Test(t, func(t *testing.T) {
		wd := newWorld(t, 1, 1)
		in := wd.instances[0]
		wd.kv.SetFaults(stand.Faults{Outage: true})
		for i := range 3 {
			assert.Equal(t, in.send(fmt.Sprintf("k%d", i), false), event.ClaimUnavailable)
		}
		began := time.Now()
		assert.Equal(t, in.send("late", false), event.ClaimUnavailable)
		assert.Assert(t, time.Since(began) <= time.Second)
		before := wd.kv.Calls().Kinds["Range"]
		time.Sleep(time.Minute)
		calls := wd.kv.Calls().Kinds["Range"] - before
		assert.Assert(t, calls <= 4*60/4+8, "%d calls in a minute", calls)
		wd.kv.SetFaults(stand.Faults{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, in.send("late", false), event.ClaimWon)
	})
}

func TestResendWaitsForTheFirstEnd(t *testing.T) {
	// A caller's connection breaks while its update runs, and it sends it again through another instance.
	// The resend waits and gets the recorded outcome of the first run, for a few reads of the store. One whose first
	// run takes longer than its own time hears that it is under way.
	cases := map[string]struct {
		lasts time.Duration
		known bool
	}{
		"soon over":  {3 * time.Second, true},
		"takes long": {time.Minute, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wd := newWorld(t, 2, 1)
				ky := once.Key{Organisation: "o", Service: "s", Key: "k"}
				long, cancel := context.WithTimeout(wd.ctx, 10*time.Minute)
				defer cancel()
				result, _ := wd.instances[0].current.Load().Claim(long, ky, event.Digest{1}, "first")
				assert.Equal(t, result, event.ClaimWon)
				time.AfterFunc(tc.lasts, func() {
					_ = wd.instances[0].current.Load().Settle(wd.ctx, ky, "first", event.Outcome{Known: true, Status: 200}, false)
				})
				before := wd.kv.Calls().Kinds["Range"]
				short, cancel := context.WithTimeout(wd.ctx, 20*time.Second)
				defer cancel()
				result, out := wd.instances[1].current.Load().Claim(short, ky, event.Digest{1}, "resend")
				assert.Equal(t, result, event.ClaimRepeated)
				assert.Equal(t, out.Known, tc.known)
				assert.Equal(t, out.Running, !tc.known)
				reads := wd.kv.Calls().Kinds["Range"] - before
				assert.Assert(t, reads <= 25, "%d reads", reads)
			})
		})
	}
}

func TestAnotherContentUnderTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wd := newWorld(t, 2, 1)
		ky := once.Key{Organisation: "o", Service: "s", Key: "k"}
		result, _ := wd.instances[0].current.Load().Claim(t.Context(), ky, event.Digest{1}, "a")
		assert.Equal(t, result, event.ClaimWon)
		result, _ = wd.instances[1].current.Load().Claim(t.Context(), ky, event.Digest{2}, "b")
		assert.Equal(t, result, event.ClaimConflict)
	})
}

func TestWritesStayUnderTheBudget(t *testing.T) {
	// Thirty instances take 600 claims a second, more than the platform's writes. The homes put many claims into one
	// write, so the store is asked at most 256 times a second, outcomes included, and no claim is refused.
	synctest.Test(t, func(t *testing.T) {
		wd := newWorld(t, 30, 1)
		const seconds = 10
		var group sync.WaitGroup
		for i := range 600 * seconds {
			group.Go(func() {
				assert.Check(t, wd.instances[i%30].send(fmt.Sprintf("k%d", i), false) == event.ClaimWon)
			})
			if i%30 == 0 {
				time.Sleep(50 * time.Millisecond)
			}
		}
		group.Wait()
		writes := wd.kv.Calls().Kinds["Txn"]
		assert.Assert(t, writes <= 256*(seconds+2), "%d writes", writes)
	})
}

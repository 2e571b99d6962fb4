package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/fault"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/plat"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// faultFunc does a fault until the context ends and undoes it before it returns.
type faultFunc func(holding context.Context, st *site) error

// slowStore is the delay of a slow store's calls, each way.
const slowStore = 500 * time.Millisecond

// faults are all that a run can inject, by name.
var faults = map[string]faultFunc{
	"engine-killed":       engineKilled,
	"instance-killed":     instanceKilled,
	"instance-paused":     instancePaused,
	"store-down":          storeFault(fault.Faults{Reset: true}, true),
	"store-slow":          storeFault(fault.Faults{Delay: decl.Duration(slowStore)}, false),
	"answers-lost":        answersLost,
	"operators-racing":    operatorsRacing,
	"connections-silent":  connectionsSilent,
	"poison":              poison,
	"domain-away":         domainAway,
	"rolling-replacement": rollingReplacement,
}

// Names returns the names of all faults.
func Names() []string {
	return slices.Sorted(maps.Keys(faults))
}

func find(names []string) ([]faultFunc, error) {
	var found []faultFunc
	for _, name := range names {
		inject, ok := faults[name]
		if !ok {
			return nil, fmt.Errorf("proof: no fault %q; give some of %s", name, strings.Join(Names(), ", "))
		}
		found = append(found, inject)
	}
	return found, nil
}

// engineKilled kills an engine in mid-work and starts it again at the end.
func engineKilled(holding context.Context, st *site) error {
	up := st.of("lyric")[0]
	up.killed.Store(up.answers(holding))
	killed := st.processOf(up)
	if err := killed.Kill(); err != nil {
		return err
	}
	<-holding.Done()
	return st.restart(up, killed)
}

// endTime is how long a process that was killed or broke off its connections may take to end on a busy machine.
const endTime = 30 * time.Second

// answers tells that the replica takes connections. One whose process is about to end does not any more, while the end of
// the process itself may show much later.
func (up *upstream) answers(ctx context.Context) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", up.process.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// processOf returns the process that runs the replica now.
func (st *site) processOf(up *upstream) *fleet.Process {
	st.restarting.Lock()
	defer st.restarting.Unlock()
	return up.process
}

// restart runs a replica at its old address once the process has ended that it had. Two faults may end the same process;
// the first to come here restarts the replica, and the other finds another process.
func (st *site) restart(up *upstream, ended *fleet.Process) error {
	st.restarting.Lock()
	defer st.restarting.Unlock()
	if up.process != ended {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	// A killed process ends with an error, which is expected.
	if err := ended.Wait(ctx); errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("proof: the process of %s did not end in %v; look at what holds it", up.name, endTime)
	}
	return st.startProcess(up, ended.Address)
}

// instanceKilled kills an instance; another one takes its place at the end.
func instanceKilled(holding context.Context, st *site) error {
	mb := st.balancer.all()[0]
	st.balancer.broken(mb)
	mb.killed.Store(true)
	if err := mb.process.Kill(); err != nil {
		return err
	}
	<-holding.Done()
	st.balancer.remove(mb)
	if err := plat.Remove(st.fleet.Platform.Address, mb.name); err != nil {
		return err
	}
	_, err := st.startInstance(context.WithoutCancel(holding))
	return err
}

// instancePaused freezes an instance, longer than any lease lasts if the hold is long enough, and lets it go on.
func instancePaused(holding context.Context, st *site) error {
	all := st.balancer.all()
	mb := all[len(all)-1]
	st.balancer.broken(mb)
	if err := mb.process.Pause(); err != nil {
		return err
	}
	<-holding.Done()
	defer st.balancer.mended(mb)
	return mb.process.Resume()
}

// storeFault puts faults between the instances and the store; with cut its open connections end at once.
func storeFault(fs fault.Faults, cut bool) faultFunc {
	return func(holding context.Context, st *site) error {
		if err := st.store.Set(fs); err != nil {
			return err
		}
		if cut {
			st.store.Cut()
		}
		<-holding.Done()
		return st.store.Set(fault.Faults{})
	}
}

// losePeriod is how long the store's answers are lost, and then not, in turn.
const losePeriod = 150 * time.Millisecond

// answersLost loses the answers of calls that took effect, now and then.
func answersLost(holding context.Context, st *site) error {
	for lose := true; ; lose = !lose {
		if err := st.store.Set(fault.Faults{LoseAnswer: lose}); err != nil {
			return err
		}
		if !delay.For(holding, losePeriod) {
			return st.store.Set(fault.Faults{})
		}
	}
}

// operatorsRacing lets two operators patch the same version again and again, past the faults of the store.
func operatorsRacing(holding context.Context, st *site) error {
	ended := make(chan int, 2)
	for operator := range cap(ended) {
		go func() { ended <- st.patch(holding, operator) }()
	}
	one, two := <-ended, <-ended
	st.note("operators: %d and %d patches landed", one, two)
	return nil
}

// patch submits patches until the context ends and returns how many landed. A patch without a clear answer is sent again
// under its id, as operators are told to.
func (st *site) patch(ctx context.Context, operator int) int {
	client := store.New(st.store.Address)
	defer client.Close()
	log := conf.New(client)
	landed := 0
	for number := 0; ctx.Err() == nil; number++ {
		cfg, err := log.Load(ctx)
		if err != nil {
			delay.For(ctx, patchPause)
			continue
		}
		limit := fmt.Sprintf(`[{"op":"add","path":"/Services/lyric/Deadline","value":"%dms"}]`, deadline.Milliseconds())
		patch := conf.Patch{
			ID: fmt.Sprintf("race-%d-%d", operator, number), Base: cfg.Version, Author: fmt.Sprint(operator),
			At: time.Now(), Operations: []byte(limit),
		}
		if version, err := submitUntilClear(ctx, log, patch); err == nil {
			landed++
			st.accepted(version)
		}
		delay.For(ctx, patchPause)
	}
	return landed
}

// patchPause is the time between two tries of an operator. It is far shorter than losePeriod, so that tries fall into
// times with and without answers; at twice losePeriod each of them met the same half.
const patchPause = 20 * time.Millisecond

func submitUntilClear(ctx context.Context, log *conf.Log, patch conf.Patch) (int64, error) {
	for {
		version, err := log.Submit(ctx, patch)
		if err == nil || ctx.Err() != nil || errorx.IsOfType(err, conf.Stale) {
			return version, err
		}
		delay.For(ctx, patchPause)
	}
}

func (st *site) accepted(version int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.landed = max(st.landed, version)
}

// connectionsSilent makes all open connections to the upstreams silent, for good.
func connectionsSilent(_ context.Context, st *site) error {
	silenced := int64(0)
	for _, up := range st.upstreams {
		before := up.proxy.Counts().Silenced
		up.proxy.Silence()
		silenced += up.proxy.Counts().Silenced - before
	}
	st.note("silenced %d connections", silenced)
	return nil
}

// poison lets a caller send a request that crashes each engine that runs it, again and again, to any instance.
func poison(holding context.Context, st *site) error {
	client := newCallers(st, Options{Seed: 1}).client
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for holding.Err() == nil {
		mb := st.balancer.any(random)
		caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: client}
		// The last one is waited for too: an engine that it takes down later would not be restarted.
		waiting, cancel := context.WithTimeout(context.WithoutCancel(holding), settleTime)
		res := caller.Complete(waiting, "lyric", stand.PoisonMarker+" "+load.Prompt(500, 1), 10)
		cancel()
		if res.Status == 422 {
			refused++
		}
		delay.For(holding, 100*time.Millisecond)
	}
	for _, up := range st.of("lyric") {
		process := st.processOf(up)
		if up.answers(context.Background()) {
			continue
		}
		if !up.killed.Load() {
			st.deaths++
		}
		if err := st.restart(up, process); err != nil {
			return err
		}
	}
	st.note("poison: %d engines died, %d resends refused as quarantined", st.deaths, refused)
	return nil
}

// domainAway cuts one failure domain's upstreams off: nothing passes, and no connection ends.
func domainAway(holding context.Context, st *site) error {
	away := domains[0]
	for _, up := range st.upstreams {
		if up.domain == away {
			up.proxy.Silence()
			if err := up.proxy.Set(fault.Faults{Drop: 1}); err != nil {
				return err
			}
		}
	}
	<-holding.Done()
	for _, up := range st.upstreams {
		// Connections that were opened meanwhile never come back either.
		if err := up.proxy.Set(fault.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// rollingReplacement replaces every instance, one after another, however long it takes.
func rollingReplacement(holding context.Context, st *site) error {
	ctx := context.WithoutCancel(holding)
	old := st.balancer.all()
	for _, mb := range old {
		if _, err := st.startInstance(ctx); err != nil {
			return err
		}
		if err := st.stopInstance(ctx, mb); err != nil {
			return err
		}
	}
	st.note("replaced %d instances", len(old))
	return nil
}

// dumpTime is what a process that does not stop gets to write its stacks.
const dumpTime = 2 * time.Second

// stopInstance stops an instance as the platform does: listed as leaving, terminated, and waited for.
func (st *site) stopInstance(ctx context.Context, mb *member) error {
	if err := mb.process.Terminate(); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, 3*settleTime)
	defer cancel()
	err := mb.process.Wait(limited)
	st.balancer.remove(mb)
	if limited.Err() != nil {
		// What it waits for is in its stacks, which its log then holds.
		err = errors.Join(err, mb.process.Dump())
		delay.For(ctx, dumpTime)
	}
	if err != nil && !mb.killed.Load() {
		return fmt.Errorf("instance %s did not stop well: %w", mb.name, err)
	}
	return plat.Remove(st.fleet.Platform.Address, mb.name)
}

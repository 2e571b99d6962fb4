package proof

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
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

// faultFunc injects a fault, holds it until the context ends, and undoes it before it returns.
type faultFunc func(holding context.Context, st *setup) error

// slowStore is the delay, in each direction, between the instances and a slow store.
const slowStore = 500 * time.Millisecond

// faults holds all faults that a run can inject, by name.
var faults = map[string]faultFunc{
	"engine-killed":       engineKilled,
	"instance-killed":     instanceKilled,
	"instance-paused":     instancePaused,
	"store-down":          storeFault(fault.Faults{Reset: true}, true),
	"store-slow":          storeFault(fault.Faults{Delay: decl.Duration(slowStore)}, false),
	"store-returns":       storeReturns,
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
			return nil, fmt.Errorf("proof: unknown fault %q; give one or more of %s", name, strings.Join(Names(), ", "))
		}
		found = append(found, inject)
	}
	return found, nil
}

// engineKilled kills an engine under load and restarts it at the end.
func engineKilled(holding context.Context, st *setup) error {
	up := st.replicas("lyric")[0]
	up.killed.Store(up.acceptsConnections(holding))
	killed := st.processOf(up)
	if err := killed.Kill(); err != nil {
		return err
	}
	<-holding.Done()
	return st.restart(up, killed)
}

// exitTimeout is how long a process that was killed or has closed its connections may take to exit on a busy machine.
const exitTimeout = 30 * time.Second

// acceptsConnections reports whether the replica accepts connections. A process that is about to exit accepts none, while
// its exit may be seen much later.
func (up *upstream) acceptsConnections(ctx context.Context) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", up.process.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// processOf returns the current process of the replica.
func (st *setup) processOf(up *upstream) *fleet.Process {
	st.restarting.Lock()
	defer st.restarting.Unlock()
	return up.process
}

// restart waits for the exit of the replica's process ended and starts a new one at the same address. If two faults ended
// the same process, the first call restarts the replica, and the second finds a new process and does nothing.
func (st *setup) restart(up *upstream, ended *fleet.Process) error {
	st.restarting.Lock()
	defer st.restarting.Unlock()
	if up.process != ended {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	// Wait returns an error for a killed process, which is expected.
	if err := ended.Wait(ctx); errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("proof: process of %s did not exit within %v; check what blocks it", up.name, exitTimeout)
	}
	return st.startProcess(up, ended.Address)
}

// instanceKilled kills an instance and replaces it by a new one at the end.
func instanceKilled(holding context.Context, st *setup) error {
	mb := st.balancer.all()[0]
	st.balancer.recordFault(mb)
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

// instancePaused pauses an instance and resumes it. If the hold is long enough, all leases of the instance expire meanwhile.
func instancePaused(holding context.Context, st *setup) error {
	all := st.balancer.all()
	mb := all[len(all)-1]
	st.balancer.recordFault(mb)
	if err := mb.process.Pause(); err != nil {
		return err
	}
	<-holding.Done()
	defer st.balancer.recordResume(mb)
	return mb.process.Resume()
}

// storeFault injects faults between the instances and the store. If cut is set, it also closes the open connections.
func storeFault(fs fault.Faults, cut bool) faultFunc {
	return func(holding context.Context, st *setup) error {
		if err := st.storeProxy.Set(fs); err != nil {
			return err
		}
		if cut {
			st.storeProxy.Cut()
		}
		<-holding.Done()
		return st.storeProxy.Set(fault.Faults{})
	}
}

const (
	// copyAge is the age of the copies from which the store returns.
	copyAge = 300 * time.Millisecond
	// absence is how long the store is away before it returns.
	absence = 200 * time.Millisecond
	// returnPause is the time between a return and the next copy, above the time in which lost patches and claims are written again.
	returnPause = store.RestoreTime + 2*time.Second
)

// storeReturns lets the store return from a copy again and again, each time after an absence.
func storeReturns(holding context.Context, st *setup) error {
	returns := 0
	for {
		if err := st.callStandIn(stand.PathCopy); err != nil {
			return err
		}
		delay.For(holding, copyAge)
		if err := st.storeProxy.Set(fault.Faults{Reset: true}); err != nil {
			return err
		}
		st.storeProxy.Cut()
		delay.For(context.WithoutCancel(holding), absence)
		err := st.callStandIn(stand.PathReturn)
		if err := errors.Join(err, st.storeProxy.Set(fault.Faults{})); err != nil {
			return err
		}
		returns++
		if !delay.For(holding, returnPause) {
			st.addNote("the store returned from a copy %d times", returns)
			return nil
		}
	}
}

// callStandIn makes a call to the platform's stand-in.
func (st *setup) callStandIn(path string) error {
	resp, err := http.Post("http://"+st.fleet.Platform.Address+path, "", nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// lossPeriod is the length of the alternating periods in which the store's answers are lost and not lost.
const lossPeriod = 150 * time.Millisecond

// answersLost loses the answers to store calls that took effect, in every other lossPeriod.
func answersLost(holding context.Context, st *setup) error {
	for lose := true; ; lose = !lose {
		if err := st.storeProxy.Set(fault.Faults{LoseAnswer: lose}); err != nil {
			return err
		}
		if !delay.For(holding, lossPeriod) {
			return st.storeProxy.Set(fault.Faults{})
		}
	}
}

// operatorsRacing lets two operators submit patches to the same version repeatedly, and retry them when the store fails.
func operatorsRacing(holding context.Context, st *setup) error {
	ended := make(chan int, 2)
	for operator := range cap(ended) {
		go func() { ended <- st.submitPatches(holding, operator) }()
	}
	a, b := <-ended, <-ended
	st.addNote("operators: %d and %d patches accepted", a, b)
	return nil
}

// submitPatches submits patches until the context ends and returns how many were accepted. A patch whose outcome is unknown
// is submitted again under the same ID, as operators are told to do.
func (st *setup) submitPatches(ctx context.Context, operator int) int {
	client := store.New(st.storeProxy.Address)
	defer client.Close()
	log := conf.New(client)
	accepted := 0
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
		if version, err := submitUntilResolved(ctx, log, patch); err == nil {
			accepted++
			st.recordAccepted(version)
		}
		delay.For(ctx, patchPause)
	}
	return accepted
}

// patchPause is the time between two attempts of an operator. It is far shorter than lossPeriod, so that attempts fall into
// periods with and without lost answers; at twice lossPeriod, all attempts would fall into the same kind of period.
const patchPause = 20 * time.Millisecond

// submitUntilResolved submits the patch again until it is accepted, rejected as stale, or the context ends.
func submitUntilResolved(ctx context.Context, log *conf.Log, patch conf.Patch) (int64, error) {
	for {
		version, err := log.Submit(ctx, patch)
		if err == nil || ctx.Err() != nil || errorx.IsOfType(err, conf.Stale) {
			return version, err
		}
		delay.For(ctx, patchPause)
	}
}

func (st *setup) recordAccepted(version int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.acceptedVersion = max(st.acceptedVersion, version)
}

// connectionsSilent makes all open connections to the upstreams silent for good, while new ones work.
func connectionsSilent(_ context.Context, st *setup) error {
	silenced := int64(0)
	for _, up := range st.upstreams {
		before := up.proxy.Counts().Silenced
		up.proxy.Silence()
		silenced += up.proxy.Counts().Silenced - before
	}
	st.addNote("silenced %d connections", silenced)
	return nil
}

// poison lets a caller repeatedly send a request that crashes each engine that runs it, to random instances.
func poison(holding context.Context, st *setup) error {
	client := newCallers(st, Options{Seed: 1}).client
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for holding.Err() == nil {
		mb := st.balancer.randomMember(random)
		caller := &load.Caller{Address: mb.process.Address, Token: callerToken, HTTP: client}
		// Wait for the last request too: otherwise an engine that it crashes later would not be restarted.
		waiting, cancel := context.WithTimeout(context.WithoutCancel(holding), settleTime)
		res := caller.Complete(waiting, "lyric", stand.PoisonMarker+" "+load.Prompt(500, 1), 10)
		cancel()
		if res.Status == 422 {
			refused++
		}
		delay.For(holding, 100*time.Millisecond)
	}
	for _, up := range st.replicas("lyric") {
		process := st.processOf(up)
		if up.acceptsConnections(context.Background()) {
			continue
		}
		if !up.killed.Load() {
			st.crashes++
		}
		if err := st.restart(up, process); err != nil {
			return err
		}
	}
	st.addNote("poison: %d engines crashed, %d requests refused as quarantined", st.crashes, refused)
	return nil
}

// domainAway partitions off the upstreams of one failure domain: no data passes, and no connection is closed.
func domainAway(holding context.Context, st *setup) error {
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
		// Connections that were opened during the partition stay silent for good.
		if err := up.proxy.Set(fault.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// rollingReplacement replaces the instances one after another. It is not stopped at the end of the hold.
func rollingReplacement(holding context.Context, st *setup) error {
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
	st.addNote("replaced %d instances", len(old))
	return nil
}

// dumpDelay is how long a process that did not stop in time has to write its stacks.
const dumpDelay = 2 * time.Second

// stopInstance stops an instance: it sends the termination signal, waits for the exit, and then removes the instance from
// the platform's list.
func (st *setup) stopInstance(ctx context.Context, mb *member) error {
	if err := mb.process.Terminate(); err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, 3*settleTime)
	defer cancel()
	err := mb.process.Wait(limited)
	st.balancer.remove(mb)
	if limited.Err() != nil {
		// The stacks in the instance's log show what blocks the shutdown.
		err = errors.Join(err, mb.process.Dump())
		delay.For(ctx, dumpDelay)
	}
	if err != nil && !mb.killed.Load() {
		return fmt.Errorf("instance %s did not stop cleanly: %w", mb.name, err)
	}
	return plat.Remove(st.fleet.Platform.Address, mb.name)
}

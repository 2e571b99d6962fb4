package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/fleet"
	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/permit"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// longMemory is one engine's memory in tokens; the prompts of these tests are 2.5 times as long.
const longMemory = 40_000

// longFleet is a pool of engines with little memory and the instances that share the pool.
type longFleet struct {
	*fleet.Fleet
	t       testing.TB
	engines []*fleet.Process
	entries []*fleet.Process
}

func newLongFleet(t testing.TB, engines, entries int) *longFleet {
	t.Helper()
	if test, ok := t.(*testing.T); ok {
		test.Parallel()
	}
	lf := &longFleet{Fleet: &fleet.Fleet{}, t: t}
	t.Cleanup(lf.Close)
	assert.NilError(t, lf.StartPlatform("--list-lag", "0s"))
	lf.configure()
	for i := range engines {
		engine, err := lf.StartEngine(fmt.Sprintf("lyric-%d", i), "lyric", "a",
			"--memory-tokens", fmt.Sprint(longMemory), "--step", "10ms", "--prefill-chunk", "4000")
		assert.NilError(t, err)
		lf.engines = append(lf.engines, engine)
	}
	for i := range entries {
		inst, err := lf.StartEntry(fmt.Sprintf("entry-%d", i), "a", "--list-period", "100ms", "--drain-notice", "0s")
		assert.NilError(t, err)
		lf.entries = append(lf.entries, inst)
	}
	for _, inst := range lf.entries {
		assert.NilError(t, fleet.WaitReady(t.Context(), inst.Address))
	}
	return lf
}

func (lf *longFleet) configure() {
	cfg := decl.Config{
		Services: map[string]decl.Service{
			"lyric": {
				Kind: decl.KindModel, Models: []decl.Model{{Name: "lyric"}}, MemoryTokens: longMemory,
				PrefillTokensPerSecond: 200_000, DecodeTokensPerSecond: 100,
			},
		},
		Organisations: map[string]decl.Organisation{"parish": {TokenDigests: []string{decl.TokenDigest(token)}}},
		LengthClasses: []decl.LengthClass{
			{Name: "Short", MaxTokens: 10_000, Priority: 1}, {Name: "Long", MaxTokens: 200_000, Long: true},
		},
	}
	assert.NilError(lf.t, conf.Seed(lf.t.Context(), lf.Platform.Address, &cfg))
}

// sendLong sends a prompt of 2.5 times one engine's memory through the numbered instance.
func (lf *longFleet) sendLong(entry int, answer int64) chan load.Result {
	caller := &load.Caller{Address: lf.entries[entry].Address, Token: token, HTTP: http.DefaultClient}
	ended := make(chan load.Result, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(lf.t.Context()), time.Minute)
		defer cancel()
		ended <- caller.Complete(ctx, "lyric", load.Prompt(longMemory*5/2, uint64(entry)), answer)
	}()
	return ended
}

// state returns the state of the engine stand-in, or false if the engine is dead.
func (lf *longFleet) state(engine *fleet.Process) (stand.State, bool) {
	var st stand.State
	resp, err := http.Get("http://" + engine.Address + stand.PathState)
	if err != nil {
		return st, false
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st) == nil
}

// statesTimeout is how long waitForStates waits, far longer than any reservation lasts.
const statesTimeout = 2 * time.Minute

// waitForStates waits until wanted reports true for the states of the engines that are alive, in the order of the engines.
func (lf *longFleet) waitForStates(wanted func(states []stand.State) bool) {
	lf.t.Helper()
	limited, cancel := context.WithTimeout(lf.t.Context(), statesTimeout)
	defer cancel()
	for {
		var states []stand.State
		for _, engine := range lf.engines {
			if st, ok := lf.state(engine); ok {
				states = append(states, st)
			}
		}
		if wanted(states) {
			return
		}
		if limited.Err() != nil {
			lf.t.Fatalf("the engines did not reach the wanted state: %+v", states)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func memoryFreed(states []stand.State) bool {
	for _, st := range states {
		if st.UsedTokens > 0 {
			return false
		}
	}
	return true
}

func TestPromptOverSeveralEngines(t *testing.T) {
	// A prompt of 2.5 times one engine's memory is split over three engines, and the caller must get the whole answer. Then
	// an engine with a segment is killed during another such answer. The last engine cannot continue without the segment, so
	// the request needs a new permit. The caller must get the rest from the remaining engines, or a clear failure. After
	// both requests all engine memory must be free.
	lf := newLongFleet(t, 4, 2)
	res := <-lf.sendLong(0, 20)
	assert.Equal(t, res.Outcome, load.OutcomeWhole, res.Detail)
	lf.waitForStates(memoryFreed)
	ended := lf.sendLong(1, 300)
	lf.waitForStates(func(states []stand.State) bool { return generating(states) })
	for _, engine := range lf.engines {
		if st, _ := lf.state(engine); len(st.Exports) > 0 {
			assert.NilError(t, engine.Kill())
			break
		}
	}
	res = <-ended
	plain := res.Outcome == load.OutcomeWhole || res.Outcome == load.OutcomeFailed || res.Outcome == load.OutcomeRefused
	assert.Assert(t, plain, "%s: %s", res.Outcome, res.Detail)
	t.Logf("with an engine killed during the answer: %s %s", res.Outcome, res.Detail)
	lf.waitForStates(memoryFreed)
}

// generating reports whether two engines hold segments and a third runs the request itself.
func generating(states []stand.State) bool {
	exports, running := 0, 0
	for _, st := range states {
		exports += len(st.Exports)
		running += len(st.Requests)
	}
	return exports == 2 && running == 1
}

// coordinator returns the number of the instance that coordinates the pool and of the one that would replace it.
func (lf *longFleet) coordinator() (coordinator, other int) {
	var instances []event.Instance
	for _, inst := range lf.entries {
		instances = append(instances, event.Instance{Name: inst.Name, Peer: inst.Peer, FailureDomain: "a"})
	}
	best := permit.Coordinators(instances, permit.Pool{Service: "lyric", FailureDomain: "a"})
	number := func(name string) int {
		return slices.IndexFunc(lf.entries, func(inst *fleet.Process) bool { return inst.Name == name })
	}
	return number(best[0].Name), number(best[1].Name)
}

func TestSegmentsFreedAfterInstanceKilled(t *testing.T) {
	// Guards against engine memory that is never freed. An instance is killed that coordinates the pool and streams an answer
	// over three engines. Nothing ends the segments on the first two engines. The next coordinator received their permits,
	// detects the death by its probes, and must have the engines free them.
	lf := newLongFleet(t, 3, 3)
	holder, _ := lf.coordinator()
	ended := lf.sendLong(holder, 2000)
	lf.waitForStates(generating)
	time.Sleep(2 * permit.RenewPeriod)
	assert.NilError(t, lf.entries[holder].Kill())
	killed := time.Now()
	res := <-ended
	assert.Assert(t, res.Outcome != load.OutcomeWhole)
	lf.waitForStates(memoryFreed)
	t.Logf("memory freed %s after the holder and coordinator was killed", time.Since(killed).Round(10*time.Millisecond))
}

func TestCoordinatorKilled(t *testing.T) {
	// The pool's coordinator is killed while a prompt over three engines runs through another instance, and another such
	// prompt arrives. The running prompt must not be affected. The other one requests a permit from the dead coordinator and
	// then from the next one. That one must first learn which permits are held, so that the prompt waits until the running
	// one ends, and then gets a whole answer.
	lf := newLongFleet(t, 3, 3)
	coordinator, other := lf.coordinator()
	alone := <-lf.sendLong(other, 5)
	assert.Equal(t, alone.Outcome, load.OutcomeWhole, alone.Detail)
	running := lf.sendLong(other, 200)
	lf.waitForStates(generating)
	assert.NilError(t, lf.entries[coordinator].Kill())
	killed := time.Now()
	next := lf.sendLong(other, 5)
	first := <-running
	assert.Equal(t, first.Outcome, load.OutcomeWhole, first.Detail)
	ended := time.Now()
	second := <-next
	assert.Equal(t, second.Outcome, load.OutcomeWhole, second.Detail)
	t.Logf("time to first token: %s with the coordinator alive, %s after its death; the running prompt ended %s after it",
		alone.FirstToken.Round(time.Millisecond), second.FirstToken.Round(time.Millisecond), ended.Sub(killed).Round(time.Millisecond))
	lf.waitForStates(memoryFreed)
}

// BenchmarkTakeover measures the time to first token of a prompt over three engines that is sent right after the pool's
// coordinator was killed, and for comparison that of prompts sent before.
func BenchmarkTakeover(b *testing.B) {
	var before, after time.Duration
	for b.Loop() {
		lf := newLongFleet(b, 3, 3)
		coordinator, other := lf.coordinator()
		for range 2 {
			alone := <-lf.sendLong(other, 5)
			assert.Equal(b, alone.Outcome, load.OutcomeWhole, alone.Detail)
			before = max(before, alone.FirstToken)
			time.Sleep(permit.RenewPeriod)
		}
		assert.NilError(b, lf.entries[coordinator].Kill())
		next := <-lf.sendLong(other, 5)
		assert.Equal(b, next.Outcome, load.OutcomeWhole, next.Detail)
		after = max(after, next.FirstToken)
		lf.Close()
	}
	b.ReportMetric(before.Seconds(), "s-before-worst")
	b.ReportMetric(after.Seconds(), "s-after-worst")
}

// BenchmarkPeers measures the bytes per second and the processor time per second that one idle instance spends on its
// peers, by fleet size.
func BenchmarkPeers(b *testing.B) {
	for _, size := range []int{3, 10, 30} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			fl := &fleet.Fleet{}
			b.Cleanup(fl.Close)
			assert.NilError(b, fl.StartPlatform("--list-lag", "0s"))
			var instances []*fleet.Process
			for i := range size {
				inst, err := fl.StartEntry(fmt.Sprintf("entry-%02d", i), "a", "--metrics-listen", freePort(b, i))
				assert.NilError(b, err)
				instances = append(instances, inst)
			}
			// Instances open connections until each has probed every other one.
			time.Sleep(time.Duration(size+3) * time.Second)
			sent, received, busy := resourceUsage(b, instances)
			for b.Loop() {
				time.Sleep(time.Second)
			}
			sentAfter, receivedAfter, busyAfter := resourceUsage(b, instances)
			seconds := b.Elapsed().Seconds() * float64(size)
			b.ReportMetric((sentAfter-sent)/seconds, "sentB/s")
			b.ReportMetric((receivedAfter-received)/seconds, "receivedB/s")
			b.ReportMetric((busyAfter-busy)/seconds*1000, "cpu-ms/s")
		})
	}
}

func freePort(b *testing.B, number int) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = listener.Close() }()
	metricsAddresses[number] = listener.Addr().String()
	return metricsAddresses[number]
}

// metricsAddresses holds the metrics addresses of a benchmark's instances, by number.
var metricsAddresses = map[int]string{}

// resourceUsage returns the totals of all instances: the bytes sent to and received from peers, and the processor seconds.
func resourceUsage(b *testing.B, instances []*fleet.Process) (sent, received, busy float64) {
	b.Helper()
	for i, inst := range instances {
		resp, err := http.Get("http://" + metricsAddresses[i] + "/metrics")
		assert.NilError(b, err)
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.NilError(b, err)
		sent += metric(raw, "peers_sentbytes")
		received += metric(raw, "peers_receivedbytes")
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", inst.ProcessID()))
		assert.NilError(b, err)
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		busy += (user + system) / clockTicksPerSecond
	}
	return sent, received, busy
}

// clockTicksPerSecond is the number of units per second of the times in /proc.
const clockTicksPerSecond = 100

func metric(raw []byte, name string) float64 {
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, name) && !strings.HasPrefix(line, "#") {
			fields := strings.Fields(line)
			value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			return value
		}
	}
	return 0
}

package slope

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/burn"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Names of the series that MeasureState returns.
const (
	ReplicaMemory      = "Reducer.ReplicaMemory"
	OrganisationMemory = "Config.OrganisationMemory"
	RequestMemory      = "Reducer.RequestMemory"
	RequestTime        = "Reducer.RequestTime"
	ReportTime         = "Reducer.ReportTime"
	TickTime           = "Reducer.TickTime"
	ConfigApplyTime    = "Config.ApplyTime"
	ObjectiveMemory    = "Burn.ObjectiveMemory"
)

// Sizes at which the reducer and the configuration are measured.
var (
	replicaSizes      = []float64{40, 300, 1700, 12000}
	organisationSizes = []float64{10, 100, 400, 1700}
	requestSizes      = []float64{100, 1000, 10000}
	objectiveSizes    = []float64{10, 50, 200}
)

// modelCount is the number of services over which the replicas are spread.
const modelCount = 40

// epoch is the time of the first event; only differences matter.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// liveHeapBytes returns the bytes of live objects on the heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// heapGrowth returns the bytes that the result of build keeps alive.
func heapGrowth(build func() any) float64 {
	before := liveHeapBytes()
	kept := build()
	after := liveHeapBytes()
	runtime.KeepAlive(kept)
	return max(0, after-before)
}

// MeasureState measures the memory and time of the reducer and the configuration in this process.
func MeasureState(progress func(done string)) []Series {
	steps := []measurement{
		{ReplicaMemory, "B", "Replicas", replicaSizes, replicaMemory},
		{OrganisationMemory, "B", "Organisations", organisationSizes, organisationMemory},
		{RequestMemory, "B", "OpenRequests", requestSizes, openRequests},
		{RequestTime, "ns", "Replicas", replicaSizes, requestTime},
		{ReportTime, "ns", "Replicas", replicaSizes, reportTime},
		{TickTime, "ns", "Replicas", replicaSizes, tickTime},
		{ConfigApplyTime, "ns", "Organisations", organisationSizes, applyTime},
		{ObjectiveMemory, "B", "Objectives", objectiveSizes, objectiveMemory},
	}
	series := make([]Series, 0, len(steps))
	for _, step := range steps {
		series = append(series, step.run())
		progress(step.name)
	}
	return series
}

// measurement is a value to be measured at several sizes.
type measurement struct {
	name, unit, variable string
	sizes                []float64
	value                func(size int) float64
}

func (ms measurement) run() Series {
	sr := Series{Name: ms.name, Unit: ms.unit, Variable: ms.variable, Command: "sailbench slopes state"}
	for _, size := range ms.sizes {
		sr.Samples = append(sr.Samples, Sample{Size: size, Value: ms.value(int(size))})
	}
	return sr
}

func replicaMemory(size int) float64 {
	return heapGrowth(func() any { return newInstance(size, 10) })
}

func organisationMemory(size int) float64 {
	return heapGrowth(func() any { return newConfig(size) })
}

// newConfig returns a configuration with the Organisations and modelCount services.
func newConfig(organisations int) *decl.Config {
	cfg := &decl.Config{Version: 1, Organisations: map[string]decl.Organisation{}, Services: map[string]decl.Service{}}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		cfg.Organisations[name] = decl.Organisation{
			TokenDigests: []string{decl.TokenDigest(name)},
			Weight:       1,
			Limits:       decl.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12},
		}
	}
	for i := range modelCount {
		name := serviceName(i)
		cfg.Services[name] = decl.Service{
			Kind:         decl.KindModel,
			Models:       []decl.Model{{Name: name}},
			MemoryTokens: 400_000,
			MaxRunning:   1 << 40,
		}
	}
	return cfg
}

func serviceName(number int) string {
	return "model-" + strconv.Itoa(number%modelCount)
}

// newInstance returns the reducer of an Instance with the replicas and the Organisations.
func newInstance(replicas, organisations int) *core.State {
	st := core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1})
	st.Reduce(epoch, event.ConfigAccepted{Config: newConfig(organisations)})
	var listed event.UpstreamsListed
	for i := range replicas {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{
			Name:          "replica-" + strconv.Itoa(i),
			Service:       serviceName(i),
			Address:       fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			FailureDomain: string(rune('a' + i/modelCount%7)),
		})
	}
	st.Reduce(epoch, listed)
	return st
}

func arrival(number int) event.Arrived {
	return event.Arrived{
		ID:           event.RequestID(number),
		Organisation: fmt.Sprintf("organisation-%04d", number%10),
		Service:      serviceName(number),
		Model:        serviceName(number),
		PromptTokens: 2000,
		MaxTokens:    200,
		Deadline:     epoch.Add(time.Hour),
		Idempotent:   true,
		Prefixes:     make([]uint64, 7),
	}
}

func openRequests(size int) float64 {
	st := newInstance(300, 10)
	return heapGrowth(func() any {
		for i := 1; i <= size; i++ {
			st.Reduce(epoch, arrival(i))
		}
		return st
	})
}

// requestTime returns the reducer's total time for one short request in ns: arrival, first byte and end.
func requestTime(replicas int) float64 {
	st := newInstance(replicas, 1700)
	return nanosecondsPerCall(func(number int) {
		now := epoch.Add(time.Duration(number) * time.Millisecond)
		id := event.RequestID(number)
		ev := arrival(number)
		ev.Deadline = now.Add(time.Minute)
		st.Reduce(now, ev)
		name := st.Requests[id].Upstreams[0].Name
		st.Reduce(now, event.AnswerStarted{ID: id, Attempt: 1})
		st.Reduce(now, event.AttemptEnded{ID: id, Attempt: 1, Upstream: name, Result: event.ResultDone})
	})
}

func perOperation(result testing.BenchmarkResult) float64 {
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

// nanosecondsPerCall returns the mean time of a call of step in ns. step receives the number of the call, from 1.
func nanosecondsPerCall(step func(number int)) float64 {
	number := 0
	return perOperation(testing.Benchmark(func(bm *testing.B) {
		for range bm.N {
			number++
			step(number)
		}
	}))
}

func reportTime(replicas int) float64 {
	st := newInstance(replicas, 10)
	return nanosecondsPerCall(func(number int) {
		now := epoch.Add(time.Duration(number) * time.Millisecond)
		st.Reduce(now, event.LoadReported{Upstream: "replica-" + strconv.Itoa(number%replicas), At: now, Load: event.Load{Running: 1}})
	})
}

// tickTime returns the time of a tick without any work in ns.
func tickTime(replicas int) float64 {
	st := newInstance(replicas, 10)
	return nanosecondsPerCall(func(number int) {
		st.Reduce(epoch.Add(time.Duration(number)*event.TickPeriod), event.Ticked{})
	})
}

func applyTime(organisations int) float64 {
	cfg := newConfig(organisations)
	return nanosecondsPerCall(func(int) {
		applySmallPatch(cfg)
	})
}

func objectiveMemory(size int) float64 {
	return heapGrowth(func() any {
		trackers := make([]*burn.Tracker, size)
		for i := range trackers {
			trackers[i] = burn.New()
		}
		return trackers
	})
}

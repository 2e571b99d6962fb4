package core_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// benchSize holds the sizes on which the cost of an event may depend.
type benchSize struct {
	services      int
	upstreams     int
	organisations int
	// queued is the number of requests that wait at any time because the replicas are full.
	queued int
}

// reducerBench drives a reducer with a steady stream of requests.
type reducerBench struct {
	st      *core.State
	now     time.Time
	size    benchSize
	nextID  event.RequestID
	running []effect.Send
	events  int
}

func newReducerBench(bs benchSize) *reducerBench {
	rb := &reducerBench{st: core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1}), now: start, size: bs}
	cfg := &decl.Config{Version: 1, Services: map[string]decl.Service{}, Organisations: map[string]decl.Organisation{}}
	for i := range bs.services {
		cfg.Services[serviceName(i)] = decl.Service{Kind: decl.KindModel, MemoryTokens: 400_000, MaxRunning: 32}
	}
	for i := range bs.organisations {
		cfg.Organisations[fmt.Sprintf("organisation-%d", i)] = decl.Organisation{
			Limits: decl.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, RequestsInFlight: 1e9, TokensInFlight: 1e12},
		}
	}
	rb.st.Reduce(rb.now, event.ConfigAccepted{Config: cfg})
	rb.st.Reduce(rb.now, rb.listing())
	for bs.queued > 0 && rb.waiting() < bs.queued {
		rb.arrive()
	}
	return rb
}

func serviceName(i int) string { return fmt.Sprintf("lyric-%d", i) }

func (rb *reducerBench) listing() event.UpstreamsListed {
	var listed event.UpstreamsListed
	for i := range rb.size.upstreams {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{
			Name:          fmt.Sprintf("engine-%d", i),
			Service:       serviceName(i % rb.size.services),
			Address:       fmt.Sprintf("127.0.0.1:%d", 1024+i),
			FailureDomain: string(rune('a' + i/rb.size.services%3)),
		})
	}
	return listed
}

func (rb *reducerBench) waiting() int {
	total := 0
	for i := range rb.size.services {
		items, _ := rb.st.Admit.Waiting(serviceName(i))
		total += items
	}
	return total
}

func (rb *reducerBench) reduce(ev event.Event) {
	rb.events++
	for _, eff := range rb.st.Reduce(rb.now, ev) {
		if send, ok := eff.(effect.Send); ok {
			rb.running = append(rb.running, send)
		}
	}
}

func (rb *reducerBench) arrive() {
	rb.nextID++
	number := int(rb.nextID)
	rb.reduce(event.Arrived{
		ID:           rb.nextID,
		Organisation: fmt.Sprintf("organisation-%d", number*7919%rb.size.organisations),
		Service:      serviceName(number % rb.size.services),
		PromptTokens: int64(1000 + number*37%3000),
		MaxTokens:    100,
		Deadline:     rb.now.Add(time.Hour),
		Idempotent:   true,
		Prefixes:     []uint64{uint64(number % 64), uint64(number % 64 << 8), uint64(number)},
	})
}

// step advances time by 25 ms, the interval between requests at 40 a second: one request arrives, one ends, and there are a
// load report and a tick for each 5 ms.
func (rb *reducerBench) step() {
	rb.now = rb.now.Add(25 * time.Millisecond)
	rb.arrive()
	for range 5 {
		rb.reduce(event.Ticked{})
	}
	rb.reduce(event.LoadReported{Upstream: "engine-0", At: rb.now.Add(-200 * time.Millisecond), Load: event.Load{Running: 5, MemoryTokens: 400_000}})
	if len(rb.running) <= 20 && rb.size.queued == 0 {
		return
	}
	send := rb.running[0]
	rb.running = rb.running[1:]
	rb.reduce(event.AnswerStarted{ID: send.ID, Attempt: send.Attempt})
	rb.reduce(event.AttemptEnded{ID: send.ID, Attempt: send.Attempt, Upstream: send.Upstreams[0].Name, Result: event.ResultDone, Offset: 100})
}

// BenchmarkReduce measures the cost of an event against each size on which it may depend. An operation is one request with
// its ticks and reports; the capacity page uses ns/event.
func BenchmarkReduce(b *testing.B) {
	today := benchSize{services: 4, upstreams: 30, organisations: 1700}
	cases := map[string]benchSize{
		"today":                   today,
		"upstreams=300":           {services: 4, upstreams: 300, organisations: 1700},
		"upstreams=3000":          {services: 40, upstreams: 3000, organisations: 1700},
		"upstreams=12000":         {services: 40, upstreams: 12000, organisations: 1700},
		"organisations=10":        {services: 4, upstreams: 30, organisations: 10},
		"organisations=100":       {services: 4, upstreams: 30, organisations: 100},
		"queued=100":              {services: 4, upstreams: 30, organisations: 1700, queued: 100},
		"queued=1000":             {services: 4, upstreams: 30, organisations: 1700, queued: 1000},
		"queued=10000":            {services: 4, upstreams: 30, organisations: 1700, queued: 10000},
		"upstreams=12000,q=10000": {services: 40, upstreams: 12000, organisations: 1700, queued: 10000},
	}
	for name, bs := range cases {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			rb := newReducerBench(bs)
			grown := heapBytes() - before
			rb.events = 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				rb.step()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rb.events), "ns/event")
			b.ReportMetric(float64(grown)/float64(bs.upstreams+bs.organisations+bs.queued), "state-B/entry")
		})
	}
}

// BenchmarkList measures the cost of one list of upstreams from the platform.
func BenchmarkList(b *testing.B) {
	for _, upstreams := range []int{30, 300, 3000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			rb := newReducerBench(benchSize{services: min(40, upstreams/3), upstreams: upstreams, organisations: 1700})
			listed := rb.listing()
			b.ReportAllocs()
			for b.Loop() {
				rb.reduce(listed)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

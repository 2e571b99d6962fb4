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

// size is what the cost of an event may depend on.
type size struct {
	services      int
	upstreams     int
	organisations int
	// queued is how many requests wait all the time because the replicas are full.
	queued int
}

// stand is a reducer under a steady stream of requests.
type stand struct {
	st      *core.State
	now     time.Time
	size    size
	nextID  event.RequestID
	running []effect.Send
	events  int
}

func newStand(sz size) *stand {
	sd := &stand{st: core.New(core.Options{Name: "entry-0", FailureDomain: "a", Seed: 1}), now: start, size: sz}
	cfg := &decl.Config{Version: 1, Services: map[string]decl.Service{}, Organisations: map[string]decl.Organisation{}}
	for i := range sz.services {
		cfg.Services[serviceName(i)] = decl.Service{Kind: decl.KindModel, MemoryTokens: 400_000, MaxRunning: 32}
	}
	for i := range sz.organisations {
		cfg.Organisations[fmt.Sprintf("organisation-%d", i)] = decl.Organisation{
			Limits: decl.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, RequestsInFlight: 1e9, TokensInFlight: 1e12},
		}
	}
	sd.st.Reduce(sd.now, event.ConfigAccepted{Config: cfg})
	sd.st.Reduce(sd.now, sd.listing())
	for sz.queued > 0 && sd.waiting() < sz.queued {
		sd.arrive()
	}
	return sd
}

func serviceName(i int) string { return fmt.Sprintf("lyric-%d", i) }

func (sd *stand) listing() event.UpstreamsListed {
	var listed event.UpstreamsListed
	for i := range sd.size.upstreams {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{
			Name:          fmt.Sprintf("engine-%d", i),
			Service:       serviceName(i % sd.size.services),
			Address:       fmt.Sprintf("127.0.0.1:%d", 1024+i),
			FailureDomain: string(rune('a' + i/sd.size.services%3)),
		})
	}
	return listed
}

func (sd *stand) waiting() int {
	total := 0
	for i := range sd.size.services {
		items, _ := sd.st.Admit.Waiting(serviceName(i))
		total += items
	}
	return total
}

func (sd *stand) reduce(ev event.Event) {
	sd.events++
	for _, eff := range sd.st.Reduce(sd.now, ev) {
		if send, ok := eff.(effect.Send); ok {
			sd.running = append(sd.running, send)
		}
	}
}

func (sd *stand) arrive() {
	sd.nextID++
	number := int(sd.nextID)
	sd.reduce(event.Arrived{
		ID:           sd.nextID,
		Organisation: fmt.Sprintf("organisation-%d", number*7919%sd.size.organisations),
		Service:      serviceName(number % sd.size.services),
		PromptTokens: int64(1000 + number*37%3000),
		MaxTokens:    100,
		Deadline:     sd.now.Add(time.Hour),
		Idempotent:   true,
		Prefixes:     []uint64{uint64(number % 64), uint64(number % 64 << 8), uint64(number)},
	})
}

// step takes one request in and one out, with a report now and then, and a tick for each 5 ms at 40 requests a second.
func (sd *stand) step() {
	sd.now = sd.now.Add(25 * time.Millisecond)
	sd.arrive()
	for range 5 {
		sd.reduce(event.Ticked{})
	}
	sd.reduce(event.LoadReported{Upstream: "engine-0", At: sd.now.Add(-200 * time.Millisecond), Load: event.Load{Running: 5, MemoryTokens: 400_000}})
	if len(sd.running) <= 20 && sd.size.queued == 0 {
		return
	}
	send := sd.running[0]
	sd.running = sd.running[1:]
	sd.reduce(event.Answering{ID: send.ID, Attempt: send.Attempt})
	sd.reduce(event.AttemptEnded{ID: send.ID, Attempt: send.Attempt, Upstream: send.Upstreams[0].Name, Result: event.ResultDone, Offset: 100})
}

// BenchmarkReduce gives the cost of an event against each size that it may depend on. An operation is one request
// with the ticks and reports that go with it; ns/event is the figure of the capacity page.
func BenchmarkReduce(b *testing.B) {
	today := size{services: 4, upstreams: 30, organisations: 1700}
	cases := map[string]size{
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
	for name, sz := range cases {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			sd := newStand(sz)
			grown := heapBytes() - before
			sd.events = 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				sd.step()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(sd.events), "ns/event")
			b.ReportMetric(float64(grown)/float64(sz.upstreams+sz.organisations+sz.queued), "state-B/entry")
		})
	}
}

// BenchmarkList gives the cost of one listing by the platform.
func BenchmarkList(b *testing.B) {
	for _, upstreams := range []int{30, 300, 3000, 12000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			sd := newStand(size{services: min(40, upstreams/3), upstreams: upstreams, organisations: 1700})
			listed := sd.listing()
			b.ReportAllocs()
			for b.Loop() {
				sd.reduce(listed)
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

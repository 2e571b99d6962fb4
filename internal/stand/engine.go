// Package stand implements stand-ins (test doubles) of the external systems: model engines, plain services and the
// platform. They speak the published protocols, and faults can be injected while they run.
package stand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

// EngineOptions set the speed and size of an engine stand-in. All times are given at time scale 1. docs/ENGINE.md
// describes the model and its limits.
type EngineOptions struct {
	Model string
	// MemoryTokens is the capacity of the KV memory, in tokens.
	MemoryTokens int64
	// Step is the duration of one step of the batch.
	Step time.Duration
	// PrefillChunk is the token budget of one step: each decoded token takes one, the rest goes to prefill.
	PrefillChunk int64
	// AttentionTokens is the position at which a prompt token costs twice as much as at the start; with 0 all cost the same.
	AttentionTokens int64
	// MaxBatch is the maximum number of requests that run at once; further ones wait.
	MaxBatch int
	// MaxWaiting is the maximum number of waiting requests; the engine refuses further ones.
	MaxWaiting int
	// ReportLag is the age of the load reports that the engine serves.
	ReportLag time.Duration
	// CacheLag is the delay after which a batch of cache events can be read.
	CacheLag time.Duration
	// CachePeriod is the period that one batch of cache events covers.
	CachePeriod time.Duration
	// CacheGap is the share of the batches of cache events that are lost, 0 to 1.
	CacheGap float64
	// Scale is the factor by which everything runs faster; 0 counts as 1.
	Scale float64
	// CheckFencing makes the engine refuse orders with an outdated fencing number.
	CheckFencing bool
	// LoadTime is the time to load one model or adapter if Weights is empty.
	LoadTime time.Duration
	// Weights is the address of the weight store from which models are loaded, empty for none.
	Weights string
	// Keepalive is the interval of the comments that keep a streamed answer alive.
	Keepalive time.Duration
	// Crash ends the process. If it is nil, a crash only discards everything in memory and cuts the connections.
	Crash func()
	// Seed seeds the draws of lost batches and of random faults, so that they can be repeated.
	Seed uint64
}

// DefaultEngineOptions returns the options of an engine of medium speed. It prefills 20,000 prompt tokens per second and
// decodes 50 answer tokens per second for each request.
func DefaultEngineOptions() EngineOptions {
	return EngineOptions{
		Model:        "lyric",
		MemoryTokens: 400_000,
		Step:         20 * time.Millisecond,
		PrefillChunk: 400,
		MaxBatch:     32,
		MaxWaiting:   256,
		ReportLag:    200 * time.Millisecond,
		CacheLag:     300 * time.Millisecond,
		CachePeriod:  100 * time.Millisecond,
		LoadTime:     2 * time.Second,
		Keepalive:    time.Second,
	}
}

// scaled returns the options with all times divided by the time scale.
func (opts EngineOptions) scaled() EngineOptions {
	if opts.Scale <= 0 {
		opts.Scale = 1
	}
	for _, period := range []*time.Duration{&opts.Step, &opts.ReportLag, &opts.CacheLag, &opts.CachePeriod, &opts.LoadTime} {
		*period = time.Duration(float64(*period) / opts.Scale)
	}
	return opts
}

// Engine is one model engine. Its batch prefills in chunks by priority and decodes one token per request and step.
type Engine struct {
	opts EngineOptions

	mu   sync.Mutex
	jobs []*job
	// reservedTokens is the memory that admitted requests reserve, without the cache blocks that they pin.
	reservedTokens int64
	cache          *prefixCache
	exports        exports
	reports        []timedLoad
	log            cacheLog
	orders         orders
	faults         EngineFaults
	announcer      *announcer
	random         *rand.Rand
	// runCounts has the number of times that each request was accepted, by request ID.
	runCounts map[string]int
	// freeCount counts the events that may have freed memory for a waiting job.
	freeCount int64
	// steps counts the steps made.
	steps int64
	// lostSteps counts the steps that were skipped because the machine was stalled.
	lostSteps int64
	// work is the token budget spent so far.
	work float64
}

// NewEngine returns an engine without requests. It makes no steps until Run is called.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.scaled()
	return &Engine{
		opts:      opts,
		cache:     newPrefixCache(),
		exports:   exports{},
		log:       newCacheLog(),
		orders:    newOrders(opts.Model),
		announcer: newAnnouncer(opts.Seed),
		random:    rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		runCounts: map[string]int{},
	}
}

// maxCatchUp is the maximum delay that the batch catches up with after the machine was busy; the steps of a longer delay
// are counted as lost.
const maxCatchUp = 250 * time.Millisecond

// Run runs the batch and loads models until the context ends.
func (en *Engine) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return en.runLoader(ctx) })
	group.Go(func() error { return en.runBatch(ctx) })
	return group.Wait()
}

// runBatch makes steps by the clock, not one per tick: a late tick makes all the steps that were due, so that a busy
// machine does not slow the engine down.
func (en *Engine) runBatch(ctx context.Context) error {
	ticker := time.NewTicker(en.opts.Step)
	defer ticker.Stop()
	due := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			due = en.catchUp(due, time.Now())
		}
	}
}

// catchUp makes all steps that are due by now and returns the time at which the next one is due.
func (en *Engine) catchUp(due, now time.Time) time.Time {
	en.mu.Lock()
	defer en.mu.Unlock()
	step := en.stepTime()
	if behind := now.Sub(due) - maxCatchUp; behind > 0 {
		lost := int64(behind / step)
		en.lostSteps += lost
		due = due.Add(time.Duration(lost) * step)
	}
	for !due.After(now) {
		if !en.faults.Freeze {
			en.step(due)
		}
		due = due.Add(step)
	}
	return due
}

// stepTime returns the duration of a step, which the fault Slow lengthens.
func (en *Engine) stepTime() time.Duration {
	if en.faults.Slow > 1 {
		return time.Duration(float64(en.opts.Step) * en.faults.Slow)
	}
	return en.opts.Step
}

// UsedTokens returns the memory that requests and exports hold, in tokens. Shared cache blocks are counted once.
func (en *Engine) UsedTokens() int64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.usedTokens()
}

func (en *Engine) usedTokens() int64 {
	return en.reservedTokens + en.cache.pinnedTokens() + en.exports.tokens()
}

// Handler returns the handler of the engine's API.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.complete)
	mux.HandleFunc("POST /v1/chat/completions", en.complete)
	mux.HandleFunc("POST /v1/prefill", en.prefillSegment)
	mux.HandleFunc("DELETE /v1/requests/{id}", en.drop)
	mux.HandleFunc("GET /v1/exports", en.checkExport)
	mux.HandleFunc("GET /v1/load", en.load)
	mux.HandleFunc("GET /v1/cache/events", en.cacheEvents)
	mux.HandleFunc("POST /v1/orders", en.order)
	mux.HandleFunc("GET "+PathState, en.state)
	mux.HandleFunc("POST "+PathFaults, en.setFaults)
	return en.announcer.wrap(mux)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(upstr.HeaderRunState, upstr.RunStateNotRun)
	w.Header().Set("Retry-After", "0.1")
	http.Error(w, message, status)
}

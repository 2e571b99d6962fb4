// Package stand has small stand-ins for the outside systems: model engines, plain services and the platform. They
// speak the published protocols, and their faults can be set while they run.
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

// EngineOptions fix an engine stand-in's speed and size. Times are those at time scale 1. docs/ENGINE.md states the
// model and its limits.
type EngineOptions struct {
	Model string
	// MemoryTokens is what the KV memory holds.
	MemoryTokens int64
	// Step is the time of one step of the batch.
	Step time.Duration
	// PrefillChunk is the token budget of one step: one for each token decoded, the rest for prefill.
	PrefillChunk int64
	// AttentionTokens is the position at which a prompt token costs twice as much as at the start; 0 for equal cost.
	AttentionTokens int64
	// MaxBatch is how many requests run at once; more wait.
	MaxBatch int
	// MaxWaiting is how many wait before the engine refuses.
	MaxWaiting int
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	// CacheLag is how late a batch of cache events can be read, and CachePeriod the time that one batch covers.
	CacheLag    time.Duration
	CachePeriod time.Duration
	// CacheGap is the share of batches that are lost.
	CacheGap float64
	// Scale makes everything this many times as fast; 0 counts as 1.
	Scale float64
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// LoadTime is how long one model or adapter takes to load where Weights is empty.
	LoadTime time.Duration
	// Weights is the address of the weight store that loads draw on.
	Weights string
	// Keepalive is the time between the comments that an answer under way carries.
	Keepalive time.Duration
	// Crash ends the process; nil only drops everything in memory and cuts the connections.
	Crash func()
	// Seed makes the lost batches and the random faults repeatable.
	Seed uint64
}

// DefaultEngine returns the options of a middling engine: 20,000 prompt tokens and 50 answer tokens a second.
func DefaultEngine() EngineOptions {
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

// scaled returns the options with the time scale worked into the times.
func (opts EngineOptions) scaled() EngineOptions {
	if opts.Scale <= 0 {
		opts.Scale = 1
	}
	for _, period := range []*time.Duration{&opts.Step, &opts.ReportLag, &opts.CacheLag, &opts.CachePeriod, &opts.LoadTime} {
		*period = time.Duration(float64(*period) / opts.Scale)
	}
	return opts
}

// Engine is one model engine: a batch that prefills in chunks by priority and decodes one token for each request a
// step.
type Engine struct {
	opts EngineOptions

	mu   sync.Mutex
	jobs []*job
	// used is the memory reserved by admitted requests, without the cache blocks they share.
	used    int64
	cache   *prefixCache
	exports exports
	reports []timedLoad
	log     cacheLog
	orders  orders
	faults  EngineFaults
	random  *rand.Rand
	ran     map[string]int
	// freed counts what may have made room for a waiting job.
	freed int64
	// steps counts the steps made, and lost the ones that a stalled machine did not make.
	steps int64
	lost  int64
	// work is the token budget spent.
	work float64
}

// NewEngine returns an engine without requests.
func NewEngine(opts EngineOptions) *Engine {
	opts = opts.scaled()
	return &Engine{
		opts:    opts,
		cache:   newPrefixCache(),
		exports: exports{},
		log:     newCacheLog(),
		orders:  newOrders(opts.Model),
		random:  rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		ran:     map[string]int{},
	}
}

// maxCatchUp is how far the batch makes up for a machine that was busy; what is beyond it is counted as lost.
const maxCatchUp = 250 * time.Millisecond

// Run steps the batch and loads models until the context ends.
func (en *Engine) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return en.runLoader(ctx) })
	group.Go(func() error { return en.runBatch(ctx) })
	return group.Wait()
}

// runBatch steps by the clock, not by the ticks: a tick that comes late makes all the steps that were due, so that a
// busy machine does not slow the engine.
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

// catchUp makes the steps due since the last one and returns when the next is due.
func (en *Engine) catchUp(due, now time.Time) time.Time {
	en.mu.Lock()
	defer en.mu.Unlock()
	step := en.stepTime()
	if behind := now.Sub(due) - maxCatchUp; behind > 0 {
		lost := int64(behind / step)
		en.lost += lost
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

// stepTime is longer while the engine is made slow.
func (en *Engine) stepTime() time.Duration {
	if en.faults.Slow > 1 {
		return time.Duration(float64(en.opts.Step) * en.faults.Slow)
	}
	return en.opts.Step
}

// Used returns the memory that requests and exports hold, in tokens, shared cache blocks counted once.
func (en *Engine) Used() int64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.held()
}

func (en *Engine) held() int64 {
	return en.used + en.cache.pinnedTokens() + en.exports.tokens()
}

// Handler serves the engine's API.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", en.complete)
	mux.HandleFunc("POST /v1/chat/completions", en.complete)
	mux.HandleFunc("POST /v1/prefill", en.prefillSegment)
	mux.HandleFunc("DELETE /v1/requests/{id}", en.drop)
	mux.HandleFunc("GET /v1/exports", en.export)
	mux.HandleFunc("GET /v1/load", en.load)
	mux.HandleFunc("GET /v1/cache/events", en.cacheEvents)
	mux.HandleFunc("POST /v1/orders", en.order)
	mux.HandleFunc("GET "+PathState, en.state)
	mux.HandleFunc("POST "+PathFaults, en.setFaults)
	return mux
}

func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(upstr.HeaderRunState, upstr.RunStateNotRun)
	w.Header().Set("Retry-After", "0.1")
	http.Error(w, message, status)
}

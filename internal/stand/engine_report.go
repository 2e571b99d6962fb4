package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

// timedLoad is the load at a point in time.
type timedLoad struct {
	at   time.Time
	load event.Load
}

// recordLoad records the current load and discards the records before the newest one that is at least ReportLag old, which
// is the one to serve.
func (en *Engine) recordLoad(now time.Time) {
	load := event.Load{UsedTokens: en.usedTokens(), MemoryTokens: en.opts.MemoryTokens, QueuedTokens: en.queuedWork()}
	for _, jb := range en.jobs {
		if jb.admitted {
			load.Running++
		} else {
			load.Waiting++
		}
	}
	en.reports = append(en.reports, timedLoad{now, load})
	for len(en.reports) > 1 && now.Sub(en.reports[1].at) >= en.opts.ReportLag {
		en.reports = en.reports[1:]
	}
}

func (en *Engine) load(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	report := upstr.Report{Role: en.orders.role, Models: en.orders.models(), Loading: en.orders.loading()}
	if len(en.reports) > 0 {
		report.Load = en.reports[0].load
		report.Age = time.Since(en.reports[0].at)
	}
	en.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

// PathState is the path at which an engine serves its actual state. Only checkers may use it, never the product.
const PathState = "/stand/state"

// State is the actual state of an engine, without the lag of its reports.
type State struct {
	// UsedTokens is the memory that requests and exports hold.
	UsedTokens int64
	// CachedTokens is the memory of cached blocks that no request uses and that can be evicted.
	CachedTokens int64
	// MemoryTokens is the capacity of the KV memory.
	MemoryTokens int64
	// Requests are the IDs of the requests in the engine, both running and waiting.
	Requests []string
	// Exports has the number of tokens held for import, by request ID.
	Exports map[string]int64
	// Runs has the number of times that each request was accepted, by request ID.
	Runs map[string]int
	// Steps counts the steps made.
	Steps int64
	// LostSteps counts the steps that were skipped because the machine was stalled.
	LostSteps int64
	// Work is the token budget spent so far on prefill and answers.
	Work float64
	// Fence is the highest fencing number received.
	Fence int64
	// Orders are the orders that were carried out, oldest first.
	Orders []upstr.Order
	// Fenced counts the orders refused for an outdated fencing number.
	Fenced int
	// Models are the loaded models.
	Models []string
}

// State returns the actual state.
func (en *Engine) State() State {
	en.mu.Lock()
	defer en.mu.Unlock()
	st := State{
		UsedTokens:   en.usedTokens(),
		CachedTokens: int64(en.cache.idle.Len()) * blockTokens,
		MemoryTokens: en.opts.MemoryTokens,
		Exports:      map[string]int64{},
		Runs:         maps.Clone(en.runCounts),
		Steps:        en.steps,
		LostSteps:    en.lostSteps,
		Work:         en.work,
		Fence:        en.orders.fence,
		Orders:       en.orders.applied,
		Fenced:       en.orders.fencedCount,
		Models:       en.orders.models(),
	}
	for _, jb := range en.jobs {
		st.Requests = append(st.Requests, jb.id)
	}
	for id, re := range en.exports {
		st.Exports[id] = re.tokens()
	}
	return st
}

func (en *Engine) state(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(en.State())
}

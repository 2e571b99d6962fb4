package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/upstr"
)

type timedLoad struct {
	at   time.Time
	load event.Load
}

// report notes the load and forgets what is older than the lag.
func (en *Engine) report(now time.Time) {
	load := event.Load{UsedTokens: en.held(), MemoryTokens: en.opts.MemoryTokens, QueuedTokens: en.queuedWork()}
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

// PathState is where an engine shows its true state, for checkers and never for the product.
const PathState = "/stand/state"

// State is an engine's true state.
type State struct {
	// UsedTokens is what requests and exports hold; CachedTokens is what nobody holds and can be evicted.
	UsedTokens   int64
	CachedTokens int64
	MemoryTokens int64
	// Requests are the ids of those in the engine.
	Requests []string
	// Exports has the tokens held for import, by request.
	Exports map[string]int64
	// Runs counts how often each request was taken in.
	Runs map[string]int
	// Steps counts the steps made, and LostSteps those that a stalled machine did not make.
	Steps     int64
	LostSteps int64
	// Work is the token budget spent so far, prefill and answers.
	Work float64
	// Fence is the highest fencing number seen, Orders what was obeyed in turn, and Fenced counts refused orders.
	Fence  int64
	Orders []upstr.Order
	Fenced int
	Models []string
}

// State returns the true state.
func (en *Engine) State() State {
	en.mu.Lock()
	defer en.mu.Unlock()
	st := State{
		UsedTokens:   en.held(),
		CachedTokens: int64(en.cache.idle.Len()) * blockTokens,
		MemoryTokens: en.opts.MemoryTokens,
		Exports:      map[string]int64{},
		Runs:         maps.Clone(en.ran),
		Steps:        en.steps,
		LostSteps:    en.lost,
		Work:         en.work,
		Fence:        en.orders.fence,
		Orders:       en.orders.obeyed,
		Fenced:       en.orders.fenced,
		Models:       en.orders.models(),
	}
	for _, jb := range en.jobs {
		st.Requests = append(st.Requests, jb.id)
	}
	for id, hd := range en.exports {
		st.Exports[id] = hd.tokens()
	}
	return st
}

func (en *Engine) state(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(en.State())
}

package stand

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"

	"golang.org/x/time/rate"

	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Paths by which a test steers the platform stand-in.
const (
	// PathFaults takes a Faults document by POST, which replaces the one in force.
	PathFaults = "/stand/faults"
	// PathCalls answers with a Calls document.
	PathCalls = "/stand/calls"
)

// Faults are what is wrong with the key-value service. The zero value is a sound one.
type Faults struct {
	// Outage ends every call without an answer and without effect, watches too.
	Outage bool
	// Delay is added to each call before it takes effect.
	Delay decl.Duration
	// LostAnswers is the share of writes, 0 to 1, that take effect and whose caller gets no answer.
	LostAnswers float64
	// CutWatches ends the watches that wait when the document arrives; new ones are not touched.
	CutWatches bool
	// ListOutage ends reads of the instance list without an answer.
	ListOutage bool
}

// Calls counts what the key-value service was asked.
type Calls struct {
	// Kinds counts the calls by kind since the start; Watch counts watches opened.
	Kinds map[string]int64
	// Watching is how many watches wait now, each of which is one call of the platform's budget.
	Watching int64
	// Limited counts the calls refused for their rate.
	Limited int64
	// Bytes counts the value bytes of all writes that took effect.
	Bytes int64
}

// Rates bound what the key-value service answers in a second; 0 is no bound.
type Rates struct {
	Writes float64
	Reads  float64
}

// kinds of call and whether each one writes.
var writes = map[string]bool{"Txn": true, "Grant": true, "Renew": true, "Revoke": true}

// gate counts calls, holds them to the rates and applies the faults.
type gate struct {
	mu     sync.Mutex
	faults Faults
	calls  Calls
	writes *rate.Limiter
	reads  *rate.Limiter
	// cut is closed to end the watches that wait, and replaced.
	cut    chan struct{}
	random *rand.Rand
}

func newGate(rates Rates) *gate {
	return &gate{
		calls:  Calls{Kinds: map[string]int64{}},
		writes: limiter(rates.Writes),
		reads:  limiter(rates.Reads),
		cut:    make(chan struct{}),
		random: rand.New(rand.NewPCG(1, 1)),
	}
}

// limiter allows bursts of one second's worth.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (gt *gate) set(fs Faults) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.faults = fs
	if fs.CutWatches || fs.Outage {
		close(gt.cut)
		gt.cut = make(chan struct{})
	}
}

func (gt *gate) current() Faults {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.faults
}

func (gt *gate) snapshot() Calls {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	calls := gt.calls
	calls.Kinds = make(map[string]int64, len(gt.calls.Kinds))
	for kind, count := range gt.calls.Kinds {
		calls.Kinds[kind] = count
	}
	return calls
}

// errNoAnswer tells that the caller hears nothing.
var errNoAnswer = store.Unavailable.New("stand: the service gives no answer")

// enter lets a call in, or returns errNoAnswer or the status of a refusal.
func (gt *gate) enter(ctx context.Context, kind string) (*store.Status, error) {
	gt.mu.Lock()
	gt.calls.Kinds[kind]++
	fs := gt.faults
	gt.mu.Unlock()
	if fs.Outage {
		return nil, errNoAnswer
	}
	lim := gt.reads
	if writes[kind] {
		lim = gt.writes
	}
	if !lim.Allow() {
		gt.mu.Lock()
		gt.calls.Limited++
		gt.mu.Unlock()
		return &store.Status{Code: codeResourceExhausted, Message: "rate limit exceeded"}, nil
	}
	if fs.Delay > 0 {
		delay.For(ctx, fs.Delay.Std())
	}
	return nil, ctx.Err()
}

// lost decides whether the answer of a call that took effect is lost.
func (gt *gate) lost(kind string) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return writes[kind] && gt.random.Float64() < gt.faults.LostAnswers
}

func (gt *gate) wrote(length int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.calls.Bytes += int64(length)
}

// watching counts a watch that waits; the channel closes when it is to be cut.
func (gt *gate) watching(change int64) <-chan struct{} {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.calls.Watching += change
	return gt.cut
}

func (gt *gate) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, req *http.Request) {
		var fs Faults
		decoder := json.NewDecoder(req.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&fs); err != nil {
			http.Error(w, "send a Faults document: "+err.Error(), http.StatusBadRequest)
			return
		}
		gt.set(fs)
	})
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(gt.snapshot())
	})
}

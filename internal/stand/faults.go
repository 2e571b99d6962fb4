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

// Paths at which tests control and inspect the platform stand-in.
const (
	// PathFaults accepts a Faults document by POST, which replaces the current one.
	PathFaults = "/stand/faults"
	// PathCalls serves a Calls document.
	PathCalls = "/stand/calls"
)

// Faults are the faults injected into the platform stand-in. The zero value injects none.
type Faults struct {
	// Outage ends every call of the key-value service, watches included, without an answer and without effect.
	Outage bool
	// Delay is added to each call before it takes effect.
	Delay decl.Duration
	// LostAnswers is the share of writes, 0 to 1, that are carried out but not answered.
	LostAnswers float64
	// CutWatches ends the watches that are open when the document arrives. Later ones are not affected.
	CutWatches bool
	// ListOutage ends every read of the instance list without an answer.
	ListOutage bool
}

// Calls counts the calls to the key-value service.
type Calls struct {
	// Kinds has the number of calls since the start by kind. The kind Watch counts the watches that were opened.
	Kinds map[string]int64
	// Watching is the number of open watches. Each counts as one call in the platform's call budget.
	Watching int64
	// Limited counts the calls refused by the rate limit.
	Limited int64
	// Bytes is the total length of the values of all writes that took effect.
	Bytes int64
}

// Rates are the rate limits of the key-value service in calls per second; 0 means no limit.
type Rates struct {
	Writes float64
	Reads  float64
}

// isWrite has the kinds of calls that write.
var isWrite = map[string]bool{"Txn": true, "Grant": true, "Renew": true, "Revoke": true}

// gate counts calls, enforces the rate limits and injects the faults.
type gate struct {
	mu     sync.Mutex
	faults Faults
	calls  Calls
	writes *rate.Limiter
	reads  *rate.Limiter
	// cut is closed to end the open watches, and then replaced.
	cut    chan struct{}
	random *rand.Rand
}

func newGate(rates Rates) *gate {
	return &gate{
		calls:  Calls{Kinds: map[string]int64{}},
		writes: newLimiter(rates.Writes),
		reads:  newLimiter(rates.Reads),
		cut:    make(chan struct{}),
		random: rand.New(rand.NewPCG(1, 1)),
	}
}

// newLimiter returns a limiter with a burst of one second's calls, or one without a limit if perSecond is 0 or less.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// set replaces the faults and ends the open watches if the new faults require it.
func (gt *gate) set(fs Faults) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.faults = fs
	if fs.CutWatches || fs.Outage {
		close(gt.cut)
		gt.cut = make(chan struct{})
	}
}

// cutWatches ends the open watches.
func (gt *gate) cutWatches() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	close(gt.cut)
	gt.cut = make(chan struct{})
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

// errNoAnswer reports that the call ends without an answer to the caller.
var errNoAnswer = store.Unavailable.New("stand: the key-value service did not answer; a write may have taken effect, read the key back")

// admit counts a call and lets it pass, after a delay if one is set. Otherwise it returns an error if the caller must get no
// answer, or the status of a refusal.
func (gt *gate) admit(ctx context.Context, kind string) (*store.Status, error) {
	gt.mu.Lock()
	gt.calls.Kinds[kind]++
	fs := gt.faults
	gt.mu.Unlock()
	if fs.Outage {
		return nil, errNoAnswer
	}
	lim := gt.reads
	if isWrite[kind] {
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

// losesAnswer draws whether the answer to a call that took effect is lost. Only answers to writes are.
func (gt *gate) losesAnswer(kind string) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return isWrite[kind] && gt.random.Float64() < gt.faults.LostAnswers
}

// countBytes counts the length of a value that was written.
func (gt *gate) countBytes(length int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.calls.Bytes += int64(length)
}

// addWatch adds the change to the number of open watches. It returns the channel that is closed when they must end.
func (gt *gate) addWatch(change int64) <-chan struct{} {
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

package stand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dandelionsail.example/dandelionsail/internal/delay"
)

// PathWeights is the path prefix of the weights that the weight store serves. "name@version" or "name@version:adapter"
// follows it.
const PathWeights = "/v1/weights/"

// WeightCounts counts the loads of a weight store.
type WeightCounts struct {
	// Served has the number of served loads by name.
	Served map[string]int
	// Refused counts the loads refused by the rate limit.
	Refused int
}

// Weights is the platform's weight store. It limits the loads per minute of the whole fleet and refuses further ones.
type Weights struct {
	// LoadTime is the duration of one load.
	LoadTime time.Duration
	limiter  *rate.Limiter
	mu       sync.Mutex
	counts   WeightCounts
}

// NewWeights returns a weight store that serves loadsPerMinute loads per minute, unlimited if 0, each of which takes
// loadTime.
func NewWeights(loadsPerMinute float64, loadTime time.Duration) *Weights {
	limit := rate.NewLimiter(rate.Inf, 0)
	if loadsPerMinute > 0 {
		limit = rate.NewLimiter(rate.Limit(loadsPerMinute/time.Minute.Seconds()), max(1, int(loadsPerMinute)))
	}
	return &Weights{LoadTime: loadTime, limiter: limit, counts: WeightCounts{Served: map[string]int{}}}
}

// Counts returns the number of loads served and refused so far.
func (ws *Weights) Counts() WeightCounts {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	counts := WeightCounts{Served: map[string]int{}, Refused: ws.counts.Refused}
	for name, served := range ws.counts.Served {
		counts.Served[name] = served
	}
	return counts
}

// Handler returns the handler of the weights and, at PathCalls, of the counts.
func (ws *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{name}", ws.serve)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(ws.Counts())
	})
	return mux
}

func (ws *Weights) serve(w http.ResponseWriter, req *http.Request) {
	name := req.PathValue("name")
	if !ws.allow(name) {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		http.Error(w, "over the rate of the weight store; load less often", http.StatusTooManyRequests)
		return
	}
	delay.For(req.Context(), ws.LoadTime)
	_, _ = w.Write([]byte(name))
}

// allow counts a load and reports whether the rate limit allows it.
func (ws *Weights) allow(name string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.limiter.Allow() {
		ws.counts.Refused++
		return false
	}
	ws.counts.Served[name]++
	return true
}

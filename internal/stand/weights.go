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

// PathWeights is where the weight store serves weights, followed by "name@version" or "name@version:adapter".
const PathWeights = "/v1/weights/"

// WeightCounts tells what a weight store did.
type WeightCounts struct {
	// Served counts the loads by name; Refused those over the rate.
	Served  map[string]int
	Refused int
}

// Weights is the platform's weight store. It serves so many loads a minute to the whole fleet and refuses the rest.
type Weights struct {
	// Time is how long one load takes.
	Time   time.Duration
	limit  *rate.Limiter
	mu     sync.Mutex
	counts WeightCounts
}

// NewWeights returns a store that serves loadsPerMinute, without bound for 0, each of which takes loadTime.
func NewWeights(loadsPerMinute float64, loadTime time.Duration) *Weights {
	limit := rate.NewLimiter(rate.Inf, 0)
	if loadsPerMinute > 0 {
		limit = rate.NewLimiter(rate.Limit(loadsPerMinute/time.Minute.Seconds()), max(1, int(loadsPerMinute)))
	}
	return &Weights{Time: loadTime, limit: limit, counts: WeightCounts{Served: map[string]int{}}}
}

// Counts returns what was served and refused so far.
func (ws *Weights) Counts() WeightCounts {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	counts := WeightCounts{Served: map[string]int{}, Refused: ws.counts.Refused}
	for name, served := range ws.counts.Served {
		counts.Served[name] = served
	}
	return counts
}

// Handler serves the weights and, under PathCalls, the counts.
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
	if !ws.take(name) {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		http.Error(w, "over the rate of the weight store; load less often", http.StatusTooManyRequests)
		return
	}
	delay.For(req.Context(), ws.Time)
	_, _ = w.Write([]byte(name))
}

func (ws *Weights) take(name string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.limit.Allow() {
		ws.counts.Refused++
		return false
	}
	ws.counts.Served[name]++
	return true
}

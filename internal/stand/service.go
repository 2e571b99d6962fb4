package stand

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

func fingerprint(raw []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write(raw)
	return hash.Sum32()
}

// Run is one call that a service ran.
type Run struct {
	At      time.Time
	Request string
	Key     string
	Method  string
	Path    string
	Digest  uint32
}

// Service is a plain service: it runs each call that reaches it and keeps a record of it.
type Service struct {
	// Delay is the time a call takes.
	Delay time.Duration
	mu    sync.Mutex
	runs  []Run
}

// NewService returns a service that takes delay for each call.
func NewService(delay time.Duration) *Service {
	return &Service{Delay: delay}
}

// Runs returns the calls that were run so far.
func (sv *Service) Runs() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Run(nil), sv.runs...)
}

// PathRuns is where a service tells what it ran.
const PathRuns = "/stand/runs"

// Handler serves every path.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(sv.Runs())
	})
	mux.HandleFunc("/", sv.run)
	return mux
}

func (sv *Service) run(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		// A call whose body never came whole is not run.
		return
	}
	run := Run{
		At:      time.Now(),
		Request: req.Header.Get(upstr.HeaderRequest),
		Key:     req.Header.Get(upstr.HeaderKey),
		Method:  req.Method,
		Path:    req.URL.Path,
		Digest:  fingerprint(raw),
	}
	sv.mu.Lock()
	sv.runs = append(sv.runs, run)
	count := len(sv.runs)
	sv.mu.Unlock()
	time.Sleep(sv.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Ran    int
		Digest uint32
	}{count, run.Digest})
}

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

// fingerprint returns the FNV-1a hash of the bytes.
func fingerprint(raw []byte) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write(raw)
	return hash.Sum32()
}

// Run is the record of one call that a service ran.
type Run struct {
	At time.Time
	// Request is the request ID, from upstr.HeaderRequest.
	Request string
	// Key is the idempotency key, from upstr.HeaderKey.
	Key    string
	Method string
	Path   string
	// Digest is the FNV-1a hash of the body.
	Digest uint32
}

// Service is a plain service. It runs every call that it receives and records it.
type Service struct {
	// Delay is the duration of a call.
	Delay     time.Duration
	announcer *announcer
	mu        sync.Mutex
	runs      []Run
}

// NewService returns a service whose calls take the given time.
func NewService(delay time.Duration) *Service {
	return &Service{Delay: delay, announcer: newAnnouncer(1)}
}

// Runs returns the calls run so far.
func (sv *Service) Runs() []Run {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return append([]Run(nil), sv.runs...)
}

// PathRuns is the path at which a service serves its record of calls.
const PathRuns = "/stand/runs"

// Handler returns the handler of the service. It runs the calls to every path but PathRuns.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(sv.Runs())
	})
	mux.HandleFunc("/", sv.run)
	return sv.announcer.wrap(mux)
}

func (sv *Service) run(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		// A call is not run unless its whole body is received.
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

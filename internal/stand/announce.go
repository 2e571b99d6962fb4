package stand

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/upstr"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// PathAnnouncements accepts an Announcements document by POST, which replaces the current one.
const PathAnnouncements = "/stand/announcements"

// Announcements is what a stand-in announces about itself in its answers. The zero value announces nothing.
type Announcements struct {
	// Leaving makes all answers say that the upstream is about to shut down.
	Leaving bool
	// RefusedShare is the share of calls, 0 to 1, that are refused as not run and ask for Rest.
	RefusedShare float64
	// Rest is how long a refused caller is asked to send nothing.
	Rest decl.Duration
}

// announcer adds announcements to the answers of a handler. It also counts the calls that reach the handler.
type announcer struct {
	mu     sync.Mutex
	ann    Announcements
	random *rand.Rand
	calls  []Arrival
}

// Arrival is a call that reached a stand-in.
type Arrival struct {
	At time.Time
	// Path is the path of the call.
	Path string
	// Refused reports whether the call was refused with a time of rest.
	Refused bool
}

// maxArrivals is the maximum number of arrivals that are kept.
const maxArrivals = 100_000

// controlPrefix is the prefix of the paths by which tests control stand-ins. Calls to them announce nothing.
const controlPrefix = "/stand/"

func newAnnouncer(seed uint64) *announcer {
	return &announcer{random: rand.New(rand.NewPCG(seed, 7))}
}

// wrap returns the handler with announcements added to its answers.
func (an *announcer) wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnouncements, an.handleSet)
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, controlPrefix) || !an.refuse(w, req) {
			next.ServeHTTP(w, req)
		}
	})
	return mux
}

func (an *announcer) handleSet(w http.ResponseWriter, req *http.Request) {
	var ann Announcements
	if err := json.NewDecoder(req.Body).Decode(&ann); err != nil {
		http.Error(w, "send the announcements as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	an.set(ann)
	w.WriteHeader(http.StatusNoContent)
}

func (an *announcer) set(ann Announcements) {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.ann = ann
}

// arrivals returns the calls that have reached the handler so far.
func (an *announcer) arrivals() []Arrival {
	an.mu.Lock()
	defer an.mu.Unlock()
	return append([]Arrival(nil), an.calls...)
}

// refuse sets the headers of the announcements and refuses the call if it is one of those. It reports whether it did.
func (an *announcer) refuse(w http.ResponseWriter, req *http.Request) bool {
	an.mu.Lock()
	defer an.mu.Unlock()
	if an.ann.Leaving {
		w.Header().Set(upstr.HeaderLeaving, "1")
	}
	refused := an.ann.RefusedShare > 0 && an.random.Float64() < an.ann.RefusedShare
	if len(an.calls) < maxArrivals {
		an.calls = append(an.calls, Arrival{At: time.Now(), Path: req.URL.Path, Refused: refused})
	}
	if refused {
		w.Header().Set(upstr.HeaderRunState, upstr.RunStateNotRun)
		w.Header().Set("Retry-After", strconv.FormatFloat(an.ann.Rest.Std().Seconds(), 'f', -1, 64))
		http.Error(w, "the upstream wants rest", http.StatusServiceUnavailable)
	}
	return refused
}

// Announce replaces what the engine announces.
func (en *Engine) Announce(ann Announcements) { en.announcer.set(ann) }

// Arrivals returns the calls that have reached the engine so far, without those that control it.
func (en *Engine) Arrivals() []Arrival { return en.announcer.arrivals() }

// Announce replaces what the service announces.
func (sv *Service) Announce(ann Announcements) { sv.announcer.set(ann) }

// Arrivals returns the calls that have reached the service so far, without those that control it.
func (sv *Service) Arrivals() []Arrival { return sv.announcer.arrivals() }

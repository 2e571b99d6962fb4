package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/plat"
)

// Platform is the stand-in of the platform: its key-value service and its instance list.
type Platform struct {
	KV *KV
	// Lag is how late the list shows a change.
	Lag     time.Duration
	mu      sync.Mutex
	entries map[string]plat.Entry
	changes []listChange
}

type listChange struct {
	at      time.Time
	listing plat.Listing
}

// NewPlatform returns a platform without instances whose service has no rates.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{KV: NewKV(Rates{}), Lag: lag, entries: map[string]plat.Entry{}}
}

// Put lists an instance or changes what is listed of it.
func (pf *Platform) Put(en plat.Entry) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.entries[en.Name] = en
	pf.changed()
}

// Remove takes an instance off the list.
func (pf *Platform) Remove(name string) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	delete(pf.entries, name)
	pf.changed()
}

func (pf *Platform) changed() {
	var listing plat.Listing
	for _, en := range pf.entries {
		listing.Instances = append(listing.Instances, en)
	}
	slices.SortFunc(listing.Instances, func(one, two plat.Entry) int { return strings.Compare(one.Name, two.Name) })
	pf.changes = append(pf.changes, listChange{time.Now(), listing})
}

// listing returns the list as it was Lag ago.
func (pf *Platform) listing() plat.Listing {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	for len(pf.changes) > 1 && time.Since(pf.changes[1].at) >= pf.Lag {
		pf.changes = pf.changes[1:]
	}
	if len(pf.changes) == 0 || time.Since(pf.changes[0].at) < pf.Lag {
		return plat.Listing{}
	}
	return pf.changes[0].listing
}

// Run ends leases whose time is over, until the context ends.
func (pf *Platform) Run(ctx context.Context) error {
	return pf.KV.Run(ctx)
}

// Handler serves the key-value service and the list.
func (pf *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	pf.KV.routes(mux)
	mux.HandleFunc("GET "+plat.PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		if pf.KV.gate.current().ListOutage {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(pf.listing())
	})
	mux.HandleFunc("PUT "+plat.PathInstances+"/{name}", func(w http.ResponseWriter, req *http.Request) {
		var en plat.Entry
		if err := json.NewDecoder(req.Body).Decode(&en); err != nil {
			http.Error(w, "send an instance as JSON", http.StatusBadRequest)
			return
		}
		en.Name = req.PathValue("name")
		pf.Put(en)
	})
	mux.HandleFunc("DELETE "+plat.PathInstances+"/{name}", func(_ http.ResponseWriter, req *http.Request) {
		pf.Remove(req.PathValue("name"))
	})
	return mux
}

package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/plat"
)

// Platform is the stand-in of the platform. It has a key-value service and an instance list.
type Platform struct {
	KV *KV
	// Lag is the delay after which the list shows a change.
	Lag     time.Duration
	mu      sync.Mutex
	entries map[string]plat.Entry
	// changes has the list that is served now, followed by the ones that Lag still hides.
	changes []listChange
	// changeCount counts the changes of the list; the entity tags are derived from it.
	changeCount int
}

// listChange is the list after one change.
type listChange struct {
	at      time.Time
	listing plat.Listing
	tag     string
}

// NewPlatform returns a platform without instances, whose key-value service has no rate limits.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{KV: NewKV(Rates{}), Lag: lag, entries: map[string]plat.Entry{}}
}

// Put adds an instance to the list or replaces its entry.
func (pf *Platform) Put(en plat.Entry) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.entries[en.Name] = en
	pf.recordChange()
}

// Remove removes an instance from the list.
func (pf *Platform) Remove(name string) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	delete(pf.entries, name)
	pf.recordChange()
}

// recordChange records the list as it is after a change.
func (pf *Platform) recordChange() {
	var listing plat.Listing
	for _, en := range pf.entries {
		listing.Instances = append(listing.Instances, en)
	}
	slices.SortFunc(listing.Instances, func(a, b plat.Entry) int { return strings.Compare(a.Name, b.Name) })
	pf.changeCount++
	tag := fmt.Sprintf(`"%d"`, pf.changeCount)
	pf.changes = append(pf.changes, listChange{time.Now(), listing, tag})
}

// listing returns the list as it was Lag ago, with its entity tag.
func (pf *Platform) listing() (plat.Listing, string) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	for len(pf.changes) > 1 && time.Since(pf.changes[1].at) >= pf.Lag {
		pf.changes = pf.changes[1:]
	}
	if len(pf.changes) == 0 || time.Since(pf.changes[0].at) < pf.Lag {
		return plat.Listing{}, `"0"`
	}
	return pf.changes[0].listing, pf.changes[0].tag
}

// Run removes expired leases until the context ends.
func (pf *Platform) Run(ctx context.Context) error {
	return pf.KV.Run(ctx)
}

// Handler returns the handler of the key-value service and the instance list.
func (pf *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	pf.KV.routes(mux)
	mux.HandleFunc("GET "+plat.PathInstances, func(w http.ResponseWriter, req *http.Request) {
		if pf.KV.gate.current().ListOutage {
			panic(http.ErrAbortHandler)
		}
		listing, tag := pf.listing()
		w.Header().Set("ETag", tag)
		if req.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_ = json.NewEncoder(w).Encode(listing)
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

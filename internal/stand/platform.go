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

// Platform is the stand-in of the platform: its key-value service and its instance list.
type Platform struct {
	KV *KV
	// Lag is how late the list shows a change.
	Lag     time.Duration
	mu      sync.Mutex
	entries map[string]plat.Entry
	changes []listChange
	// numbered counts the changes.
	numbered int
}

type listChange struct {
	at      time.Time
	listing plat.Listing
	tag     string
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
	pf.numbered++
	tag := fmt.Sprintf(`"%d"`, pf.numbered)
	pf.changes = append(pf.changes, listChange{time.Now(), listing, tag})
}

// listing returns the list as it was Lag ago, with its tag.
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

// Run ends leases whose time is over, until the context ends.
func (pf *Platform) Run(ctx context.Context) error {
	return pf.KV.Run(ctx)
}

// Handler serves the key-value service and the list.
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

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps to the protocol page: linearizable answers, one revision for each
// change, leases that end, and stale reads that are not stale.
type store struct {
	mu      sync.Mutex
	latest  int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time
	next    int64
	changed chan struct{}
}

type item struct {
	Key        string
	Value      []byte `json:",omitempty"`
	ChangedAt  int64  `json:"Revision"`
	CreatedRev int64  `json:",omitempty"`
	HeldBy     int64  `json:"Lease"`
	Tombstone  bool   `json:",omitempty"`
}

func newStore() *store {
	sto := &store{latest: 1, items: map[string]item{}, leases: map[int64]time.Time{}, next: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			sto.endLeases()
		}
	}()
	return sto
}

func (sto *store) endLeases() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for id, until := range sto.leases {
		if time.Now().Before(until) {
			continue
		}
		delete(sto.leases, id)
		for key, it := range sto.items {
			if it.HeldBy == id {
				sto.removeLocked(key)
			}
		}
	}
}

func (sto *store) changedLocked(it item) {
	sto.history = append(sto.history, it)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) putLocked(key string, value []byte, holder int64) {
	sto.latest++
	created := sto.latest
	if old, ok := sto.items[key]; ok {
		created = old.CreatedRev
	}
	it := item{Key: key, Value: value, ChangedAt: sto.latest, CreatedRev: created, HeldBy: holder}
	sto.items[key] = it
	sto.changedLocked(it)
}

func (sto *store) removeLocked(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	sto.latest++
	delete(sto.items, key)
	sto.changedLocked(item{Key: key, ChangedAt: sto.latest, Tombstone: true})
}

// put writes as the operator or a replica does. Its return is the acknowledgement.
func (sto *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.putLocked(key, raw, 0)
}

func (sto *store) remove(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.removeLocked(key)
}

func (sto *store) has(key string) bool {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	_, ok := sto.items[key]
	return ok
}

// pageItems is the maximum number of items in one page.
const pageItems = 500

// handler serves the store. rewrite changes what is written.
func (sto *store) handler(rewrite func(key string, value []byte) []byte) http.Handler {
	answer := func(w http.ResponseWriter, status int, body any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		it, ok := sto.items[req.FormValue("Key")]
		asOf := sto.latest
		sto.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			AsOf int64
		}{it, asOf})
	})
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, req *http.Request) {
		sto.mu.Lock()
		list := []item{}
		for key, it := range sto.items {
			if strings.HasPrefix(key, req.FormValue("Prefix")) && key > req.FormValue("After") {
				list = append(list, it)
			}
		}
		asOf := sto.latest
		sto.mu.Unlock()
		slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		more := len(list) > pageItems
		answer(w, http.StatusOK, map[string]any{"Items": list[:min(len(list), pageItems)], "HasMore": more, "AsOf": asOf})
	})
	mux.HandleFunc("GET /v1/kv-watch", func(w http.ResponseWriter, req *http.Request) {
		after, _ := strconv.ParseInt(req.FormValue("After"), 10, 64)
		wait, _ := strconv.Atoi(req.FormValue("WaitMs"))
		timer := time.After(time.Duration(wait) * time.Millisecond)
		for {
			sto.mu.Lock()
			events, asOf, changed := []item{}, sto.latest, sto.changed
			for _, it := range sto.history {
				if it.ChangedAt > after && strings.HasPrefix(it.Key, req.FormValue("Prefix")) {
					events = append(events, it)
				}
			}
			sto.mu.Unlock()
			if len(events) > 0 {
				answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
				return
			}
			select {
			case <-changed:
			case <-timer:
				answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": asOf})
				return
			case <-req.Context().Done():
				return
			}
		}
	})
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, req *http.Request) {
		var call struct{ TtlMs int64 }
		_ = json.NewDecoder(req.Body).Decode(&call)
		sto.mu.Lock()
		sto.next++
		id := sto.next
		sto.leases[id] = time.Now().Add(time.Duration(call.TtlMs) * time.Millisecond)
		sto.mu.Unlock()
		answer(w, http.StatusOK, map[string]int64{"Lease": id, "TtlMs": call.TtlMs})
	})
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, req *http.Request) {
		id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
		sto.mu.Lock()
		_, ok := sto.leases[id]
		if ok {
			sto.leases[id] = time.Now().Add(40 * time.Second)
		}
		sto.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, map[string]int64{"TtlMs": 40_000})
	})
	mux.HandleFunc("POST /v1/kv-txn", func(w http.ResponseWriter, req *http.Request) {
		var txn struct {
			Expected []struct {
				Key       string
				ChangedAt int64 `json:"Revision"`
			}
			Writes []struct {
				Key    string
				Value  []byte
				HeldBy int64 `json:"Lease"`
			}
			Delete []string
		}
		if json.NewDecoder(req.Body).Decode(&txn) != nil {
			answer(w, http.StatusBadRequest, struct{}{})
			return
		}
		sto.mu.Lock()
		defer sto.mu.Unlock()
		current := []item{}
		fits := true
		for _, exp := range txn.Expected {
			it, ok := sto.items[exp.Key]
			if ok {
				current = append(current, it)
			}
			fits = fits && it.ChangedAt == exp.ChangedAt
		}
		if !fits {
			answer(w, http.StatusPreconditionFailed, map[string]any{"Items": current})
			return
		}
		for _, write := range txn.Writes {
			if _, ok := sto.leases[write.HeldBy]; write.HeldBy != 0 && !ok {
				answer(w, http.StatusNotFound, struct{}{})
				return
			}
		}
		for _, write := range txn.Writes {
			sto.putLocked(write.Key, rewrite(write.Key, write.Value), write.HeldBy)
		}
		for _, key := range txn.Delete {
			sto.removeLocked(key)
		}
		answer(w, http.StatusOK, map[string]int64{"Revision": sto.latest})
	})
	return mux
}

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key of the store. Holder is the lease that it is attached to, 0 if there is none.
type storeItem struct {
	Key        string
	Value      []byte
	Rev        int64 `json:"Revision"`
	CreatedRev int64
	Holder     int64 `json:"Lease"`
}

// storeEvent is one change. Tombstone is set for a removal.
type storeEvent struct {
	Key        string
	Value      []byte `json:",omitempty"`
	Rev        int64  `json:"Revision"`
	CreatedRev int64  `json:",omitempty"`
	Holder     int64  `json:"Lease,omitempty"`
	Tombstone  bool   `json:",omitempty"`
}

type storeTxn struct {
	Expected []struct {
		Key string
		Rev int64 `json:"Revision"`
	}
	Writes []struct {
		Key    string
		Value  []byte
		Holder int64 `json:"Lease"`
	}
	Delete []string
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	rec     *record
	address string

	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	items   map[string]*storeItem
	events  []storeEvent
	leases  map[int64]*storeLease
	writes  int
	// lose decides for each kv-txn whether its answer is lost and the write is done late; nil loses none.
	lose func(txn *storeTxn) (late time.Duration, lost bool)
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore(rec *record) *store {
	st := &store{rec: rec, rev: 100, items: map[string]*storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	st.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", st.get)
	mux.HandleFunc("GET /v1/kv-range", st.list)
	mux.HandleFunc("GET /v1/kv-watch", st.watch)
	mux.HandleFunc("POST /v1/kv-txn", st.txn)
	mux.HandleFunc("POST /v1/kv-lease", st.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", st.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", st.end)
	go func() { _ = http.Serve(listener, mux) }()
	return st
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// note adds an event. mu is held.
func (st *store) note(ev storeEvent) {
	st.events = append(st.events, ev)
	close(st.changed)
	st.changed = make(chan struct{})
}

// put writes a key. mu is held.
func (st *store) put(key string, value []byte, holder int64) {
	st.rev++
	item := &storeItem{Key: key, Value: value, Rev: st.rev, CreatedRev: st.rev, Holder: holder}
	if old, ok := st.items[key]; ok {
		item.CreatedRev = old.CreatedRev
	}
	st.items[key] = item
	st.note(storeEvent{Key: key, Value: value, Rev: st.rev, CreatedRev: item.CreatedRev, Holder: holder})
}

// remove removes a key. mu is held.
func (st *store) remove(key string) {
	if _, ok := st.items[key]; !ok {
		return
	}
	delete(st.items, key)
	st.rev++
	st.note(storeEvent{Key: key, Rev: st.rev, Tombstone: true})
}

// write is what the operator and the replicas do.
func (st *store) write(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(key, raw, 0)
}

func (st *store) delete(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.remove(key)
}

// keys returns the keys with the prefix, sorted.
func (st *store) keys(prefix string) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var list []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

func (st *store) get(w http.ResponseWriter, req *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	item, ok := st.items[req.URL.Query().Get("Key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AsOf int64
	}{*item, st.rev})
}

func (st *store) list(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	st.mu.Lock()
	defer st.mu.Unlock()
	found := []*storeItem{}
	for _, item := range st.items {
		if strings.HasPrefix(item.Key, query.Get("Prefix")) && item.Key > query.Get("After") {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b *storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > 500
	reply(w, http.StatusOK, map[string]any{"Items": found[:min(len(found), 500)], "HasMore": more, "AsOf": st.rev})
}

func (st *store) watch(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		found := []storeEvent{}
		for _, ev := range st.events {
			if ev.Rev > after && strings.HasPrefix(ev.Key, query.Get("Prefix")) {
				found = append(found, ev)
			}
		}
		at, changed := st.rev, st.changed
		st.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "AsOf": at})
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-timer:
			reply(w, http.StatusOK, map[string]any{"events": found, "AsOf": at})
			return
		}
	}
}

// apply carries a transaction out and returns its status. mu is held.
func (st *store) apply(txn *storeTxn) int {
	for _, exp := range txn.Expected {
		var have int64
		if item, ok := st.items[exp.Key]; ok {
			have = item.Rev
		}
		if have != exp.Rev {
			return http.StatusPreconditionFailed
		}
	}
	for _, wr := range txn.Writes {
		if _, ok := st.leases[wr.Holder]; wr.Holder != 0 && !ok {
			return http.StatusNotFound
		}
	}
	for _, wr := range txn.Writes {
		st.put(wr.Key, wr.Value, wr.Holder)
	}
	for _, key := range txn.Delete {
		st.remove(key)
	}
	return http.StatusOK
}

func (st *store) txn(w http.ResponseWriter, req *http.Request) {
	raw, _ := io.ReadAll(req.Body)
	var txn storeTxn
	if json.Unmarshal(raw, &txn) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, wr := range txn.Writes {
		if strings.HasPrefix(wr.Key, "op/") || strings.HasPrefix(wr.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	st.mu.Lock()
	st.writes++
	var late time.Duration
	var lost bool
	if st.lose != nil {
		late, lost = st.lose(&txn)
	}
	if lost {
		st.mu.Unlock()
		time.AfterFunc(late, func() {
			st.mu.Lock()
			status := st.apply(&txn)
			st.mu.Unlock()
			for _, wr := range txn.Writes {
				st.rec.line("store: write of %s with lease %d, whose answer was lost, is done late: %d", wr.Key, wr.Holder, status)
			}
		})
		<-req.Context().Done()
		return
	}
	status := st.apply(&txn)
	rev := st.rev
	st.mu.Unlock()
	for _, wr := range txn.Writes {
		st.rec.line("store: write of %s with lease %d: %d", wr.Key, wr.Holder, status)
	}
	reply(w, status, map[string]int64{"Revision": rev})
}

func (st *store) grant(w http.ResponseWriter, req *http.Request) {
	var body struct{ TtlMs int64 }
	_ = json.NewDecoder(req.Body).Decode(&body)
	ttl := time.Duration(min(max(body.TtlMs, 1000), 600_000)) * time.Millisecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.writes++
	st.rev++
	id := 70000 + st.rev
	ls := &storeLease{ttl: ttl}
	ls.timer = time.AfterFunc(ttl, func() { st.expire(id) })
	st.leases[id] = ls
	reply(w, http.StatusOK, map[string]int64{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

// expire ends a lease and removes its keys.
func (st *store) expire(id int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.leases[id]; !ok {
		return
	}
	delete(st.leases, id)
	for key, item := range st.items {
		if item.Holder == id {
			st.remove(key)
			st.rec.line("store: lease %d has ended, %s is removed", id, key)
		}
	}
}

func (st *store) keep(w http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	ls, ok := st.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	ls.timer.Reset(ls.ttl)
	reply(w, http.StatusOK, map[string]int64{"TtlMs": ls.ttl.Milliseconds()})
}

func (st *store) end(w http.ResponseWriter, req *http.Request) {
	id, _ := strconv.ParseInt(req.PathValue("id"), 10, 64)
	st.expire(id)
	reply(w, http.StatusOK, struct{}{})
}

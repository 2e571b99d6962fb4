package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/store"
)

// leaseSweep is how often ended leases are looked for.
const leaseSweep = 50 * time.Millisecond

// historyKept is how many changes a watch can start back from.
const historyKept = 10000

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// KV is the key-value service: compare-and-swap, leases and watches over the etcd version 3 JSON protocol.
type KV struct {
	mu       sync.Mutex
	revision int64
	pairs    map[string]store.KeyValue
	leases   map[int64]*kvLease
	nextID   int64
	history  []store.WatchEvent
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   map[string]int64
}

// NewKV returns an empty service.
func NewKV() *KV {
	return &KV{
		pairs:   map[string]store.KeyValue{},
		leases:  map[int64]*kvLease{},
		changed: make(chan struct{}),
		calls:   map[string]int64{},
	}
}

// Run ends leases whose time is over, until the context ends.
func (kv *KV) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			kv.sweep(now)
		}
	}
}

func (kv *KV) sweep(now time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	for id, lease := range kv.leases {
		if now.After(lease.ends) {
			kv.endLease(id)
		}
	}
}

func (kv *KV) endLease(id int64) {
	delete(kv.leases, id)
	for key, pair := range kv.pairs {
		if pair.Lease == id {
			kv.remove(key)
		}
	}
}

func (kv *KV) remove(key string) {
	kv.revision++
	delete(kv.pairs, key)
	kv.note(store.WatchEvent{Type: store.EventDelete, Kv: store.KeyValue{Key: []byte(key), ModRevision: kv.revision}})
}

func (kv *KV) put(req *store.PutRequest) {
	kv.revision++
	pair := store.KeyValue{Key: req.Key, Value: req.Value, ModRevision: kv.revision, Lease: req.Lease}
	kv.pairs[string(req.Key)] = pair
	kv.note(store.WatchEvent{Kv: pair})
}

func (kv *KV) note(ev store.WatchEvent) {
	kv.history = append(kv.history, ev)
	if len(kv.history) > 2*historyKept {
		kv.history = slices.Clone(kv.history[historyKept:])
	}
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// Calls returns how many calls of each kind came so far.
func (kv *KV) Calls() map[string]int64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	calls := make(map[string]int64, len(kv.calls))
	for kind, count := range kv.calls {
		calls[kind] = count
	}
	return calls
}

func (kv *KV) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v3/kv/range", counted(kv, "Range", kv.readRange))
	mux.HandleFunc("POST /v3/kv/txn", counted(kv, "Txn", kv.txn))
	mux.HandleFunc("POST /v3/lease/grant", counted(kv, "Grant", kv.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", counted(kv, "Renew", kv.renew))
	mux.HandleFunc("POST /v3/lease/revoke", counted(kv, "Revoke", kv.revoke))
	mux.HandleFunc("POST /v3/watch", kv.watch)
}

// counted decodes a call, runs it under the lock and encodes its answer.
func counted[Request, Answer any](kv *KV, kind string, run func(Request) (Answer, *store.Status)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 2*store.MaxValue)).Decode(&request); err != nil {
			fail(w, &store.Status{Code: 3, Message: err.Error()})
			return
		}
		kv.mu.Lock()
		kv.calls[kind]++
		answer, status := run(request)
		kv.mu.Unlock()
		if status != nil {
			fail(w, status)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func fail(w http.ResponseWriter, status *store.Status) {
	code := http.StatusBadRequest
	if status.Code == 5 {
		code = http.StatusNotFound
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(status)
}

func (kv *KV) readRange(req store.RangeRequest) (store.RangeAnswer, *store.Status) {
	answer := store.RangeAnswer{Header: store.Header{Revision: kv.revision}}
	if len(req.RangeEnd) == 0 {
		if pair, ok := kv.pairs[string(req.Key)]; ok {
			answer.Kvs = append(answer.Kvs, pair)
		}
		return answer, nil
	}
	for _, pair := range kv.pairs {
		if inRange(pair.Key, req.Key, req.RangeEnd) {
			answer.Kvs = append(answer.Kvs, pair)
		}
	}
	slices.SortFunc(answer.Kvs, func(one, two store.KeyValue) int { return bytes.Compare(one.Key, two.Key) })
	if req.Limit > 0 && int64(len(answer.Kvs)) > req.Limit {
		answer.Kvs = answer.Kvs[:req.Limit]
	}
	return answer, nil
}

func inRange(key, from, end []byte) bool {
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (kv *KV) txn(req store.TxnRequest) (store.TxnAnswer, *store.Status) {
	for _, cmp := range req.Compare {
		if kv.pairs[string(cmp.Key)].ModRevision != cmp.ModRevision {
			return store.TxnAnswer{Header: store.Header{Revision: kv.revision}}, nil
		}
	}
	for _, op := range req.Success {
		if op.Put != nil {
			if op.Put.Lease != 0 && kv.leases[op.Put.Lease] == nil {
				return store.TxnAnswer{}, &store.Status{Code: 5, Message: "requested lease not found"}
			}
			kv.put(op.Put)
		}
		if op.Delete != nil {
			kv.remove(string(op.Delete.Key))
		}
	}
	return store.TxnAnswer{Header: store.Header{Revision: kv.revision}, Succeeded: true}, nil
}

func (kv *KV) grant(req store.LeaseRequest) (store.LeaseAnswer, *store.Status) {
	kv.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	kv.leases[kv.nextID] = &kvLease{ttl: ttl, ends: time.Now().Add(ttl)}
	return store.LeaseAnswer{ID: kv.nextID, TTL: req.TTL}, nil
}

func (kv *KV) renew(req store.LeaseRequest) (store.KeepAliveAnswer, *store.Status) {
	lease, ok := kv.leases[req.ID]
	if !ok {
		return store.KeepAliveAnswer{Result: store.LeaseAnswer{ID: req.ID}}, nil
	}
	lease.ends = time.Now().Add(lease.ttl)
	return store.KeepAliveAnswer{Result: store.LeaseAnswer{ID: req.ID, TTL: int64(lease.ttl / time.Second)}}, nil
}

func (kv *KV) revoke(req store.LeaseRequest) (struct{}, *store.Status) {
	if _, ok := kv.leases[req.ID]; !ok {
		return struct{}{}, &store.Status{Code: 5, Message: "requested lease not found"}
	}
	kv.endLease(req.ID)
	return struct{}{}, nil
}

// watch streams changes until the caller leaves.
func (kv *KV) watch(w http.ResponseWriter, req *http.Request) {
	var request store.WatchRequest
	if err := json.NewDecoder(req.Body).Decode(&request); err != nil {
		fail(w, &store.Status{Code: 3, Message: err.Error()})
		return
	}
	kv.mu.Lock()
	kv.calls["Watch"]++
	from := request.Create.StartRevision
	if from == 0 {
		from = kv.revision + 1
	}
	kv.mu.Unlock()
	created := store.WatchResult{Header: store.Header{Revision: from - 1}, Created: true}
	if !send(w, created) {
		return
	}
	for {
		events, next, changed := kv.since(request.Create, from)
		if len(events) > 0 && !send(w, store.WatchResult{Header: store.Header{Revision: next - 1}, Events: events}) {
			return
		}
		from = next
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

func (kv *KV) since(create store.WatchCreate, from int64) ([]store.WatchEvent, int64, <-chan struct{}) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	var events []store.WatchEvent
	for _, ev := range kv.history {
		if ev.Kv.ModRevision >= from && inRange(ev.Kv.Key, create.Key, create.RangeEnd) {
			events = append(events, ev)
		}
	}
	return events, kv.revision + 1, kv.changed
}

func send(w http.ResponseWriter, result store.WatchResult) bool {
	if json.NewEncoder(w).Encode(store.WatchAnswer{Result: result}) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

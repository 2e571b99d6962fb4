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
	gate    *gate
}

// Codes of errors, as the published protocol gives them.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// NewKV returns an empty service held to the rates.
func NewKV(rates Rates) *KV {
	return &KV{
		pairs:   map[string]store.KeyValue{},
		leases:  map[int64]*kvLease{},
		changed: make(chan struct{}),
		gate:    newGate(rates),
	}
}

// SetFaults replaces the faults in force.
func (kv *KV) SetFaults(fs Faults) {
	kv.gate.set(fs)
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
	kv.expire(now)
}

func (kv *KV) expire(now time.Time) {
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

// Calls returns what was asked so far.
func (kv *KV) Calls() Calls {
	return kv.gate.snapshot()
}

func (kv *KV) routes(mux *http.ServeMux) {
	kv.gate.routes(mux)
	mux.HandleFunc("POST /v3/kv/range", served(kv, "Range", kv.readRange))
	mux.HandleFunc("POST /v3/kv/txn", served(kv, "Txn", kv.txn))
	mux.HandleFunc("POST /v3/lease/grant", served(kv, "Grant", kv.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", served(kv, "Renew", kv.renew))
	mux.HandleFunc("POST /v3/lease/revoke", served(kv, "Revoke", kv.revoke))
	mux.HandleFunc("POST /v3/watch", kv.watch)
}

// served decodes a call, runs it and encodes its answer.
func served[Request, Answer any](kv *KV, kind string, run func(Request) (Answer, *store.Status)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 2*store.MaxValue)).Decode(&request); err != nil {
			fail(w, &store.Status{Code: codeInvalidArgument, Message: err.Error()})
			return
		}
		answer, status, err := do(req.Context(), kv, kind, run, request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if status != nil {
			fail(w, status)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// do runs one call through the gate and under the lock. An error means that the caller gets no answer.
func do[Request, Answer any](ctx context.Context, kv *KV, kind string, run func(Request) (Answer, *store.Status), request Request) (Answer, *store.Status, error) {
	var none Answer
	status, err := kv.gate.enter(ctx, kind)
	if status != nil || err != nil {
		return none, status, err
	}
	kv.mu.Lock()
	kv.expire(time.Now())
	answer, status := run(request)
	kv.mu.Unlock()
	if status == nil && kv.gate.lost(kind) {
		return none, nil, errNoAnswer
	}
	return answer, status, nil
}

func fail(w http.ResponseWriter, status *store.Status) {
	code := http.StatusBadRequest
	switch status.Code {
	case codeNotFound:
		code = http.StatusNotFound
	case codeResourceExhausted:
		code = http.StatusTooManyRequests
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(status)
}

func (kv *KV) readRange(req store.RangeRequest) (store.RangeResponse, *store.Status) {
	answer := store.RangeResponse{Header: store.Header{Revision: kv.revision}}
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

func (kv *KV) txn(req store.TxnRequest) (store.TxnResponse, *store.Status) {
	if status := kv.admissible(req); status != nil {
		return store.TxnResponse{}, status
	}
	for _, cmp := range req.Compare {
		if kv.pairs[string(cmp.Key)].ModRevision != cmp.ModRevision {
			return store.TxnResponse{Header: store.Header{Revision: kv.revision}}, nil
		}
	}
	for _, op := range req.Success {
		if op.Put != nil {
			kv.put(op.Put)
			kv.gate.wrote(len(op.Put.Value))
		}
		if op.Delete != nil && kv.pairs[string(op.Delete.Key)].ModRevision != 0 {
			kv.remove(string(op.Delete.Key))
		}
	}
	return store.TxnResponse{Header: store.Header{Revision: kv.revision}, Succeeded: true}, nil
}

// admissible refuses a transaction whole if one of its writes cannot be done.
func (kv *KV) admissible(req store.TxnRequest) *store.Status {
	for _, op := range req.Success {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > store.MaxValue {
			return &store.Status{Code: codeInvalidArgument, Message: "value is too large"}
		}
		if op.Put.Lease != 0 && kv.leases[op.Put.Lease] == nil {
			return &store.Status{Code: codeNotFound, Message: "requested lease not found"}
		}
	}
	return nil
}

func (kv *KV) grant(req store.LeaseRequest) (store.LeaseResponse, *store.Status) {
	kv.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	kv.leases[kv.nextID] = &kvLease{ttl: ttl, ends: time.Now().Add(ttl)}
	return store.LeaseResponse{ID: kv.nextID, TTL: req.TTL}, nil
}

func (kv *KV) renew(req store.LeaseRequest) (store.KeepAliveResponse, *store.Status) {
	lease, ok := kv.leases[req.ID]
	if !ok {
		return store.KeepAliveResponse{Result: store.LeaseResponse{ID: req.ID}}, nil
	}
	lease.ends = time.Now().Add(lease.ttl)
	return store.KeepAliveResponse{Result: store.LeaseResponse{ID: req.ID, TTL: int64(lease.ttl / time.Second)}}, nil
}

func (kv *KV) revoke(req store.LeaseRequest) (struct{}, *store.Status) {
	if _, ok := kv.leases[req.ID]; !ok {
		return struct{}{}, &store.Status{Code: codeNotFound, Message: "requested lease not found"}
	}
	kv.endLease(req.ID)
	return struct{}{}, nil
}

// watch streams changes until the caller leaves or the watch is cut.
func (kv *KV) watch(w http.ResponseWriter, req *http.Request) {
	var request store.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, store.MaxValue)).Decode(&request); err != nil {
		fail(w, &store.Status{Code: codeInvalidArgument, Message: err.Error()})
		return
	}
	status, err := kv.gate.enter(req.Context(), "Watch")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if status != nil {
		fail(w, status)
		return
	}
	cut := kv.gate.watching(1)
	defer kv.gate.watching(-1)
	kv.stream(w, request.Create, req.Context().Done(), cut)
}

func (kv *KV) stream(w http.ResponseWriter, create store.WatchCreate, gone, cut <-chan struct{}) {
	from := kv.start(create)
	if !send(w, store.WatchResult{Header: store.Header{Revision: from - 1}, Created: true}) {
		return
	}
	for {
		events, next, changed := kv.since(create, from)
		if len(events) > 0 && !send(w, store.WatchResult{Header: store.Header{Revision: next - 1}, Events: events}) {
			return
		}
		from = next
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-gone:
			return
		}
	}
}

func (kv *KV) start(create store.WatchCreate) int64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	if create.StartRevision != 0 {
		return create.StartRevision
	}
	return kv.revision + 1
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
	if json.NewEncoder(w).Encode(store.WatchResponse{Result: result}) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/store"
)

// leaseCheckInterval is the interval at which expired leases are removed.
const leaseCheckInterval = 50 * time.Millisecond

// minHistory is the minimum number of past changes that are kept for watches that start at an earlier revision.
const minHistory = 10000

type kvLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KV is the platform's key-value service: compare-and-swap, leases and watches over the etcd version 3 JSON protocol.
type KV struct {
	mu       sync.Mutex
	revision int64
	// cluster identifies the service's history. It is 0 if answers name none.
	cluster uint64
	pairs   map[string]store.KeyValue
	leases  map[int64]*kvLease
	nextID  int64
	history []store.WatchEvent
	// changed is closed and replaced at each change.
	changed chan struct{}
	gate    *gate
	// saved is the copy that a call of PathCopy made.
	saved KVCopy
}

// Paths of the calls by which a test makes the service return from a copy.
const (
	// PathCopy makes a copy of the contents.
	PathCopy = "/standin/copy"
	// PathReturn lets the service return from the copy made last.
	PathReturn = "/standin/return"
)

// Error codes of the published protocol.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// firstCluster is the cluster's ID before the first return from a copy. Those after it have no order.
const firstCluster = 0x9f3b5c7d11e2a4b6

// KVCopy is a copy of the service's contents.
type KVCopy struct {
	revision int64
	pairs    map[string]store.KeyValue
	leases   map[int64]*kvLease
	nextID   int64
	history  []store.WatchEvent
}

// Copy returns a copy of the contents.
func (kv *KV) Copy() KVCopy {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return KVCopy{kv.revision, maps.Clone(kv.pairs), cloneLeases(kv.leases), kv.nextID, slices.Clone(kv.history)}
}

func cloneLeases(leases map[int64]*kvLease) map[int64]*kvLease {
	clone := make(map[int64]*kvLease, len(leases))
	for id, lease := range leases {
		clone[id] = &kvLease{ttl: lease.ttl, expiresAt: lease.expiresAt}
	}
	return clone
}

// ReturnFrom replaces the contents by the copy, as a service does that is restored from one: what was written since is gone, its
// revisions and leases are given out again, the cluster has another ID, and all watches are cut.
func (kv *KV) ReturnFrom(from KVCopy) {
	kv.mu.Lock()
	kv.revision, kv.pairs, kv.leases = from.revision, maps.Clone(from.pairs), cloneLeases(from.leases)
	kv.nextID, kv.history = from.nextID, slices.Clone(from.history)
	for _, lease := range kv.leases {
		// A restored service gives each lease its whole time again.
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	kv.cluster = kv.cluster*6364136223846793005 + 1442695040888963407
	close(kv.changed)
	kv.changed = make(chan struct{})
	kv.mu.Unlock()
	kv.gate.cutWatches()
}

func (kv *KV) save() {
	made := kv.Copy()
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.saved = made
}

func (kv *KV) returnFromSaved() {
	kv.mu.Lock()
	from := kv.saved
	kv.mu.Unlock()
	kv.ReturnFrom(from)
}

// header returns the header of an answer. kv.mu is held.
func (kv *KV) header() store.Header {
	return store.Header{Revision: kv.revision, ClusterID: kv.cluster}
}

// NewKV returns an empty service with the given rate limits.
func NewKV(rates Rates) *KV {
	return &KV{
		cluster: firstCluster,
		pairs:   map[string]store.KeyValue{},
		leases:  map[int64]*kvLease{},
		changed: make(chan struct{}),
		gate:    newGate(rates),
	}
}

// SetFaults replaces the faults in effect.
func (kv *KV) SetFaults(fs Faults) {
	kv.gate.set(fs)
}

// Run removes expired leases until the context ends.
func (kv *KV) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			kv.expireLeases(now)
		}
	}
}

func (kv *KV) expireLeases(now time.Time) {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	kv.expireLocked(now)
}

// expireLocked ends the leases that have expired by now. The caller holds the lock.
func (kv *KV) expireLocked(now time.Time) {
	for id, lease := range kv.leases {
		if now.After(lease.expiresAt) {
			kv.endLease(id)
		}
	}
}

// endLease removes the lease and the pairs attached to it.
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
	kv.recordChange(store.WatchEvent{Type: store.EventDelete, Kv: store.KeyValue{Key: []byte(key), ModRevision: kv.revision}})
}

func (kv *KV) put(req *store.PutRequest) {
	kv.revision++
	pair := store.KeyValue{Key: req.Key, Value: req.Value, ModRevision: kv.revision, Lease: req.Lease}
	kv.pairs[string(req.Key)] = pair
	kv.recordChange(store.WatchEvent{Kv: pair})
}

// recordChange appends the change to the history and wakes the watches.
func (kv *KV) recordChange(ev store.WatchEvent) {
	kv.history = append(kv.history, ev)
	if len(kv.history) > 2*minHistory {
		kv.history = slices.Clone(kv.history[minHistory:])
	}
	close(kv.changed)
	kv.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (kv *KV) Calls() Calls {
	return kv.gate.snapshot()
}

func (kv *KV) routes(mux *http.ServeMux) {
	kv.gate.routes(mux)
	mux.HandleFunc("POST "+PathCopy, func(http.ResponseWriter, *http.Request) { kv.save() })
	mux.HandleFunc("POST "+PathReturn, func(http.ResponseWriter, *http.Request) { kv.returnFromSaved() })
	mux.HandleFunc("POST /v3/kv/range", handleCall(kv, "Range", kv.readRange))
	mux.HandleFunc("POST /v3/kv/txn", handleCall(kv, "Txn", kv.txn))
	mux.HandleFunc("POST /v3/lease/grant", handleCall(kv, "Grant", kv.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handleCall(kv, "Renew", kv.renew))
	mux.HandleFunc("POST /v3/lease/revoke", handleCall(kv, "Revoke", kv.revoke))
	mux.HandleFunc("POST /v3/watch", kv.watch)
}

// handleCall returns a handler that decodes a call, runs it and encodes its answer.
func handleCall[Request, Answer any](kv *KV, kind string, run func(Request) (Answer, *store.Status)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var request Request
		if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, 2*store.MaxValue)).Decode(&request); err != nil {
			writeStatus(w, &store.Status{Code: codeInvalidArgument, Message: err.Error()})
			return
		}
		answer, status, err := runCall(req.Context(), kv, kind, run, request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if status != nil {
			writeStatus(w, status)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// runCall passes a call through the gate and runs it under the lock. An error means that the caller must get no answer.
func runCall[Request, Answer any](ctx context.Context, kv *KV, kind string, run func(Request) (Answer, *store.Status), request Request) (Answer, *store.Status, error) {
	var none Answer
	status, err := kv.gate.admit(ctx, kind)
	if status != nil || err != nil {
		return none, status, err
	}
	kv.mu.Lock()
	kv.expireLocked(time.Now())
	answer, status := run(request)
	kv.mu.Unlock()
	if status == nil && kv.gate.losesAnswer(kind) {
		return none, nil, errNoAnswer
	}
	return answer, status, nil
}

// writeStatus answers with an error status.
func writeStatus(w http.ResponseWriter, status *store.Status) {
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
	answer := store.RangeResponse{Header: kv.header()}
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
	slices.SortFunc(answer.Kvs, func(a, b store.KeyValue) int { return bytes.Compare(a.Key, b.Key) })
	if req.Limit > 0 && int64(len(answer.Kvs)) > req.Limit {
		answer.Kvs = answer.Kvs[:req.Limit]
	}
	return answer, nil
}

func inRange(key, from, end []byte) bool {
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (kv *KV) txn(req store.TxnRequest) (store.TxnResponse, *store.Status) {
	if status := kv.validate(req); status != nil {
		return store.TxnResponse{}, status
	}
	for _, cmp := range req.Compare {
		pair := kv.pairs[string(cmp.Key)]
		if cmp.Target == store.TargetValue && !bytes.Equal(pair.Value, cmp.Value) || cmp.Target != store.TargetValue && pair.ModRevision != cmp.ModRevision {
			return store.TxnResponse{Header: kv.header()}, nil
		}
	}
	for _, op := range req.Success {
		if op.Put != nil {
			kv.put(op.Put)
			kv.gate.countBytes(len(op.Put.Value))
		}
		if op.Delete != nil && kv.pairs[string(op.Delete.Key)].ModRevision != 0 {
			kv.remove(string(op.Delete.Key))
		}
	}
	return store.TxnResponse{Header: kv.header(), Succeeded: true}, nil
}

// validate returns an error status if any write of the transaction is invalid. The transaction is then refused as a whole.
func (kv *KV) validate(req store.TxnRequest) *store.Status {
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
	kv.leases[kv.nextID] = &kvLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return store.LeaseResponse{Header: kv.header(), ID: kv.nextID, TTL: req.TTL}, nil
}

func (kv *KV) renew(req store.LeaseRequest) (store.KeepAliveResponse, *store.Status) {
	lease, ok := kv.leases[req.ID]
	if !ok {
		return store.KeepAliveResponse{Result: store.LeaseResponse{Header: kv.header(), ID: req.ID}}, nil
	}
	lease.expiresAt = time.Now().Add(lease.ttl)
	return store.KeepAliveResponse{Result: store.LeaseResponse{Header: kv.header(), ID: req.ID, TTL: int64(lease.ttl / time.Second)}}, nil
}

func (kv *KV) revoke(req store.LeaseRequest) (struct{}, *store.Status) {
	if _, ok := kv.leases[req.ID]; !ok {
		return struct{}{}, &store.Status{Code: codeNotFound, Message: "requested lease not found"}
	}
	kv.endLease(req.ID)
	return struct{}{}, nil
}

// watch streams changes until the caller leaves or a fault ends the watch.
func (kv *KV) watch(w http.ResponseWriter, req *http.Request) {
	var request store.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, store.MaxValue)).Decode(&request); err != nil {
		writeStatus(w, &store.Status{Code: codeInvalidArgument, Message: err.Error()})
		return
	}
	status, err := kv.gate.admit(req.Context(), "Watch")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if status != nil {
		writeStatus(w, status)
		return
	}
	cut := kv.gate.addWatch(1)
	defer kv.gate.addWatch(-1)
	kv.stream(w, request.Create, req.Context().Done(), cut)
}

func (kv *KV) stream(w http.ResponseWriter, create store.WatchCreate, gone, cut <-chan struct{}) {
	from := kv.nextRevision()
	if !sendWatchResult(w, store.WatchResult{Header: store.Header{Revision: from - 1, ClusterID: kv.clusterID()}, Created: true}) {
		return
	}
	for {
		events, next, changed := kv.eventsSince(create, from)
		if len(events) > 0 && !sendWatchResult(w, store.WatchResult{Header: store.Header{Revision: next - 1}, Events: events}) {
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

func (kv *KV) clusterID() uint64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.cluster
}

// nextRevision returns the first revision that a new watch reports.
func (kv *KV) nextRevision() int64 {
	kv.mu.Lock()
	defer kv.mu.Unlock()
	return kv.revision + 1
}

// eventsSince returns the watched changes from a revision on, the revision to continue at, and a channel that is closed at
// the next change.
func (kv *KV) eventsSince(create store.WatchCreate, from int64) ([]store.WatchEvent, int64, <-chan struct{}) {
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

// sendWatchResult writes one message of a watch and reports whether it was sent.
func sendWatchResult(w http.ResponseWriter, result store.WatchResult) bool {
	if json.NewEncoder(w).Encode(store.WatchResponse{Result: result}) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

package stand

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/store"
)

// MemoryStore is a store.Store that calls the key-value service without a network connection but with the same faults. It
// is for tests with a paused clock.
type MemoryStore struct {
	// KV is the service. Several MemoryStore values may share it, as several instances share one service.
	KV *KV
	// Partitioned, unless nil, reports whether a network partition cuts this caller off. Its calls then end without an answer
	// and without effect.
	Partitioned func() bool
}

// NewMemoryStore returns a client of the service.
func NewMemoryStore(kv *KV) *MemoryStore {
	return &MemoryStore{KV: kv}
}

var _ store.Store = (*MemoryStore)(nil)

// callKV runs one call and converts an error status to an error of package store.
func callKV[Request, Answer any](ctx context.Context, ms *MemoryStore, kind string, run func(Request) (Answer, *store.Status), request Request) (Answer, error) {
	var none Answer
	if ms.Partitioned != nil && ms.Partitioned() {
		return none, errNoAnswer
	}
	answer, status, err := runCall(ctx, ms.KV, kind, run, request)
	switch {
	case err != nil:
		return none, store.Unavailable.Wrap(err, "stand: the call got no answer")
	case status == nil:
		return answer, nil
	case status.Code == codeNotFound:
		return none, store.Missing.New("stand: %s", status.Message)
	case status.Code == codeResourceExhausted:
		return none, store.Limited.New("stand: %s", status.Message)
	default:
		return none, store.Invalid.New("stand: %s", status.Message)
	}
}

// Get implements store.Store.
func (ms *MemoryStore) Get(ctx context.Context, key string) (store.Pair, error) {
	answer, err := callKV(ctx, ms, "Range", ms.KV.readRange, store.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Pair{}, err
	}
	if len(answer.Kvs) == 0 {
		return store.Pair{}, store.Missing.New("stand: the key %s does not exist", key)
	}
	return pair(answer.Kvs[0]), nil
}

func pair(kv store.KeyValue) store.Pair {
	return store.Pair{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}

// List implements store.Store.
func (ms *MemoryStore) List(ctx context.Context, prefix, from string, limit int) ([]store.Pair, error) {
	request := store.RangeRequest{Key: []byte(max(prefix, from)), RangeEnd: store.RangeEnd(prefix), Limit: int64(limit)}
	answer, err := callKV(ctx, ms, "Range", ms.KV.readRange, request)
	if err != nil {
		return nil, err
	}
	pairs := make([]store.Pair, 0, len(answer.Kvs))
	for _, kv := range answer.Kvs {
		pairs = append(pairs, pair(kv))
	}
	return pairs, nil
}

// Swap implements store.Store.
func (ms *MemoryStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	put := &store.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	answer, err := ms.txn(ctx, key, revision, store.Op{Put: put})
	if err != nil {
		return store.Pair{}, err
	}
	return store.Pair{Key: key, Value: value, Revision: answer.Header.Revision, Lease: lease}, nil
}

// Delete implements store.Store.
func (ms *MemoryStore) Delete(ctx context.Context, key string, revision int64) error {
	_, err := ms.txn(ctx, key, revision, store.Op{Delete: &store.DeleteRequest{Key: []byte(key)}})
	return err
}

func (ms *MemoryStore) txn(ctx context.Context, key string, revision int64, op store.Op) (store.TxnResponse, error) {
	request := store.TxnRequest{
		Compare: []store.Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}},
		Success: []store.Op{op},
	}
	answer, err := callKV(ctx, ms, "Txn", ms.KV.txn, request)
	if err == nil && !answer.Succeeded {
		err = store.Conflict.New("stand: the key %s was written after revision %d; read it again", key, revision)
	}
	return answer, err
}

// Grant implements store.Store.
func (ms *MemoryStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	answer, err := callKV(ctx, ms, "Grant", ms.KV.grant, store.LeaseRequest{TTL: seconds})
	return store.LeaseID(answer.ID), err
}

// Renew implements store.Store.
func (ms *MemoryStore) Renew(ctx context.Context, lease store.LeaseID) error {
	answer, err := callKV(ctx, ms, "Renew", ms.KV.renew, store.LeaseRequest{ID: int64(lease)})
	if err == nil && answer.Result.TTL <= 0 {
		return store.Missing.New("stand: lease %d has expired; grant a new one", lease)
	}
	return err
}

// Revoke implements store.Store.
func (ms *MemoryStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := callKV(ctx, ms, "Revoke", ms.KV.revoke, store.LeaseRequest{ID: int64(lease)})
	return err
}

// Watch implements store.Store.
func (ms *MemoryStore) Watch(ctx context.Context, prefix string, revision int64) (<-chan store.Change, error) {
	status, err := ms.KV.gate.admit(ctx, "Watch")
	if err != nil || status != nil || (ms.Partitioned != nil && ms.Partitioned()) {
		return nil, errNoAnswer
	}
	create := store.WatchCreate{Key: []byte(prefix), RangeEnd: store.RangeEnd(prefix), StartRevision: revision}
	changes := make(chan store.Change)
	go ms.forwardChanges(ctx, create, ms.KV.startRevision(create), changes)
	return changes, nil
}

// forwardChanges sends the watched changes until the context ends or a fault ends the watch, and then closes the channel.
func (ms *MemoryStore) forwardChanges(ctx context.Context, create store.WatchCreate, from int64, changes chan<- store.Change) {
	defer close(changes)
	cut := ms.KV.gate.addWatch(1)
	defer ms.KV.gate.addWatch(-1)
	for {
		events, next, changed := ms.KV.eventsSince(create, from)
		for _, ev := range events {
			select {
			case changes <- store.Change{Pair: pair(ev.Kv), Deleted: ev.Type == store.EventDelete}:
			case <-ctx.Done():
				return
			}
		}
		from = next
		select {
		case <-changed:
		case <-cut:
			return
		case <-ctx.Done():
			return
		}
	}
}

package stand

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/store"
)

// Memory is the key-value service as a store.Store without a connection, with the same faults, for tests whose clock
// is paused.
type Memory struct {
	// KV may be shared by several Memory values, as one service is by several instances.
	KV *KV
	// Cut makes this caller's calls end without an answer and without effect, as behind a partition.
	Cut func() bool
}

// NewMemory returns a caller of the service.
func NewMemory(kv *KV) *Memory {
	return &Memory{KV: kv}
}

var _ store.Store = (*Memory)(nil)

func ask[Request, Answer any](ctx context.Context, mm *Memory, kind string, run func(Request) (Answer, *store.Status), request Request) (Answer, error) {
	var none Answer
	if mm.Cut != nil && mm.Cut() {
		return none, errNoAnswer
	}
	answer, status, err := do(ctx, mm.KV, kind, run, request)
	switch {
	case err != nil:
		return none, store.Unavailable.Wrap(err, "stand: no answer")
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
func (mm *Memory) Get(ctx context.Context, key string) (store.Pair, error) {
	answer, err := ask(ctx, mm, "Range", mm.KV.readRange, store.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Pair{}, err
	}
	if len(answer.Kvs) == 0 {
		return store.Pair{}, store.Missing.New("stand: no key %s", key)
	}
	return pair(answer.Kvs[0]), nil
}

func pair(kv store.KeyValue) store.Pair {
	return store.Pair{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}

// List implements store.Store.
func (mm *Memory) List(ctx context.Context, prefix, from string, limit int) ([]store.Pair, error) {
	request := store.RangeRequest{Key: []byte(max(prefix, from)), RangeEnd: store.RangeEnd(prefix), Limit: int64(limit)}
	answer, err := ask(ctx, mm, "Range", mm.KV.readRange, request)
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
func (mm *Memory) Swap(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (store.Pair, error) {
	put := &store.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	answer, err := mm.txn(ctx, key, revision, store.Op{Put: put})
	if err != nil {
		return store.Pair{}, err
	}
	return store.Pair{Key: key, Value: value, Revision: answer.Header.Revision, Lease: lease}, nil
}

// Delete implements store.Store.
func (mm *Memory) Delete(ctx context.Context, key string, revision int64) error {
	_, err := mm.txn(ctx, key, revision, store.Op{Delete: &store.DeleteRequest{Key: []byte(key)}})
	return err
}

func (mm *Memory) txn(ctx context.Context, key string, revision int64, op store.Op) (store.TxnResponse, error) {
	request := store.TxnRequest{
		Compare: []store.Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: revision}},
		Success: []store.Op{op},
	}
	answer, err := ask(ctx, mm, "Txn", mm.KV.txn, request)
	if err == nil && !answer.Succeeded {
		err = store.Conflict.New("stand: %s was written since revision %d", key, revision)
	}
	return answer, err
}

// Grant implements store.Store.
func (mm *Memory) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	answer, err := ask(ctx, mm, "Grant", mm.KV.grant, store.LeaseRequest{TTL: seconds})
	return store.LeaseID(answer.ID), err
}

// Renew implements store.Store.
func (mm *Memory) Renew(ctx context.Context, lease store.LeaseID) error {
	answer, err := ask(ctx, mm, "Renew", mm.KV.renew, store.LeaseRequest{ID: int64(lease)})
	if err == nil && answer.Result.TTL <= 0 {
		return store.Missing.New("stand: lease %d has ended", lease)
	}
	return err
}

// Revoke implements store.Store.
func (mm *Memory) Revoke(ctx context.Context, lease store.LeaseID) error {
	_, err := ask(ctx, mm, "Revoke", mm.KV.revoke, store.LeaseRequest{ID: int64(lease)})
	return err
}

// Watch implements store.Store.
func (mm *Memory) Watch(ctx context.Context, prefix string, revision int64) (<-chan store.Change, error) {
	status, err := mm.KV.gate.enter(ctx, "Watch")
	if err != nil || status != nil || (mm.Cut != nil && mm.Cut()) {
		return nil, errNoAnswer
	}
	create := store.WatchCreate{Key: []byte(prefix), RangeEnd: store.RangeEnd(prefix), StartRevision: revision}
	changes := make(chan store.Change)
	go mm.follow(ctx, create, mm.KV.start(create), changes)
	return changes, nil
}

func (mm *Memory) follow(ctx context.Context, create store.WatchCreate, from int64, changes chan<- store.Change) {
	defer close(changes)
	cut := mm.KV.gate.watching(1)
	defer mm.KV.gate.watching(-1)
	for {
		events, next, changed := mm.KV.since(create, from)
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

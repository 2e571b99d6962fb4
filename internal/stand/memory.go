package stand

import (
	"context"

	"dandelionsail.example/dandelionsail/internal/store"
)

// MemoryStore is a store.Store that calls the key-value service without a network connection but with the same faults. It
// is for tests with a paused clock.
type MemoryStore struct {
	store.Protocol
	// KV is the service. Several MemoryStore values may share it, as several instances share one service.
	KV *KV
	// Partitioned, unless nil, reports whether a network partition cuts this caller off. Its calls then end without an answer
	// and without effect.
	Partitioned func() bool
}

// memoryCalls makes the calls of the protocol for a MemoryStore.
type memoryCalls struct{ ms *MemoryStore }

// NewMemoryStore returns a client of the service.
func NewMemoryStore(kv *KV) *MemoryStore {
	ms := &MemoryStore{KV: kv}
	ms.Calls = &memoryCalls{ms}
	return ms
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

// Range implements store.Calls.
func (mc *memoryCalls) Range(ctx context.Context, request store.RangeRequest) (store.RangeResponse, error) {
	return callKV(ctx, mc.ms, "Range", mc.ms.KV.readRange, request)
}

// Txn implements store.Calls.
func (mc *memoryCalls) Txn(ctx context.Context, request store.TxnRequest) (store.TxnResponse, error) {
	return callKV(ctx, mc.ms, "Txn", mc.ms.KV.txn, request)
}

// GrantLease implements store.Calls.
func (mc *memoryCalls) GrantLease(ctx context.Context, request store.LeaseRequest) (store.LeaseResponse, error) {
	return callKV(ctx, mc.ms, "Grant", mc.ms.KV.grant, request)
}

// KeepAlive implements store.Calls.
func (mc *memoryCalls) KeepAlive(ctx context.Context, request store.LeaseRequest) (store.KeepAliveResponse, error) {
	return callKV(ctx, mc.ms, "Renew", mc.ms.KV.renew, request)
}

// RevokeLease implements store.Calls.
func (mc *memoryCalls) RevokeLease(ctx context.Context, request store.LeaseRequest) error {
	_, err := callKV(ctx, mc.ms, "Revoke", mc.ms.KV.revoke, request)
	return err
}

// Watch implements store.Store.
func (ms *MemoryStore) Watch(ctx context.Context, prefix string) (<-chan store.Change, error) {
	status, err := ms.KV.gate.admit(ctx, "Watch")
	if err != nil || status != nil || (ms.Partitioned != nil && ms.Partitioned()) {
		return nil, errNoAnswer
	}
	create := store.WatchCreate{Key: []byte(prefix), RangeEnd: store.RangeEnd(prefix)}
	era := ms.Era().Number
	changes := make(chan store.Change)
	go ms.forwardChanges(ctx, era, create, ms.KV.nextRevision(), changes)
	return changes, nil
}

// forwardChanges sends the watched changes until the context ends or a fault ends the watch, and then closes the channel.
func (ms *MemoryStore) forwardChanges(ctx context.Context, era int64, create store.WatchCreate, from int64, changes chan<- store.Change) {
	defer close(changes)
	cut := ms.KV.gate.addWatch(1)
	defer ms.KV.gate.addWatch(-1)
	for {
		events, next, changed := ms.KV.eventsSince(create, from)
		for _, ev := range events {
			select {
			case changes <- store.Change{Pair: ev.Kv.Pair(era), Deleted: ev.Type == store.EventDelete}:
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

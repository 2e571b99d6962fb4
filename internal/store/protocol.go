package store

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/posit"
)

// Calls are the calls of the protocol, other than watches. An error is one of this package's types.
type Calls interface {
	// Range reads one key, or several.
	Range(ctx context.Context, request RangeRequest) (RangeResponse, error)
	// Txn writes under conditions.
	Txn(ctx context.Context, request TxnRequest) (TxnResponse, error)
	// GrantLease grants a lease.
	GrantLease(ctx context.Context, request LeaseRequest) (LeaseResponse, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, request LeaseRequest) (KeepAliveResponse, error)
	// RevokeLease ends a lease.
	RevokeLease(ctx context.Context, request LeaseRequest) error
}

// Protocol implements Store, other than Watch, by Calls.
type Protocol struct {
	Calls Calls
	eras  Eras
}

// Era implements Store.
func (pr *Protocol) Era() Era { return pr.eras.Now() }

// CheckEra implements Store.
func (pr *Protocol) CheckEra(ctx context.Context) error { return pr.eras.Check(ctx, pr.Calls) }

// eraOf returns the era of an answer, or the error of its call.
func (pr *Protocol) eraOf(ctx context.Context, header Header, err error) (int64, error) {
	if err != nil {
		return 0, err
	}
	return pr.eras.Of(ctx, header.ClusterID, pr.Calls)
}

// Get implements Store.
func (pr *Protocol) Get(ctx context.Context, key string) (Pair, error) {
	response, err := pr.Calls.Range(ctx, RangeRequest{Key: []byte(key)})
	era, err := pr.eraOf(ctx, response.Header, err)
	if err != nil {
		return Pair{}, err
	}
	if len(response.Kvs) == 0 {
		return Pair{}, Missing.New("store: no key %s", key)
	}
	return response.Kvs[0].Pair(era), nil
}

// List implements Store.
func (pr *Protocol) List(ctx context.Context, prefix, from string, limit int) ([]Pair, error) {
	response, err := pr.Calls.Range(ctx, RangeRequest{Key: []byte(max(prefix, from)), RangeEnd: RangeEnd(prefix), Limit: int64(limit)})
	era, err := pr.eraOf(ctx, response.Header, err)
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, 0, len(response.Kvs))
	for _, kv := range response.Kvs {
		pairs = append(pairs, kv.Pair(era))
	}
	return pairs, nil
}

// RangeEnd returns the first key after all keys with the prefix. If there is none it returns a zero byte, which means "no
// upper bound" in the protocol.
func RangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Swap implements Store.
func (pr *Protocol) Swap(ctx context.Context, have Pair, value []byte, lease posit.Lease) (Pair, error) {
	if len(value) > MaxValue {
		return Pair{}, Invalid.New("store: value of %s has %d bytes; split it, the platform holds %d", have.Key, len(value), MaxValue)
	}
	if err := pr.checkEra(have, lease); err != nil {
		return Pair{}, err
	}
	response, era, err := pr.txn(ctx, have, Op{Put: &PutRequest{Key: []byte(have.Key), Value: value, Lease: lease.ID}})
	if err != nil {
		return Pair{}, err
	}
	if have.Exists() && have.Position.Era != era || lease.ID != 0 && lease.Era != era {
		return Pair{}, Returned.New("store: the service returned from a copy while %s was written; read it again", have.Key)
	}
	return Pair{Key: have.Key, Value: value, Position: posit.Position{Era: era, Revision: response.Header.Revision}, Lease: lease}, nil
}

// Delete implements Store.
func (pr *Protocol) Delete(ctx context.Context, have Pair) error {
	if err := pr.checkEra(have, posit.Lease{}); err != nil {
		return err
	}
	_, _, err := pr.txn(ctx, have, Op{Delete: &DeleteRequest{Key: []byte(have.Key)}})
	return err
}

// checkEra returns an error if the pair or the lease is from before a return of the service that is known.
func (pr *Protocol) checkEra(have Pair, lease posit.Lease) error {
	era := pr.eras.Now().Number
	switch {
	case have.Exists() && have.Position.Era != era:
		return Conflict.New("store: %s was read at %s, before the service returned from a copy; read it again", have.Key, have.Position)
	case lease.ID != 0 && lease.Era != era:
		return Missing.New("store: lease %d is from before the service returned from a copy; grant a new one", lease.ID)
	}
	return nil
}

// txn runs the operation if the pair is still as it was read, or returns a Conflict error.
func (pr *Protocol) txn(ctx context.Context, have Pair, op Op) (TxnResponse, int64, error) {
	response, err := pr.Calls.Txn(ctx, TxnRequest{Compare: Unchanged(have), Success: []Op{op}})
	era, err := pr.eraOf(ctx, response.Header, err)
	if err == nil && !response.Succeeded {
		err = Conflict.New("store: %s was written since %s; read it again", have.Key, have.Position)
	}
	return response, era, err
}

// Grant implements Store.
func (pr *Protocol) Grant(ctx context.Context, ttl time.Duration) (posit.Lease, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	response, err := pr.Calls.GrantLease(ctx, LeaseRequest{TTL: seconds})
	era, err := pr.eraOf(ctx, response.Header, err)
	return posit.Lease{Era: era, ID: response.ID}, err
}

// Renew implements Store.
func (pr *Protocol) Renew(ctx context.Context, lease posit.Lease) error {
	if err := pr.checkEra(Pair{}, lease); err != nil {
		return err
	}
	response, err := pr.Calls.KeepAlive(ctx, LeaseRequest{ID: lease.ID})
	era, err := pr.eraOf(ctx, response.Result.Header, err)
	if err != nil {
		return err
	}
	if response.Result.TTL <= 0 || !lease.HeldIn(era) {
		return Missing.New("store: lease %d has ended; grant a new one", lease.ID)
	}
	return nil
}

// Revoke implements Store.
func (pr *Protocol) Revoke(ctx context.Context, lease posit.Lease) error {
	if err := pr.checkEra(Pair{}, lease); err != nil {
		return err
	}
	return pr.Calls.RevokeLease(ctx, LeaseRequest{ID: lease.ID})
}

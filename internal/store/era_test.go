package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/stand"
	"dandelionsail.example/dandelionsail/internal/store"
)

// leaseTime is the time to live of leases in these tests.
const leaseTime = time.Minute

func TestWriteThatExpectsWhatStoreHasLostFails(t *testing.T) {
	// The store returns from a copy and gives a revision out again to the same key with another value. A swap or removal
	// that expects the lost value must fail, also at an instance that has not heard of the return.
	for name, write := range map[string]func(t *testing.T, client *store.Client, have store.Pair) error{
		"swap": func(t *testing.T, client *store.Client, have store.Pair) error {
			_, err := client.Swap(t.Context(), have, []byte("mine"), posit.Lease{})
			return err
		},
		"removal": func(t *testing.T, client *store.Client, have store.Pair) error {
			return client.Delete(t.Context(), have)
		},
	} {
		for _, knows := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				platform, client, server := newService(t, stand.Rates{})
				other := store.New(address(server))
				defer other.Close()
				_, _ = other.Get(t.Context(), "k")
				from := platform.KV.Copy()
				lost, err := client.Swap(t.Context(), store.Pair{Key: "k"}, []byte("lost"), posit.Lease{})
				assert.NilError(t, err)
				platform.KV.ReturnFrom(from)
				raw := store.New(address(server))
				defer raw.Close()
				// The write itself does not ask for the era, so that no instance hears of the return by it.
				created, err := raw.Calls.Txn(t.Context(), store.TxnRequest{
					Compare: store.Unchanged(store.Pair{Key: "k"}),
					Success: []store.Op{{Put: &store.PutRequest{Key: []byte("k"), Value: []byte("new")}}},
				})
				assert.Assert(t, err == nil && created.Succeeded)
				if knows {
					_, _ = client.Get(t.Context(), "k")
				}
				err = write(t, client, lost)
				assert.Assert(t, errorx.IsOfType(err, store.Conflict), "%v", err)
				now, err := other.Get(t.Context(), "k")
				assert.NilError(t, err)
				assert.Equal(t, string(now.Value), "new")
				assert.Equal(t, now.Position.Revision, lost.Position.Revision)
				assert.Assert(t, lost.Position.Before(now.Position))
			})
		}
	}
}

func TestInstancesAgreeOnEra(t *testing.T) {
	// Clusters' IDs have no order. All instances must give a return the same number, whoever notices it first, also when the store
	// returns again from a copy that lacks the record of the first return, and when an instance starts in between.
	platform, one, server := newService(t, stand.Rates{})
	eraOf := func(client *store.Client) int64 {
		_, err := client.Get(t.Context(), "k")
		assert.Assert(t, errorx.IsOfType(err, store.Missing), "%v", err)
		return client.Era().Number
	}
	two, three := store.New(address(server)), store.New(address(server))
	defer two.Close()
	defer three.Close()
	assert.Equal(t, eraOf(one), int64(0))
	ended := one.Era().Ended
	from := platform.KV.Copy()
	platform.KV.ReturnFrom(from)
	assert.Equal(t, eraOf(one), int64(1))
	<-ended
	assert.Equal(t, eraOf(two), int64(1))
	platform.KV.ReturnFrom(from)
	assert.Equal(t, eraOf(two), int64(2))
	assert.Equal(t, eraOf(three), int64(2))
	assert.Equal(t, eraOf(one), int64(2))
}

func TestSecondReturnHasAHigherEra(t *testing.T) {
	// Guards against two returns with one number: the second is from a copy without the record of the first, and an instance notices it first
	// that has not noticed the first. An instance that knows the first must notice the second, and the others learn the higher number.
	platform, one, server := newService(t, stand.Rates{})
	two, three := store.New(address(server)), store.New(address(server))
	defer two.Close()
	defer three.Close()
	for _, client := range []*store.Client{one, two, three} {
		_, _ = client.Get(t.Context(), "k")
	}
	from := platform.KV.Copy()
	for range 2 {
		ended := one.Era().Ended
		before := one.Era().Number
		platform.KV.ReturnFrom(from)
		for _, client := range []*store.Client{two, three} {
			if before > 0 {
				_, _ = client.Get(t.Context(), "k")
			}
		}
		_, _ = one.Get(t.Context(), "k")
		<-ended
		assert.Equal(t, one.Era().Number, before+1)
	}
	assert.NilError(t, two.CheckEra(t.Context()))
	assert.Equal(t, two.Era().Number, one.Era().Number)
	assert.NilError(t, three.CheckEra(t.Context()))
	assert.Equal(t, three.Era().Number, one.Era().Number)
}

func TestLeaseOfAnotherEraIsNotRenewed(t *testing.T) {
	platform, client, server := newService(t, stand.Rates{})
	_, _ = client.Get(t.Context(), "k")
	from := platform.KV.Copy()
	lease, err := client.Grant(t.Context(), leaseTime)
	assert.NilError(t, err)
	platform.KV.ReturnFrom(from)
	again, err := store.New(address(server)).Grant(t.Context(), leaseTime)
	assert.NilError(t, err)
	assert.Equal(t, again.ID, lease.ID)
	assert.Assert(t, errorx.IsOfType(client.Renew(t.Context(), lease), store.Missing))
	assert.Assert(t, errorx.IsOfType(client.Revoke(t.Context(), lease), store.Missing))
	assert.NilError(t, client.Renew(t.Context(), again))
}

// namelessCalls makes calls whose answers lack the cluster's ID while nameless is set, as something on the way may do.
type namelessCalls struct {
	store.Calls
	nameless bool
}

func (nc *namelessCalls) Range(ctx context.Context, request store.RangeRequest) (store.RangeResponse, error) {
	response, err := nc.Calls.Range(ctx, request)
	if nc.nameless {
		response.Header.ClusterID = 0
	}
	return response, err
}

func TestAnswerWithoutClusterBelongsToKnownEra(t *testing.T) {
	// An answer lacks the cluster's ID. It must not be taken for one of another cluster: each such answer would end all leases and
	// stop claims and patches for seconds.
	platform, client, _ := newService(t, stand.Rates{})
	calls := &namelessCalls{Calls: client.Calls}
	client.Calls = calls
	_, _ = client.Get(t.Context(), "k")
	platform.KV.ReturnFrom(platform.KV.Copy())
	_, _ = client.Get(t.Context(), "k")
	era := client.Era()
	assert.Equal(t, era.Number, int64(1))
	calls.nameless = true
	_, err := client.Get(t.Context(), "k")
	assert.Assert(t, errorx.IsOfType(err, store.Missing), "%v", err)
	calls.nameless = false
	_, _ = client.Get(t.Context(), "k")
	assert.Equal(t, client.Era().Number, int64(1))
	select {
	case <-era.Ended:
		t.Fatal("the era has ended")
	default:
	}
}

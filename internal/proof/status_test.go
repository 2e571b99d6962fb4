package proof_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const operatorToken = "proof-operator"

// addOperator submits a patch that adds the operator of the tests.
func (lf *longFleet) addOperator() {
	client := store.New(lf.Platform.Address)
	defer client.Close()
	operations, err := json.Marshal([]decl.Operation{{
		Op: "add", Path: "/Operators/on-call", Value: decl.Operator{TokenDigests: []string{decl.TokenDigest(operatorToken)}},
	}})
	assert.NilError(lf.t, err)
	_, err = conf.New(client).Submit(lf.t.Context(), conf.Patch{ID: "operator", Base: 1, Operations: operations})
	assert.NilError(lf.t, err)
}

func TestStatusOverAllInstances(t *testing.T) {
	// An operator requests the status of the fleet from one instance, before and after another instance is killed. All live
	// instances must report the same coordinator of the pool. The dead one must be listed as missing until it is removed:
	// otherwise the operator does not notice that it is gone.
	lf := newLongFleet(t, 2, 3)
	lf.addOperator()
	client, err := oper.New(oper.Options{Server: lf.entries[0].Address, Token: operatorToken, Timeout: 5 * time.Second})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		statuses, missing, err := client.Fleet(t.Context())
		if err != nil || len(missing) > 0 || len(statuses) != 3 {
			return poll.Continue("%d answered, %v missing, %v", len(statuses), missing, err)
		}
		for _, sts := range statuses {
			if len(sts.Pools) != 1 || sts.Pools[0].Coordinator == "" || sts.Pools[0].Coordinator != statuses[0].Pools[0].Coordinator {
				return poll.Continue("pools %v", sts.Pools)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	assert.NilError(t, lf.entries[2].Kill())
	statuses, missing, err := client.Fleet(context.WithoutCancel(t.Context()))
	assert.NilError(t, err)
	assert.Equal(t, len(statuses)+len(missing), 3)
	assert.DeepEqual(t, missing, []string{"entry-2"})
}

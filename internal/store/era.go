package store

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// A service that is restored from a copy is a new cluster: the cluster's ID in the header of each answer changes, and
// revisions and leases go back. The IDs have no order, so the service itself holds a record of the present cluster and its era, which
// the first instance to meet a new cluster replaces.

// eraKey is the key of the record.
const eraKey = "dandelionsail/era"

// eraRecord names a cluster and its era.
type eraRecord struct {
	Cluster uint64
	Era     int64
	// Since is when the first instance met the cluster, in milliseconds since 1970 by that instance's clock.
	Since int64
}

// Era is an era of the service.
type Era struct {
	// Number is 0 until the service has returned from a copy for the first time.
	Number int64
	// Since is when an instance first met the service in the era, by that instance's clock.
	Since time.Time
	// Ended is closed once an answer has another era.
	Ended <-chan struct{}
}

// RestoreTime is how long after a return of the service the instances write again what it has lost. Until then a key or a
// version that seems free may be taken.
const RestoreTime = 3 * time.Second

// Restoring reports whether instances may still be writing again what the service has lost.
func (er Era) Restoring(now time.Time) bool {
	return er.Number > 0 && now.Sub(er.Since).Abs() < RestoreTime
}

// maxEraAttempts bounds the attempts to write the record while others write it.
const maxEraAttempts = 5

// Eras tells the era of the service's answers. The zero value knows no cluster yet. It is safe for concurrent use.
type Eras struct {
	// resolving is held while the record is read or written.
	resolving sync.Mutex

	mu sync.Mutex
	// record is the record of the latest answer. Its Cluster is 0 before the first.
	record eraRecord
	// ended is closed at the next return.
	ended chan struct{}
}

// Now returns the era of the latest answer.
func (er *Eras) Now() Era {
	er.mu.Lock()
	defer er.mu.Unlock()
	if er.ended == nil {
		er.ended = make(chan struct{})
	}
	return Era{Number: er.record.Era, Since: time.UnixMilli(er.record.Since), Ended: er.ended}
}

// Of returns the era of an answer of the cluster. An answer that names no cluster, 0, belongs to the era that is known.
func (er *Eras) Of(ctx context.Context, cluster uint64, calls Calls) (int64, error) {
	if cluster == 0 {
		return er.Now().Number, nil
	}
	if era, ok := er.lookUp(cluster); ok {
		return era, nil
	}
	er.resolving.Lock()
	defer er.resolving.Unlock()
	if era, ok := er.lookUp(cluster); ok {
		return era, nil
	}
	return er.resolve(ctx, calls)
}

// Check reads the record again, since another instance may have replaced it by one with a higher era.
func (er *Eras) Check(ctx context.Context, calls Calls) error {
	er.resolving.Lock()
	defer er.resolving.Unlock()
	_, err := er.resolve(ctx, calls)
	return err
}

// resolve reads the record of the present cluster, or writes it. er.resolving is held.
func (er *Eras) resolve(ctx context.Context, calls Calls) (int64, error) {
	for range maxEraAttempts {
		answer, err := calls.Range(ctx, RangeRequest{Key: []byte(eraKey)})
		if err != nil {
			return 0, err
		}
		have := Pair{Key: eraKey}
		if len(answer.Kvs) > 0 {
			have = answer.Kvs[0].Pair(0)
		}
		if answer.Header.ClusterID == 0 {
			return 0, Unavailable.New("store: the answer with %s names no cluster; the call is tried again later", eraKey)
		}
		record, recorded := er.recordOf(have, answer.Header.ClusterID)
		if recorded {
			er.set(record)
			return record.Era, nil
		}
		raw, err := json.Marshal(record)
		if err != nil {
			return 0, Invalid.Wrap(err, "store: the record of the era does not encode")
		}
		written, err := calls.Txn(ctx, TxnRequest{Compare: Unchanged(have), Success: []Op{{Put: &PutRequest{Key: []byte(eraKey), Value: raw}}}})
		if err != nil {
			return 0, err
		}
		if written.Succeeded {
			er.set(record)
			return record.Era, nil
		}
	}
	return 0, Unavailable.New("store: %s is written by many instances at once; the call is tried again later", eraKey)
}

func (er *Eras) lookUp(cluster uint64) (era int64, ok bool) {
	er.mu.Lock()
	defer er.mu.Unlock()
	return er.record.Era, cluster == er.record.Cluster
}

// recordOf returns the record for the present cluster, and whether the service holds it already. A copy may lack the last
// record, so the era is above each that this process has seen. That holds also for a record that another instance has written which has
// not seen the last one: two clusters with one era would be taken for the same, and what the service has lost would not be written again.
func (er *Eras) recordOf(have Pair, present uint64) (record eraRecord, recorded bool) {
	er.mu.Lock()
	defer er.mu.Unlock()
	known := have.Exists() && json.Unmarshal(have.Value, &record) == nil
	isNewHere := er.record.Cluster != 0 && er.record.Cluster != present
	if known && record.Cluster == present && !(isNewHere && record.Era <= er.record.Era) {
		return record, true
	}
	next := eraRecord{Cluster: present, Since: time.Now().UnixMilli()}
	if known || er.record.Cluster != 0 {
		next.Era = max(record.Era, er.record.Era) + 1
	}
	return next, false
}

func (er *Eras) set(record eraRecord) {
	er.mu.Lock()
	defer er.mu.Unlock()
	changed := er.record.Cluster != 0 && record.Era != er.record.Era
	er.record = record
	if changed && er.ended != nil {
		close(er.ended)
		er.ended = nil
	}
}

package store

import "dandelionsail.example/dandelionsail/internal/posit"

// This file declares those messages of the etcd version 3 JSON protocol that the client uses. The protocol's JSON mapping
// encodes bytes as base64 and 64-bit numbers as strings.

// Header carries the service's revision.
type Header struct {
	Revision int64 `json:"revision,string"`
	// ClusterID identifies the service's history. A service that is restored from a copy has another one.
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
}

// KeyValue is the encoded form of a Pair.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// Pair returns the pair as read in the era.
func (kv KeyValue) Pair(era int64) Pair {
	return Pair{Key: string(kv.Key), Value: kv.Value, Position: posit.Position{Era: era, Revision: kv.ModRevision}, Lease: posit.Lease{Era: era, ID: kv.Lease}}
}

// RangeRequest reads one key, or all keys from Key up to but not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Value       []byte `json:"value,omitempty"`
}

// PutRequest writes a pair.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest removes a pair.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Op is one operation of a transaction, a put or a deletion.
type Op struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs the operations in Success if all conditions in Compare hold.
type TxnRequest struct {
	Compare []Compare `json:"compare"`
	Success []Op      `json:"success"`
}

// TxnResponse is the response to a TxnRequest; Succeeded reports whether the operations ran.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// LeaseRequest grants, renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string,omitempty"`
	// TTL is the time to live in seconds.
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	// TTL is the remaining time to live in seconds. It is not positive if the lease no longer exists.
	TTL int64 `json:"TTL,string"`
}

// KeepAliveResponse is the response to a renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch from now on, all from Key up to but not including RangeEnd.
type WatchCreate struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// EventDelete is the type of a removal. The type of a write is empty.
const EventDelete = "DELETE"

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is a batch of changes, or the start or end of a watch.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one message of the response stream of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// Status is the body of an error response.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Targets of a Compare.
const (
	// TargetRevision compares the revision of the last write to the key, 0 if the key does not exist.
	TargetRevision = "MOD"
	// TargetValue compares the value.
	TargetValue = "VALUE"
)

// maxComparedValue is the maximum length of a value that a write compares. Comparing longer ones would send each value twice.
const maxComparedValue = 4 << 10

// Unchanged returns the conditions under which a key is as it was read. The revision alone would not do: after a return from a copy the
// service may have given it to another value.
func Unchanged(have Pair) []Compare {
	conditions := []Compare{{Key: []byte(have.Key), Target: TargetRevision, Result: "EQUAL", ModRevision: have.Position.Revision}}
	if have.Exists() && len(have.Value) > 0 && len(have.Value) <= maxComparedValue {
		conditions = append(conditions, Compare{Key: []byte(have.Key), Target: TargetValue, Result: "EQUAL", Value: have.Value})
	}
	return conditions
}

package store

// The messages of the etcd version 3 JSON protocol that are used here. Bytes travel as base64 and 64-bit numbers as
// strings, as the protocol's JSON mapping wants it.

// Header carries the service's revision.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a pair on the wire.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

func (kv KeyValue) pair() Pair {
	return Pair{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: LeaseID(kv.Lease)}
}

// RangeRequest reads a key, or all from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeAnswer is what a range holds.
type RangeAnswer struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
}

// Compare is the condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
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

// Op is one step of a transaction.
type Op struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success if all of Compare holds.
type TxnRequest struct {
	Compare []Compare `json:"compare"`
	Success []Op      `json:"success"`
}

// TxnAnswer tells whether the transaction ran.
type TxnAnswer struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// LeaseRequest grants, renews or revokes a lease. TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseAnswer names a lease and what is left of it in seconds.
type LeaseAnswer struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// KeepAliveAnswer answers a renewal.
type KeepAliveAnswer struct {
	Result LeaseAnswer `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names what to watch; a StartRevision of 0 means from now on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the type of a removal; writes have none.
const EventDelete = "DELETE"

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is a batch of changes.
type WatchResult struct {
	Header   Header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []WatchEvent `json:"events,omitempty"`
}

// WatchAnswer wraps a batch.
type WatchAnswer struct {
	Result WatchResult `json:"result"`
}

// Status is the body of an error.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

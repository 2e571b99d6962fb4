package wire_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// messages returns one message of each type.
func messages() []wire.Message {
	updates := []event.StatusUpdate{{Name: "entry-1", State: event.StatusSuspect, Incarnation: 7}}
	return []wire.Message{
		wire.Ack{},
		wire.PermitRequest{Holder: "entry-1", Peer: "10.0.0.1:8081", Request: "r~1", Tokens: 1000, Wait: time.Minute},
		wire.PermitDecision{From: "entry-0", Request: "r~1", Granted: true, Upstreams: []string{"lyric-0", "lyric-1"}},
		wire.PermitReturn{Request: "r~1", Service: "lyric", FailureDomain: "a"},
		wire.PermitRenew{Holder: "entry-1", Requests: []string{"r~1"}},
		wire.PermitStatus{From: "entry-0", Unknown: []string{"r~1"}},
		wire.Quarantine{Deaths: 2, TTL: time.Hour},
		wire.Quarantine{Deaths: 1, TTL: time.Hour, Observed: []wire.Death{{ID: 1, Upstream: 2, Age: time.Second}}},
		wire.QuarantineRequest{From: "10.0.0.1:7400"},
		wire.QuarantineList{Entries: []wire.Quarantine{{Deaths: 1}}},
		wire.ConfigRequest{After: 3},
		wire.ConfigPatches{First: 4, Patches: [][]byte{[]byte("[]")}},
		wire.Probe{From: "entry-1", Peer: "10.0.0.1:8081", Seq: 9, Words: updates},
		wire.ProbeAck{From: "entry-2", Seq: 9, Words: updates},
		wire.Gossip{From: "entry-1", Words: updates},
		wire.Demand{From: "entry-1", Demands: []event.Demand{{Organisation: "parish", Fraction: 0.5}}},
		wire.Shares{Shares: []event.Share{{Organisation: "parish", Fraction: 0.5}}},
		wire.ConfigAnnouncement{Version: 4, Announcer: "10.0.0.1:8081"},
		wire.ClaimRequest{Shard: 7, Hash: [16]byte{1}, Digest: [16]byte{2}, Nonce: "entry-1/4", TimeLeft: time.Minute, Wait: time.Second},
		wire.ClaimResponse{Result: 2, Outcome: wire.ClaimOutcome{Known: true, Status: 200, Body: []byte("{}"), ContentType: "application/json"}},
		wire.ClaimSettle{Shard: 7, Hash: [16]byte{1}, Nonce: "entry-1/4", Outcome: wire.ClaimOutcome{Truncated: true, Running: true}, Release: true, Wait: time.Second},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	missing := wire.Numbers()
	for _, msg := range messages() {
		delete(missing, wire.NumberOf(msg))
		raw, err := wire.Encode(msg)
		assert.NilError(t, err)
		got, err := wire.Decode(raw)
		assert.NilError(t, err, "%T", msg)
		assert.DeepEqual(t, got, msg)
	}
	assert.Equal(t, len(missing), 0, "no message of the types numbered %v", missing)
}

func FuzzDecode(f *testing.F) {
	for _, msg := range messages() {
		raw, err := wire.Encode(msg)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		msg, err := wire.Decode(raw)
		if err != nil {
			return
		}
		again, err := wire.Encode(msg)
		assert.NilError(t, err)
		_, err = wire.Decode(again)
		assert.NilError(t, err)
	})
}

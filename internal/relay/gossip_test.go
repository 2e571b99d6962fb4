package relay

import (
	"context"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestPacketsOfOtherVersions(t *testing.T) {
	// During a rolling update, instances of two versions receive each other's notes. An Instance that cannot read them
	// sends requests to engines that are already full.
	type table = map[int]any
	const unknown = 99
	cases := map[string]struct {
		sent any
		want packet
	}{
		"later version with unknown fields": {
			table{1: table{1: "two", 2: 7, 6: []table{{1: 5, 2: []string{"lyric-0"}, 4: 4960, unknown: "more"}}, unknown: []int{1}}, unknown: table{1: 1}},
			packet{Note: &steer.Note{From: "two", Run: 7, Jobs: []steer.Job{{ID: 5, Replicas: []string{"lyric-0"}, Prompt: 4960}}}},
		},
		"earlier version without some fields": {
			table{1: table{1: "two"}},
			packet{Note: &steer.Note{From: "two"}},
		},
		"unknown kind of packet": {table{unknown: table{1: 1}}, packet{}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			raw, err := cbor.Marshal(tc.sent)
			assert.NilError(t, err)
			var got packet
			assert.NilError(t, cbor.Unmarshal(raw, &got))
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func TestPeerNamesAreNotResolved(t *testing.T) {
	// The entry of another Instance has a host name instead of an IP address. A resolver would be asked by the goroutine that follows the store, which
	// stands still for as long as the resolver takes.
	in := newTestInstance(t, "one", newFakeDirectory())
	asked := make(chan struct{}, 1)
	resolver := net.DefaultResolver
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(context.Context, string, string) (net.Conn, error) {
		trySend(asked, struct{}{})
		return nil, OrderFailed.New("no resolver")
	}}
	t.Cleanup(func() { net.DefaultResolver = resolver })
	in.setPeers(peersByName([]Peer{{Name: "two", Address: "127.0.0.1:9"}, {Name: "three", Address: "peer.example.:9"}, {Name: "four", Address: "127.0.0.1:http"}, {Name: "five", Address: "127.0.0.1:70000"}}))
	assert.Equal(t, len(*in.gossip.peers.Load()), 1)
	assert.Equal(t, len(asked), 0, "a resolver was asked")
}

package relay

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/steer"
)

func TestPacketsOfOtherVersions(t *testing.T) {
	// During a release instances of two versions hear each other's notes; one that cannot read them fills engines that are full.
	type table = map[int]any
	const unknown = 99
	cases := map[string]struct {
		sent any
		want packet
	}{
		"a later one says more": {
			table{1: table{1: "two", 2: 7, 6: []table{{1: 5, 2: []string{"lyric-0"}, 4: 4960, unknown: "more"}}, unknown: []int{1}}, unknown: table{1: 1}},
			packet{Note: &steer.Note{From: "two", Run: 7, Jobs: []steer.Job{{ID: 5, Replicas: []string{"lyric-0"}, Prompt: 4960}}}},
		},
		"an earlier one says less": {
			table{1: table{1: "two"}},
			packet{Note: &steer.Note{From: "two"}},
		},
		"another kind of packet": {table{unknown: table{1: 1}}, packet{}},
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

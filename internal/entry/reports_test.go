package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestWatchedEnginesAreBounded(t *testing.T) {
	// A fleet has far more engines than one instance may read reports of. Each instance reads some, first those of its
	// own failure domain, always the same ones, and two instances read different ones.
	var listed event.UpstreamsListed
	for i := range 600 {
		listed.Upstreams = append(listed.Upstreams, event.Upstream{Name: fmt.Sprint(i), Service: "lyric", FailureDomain: string(rune('a' + i%2))})
	}
	chosen := map[string]map[string]bool{}
	for _, name := range []string{"entry-0", "entry-1"} {
		in := New(Options{Name: name, FailureDomain: "a", Platform: "127.0.0.1:1", Store: "127.0.0.1:1"}, &log.DefaultLogger)
		t.Cleanup(in.close)
		in.config.Store(newDirectory(&decl.Config{Services: map[string]decl.Service{"lyric": {Kind: decl.KindModel}}}))
		chosen[name] = map[string]bool{}
		for range 2 {
			for _, up := range in.watched(listed) {
				chosen[name][up.Name] = true
				assert.Equal(t, up.FailureDomain, "a")
			}
		}
		assert.Equal(t, len(chosen[name]), maxWatched)
	}
	both := 0
	for name := range chosen["entry-0"] {
		if chosen["entry-1"][name] {
			both++
		}
	}
	assert.Assert(t, both < maxWatched/2, "%d in common", both)
}

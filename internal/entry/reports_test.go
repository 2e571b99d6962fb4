package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestPolledEnginesAreBounded(t *testing.T) {
	// Guards against unbounded numbers of report readers in a fleet with many more engines than one instance may read from.
	// Each instance must select engines of its own FailureDomain first and always the same ones, and two instances must
	// select mostly different ones.
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
			for _, up := range in.selectEngines(listed) {
				chosen[name][up.Name] = true
				assert.Equal(t, up.FailureDomain, "a")
			}
		}
		assert.Equal(t, len(chosen[name]), maxPolledEngines)
	}
	both := 0
	for name := range chosen["entry-0"] {
		if chosen["entry-1"][name] {
			both++
		}
	}
	assert.Assert(t, both < maxPolledEngines/2, "%d in common", both)
}

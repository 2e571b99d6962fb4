package entry

import (
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestConfigurationReachesTheReducerFirst(t *testing.T) {
	// An instance is ready, and callers' tokens and models are known to it, as soon as it holds a configuration. If the reducer
	// got that later, a request that arrives in between would be refused with 404, as one for an undeclared model, and
	// its caller would not try again. Here the reducer has more to do than its queue holds, and takes nothing yet.
	synctest.Test(t, func(t *testing.T) {
		in := New(Options{Name: "entry-0"}, &log.Logger{Level: log.PanicLevel})
		backlog := 0
		for full := false; !full; backlog++ {
			submitted := make(chan struct{})
			go func() {
				defer close(submitted)
				in.loop.Submit(event.Ticked{})
			}()
			synctest.Wait()
			select {
			case <-submitted:
			default:
				full = true
			}
		}
		go in.acceptConfig(&decl.Config{Version: 7})
		synctest.Wait()
		assert.Equal(t, in.config.Load().cfg.Version, int64(0))
		done := make(chan error, 1)
		go func() { done <- in.loop.Run(t.Context()) }()
		synctest.Wait()
		assert.Equal(t, in.config.Load().cfg.Version, int64(7))
	})
}

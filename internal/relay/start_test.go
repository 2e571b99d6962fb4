package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestRequestsWaitForAnInstanceThatStarts(t *testing.T) {
	// All instances lost power, start again together, and have their configuration half a second later. Callers who came
	// meanwhile were refused, came back after 300 ms to another instance that was no further, and had no other try. A request
	// waits until the instance is there, not longer than its caller would, and not at one that has run for long: there the
	// store is away, and nobody knows until when.
	cases := map[string]struct{ up, begins, waits time.Duration }{
		"begins soon":          {100 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		"does not begin":       {100 * time.Millisecond, time.Hour, startWait},
		"has run for a while":  {time.Second, time.Hour, startTime - time.Second},
		"has run for long":     {time.Minute, time.Hour, 0},
		"has begun long since": {time.Second, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := New(Options{Name: "one"}, newShelf(), nil, nil, nil)
				in.startedAt = time.Now()
				in.routing.Store(&decl.Routing{Version: 1})
				time.Sleep(tc.up)
				arrived := time.Now()
				timer := time.AfterFunc(tc.begins, func() { (&follower{in: in}).confirm(1) })
				defer timer.Stop()
				if tc.begins == 0 {
					synctest.Wait()
				}
				in.awaitStart(t.Context())
				assert.Equal(t, time.Since(arrived), tc.waits)
			})
		})
	}
}

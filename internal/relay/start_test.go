package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

func TestRequestsWaitForInstanceStartup(t *testing.T) {
	// Guards against refusals after a power failure: all instances start again together and have their configuration
	// half a second later, and refused callers retry 300 ms later at another Instance that is not ready either and have
	// no retry left. A request waits for the configuration, but not longer than its caller would, and not at an
	// Instance that has run for long: there the store is unreachable for an unknown time.
	cases := map[string]struct{ uptime, confirmedAfter, wantWait time.Duration }{
		"confirmed soon":                  {100 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		"not confirmed":                   {100 * time.Millisecond, time.Hour, maxStartWait},
		"not confirmed, late in startup":  {time.Second, time.Hour, startupWindow - time.Second},
		"not confirmed, long after start": {time.Minute, time.Hour, 0},
		"confirmed before the request":    {time.Second, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := New(Options{Name: "one"}, newFakeDirectory(), nil, nil, nil)
				in.startedAt = time.Now()
				in.routing.Store(&decl.Routing{Version: 1})
				time.Sleep(tc.uptime)
				arrived := time.Now()
				timer := time.AfterFunc(tc.confirmedAfter, func() { (&follower{in: in}).confirm(1) })
				defer timer.Stop()
				if tc.confirmedAfter == 0 {
					synctest.Wait()
				}
				in.awaitStart(t.Context())
				assert.Equal(t, time.Since(arrived), tc.wantWait)
			})
		})
	}
}

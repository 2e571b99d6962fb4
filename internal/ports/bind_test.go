package ports_test

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/ports"
)

func TestBindIsRepeatedForBoundedTime(t *testing.T) {
	// Guards against a process that ends at its start since its predecessor, or an outgoing connection, holds its port for a moment, and
	// against one that waits without end for a port that is somebody else's, or that a change of the settings has to mend.
	cases := map[string]struct {
		err error
		// freeAfter is when the error passes.
		freeAfter time.Duration
		cancelled bool
		bound     bool
		// minTime and maxTime bound how long it takes.
		minTime, maxTime time.Duration
		reports          int
	}{
		"free":             {nil, 0, false, true, 0, 0, 0},
		"free in a moment": {syscall.EADDRINUSE, 700 * time.Millisecond, false, true, 700 * time.Millisecond, time.Second, 1},
		"address comes":    {syscall.EADDRNOTAVAIL, 5 * time.Second, false, true, 5 * time.Second, 6 * time.Second, 1},
		"never free":       {syscall.EADDRINUSE, time.Hour, false, false, 10 * time.Second, 11 * time.Second, 1},
		"not permitted":    {syscall.EACCES, time.Hour, false, false, 0, 0, 0},
		"signal to end":    {syscall.EADDRINUSE, time.Hour, true, false, 0, 0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.cancelled {
					cancel()
				}
				start, reports := time.Now(), 0
				bound, err := ports.Bind(ctx, func(error) { reports++ }, func() (bool, error) {
					if time.Since(start) < tc.freeAfter {
						return false, tc.err
					}
					return true, nil
				})
				assert.Equal(t, bound, tc.bound)
				assert.Equal(t, err == nil, tc.bound)
				took := time.Since(start)
				assert.Assert(t, took >= tc.minTime && took <= tc.maxTime, took)
				assert.Equal(t, reports, tc.reports)
			})
		})
	}
}

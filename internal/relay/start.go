package relay

import (
	"context"
	"time"
)

// Requests that come while an instance starts. Load pattern: all instances lose power at once and start again together, and
// their callers are at the doors before the store has handed the configuration to each. A caller that is refused then comes
// back to an instance that is no further, and has no other try. A moment later it can be served.

const (
	// startTime is how long after its start an instance is taken to be about to have its configuration. The store's link
	// takes half a second to hand a large one to each of some hundred instances.
	startTime = 1500 * time.Millisecond
	// startWait is how long one request waits for it at the most: callers turn to another instance after a second in which
	// their request is not read.
	startWait = 700 * time.Millisecond
)

// awaitStart lets a request wait for the first configuration and its confirmation.
func (in *Instance) awaitStart(ctx context.Context) {
	wait := min(startWait, startTime-time.Since(in.startedAt))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-in.begun:
	}
}

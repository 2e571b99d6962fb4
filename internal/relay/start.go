package relay

import (
	"context"
	"time"
)

// Requests that arrive while an Instance starts wait briefly for its first configuration. After a power failure all
// instances start at once, and callers connect before the store has sent each instance the configuration. A refused
// caller would retry at an instance that has no configuration either and then have no retry left, although it could be
// served a moment later.

const (
	// startupWindow is how long after its start an Instance is expected to receive its configuration. The store's
	// network link takes half a second to send a large configuration to each of about a hundred instances.
	startupWindow = 1500 * time.Millisecond
	// maxStartWait is the maximum time that one request waits for the configuration. Callers switch to another Instance
	// if their request is not read for a second.
	maxStartWait = 700 * time.Millisecond
)

// awaitStart blocks until the first configuration is confirmed, the request's wait expires or the context ends.
func (in *Instance) awaitStart(ctx context.Context) {
	wait := min(maxStartWait, startupWindow-time.Since(in.startedAt))
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-in.firstConfirmed:
	}
}

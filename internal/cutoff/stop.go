package cutoff

import "time"

// Stop is the planned end of a process, which is known from the moment on at which it is asked to shut down.
type Stop struct {
	// AbortAt is when the requests that are still running are ended.
	AbortAt time.Time
	// TakeUntil is until when requests are taken whatever time they may need. It is now if other instances take them instead, and later if callers have
	// nowhere else to go: most requests end long before their deadlines.
	TakeUntil time.Time
}

// Refuses reports whether a request that has been read whole now is refused as not run, since it may still be running at AbortAt: it would be cut off then, and
// one that runs once would be lost.
func (st *Stop) Refuses(now, deadline time.Time) bool {
	return st != nil && !now.Before(st.TakeUntil) && deadline.After(st.AbortAt)
}

// Package pause notices that the process has stood still: it was stopped, its machine was suspended, or it got no processor
// time. What other instances have sent meanwhile is then still waiting to be received.
package pause

import "time"

// minInterval is the time between two pauses that are reported, unless what others have sent was received soon after the first. Work
// is held back after each, and a process that is too busy to tick in time would otherwise hold its work all the time.
const minInterval = 3 * time.Second

// Detector notices pauses of a process that handles events, ticks among them. It is not safe for concurrent use.
type Detector struct {
	// MaxGap is the time between two events from which on the process has stood still. Ticks are closer together.
	MaxGap time.Duration
	// MaxWait is how long work is held back at most after a pause.
	MaxWait time.Duration
	// handledAt is when the last event was handled, zero before the first. A process that is busy with one does not stand still.
	handledAt time.Time
	// reportedAt is when the last pause was reported.
	reportedAt time.Time
}

// Before is called before an event is handled. It returns how long the process has stood still since the last one, 0 if it has
// not, or if a pause was reported a short while ago.
func (de *Detector) Before(now time.Time) time.Duration {
	if de.handledAt.IsZero() || now.Sub(de.reportedAt) <= minInterval && !de.isWaiting() {
		return 0
	}
	// now.Round(0) has no reading of the monotonic clock, which does not count time in suspension.
	gap := max(now.Sub(de.handledAt), now.Round(0).Sub(de.handledAt.Round(0)))
	if gap <= de.MaxGap {
		return 0
	}
	de.reportedAt = now
	return gap
}

// isWaiting reports whether the wait after the last pause was not over when the last event was handled. A pause then ends the wait
// although nothing may have been received.
func (de *Detector) isWaiting() bool { return de.handledAt.Before(de.reportedAt.Add(de.MaxWait)) }

// After is called after an event was handled.
func (de *Detector) After(now time.Time) { de.handledAt = now }

// Received is called when the wait after a pause ends. If it ended before MaxWait, what others have sent was received, and a further
// pause is reported however soon it follows.
func (de *Detector) Received(now time.Time) {
	if now.Sub(de.reportedAt) < de.MaxWait {
		de.reportedAt = time.Time{}
	}
}

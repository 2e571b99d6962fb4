// Package quiet measures for how long something has been silent while this process ran. Time for which the process stood still does not count: what was
// sent meanwhile waits to be read. It does no I/O and reads no clock.
package quiet

import "time"

const (
	// parts is the number of timers into which a limit is divided. Each that is on time shows that the process ran.
	parts = 8
	// maxLate is how many late timers in a row delay the end of a limit. A process that is late all the time must still notice a dead connection.
	maxLate = 16
	// maxDelay is how late a timer may be without the process having stood still.
	maxDelay = 100 * time.Millisecond
)

// Clock divides a limit into timers and counts them. The last one has to be on time, so that whoever reads has the length of one to read what waits after
// a standstill. It is not safe for concurrent use.
type Clock struct {
	limit time.Duration
	// since is when the silence began.
	since time.Time
	// armedAt is when the current timer was set.
	armedAt time.Time
	// ended counts the timers since the limit began.
	ended int
	// late counts the timers in a row that were late.
	late int
	// stood is how long the process has stood still since the silence began.
	stood time.Duration
}

// Heard begins a new silence, which may last for the limit.
func (ck *Clock) Heard(now time.Time, limit time.Duration) {
	*ck = Clock{limit: limit, since: now, armedAt: now}
}

// Restart begins the limit anew within the same silence.
func (ck *Clock) Restart(now time.Time) { ck.ended, ck.armedAt = 0, now }

// Timer returns the time until the current timer fires.
func (ck *Clock) Timer() time.Duration { return ck.limit / parts }

// TimerEnded records that the timer has fired, and reports whether the silence has lasted for the limit. Otherwise the next timer begins. idle reports
// whether something could have been heard meanwhile.
func (ck *Clock) TimerEnded(now time.Time, idle bool) bool {
	late := now.Sub(ck.armedAt) - ck.Timer()
	ck.armedAt = now
	if late < 0 {
		// It was set before something was heard.
		return false
	}
	if late > maxDelay {
		ck.stood += late
		ck.late++
	} else {
		ck.late = 0
	}
	if idle {
		ck.ended++
	}
	return ck.IsOver() && (ck.late == 0 || ck.late > maxLate)
}

// IsOver reports whether all timers of the limit have fired.
func (ck *Clock) IsOver() bool { return ck.ended >= parts }

// Limit returns the limit.
func (ck *Clock) Limit() time.Duration { return ck.limit }

// Since returns when the silence began.
func (ck *Clock) Since() time.Time { return ck.since }

// Silent returns how long the silence has lasted, without the time for which the process stood still, and that time.
func (ck *Clock) Silent(now time.Time) (silent, stood time.Duration) {
	return now.Sub(ck.since) - ck.stood, ck.stood
}

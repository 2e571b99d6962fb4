package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent is the cause with which an attempt without progress is cancelled.
var errSilent = errors.New("entry: the upstream made no progress in its time")

// watchdog cancels an attempt whose upstream makes no progress. A connection can stay open though something between
// the two ends has lost track of it: no error ever comes, and the caller would wait until its deadline.
type watchdog struct {
	cancel context.CancelCauseFunc
	// period is the longest time between two signs of progress.
	period time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// since is when the upstream was last heard, and limit how long it may be silent now; a limit of 0 holds the
	// watchdog, because the caller is the one waited for.
	since time.Time
	limit time.Duration
	// heard tells that there was progress at least once.
	heard bool
	ended bool
}

// watch starts a watchdog; first is the longest time before the first sign of progress, or 0 for the period.
func watch(cancel context.CancelCauseFunc, first, period time.Duration) *watchdog {
	if first <= 0 {
		first = period
	}
	wd := &watchdog{cancel: cancel, period: period, since: time.Now(), limit: first}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.timer = time.AfterFunc(first, wd.check)
	return wd
}

// progress notes that the upstream was heard. After the first time the timer is left as it is and looks again when it
// fires, since a reset for each chunk would cost more than the chunk.
func (wd *watchdog) progress() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.since = time.Now()
	wd.limit = wd.period
	if !wd.heard && !wd.ended {
		wd.heard = true
		wd.timer.Reset(wd.period)
	}
}

// hold stops the watch while the caller is being written to.
func (wd *watchdog) hold() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.limit = 0
}

// expect shortens the time that is left for the first sign of progress.
func (wd *watchdog) expect(limit time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.ended || limit >= wd.limit {
		return
	}
	wd.limit = limit
	wd.timer.Reset(limit)
}

// check cancels the attempt if the upstream has been silent for too long, and else looks again when it could be.
func (wd *watchdog) check() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.ended {
		return
	}
	if wd.limit == 0 {
		wd.timer.Reset(wd.period)
		return
	}
	left := wd.limit - time.Since(wd.since)
	if left <= 0 {
		wd.ended = true
		wd.cancel(errSilent)
		return
	}
	wd.timer.Reset(left)
}

// stop ends the watch.
func (wd *watchdog) stop() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.ended = true
	wd.timer.Stop()
}

package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errSilent is the cancellation cause of an attempt whose upstream made no progress.
var errSilent = errors.New("entry: the upstream made no progress within its time limit")

// watchdog cancels an attempt whose upstream makes no progress. A connection can stay open although something on the path
// between the two ends has lost its state. No error ever occurs then, and without the watchdog the caller would wait until
// its deadline.
type watchdog struct {
	cancel context.CancelCauseFunc
	// period is the maximum time between two signs of progress.
	period time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// lastProgress is the time of the last sign of progress, or of the start.
	lastProgress time.Time
	// limit is how long the upstream may currently be silent. 0 suspends the watchdog, because the attempt is waiting for
	// the caller.
	limit time.Duration
	// progressed means that there was progress at least once.
	progressed bool
	// ended means that the watchdog was stopped or has cancelled the attempt.
	ended bool
}

// startWatchdog starts a watchdog. first is the maximum time until the first sign of progress; 0 means the period.
func startWatchdog(cancel context.CancelCauseFunc, first, period time.Duration) *watchdog {
	if first <= 0 {
		first = period
	}
	wd := &watchdog{cancel: cancel, period: period, lastProgress: time.Now(), limit: first}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.timer = time.AfterFunc(first, wd.check)
	return wd
}

// progress records a sign of progress. Only the first one resets the timer; afterwards the timer checks the time of the last
// progress when it fires, because a reset for each chunk would cost more than the chunk.
func (wd *watchdog) progress() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.lastProgress = time.Now()
	wd.limit = wd.period
	if !wd.progressed && !wd.ended {
		wd.progressed = true
		wd.timer.Reset(wd.period)
	}
}

// suspend suspends the watchdog until the next sign of progress, while the attempt writes to the caller.
func (wd *watchdog) suspend() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.limit = 0
}

// shortenLimit lowers the limit for the first sign of progress and restarts the timer with it. A higher limit has no effect.
func (wd *watchdog) shortenLimit(limit time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.ended || limit >= wd.limit {
		return
	}
	wd.limit = limit
	wd.timer.Reset(limit)
}

// check cancels the attempt if the upstream has been silent for too long. Otherwise it resets the timer to the earliest time
// at which that can be the case.
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
	left := wd.limit - time.Since(wd.lastProgress)
	if left <= 0 {
		wd.ended = true
		wd.cancel(errSilent)
		return
	}
	wd.timer.Reset(left)
}

// stop stops the watchdog for good.
func (wd *watchdog) stop() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.ended = true
	wd.timer.Stop()
}

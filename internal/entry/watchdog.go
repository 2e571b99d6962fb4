package entry

import (
	"sync"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/quiet"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// watchdog reports an upstream that makes no progress. A connection can stay open although something on the path
// between the two ends has lost its state. No error ever occurs then, and without the watchdog the caller would wait until
// its deadline even if its request may go on elsewhere. An upstream that is silent may be sound, so the watchdog ends nothing.
type watchdog struct {
	// report is called with the time of the silence, and that for which the process stood still meanwhile.
	report func(silent, stood time.Duration)
	// period is the time between two signs of progress after which the silence is reported.
	period time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// clock measures the silence.
	clock quiet.Clock
	// suspended means that the attempt is waiting for the caller, not for the upstream.
	suspended bool
	// progressed means that there was progress at least once.
	progressed bool
	// ended means that the watchdog was stopped.
	ended bool
}

// reportSilence returns the function that reports the silence of an upstream of the attempt to the reducer.
func (in *Instance) reportSilence(cl *call, eff effect.Send, upstream string) func(silent, stood time.Duration) {
	return func(silent, stood time.Duration) {
		in.loop.Submit(event.FellSilent{ID: cl.id, Attempt: eff.Attempt, Upstream: upstream, Offset: cl.forwarded.Load(), Silent: silent, StoodStill: stood})
	}
}

// startWatchdog starts a watchdog. first is the time until the first sign of progress after which the silence is reported; 0 means the period.
func startWatchdog(report func(silent, stood time.Duration), first, period time.Duration) *watchdog {
	if first <= 0 {
		first = period
	}
	wd := &watchdog{report: report, period: period}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.clock.Heard(time.Now(), first)
	wd.timer = time.AfterFunc(wd.clock.Timer(), tasks.Guard("watchdog", wd.check))
	return wd
}

// progress records a sign of progress. Only the first one resets the timer, because a reset for each chunk would cost more than the chunk.
func (wd *watchdog) progress() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.clock.Heard(time.Now(), wd.period)
	wd.suspended = false
	if !wd.progressed && !wd.ended {
		wd.progressed = true
		wd.timer.Reset(wd.clock.Timer())
	}
}

// suspend suspends the watchdog until the next sign of progress, while the attempt writes to the caller.
func (wd *watchdog) suspend() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.suspended = true
}

// shortenLimit lowers the limit for the first sign of progress and begins it anew. A higher limit has no effect.
func (wd *watchdog) shortenLimit(limit time.Duration) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.ended || limit >= wd.clock.Limit() {
		return
	}
	wd.clock.Heard(time.Now(), limit)
	wd.timer.Reset(wd.clock.Timer())
}

// check reports the silence if it has lasted for the limit, and then again each time that it has.
func (wd *watchdog) check() {
	now := time.Now()
	wd.mu.Lock()
	if wd.ended {
		wd.mu.Unlock()
		return
	}
	isOver := wd.clock.TimerEnded(now, !wd.suspended)
	silent, stood := wd.clock.Silent(now)
	if isOver {
		wd.clock.Restart(now)
	}
	wd.timer.Reset(wd.clock.Timer())
	wd.mu.Unlock()
	if isOver {
		wd.report(silent, stood)
	}
}

// stop stops the watchdog for good.
func (wd *watchdog) stop() {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.ended = true
	wd.timer.Stop()
}

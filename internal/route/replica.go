package route

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/notice"
)

// maxLevels is the maximum number of priority levels by which work is counted.
const maxLevels = 8

// maxReportAge is the age from which on a load report is not used.
const maxReportAge = 5 * time.Second

// Replica holds the state of one upstream.
type Replica struct {
	Upstream event.Upstream
	// Unlisted reports whether the platform no longer lists the replica, or another one has its name. An unlisted replica is
	// kept while attempts are in flight there, and for unlistedRetention, so that a stale list does not restore one that was
	// leaving.
	Unlisted bool
	// unlistedAt is when the replica was first missing from the platform's list.
	unlistedAt time.Time
	// Running is the number of attempts that this instance has in flight at the replica.
	Running int64
	// Tokens is the number of prompt and answer tokens of the attempts that this instance has in flight at the replica.
	Tokens int64
	// Report is the latest load report.
	Report event.Load
	// ReportAt is when the latest load report was measured, zero before the first.
	ReportAt time.Time
	Role     string
	Models   []string
	Loading  []string
	// Window limits Running. It adapts to the engine's refusals and reports.
	Window float64
	// shrunkAt is when a refusal last shrank the window.
	shrunkAt time.Time
	// sendAllowed reports whether this instance may send the replica a longer queued prompt, see drawSendAllowance.
	sendAllowed bool
	// Failures is the number of consecutive failed attempts.
	Failures int
	// Ejections is the number of consecutive ejections, capped since the duration of an ejection is.
	Ejections int
	// EjectedUntil is when the last ejection ends.
	EjectedUntil time.Time
	// Probing reports whether the replica was ejected and has not ended its probation, in which it is sent one request at a
	// time.
	Probing bool
	// Probes is the number of requests answered in the present probation.
	Probes int
	// PrefillRate is the estimated prefill rate in tokens per second.
	PrefillRate float64
	// Slowdown is the moving average of the ratio of the time that answers took to the time expected from the declared
	// rates.
	Slowdown float64
	// Samples is the number of answers in Slowdown since the last ejection.
	Samples int

	pool *pool
	// rest is the time in which the replica wants no requests from this instance.
	rest notice.Rest
	// attempts holds the attempts in flight in the order of sending.
	attempts []attempt
	// pendingPrefill holds the prompt tokens of this instance's attempts that are not yet prefilled, by level.
	pendingPrefill [maxLevels]int64
	// unreportedCount is the number of this instance's attempts in flight that were sent after the latest report.
	unreportedCount int64
	// unreportedTokens is the number of tokens of these attempts.
	unreportedTokens int64
	// otherQueuedTokens is the part of the reported queued tokens that is not this instance's.
	otherQueuedTokens int64
	// openIndex is the index in the open set, -1 if the replica is not open.
	openIndex int
	cache     cacheState
}

// attempt is one attempt in flight.
type attempt struct {
	id     event.RequestID
	sentAt time.Time
	// tokens is the memory that the attempt needs: prompt and answer together.
	tokens int64
	// answer is the requested length of the answer in tokens.
	answer int64
	// prompt is the number of prompt tokens that the replica has to prefill.
	prompt int64
	level  int
	// workToFirstToken is the number of prompt tokens to prefill before the attempt's first token, its own included.
	workToFirstToken int64
	// firstTokenAt is when the first token arrived, zero before.
	firstTokenAt time.Time
}

// attemptIndex returns the index of the request's attempt, -1 if there is none in flight.
func (rep *Replica) attemptIndex(id event.RequestID) int {
	for i := range rep.attempts {
		if rep.attempts[i].id == id {
			return i
		}
	}
	return -1
}

func (rep *Replica) addAttempt(at attempt) {
	rep.Running++
	rep.Tokens += at.tokens
	rep.pendingPrefill[at.level] += at.prompt
	rep.unreportedCount++
	rep.unreportedTokens += at.tokens
	rep.attempts = append(rep.attempts, at)
}

// recordFirstToken records the arrival of an attempt's first token, which shows that its prompt is prefilled.
func (rep *Replica) recordFirstToken(now time.Time, i int) {
	at := &rep.attempts[i]
	if at.firstTokenAt.IsZero() {
		at.firstTokenAt = now
		rep.pendingPrefill[at.level] -= at.prompt
	}
}

func (rep *Replica) removeAttempt(i int) attempt {
	at := rep.attempts[i]
	rep.Running--
	rep.Tokens -= at.tokens
	if at.firstTokenAt.IsZero() {
		rep.pendingPrefill[at.level] -= at.prompt
	}
	if at.sentAt.After(rep.ReportAt) {
		rep.unreportedCount--
		rep.unreportedTokens -= at.tokens
	}
	rep.attempts = append(rep.attempts[:i], rep.attempts[i+1:]...)
	return at
}

// applyReport applies a newer load report and separates this instance's queued tokens in it from those of the others.
// Otherwise this instance's work would be counted twice, and the replica would be avoided for twice as long.
func (rep *Replica) applyReport(ev event.LoadReported) {
	rep.Report = ev.Load
	rep.ReportAt = ev.At
	rep.unreportedCount, rep.unreportedTokens = 0, 0
	var own int64
	for _, at := range rep.attempts {
		switch {
		case at.sentAt.After(ev.At):
			rep.unreportedCount++
			rep.unreportedTokens += at.tokens
		case at.firstTokenAt.IsZero() || at.firstTokenAt.After(ev.At):
			own += at.prompt
		}
	}
	rep.otherQueuedTokens = max(0, ev.Load.QueuedTokens-own)
}

func (rep *Replica) reportFresh(now time.Time) bool {
	return !rep.ReportAt.IsZero() && now.Sub(rep.ReportAt) < maxReportAge
}

// estimatedRunning estimates the number of requests at the replica. Without a recent report it assumes that each other
// instance has sent as many as this one.
func (rep *Replica) estimatedRunning(now time.Time) int64 {
	if rep.reportFresh(now) {
		return max(rep.Running, rep.Report.Running+rep.Report.Waiting+rep.unreportedCount)
	}
	return rep.Running * rep.pool.instances()
}

// estimatedTokens estimates the used memory in tokens in the same way as estimatedRunning.
func (rep *Replica) estimatedTokens(now time.Time) int64 {
	if rep.reportFresh(now) {
		return max(rep.Tokens, rep.Report.UsedTokens+rep.unreportedTokens)
	}
	return rep.Tokens * rep.pool.instances()
}

// memoryTokens returns the reported size of the replica's memory in tokens, or the declared one if none was reported.
func (rep *Replica) memoryTokens() int64 {
	if rep.Report.MemoryTokens > 0 {
		return rep.Report.MemoryTokens
	}
	return rep.pool.service.MemoryTokens
}

// prefillAhead estimates the queued prompt tokens that are prefilled before those of a new request of the level, and those
// that are prefilled after it. Only the sum of the other instances' work is known; it is assumed to have the same mix of
// levels as this instance's.
func (rep *Replica) prefillAhead(now time.Time, level int) (before, behind int64) {
	for lv, tokens := range rep.pendingPrefill {
		if lv >= level {
			before += tokens
		} else {
			behind += tokens
		}
	}
	if rep.reportFresh(now) {
		others := int64(float64(rep.otherQueuedTokens) * rep.pool.shareAtOrAbove(level))
		before += others
		behind += rep.otherQueuedTokens - others
	}
	return before, behind
}

// live reports whether the replica is listed and not leaving, so that it may be sent new requests.
func (rep *Replica) live() bool {
	return !rep.Unlisted && !rep.Upstream.Leaving
}

package route

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// maxLevels bounds the priorities that work is counted by.
const maxLevels = 8

// staleReport is the age after which a load report says nothing about now.
const staleReport = 5 * time.Second

// Replica is what is known of one upstream.
type Replica struct {
	Upstream event.Upstream
	// Gone tells that the platform lists it no longer; it is kept while attempts are under way there, and for
	// goneMemory, so that a list that is late does not undo its leaving.
	Gone   bool
	goneAt time.Time
	// Running and Tokens are what this instance has in flight there.
	Running int64
	Tokens  int64
	// Report is the last load report, measured at ReportAt.
	Report   event.Load
	ReportAt time.Time
	Role     string
	Models   []string
	Loading  []string
	// Window bounds Running; it follows the engine's refusals and reports.
	Window   float64
	narrowed time.Time
	// claimed tells that this instance may send it what has waited; see claim.
	claimed bool
	// Failures counts attempts that failed in a row.
	Failures int
	// Ejections counts how often in a row it was ejected; EjectedUntil is when the last one ends.
	Ejections    int
	EjectedUntil time.Time
	// Probing tells that it was ejected and takes one request at a time until Probes of them were answered.
	Probing bool
	Probes  int
	// PrefillRate is its learnt speed in prompt tokens a second.
	PrefillRate float64
	// Slowdown is the time its answers took against what the declared speeds promise, averaged over Samples.
	Slowdown float64
	Samples  int

	pool *pool
	// attempts are those in flight, in the order of sending.
	attempts []attempt
	// pending is the own prompt work not yet prefilled, by level.
	pending [maxLevels]int64
	// sentCount and sentTokens are the own attempts in flight that the last report cannot show.
	sentCount  int64
	sentTokens int64
	// othersQueued is the reported prompt work that is not this instance's own.
	othersQueued int64
	// place is the position among the pool's open replicas, -1 outside.
	place int
	cache cacheView
}

// attempt is one attempt in flight.
type attempt struct {
	id     event.RequestID
	at     time.Time
	tokens int64
	answer int64
	// prompt is the part of the prompt that the replica has to prefill.
	prompt int64
	level  int
	// ahead is the prompt work that had to be done before its first token, its own included.
	ahead      int64
	answeredAt time.Time
}

func (rep *Replica) find(id event.RequestID) int {
	for i := range rep.attempts {
		if rep.attempts[i].id == id {
			return i
		}
	}
	return -1
}

func (rep *Replica) start(at attempt) {
	rep.Running++
	rep.Tokens += at.tokens
	rep.pending[at.level] += at.prompt
	rep.sentCount++
	rep.sentTokens += at.tokens
	rep.attempts = append(rep.attempts, at)
}

// answering notes an attempt's first token: its prompt is prefilled.
func (rep *Replica) answering(now time.Time, i int) {
	at := &rep.attempts[i]
	if at.answeredAt.IsZero() {
		at.answeredAt = now
		rep.pending[at.level] -= at.prompt
	}
}

func (rep *Replica) end(i int) attempt {
	at := rep.attempts[i]
	rep.Running--
	rep.Tokens -= at.tokens
	if at.answeredAt.IsZero() {
		rep.pending[at.level] -= at.prompt
	}
	if at.at.After(rep.ReportAt) {
		rep.sentCount--
		rep.sentTokens -= at.tokens
	}
	rep.attempts = append(rep.attempts[:i], rep.attempts[i+1:]...)
	return at
}

// report takes a newer load report and separates in it the own work from that of others.
func (rep *Replica) report(ev event.LoadReported) {
	rep.Report = ev.Load
	rep.ReportAt = ev.At
	rep.sentCount, rep.sentTokens = 0, 0
	var own int64
	for _, at := range rep.attempts {
		switch {
		case at.at.After(ev.At):
			rep.sentCount++
			rep.sentTokens += at.tokens
		case at.answeredAt.IsZero() || at.answeredAt.After(ev.At):
			own += at.prompt
		}
	}
	rep.othersQueued = max(0, ev.Load.QueuedTokens-own)
}

func (rep *Replica) fresh(now time.Time) bool {
	return !rep.ReportAt.IsZero() && now.Sub(rep.ReportAt) < staleReport
}

// running estimates the requests at the replica. Without a report the other instances are taken to send as many.
func (rep *Replica) running(now time.Time) int64 {
	if rep.fresh(now) {
		return max(rep.Running, rep.Report.Running+rep.Report.Waiting+rep.sentCount)
	}
	return rep.Running * rep.pool.instances()
}

// used estimates the memory taken, as running does.
func (rep *Replica) used(now time.Time) int64 {
	if rep.fresh(now) {
		return max(rep.Tokens, rep.Report.UsedTokens+rep.sentTokens)
	}
	return rep.Tokens * rep.pool.instances()
}

func (rep *Replica) memory() int64 {
	if rep.Report.MemoryTokens > 0 {
		return rep.Report.MemoryTokens
	}
	return rep.pool.service.MemoryTokens
}

// ahead estimates the prompt tokens that are prefilled before those of a new request of the level, and those that give
// way to it. Of the other instances' work only the sum is known; it is taken to be mixed as this instance's own.
func (rep *Replica) ahead(now time.Time, level int) (before, behind int64) {
	for lv, tokens := range rep.pending {
		if lv >= level {
			before += tokens
		} else {
			behind += tokens
		}
	}
	if rep.fresh(now) {
		others := int64(float64(rep.othersQueued) * rep.pool.shareFrom(level))
		before += others
		behind += rep.othersQueued - others
	}
	return before, behind
}

// live tells that the replica may get new work at all.
func (rep *Replica) live() bool {
	return !rep.Gone && !rep.Upstream.Leaving
}

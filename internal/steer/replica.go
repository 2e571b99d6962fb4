package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// jobKey identifies a job among those of all instances. from is empty for this instance's own.
type jobKey struct {
	from string
	id   JobID
}

// work is one job's part at one replica.
type work struct {
	key jobKey
	// first is set at the replica that answers. The others only read.
	first bool
	begun bool
	// tokens is the memory that the part holds.
	tokens int64
	// context is the number of the prompt's tokens at this replica, which add to the time of each step while the answer
	// is written.
	context int64
	// left is what is still to be read.
	left decl.PrefillWork
	// passShare is the share of left that the current pass reads.
	passShare float64
	stage     stage
	// long is set if the part keeps other long reads off the engine.
	long bool
	// alone is set if no other engine reads for the same prompt.
	alone bool
	// goal is when the answer should begin.
	goal time.Time
	// gap is the longest pause that the caller was promised.
	gap time.Duration
	// leaves is the pause after which the caller leaves.
	leaves time.Duration
	// value is the value of an answer in time.
	value float64
	// sent is when the part was booked at this instance.
	sent time.Time
	// claim is set if the request had not been sent when the job was announced.
	claim bool
}

// replica is what this instance knows of one upstream.
type replica struct {
	Replica
	// gone is set while the replica is not registered any more.
	gone bool
	// goneAt is when it was removed from the list.
	goneAt time.Time
	works  []work
	passes passes
	// slow is how many times longer than declared its passes take, at least 1.
	slow float64
	// announcedSlow is the value of slow that the other instances know.
	announcedSlow float64
	// slowSeenAt is when slow was last observed, announced by another instance, or halved.
	slowSeenAt time.Time
	// failures counts consecutive failures.
	failures int
	// downUntil is the end of the last pause that failures caused.
	downUntil time.Time
	// downCause is the kind of the failure that caused that pause.
	downCause notice.Announcement
	// downReporter names the instance that reported that failure, empty if it occurred here.
	downReporter string
	// outageUntil is until when the replica is avoided because its failure domain counts as down.
	outageUntil time.Time
	// unconfirmed reports whether the failure is not known to be the replica's, since no connection to another one has succeeded after it.
	unconfirmed bool
	// heardAt is when the replica last answered this instance.
	heardAt time.Time
	// diedAt is when it last died while it ran a request of this instance.
	diedAt time.Time
	// rest is the time in which the replica wants no requests from this instance.
	rest notice.Rest
	// limit is nil while the replica states no rate limit.
	limit *rateLimit
	// fullUntil is until when the replica is taken to have no free slot, since a slot was refused.
	fullUntil time.Time
	// schedule paces the sends to the replica. It is nil while they need no grants.
	schedule *sendSchedule
	// cold is what is known of the replica's cold state.
	cold coldState
	// coldUntil is until when the replica counts as cold here, zero if it never did or its service has no slow start.
	coldUntil time.Time
	// connections caches how many idle connections this instance may keep to the replica.
	connections cachedBound
	// evacuated reports whether the operators have evacuated its failure domain.
	evacuated bool
	// limitEnded is when the last limit was known to be over.
	limitEnded time.Time
	// invalidAnnouncements holds the announcements of unusable value that were logged.
	invalidAnnouncements []string
	// sends holds when requests of all instances reached the replica in the last limitSpan, as far as this instance
	// knows.
	sends []time.Time
}

const (
	// minFailurePause is the pause after the first failure: long enough for a restart to show.
	minFailurePause = 700 * time.Millisecond
	// maxFailurePause bounds the pauses, which double with each further failure: short enough to find a recovered
	// replica soon.
	maxFailurePause = 5 * time.Second
)

// failed records a failure that the named instance reported, or one that occurred here if the name is empty.
func (rep *replica) failed(now time.Time, cause notice.Announcement, reporter string) {
	rep.failures++
	rep.downCause = cause
	rep.downReporter = reporter
	pause := min(minFailurePause<<min(rep.failures-1, 4), maxFailurePause)
	if until := now.Add(pause); until.After(rep.downUntil) {
		rep.downUntil = until
	}
}

func (rep *replica) succeeded() {
	rep.failures = 0
	rep.unconfirmed = false
	rep.downUntil, rep.outageUntil = time.Time{}, time.Time{}
}

// running counts the requests that occupy a slot.
func (rep *replica) running() int {
	count := 0
	for i := range rep.works {
		if rep.works[i].first {
			count++
		}
	}
	return count
}

// freeSlots is the number of slots that no known request occupies, negative if more requests were sent than there are
// slots.
func (rep *replica) freeSlots() int { return rep.Slots - rep.running() }

// helping counts the parts that the replica reads of prompts that others answer.
func (rep *replica) helping() int { return len(rep.works) - rep.running() }

// usedTokens is the memory in use, in tokens.
func (rep *replica) usedTokens() int64 {
	var tokens int64
	for i := range rep.works {
		tokens += rep.works[i].tokens
	}
	return tokens
}

// start books a job's part. A plain service has no engine figures, and so no passes.
func (rep *replica) start(eng *decl.Engine, tune *Tuning, now time.Time, wk work) {
	if eng == nil {
		rep.works = append(rep.works, wk)
		return
	}
	rep.advance(eng, tune, now)
	rep.works = append(rep.works, wk)
	if rep.passes.idle() {
		rep.startPass(eng, now)
	}
}

// begin records that the job's prompt is read. If live is set, its answer begins just now, so that a pass has ended,
// too.
func (rep *replica) begin(eng *decl.Engine, now time.Time, key jobKey, live bool) {
	i := rep.find(key)
	if i < 0 || rep.works[i].begun {
		return
	}
	wk := &rep.works[i]
	wk.begun = true
	wk.stage = stageDone
	if live && wk.first && eng != nil {
		rep.observePassEnd(eng, now)
	}
}

// end removes a job. The current pass gets shorter by what it was to read of it.
func (rep *replica) end(now time.Time, key jobKey) {
	i := rep.find(key)
	if i < 0 {
		return
	}
	if wk := &rep.works[i]; wk.stage == stageReading && !wk.begun {
		end := rep.passes.end.Add(-duration(wk.left.Time * wk.passShare * rep.slow))
		rep.passes.end = later(now, end)
	}
	rep.works = slices.Delete(rep.works, i, i+1)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (rep *replica) find(key jobKey) int {
	for i := range rep.works {
		if rep.works[i].key == key {
			return i
		}
	}
	return -1
}

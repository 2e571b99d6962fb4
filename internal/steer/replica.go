package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// jobKey names a job over all instances; From is empty for this instance's own.
type jobKey struct {
	from string
	id   JobID
}

// work is one job's part at one replica.
type work struct {
	key jobKey
	// first tells that the replica answers; the others only read.
	first bool
	begun bool
	// tokens is the memory held, context what each step costs.
	tokens, context int64
	// left is what is still to be read, taken the part of it that the pass under way reads. long tells that it keeps other
	// long reads off the engine, alone that no other engine reads for the same prompt.
	left  decl.Reading
	taken float64
	stage stage
	long  bool
	alone bool
	// goal is when the answer should begin, gap the longest pause that its caller was promised.
	goal time.Time
	gap  time.Duration
	// leaves is the pause after which its caller leaves.
	leaves time.Duration
	// value is what the answer is worth if it is in time.
	value float64
	sent  time.Time
	// claim tells that it was not sent when it was heard of.
	claim bool
}

// replica is what is known of one upstream.
type replica struct {
	Replica
	// gone tells that it is registered no longer, since goneAt.
	gone   bool
	goneAt time.Time
	works  []work
	passes passes
	// slow is how many times longer its passes take than its figures say, at least 1.
	slow float64
	// slowTold is what the others know of that, pacedAt when it was last seen.
	slowTold float64
	pacedAt  time.Time
	// failures counts those in a row; downUntil ends the last pause that they brought.
	failures  int
	downUntil time.Time
	// limit is nil while the replica names no rate limit; limitEnded is when one was last known to be over.
	limit      *rateLimit
	limitEnded time.Time
	// sends holds when requests of all instances reached the replica in the last limitSpan, as far as known here.
	sends []time.Time
}

// Pauses after failures: long enough for a restart to show, short enough to find a replica that is back.
const (
	firstPause = 700 * time.Millisecond
	maxPause   = 5 * time.Second
)

func (rep *replica) usable(now time.Time) bool {
	return !rep.gone && !rep.Leaving && !now.Before(rep.downUntil)
}

func (rep *replica) failed(now time.Time) {
	rep.failures++
	pause := min(firstPause<<min(rep.failures-1, 4), maxPause)
	if until := now.Add(pause); until.After(rep.downUntil) {
		rep.downUntil = until
	}
}

func (rep *replica) succeeded() {
	rep.failures = 0
	rep.downUntil = time.Time{}
}

// running counts the requests that take a slot.
func (rep *replica) running() int {
	count := 0
	for i := range rep.works {
		if rep.works[i].first {
			count++
		}
	}
	return count
}

// freeSlots counts the slots that nobody known here takes, below zero where more requests were sent than there are.
func (rep *replica) freeSlots() int { return rep.Slots - rep.running() }

func (rep *replica) helping() int { return len(rep.works) - rep.running() }

// held is the memory taken.
func (rep *replica) held() int64 {
	var tokens int64
	for i := range rep.works {
		tokens += rep.works[i].tokens
	}
	return tokens
}

// start books a job. Plain services have no engine's figures.
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

// begin notes that the job's prompt is read, and if its answer begins just now that a pass has ended.
func (rep *replica) begin(eng *decl.Engine, now time.Time, key jobKey, live bool) {
	i := rep.find(key)
	if i < 0 || rep.works[i].begun {
		return
	}
	wk := &rep.works[i]
	wk.begun = true
	wk.stage = stageRead
	if live && wk.first && eng != nil {
		rep.boundary(eng, now)
	}
}

// end takes a job out. What the pass under way was to read of it is not read.
func (rep *replica) end(now time.Time, key jobKey) {
	i := rep.find(key)
	if i < 0 {
		return
	}
	if wk := &rep.works[i]; wk.stage == stageReads && !wk.begun {
		end := rep.passes.end.Add(-duration(wk.left.Time * wk.taken * rep.slow))
		rep.passes.end = later(now, end)
	}
	rep.works = slices.Delete(rep.works, i, i+1)
}

func later(one, two time.Time) time.Time {
	if one.Before(two) {
		return two
	}
	return one
}

func (rep *replica) find(key jobKey) int {
	for i := range rep.works {
		if rep.works[i].key == key {
			return i
		}
	}
	return -1
}

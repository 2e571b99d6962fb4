package steer

import (
	"slices"
	"time"
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
	// tokens is the memory held, context what each step costs, read the part's reading in ms.
	tokens, context int64
	read            float64
	// goal is when the answer should begin, gap the longest pause that its caller was promised.
	goal time.Time
	gap  time.Duration
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
	// readUntil is when its engine will have read all that was sent to it, helpUntil when the parts for others' prompts,
	// which it reads before everything else.
	readUntil, helpUntil time.Time
	// slow is how many times longer its passes take than its figures say, at least 1.
	slow float64
	// failures counts those in a row; downUntil ends the last pause that they brought.
	failures  int
	downUntil time.Time
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

func (rep *replica) helping() int { return len(rep.works) - rep.running() }

// held is the memory taken.
func (rep *replica) held() int64 {
	var tokens int64
	for i := range rep.works {
		tokens += rep.works[i].tokens
	}
	return tokens
}

// writers counts the requests that answer, begun or not, and their contexts.
func (rep *replica) writers() (count int, contexts int64) {
	for i := range rep.works {
		if rep.works[i].first {
			count++
			contexts += rep.works[i].context
		}
	}
	return count, contexts
}

// overdueShare is the part of its reading that a request which should have begun by now is taken to have left.
const overdueShare = 0.3

// backlog is the reading still to be done, in ms. An engine that is later than was reckoned is not idle.
func (rep *replica) backlog(now time.Time) float64 {
	if left := ms(rep.readUntil.Sub(now)); left > 0 {
		return left
	}
	return overdueShare * rep.unread(false)
}

// helpBacklog is the part of the backlog that is read for others' prompts.
func (rep *replica) helpBacklog(now time.Time) float64 {
	if left := ms(rep.helpUntil.Sub(now)); left > 0 {
		return left
	}
	return overdueShare * rep.unread(true)
}

// unread is the reading in ms for requests that have not begun to answer, or only that for others' prompts.
func (rep *replica) unread(helping bool) float64 {
	var total float64
	for i := range rep.works {
		if !rep.works[i].begun && !(helping && rep.works[i].first) {
			total += rep.works[i].read * rep.slow
		}
	}
	return total
}

func (rep *replica) start(now time.Time, wk work) {
	rep.works = append(rep.works, wk)
	read := duration(wk.read * rep.slow)
	rep.readUntil = later(rep.readUntil, now).Add(read)
	if !wk.first {
		rep.helpUntil = later(rep.helpUntil, now).Add(read)
	}
}

func later(one, two time.Time) time.Time {
	if one.Before(two) {
		return two
	}
	return one
}

// begin notes that the job's prompt is read.
func (rep *replica) begin(now time.Time, key jobKey) {
	i := rep.find(key)
	if i < 0 || rep.works[i].begun {
		return
	}
	rep.works[i].begun = true
	rep.caughtUp(now)
}

// caughtUp keeps the reckoned backlog from outlasting what is unread: a prediction that was too long would keep work
// away from an engine that has nothing to do.
func (rep *replica) caughtUp(now time.Time) {
	if latest := now.Add(duration(rep.unread(false))); rep.readUntil.After(latest) {
		rep.readUntil = latest
	}
	if latest := now.Add(duration(rep.unread(true))); rep.helpUntil.After(latest) {
		rep.helpUntil = latest
	}
}

func (rep *replica) end(now time.Time, key jobKey) {
	i := rep.find(key)
	if i < 0 {
		return
	}
	rep.works = slices.Delete(rep.works, i, i+1)
	rep.caughtUp(now)
}

func (rep *replica) find(key jobKey) int {
	for i := range rep.works {
		if rep.works[i].key == key {
			return i
		}
	}
	return -1
}

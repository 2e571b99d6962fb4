// Package budget contains the allowance of one instance out of a budget that all instances share. The budget bounds what they use
// together in any window of time: a ratio of the requests in it plus a slack. No instance is asked before a use, so the
// allowances have to add up to the budget whatever the instances know about each other.
package budget

import (
	"math"
	"time"
)

// Rule is the budget of all instances together: in any Window, at most Ratio uses for each request plus Slack uses.
type Rule struct {
	Ratio float64
	// Slack is a number of uses.
	Slack  float64
	Window time.Duration
}

// Allowance is what this instance may use of one budget. It keeps three promises, which together keep the sum over all
// instances within the budget in every window:
//
//   - It outlasts its process. The counts of a process end with it, so a new process uses only the ratio of its own requests
//     until all that an earlier one can have used is out of the window. See Division.
//   - Its part of the slack never grows while others count on the smaller one. A part that shrinks counts at once, for the uses in the
//     window too; one that grows does so when all that the others can have used is out of the window. See Division.
//   - It is timed by what happened, on the monotonic clock. A use counts from when it is decided until a window after it has
//     certainly arrived, however long it waits in between. A step of the time of day moves nothing.
//
// An Allowance is not safe for concurrent use.
type Allowance struct {
	rule Rule
	// epoch is the time of the first event. Slots are counted from it, by the monotonic clock.
	epoch time.Time
	// current is the number of the newest slot.
	current int64
	slots   [historySlots + 1]slot
	// open is the number of uses that are decided and have not certainly arrived yet.
	open float64
	// Totals counts since the start of the process.
	Totals Totals
}

// Totals counts what became of uses. Those that were taken and are neither settled nor released are open.
type Totals struct{ Taken, Settled, Released, Refused int64 }

// Add returns the sum of both.
func (tot Totals) Add(other Totals) Totals {
	return Totals{tot.Taken + other.Taken, tot.Settled + other.Settled, tot.Released + other.Released, tot.Refused + other.Refused}
}

// slot counts one stretch of time.
type slot struct{ requests, uses float64 }

const (
	// slotsPerWindow is the number of slots that make up a window.
	slotsPerWindow = 40
	// historySlots is the number of slots before the current one that are kept: a window and the half before it.
	historySlots = slotsPerWindow + slotsPerWindow/2
)

// usableShare is the usable part of a budget. The rest covers requests that instances count in different windows.
const usableShare = 0.9

// NewAllowance returns an allowance of the budget of which nothing is used.
func NewAllowance(rule Rule) *Allowance { return &Allowance{rule: rule} }

// Use is what a decision about a use was based on.
type Use struct {
	// Requests is the number of requests that count for Allowed.
	Requests float64
	// Used is the number of uses in the stretch of time that left the least room, and of the open ones, without the one that is
	// decided.
	Used float64
	// Allowed is the number of uses that this instance may have in that stretch.
	Allowed float64
	// Part is this instance's part of the slack.
	Part Part
}

// CountRequest counts a request.
func (al *Allowance) CountRequest(now time.Time) { al.slotOf(now).requests++ }

// Take opens a use if the allowance has room for it, and returns on what counts it decided. Each use that was taken needs one
// Settle or Release.
func (al *Allowance) Take(now time.Time, part Part) (use Use, taken bool) {
	use = al.use(now, part)
	if use.Used+1 > use.Allowed {
		al.Totals.Refused++
		return use, false
	}
	al.open++
	al.Totals.Taken++
	return use, true
}

// StillAllowed returns on what counts an open use that was taken some time ago may go ahead now, and whether it may: requests may
// have left the window since, or the part have shrunk, and uses that waited together would arrive together.
func (al *Allowance) StillAllowed(now time.Time, part Part) (use Use, allowed bool) {
	use = al.use(now, part)
	use.Used--
	return use, use.Used+1 <= use.Allowed
}

// Settle ends an open use that has certainly arrived by now, if it ever does.
func (al *Allowance) Settle(now time.Time) {
	al.open--
	al.slotOf(now).uses++
	al.Totals.Settled++
}

// Release ends an open use that certainly has not arrived and never will.
func (al *Allowance) Release() {
	al.open--
	al.Totals.Released++
}

// use returns the counts of the stretch up to now, no longer than a window, that leaves the least room. The requests for the uses of a
// stretch are those within half a window of its beginning. They are the same stretch at every instance: if each took the one in
// which it had most requests, the sum would exceed what all had in any.
func (al *Allowance) use(now time.Time, part Part) Use {
	al.advance(now)
	tightest := Use{Part: part, Allowed: math.Inf(1)}
	used := al.open
	for first := al.current; first >= al.current-slotsPerWindow; first-- {
		used += al.at(first).uses
		requests := al.requestsAround(first)
		allowed := usableShare * (al.rule.Ratio*requests + al.rule.Slack*part.Share)
		if allowed-used < tightest.Allowed-tightest.Used {
			tightest.Requests, tightest.Used, tightest.Allowed = requests, used, allowed
		}
	}
	return tightest
}

// requestsAround returns the requests that certainly were within half a window of any moment in the slot.
func (al *Allowance) requestsAround(number int64) float64 {
	requests := 0.0
	for near := number + 1 - slotsPerWindow/2; near < min(number+slotsPerWindow/2, al.current+1); near++ {
		requests += al.at(near).requests
	}
	return requests
}

// at returns the slot with the number, which must be one of those that are kept.
func (al *Allowance) at(number int64) *slot {
	return &al.slots[(number+int64(len(al.slots)))%int64(len(al.slots))]
}

// slotOf makes the slot of now the current one and returns it.
func (al *Allowance) slotOf(now time.Time) *slot {
	al.advance(now)
	return al.at(al.current)
}

// advance makes the slot of now the current one and clears those that are too old to be kept.
func (al *Allowance) advance(now time.Time) {
	if al.epoch.IsZero() {
		al.epoch = now
	}
	number := int64(now.Sub(al.epoch) / max(1, al.rule.Window/slotsPerWindow))
	for al.current < number {
		al.current = max(al.current+1, number-int64(len(al.slots)))
		*al.at(al.current) = slot{}
	}
}

package permit

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// waiting is a request in a pool's queue.
type waiting struct {
	event.PermitAsked
	since time.Time
	until time.Time
}

func (pl *pool) waits(request string) *waiting {
	for _, wt := range pl.queue {
		if wt.Request == request {
			return wt
		}
	}
	return nil
}

func (pl *pool) leaveQueue(request string) {
	pl.queue = slices.DeleteFunc(pl.queue, func(wt *waiting) bool { return wt.Request == request })
}

// rank is the class's priority, raised by one for each third of the whole wait that has passed.
func (wt *waiting) rank(now time.Time) int {
	total := wt.until.Sub(wt.since)
	if total <= 0 {
		return wt.Priority
	}
	return wt.Priority + int(3*now.Sub(wt.since)/total)
}

// impatient tells that nothing may overtake it any more.
func (wt *waiting) impatient(now time.Time) bool {
	return now.Sub(wt.since) > time.Duration(patience*float64(wt.until.Sub(wt.since)))
}

// serve grants what fits, in the order of rank, then to the organisation whose turn it is, then by age.
// A request gets all of its engines at once or none, so two that want several cannot wait for each other.
func (co *Coordinator) serve(pl *pool, engines []Engine) {
	pl.served = co.now
	if co.now.Before(pl.opens) {
		return
	}
	pl.queue = slices.DeleteFunc(pl.queue, func(wt *waiting) bool { return !co.now.Before(wt.until) || co.Gone(wt.Holder, wt.Incarnation) })
	for co.serveOne(pl, engines) {
	}
}

func (co *Coordinator) serveOne(pl *pool, engines []Engine) bool {
	if len(pl.queue) == 0 {
		return false
	}
	slices.SortStableFunc(pl.queue, func(one, two *waiting) int { return co.compare(pl, one, two) })
	rm := pl.room(engines)
	for _, wt := range pl.queue {
		names := rm.place(wt.Tokens)
		if names == nil && wt.impatient(co.now) {
			// Smaller requests would go on taking every piece of memory that comes free, and this one would never fit.
			return false
		}
		if names == nil {
			continue
		}
		pl.leaveQueue(wt.Request)
		pl.takeTurn(wt)
		rv := &Reservation{PermitAsked: wt.PermitAsked, Share: shareOf(wt.Tokens, len(names)), Until: co.now.Add(Lasts)}
		rv.Upstreams = names
		pl.reserve(rv)
		co.grant(rv)
		return true
	}
	return false
}

func (co *Coordinator) compare(pl *pool, one, two *waiting) int {
	if diff := two.rank(co.now) - one.rank(co.now); diff != 0 {
		return diff
	}
	if diff := cmp.Compare(pl.turn(one.Organisation), pl.turn(two.Organisation)); diff != 0 {
		return diff
	}
	return one.since.Compare(two.since)
}

// turn is the virtual time at which the organisation's next request is due. It moves on with the tokens granted, the
// more slowly the greater the organisation's weight; one that asked for nothing saves up nothing.
func (pl *pool) turn(organisation string) float64 {
	return max(pl.virtual, pl.turns[organisation])
}

func (pl *pool) takeTurn(wt *waiting) {
	due := pl.turn(wt.Organisation)
	pl.virtual = due
	pl.turns[wt.Organisation] = due + float64(wt.Tokens)/max(wt.Weight, minWeight)
	for organisation, turn := range pl.turns {
		if turn <= pl.virtual {
			delete(pl.turns, organisation)
		}
	}
}

// minWeight stands in for an absent weight.
const minWeight = 1e-3

// shareOf is what a request takes of each of its engines.
func shareOf(tokens int64, engines int) int64 {
	count := int64(max(1, engines))
	return (tokens + count - 1) / count
}

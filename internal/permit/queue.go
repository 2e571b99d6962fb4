package permit

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// waiter is a request in a pool's queue.
type waiter struct {
	event.PermitRequested
	// since is when the request began to wait.
	since time.Time
	// until is when the request stops waiting.
	until time.Time
}

func (pl *pool) findQueued(request string) *waiter {
	for _, wt := range pl.queue {
		if wt.Request == request {
			return wt
		}
	}
	return nil
}

func (pl *pool) dequeue(request string) {
	pl.queue = slices.DeleteFunc(pl.queue, func(wt *waiter) bool { return wt.Request == request })
}

// agedPriority returns the priority of the request's class, plus one for each third of its total wait that has passed.
func (wt *waiter) agedPriority(now time.Time) int {
	total := wt.until.Sub(wt.since)
	if total <= 0 {
		return wt.Priority
	}
	return wt.Priority + int(3*now.Sub(wt.since)/total)
}

// blocksQueue reports whether the request has waited so long that no later one may be granted before it.
func (wt *waiter) blocksQueue(now time.Time) bool {
	return now.Sub(wt.since) > time.Duration(overtakeShare*float64(wt.until.Sub(wt.since)))
}

// scanQueue grants the requests that fit, ordered by aged priority, then by the start tag of their organisation, then by
// age. A request gets all of its engines at once or none, so that two requests that need several engines cannot deadlock.
func (co *Coordinator) scanQueue(pl *pool, engines []Engine) {
	pl.scannedAt = co.now
	if co.now.Before(pl.grantFrom) {
		return
	}
	pl.queue = slices.DeleteFunc(pl.queue, func(wt *waiter) bool { return !co.now.Before(wt.until) || co.HolderGone(wt.Holder, wt.Incarnation) })
	for co.grantNext(pl, engines) {
	}
}

func (co *Coordinator) grantNext(pl *pool, engines []Engine) bool {
	if len(pl.queue) == 0 {
		return false
	}
	slices.SortStableFunc(pl.queue, func(a, b *waiter) int { return co.compare(pl, a, b) })
	fm := pl.freeMemory(engines)
	for _, wt := range pl.queue {
		names := fm.place(wt.Tokens)
		if names == nil && wt.blocksQueue(co.now) {
			// Otherwise smaller requests would take all memory that becomes free, and this one would never fit.
			return false
		}
		if names == nil {
			continue
		}
		pl.dequeue(wt.Request)
		pl.advanceTags(wt)
		rv := &Reservation{PermitRequested: wt.PermitRequested, Share: shareOf(wt.Tokens, len(names)), Until: co.now.Add(ReservationTTL)}
		rv.Upstreams = names
		pl.reserve(rv)
		co.grant(rv)
		return true
	}
	return false
}

func (co *Coordinator) compare(pl *pool, a, b *waiter) int {
	if diff := b.agedPriority(co.now) - a.agedPriority(co.now); diff != 0 {
		return diff
	}
	if diff := cmp.Compare(pl.startTag(a.Organisation), pl.startTag(b.Organisation)); diff != 0 {
		return diff
	}
	return a.since.Compare(b.since)
}

// startTag returns the virtual time at which the organisation's next request may start, as in start-time fair queueing. It
// advances with the tokens granted, more slowly for a larger weight. An organisation accumulates no credit while it
// requests nothing.
func (pl *pool) startTag(organisation string) float64 {
	return max(pl.virtualTime, pl.finishTags[organisation])
}

// advanceTags advances the virtual time and the finish tag of the organisation by a granted request. It deletes finish tags
// that have no effect any more.
func (pl *pool) advanceTags(wt *waiter) {
	start := pl.startTag(wt.Organisation)
	pl.virtualTime = start
	pl.finishTags[wt.Organisation] = start + float64(wt.Tokens)/max(wt.Weight, minWeight)
	for organisation, tag := range pl.finishTags {
		if tag <= pl.virtualTime {
			delete(pl.finishTags, organisation)
		}
	}
}

// minWeight replaces an absent weight, which is 0.
const minWeight = 1e-3

// shareOf returns the memory in tokens that a request takes on each of its engines, rounded up.
func shareOf(tokens int64, engines int) int64 {
	count := int64(max(1, engines))
	return (tokens + count - 1) / count
}

package steer

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// What a choice costs, in the worth of the answers that it would make late.

const (
	// safety is the part of the time to the first event that a request may wait for, gapSafety that of a pause: a pass is
	// known to a few ms, what is ahead of a new request is not.
	safety    = 0.8
	gapSafety = 0.93
	// lateShare is the part of an answer's worth that is lost if it is late.
	lateShare = 0.75
	// timeCost is the worth of a second of engine time that nobody waits for, which parts choices that make nothing late.
	timeCost = 0.3
	// backlogCost is what each second of reading that waits at the average engine adds to that, and slotCost what full
	// slots add. Under overload only what is worth more than what it displaces is sent; the rest waits for a lull, since
	// a long prompt takes engine time by the square of its length and is worth only in proportion to it.
	backlogCost = 3.0
	slotCost    = 4.0
	slotsFrom   = 0.8
	// longestBacklog bounds what one engine counts in the average, in seconds.
	longestBacklog = 4.0
	// spreadCost keeps a request that may not pause off engines that have none like it, which are thereby kept free for
	// long reads: without it short streams are on all engines, and each long read makes some of them late.
	spreadCost = 0.02
	// crowding parts equal choices by chance, so that instances that choose at the same moment, before they hear of each
	// other, do not all take the same engine.
	crowding = 0.1
	// farCost is the worth of staying in the own failure domain.
	farCost = 0.005
)

// prices are the worth of a second of engine time now: of reading, which grows with the reading that waits, and of a
// slot's share of writing, which grows with the slots taken. An engine that has much to read still writes beside it.
type prices struct{ read, slot float64 }

func (st *State) pricesOf(svc *service) prices {
	var used, slots float64
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) {
			used += float64(min(rep.running(), rep.Slots))
			slots += float64(rep.Slots)
		}
	}
	full := 0.0
	if slots > 0 {
		full = max(0, (used/slots-slotsFrom)/(1-slotsFrom))
	}
	scarce := timeCost + slotCost*full
	return prices{read: scarce + backlogCost*st.meanBacklog(svc), slot: scarce}
}

// meanBacklog is the reading that waits at the average engine, in seconds. What waits at the instances does not count: the
// longest prompts there would make engine time so dear that nothing was sent at all.
func (st *State) meanBacklog(svc *service) float64 {
	var total float64
	count := 0
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) {
			count++
			total += min(rep.backlog(st.now)/1000, longestBacklog)
		}
	}
	return total / float64(max(1, count))
}

// slotTime is the engine time in ms that the request's answer takes up: its part of the passes in which it is written.
func slotTime(eng *decl.Engine, req *request) float64 {
	return float64(req.Answer) * stepTime(eng, eng.Slots, 0) / float64(eng.Slots)
}

// lateness is the request's own worth lost if its answer begins in so many ms.
func (st *State) lateness(req *request, first float64) float64 {
	return lateness(req.value, ms(req.goal.Sub(st.now)), first)
}

// lateness is the worth lost of an answer that begins in so many ms where it has so many left; later is worse even among
// late ones, since callers give up.
func lateness(value, left, first float64) float64 {
	return lateShare * value * (risk(first, left) + min(1, max(0, first-left)/giveUp))
}

// risk is the chance that what is reckoned to take so many ms takes longer than is left. Measured over some thousand
// answers, the time to the first event was 1.1 times its estimate in the middle and 1.7 times in the worst tenth.
func risk(estimate, left float64) float64 {
	if estimate <= riskFrom*left {
		return 0
	}
	if estimate >= riskTo*left {
		return 1
	}
	return math.Pow((estimate/left-riskFrom)/(riskTo-riskFrom), riskPower)
}

const (
	// riskFrom and riskTo are the parts of the time left at which an estimate is safe and at which it is hopeless.
	riskFrom  = 0.4
	riskTo    = 1.3
	riskPower = 1.6
	// giveUp is how late in ms an answer is as good as none.
	giveUp = 5000
)

// harm is the worth that the callers of the streams lose that the replica writes if it reads so much more: a stream
// pauses while its engine reads.
func (st *State) harm(eng *decl.Engine, rep *replica, backlog, read float64) float64 {
	before := backlog + rep.pass(eng, 0)
	var lost float64
	for i := range rep.works {
		wk := &rep.works[i]
		gap := ms(wk.gap)
		if wk.first && wk.begun && gap > 0 && before+read > gapSafety*gap && before <= gapSafety*gap {
			lost += lateShare * wk.value
		}
	}
	return lost
}

// delay is the worth that the requests lose which the replica has not begun to answer if it reads a part for another one
// before them. Parts that keep coming would hold them back until their callers leave.
func (st *State) delay(rep *replica, before, read float64) float64 {
	var lost float64
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.first && !wk.begun {
			left := ms(wk.goal.Sub(st.now))
			lost += lateness(wk.value, left, before+read) - lateness(wk.value, left, before)
		}
	}
	return lost
}

// spread prices a stream that may not pause on an engine with few streams like it. It fills one engine after the other,
// so that the others stay free for long reads.
func spread(rep *replica, req *request) float64 {
	alike := 0
	for i := range rep.works {
		if wk := &rep.works[i]; wk.first && wk.gap > 0 && wk.gap <= req.gap {
			alike++
		}
	}
	room := max(0, 1-float64(alike)/(fullShare*float64(rep.Slots)))
	return room * spreadCost * float64(time.Second) / float64(max(req.gap, 100*time.Millisecond))
}

// fullShare is the part of its slots from which an engine counts as full of such streams. With more of them each pass is
// longer and has less time left to read in.
const fullShare = 0.25

package route

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The cost of sending a request to a replica is the estimated time to its first token, so that load, speed, cached
// prefixes and distance can be weighed against each other.
const (
	// farCost is how much later the first token may come in the own failure domain before another one is taken.
	farCost = 50 * time.Millisecond
	// behindShare is how much work that gives way still delays a request, since a batch is shared.
	behindShare = 0.05
	// batchCost is what a full batch adds, since decoding shares the steps with prefill.
	batchCost = 50 * time.Millisecond
	// plainCall is how long a call of a plain service is taken to last before one was seen.
	plainCall = 10 * time.Millisecond
)

// cost is in seconds.
func (rep *Replica) cost(now time.Time, want *Want, cached int64) float64 {
	var total float64
	if rep.Upstream.FailureDomain != rep.pool.st.FailureDomain {
		total += farCost.Seconds()
	}
	running := float64(rep.running(now))
	if rep.pool.service.Kind == decl.KindPlain {
		return total + running*max(plainCall, rep.pool.Attempt).Seconds()*max(1, rep.Slowdown)
	}
	before, behind := rep.ahead(now, want.Level)
	work := float64(before) + behindShare*float64(behind) + float64(max(0, want.Prompt-cached))
	total += work / rep.PrefillRate
	most := float64(rep.pool.service.MaxRunning)
	total += batchCost.Seconds() * running / most
	if over := running + 1 - most; over > 0 {
		total += rep.pool.Attempt.Seconds() * over / most
	}
	if memory := rep.memory(); memory > 0 {
		over := rep.used(now) + want.Tokens() - memory
		total += rep.pool.Attempt.Seconds() * float64(max(0, over)) / float64(memory)
	}
	return total
}

// Holding back of longer prompts.
const (
	// headroomStep is the part of memory and batch that each class of higher priority keeps free from one below it.
	headroomStep = 0.08
	maxHeadroom  = 0.3
	// maxBacklog is how much prefill may go before a longer prompt at a replica for it not to wait here instead.
	maxBacklog = 200 * time.Millisecond
)

// fits tells whether the replica may take the request now. An idle replica takes any that fits its memory. Prompts of
// the highest priority need only that: the engine takes them first. Others leave room for those above them, and wait
// here, in our order, while the engine has prefill to do that goes before theirs.
func (rep *Replica) fits(now time.Time, want *Want) bool {
	if rep.pool.service.Kind == decl.KindPlain {
		return true
	}
	running := rep.running(now)
	if running == 0 {
		return true
	}
	keep := 1 - min(headroomStep*float64(want.Above), maxHeadroom)
	if memory := rep.memory(); memory > 0 && float64(rep.used(now)+want.Tokens()) > keep*float64(memory) {
		return false
	}
	if want.Above == 0 {
		return true
	}
	if want.Above >= carefulAbove && want.Queued && !rep.claimed && rep.fresh(now) {
		return false
	}
	if float64(running+1) > max(1, keep*float64(rep.pool.service.MaxRunning)) {
		return false
	}
	before, _ := rep.ahead(now, want.Level)
	return float64(before) <= maxBacklog.Seconds()*rep.PrefillRate
}

// claimFactor is how many of the instances, on average, may send what has waited to a replica on one report of it.
const claimFactor = 1.5

// claim decides by chance whether this instance may send a longer prompt that has waited to the replica before its next
// report. Under overload every instance has such prompts waiting for the same replica to get room, and would send one
// on the report that shows it; the replica would then have many times the work it had room for, and most of them would
// end by their deadline there instead of waiting here.
func (rep *Replica) claim() {
	st := rep.pool.st
	rep.claimed = st.live == 1 || st.random.Float64() < claimFactor/float64(st.live)
}

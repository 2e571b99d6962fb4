package route

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The cost of sending a request to a replica is the estimated time to its first token, so that load, speed, cached
// prefixes and distance are comparable.
const (
	// crossDomainCost is added for a replica in another failure domain. A local replica is preferred as long as its first
	// token comes at most this much later.
	crossDomainCost = 50 * time.Millisecond
	// lowerPriorityShare is the share of the queued prefill of lower priority that still delays a request, since they share
	// a batch.
	lowerPriorityShare = 0.05
	// fullBatchCost is the delay that a full batch adds, since decoding and prefill share the engine's steps.
	fullBatchCost = 50 * time.Millisecond
	// minPlainCallTime is the minimum time that a call of a plain service is assumed to take, and the estimate before any
	// call was measured.
	minPlainCallTime = 10 * time.Millisecond
)

// cost estimates the cost of sending the request to the replica, in seconds. The replica holds the first cached tokens of
// the prompt.
func (rep *Replica) cost(now time.Time, pc *PickCriteria, cached int64) float64 {
	var total float64
	if rep.Upstream.FailureDomain != rep.pool.st.FailureDomain {
		total += crossDomainCost.Seconds()
	}
	running := float64(rep.estimatedRunning(now))
	if rep.pool.service.Kind == decl.KindPlain {
		return total + running*max(minPlainCallTime, rep.pool.AttemptTime).Seconds()*max(1, rep.Slowdown)
	}
	before, behind := rep.prefillAhead(now, pc.Level)
	work := float64(before) + lowerPriorityShare*float64(behind) + float64(max(0, pc.Prompt-cached))
	total += work / rep.PrefillRate
	maxRunning := float64(rep.pool.service.MaxRunning)
	total += fullBatchCost.Seconds() * running / maxRunning
	if over := running + 1 - maxRunning; over > 0 {
		total += rep.pool.AttemptTime.Seconds() * over / maxRunning
	}
	if memory := rep.memoryTokens(); memory > 0 {
		over := rep.estimatedTokens(now) + pc.Tokens() - memory
		total += rep.pool.AttemptTime.Seconds() * float64(max(0, over)) / float64(memory)
	}
	return total
}

// Headroom that longer prompts leave for classes of higher priority.
const (
	// headroomStep is the share of memory and batch that a request leaves free for each higher priority.
	headroomStep = 0.08
	// maxHeadroom is the maximum share that a request leaves free.
	maxHeadroom = 0.3
	// maxBacklog is the prefill time queued ahead of a longer prompt at a replica above which the prompt waits in this
	// instance's queue instead.
	maxBacklog = 200 * time.Millisecond
)

// hasRoom reports whether the replica may be sent the request now. An idle replica may be sent any request. Requests of the
// highest priority only need free memory, since the engine schedules them first. The others leave headroom for the classes
// above theirs, and a queued request of low priority also needs the allowance of drawSendAllowance. While the engine has
// prefill work queued ahead of them, they wait in this instance's queue, where its discipline orders them.
func (rep *Replica) hasRoom(now time.Time, pc *PickCriteria) bool {
	if rep.pool.service.Kind == decl.KindPlain {
		return true
	}
	running := rep.estimatedRunning(now)
	if running == 0 {
		return true
	}
	usable := 1 - min(headroomStep*float64(pc.HigherClasses), maxHeadroom)
	if memory := rep.memoryTokens(); memory > 0 && float64(rep.estimatedTokens(now)+pc.Tokens()) > usable*float64(memory) {
		return false
	}
	if pc.HigherClasses == 0 {
		return true
	}
	if pc.HigherClasses >= lowPriorityAbove && pc.Queued && !rep.sendAllowed && rep.reportFresh(now) {
		return false
	}
	if float64(running+1) > max(1, usable*float64(rep.pool.service.MaxRunning)) {
		return false
	}
	before, _ := rep.prefillAhead(now, pc.Level)
	return float64(before) <= maxBacklog.Seconds()*rep.PrefillRate
}

// sendersPerReport is the average number of instances that may send a longer queued prompt to a replica per load report.
const sendersPerReport = 1.5

// drawSendAllowance decides at random whether this instance may send a longer queued prompt to the replica before the
// replica's next report. Under overload all instances have such prompts queued. Without the draw, each of them would send
// one when a report shows room at the replica. The replica would then have many times the work that it had room for, and
// most of these prompts would reach their deadline there instead of waiting in the queue.
func (rep *Replica) drawSendAllowance() {
	st := rep.pool.st
	rep.sendAllowed = st.instances == 1 || st.random.Float64() < sendersPerReport/float64(st.instances)
}

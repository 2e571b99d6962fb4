package model

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// minTimeoutShare is the smallest share of its route's timeout that a caller allows; callers' timeouts vary by that much.
	minTimeoutShare = 0.85
	// reconnectDelay is the time in ms that a caller waits before a retry if its connection broke or the instance was down.
	reconnectDelay = 300.0
	// minEventWait is the minimum time in ms that a caller waits for the next event of a stream.
	minEventWait = 2000.0
	// eventWaitGoals is the number of the class's goals that a caller waits for an event, if that is longer.
	eventWaitGoals = 4
	// eventWaitGaps is the number of the class's gaps that a caller waits for an event, if that is longer.
	eventWaitGaps = 8
)

// call is what one caller asks for, over all requests that it sends for it.
type call struct {
	wd     *world
	class  *Class
	route  *decl.Route
	at     time.Time
	prompt int64
	answer int64
	events int
	worth  float64
	// timeout is the time in ms that the caller allows for the call, retries included.
	timeout float64
	digest  steer.Digest
	// requests is the number of requests that were sent so far.
	requests int
	// first is when the first event reached the caller.
	first time.Time
	// last is when the latest event reached the caller.
	last time.Time
	// pause is the longest time between two events.
	pause   time.Duration
	done    bool
	outcome outcome
}

// outcome is how a call ended.
type outcome int

const (
	outcomeOpen outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// sendRequest sends the caller's next request, to a randomly chosen instance.
func (cl *call) sendRequest() {
	if cl.done {
		return
	}
	left := cl.timeout - ms(cl.wd.now.Sub(cl.at))
	if left <= 1 {
		cl.finish(outcomeFailed)
		return
	}
	in := cl.wd.instances[cl.wd.random.IntN(len(cl.wd.instances))]
	if in == nil {
		cl.wd.after(reconnectDelay, cl.sendRequest)
		return
	}
	cl.requests++
	in.lastID++
	req := &request{call: cl, id: in.lastID}
	in.requests[req.id] = req
	now := cl.wd.now
	req.deadline = now.Add(millis(min(left, cl.class.Timeout)))
	leavesAt := req.deadline
	wait := max(minEventWait, eventWaitGoals*cl.class.Goal, eventWaitGaps*cl.class.Gap)
	if at := now.Add(millis(wait)); cl.route.Stream && at.Before(leavesAt) {
		leavesAt = at
	}
	in.reduce(steer.Arrived{
		ID: req.id, Route: cl.route, Name: cl.class.Name, Organisation: cl.class.Organisation, Priority: cl.class.Priority, Prompt: cl.prompt, Answer: cl.answer, Deadline: req.deadline,
		LeavesAt: leavesAt, StatedTimeout: millis(left), Digest: cl.digest,
	})
	cl.wd.after(ms(req.deadline.Sub(now)), func() { in.expire(req) })
	if cl.route.Stream {
		cl.watchEvents(in, req, now, wait)
	}
}

// watchEvents cancels the caller's request if no event arrives within wait ms after since, and otherwise checks again
// after the latest event.
func (cl *call) watchEvents(in *instance, req *request, since time.Time, wait float64) {
	left := wait - ms(cl.wd.now.Sub(since))
	cl.wd.after(left, func() {
		switch {
		case cl.done || req.done:
		case req.last.After(since):
			cl.watchEvents(in, req, req.last, wait)
		default:
			cl.finish(outcomeFailed)
			in.reduce(steer.CallerGone{ID: req.id})
		}
	})
}

// recordEvent records that an event reached the caller.
func (cl *call) recordEvent() {
	now := cl.wd.now
	if cl.first.IsZero() {
		cl.first = now
	} else {
		cl.pause = max(cl.pause, now.Sub(cl.last))
	}
	cl.last = now
}

// requestFinished handles the end of a request: the caller retries, or its call ends.
func (cl *call) requestFinished(req *request, fin steer.Finish) {
	req.done = true
	if cl.done {
		return
	}
	switch {
	case fin.Refusal != nil && fin.Refusal.NotRun && cl.requests == 1:
		cl.wd.result.Refusals++
		left := cl.timeout - ms(cl.wd.now.Sub(cl.at))
		cl.wd.after(max(1, min(ms(fin.Refusal.RetryAfter), left/3)), cl.sendRequest)
	case fin.Refusal != nil && fin.Refusal.NotRun:
		cl.wd.result.Again += cl.worth
		cl.finish(outcomeRefused)
	case fin.Refusal != nil || fin.DeliverFailure:
		if cl.requests == 1 && cl.route.Repeats != decl.RetryNone {
			cl.wd.after(1, cl.sendRequest)
			return
		}
		cl.finish(outcomeFailed)
	case cl.first.Sub(cl.at) > millis(cl.class.Goal) || cl.class.Gap > 0 && cl.pause > millis(cl.class.Gap):
		cl.finish(outcomeLate)
	default:
		cl.finish(outcomeInTime)
	}
}

// connectionLost handles the stop of the request's instance: the caller retries at another one, or its call fails.
func (cl *call) connectionLost(req *request) {
	req.done = true
	if cl.done {
		return
	}
	if cl.requests > 1 || cl.route.Repeats == decl.RetryNone {
		cl.finish(outcomeFailed)
		return
	}
	cl.wd.after(reconnectDelay, cl.sendRequest)
}

func (cl *call) finish(how outcome) {
	cl.done = true
	cl.outcome = how
	cl.wd.result.count(cl)
}

// newCall creates a call of the class that arrives now, with random timeout and lengths.
func (wd *world) newCall(index int) *call {
	cls := &wd.sc.Classes[index]
	cl := &call{wd: wd, class: cls, route: &wd.routing.Routes[index], at: wd.now, worth: cls.Worth}
	cl.timeout = cls.Timeout * (minTimeoutShare + (1-minTimeoutShare)*wd.arrivals.Float64())
	wd.calls++
	cl.digest = steer.Digest(wd.calls)
	if cls.MeanPrompt == 0 {
		return cl
	}
	cl.prompt = int64(min(cls.MaxPrompt, logNormal(cls.MeanPrompt, cls.Spread, wd.arrivals.NormFloat64())))
	cl.prompt = max(cl.prompt, 1)
	cl.events = max(1, int(math.Round(min(cls.MaxEvents, logNormal(cls.MeanEvents, cls.EventSpread, wd.arrivals.NormFloat64())))))
	cl.answer = int64(cl.events * wd.sc.Engine.Stride)
	cl.worth = cls.Worth * min(maxWorthFactor, fixedWorthShare+(1-fixedWorthShare)*float64(cl.prompt)/cls.MeanPrompt)
	return cl
}

// The worth of an answer relative to the mean of its class, as users value it.
const (
	// fixedWorthShare is the share of the worth that does not depend on the length of the prompt.
	fixedWorthShare = 0.3
	// maxWorthFactor limits the worth to this multiple of the class's worth.
	maxWorthFactor = 4.0
)

// logNormal turns a standard normal value into a log-normal one with the given mean. The spread is the standard deviation
// of its logarithm.
func logNormal(mean, spread, normal float64) float64 {
	return mean * math.Exp(spread*normal-spread*spread/2)
}

package model

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

const (
	// leastGiven is the part of its route's time that a caller says it has at the least; they differ so much.
	leastGiven = 0.85
	// redial is the wait in ms of a caller whose connection broke or found nobody, before it tries again.
	redial = 300.0
	// leastWait, waitGoals and waitGaps are how long callers wait for an event.
	leastWait = 2000.0
	waitGoals = 4
	waitGaps  = 8
)

// call is what one caller wants, over all its tries.
type call struct {
	wd     *world
	class  *Class
	route  *decl.Route
	at     time.Time
	prompt int64
	answer int64
	events int
	worth  float64
	// given is the time that the caller has, in ms.
	given  float64
	digest steer.Digest
	tries  int
	// first and last are when the first and the last event came, pause the longest between two.
	first, last time.Time
	pause       time.Duration
	over        bool
	ended       ending
}

// ending is how a call ended.
type ending int

const (
	endedOpen ending = iota
	endedInTime
	endedLate
	endedRefused
	endedFailed
)

// begin makes the caller's next try at an instance drawn by chance.
func (cl *call) begin() {
	if cl.over {
		return
	}
	left := cl.given - ms(cl.wd.now.Sub(cl.at))
	if left <= 1 {
		cl.end(endedFailed)
		return
	}
	in := cl.wd.instances[cl.wd.random.IntN(len(cl.wd.instances))]
	if in == nil {
		cl.wd.after(redial, cl.begin)
		return
	}
	cl.tries++
	in.next++
	tr := &try{call: cl, id: in.next}
	in.calls[tr.id] = tr
	now := cl.wd.now
	tr.until = now.Add(millis(min(left, cl.class.Timeout)))
	patience := tr.until
	wait := max(leastWait, waitGoals*cl.class.Goal, waitGaps*cl.class.Gap)
	if at := now.Add(millis(wait)); cl.route.Stream && at.Before(patience) {
		patience = at
	}
	in.reduce(steer.Arrived{
		ID: tr.id, Route: cl.route, Name: cl.class.Name, Prompt: cl.prompt, Answer: cl.answer, Deadline: tr.until,
		LeavesAt: patience, StatedTimeout: millis(left), Digest: cl.digest,
	})
	cl.wd.after(ms(tr.until.Sub(now)), func() { in.expire(tr) })
	if cl.route.Stream {
		cl.watch(in, tr, now, wait)
	}
}

// watch makes a caller leave that has had no event for so many ms since a moment.
func (cl *call) watch(in *instance, tr *try, since time.Time, wait float64) {
	left := wait - ms(cl.wd.now.Sub(since))
	cl.wd.after(left, func() {
		switch {
		case cl.over || tr.over:
		case tr.last.After(since):
			cl.watch(in, tr, tr.last, wait)
		default:
			cl.end(endedFailed)
			in.reduce(steer.CallerGone{ID: tr.id})
		}
	})
}

// event notes an event that reached the caller.
func (cl *call) event() {
	now := cl.wd.now
	if cl.first.IsZero() {
		cl.first = now
	} else {
		cl.pause = max(cl.pause, now.Sub(cl.last))
	}
	cl.last = now
}

// finished ends a try.
func (cl *call) finished(tr *try, fin steer.Finish) {
	tr.over = true
	if cl.over {
		return
	}
	switch {
	case fin.Refusal != nil && fin.Refusal.NotRun && cl.tries == 1:
		cl.wd.result.Refusals++
		left := cl.given - ms(cl.wd.now.Sub(cl.at))
		cl.wd.after(max(1, min(ms(fin.Refusal.RetryAfter), left/3)), cl.begin)
	case fin.Refusal != nil && fin.Refusal.NotRun:
		cl.wd.result.Again += cl.worth
		cl.end(endedRefused)
	case fin.Refusal != nil || fin.DeliverFailure:
		if cl.tries == 1 && cl.route.Repeats != decl.RepeatsNone {
			cl.wd.after(1, cl.begin)
			return
		}
		cl.end(endedFailed)
	case cl.first.Sub(cl.at) > millis(cl.class.Goal) || cl.class.Gap > 0 && cl.pause > millis(cl.class.Gap):
		cl.end(endedLate)
	default:
		cl.end(endedInTime)
	}
}

// broke ends a try whose instance died: its caller goes on elsewhere.
func (cl *call) broke(tr *try) {
	tr.over = true
	if cl.over {
		return
	}
	if cl.tries > 1 || cl.route.Repeats == decl.RepeatsNone {
		cl.end(endedFailed)
		return
	}
	cl.wd.after(redial, cl.begin)
}

func (cl *call) end(how ending) {
	cl.over = true
	cl.ended = how
	cl.wd.result.count(cl)
}

// draw makes the caller of a request that arrives now.
func (wd *world) draw(index int) *call {
	cls := &wd.sc.Classes[index]
	cl := &call{wd: wd, class: cls, route: &wd.routing.Routes[index], at: wd.now, worth: cls.Worth}
	cl.given = cls.Timeout * (leastGiven + (1-leastGiven)*wd.arrivals.Float64())
	wd.calls++
	cl.digest = steer.Digest(wd.calls)
	if cls.MeanPrompt == 0 {
		return cl
	}
	cl.prompt = int64(min(cls.MaxPrompt, logNormal(cls.MeanPrompt, cls.Spread, wd.arrivals.NormFloat64())))
	cl.prompt = max(cl.prompt, 1)
	cl.events = max(1, int(math.Round(min(cls.MaxEvents, logNormal(cls.MeanEvents, cls.EventSpread, wd.arrivals.NormFloat64())))))
	cl.answer = int64(cl.events * wd.sc.Engine.Stride)
	cl.worth = cls.Worth * min(mostTimes, fixedShare+(1-fixedShare)*float64(cl.prompt)/cls.MeanPrompt)
	return cl
}

// What a single answer is worth against the mean of its kind, as the users count it.
const (
	fixedShare = 0.3
	mostTimes  = 4.0
)

// logNormal draws with the mean and the spread of the logarithm from a standard normal draw.
func logNormal(mean, spread, normal float64) float64 {
	return mean * math.Exp(spread*normal-spread*spread/2)
}

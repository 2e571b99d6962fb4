package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
)

// Repeats. All instances together may send a share of the requests again, so that replicas that fail are not burdened by more and
// more. What counts is what arrives at the replicas beyond the first arrival of each request. Load pattern: replicas that fail many
// requests, while instances are killed, start and are cut off.

// defaultListLag is the time within which a change of the list of instances reaches an instance, unless Options says otherwise.
const defaultListLag = 2 * time.Second

// allowanceOf returns the allowance of repeats of the service.
func (st *State) allowanceOf(service string) *budget.Allowance {
	al, ok := st.allowances[service]
	if !ok {
		al = budget.NewAllowance(st.Options.Budget)
		st.allowances[service] = al
	}
	return al
}

// chargeRepeat charges the next attempt of a request to the budget if an earlier one may have arrived, and reports whether the
// budget allowed it. An attempt that was charged and not sent stays charged for the next one.
func (st *State) chargeRepeat(req *request) bool {
	if !req.arrived || req.charged {
		return true
	}
	use, taken := st.allowanceOf(req.service).Take(st.now, st.division.Part(st.now))
	req.charged = taken
	message := "repeat charged"
	if !taken {
		message = "repeat refused: budget used up"
	}
	st.emit(LogLine{Message: message, Request: req.Name, Attempt: req.attempt, Budget: &use})
	return taken
}

// mayGo reports whether the budget still allows an attempt that is about to be sent: repeats that waited together would arrive
// together.
func (st *State) mayGo(ev *Sending) bool {
	req, ok := st.requests[ev.ID]
	if !ok || !ev.Targets[0].Kind.IsAttempt() || !req.arrived {
		return true
	}
	use, allowed := st.allowanceOf(req.service).StillAllowed(st.now, st.division.Part(st.now))
	if allowed && req.charged {
		return true
	}
	req.overBudget = true
	st.emit(LogLine{Message: "repeat refused: budget used up while it waited", Request: req.Name, Attempt: req.attempt, Age: st.now.Sub(req.waitingSince), Budget: &use})
	return false
}

// recordArrival records that the attempt under way has certainly arrived by now, if it ever does. If another run was granted in its place, the
// charge is for that one.
func (st *State) recordArrival(req *request) {
	req.arrived = true
	if req.charged && !req.resumes {
		req.charged = false
		st.allowanceOf(req.service).Settle(st.now)
	}
}

// releaseCharge gives back what the request was charged for an attempt that was never sent.
func (st *State) releaseCharge(req *request) {
	if req.charged {
		req.charged = false
		st.allowanceOf(req.service).Release()
	}
}

// RepeatStatus returns this instance's part of the slack of the repeat budgets now, and what became of all repeats.
func (st *State) RepeatStatus(now time.Time) (part budget.Part, totals budget.Totals) {
	for _, al := range st.allowances {
		totals = totals.Add(al.Totals)
	}
	return st.division.Part(now), totals
}

package model

import (
	"cmp"
	"slices"
)

// windowSeconds is the length in seconds of the windows of which the two worst have a weight of their own in the mark.
const windowSeconds = 2.0

// Parts of the mark, as users weigh them.
const (
	// wholeWeight is the weight of Result.Whole.
	wholeWeight = 0.6
	// windowWeight is the weight of Result.Windows.
	windowWeight = 0.25
	// classWeight is the weight of Result.Class.
	classWeight = 0.15
	// secondRefusalCost is what the mark loses if all worth is refused a second time.
	secondRefusalCost = 0.3
	// minClassRequests is the minimum number of requests of a class that counts as the worst class.
	minClassRequests = 5
)

// Result is the score of one run. All shares are of the offered worth.
type Result struct {
	Classes []ClassResult
	// Whole is the share that was earned over the whole run.
	Whole float64
	// Windows is the mean share that was earned in the two worst windows.
	Windows float64
	// Class is the share that the worst class earned.
	Class float64
	// Mark is the weighted sum of Whole, Windows and Class less the cost of refusing callers that already retried.
	Mark float64
	// Refusals is the number of refused first requests.
	Refusals int
	// Again is the worth of the calls that were refused a second time.
	Again float64

	windows []worthSum
}

// ClassResult is the score of one class.
type ClassResult struct {
	Name                               string
	Asked, InTime, Late, Refused, Fail int
	// Paused is the number of late answers that began in time and then paused for too long.
	Paused int
	// Worth is the share of the offered worth that was earned.
	Worth float64
	// P50 is the median time to the first event in ms.
	P50 float64
	// P90 is the 90th percentile of the time to the first event in ms.
	P90 float64
	// SmallestTenth is the share of the calls with the shortest prompts that were answered, of a tenth of all calls.
	SmallestTenth float64
	// LargestTenth is the share of the calls with the longest prompts that were answered, of a tenth of all calls.
	LargestTenth float64

	worthSum
	// sizes holds the length of each prompt and whether the call was answered.
	sizes  []sizedOutcome
	firsts []float64
}

// worthSum is the worth of some calls and how much of it was earned.
type worthSum struct{ offered, earned float64 }

func (ws *worthSum) share() float64 {
	if ws.offered == 0 {
		return 1
	}
	return ws.earned / ws.offered
}

// sizedOutcome is the outcome of a call.
type sizedOutcome struct {
	// prompt is the length of the prompt in tokens.
	prompt int64
	// answered reports whether the call was answered, in time or late.
	answered bool
}

// tenths returns the share of the calls that were answered, of the tenth with the shortest prompts and of that with the longest.
func tenths(sizes []sizedOutcome) (smallest, largest float64) {
	sorted := slices.SortedStableFunc(slices.Values(sizes), func(a, b sizedOutcome) int { return cmp.Compare(a.prompt, b.prompt) })
	count := (len(sorted) + 9) / 10
	return answeredShare(sorted[:count]), answeredShare(sorted[len(sorted)-count:])
}

// answeredShare returns the share of the calls that were answered, 1 if there are none.
func answeredShare(sizes []sizedOutcome) float64 {
	if len(sizes) == 0 {
		return 1
	}
	answered := 0.0
	for _, so := range sizes {
		if so.answered {
			answered++
		}
	}
	return answered / float64(len(sizes))
}

func newResult(sc *Scenario) *Result {
	res := &Result{windows: make([]worthSum, int(sc.Seconds/windowSeconds)+1)}
	for i := range sc.Classes {
		res.Classes = append(res.Classes, ClassResult{Name: sc.Classes[i].Name})
	}
	return res
}

// count adds the outcome of a call.
func (res *Result) count(cl *call) {
	at := slices.IndexFunc(res.Classes, func(cr ClassResult) bool { return cr.Name == cl.class.Name })
	cr := &res.Classes[at]
	earned := 0.0
	cr.Asked++
	switch cl.outcome {
	case outcomeInTime:
		cr.InTime++
		earned = cl.worth
	case outcomeLate:
		cr.Late++
		if cl.first.Sub(cl.at) <= millis(cl.class.Goal) {
			cr.Paused++
		}
		earned = cl.worth * cl.class.LateWorth / cl.class.Worth
	case outcomeRefused:
		cr.Refused++
	default:
		cr.Fail++
	}
	if !cl.first.IsZero() {
		cr.firsts = append(cr.firsts, ms(cl.first.Sub(cl.at)))
	}
	cr.sizes = append(cr.sizes, sizedOutcome{cl.prompt, cl.outcome == outcomeInTime || cl.outcome == outcomeLate})
	win := &res.windows[int(cl.at.Sub(epoch).Seconds()/windowSeconds)]
	for _, ws := range []*worthSum{&cr.worthSum, win} {
		ws.offered += cl.worth
		ws.earned += earned
	}
}

// computeTotals computes the shares, quantiles and the mark after the run.
func (res *Result) computeTotals() {
	var whole worthSum
	res.Class = 1
	for i := range res.Classes {
		cr := &res.Classes[i]
		whole.offered += cr.offered
		whole.earned += cr.earned
		cr.Worth = round3(cr.share())
		cr.P50, cr.P90 = quantile(cr.firsts, 0.5), quantile(cr.firsts, 0.9)
		cr.SmallestTenth, cr.LargestTenth = tenths(cr.sizes)
		if cr.Asked >= minClassRequests {
			res.Class = min(res.Class, cr.share())
		}
	}
	res.Whole = whole.share()
	worst := slices.DeleteFunc(slices.Clone(res.windows), func(ws worthSum) bool { return ws.offered == 0 })
	slices.SortFunc(worst, func(a, b worthSum) int { return cmp.Compare(a.share(), b.share()) })
	res.Windows = 1
	if len(worst) > 1 {
		res.Windows = (worst[0].share() + worst[1].share()) / 2
	}
	res.Mark = wholeWeight*res.Whole + windowWeight*res.Windows + classWeight*res.Class
	if whole.offered > 0 {
		res.Mark -= secondRefusalCost * res.Again / whole.offered
	}
}

func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return round3(sorted[int(share*float64(len(sorted)-1))])
}

package model

import (
	"cmp"
	"slices"
)

// window is the span in seconds of which the worst count by themselves.
const window = 2.0

// The parts of the mark, as the users weigh them, and what a refusal costs of a caller that came back.
const (
	wholeWeight  = 0.6
	windowWeight = 0.25
	classWeight  = 0.15
	againPrice   = 0.3
	leastOfClass = 5
)

// Result is what one run earned.
type Result struct {
	Classes []ClassResult
	// Whole is the worth earned of the worth owed, Windows the same over the two worst windows, Class that of the worst
	// class; Mark weighs them and takes off what refusals of callers cost that had come back.
	Whole, Windows, Class, Mark float64
	// Refusals counts refused first tries, Again is the worth refused a second time.
	Refusals int
	Again    float64

	windows []earning
}

// ClassResult is what one class earned.
type ClassResult struct {
	Name                               string
	Asked, InTime, Late, Refused, Fail int
	// Paused counts the late ones whose answer began in time.
	Paused int
	// Worth is the worth earned of the worth owed; P50 and P90 are of the time to the first event in ms.
	Worth, P50, P90 float64

	earning
	firsts []float64
}

type earning struct{ owed, earned float64 }

func (er *earning) share() float64 {
	if er.owed == 0 {
		return 1
	}
	return er.earned / er.owed
}

func newResult(sc *Scenario) *Result {
	res := &Result{windows: make([]earning, int(sc.Seconds/window)+1)}
	for i := range sc.Classes {
		res.Classes = append(res.Classes, ClassResult{Name: sc.Classes[i].Name})
	}
	return res
}

// count takes the end of a call.
func (res *Result) count(cl *call) {
	at := slices.IndexFunc(res.Classes, func(cr ClassResult) bool { return cr.Name == cl.class.Name })
	cr := &res.Classes[at]
	earned := 0.0
	cr.Asked++
	switch cl.ended {
	case endedInTime:
		cr.InTime++
		earned = cl.worth
	case endedLate:
		cr.Late++
		if cl.first.Sub(cl.at) <= millis(cl.class.Goal) {
			cr.Paused++
		}
		earned = cl.worth * cl.class.LateWorth / cl.class.Worth
	case endedRefused:
		cr.Refused++
	default:
		cr.Fail++
	}
	if !cl.first.IsZero() {
		cr.firsts = append(cr.firsts, ms(cl.first.Sub(cl.at)))
	}
	win := &res.windows[int(cl.at.Sub(epoch).Seconds()/window)]
	for _, er := range []*earning{&cr.earning, win} {
		er.owed += cl.worth
		er.earned += earned
	}
}

// finish reckons the figures.
func (res *Result) finish() {
	var whole earning
	res.Class = 1
	for i := range res.Classes {
		cr := &res.Classes[i]
		whole.owed += cr.owed
		whole.earned += cr.earned
		cr.Worth = round3(cr.share())
		cr.P50, cr.P90 = quantile(cr.firsts, 0.5), quantile(cr.firsts, 0.9)
		if cr.Asked >= leastOfClass {
			res.Class = min(res.Class, cr.share())
		}
	}
	res.Whole = whole.share()
	worst := slices.DeleteFunc(slices.Clone(res.windows), func(er earning) bool { return er.owed == 0 })
	slices.SortFunc(worst, func(one, two earning) int { return cmp.Compare(one.share(), two.share()) })
	res.Windows = 1
	if len(worst) > 1 {
		res.Windows = (worst[0].share() + worst[1].share()) / 2
	}
	res.Mark = wholeWeight*res.Whole + windowWeight*res.Windows + classWeight*res.Class
	if whole.owed > 0 {
		res.Mark -= againPrice * res.Again / whole.owed
	}
}

func quantile(figures []float64, share float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(figures))
	return round3(sorted[int(share*float64(len(sorted)-1))])
}

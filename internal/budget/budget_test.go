package budget_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/clock/steps"
)

var fleetRule = budget.Rule{Ratio: 0.2, Slack: 100, Window: window}

// member returns the division of an instance that has been listed with the others for long.
func member(others ...string) *budget.Division {
	dv := &budget.Division{Window: window, Lag: lag}
	dv.Confirm(start.Add(-time.Minute), 0)
	dv.ListRead(start.Add(-time.Minute), others, true)
	for at := start.Add(-time.Minute); !at.After(start); at = at.Add(time.Second) {
		dv.Confirm(at, 0)
	}
	return dv
}

// names returns the names of so many other instances.
func names(count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprintf("other-%d", i))
	}
	return list
}

// takeAll takes and settles uses until the allowance refuses, and returns their number.
func takeAll(al *budget.Allowance, now time.Time, part budget.Part) int {
	for count := 0; ; count++ {
		if _, taken := al.Take(now, part); !taken {
			return count
		}
		al.Settle(now)
	}
}

func TestStepOfTheClockForgetsNothing(t *testing.T) {
	// The time of day jumps ahead, back and ahead again just after the allowance was used up. What was used stays in the window until
	// that has passed by the monotonic clock.
	al, part := budget.NewAllowance(fleetRule), budget.Part{Share: 0.2}
	assert.Equal(t, takeAll(al, start, part), 18)
	for _, step := range []int{11, -30, 60, 3600} {
		assert.Equal(t, takeAll(al, steps.Stepped(start.Add(time.Second), step), part), 0, "clock stepped by %d s", step)
	}
	assert.Equal(t, takeAll(al, steps.Stepped(start.Add(window+time.Second), -30), part), 18)
}

func TestWholeBudgetIsUsableAfterAWindow(t *testing.T) {
	// Six instances that have run for a window use nine tenths of the budget together, but for fractions: a seventh of the slack is in
	// reserve for an instance of which they do not know.
	dv := member(names(5)...)
	al := budget.NewAllowance(fleetRule)
	used := 0
	for at := time.Duration(0); at < 3*window; at += 100 * time.Millisecond {
		now := start.Add(at)
		dv.Confirm(now, 0)
		al.CountRequest(now)
		if at >= 2*window {
			used += takeAll(al, now, dv.Part(now))
		}
	}
	assert.Equal(t, used, 30) // 0.9 of (0.2 of 100 requests, and 100/7)
}

func TestNewProcessHasNoPartOfTheSlack(t *testing.T) {
	// An instance is killed and starts again, under its name or another one. Its part is none until what the former process can have used
	// is out of the window, and all others count the new name.
	dv := &budget.Division{Window: window, Lag: lag}
	assert.DeepEqual(t, dv.Part(start), budget.Part{Instances: 2, Reason: budget.ReasonUnlisted})
	dv.ListRead(start, names(5), false)
	dv.Confirm(start, 0)
	assert.Equal(t, dv.Part(start).Reason, budget.ReasonUnlisted)
	dv.ListRead(start.Add(time.Second), names(5), true)
	for at := time.Second; at < window+lag+time.Second; at += 100 * time.Millisecond {
		dv.Confirm(start.Add(at), 0)
		assert.DeepEqual(t, dv.Part(start.Add(at)), budget.Part{Instances: 7, Reason: budget.ReasonNew})
	}
	now := start.Add(window + lag + time.Second)
	dv.Confirm(now, 0)
	assert.DeepEqual(t, dv.Part(now), budget.Part{Share: 1.0 / 7, Instances: 7})
}

func TestNewProcessWaitsForRequestsOfItsOwn(t *testing.T) {
	// The former process may have used the whole ratio of its last requests just before it was killed. The requests that the new one
	// gets allow nothing in the windows that contain both.
	al := budget.NewAllowance(budget.Rule{Ratio: 0.2, Window: window})
	for at := time.Duration(0); at < window/2; at += 10 * time.Millisecond {
		al.CountRequest(start.Add(at))
		_, taken := al.Take(start.Add(at), budget.Part{})
		assert.Assert(t, !taken, at)
	}
}

func TestPartShrinksAtOnceAndGrowsLate(t *testing.T) {
	// Entries expire while their instances live. The others must not take over their parts before those have stopped using them, and must
	// divide by new instances at once.
	dv := member(names(5)...)
	assert.Equal(t, dv.Part(start).Instances, 7)
	dv.ListRead(start, names(9), true)
	assert.Equal(t, dv.Part(start).Instances, 11)
	dv.ListRead(start, nil, true)
	held := 30*time.Second + window + lag
	for at := time.Duration(0); at <= held; at += time.Second {
		dv.Confirm(start.Add(at), 0)
		assert.Equal(t, dv.Part(start.Add(at)).Instances, 11, at)
	}
	dv.Confirm(start.Add(held+time.Second), 0)
	assert.Equal(t, dv.Part(start.Add(held+time.Second)).Instances, 2)
}

func TestInstanceThatIsCutOffStopsUsingItsPart(t *testing.T) {
	// An instance hears nothing of the list any more, or its own entry is gone from it. It leaves half of its part to new instances when its
	// list is old, and all of it before the others divide without it. Back in touch, it starts like a new one.
	full := 1.0 / 7
	cases := map[string]struct {
		after  time.Duration
		listed bool
		fresh  bool
		part   budget.Part
	}{
		"short silence":       {lag, true, false, budget.Part{Share: full, Instances: 7}},
		"old list":            {lag + time.Second, true, false, budget.Part{Share: full / 2, Instances: 7, Reason: budget.ReasonOldList}},
		"no list":             {31 * time.Second, true, false, budget.Part{Instances: 7, Reason: budget.ReasonNoList}},
		"entry gone":          {29 * time.Second, false, true, budget.Part{Share: full, Instances: 7}},
		"entry gone for long": {31 * time.Second, false, true, budget.Part{Instances: 7, Reason: budget.ReasonUnlisted}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			dv := member(names(5)...)
			now := start.Add(tc.after)
			if tc.fresh {
				dv.ListRead(start, names(5), tc.listed)
				for at := time.Duration(0); at <= tc.after; at += time.Second {
					dv.Confirm(start.Add(at), 0)
				}
			}
			assert.DeepEqual(t, dv.Part(now), tc.part)
			if tc.part.Share == 0 {
				dv.ListRead(now, names(5), true)
				dv.Confirm(now, 0)
				assert.Equal(t, dv.Part(now).Reason, budget.ReasonNew)
			}
		})
	}
}

func TestUsesThatWaitedAreCheckedAgain(t *testing.T) {
	// Uses are decided and wait. A new instance joins meanwhile, or requests leave the window: those that are more than what is allowed now
	// must not go ahead with the others.
	al := budget.NewAllowance(fleetRule)
	for range 18 {
		_, taken := al.Take(start, budget.Part{Share: 0.2})
		assert.Assert(t, taken)
	}
	sent := 0
	for range 18 {
		if _, allowed := al.StillAllowed(start.Add(6*time.Second), budget.Part{Share: 0.1}); !allowed {
			al.Release()
			continue
		}
		sent++
		al.Settle(start.Add(6 * time.Second))
	}
	assert.Equal(t, sent, 9)
	assert.DeepEqual(t, al.Totals, budget.Totals{Taken: 18, Settled: 9, Released: 9})
}

func TestOpenUsesCountUntilTheyHaveArrived(t *testing.T) {
	// A use is decided, and arrives eight seconds later. It counts for a window from then on.
	al, part := budget.NewAllowance(budget.Rule{Slack: 1 / 0.9, Window: window}), budget.Part{Share: 1}
	_, taken := al.Take(start, part)
	assert.Assert(t, taken)
	al.Settle(start.Add(8 * time.Second))
	assert.Equal(t, takeAll(al, start.Add(17*time.Second), part), 0)
	assert.Equal(t, takeAll(al, start.Add(19*time.Second), part), 1)
}

package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// group is some instances that share the limits of one organisation, the first one sharing them out.
type group struct {
	instances []*admit.State
	org       decl.Organisation
	random    *rand.Rand
	now       time.Time
	// telling is false while the instances cannot hear each other.
	telling bool
	admits  int
	refused int
}

func newGroup(count int, limits decl.Limits) *group {
	gr := &group{org: decl.Organisation{Limits: limits}, random: rand.New(rand.NewPCG(1, 1)), now: start, telling: true}
	for range count {
		st := admit.New()
		st.Instances = count
		gr.instances = append(gr.instances, st)
	}
	return gr
}

// run offers requests at the rate for the time, each to the instance that choose names.
func (gr *group) run(rate float64, period time.Duration, choose func() int) {
	gr.admits, gr.refused = 0, 0
	end := gr.now.Add(period)
	nextTell := gr.now
	for gr.now.Before(end) {
		gr.now = gr.now.Add(time.Duration(gr.random.ExpFloat64() / rate * float64(time.Second)))
		for gr.telling && !gr.now.Before(nextTell) {
			nextTell = nextTell.Add(gr.instances[0].TellPeriod())
			gr.tell()
		}
		st := gr.instances[choose()]
		if st.Admit(gr.now, "parish", gr.org, 100) != nil {
			gr.refused++
			continue
		}
		gr.admits++
		st.Release("parish", 100)
	}
}

func (gr *group) tell() {
	for i, st := range gr.instances {
		demands := st.Demands(gr.now, map[string]decl.Organisation{"parish": gr.org})
		st.TakeShares(gr.now, gr.instances[0].ShareOut(gr.now, fmt.Sprint(i), demands))
	}
}

func TestLimitsFollowTheTraffic(t *testing.T) {
	// An organisation is allowed 90 requests a second over nine instances, and the balancer spreads them, or sends all
	// to one or two. What it is allowed passes in each case, and what goes beyond does not.
	cases := map[string]struct {
		limit   float64
		rate    float64
		among   int
		telling bool
		least   float64
		most    float64
	}{
		"within, spread":                         {90, 72, 9, true, 68, 74},
		"small limit, spread":                    {9, 7.2, 9, true, 6.6, 7.6},
		"small limit, ten times too many":        {9, 90, 9, true, 8.4, 9.6},
		"within, at one instance":                {90, 72, 1, true, 65, 74},
		"within, at two instances":               {90, 72, 2, true, 65, 74},
		"ten times too many, spread":             {90, 900, 9, true, 85, 95},
		"ten times too many, at one":             {90, 900, 1, true, 70, 95},
		"ten times too many, peers not heard":    {90, 900, 9, false, 85, 95},
		"at one instance, peers not heard":       {90, 72, 1, false, 9, 12},
		"spread, peers not heard, within limits": {90, 72, 9, false, 68, 74},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gr := newGroup(9, decl.Limits{RequestsPerSecond: tc.limit})
			gr.telling = tc.telling
			choose := func() int { return gr.random.IntN(tc.among) }
			gr.run(tc.rate, 10*time.Second, choose)
			gr.run(tc.rate, 60*time.Second, choose)
			rate := float64(gr.admits) / 60
			t.Logf("%.1f a second admitted, %.1f refused", rate, float64(gr.refused)/60)
			assert.Assert(t, rate >= tc.least && rate <= tc.most, "%.1f a second admitted", rate)
		})
	}
}

func TestTrafficThatMovesIsFollowed(t *testing.T) {
	// All of an organisation's requests come to one instance, which then is replaced; the balancer sends them to
	// another. Within a few seconds that one has the share.
	gr := newGroup(9, decl.Limits{RequestsPerSecond: 90})
	gr.run(72, 20*time.Second, func() int { return 3 })
	gr.run(72, 5*time.Second, func() int { return 7 })
	gr.run(72, 10*time.Second, func() int { return 7 })
	assert.Assert(t, gr.refused < 72*10/20, "%d of %d refused", gr.refused, gr.refused+gr.admits)
}

func TestSharesAddUp(t *testing.T) {
	st := admit.New()
	st.Instances = 4
	total := float32(0)
	for round := range 2 {
		total = 0
		for i, part := range []float32{0.7, 0.2, 0, 0.1} {
			shares := st.ShareOut(start.Add(time.Duration(round)*time.Second), fmt.Sprint(i), []event.Demand{{Organisation: "parish", Part: part}})
			total += shares[0].Part
		}
	}
	assert.Assert(t, total > 0.999 && total < 1.001, "%g", total)
}

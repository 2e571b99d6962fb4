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

// instanceGroup is a group of instances that share the limits of one organisation. The first one divides them.
type instanceGroup struct {
	instances []*admit.State
	org       decl.Organisation
	random    *rand.Rand
	now       time.Time
	// connected is false while the instances cannot exchange messages.
	connected bool
	admitted  int
	refused   int
}

func newInstanceGroup(count int, limits decl.Limits) *instanceGroup {
	gr := &instanceGroup{org: decl.Organisation{Limits: limits}, random: rand.New(rand.NewPCG(1, 1)), now: start, connected: true}
	for range count {
		st := admit.New()
		st.Instances = count
		gr.instances = append(gr.instances, st)
	}
	return gr
}

// run offers requests at the rate per second for the period, each to the instance whose index choose returns.
func (gr *instanceGroup) run(rate float64, period time.Duration, choose func() int) {
	gr.admitted, gr.refused = 0, 0
	end := gr.now.Add(period)
	nextExchange := gr.now
	for gr.now.Before(end) {
		gr.now = gr.now.Add(time.Duration(gr.random.ExpFloat64() / rate * float64(time.Second)))
		for gr.connected && !gr.now.Before(nextExchange) {
			nextExchange = nextExchange.Add(gr.instances[0].DemandPeriod())
			gr.exchangeDemands()
		}
		st := gr.instances[choose()]
		if st.Admit(gr.now, "parish", gr.org, 100) != nil {
			gr.refused++
			continue
		}
		gr.admitted++
		st.Release("parish", 100)
	}
}

// exchangeDemands reports the demands of all instances to the first one and applies the shares that it returns.
func (gr *instanceGroup) exchangeDemands() {
	for i, st := range gr.instances {
		demands := st.Demands(gr.now, map[string]decl.Organisation{"parish": gr.org})
		st.ApplyShares(gr.now, gr.instances[0].AllocateShares(gr.now, fmt.Sprint(i), demands))
	}
}

func TestSharesFollowDemand(t *testing.T) {
	// An organisation has a limit for the fleet of nine instances, and the load balancer spreads its requests over all of
	// them or sends them to one or two. With equal shares, an organisation within its limit would be refused in the second
	// case. The limit is admitted in each case, and no more. Without messages between instances the shares stay equal.
	cases := map[string]struct {
		limit     float64
		rate      float64
		targets   int
		connected bool
		minRate   float64
		maxRate   float64
	}{
		"within the limit, all instances":               {90, 72, 9, true, 68, 74},
		"within a small limit, all instances":           {9, 7.2, 9, true, 6.6, 7.6},
		"ten times a small limit, all instances":        {9, 90, 9, true, 8.4, 9.6},
		"within the limit, one instance":                {90, 72, 1, true, 65, 74},
		"within the limit, two instances":               {90, 72, 2, true, 65, 74},
		"ten times the limit, all instances":            {90, 900, 9, true, 85, 95},
		"ten times the limit, one instance":             {90, 900, 1, true, 70, 95},
		"ten times the limit, all instances, no shares": {90, 900, 9, false, 85, 95},
		"within the limit, one instance, no shares":     {90, 72, 1, false, 9, 12},
		"within the limit, all instances, no shares":    {90, 72, 9, false, 68, 74},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			gr := newInstanceGroup(9, decl.Limits{RequestsPerSecond: tc.limit})
			gr.connected = tc.connected
			choose := func() int { return gr.random.IntN(tc.targets) }
			gr.run(tc.rate, 10*time.Second, choose)
			gr.run(tc.rate, 60*time.Second, choose)
			rate := float64(gr.admitted) / 60
			t.Logf("%.1f a second admitted, %.1f refused", rate, float64(gr.refused)/60)
			assert.Assert(t, rate >= tc.minRate && rate <= tc.maxRate, "%.1f a second admitted", rate)
		})
	}
}

func TestSharesFollowMovedTraffic(t *testing.T) {
	// All requests of an organisation reach one instance until the load balancer sends them to another one, as when an
	// instance is replaced. If the shares did not follow, the second instance would go on refusing most of them. It has the
	// larger share within a few seconds.
	gr := newInstanceGroup(9, decl.Limits{RequestsPerSecond: 90})
	gr.run(72, 20*time.Second, func() int { return 3 })
	gr.run(72, 5*time.Second, func() int { return 7 })
	gr.run(72, 10*time.Second, func() int { return 7 })
	assert.Assert(t, gr.refused < 72*10/20, "%d of %d refused", gr.refused, gr.refused+gr.admitted)
}

func TestSharesSumToOne(t *testing.T) {
	st := admit.New()
	st.Instances = 4
	total := float32(0)
	for round := range 2 {
		total = 0
		for i, fraction := range []float32{0.7, 0.2, 0, 0.1} {
			shares := st.AllocateShares(start.Add(time.Duration(round)*time.Second), fmt.Sprint(i), []event.Demand{{Organisation: "parish", Fraction: fraction}})
			total += shares[0].Fraction
		}
	}
	assert.Assert(t, total > 0.999 && total < 1.001, "%g", total)
}

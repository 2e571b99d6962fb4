package relay

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"

	"github.com/rcrowley/go-metrics"
)

// limitPrefix is the name prefix of the gauges of the rate limits in force.
const limitPrefix = "Limits."

// updateLimitMetrics replaces the gauges of the rate limits in force: for each limit its rate, the recent sends of all
// instances that are known here, and the sends of this Instance.
func (in *Instance) updateLimitMetrics() {
	var limits []steer.LimitStatus
	in.view(func(st *steer.State) { limits = st.Limits(time.Now()) })
	in.unregister(limitPrefix)
	in.gauge(limitPrefix+"InForce", int64(len(limits)))
	for _, limit := range limits {
		metrics.GetOrRegisterGaugeFloat64(limitPrefix+"PerS."+limit.Replica, in.registry).Update(limit.PerS)
		in.gauge(limitPrefix+"Recent."+limit.Replica, int64(limit.Recent))
		in.gauge(limitPrefix+"Used."+limit.Replica, limit.Used)
	}
}

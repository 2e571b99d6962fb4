package relay

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// answered tells the reducer what a replica's answer says of its rate limit; sent is when the request left.
func (in *Instance) answered(replica steer.Replica, sent time.Time, reply Reply) {
	in.apply(steer.Answered{Replica: replica.Name, Born: replica.Born, Sent: sent, Limited: reply.Limited, PerS: reply.Limit})
}

// limitPrefix begins the names of the gauges of rate limits in force.
const limitPrefix = "Limits."

// limitMetrics shows the rate limits in force: the limit, what all instances sent under it that is known here, and what this
// one sent.
func (in *Instance) limitMetrics() {
	in.mu.Lock()
	limits := in.state.Limits(time.Now())
	in.mu.Unlock()
	in.registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, limitPrefix) {
			in.registry.Unregister(name)
		}
	})
	in.gauge(limitPrefix+"InForce", int64(len(limits)))
	for _, limit := range limits {
		metrics.GetOrRegisterGaugeFloat64(limitPrefix+"PerS."+limit.Replica, in.registry).Update(limit.PerS)
		in.gauge(limitPrefix+"Recent."+limit.Replica, int64(limit.Recent))
		in.gauge(limitPrefix+"Used."+limit.Replica, limit.Used)
	}
}

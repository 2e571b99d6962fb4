package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/meter"
)

// callerFaults are the reasons for refusals that do not count against a service-level objective, because the service did not
// owe these requests an answer.
var callerFaults = map[effect.Reason]bool{
	effect.ReasonLimit:         true,
	effect.ReasonPromptTooLong: true,
	effect.ReasonUnknownModel:  true,
	effect.ReasonQuarantine:    true,
	effect.ReasonKeyReused:     true,
	effect.ReasonKeyRunning:    true,
}

// plainClass is used in metric names in place of the length class for requests to plain services.
const plainClass = "Plain"

// observe records the metrics of a finished request. Requests whose caller disconnected are not counted.
func (in *Instance) observe(cl *call, eff effect.Finish) {
	if cl.req.Context().Err() != nil && eff.Refusal == nil {
		return
	}
	if eff.Refusal != nil && callerFaults[eff.Refusal.Reason] {
		return
	}
	ob := meter.Observation{
		At:           time.Now(),
		Service:      cl.service,
		Organisation: cl.organisation,
		Failed:       eff.Refusal != nil,
	}
	class := plainClass
	if cl.body != nil {
		found, _ := in.config.Load().cfg.ClassOf(cl.body.PromptTokens())
		class = found.Name
		ob.Class = class
	}
	if !cl.firstAt.IsZero() {
		ob.FirstToken = cl.firstAt.Sub(cl.arrived)
		metrics.GetOrRegisterTimer("Requests.FirstToken."+class, in.Meter.Registry).Update(ob.FirstToken)
	}
	if cl.offset > 1 {
		ob.BetweenTokens = cl.lastAt.Sub(cl.firstAt) / time.Duration(cl.offset-1)
	}
	in.Meter.Record(ob)
}

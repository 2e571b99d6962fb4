package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/meter"
)

// callerFaults are the reasons that no objective counts: the service owed these requests no answer.
var callerFaults = map[effect.Reason]bool{
	effect.ReasonLimit:        true,
	effect.ReasonTooLong:      true,
	effect.ReasonUnknownModel: true,
	effect.ReasonQuarantine:   true,
	effect.ReasonKeyReused:    true,
	effect.ReasonKeyRunning:   true,
}

// plainClass stands for the length class in the metrics of plain services.
const plainClass = "Plain"

// observe measures a request that ended.
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

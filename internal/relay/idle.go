package relay

import (
	stdlog "log"
	"net/http"
	"time"

	"dandelionsail.example/dandelionsail/internal/front"
)

// idleTimeout is how long a caller's keep-alive connection may stay idle if the configuration does not say.
const idleTimeout = 60 * time.Second

// newCallerServer returns the server for callers. It closes their connections when these have been idle for as long as the configuration in force
// allows. A connection that is closed earlier than callers expect breaks the request that is just sent on it.
func (in *Instance) newCallerServer(handler http.Handler, errorLog *stdlog.Logger) *front.Server {
	return front.New(front.Options{
		Limiter: in.limiter, Callers: true, Handler: handler, HeaderTimeout: headerTimeout, ErrorLog: errorLog, IdleLimit: in.idleLimit, Lost: in.recordLoss,
	})
}

// recordLoss counts and logs a request that was read whole and whose caller got no whole answer. What is counted below Lost.Own is the fault of
// this Instance, and should never happen.
func (in *Instance) recordLoss(loss front.Loss) {
	if loss.Reason.IsOwnFault() {
		in.count("Lost.Own." + string(loss.Reason))
	}
	in.count("Lost." + string(loss.Reason))
	if loss.Reason == front.EndedByCaller {
		// Callers leave often, and the reducer logs that.
		return
	}
	entry := in.log.Info()
	if loss.Reason.IsOwnFault() {
		entry = in.log.Error()
	}
	entry.Str("Request", loss.Request).Str("Reason", string(loss.Reason)).Str("Detail", loss.Detail).Bool("PassedOn", loss.PassedOn).Int64("Written", loss.Written).
		Int64("AgeMs", loss.Age.Milliseconds()).Err(loss.Err).Msg("request ended without a whole answer")
}

// idleLimit returns how long a caller's connection may be idle.
func (in *Instance) idleLimit() time.Duration {
	if routing := in.routing.Load(); routing != nil && routing.Limits.Idle > 0 {
		return routing.Limits.Idle.Std()
	}
	return idleTimeout
}

package relay

import "math"

// noteLimit logs a rate limit that a replica names, changes or names no longer.
func (in *Instance) noteLimit(replica, request string, reply Reply) {
	before, limited := in.limits.Load(replica)
	if !reply.Limited {
		if limited {
			in.limits.Delete(replica)
			in.gauge("Limits.MilliPerS."+replica, 0)
			in.log.Info().Str("Replica", replica).Str("Request", request).Msg("rate limit ended")
		}
		return
	}
	if limited && before.(float64) == reply.Limit {
		return
	}
	in.limits.Store(replica, reply.Limit)
	in.gauge("Limits.MilliPerS."+replica, int64(math.Round(1000*reply.Limit)))
	in.log.Info().Str("Replica", replica).Str("Request", request).Float64("PerS", reply.Limit).Msg("rate limit named")
}

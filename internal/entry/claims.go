package entry

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/once"
)

// settleTime is how long an instance tries to record an outcome; after it a resend hears "unknown".
const settleTime = time.Minute

// claimCounters names the counter of each result of a claim.
var claimCounters = map[event.ClaimResult]string{
	event.ClaimWon:         "Won",
	event.ClaimRepeated:    "Repeated",
	event.ClaimConflict:    "Conflict",
	event.ClaimUnavailable: "Unavailable",
}

func (in *Instance) claim(eff effect.Claim) {
	cl := in.find(eff.ID)
	if cl == nil {
		in.loop.Submit(event.ClaimSettled{ID: eff.ID, Result: event.ClaimUnavailable})
		return
	}
	ky := once.Key{Organisation: eff.Organisation, Service: eff.Service, Key: eff.Key}
	name := cl.name
	in.settling.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), eff.Deadline)
		defer cancel()
		result, out := in.claims.Claim(ctx, ky, eff.Digest, name)
		in.countState("Claims." + claimCounters[result])
		in.loop.Submit(event.ClaimSettled{ID: eff.ID, Result: result, Outcome: out})
	})
}

func (in *Instance) recordOutcome(eff effect.RecordOutcome) {
	ky := once.Key{Organisation: eff.Organisation, Service: eff.Service, Key: eff.Key}
	var out event.Outcome
	name := in.requestName(eff.ID)
	if cl := in.find(eff.ID); cl != nil && !eff.Unknown {
		out = cl.outcome.Outcome()
	}
	in.settling.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if err := in.claims.Settle(ctx, ky, name, out, eff.Release); err != nil {
			in.log.Warn().Err(err).Msg("outcome of a claim not recorded; resends hear that it is unknown")
		}
	})
}

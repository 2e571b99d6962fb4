package entry

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/once"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// settleTimeout is how long an instance tries to record the outcome of a claim. If it fails, a resend gets OutcomeUnknown.
const settleTimeout = time.Minute

// claimCounters maps the result of a claim to the last part of its counter's name.
var claimCounters = map[event.ClaimResult]string{
	event.ClaimWon:         "Won",
	event.ClaimRepeated:    "Repeated",
	event.ClaimConflict:    "Conflict",
	event.ClaimUnavailable: "Unavailable",
}

// claim claims the request's idempotency key in the background and submits the result to the reducer.
func (in *Instance) claim(eff effect.Claim) {
	cl := in.find(eff.ID)
	if cl == nil {
		in.loop.Submit(event.ClaimSettled{ID: eff.ID, Result: event.ClaimUnavailable})
		return
	}
	ky := once.Key{Organisation: eff.Organisation, Service: eff.Service, Key: eff.Key}
	name := cl.name
	in.settling.Go(tasks.Guard("claim", func() {
		ctx, cancel := context.WithDeadline(context.Background(), eff.Deadline)
		defer cancel()
		result, out := in.claims.Claim(ctx, ky, eff.Digest, name)
		in.incCounter("Claims." + claimCounters[result])
		in.loop.Submit(event.ClaimSettled{ID: eff.ID, Result: result, Outcome: out})
	}))
}

// recordOutcome records the outcome of a claimed request, or releases the claim, in the background.
func (in *Instance) recordOutcome(eff effect.RecordOutcome) {
	ky := once.Key{Organisation: eff.Organisation, Service: eff.Service, Key: eff.Key}
	var out event.Outcome
	name := in.requestName(eff.ID)
	if cl := in.find(eff.ID); cl != nil && !eff.Unknown {
		out = cl.outcome.Outcome()
	}
	in.settling.Go(tasks.Guard("claim outcome", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := in.claims.Settle(ctx, ky, name, out, eff.Release); err != nil {
			in.log.Warn().Err(err).Msg("cannot record the outcome of a claim; resends get OutcomeUnknown")
		}
	}))
}

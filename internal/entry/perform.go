package entry

import (
	"github.com/rcrowley/go-metrics"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// perform carries out one effect. It must not block, because the reducer's goroutine calls it.
func (in *Instance) perform(eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Send:
		in.deliver(eff.ID, eff)
	case effect.Finish:
		in.deliver(eff.ID, eff)
	case effect.Forward:
		in.deliver(eff.ID, eff)
	case effect.ProbePaths:
		in.probePaths(eff)
	case effect.PathsInDoubt:
		in.pathsInDoubt.Store(eff.InDoubt)
	case effect.Abort:
		in.abort(eff)
	case effect.Claim:
		in.claim(eff)
	case effect.RecordOutcome:
		in.recordOutcome(eff)
	case effect.RequestPermit:
		in.loop.Submit(event.PermitAnswered{ID: eff.ID, Lost: true})
	case effect.ReleasePermit:
	case effect.Sweep:
		in.sweep(eff)
	case effect.SendToPeer:
		in.sendToPeer(eff.Address, eff.Message)
	case effect.SendDemand:
		in.sendToPeer(eff.To.Peer, wire.Demand{From: in.opts.Name, Demands: eff.Demands})
	case effect.SendShares:
		in.sendToPeer(eff.To.Peer, wire.Shares{Shares: eff.Shares})
	case effect.AnnounceQuarantine:
		in.announceQuarantine(eff)
	case effect.AnnounceAnswered:
		in.announceAnswered(eff)
	case effect.SendQuarantine:
		for _, entry := range eff.Entries {
			in.sendToPeer(eff.To, quarantineMessage(entry))
		}
	case effect.RequestQuarantine:
		in.pending.Go(tasks.Guard("quarantine catch-up", func() { in.catchUpQuarantine(eff.Standstill) }))
	case effect.CloseIdle:
		in.upstream.CloseIdle(eff.Address)
	case effect.CountAndLog:
		in.countAndLog(eff)
	}
}

func (in *Instance) countAndLog(eff effect.CountAndLog) {
	metrics.GetOrRegisterCounter(eff.Counter, in.Meter.Registry).Inc(1)
	if eff.LogMessage != "" {
		in.log.Warn().Str("Subject", eff.Subject).Msg(eff.LogMessage)
	}
}

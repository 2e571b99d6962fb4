package relay

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/clock"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// Parts of prompts that crash replicas are recorded in the Directory, which all instances follow anyway: if all of them end at the same
// moment, nobody is left who could be asked.

const (
	// quarantineTTL is how long a record is kept, the longest time for which the store grants a lease.
	quarantineTTL = 10 * time.Minute
	// quarantineReadTime is how long after the start records are taken over. The first read may be some seconds old.
	quarantineReadTime = 30 * time.Second
	// quarantineWrites is how often the record is written at most. Each failed call is charged.
	quarantineWrites = 3
)

// recordQuarantine writes the cause to the Directory. It does not block.
func (in *Instance) recordQuarantine(ca cause.Cause) {
	wall := clock.Steady(in.startedAt, time.Now())
	qua := Quarantine{Parts: ca.Features, Crashes: ca.Crashes, LastCrashMs: wall.Add(-time.Since(ca.Last)).UnixMilli(), Callers: ca.Callers[:min(len(ca.Callers), maxQuarantineCallers)]}
	in.background.Go(tasks.Guard("quarantine record", func() {
		for backoff := minAnnounceBackoff; ; backoff *= 2 {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			in.count("Store.Quarantines")
			err := in.directory.RecordQuarantine(ctx, qua, quarantineTTL)
			cancel()
			if err == nil {
				return
			}
			in.log.Warn().Err(err).Strs("Parts", partNames(qua.Parts)).Msg("quarantine of a part not recorded in the store")
			if backoff >= minAnnounceBackoff<<(quarantineWrites-1) || in.isDraining() {
				return
			}
			time.Sleep(backoff)
		}
	}))
}

// applyQuarantine passes a record on to the reducer. Its age is that of the crash, however late the record is read. Later than at the start, the other
// instances know more: all the deaths, and what has been answered since.
func (in *Instance) applyQuarantine(qua *Quarantine) {
	now := time.Now()
	if !qua.Ended && now.Sub(in.startedAt) >= quarantineReadTime {
		return
	}
	age := max(0, clock.Steady(in.startedAt, now).Sub(time.UnixMilli(qua.LastCrashMs)))
	last := now.Add(-age)
	in.apply(steer.CauseRead{Ended: qua.Ended, Cause: cause.Cause{Features: qua.Parts, Crashes: qua.Crashes, First: last, Last: last, Callers: qua.Callers}})
}

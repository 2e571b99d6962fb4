package core

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/cutoff"
	"dandelionsail.example/dandelionsail/internal/event"
)

// handleDrainAnnounced decides which requests are still taken: if no other instance lives, callers have nowhere else to go.
func (st *State) handleDrainAnnounced(ev event.DrainAnnounced) {
	st.stop = &cutoff.Stop{AbortAt: ev.AbortAt, TakeUntil: st.now}
	if !slices.ContainsFunc(st.Instances, func(inst event.Instance) bool { return inst.Name != st.Options.Name && !inst.Leaving }) {
		st.stop.TakeUntil = ev.DrainAt
	}
}

// refusesForStop reports whether a request with the deadline is refused since the instance is shutting down.
func (st *State) refusesForStop(deadline time.Time) bool {
	return st.Draining || st.stop.Refuses(st.now, deadline)
}

package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// longestRest is the time between two ticks while nothing waits: membership, permits and ejections need no finer ones.
// An idle instance that ticked every event.TickPeriod would spend more than its whole share of a core on waking up.
const longestRest = 50 * time.Millisecond

// Rest returns how long the reducer can do without a tick.
func (st *State) Rest() time.Duration {
	if len(st.Admit.Backlogged()) > 0 {
		return event.TickPeriod
	}
	at, ok := st.deadlines.next()
	if !ok {
		return longestRest
	}
	return min(max(at.Sub(st.now), event.TickPeriod), longestRest)
}

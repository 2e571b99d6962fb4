package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// maxTickDelay is the longest time between two ticks. It applies while no request waits and no deadline is nearer:
// membership, permits and ejections need no ticks closer together. An idle instance that ticked every event.TickPeriod would
// spend more than its whole share of a core on waking up.
const maxTickDelay = 50 * time.Millisecond

// TickDelay returns the time after which the reducer needs its next tick.
func (st *State) TickDelay() time.Duration {
	if len(st.Admit.Backlogged()) > 0 {
		return event.TickPeriod
	}
	at, ok := st.deadlines.next()
	if !ok {
		return maxTickDelay
	}
	return min(max(at.Sub(st.now), event.TickPeriod), maxTickDelay)
}

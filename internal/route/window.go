package route

import "time"

// The window of attempts in flight at one replica. The instances share the replicas without talking about it, and if
// each filled a replica's batch alone, the engine's own queue would hold what should wait here, in our order. So a
// window starts near the fair part, grows while the replica shows room and shrinks when it refuses or queues.
const (
	// refusedShrink and queuedShrink are the factors after a refusal and after a report of waiting requests.
	refusedShrink = 0.7
	queuedShrink  = 0.9
	// shrinkPause is the least time between two refusals that count, since one burst brings many.
	shrinkPause = 200 * time.Millisecond
	// roomShare is the part of a batch that may be taken for a report to show room.
	roomShare = 0.8
)

// refused shrinks the window after a refusal for want of room.
func (rep *Replica) refused(now time.Time) {
	if now.Sub(rep.narrowed) < shrinkPause {
		return
	}
	rep.narrowed = now
	rep.Window = max(1, min(rep.Window, float64(rep.Running+1))*refusedShrink)
}

// reported follows a report.
func (rep *Replica) reported() {
	most := rep.pool.service.MaxRunning
	there := rep.Report.Running + rep.Report.Waiting
	switch {
	case rep.Report.Waiting > 0 && float64(rep.Running) > rep.pool.fair():
		rep.Window = max(1, rep.pool.fair(), rep.Window*queuedShrink)
	case float64(there) < roomShare*float64(most) && rep.filled():
		room := float64(most-there) / float64(rep.pool.instances())
		rep.Window = min(rep.Window+max(1, room/2), float64(most))
	}
}

// answered grows the window by one for each window's worth of answers.
func (rep *Replica) answered() {
	if rep.filled() {
		rep.Window = min(rep.Window+1/rep.Window, float64(rep.pool.service.MaxRunning))
	}
}

func (rep *Replica) filled() bool {
	return float64(rep.Running+1) >= rep.Window
}

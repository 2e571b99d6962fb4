package route

import "time"

// The window limits the attempts in flight at one replica. The instances share the replicas without coordination. If each of
// them filled a replica's batch alone, requests would wait in the engine's queue instead of in the instance's, where its
// discipline orders them. A window therefore starts near the fair share, grows while the replica has room and shrinks when
// the replica refuses requests or queues them.
const (
	// refusalShrinkFactor is the factor applied to the window after a refusal.
	refusalShrinkFactor = 0.7
	// queueShrinkFactor is the factor applied to the window after a report of waiting requests.
	queueShrinkFactor = 0.9
	// minShrinkInterval is the minimum time between two refusals that shrink the window, since one burst causes many.
	minShrinkInterval = 200 * time.Millisecond
	// maxShareWithRoom is the share of the batch in use below which a report shows room.
	maxShareWithRoom = 0.8
)

// shrinkWindow shrinks the window after the replica refused a request without running it.
func (rep *Replica) shrinkWindow(now time.Time) {
	if now.Sub(rep.shrunkAt) < minShrinkInterval {
		return
	}
	rep.shrunkAt = now
	rep.Window = max(1, min(rep.Window, float64(rep.Running+1))*refusalShrinkFactor)
}

// adjustWindow shrinks or grows the window after a new load report.
func (rep *Replica) adjustWindow() {
	maxRunning := rep.pool.service.MaxRunning
	atReplica := rep.Report.Running + rep.Report.Waiting
	switch {
	case rep.Report.Waiting > 0 && float64(rep.Running) > rep.pool.fairShare():
		rep.Window = max(1, rep.pool.fairShare(), rep.Window*queueShrinkFactor)
	case float64(atReplica) < maxShareWithRoom*float64(maxRunning) && rep.windowFilled():
		room := float64(maxRunning-atReplica) / float64(rep.pool.instances())
		rep.Window = min(rep.Window+max(1, room/2), float64(maxRunning))
	}
}

// growWindow grows the window by one per window of answers, as long as the window is filled.
func (rep *Replica) growWindow() {
	if rep.windowFilled() {
		rep.Window = min(rep.Window+1/rep.Window, float64(rep.pool.service.MaxRunning))
	}
}

// windowFilled reports whether one more attempt would fill the window.
func (rep *Replica) windowFilled() bool {
	return float64(rep.Running+1) >= rep.Window
}

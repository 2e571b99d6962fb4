package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Slow engines. An engine may slow down without failing: its health check succeeds, its answers arrive, but every stream
// on it pauses for longer than its caller was promised. The time between two events of a stream is one pass of its
// engine, and a pass in which nothing is read takes what the engine declares, so each event shows how many times slower
// the engine is. The instance that detects it informs the others that use the engine, since each of them sees only a few
// of its streams.

const (
	// minSlow is the lowest ratio of a pass to its declared time that counts as slow: requests that are not known here
	// make a pass longer, too.
	minSlow = 1.8
	// paceGain is the weight of one pass in the moving average.
	paceGain = 0.3
	// maxSlow bounds what one pass or one note can claim: the network may delay an event as well.
	maxSlow = 10
	// paceDecayInterval is how long an engine keeps its slowdown without a new observation. Then half of the slowdown is
	// dropped, so that the engine is tried again.
	paceDecayInterval = 3 * time.Second
	// announcedChange is the relative change from which a slowdown is announced again.
	announcedChange = 0.3
)

// Pace is how many times longer than declared an engine takes for its passes.
type Pace struct {
	Replica string  `cbor:"1,keyasint,omitempty"`
	Times   float32 `cbor:"2,keyasint,omitempty"`
}

// valid reports whether the pace is a number. In a forecast, NaN would keep the engine from being chosen.
func (pc *Pace) valid() bool { return pc.Replica != "" && pc.Times >= 0 }

// learnPace compares the pass that has just ended with the engine's declared figures. It ignores passes in which
// anything was read.
func (st *State) learnPace(eng *decl.Engine, rep *replica, pass time.Duration) {
	if pass <= 0 || rep.reads() || st.now.Add(sameBoundary-pass).Before(rep.passes.readUntil) {
		return
	}
	writers, contexts := rep.writing(true)
	if writers == 0 {
		return
	}
	seen := ms(pass) / (float64(eng.Stride) * eng.StepTime(writers, contexts))
	if seen < minSlow {
		seen = 1
	}
	rep.slow += paceGain * (min(seen, maxSlow) - rep.slow)
	rep.slowSeenAt = st.now
	if change := rep.slow/rep.announcedSlow - 1; change > announcedChange || change < -announcedChange {
		rep.announcedSlow = rep.slow
		st.announcePace(rep)
	}
}

// announcePace informs the instances that use the replica how slow it is.
func (st *State) announcePace(rep *replica) {
	st.emit(LogLine{Message: "pace changed", Replica: rep.Name, Times: rep.slow})
	sub := st.audience(rep)
	pend := st.pendingFor(sub, st.sendDelay(sub, maxBatchDelay))
	pend.note.Paces = append(pend.note.Paces, Pace{Replica: rep.Name, Times: float32(rep.slow)})
}

// applyPace applies the slowdown that another instance has observed.
func (st *State) applyPace(pace Pace) {
	if rep, ok := st.replicas[pace.Replica]; ok {
		rep.slow = min(max(1, float64(pace.Times)), maxSlow)
		rep.announcedSlow = rep.slow
		rep.slowSeenAt = st.now
	}
}

// decayPace halves the slowdown, beyond the factor of 1, of a replica that has not been observed for paceDecayInterval.
func (rep *replica) decayPace(now time.Time) {
	if rep.slow > 1 && now.Sub(rep.slowSeenAt) > paceDecayInterval {
		rep.slow = 1 + (rep.slow-1)/2
		rep.announcedSlow = rep.slow
		rep.slowSeenAt = now
	}
}

package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Pace. An engine may turn slow without going down: its health check is good, its answers come, and every stream on it
// pauses for longer than its caller was promised. The time between two events of a stream is one pass of its engine, and a
// pass in which nothing is read takes what the engine declares, so that each event shows how many times slower it is. Who
// finds out tells those that use the engine too: each sees only a few of its streams.

const (
	// slowFrom is how many times its figures a pass must take to say anything: writers that are not known make it longer too.
	slowFrom = 1.8
	// paceGain is the weight of one pass against what was seen before.
	paceGain = 0.3
	// maxSlow bounds what one pass can say: a pause may also come from the way of an event.
	maxSlow = 10
	// paceMemory is how long an engine that nobody hears keeps its pace; then half of its slowness is forgotten, so that it is
	// tried again.
	paceMemory = 3 * time.Second
	// paceTold is by which part a pace must change to be told again.
	paceTold = 0.3
)

// Pace is how many times longer than declared an engine takes.
type Pace struct {
	Replica string  `cbor:"1,keyasint,omitempty"`
	Times   float32 `cbor:"2,keyasint,omitempty"`
}

// learnPace compares the pass that has just ended with the engine's figures.
func (st *State) learnPace(eng *decl.Engine, rep *replica, pass time.Duration) {
	if pass <= 0 || rep.reads() || st.now.Add(sameBoundary-pass).Before(rep.passes.readUntil) {
		return
	}
	writers, contexts := rep.writing(true)
	if writers == 0 {
		return
	}
	seen := ms(pass) / (float64(eng.Stride) * eng.StepTime(writers, contexts))
	if seen < slowFrom {
		seen = 1
	}
	rep.slow += paceGain * (min(seen, maxSlow) - rep.slow)
	rep.pacedAt = st.now
	if change := rep.slow/rep.slowTold - 1; change > paceTold || change < -paceTold {
		rep.slowTold = rep.slow
		st.tellPace(rep)
	}
}

// tellPace tells those that use the replica too how slow it is.
func (st *State) tellPace(rep *replica) {
	st.emit(Line{Message: "pace changed", Replica: rep.Name, Times: rep.slow})
	sub := st.audience(rep)
	pend := st.pendingFor(sub, st.within(sub, gatherMost))
	pend.note.Paces = append(pend.note.Paces, Pace{Replica: rep.Name, Times: float32(rep.slow)})
}

// takePace takes what another instance has seen.
func (st *State) takePace(pace Pace) {
	if rep, ok := st.replicas[pace.Replica]; ok {
		rep.slow = min(max(1, float64(pace.Times)), maxSlow)
		rep.slowTold = rep.slow
		rep.pacedAt = st.now
	}
}

// forgetPace lets the pace of a replica that nobody has heard for a while come nearer to what it declares.
func (rep *replica) forgetPace(now time.Time) {
	if rep.slow > 1 && now.Sub(rep.pacedAt) > paceMemory {
		rep.slow = 1 + (rep.slow-1)/2
		rep.slowTold = rep.slow
		rep.pacedAt = now
	}
}

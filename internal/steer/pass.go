package steer

import (
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The passes of an engine. An engine works in passes: it reads what waited when the pass began, then everybody who writes
// gets Stride tokens, and all events leave at its end. So a request that comes during a pass waits for its end, is read in
// the next one together with all else that came meanwhile, and has its first event at the end of that; a stream pauses for
// as long as the pass lasts in which others are read. The answers that begin tell when a pass has ended, at whichever
// instance they begin; in between, passes are reckoned from what is known to be there. A first event is never earlier than
// reckoned, and later by what comes to the engine meanwhile.

// stage is how far an engine is with a job's part.
type stage int

const (
	// stageWaits is a part that no pass has taken up, or not to its end.
	stageWaits stage = iota
	// stageReads is a part that the pass under way reads.
	stageReads
	// stageRead is a part that is read, whose answer begins when the parts of others are.
	stageRead
)

const (
	// sameBoundary is how far apart the answers come that begin with one pass.
	sameBoundary = 5 * time.Millisecond
	// leastExtension keeps an overdue pass from being extended again and again by next to nothing.
	leastExtension = 3 * time.Millisecond
	// leastPass is a pass of an engine that declares no time for its steps: without it time would stand still.
	leastPass = 100 * time.Microsecond
	// finished is the part of a reading that counts as none.
	finished = 1e-6
)

// passes is an engine's pass under way; its zero value is an idle engine.
type passes struct {
	// from and end are when the pass began and when it should end.
	from, end time.Time
	// readUntil is the end of the last pass in which anything was read.
	readUntil time.Time
}

func (ps *passes) idle() bool { return ps.end.IsZero() }

// writing counts the requests that write once the pass under way has ended, and their contexts; now only those that write
// in it.
func (rep *replica) writing(now bool) (count int, contexts int64) {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.first && (wk.begun || !now && wk.stage != stageWaits) {
			count++
			contexts += wk.context
		}
	}
	return count, contexts
}

// advance brings the reckoned passes up to now.
func (rep *replica) advance(eng *decl.Engine, tune *Tuning, now time.Time) {
	for !rep.passes.idle() && !now.Before(rep.passes.end) {
		if rep.overdue() {
			length := rep.passes.end.Sub(rep.passes.from)
			rep.passes.end = now.Add(max(leastExtension, time.Duration(tune.OverdueShare*float64(length))))
			rep.passes.readUntil = rep.passes.end
			return
		}
		rep.endPass()
		rep.startPass(eng, rep.passes.end)
		rep.skipPasses(now)
	}
}

// overdue tells that an answer should have begun with the end of the pass: the engine is later than was reckoned, not idle.
func (rep *replica) overdue() bool {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.stage == stageReads && wk.first && wk.alone && !wk.begun && wk.taken >= 1-finished {
			return true
		}
	}
	return false
}

// skipPasses passes over those in which nothing is read, which are alike.
func (rep *replica) skipPasses(now time.Time) {
	length := rep.passes.end.Sub(rep.passes.from)
	if rep.passes.idle() || length <= 0 || rep.reads() {
		return
	}
	if count := now.Sub(rep.passes.from) / length; count > 0 {
		rep.passes.from = rep.passes.from.Add(count * length)
		rep.passes.end = rep.passes.from.Add(length)
	}
}

// reads tells that anything is read or waits for it.
func (rep *replica) reads() bool {
	return slices.ContainsFunc(rep.works, func(wk work) bool { return !wk.begun && wk.stage != stageRead })
}

// startPass begins a pass with all that waits. Parts for others' prompts go first, the newest of them before the others.
func (rep *replica) startPass(eng *decl.Engine, at time.Time) {
	writers, contexts := rep.writing(true)
	budget := math.Inf(1)
	length := 0.0
	if writers > 0 {
		budget = float64(eng.Stride)
		length = budget * eng.StepTime(writers, contexts)
	}
	taken := false
	for _, helping := range []bool{true, false} {
		for i := range rep.works {
			wk := &rep.works[i]
			if helping {
				wk = &rep.works[len(rep.works)-1-i]
			}
			if wk.first == helping || wk.begun || wk.stage != stageWaits || budget <= 0 {
				continue
			}
			wk.stage = stageReads
			wk.taken = 1
			if wk.left.Steps > budget {
				wk.taken = budget / wk.left.Steps
			}
			budget -= wk.left.Steps
			length += wk.left.Time * wk.taken
			if writers == 0 {
				length += (wk.left.Steps*wk.taken + 0.5) * eng.Step
			}
			taken = true
		}
	}
	if !taken && writers == 0 {
		rep.passes = passes{readUntil: rep.passes.readUntil}
		return
	}
	rep.passes.from, rep.passes.end = at, at.Add(max(leastPass, duration(length*rep.slow)))
	if taken {
		rep.passes.readUntil = rep.passes.end
	}
}

// endPass takes what the pass has read from what is to be read.
func (rep *replica) endPass() {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.stage != stageReads {
			continue
		}
		wk.left = wk.left.Times(1 - wk.taken)
		wk.stage = stageWaits
		if wk.taken >= 1-finished {
			wk.left = decl.Reading{}
			wk.stage = stageRead
		}
	}
}

// boundary notes that a pass has ended, since an answer began.
func (rep *replica) boundary(eng *decl.Engine, now time.Time) {
	if !rep.passes.idle() && now.Sub(rep.passes.from) < sameBoundary {
		return
	}
	rep.endPass()
	rep.startPass(eng, now)
}

// outlook is what a request finds that is sent to an engine now.
type outlook struct {
	// left is the rest of the pass under way in ms, under the reading in it.
	left, under float64
	// waits is what waits for the next one.
	waits decl.Reading
	// step is one step of those who write, stride the steps of a pass, 0 where nobody writes.
	step, stride float64
	slow         float64
}

// outlook reckons what comes after the pass under way.
func (rep *replica) outlook(eng *decl.Engine, tune *Tuning, now time.Time) outlook {
	rep.forgetPace(now)
	rep.advance(eng, tune, now)
	out := outlook{slow: rep.slow}
	if !rep.passes.idle() {
		out.left = ms(rep.passes.end.Sub(now))
	}
	for i := range rep.works {
		wk := &rep.works[i]
		switch {
		case wk.begun || wk.stage == stageRead:
		case wk.stage == stageWaits:
			out.waits = out.waits.Plus(wk.left)
		default:
			out.under += wk.left.Time * wk.taken
			out.waits = out.waits.Plus(wk.left.Times(1 - wk.taken))
		}
	}
	writers, contexts := rep.writing(false)
	out.step = eng.StepTime(max(1, writers), contexts)
	if writers > 0 {
		out.stride = float64(eng.Stride)
	}
	return out
}

// backlog is the reading in ms that is under way or waits.
func (out *outlook) backlog() float64 {
	return min(out.left, out.under*out.slow) + out.waits.Time*out.slow
}

// first is the time in ms until the first event of a request with so much to read.
func (out *outlook) first(rd decl.Reading) float64 {
	all := out.waits.Plus(rd)
	if out.stride == 0 {
		return out.left + out.slow*(all.Time+(all.Steps+1)*out.step)
	}
	count := math.Ceil(max(finished, all.Steps/out.stride))
	return out.left + out.slow*(all.Time+count*out.stride*out.step)
}

// help is the time in ms until a part for another one's prompt is read.
func (out *outlook) help(rd decl.Reading) float64 {
	if out.stride == 0 {
		return out.left + out.slow*(rd.Time+(rd.Steps+1)*out.step)
	}
	count := math.Ceil(max(finished, rd.Steps/out.stride))
	beside := 0.0
	if out.waits.Steps > 0 {
		beside = out.waits.Time * min(1, max(0, count*out.stride-rd.Steps)/out.waits.Steps)
	}
	return out.left + out.slow*(rd.Time+beside+count*out.stride*out.step)
}

// pause is the longest pass in ms that follows, with so much more to read.
func (out *outlook) pause(rd decl.Reading) float64 {
	if out.stride == 0 {
		return 0
	}
	all := out.waits.Plus(rd)
	if all.Steps > out.stride {
		all = all.Times(out.stride / all.Steps)
	}
	return out.slow * (all.Time + out.stride*out.step)
}

package steer

import (
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The passes of an engine. An engine works in passes: it reads what waited when the pass began, then each stream that it
// writes gets Stride tokens, and all events are sent at the end of the pass. So a request that arrives during a pass
// waits for its end, is read in the next one together with all else that arrived meanwhile, and has its first event at
// the end of that; a stream pauses for as long as the pass lasts in which others are read. An answer that begins shows
// that a pass has ended, at whichever instance it begins; in between, passes are estimated from the known work. A first
// event is never earlier than estimated, and later by the work that reaches the engine meanwhile.

// stage is how far an engine has got with its part of a job.
type stage int

const (
	// stageWaiting is a part that no pass has begun to read, or that passes have read only in part.
	stageWaiting stage = iota
	// stageReading is a part that the current pass reads.
	stageReading
	// stageDone is a part that is read, whose answer begins when the parts of others are.
	stageDone
)

const (
	// sameBoundary is the longest time between two answers that begin with the same pass.
	sameBoundary = 5 * time.Millisecond
	// minExtension is the shortest extension of an overdue pass. Without it, the pass would be extended again and again
	// by next to nothing.
	minExtension = 3 * time.Millisecond
	// minPass is the length of a pass of an engine that declares no time for its steps. Passes without length would keep
	// advance in its loop for ever.
	minPass = 100 * time.Microsecond
	// negligibleShare is the share of a prefill's work that counts as nothing left to read.
	negligibleShare = 1e-6
)

// passes is the current pass of an engine. The zero value is an idle engine.
type passes struct {
	// from is when the pass began.
	from time.Time
	// end is when the pass should end.
	end time.Time
	// readUntil is the end of the last pass in which anything was read.
	readUntil time.Time
}

func (ps *passes) idle() bool { return ps.end.IsZero() }

// writing counts the requests that write, and sums up their contexts in tokens: of the current pass if now is set,
// otherwise once it has ended.
func (rep *replica) writing(now bool) (count int, contexts int64) {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.first && (wk.begun || !now && wk.stage != stageWaiting) {
			count++
			contexts += wk.context
		}
	}
	return count, contexts
}

// advance moves the estimated passes forward up to now.
func (rep *replica) advance(eng *decl.Engine, tune *Tuning, now time.Time) {
	for !rep.passes.idle() && !now.Before(rep.passes.end) {
		if rep.overdue() {
			length := rep.passes.end.Sub(rep.passes.from)
			rep.passes.end = now.Add(max(minExtension, time.Duration(tune.OverdueShare*float64(length))))
			rep.passes.readUntil = rep.passes.end
			return
		}
		rep.endPass()
		rep.startPass(eng, rep.passes.end)
		rep.skipIdlePasses(now)
	}
}

// overdue reports whether an answer should have begun at the end of the pass: the engine is later than estimated, not
// idle.
func (rep *replica) overdue() bool {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.stage == stageReading && wk.first && wk.alone && !wk.begun && wk.passShare >= 1-negligibleShare {
			return true
		}
	}
	return false
}

// skipIdlePasses skips the passes in which nothing is read, which are all alike.
func (rep *replica) skipIdlePasses(now time.Time) {
	length := rep.passes.end.Sub(rep.passes.from)
	if rep.passes.idle() || length <= 0 || rep.reads() {
		return
	}
	if count := now.Sub(rep.passes.from) / length; count > 0 {
		rep.passes.from = rep.passes.from.Add(count * length)
		rep.passes.end = rep.passes.from.Add(length)
	}
}

// reads reports whether anything is being read or waits to be read.
func (rep *replica) reads() bool {
	return slices.ContainsFunc(rep.works, func(wk work) bool { return !wk.begun && wk.stage != stageDone })
}

// startPass begins a pass with everything that waits. The parts of prompts that other engines answer come first, the
// newest of them before the others.
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
			if wk.first == helping || wk.begun || wk.stage != stageWaiting || budget <= 0 {
				continue
			}
			wk.stage = stageReading
			wk.passShare = 1
			if wk.left.Steps > budget {
				wk.passShare = budget / wk.left.Steps
			}
			budget -= wk.left.Steps
			length += wk.left.Time * wk.passShare
			if writers == 0 {
				length += (wk.left.Steps*wk.passShare + 0.5) * eng.Step
			}
			taken = true
		}
	}
	if !taken && writers == 0 {
		rep.passes = passes{readUntil: rep.passes.readUntil}
		return
	}
	rep.passes.from, rep.passes.end = at, at.Add(max(minPass, duration(length*rep.slow)))
	if taken {
		rep.passes.readUntil = rep.passes.end
	}
}

// endPass subtracts what the pass has read from what is left to read.
func (rep *replica) endPass() {
	for i := range rep.works {
		wk := &rep.works[i]
		if wk.stage != stageReading {
			continue
		}
		wk.left = wk.left.Scale(1 - wk.passShare)
		wk.stage = stageWaiting
		if wk.passShare >= 1-negligibleShare {
			wk.left = decl.PrefillWork{}
			wk.stage = stageDone
		}
	}
}

// observePassEnd records that a pass has ended, as an answer that begins or an event of a stream shows. It ignores those
// that belong to the end of the pass before.
func (rep *replica) observePassEnd(eng *decl.Engine, now time.Time) {
	if !rep.passes.idle() && now.Sub(rep.passes.from) < sameBoundary {
		return
	}
	rep.endPass()
	rep.startPass(eng, now)
}

// forecast is the estimate for a request that is sent to an engine now.
type forecast struct {
	// left is the rest of the current pass in ms.
	left float64
	// readingInPass is the prefill work of the current pass in ms.
	readingInPass float64
	// waits is the prefill work that waits for the next pass.
	waits decl.PrefillWork
	// step is the time in ms of one step with the requests that write.
	step float64
	// stride is the number of steps of a pass, 0 if no request writes.
	stride float64
	// slow is replica.slow.
	slow float64
}

// forecast estimates what follows the current pass.
func (rep *replica) forecast(eng *decl.Engine, tune *Tuning, now time.Time) forecast {
	rep.decayPace(now)
	rep.advance(eng, tune, now)
	fc := forecast{slow: rep.slow}
	if !rep.passes.idle() {
		fc.left = ms(rep.passes.end.Sub(now))
	}
	for i := range rep.works {
		wk := &rep.works[i]
		switch {
		case wk.begun || wk.stage == stageDone:
		case wk.stage == stageWaiting:
			fc.waits = fc.waits.Add(wk.left)
		default:
			fc.readingInPass += wk.left.Time * wk.passShare
			fc.waits = fc.waits.Add(wk.left.Scale(1 - wk.passShare))
		}
	}
	writers, contexts := rep.writing(false)
	fc.step = eng.StepTime(max(1, writers), contexts)
	if writers > 0 {
		fc.stride = float64(eng.Stride)
	}
	return fc
}

// backlog is the prefill work in ms that is in progress or waits.
func (fc *forecast) backlog() float64 {
	return min(fc.left, fc.readingInPass*fc.slow) + fc.waits.Time*fc.slow
}

// firstEvent is the time in ms until the first event of a request with the given prefill work.
func (fc *forecast) firstEvent(pw decl.PrefillWork) float64 {
	all := fc.waits.Add(pw)
	if fc.stride == 0 {
		return fc.left + fc.slow*(all.Time+(all.Steps+1)*fc.step)
	}
	count := math.Ceil(max(negligibleShare, all.Steps/fc.stride))
	return fc.left + fc.slow*(all.Time+count*fc.stride*fc.step)
}

// partRead is the time in ms until a part of a prompt is read that another engine answers.
func (fc *forecast) partRead(pw decl.PrefillWork) float64 {
	if fc.stride == 0 {
		return fc.left + fc.slow*(pw.Time+(pw.Steps+1)*fc.step)
	}
	count := math.Ceil(max(negligibleShare, pw.Steps/fc.stride))
	beside := 0.0
	if fc.waits.Steps > 0 {
		beside = fc.waits.Time * min(1, max(0, count*fc.stride-pw.Steps)/fc.waits.Steps)
	}
	return fc.left + fc.slow*(pw.Time+beside+count*fc.stride*fc.step)
}

// pause is the longest of the next passes in ms if the prefill work is added to what waits, 0 if no request writes.
func (fc *forecast) pause(pw decl.PrefillWork) float64 {
	if fc.stride == 0 {
		return 0
	}
	all := fc.waits.Add(pw)
	if all.Steps > fc.stride {
		all = all.Scale(fc.stride / all.Steps)
	}
	return fc.slow * (all.Time + fc.stride*fc.step)
}

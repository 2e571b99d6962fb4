package model

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// engine models a model engine that works in passes. A pass prefills parts that were waiting when it began: first the
// parts of prompts that other engines answer, newest first, then those of its own prompts. Each attempt that is being
// decoded gets the tokens of one event, and all events leave at the end of the pass. If nothing is being decoded, a pass
// is one step.
type engine struct {
	wd      *world
	replica steer.Replica
	// index is the number of the engine, from 0.
	index int
	// queue holds attempts that wait for a slot or memory.
	queue []*attempt
	// parts holds what is left to prefill, for this engine's prompts and for others'.
	parts []*part
	// writers holds the attempts whose answers are being decoded.
	writers []*attempt
	// usedSlots is the number of occupied slots.
	usedSlots int
	// usedTokens is the occupied memory in tokens, including what is reserved for prompts of other engines.
	usedTokens int64
	// busy is true during a pass.
	busy bool
}

// attempt is one attempt to answer a request at a replica.
type attempt struct {
	eng      *engine
	instance *instance
	send     steer.Send
	// call is the call that the attempt answers.
	call *call
	// unread is the number of parts of the prompt that are not prefilled yet.
	unread       int
	parts        []*part
	reservations []reservation
	// context is the part of the prompt that the engine holds, in tokens.
	context int64
	// tokens is the engine's memory that the attempt occupies.
	tokens   int64
	events   int
	ended    bool
	admitted bool
}

// reservation is memory that a helper reserves for a prompt that another engine answers.
type reservation struct {
	eng    *engine
	tokens int64
}

// part is the share of a prompt's prefill that one engine does. help marks that another engine answers the prompt.
type part struct {
	eng     *engine
	attempt *attempt
	help    bool
	left    decl.PrefillWork
}

// enqueue adds an attempt, which waits until a slot and enough memory are free.
func (en *engine) enqueue(att *attempt) {
	if att.ended {
		return
	}
	en.queue = append(en.queue, att)
	en.admitAll()
}

func (en *engine) admitAll() {
	for len(en.queue) > 0 {
		att := en.queue[0]
		if en.usedSlots >= en.wd.sc.Engine.Slots || en.usedTokens+att.tokens > en.wd.sc.Engine.Memory {
			return
		}
		en.queue = en.queue[1:]
		att.admitted = true
		en.usedSlots++
		en.usedTokens += att.tokens
		for _, pt := range att.parts {
			pt.eng.addPart(pt)
		}
	}
}

func (en *engine) addPart(pt *part) {
	en.parts = append(en.parts, pt)
	if !en.busy {
		en.startPass()
	}
}

// startPass starts the next pass if there is any work.
func (en *engine) startPass() {
	eng := &en.wd.sc.Engine
	if len(en.parts) == 0 && len(en.writers) == 0 {
		en.busy = false
		return
	}
	en.busy = true
	steps, length := 1.0, 0.0
	if len(en.writers) > 0 {
		var contexts int64
		for _, att := range en.writers {
			contexts += att.context
		}
		steps = float64(eng.Stride)
		length = steps * eng.StepTime(len(en.writers), contexts)
	} else {
		length = eng.Step
	}
	var done []*part
	for _, pt := range en.readOrder() {
		if steps <= 0 {
			break
		}
		share := 1.0
		if pt.left.Steps > steps {
			share = steps / pt.left.Steps
		}
		length += pt.left.Time * share
		steps -= pt.left.Steps * share
		pt.left = pt.left.Scale(1 - share)
		if share == 1 {
			done = append(done, pt)
		}
	}
	en.wd.after(length*en.slowdownFactor(), func() { en.endPass(done) })
}

// slowdownFactor returns the factor by which passes currently take longer than declared.
func (en *engine) slowdownFactor() float64 {
	times := 1.0
	at := en.wd.now.Sub(epoch).Seconds()
	for _, slow := range en.wd.sc.Slowdowns {
		if at >= slow.At && at < slow.At+slow.For && float64(en.index) < slow.Share*float64(en.wd.sc.Engines) {
			times = max(times, slow.Times)
		}
	}
	return times
}

// readOrder lists the parts in the order in which they are prefilled.
func (en *engine) readOrder() []*part {
	var order []*part
	for _, pt := range slices.Backward(en.parts) {
		if pt.help {
			order = append(order, pt)
		}
	}
	for _, pt := range en.parts {
		if !pt.help {
			order = append(order, pt)
		}
	}
	return order
}

// endPass ends a pass: it sends an event of each attempt being decoded, and starts to decode the attempts whose whole
// prompt is now prefilled.
func (en *engine) endPass(done []*part) {
	for _, att := range slices.Clone(en.writers) {
		en.sendEvent(att)
	}
	for _, pt := range done {
		en.parts = slices.DeleteFunc(en.parts, func(other *part) bool { return other == pt })
		pt.attempt.unread--
		if pt.attempt.unread == 0 && !pt.attempt.ended {
			first := pt.attempt.eng
			first.writers = append(first.writers, pt.attempt)
			first.sendEvent(pt.attempt)
			if first != en && !first.busy {
				first.startPass()
			}
		}
	}
	en.startPass()
}

// sendEvent sends the next event of an answer. After the last one the attempt leaves the engine.
func (en *engine) sendEvent(att *attempt) {
	if att.ended {
		return
	}
	att.events--
	last := att.events <= 0
	en.wd.after(en.wd.sc.NoteDelay, func() { att.instance.forwardEvent(att, last) })
	if last {
		en.remove(att)
	}
}

// remove removes an attempt that is complete, cancelled or expired from all its engines and frees its slot and memory.
func (en *engine) remove(att *attempt) {
	att.ended = true
	en.queue = slices.DeleteFunc(en.queue, func(other *attempt) bool { return other == att })
	en.writers = slices.DeleteFunc(en.writers, func(other *attempt) bool { return other == att })
	for _, rsv := range att.reservations {
		rsv.eng.usedTokens -= rsv.tokens
		rsv.eng.admitAll()
	}
	att.reservations = nil
	for _, pt := range att.parts {
		pt.eng.parts = slices.DeleteFunc(pt.eng.parts, func(other *part) bool { return other == pt })
	}
	if att.admitted {
		att.admitted = false
		en.usedSlots--
		en.usedTokens -= att.tokens
		en.admitAll()
	}
}

// plainReplica models a replica of the plain service.
type plainReplica struct {
	wd      *world
	replica steer.Replica
	queue   []*attempt
	running int
}

func (pl *plainReplica) enqueue(att *attempt) {
	pl.queue = append(pl.queue, att)
	pl.startQueued()
}

func (pl *plainReplica) startQueued() {
	for pl.running < pl.wd.sc.PlainSlots && len(pl.queue) > 0 {
		att := pl.queue[0]
		pl.queue = pl.queue[1:]
		if att.ended {
			continue
		}
		pl.running++
		cls := att.call.class
		work := cls.Work * (0.5 + pl.wd.random.ExpFloat64()/2)
		failed := pl.wd.random.Float64() < cls.ErrorShare
		pl.wd.after(work, func() {
			pl.running--
			pl.wd.after(pl.wd.sc.NoteDelay, func() { att.instance.endPlainAttempt(att, failed) })
			pl.startQueued()
		})
	}
}

func millis(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

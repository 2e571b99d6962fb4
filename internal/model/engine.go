package model

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// engine works in passes: what waits when a pass begins is read in it, parts for others' prompts first and the newest of
// them before the others, then everybody who writes gets the tokens of one event, and all events leave at the pass's end.
// Without writers a pass is one step.
type engine struct {
	wd      *world
	replica steer.Replica
	// index counts the engines from 0.
	index int
	// queue holds what has no slot or no memory yet, parts what is to be read, writers what is written.
	queue   []*run
	parts   []*part
	writers []*run
	// slots and tokens are what is taken.
	slots  int
	tokens int64
	busy   bool
}

// run is one request at the engine that answers it.
type run struct {
	eng      *engine
	instance *instance
	send     steer.Send
	// call is the request that it answers.
	call *call
	// unread counts the parts that are not read yet.
	unread  int
	parts   []*part
	tickets []ticket
	context int64
	tokens  int64
	events  int
	cut     bool
	admit   bool
}

// ticket is memory that a helper sets aside.
type ticket struct {
	eng    *engine
	tokens int64
}

// part is what one engine reads of a prompt.
type part struct {
	eng  *engine
	run  *run
	help bool
	left decl.Reading
}

// arrive takes a request, which waits where no slot or memory is free.
func (en *engine) arrive(rn *run) {
	if rn.cut {
		return
	}
	en.queue = append(en.queue, rn)
	en.admitAll()
}

func (en *engine) admitAll() {
	for len(en.queue) > 0 {
		rn := en.queue[0]
		if en.slots >= en.wd.sc.Engine.Slots || en.tokens+rn.tokens > en.wd.sc.Engine.Memory {
			return
		}
		en.queue = en.queue[1:]
		rn.admit = true
		en.slots++
		en.tokens += rn.tokens
		for _, pt := range rn.parts {
			pt.eng.read(pt)
		}
	}
}

func (en *engine) read(pt *part) {
	en.parts = append(en.parts, pt)
	if !en.busy {
		en.pass()
	}
}

// pass begins the next pass, if there is anything to do.
func (en *engine) pass() {
	figs := &en.wd.sc.Engine
	if len(en.parts) == 0 && len(en.writers) == 0 {
		en.busy = false
		return
	}
	en.busy = true
	steps, length := 1.0, 0.0
	if len(en.writers) > 0 {
		var contexts int64
		for _, rn := range en.writers {
			contexts += rn.context
		}
		steps = float64(figs.Stride)
		length = steps * figs.StepTime(len(en.writers), contexts)
	} else {
		length = figs.Step
	}
	var done []*part
	for _, pt := range en.inOrder() {
		if steps <= 0 {
			break
		}
		share := 1.0
		if pt.left.Steps > steps {
			share = steps / pt.left.Steps
		}
		length += pt.left.Time * share
		steps -= pt.left.Steps * share
		pt.left = pt.left.Times(1 - share)
		if share == 1 {
			done = append(done, pt)
		}
	}
	en.wd.after(length*en.slowness(), func() { en.passed(done) })
}

// slowness is how many times longer than declared the engine takes now.
func (en *engine) slowness() float64 {
	times := 1.0
	at := en.wd.now.Sub(epoch).Seconds()
	for _, slow := range en.wd.sc.Slowdowns {
		if at >= slow.At && at < slow.At+slow.For && float64(en.index) < slow.Share*float64(en.wd.sc.Engines) {
			times = max(times, slow.Times)
		}
	}
	return times
}

// inOrder lists the parts as they are read.
func (en *engine) inOrder() []*part {
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

// passed ends a pass: its events leave, and what was read begins to be written.
func (en *engine) passed(done []*part) {
	for _, rn := range slices.Clone(en.writers) {
		en.event(rn)
	}
	for _, pt := range done {
		en.parts = slices.DeleteFunc(en.parts, func(other *part) bool { return other == pt })
		pt.run.unread--
		if pt.run.unread == 0 && !pt.run.cut {
			first := pt.run.eng
			first.writers = append(first.writers, pt.run)
			first.event(pt.run)
			if first != en && !first.busy {
				first.pass()
			}
		}
	}
	en.pass()
}

// event sends the next event of an answer and ends it with the last.
func (en *engine) event(rn *run) {
	if rn.cut {
		return
	}
	rn.events--
	last := rn.events <= 0
	en.wd.after(en.wd.sc.NoteDelay, func() { rn.instance.event(rn, last) })
	if last {
		en.drop(rn)
	}
}

// drop ends a request at its engines.
func (en *engine) drop(rn *run) {
	rn.cut = true
	en.queue = slices.DeleteFunc(en.queue, func(other *run) bool { return other == rn })
	en.writers = slices.DeleteFunc(en.writers, func(other *run) bool { return other == rn })
	for _, tk := range rn.tickets {
		tk.eng.tokens -= tk.tokens
		tk.eng.admitAll()
	}
	rn.tickets = nil
	for _, pt := range rn.parts {
		pt.eng.parts = slices.DeleteFunc(pt.eng.parts, func(other *part) bool { return other == pt })
	}
	if rn.admit {
		rn.admit = false
		en.slots--
		en.tokens -= rn.tokens
		en.admitAll()
	}
}

// plain is a replica of the plain service.
type plain struct {
	wd      *world
	replica steer.Replica
	queue   []*run
	running int
}

func (pl *plain) arrive(rn *run) {
	pl.queue = append(pl.queue, rn)
	pl.next()
}

func (pl *plain) next() {
	for pl.running < pl.wd.sc.PlainSlots && len(pl.queue) > 0 {
		rn := pl.queue[0]
		pl.queue = pl.queue[1:]
		if rn.cut {
			continue
		}
		pl.running++
		cls := rn.call.class
		work := cls.Work * (0.5 + pl.wd.random.ExpFloat64()/2)
		failed := pl.wd.random.Float64() < cls.ErrorShare
		pl.wd.after(work, func() {
			pl.running--
			pl.wd.after(pl.wd.sc.NoteDelay, func() { rn.instance.answered(rn, failed) })
			pl.next()
		})
	}
}

func millis(figure float64) time.Duration { return time.Duration(figure * float64(time.Millisecond)) }

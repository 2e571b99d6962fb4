package model

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// The times of the relay's shell, by which a reducer is told that time passes.
const (
	tickPeriod    = 200.0
	summaryPeriod = 1000.0
)

// instance is one run of an instance.
type instance struct {
	wd    *world
	name  string
	state *steer.State
	calls map[steer.RequestID]*try
	next  steer.RequestID
	dead  bool
}

// try is one attempt of a caller at an instance.
type try struct {
	call *call
	id   steer.RequestID
	run  *run
	// begun tells that the caller has some of the answer; last is when the last event came.
	begun bool
	last  time.Time
	pause time.Duration
	until time.Time
	over  bool
}

// reduce hands an event to the reducer and carries out its effects.
func (in *instance) reduce(ev steer.Event) {
	if in.dead {
		return
	}
	effects := append([]steer.Effect{}, in.state.Reduce(in.wd.now, ev)...)
	for _, eff := range effects {
		in.perform(eff)
	}
}

func (in *instance) perform(eff steer.Effect) {
	switch eff := eff.(type) {
	case steer.Send:
		in.send(eff)
	case steer.Abort:
		in.wd.after(0, func() { in.abort(eff.ID) })
	case steer.Finish:
		if tr, ok := in.calls[eff.ID]; ok {
			delete(in.calls, eff.ID)
			in.wd.after(in.wd.sc.NoteDelay, func() { tr.call.finished(tr, eff) })
		}
	case steer.SendNote:
		in.wd.tell(in, eff)
	case steer.Wake:
		in.wd.after(ms(eff.After), func() { in.reduce(steer.Ticked{}) })
	case steer.QueryLoad:
		for _, rep := range eff.Replicas {
			in.wd.after(2*in.wd.sc.NoteDelay, func() { in.surveyed(rep) })
		}
	}
}

func (in *instance) surveyed(rep steer.Replica) {
	en := in.wd.engines[rep.Name]
	if en == nil {
		return
	}
	in.reduce(steer.LoadReported{Replica: rep.Name, Running: en.slots + len(en.queue), Used: en.tokens})
}

// send brings an attempt to its replica.
func (in *instance) send(eff steer.Send) {
	tr := in.calls[eff.ID]
	rn := &run{instance: in, send: eff, call: tr.call}
	tr.run = rn
	tr.last, tr.pause = time.Time{}, 0
	if pl, ok := in.wd.plains[eff.Replica.Name]; ok {
		in.wd.after(in.wd.sc.NoteDelay, func() { pl.arrive(rn) })
		return
	}
	en := in.wd.engines[eff.Replica.Name]
	rn.eng = en
	rn.events = tr.call.events
	rn.tokens = tr.call.prompt + tr.call.answer
	count := len(eff.Helpers) + 1
	rn.context = tr.call.prompt / int64(count)
	rn.unread = count
	whole := in.wd.sc.Engine.Reading(tr.call.prompt, count)
	rn.parts = append(rn.parts, &part{eng: en, run: rn, left: whole})
	for _, helper := range eff.Helpers {
		rn.tokens -= helper.Tokens
		if helper.Tokens > 0 {
			rn.tickets = append(rn.tickets, ticket{in.wd.engines[helper.Name], helper.Tokens})
		}
		rn.parts = append(rn.parts, &part{eng: in.wd.engines[helper.Name], run: rn, help: true, left: whole})
	}
	if len(rn.tickets) == 0 {
		in.wd.after(in.wd.sc.NoteDelay, func() { en.arrive(rn) })
		return
	}
	in.wd.after(in.wd.sc.NoteDelay, func() { in.reserve(rn) })
}

// reserve sets memory aside at the helpers, after which the request is sent.
func (in *instance) reserve(rn *run) {
	for i, tk := range rn.tickets {
		if tk.eng.tokens+tk.tokens <= in.wd.sc.Engine.Memory {
			tk.eng.tokens += tk.tokens
			continue
		}
		full := tk.eng.replica.Name
		for _, held := range rn.tickets[:i] {
			held.eng.tokens -= held.tokens
		}
		rn.tickets = nil
		in.wd.after(in.wd.sc.NoteDelay, func() { in.notRun(rn, full) })
		return
	}
	in.wd.after(2*in.wd.sc.NoteDelay, func() { rn.eng.arrive(rn) })
}

// notRun ends an attempt for which a helper had no memory.
func (in *instance) notRun(rn *run, full string) {
	if tr, ok := in.calls[rn.send.ID]; ok && tr.run == rn && !rn.cut {
		rn.cut = true
		in.reduce(steer.AttemptEnded{ID: tr.id, Attempt: rn.send.Attempt, Result: steer.ResultNotRun, FaultAt: full})
	}
}

// event passes an event of a stream on to its caller.
func (in *instance) event(rn *run, last bool) {
	tr, ok := in.calls[rn.send.ID]
	if in.dead || !ok || tr.run != rn {
		return
	}
	now := in.wd.now
	if tr.last.IsZero() {
		in.reduce(steer.Began{ID: tr.id, Attempt: rn.send.Attempt})
	} else {
		pass := now.Sub(tr.last)
		tr.pause = max(tr.pause, pass)
		in.reduce(steer.Progressed{ID: tr.id, Attempt: rn.send.Attempt, Pause: pass})
	}
	tr.last = now
	tr.begun = true
	tr.call.event()
	if last {
		in.reduce(steer.AttemptEnded{ID: tr.id, Attempt: rn.send.Attempt, Result: steer.ResultDone, Begun: true, Pause: tr.pause, PauseAt: now})
	}
}

// answered ends a plain call's attempt.
func (in *instance) answered(rn *run, failed bool) {
	tr, ok := in.calls[rn.send.ID]
	if in.dead || !ok || tr.run != rn || rn.cut {
		return
	}
	ev := steer.AttemptEnded{ID: tr.id, Attempt: rn.send.Attempt, Result: steer.ResultDone, Begun: true}
	if failed {
		ev.Result, ev.Status, ev.Begun = steer.ResultAnswered, 500, false
	} else {
		in.reduce(steer.Began{ID: tr.id, Attempt: rn.send.Attempt})
		tr.call.event()
	}
	in.reduce(ev)
}

// abort ends the attempt under way.
func (in *instance) abort(id steer.RequestID) {
	tr, ok := in.calls[id]
	if !ok || tr.run == nil {
		return
	}
	if tr.run.eng != nil {
		tr.run.eng.drop(tr.run)
	}
	tr.run.cut = true
	in.reduce(steer.AttemptEnded{ID: id, Attempt: tr.run.send.Attempt, Result: steer.ResultCancelled, Begun: tr.begun})
}

// expire ends the attempt that reaches its deadline.
func (in *instance) expire(tr *try) {
	if in.calls[tr.id] != tr || in.dead || tr.run == nil || tr.run.cut {
		return
	}
	if tr.run.eng != nil {
		tr.run.eng.drop(tr.run)
	}
	tr.run.cut = true
	in.reduce(steer.AttemptEnded{ID: tr.id, Attempt: tr.run.send.Attempt, Result: steer.ResultExpired, Begun: tr.begun})
}

// tick tells the reducer that time passes, as the relay does.
func (in *instance) tick() {
	if in.dead {
		return
	}
	in.reduce(steer.Ticked{})
	in.wd.after(tickPeriod, in.tick)
}

func (in *instance) summarize() {
	if in.dead {
		return
	}
	in.reduce(steer.Summarized{})
	in.wd.after(summaryPeriod, in.summarize)
}

func ms(period time.Duration) float64 { return float64(period) / float64(time.Millisecond) }

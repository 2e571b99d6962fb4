package model

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// Periods of the events by which the relay tells a reducer that time passes.
const (
	// tickPeriod is the period of steer.Ticked in ms.
	tickPeriod = 200.0
	// summaryPeriod is the period of steer.Summarized in ms.
	summaryPeriod = 1000.0
)

// instance is one Instance from its start until it is stopped; a restart creates a new one.
type instance struct {
	wd *world
	// index is the number of the instance, from 0.
	index    int
	name     string
	state    *steer.State
	requests map[steer.RequestID]*request
	lastID   steer.RequestID
	stopped  bool
	// linkFreeAt is when the notes sent so far have left the instance.
	linkFreeAt time.Time
}

// request is one request of a caller to an instance.
type request struct {
	call    *call
	id      steer.RequestID
	attempt *attempt
	// begun is true once the caller received an event.
	begun bool
	// last is when the latest event of the current attempt arrived.
	last time.Time
	// pause is the longest time between two events of the current attempt.
	pause    time.Duration
	deadline time.Time
	done     bool
}

// reduce passes an event to the reducer and performs the effects that it returns.
func (in *instance) reduce(ev steer.Event) {
	if in.stopped {
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
		if req, ok := in.requests[eff.ID]; ok {
			delete(in.requests, eff.ID)
			in.wd.after(in.wd.sc.NoteDelay, func() { req.call.requestFinished(req, eff) })
		}
	case steer.SendNote:
		in.wd.deliverNote(in, eff)
	case steer.Wake:
		in.wd.after(ms(eff.After), func() { in.reduce(steer.Ticked{}) })
	case steer.QueryLoad:
		for _, rep := range eff.Replicas {
			in.wd.after(2*in.wd.sc.NoteDelay, func() { in.reportLoad(rep) })
		}
	}
}

func (in *instance) reportLoad(rep steer.Replica) {
	en := in.wd.engines[rep.Name]
	if en == nil {
		return
	}
	in.reduce(steer.LoadReported{Replica: rep.Name, Running: en.usedSlots + len(en.queue), Used: en.usedTokens})
}

// send sends an attempt to its replica.
func (in *instance) send(eff steer.Send) {
	req := in.requests[eff.ID]
	att := &attempt{instance: in, send: eff, call: req.call}
	req.attempt = att
	req.last, req.pause = time.Time{}, 0
	if pl, ok := in.wd.plains[eff.Replica.Name]; ok {
		in.wd.after(in.wd.sc.NoteDelay, func() { pl.enqueue(att) })
		return
	}
	en := in.wd.engines[eff.Replica.Name]
	att.eng = en
	att.events = req.call.events
	att.tokens = req.call.prompt + req.call.answer
	count := len(eff.Helpers) + 1
	att.context = req.call.prompt / int64(count)
	att.unread = count
	whole := in.wd.sc.Engine.PrefillWork(req.call.prompt, count)
	att.parts = append(att.parts, &part{eng: en, attempt: att, left: whole})
	for _, helper := range eff.Helpers {
		att.tokens -= helper.Tokens
		if helper.Tokens > 0 {
			att.reservations = append(att.reservations, reservation{in.wd.engines[helper.Name], helper.Tokens})
		}
		att.parts = append(att.parts, &part{eng: in.wd.engines[helper.Name], attempt: att, help: true, left: whole})
	}
	if len(att.reservations) == 0 {
		in.wd.after(in.wd.sc.NoteDelay, func() { en.enqueue(att) })
		return
	}
	in.wd.after(in.wd.sc.NoteDelay, func() { in.reserve(att) })
}

// reserve reserves memory at the helpers and then sends the attempt to its engine. If a helper is full, it releases the
// other reservations and the attempt fails.
func (in *instance) reserve(att *attempt) {
	for i, rsv := range att.reservations {
		if rsv.eng.usedTokens+rsv.tokens <= in.wd.sc.Engine.Memory {
			rsv.eng.usedTokens += rsv.tokens
			continue
		}
		full := rsv.eng.replica.Name
		for _, held := range att.reservations[:i] {
			held.eng.usedTokens -= held.tokens
		}
		att.reservations = nil
		in.wd.after(in.wd.sc.NoteDelay, func() { in.reservationFailed(att, full) })
		return
	}
	in.wd.after(2*in.wd.sc.NoteDelay, func() { att.eng.enqueue(att) })
}

// reservationFailed ends an attempt for which the helper named full had no memory.
func (in *instance) reservationFailed(att *attempt, full string) {
	if req, ok := in.requests[att.send.ID]; ok && req.attempt == att && !att.ended {
		att.ended = true
		in.reduce(steer.AttemptEnded{ID: req.id, Attempt: att.send.Attempt, Result: steer.ResultNotRun, FaultyReplica: full})
	}
}

// forwardEvent forwards an event of a stream to its caller.
func (in *instance) forwardEvent(att *attempt, last bool) {
	req, ok := in.requests[att.send.ID]
	if in.stopped || !ok || req.attempt != att {
		return
	}
	now := in.wd.now
	if req.last.IsZero() {
		in.reduce(steer.Began{ID: req.id, Attempt: att.send.Attempt})
	} else {
		pass := now.Sub(req.last)
		req.pause = max(req.pause, pass)
		in.reduce(steer.Progressed{ID: req.id, Attempt: att.send.Attempt, Pause: pass})
	}
	req.last = now
	req.begun = true
	req.call.recordEvent()
	if last {
		in.reduce(steer.AttemptEnded{ID: req.id, Attempt: att.send.Attempt, Result: steer.ResultDone, Begun: true, Pause: req.pause, PauseAt: now})
	}
}

// endPlainAttempt ends an attempt of a plain call.
func (in *instance) endPlainAttempt(att *attempt, failed bool) {
	req, ok := in.requests[att.send.ID]
	if in.stopped || !ok || req.attempt != att || att.ended {
		return
	}
	ev := steer.AttemptEnded{ID: req.id, Attempt: att.send.Attempt, Result: steer.ResultDone, Begun: true}
	if failed {
		ev.Result, ev.Status, ev.Begun = steer.ResultAnswered, 500, false
	} else {
		in.reduce(steer.Began{ID: req.id, Attempt: att.send.Attempt})
		req.call.recordEvent()
	}
	in.reduce(ev)
}

// abort cancels the request's current attempt.
func (in *instance) abort(id steer.RequestID) {
	req, ok := in.requests[id]
	if !ok || req.attempt == nil {
		return
	}
	if req.attempt.eng != nil {
		req.attempt.eng.remove(req.attempt)
	}
	req.attempt.ended = true
	in.reduce(steer.AttemptEnded{ID: id, Attempt: req.attempt.send.Attempt, Result: steer.ResultCancelled, Begun: req.begun})
}

// expire ends the request's current attempt at its deadline.
func (in *instance) expire(req *request) {
	if in.requests[req.id] != req || in.stopped || req.attempt == nil || req.attempt.ended {
		return
	}
	if req.attempt.eng != nil {
		req.attempt.eng.remove(req.attempt)
	}
	req.attempt.ended = true
	in.reduce(steer.AttemptEnded{ID: req.id, Attempt: req.attempt.send.Attempt, Result: steer.ResultExpired, Begun: req.begun})
}

// tick passes steer.ListConfirmed and steer.Ticked to the reducer at every tickPeriod, as the relay does.
func (in *instance) tick() {
	if in.stopped {
		return
	}
	in.reduce(steer.ListConfirmed{})
	in.reduce(steer.Ticked{})
	in.wd.after(tickPeriod, in.tick)
}

func (in *instance) summarize() {
	if in.stopped {
		return
	}
	in.reduce(steer.Summarized{})
	in.wd.after(summaryPeriod, in.summarize)
}

func ms(period time.Duration) float64 { return float64(period) / float64(time.Millisecond) }

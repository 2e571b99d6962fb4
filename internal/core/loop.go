package core

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/pause"
	"dandelionsail.example/dandelionsail/internal/tasks"
)

// eventBacklog is the number of events that can wait for the reducer before Submit blocks.
const eventBacklog = 4096

// Loop runs one State on one goroutine.
type Loop struct {
	state   *State
	events  chan event.Event
	views   chan func(*State)
	perform func(effect.Effect)
	ended   chan struct{}
	// nextTick is the time at which the next tick is due.
	nextTick time.Time
	// pauses notices that the process has stood still.
	pauses pause.Detector
}

// NewLoop returns a loop that hands each effect to perform, which must not block.
func NewLoop(st *State, perform func(effect.Effect)) *Loop {
	return &Loop{
		state:   st,
		events:  make(chan event.Event, eventBacklog),
		views:   make(chan func(*State)),
		perform: perform,
		ended:   make(chan struct{}),
		pauses:  pause.Detector{MaxGap: maxEventGap, MaxWait: maxCatchUp},
	}
}

// Submit queues an event and reports whether it was queued. Events that are still queued when the loop ends are dropped.
func (lp *Loop) Submit(ev event.Event) bool {
	select {
	case lp.events <- ev:
		return true
	case <-lp.ended:
		return false
	}
}

// View runs look on the loop's goroutine and waits for it to return. It reports whether look ran; once the loop has
// ended, it does not.
func (lp *Loop) View(fn func(*State)) bool {
	done := make(chan struct{})
	call := func(st *State) {
		defer close(done)
		defer func() { tasks.Caught("view", recover(), nil) }()
		fn(st)
	}
	select {
	case lp.views <- call:
		<-done
		return true
	case <-lp.ended:
		return false
	}
}

// Run reduces events until the context ends.
func (lp *Loop) Run(ctx context.Context) error {
	defer close(lp.ended)
	tick := time.NewTimer(event.TickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-lp.events:
			lp.reduce(ev)
		case fn := <-lp.views:
			fn(lp.state)
			continue
		case <-tick.C:
			lp.reduce(event.Ticked{})
			lp.nextTick = time.Now().Add(lp.state.TickDelay())
			tick.Reset(lp.state.TickDelay())
			continue
		}
		// The event may have queued work that needs a tick before the next one is due.
		if next := time.Now().Add(lp.state.TickDelay()); next.Before(lp.nextTick) {
			lp.nextTick = next
			tick.Reset(lp.state.TickDelay())
		}
	}
}

// maxEventGap is the time between two events from which on the process has stood still. It is shorter than an instance that
// announces a death waits for this one to acknowledge it.
const maxEventGap = 400 * time.Millisecond

// reduce passes the event to the reducer, after a StoodStill if the process has stood still since the last event.
func (lp *Loop) reduce(ev event.Event) {
	if gap := lp.pauses.Before(time.Now()); gap > 0 {
		lp.reduceOne(event.StoodStill{Gap: gap})
	}
	lp.reduceOne(ev)
	if _, ok := ev.(event.QuarantineReceived); ok {
		lp.pauses.Received(time.Now())
	}
	lp.pauses.After(time.Now())
}

func (lp *Loop) reduceOne(ev event.Event) {
	defer func() { tasks.Caught("reducer", recover(), nil) }()
	for _, eff := range lp.state.Reduce(time.Now(), ev) {
		lp.perform(eff)
	}
}

package core

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// eventBacklog is how many events wait for the reducer before Submit blocks.
const eventBacklog = 4096

// Loop runs one State on one goroutine.
type Loop struct {
	state   *State
	events  chan event.Event
	views   chan func(*State)
	perform func(effect.Effect)
	ended   chan struct{}
	// ticks is when the next tick is due.
	ticks time.Time
}

// NewLoop returns a loop that hands each effect to perform, which must not block.
func NewLoop(st *State, perform func(effect.Effect)) *Loop {
	return &Loop{
		state:   st,
		events:  make(chan event.Event, eventBacklog),
		views:   make(chan func(*State)),
		perform: perform,
		ended:   make(chan struct{}),
	}
}

// Submit queues an event. It returns false if the loop has ended.
func (lp *Loop) Submit(ev event.Event) bool {
	select {
	case lp.events <- ev:
		return true
	case <-lp.ended:
		return false
	}
}

// View runs look on the loop's goroutine and waits for it. It returns false if the loop has ended.
func (lp *Loop) View(look func(*State)) bool {
	done := make(chan struct{})
	wrapped := func(st *State) {
		defer close(done)
		look(st)
	}
	select {
	case lp.views <- wrapped:
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
		case look := <-lp.views:
			look(lp.state)
			continue
		case <-tick.C:
			lp.reduce(event.Ticked{})
			lp.ticks = time.Now().Add(lp.state.Rest())
			tick.Reset(lp.state.Rest())
			continue
		}
		// The event may have brought work that cannot wait for the tick that is due.
		if next := time.Now().Add(lp.state.Rest()); next.Before(lp.ticks) {
			lp.ticks = next
			tick.Reset(lp.state.Rest())
		}
	}
}

func (lp *Loop) reduce(ev event.Event) {
	for _, eff := range lp.state.Reduce(time.Now(), ev) {
		lp.perform(eff)
	}
}

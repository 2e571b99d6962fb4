package tasks

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
)

// catcher receives the panics of this process. While it is nil, panics are not caught, so that tests fail with them.
var catcher atomic.Pointer[Monitor]

// CatchPanics makes the monitor log and count the panics in guarded functions of this process, which then goes on. Serving
// programs call it. Otherwise a panic in a goroutine of its own would end the process with all requests that it holds, and one
// odd entry of a list would do so in all instances at once. What was under way in the goroutine is lost. The reducers' state is
// kept: each event is applied to it by itself, and net/http has always caught panics in events of requests.
func CatchPanics(mo *Monitor) { catcher.Store(mo) }

// Guard returns a function that runs work and catches a panic in it. Each function that runs on a goroutine of its own, or
// from a timer, is guarded.
func Guard(name string, work func()) func() {
	return func() {
		defer func() { Caught(name, recover(), nil) }()
		work()
	}
}

// GuardError is like Guard. The function returns the panic as an error.
func GuardError(name string, work func() error) func() error {
	return func() (err error) {
		defer func() { Caught(name, recover(), &err) }()
		return work()
	}
}

// Caught handles the value that recover returned in a deferred function, and sets err unless that is nil. The name says what
// the function does. If panics are not caught, it panics again.
func Caught(name string, value any, err *error) {
	if value == nil {
		return
	}
	mo := catcher.Load()
	if mo == nil {
		panic(value)
	}
	mo.panicked(name, value, debug.Stack())
	if err != nil {
		*err = fmt.Errorf("tasks: %s panicked: %v; report the stack in the log", name, value)
	}
}

// maxStack is the maximum length of a logged stack in bytes. It has room for the frames from the panic to the start of the
// goroutine.
const maxStack = 8 << 10

func (mo *Monitor) panicked(name string, value any, stack []byte) {
	mo.count("Panics.Count." + name)
	mo.log.Error().Str("Part", name).Str("Panic", fmt.Sprint(value)).Str("Stack", string(stack[:min(len(stack), maxStack)])).Msg("panic caught")
}

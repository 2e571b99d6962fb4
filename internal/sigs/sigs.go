// Package sigs handles the signals of the serving programs. SIGHUP is ignored from before the start of the Go runtime on, where
// the C library is linked. The handlers are installed when the package is initialized, and it imports nothing but a few
// packages of the standard library, so that the other packages are initialized after it: until then, and after a handler is
// removed, a signal has its default action, which ends the process and its open requests.
//
// What each signal does to a serving program:
//
//   - SIGTERM and SIGINT start the drain; further ones change nothing.
//   - SIGHUP is logged and ignored: settings are read at startup only.
//   - SIGPIPE is ignored: a write fails instead. Otherwise the next line of the log would end a process whose log is not
//     read any more.
//   - SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGXCPU, SIGXFSZ and the signals from 35 on are ignored by
//     the Go runtime, which handles all of them.
//   - 32 to 34 belong to the C library. They keep its action, or end the process; package os/signal cannot handle them.
//   - SIGQUIT and SIGABRT write the stacks of all goroutines and end the process, which is what they are sent for.
//   - SIGILL, SIGTRAP, SIGBUS, SIGFPE, SIGSEGV, SIGSTKFLT and SIGSYS report a fault of the program itself. They keep their
//     action too: its memory cannot be trusted after them.
//   - SIGSTOP, SIGTSTP, SIGTTIN and SIGTTOU stop the process until SIGCONT.
package sigs

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
)

// hangups and ends receive the signals from the initialization of the package on.
var hangups, ends = install()

// The causes with which the context of Context ends.
var (
	errTerminated  = errors.New("SIGTERM")
	errInterrupted = errors.New("SIGINT")
)

func install() (hangups, ends chan os.Signal) {
	signal.Ignore(syscall.SIGPIPE)
	hangups, ends = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	return hangups, ends
}

// Restore gives all signals their default actions. Programs that do not serve call it, so that a closed terminal or pipe
// ends them.
func Restore() {
	signal.Reset(syscall.SIGPIPE, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	restoreEarly()
}

// Hangups delivers SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// Context returns a context that ends with the first SIGTERM or SIGINT, whose name is its cause. Further ones have no
// effect, during the drain and until the process has ended.
func Context() context.Context {
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		if <-ends == syscall.SIGINT {
			cancel(errInterrupted)
			return
		}
		cancel(errTerminated)
	}()
	return ctx
}

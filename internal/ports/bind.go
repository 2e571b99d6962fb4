package ports

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/delay"
)

const (
	// bindTimeout is how long Bind tries. It is longer than a predecessor takes to end after its grace period, and than
	// most outgoing connections that were given the port by the kernel last. A starter that would start the process again
	// loses nothing by it.
	bindTimeout = 10 * time.Second
	// minBindPause is the pause after a failed try. It doubles up to maxBindPause.
	minBindPause = 10 * time.Millisecond
	// maxBindPause is the maximum pause.
	maxBindPause = 250 * time.Millisecond
)

// passing holds the errors that may pass without a change of the settings: the port or the address is not free or not there
// yet, or the system has no descriptor or memory.
var passing = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// Bind calls bind until it succeeds, and returns its error if that cannot pass or does not within bindTimeout. report is
// called with the first error that may pass.
func Bind[Socket any](ctx context.Context, report func(err error), bind func() (Socket, error)) (Socket, error) {
	start, pause, reported := time.Now(), minBindPause, false
	for {
		socket, err := bind()
		if err == nil || !mayPass(err) || time.Since(start) >= bindTimeout {
			return socket, err
		}
		if !reported {
			report(err)
			reported = true
		}
		if !delay.For(ctx, pause) {
			return socket, err
		}
		pause = min(2*pause, maxBindPause)
	}
}

// mayPass reports whether the error or one that it wraps is among passing. errors.Is does not look into the cause of an error
// of another type of errorx.
func mayPass(err error) bool {
	for err != nil {
		if slices.ContainsFunc(passing, func(passes error) bool { return errors.Is(err, passes) }) {
			return true
		}
		wrapping := errorx.Cast(err)
		if wrapping == nil {
			return false
		}
		err = wrapping.Cause()
	}
	return false
}

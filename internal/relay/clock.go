package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine booted, including time in suspension. Go's monotonic clock stops during
// suspension, which would extend a token's lifetime by as much.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock nothing proves that the configuration is fresh; 0 is older than any confirmation.
		return 0
	}
	return time.Duration(ts.Nano())
}

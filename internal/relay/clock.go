package relay

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine started, its suspensions included. The runtime's clock stands still while a
// machine is suspended, so that a token's life measured by it would be stretched by as much.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without that clock nothing proves that the configuration is fresh; 0 is older than any confirmation.
		return 0
	}
	return time.Duration(ts.Nano())
}

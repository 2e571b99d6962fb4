// Package steps lets tests step the time of day.
package steps

import (
	"time"
	"unsafe"
)

// nanosecondBits is the number of bits below the seconds in the first word of a time.Time with a monotonic reading.
const nanosecondBits = 30

// Stepped returns the time with its time of day moved by so many seconds and its monotonic clock reading unchanged, as time.Now
// would return it after a step of the clock. The time must have a monotonic clock reading.
func Stepped(at time.Time, seconds int) time.Time {
	*(*uint64)(unsafe.Pointer(&at)) += uint64(seconds) << nanosecondBits
	return at
}

package steer

import (
	"math"
	"time"
)

// Engine figures are float64 milliseconds, which placement adds and compares. Only its results become durations.

func ms(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

// duration converts milliseconds, limited to some 70 years, to a duration. Beyond the range of a duration the result of the conversion would differ by
// machine, and times that it is added to would overflow. NaN becomes 0.
func duration(millis float64) time.Duration {
	nanos := millis * float64(time.Millisecond)
	switch {
	case nanos >= maxDuration:
		return maxDuration
	case nanos <= -maxDuration:
		return -maxDuration
	case math.IsNaN(nanos):
		return 0
	}
	return time.Duration(nanos)
}

// maxDuration is a quarter of the longest duration, so that two add up.
const maxDuration = 1 << 61

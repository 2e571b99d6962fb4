package steer

import "time"

// Engine figures are float64 milliseconds, which placement adds and compares. Only its results become durations.

func ms(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func duration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

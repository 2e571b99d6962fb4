package steer

import "time"

// Engines' figures are in milliseconds as float64, which the placement adds and compares; only its results become durations.

func ms(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func duration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

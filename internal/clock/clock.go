// Package clock turns times into ones whose time of day does not step.
package clock

import "time"

// Steady returns now with the time of day that the clock showed at epoch plus the time that has passed since by the monotonic clock,
// so that a step of the time of day in between has no effect. Both must come from time.Now of one process. It is meant for
// times that are turned into numbers; differences of times need no such care.
func Steady(epoch, now time.Time) time.Time { return epoch.Add(now.Sub(epoch)) }

package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The arithmetic of an engine, from its declared figures. All of it is in milliseconds as float64, which the placement
// adds and compares; only its results become durations.

// readTime is how long one engine reads its part of a prompt that so many engines read together.
func readTime(eng *decl.Engine, prompt int64, engines int) float64 {
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	steps := tokens / float64(eng.Chunk)
	return (tokens/eng.ReadRate + pairs*eng.PairCost + steps*eng.Step) / float64(engines)
}

// stepTime is how long one step takes with the writers and their contexts, in tokens.
func stepTime(eng *decl.Engine, writers int, contexts int64) float64 {
	return eng.Step + float64(writers)*eng.PerWriter + float64(contexts)/1000*eng.PerContext
}

func ms(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

func duration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

package route

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Estimation of a replica's prefill rate. The time to the first token gives only a lower bound, since work of other
// instances may have been done first. The estimate therefore tracks a high quantile of the observations: it rises quickly
// and falls slowly. It takes about thirty answers to detect a replica that has become slow.
const (
	// rateIncrease is the factor applied to the estimate when an observation is above it.
	rateIncrease = 1.16
	// rateDecrease is the factor applied to the estimate when an observation is not above it.
	rateDecrease = 0.96
	// maxRateFactor is the maximum ratio between the estimate and the declared rate, in both directions.
	maxRateFactor = 30
	// minRatePrompt is the shortest prefill, in tokens, that is used as an observation.
	minRatePrompt = 500
	// fixedOverhead is the part of the time to the first token that does not depend on the prompt.
	fixedOverhead = 20 * time.Millisecond
)

// learnPrefillRate updates the prefill rate from an attempt that has received its first token.
func (rep *Replica) learnPrefillRate(at attempt) {
	if rep.pool.service.Kind == decl.KindPlain || at.prompt < minRatePrompt {
		return
	}
	passed := at.firstTokenAt.Sub(at.sentAt) - fixedOverhead
	observed := float64(at.workToFirstToken) / max(passed, time.Millisecond).Seconds()
	declared := rep.pool.service.PrefillTokensPerSecond
	if observed > rep.PrefillRate {
		rep.PrefillRate = min(rep.PrefillRate*rateIncrease, declared*maxRateFactor)
	} else {
		rep.PrefillRate = max(rep.PrefillRate*rateDecrease, declared/maxRateFactor)
	}
	rep.pool.PrefillRate += speedGain * (rep.PrefillRate - rep.pool.PrefillRate)
}

// learnAnswer updates the estimates from an attempt whose answer is complete and has the given number of tokens.
func (rep *Replica) learnAnswer(now time.Time, at attempt, tokens int64) {
	pl := rep.pool
	passed := now.Sub(at.sentAt)
	if pl.samples == 0 {
		pl.AttemptTime = passed
	}
	pl.samples++
	pl.AttemptTime += time.Duration(speedGain * float64(passed-pl.AttemptTime))
	rep.learnSlowdown(passed, at, tokens)
	if pl.service.Kind == decl.KindPlain || at.firstTokenAt.IsZero() || tokens < 2 {
		return
	}
	pl.AnswerShare += speedGain * (float64(tokens)/float64(max(1, at.answer, tokens)) - pl.AnswerShare)
	if decoding := now.Sub(at.firstTokenAt).Seconds(); decoding > 0 {
		pl.DecodeRate += speedGain * (float64(tokens-1)/decoding - pl.DecodeRate)
	}
}

// learnStretch updates the stretch of the attempt's level from the time until its answer was complete or its deadline
// passed.
func (rep *Replica) learnStretch(now time.Time, at attempt) {
	idle := rep.pool.idleTime(at.prompt, at.answer) + fixedOverhead
	rep.pool.stretches[at.level].observe(now, float64(now.Sub(at.sentAt))/float64(idle))
}

// learnSlowdown updates the replica's ratio of the measured time of an answer to the time expected from the declared rates.
func (rep *Replica) learnSlowdown(passed time.Duration, at attempt, tokens int64) {
	expected := fixedOverhead
	if svc := rep.pool.service; svc.Kind != decl.KindPlain {
		expected += seconds(float64(at.workToFirstToken)/svc.PrefillTokensPerSecond + float64(tokens)/svc.DecodeTokensPerSecond)
	}
	ratio := passed.Seconds() / expected.Seconds()
	if rep.Samples == 0 {
		rep.Slowdown = ratio
	}
	rep.Samples++
	rep.Slowdown += slowdownGain * (ratio - rep.Slowdown)
}

package route

import (
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Learning a replica's prefill speed. What an answer's first token shows is a lower bound, since work of other
// instances may have gone first; so the estimate follows a high quantile of what is seen: it goes up quickly, down
// slowly, and a replica that has become slow is known after some thirty answers.
const (
	rateUp   = 1.16
	rateDown = 0.96
	// maxRateFactor bounds how far the estimate may go from the declared speed.
	maxRateFactor = 30
	// minPrompt is the shortest prefill that says something about speed.
	minPrompt = 500
	// overhead is the time to the first token that does not depend on the prompt.
	overhead = 20 * time.Millisecond
)

// learnFirst takes the time to the first token of an attempt.
func (rep *Replica) learnFirst(at attempt) {
	if rep.pool.service.Kind == decl.KindPlain || at.prompt < minPrompt {
		return
	}
	passed := at.answeredAt.Sub(at.at) - overhead
	seen := float64(at.ahead) / max(passed, time.Millisecond).Seconds()
	declared := rep.pool.service.PrefillTokensPerSecond
	if seen > rep.PrefillRate {
		rep.PrefillRate = min(rep.PrefillRate*rateUp, declared*maxRateFactor)
	} else {
		rep.PrefillRate = max(rep.PrefillRate*rateDown, declared/maxRateFactor)
	}
	rep.pool.Prefill += speedGain * (rep.PrefillRate - rep.pool.Prefill)
}

// learnWhole takes an attempt that was answered whole; tokens is the length of its answer.
func (rep *Replica) learnWhole(now time.Time, at attempt, tokens int64) {
	pl := rep.pool
	passed := now.Sub(at.at)
	if pl.samples == 0 {
		pl.Attempt = passed
	}
	pl.samples++
	pl.Attempt += time.Duration(speedGain * float64(passed-pl.Attempt))
	rep.learnSlowdown(passed, at, tokens)
	if pl.service.Kind == decl.KindPlain || at.answeredAt.IsZero() || tokens < 2 {
		return
	}
	pl.AnswerShare += speedGain * (float64(tokens)/float64(max(1, at.answer, tokens)) - pl.AnswerShare)
	if decoding := now.Sub(at.answeredAt).Seconds(); decoding > 0 {
		pl.Decode += speedGain * (float64(tokens-1)/decoding - pl.Decode)
	}
}

// learnStretch takes how long an attempt lasted until its answer was whole or its deadline ended it.
func (rep *Replica) learnStretch(now time.Time, at attempt) {
	idle := rep.pool.idleTime(at.prompt, at.answer) + overhead
	rep.pool.stretches[at.level].add(now, float64(now.Sub(at.at))/float64(idle))
}

func (rep *Replica) learnSlowdown(passed time.Duration, at attempt, tokens int64) {
	expected := overhead
	if svc := rep.pool.service; svc.Kind != decl.KindPlain {
		expected += seconds(float64(at.ahead)/svc.PrefillTokensPerSecond + float64(tokens)/svc.DecodeTokensPerSecond)
	}
	ratio := passed.Seconds() / expected.Seconds()
	if rep.Samples == 0 {
		rep.Slowdown = ratio
	}
	rep.Samples++
	rep.Slowdown += slowdownGain * (ratio - rep.Slowdown)
}

package admit

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// retryBudget bounds the retries of one organisation at all instances together.
var retryBudget = budget.Rule{Ratio: 0.1, Slack: 60, Window: 10 * time.Second}

// listLag is the time within which a change of the platform's list of instances reaches an instance.
const listLag = 5 * time.Second

// account tracks the use of one organisation's limits on this instance.
type account struct {
	// requestBucket is the level of the token bucket that limits the request rate, in requests.
	requestBucket float64
	// tokenBucket is the level of the token bucket that limits the rate of prompt and answer tokens.
	tokenBucket float64
	// refilledAt is when both buckets were last refilled.
	refilledAt time.Time
	// limited is the limits that were in force then.
	limited          decl.Limits
	requestsInFlight int64
	tokensInFlight   int64
	// retries is what this instance may use of the organisation's retry budget.
	retries *budget.Allowance
	// offeredRequests counts the requests offered, refused ones included, with exponential decay.
	offeredRequests float64
	// offeredTokens counts the tokens offered, refused ones included, with exponential decay.
	offeredTokens float64
	// offeredAt is the time up to which both counts are decayed.
	offeredAt time.Time
	// share is the share of the limits that was allocated to this instance, from 0 to 1.
	share float64
	// shareUntil is when share expires.
	shareUntil time.Time
}

// Admit charges a request to the organisation's limits, or returns why it is refused. Each admitted request needs a
// Release.
func (st *State) Admit(now time.Time, name string, org decl.Organisation, tokens int64) *effect.Refusal {
	acc, share := st.account(now, name, org.Limits)
	lim := org.Limits
	acc.recordOffered(now, tokens, st.DemandPeriod())
	if wait := acc.wait(lim, tokens, share); wait > 0 {
		return limitRefusal(wait, "slow down to the declared rate")
	}
	if lim.RequestsInFlight > 0 && float64(acc.requestsInFlight) >= math.Ceil(float64(lim.RequestsInFlight)*share) {
		return limitRefusal(time.Second, "wait for earlier requests to end")
	}
	if lim.TokensInFlight > 0 && acc.tokensInFlight > 0 && float64(acc.tokensInFlight+tokens) > float64(lim.TokensInFlight)*share {
		return limitRefusal(time.Second, "wait for earlier prompts to end")
	}
	acc.requestBucket--
	acc.tokenBucket -= float64(tokens)
	acc.requestsInFlight++
	acc.tokensInFlight += tokens
	acc.retries.CountRequest(now)
	return nil
}

func limitRefusal(wait time.Duration, remedy string) *effect.Refusal {
	return &effect.Refusal{
		Reason:     effect.ReasonLimit,
		RunState:   effect.NotRun,
		RetryAfter: wait,
		Remedy:     remedy + ", or ask the operators to raise the organisation's Limits",
	}
}

// account returns the organisation's account, with its buckets refilled up to now, and this instance's share of the
// organisation's limits.
func (st *State) account(now time.Time, name string, lim decl.Limits) (acc *account, share float64) {
	acc, ok := st.orgs[name]
	if !ok {
		acc = &account{refilledAt: now, retries: budget.NewAllowance(retryBudget)}
		st.orgs[name] = acc
	}
	share = st.share(now, acc)
	// A rate that was not limited before starts with a full bucket: what was admitted without a limit does not count.
	if acc.limited.RequestsPerSecond == 0 {
		acc.requestBucket = requestBurst(lim, share)
	}
	if acc.limited.TokensPerSecond == 0 {
		acc.tokenBucket = burst(lim.TokensPerSecond, share)
	}
	acc.limited = lim
	passed := now.Sub(acc.refilledAt)
	acc.requestBucket = min(acc.requestBucket+passed.Seconds()*lim.RequestsPerSecond*share, requestBurst(lim, share))
	acc.tokenBucket = min(acc.tokenBucket+passed.Seconds()*lim.TokensPerSecond*share, burst(lim.TokensPerSecond, share))
	acc.refilledAt = now
	return acc, share
}

// Burst sizes. Requests are not spread over the instances in strict rotation. If the burst were only an instance's share
// of one second of the limit, an organisation well within its limits would be refused whenever some of its requests
// reach the same instance. The sustained rate stays the declared one.
const (
	// burstFactor is the burst of an instance as a multiple of its share of one second of the limit.
	burstFactor = 3
	// minRequestBurst is the minimum burst in requests, unless one second of the whole limit is less.
	minRequestBurst = 4
)

// burst returns the bucket size of an instance with the share of the rate, at most one second of the whole rate.
func burst(rate, share float64) float64 {
	return rate * min(1, burstFactor*share)
}

// requestBurst returns the size of the request bucket. It is at least 1, since a smaller bucket would never admit a
// request.
func requestBurst(lim decl.Limits, share float64) float64 {
	return max(1, burst(lim.RequestsPerSecond, share), min(minRequestBurst, lim.RequestsPerSecond))
}

// wait returns the time until the rate limits admit the request, 0 if they admit it now. A request with more tokens than
// the bucket can hold is admitted when the bucket is full, and leaves it below zero.
func (acc *account) wait(lim decl.Limits, tokens int64, share float64) time.Duration {
	var seconds float64
	if lim.RequestsPerSecond > 0 && acc.requestBucket < 1 {
		seconds = (1 - acc.requestBucket) / (lim.RequestsPerSecond * share)
	}
	if lim.TokensPerSecond > 0 {
		need := min(float64(tokens), burst(lim.TokensPerSecond, share))
		seconds = max(seconds, (need-acc.tokenBucket)/(lim.TokensPerSecond*share))
	}
	return time.Duration(seconds * float64(time.Second))
}

// Release returns the in-flight quota that Admit took for a request. The rate limits and the retry budget stay charged.
func (st *State) Release(name string, tokens int64) {
	acc, ok := st.orgs[name]
	if !ok {
		return
	}
	acc.requestsInFlight--
	acc.tokensInFlight -= tokens
}

// InFlight returns the requests of the organisation that were admitted and not released, and the sum of their tokens.
func (st *State) InFlight(name string) (requests, tokens int64) {
	acc, ok := st.orgs[name]
	if !ok {
		return 0, 0
	}
	return acc.requestsInFlight, acc.tokensInFlight
}

// Retry charges one retry to the organisation's retry budget and returns on what counts it was decided, and whether the budget
// allowed it. Each retry that was charged needs one SettleRetry or ReleaseRetry.
func (st *State) Retry(now time.Time, name string) (use budget.Use, allowed bool) {
	acc, ok := st.orgs[name]
	if !ok {
		return budget.Use{}, false
	}
	return acc.retries.Take(now, st.Division.Part(now))
}

// RetryStillAllowed returns whether a charged retry that has waited may go ahead now.
func (st *State) RetryStillAllowed(now time.Time, name string) bool {
	acc, ok := st.orgs[name]
	if !ok {
		return false
	}
	_, allowed := acc.retries.StillAllowed(now, st.Division.Part(now))
	return allowed
}

// SettleRetry ends a charged retry that has certainly arrived by now, if it ever does.
func (st *State) SettleRetry(now time.Time, name string) {
	if acc, ok := st.orgs[name]; ok {
		acc.retries.Settle(now)
	}
}

// ReleaseRetry ends a charged retry that was never sent.
func (st *State) ReleaseRetry(name string) {
	if acc, ok := st.orgs[name]; ok {
		acc.retries.Release()
	}
}

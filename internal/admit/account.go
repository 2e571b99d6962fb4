package admit

import (
	"math"
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Retry budget of one organisation.
const (
	// retryShare is how many retries each admitted request earns.
	retryShare = 0.1
	// retryBurst bounds what is saved up.
	retryBurst = 10
)

// account is what one organisation has used.
type account struct {
	requests float64
	tokens   float64
	filled   time.Time
	inFlight int64
	tokensIn int64
	retries  float64
	// offeredRequests and offeredTokens are what it asked for lately, refused or not, up to offeredAt.
	offeredRequests float64
	offeredTokens   float64
	offeredAt       time.Time
	// share is the part of the limits that this instance was told, in force until shareUntil.
	share      float64
	shareUntil time.Time
}

// Admit takes a request into the organisation's limits, or says why not. Every admitted request needs a Release.
func (st *State) Admit(now time.Time, name string, org decl.Organisation, tokens int64) *effect.Refusal {
	acc, share := st.account(now, name, org.Limits)
	lim := org.Limits
	acc.offer(now, tokens, st.TellPeriod())
	if wait := acc.wait(lim, tokens, share); wait > 0 {
		return limited(wait, "slow down to the declared rate")
	}
	if lim.RequestsInFlight > 0 && float64(acc.inFlight) >= math.Ceil(float64(lim.RequestsInFlight)*share) {
		return limited(time.Second, "wait for earlier requests to end")
	}
	if lim.TokensInFlight > 0 && acc.tokensIn > 0 && float64(acc.tokensIn+tokens) > float64(lim.TokensInFlight)*share {
		return limited(time.Second, "wait for earlier prompts to end")
	}
	acc.requests--
	acc.tokens -= float64(tokens)
	acc.inFlight++
	acc.tokensIn += tokens
	acc.retries = min(acc.retries+retryShare, retryBurst)
	return nil
}

func limited(wait time.Duration, remedy string) *effect.Refusal {
	return &effect.Refusal{
		Reason:     effect.ReasonLimit,
		Ran:        effect.NotRun,
		RetryAfter: wait,
		Remedy:     remedy + ", or ask the operators to raise the organisation's Limits",
	}
}

// account returns the organisation's account, filled up to now, and its share of the limits on this instance.
func (st *State) account(now time.Time, name string, lim decl.Limits) (acc *account, share float64) {
	acc, ok := st.orgs[name]
	if !ok {
		acc = &account{filled: now, retries: retryBurst}
		st.orgs[name] = acc
	}
	share = st.share(now, acc)
	if !ok {
		acc.requests = requestBurst(lim, share)
		acc.tokens = burst(lim.TokensPerSecond, share)
	}
	passed := now.Sub(acc.filled)
	acc.requests = min(acc.requests+passed.Seconds()*lim.RequestsPerSecond*share, requestBurst(lim, share))
	acc.tokens = min(acc.tokens+passed.Seconds()*lim.TokensPerSecond*share, burst(lim.TokensPerSecond, share))
	acc.filled = now
	return acc, share
}

// An instance lets pass at once burstShares times its share of one second's worth, and minBurst requests of it at
// least. Requests do not come to the instances in turn: with one share, an organisation that keeps well within its
// limits would be refused whenever some of its requests meet at one instance. The sustained rate stays the declared
// one.
const (
	burstShares = 3
	minBurst    = 4
)

func burst(rate, share float64) float64 {
	return rate * min(1, burstShares*share)
}

// requestBurst is never less than the one request that could otherwise never go.
func requestBurst(lim decl.Limits, share float64) float64 {
	return max(1, burst(lim.RequestsPerSecond, share), min(minBurst, lim.RequestsPerSecond))
}

// wait returns how long the rates make the request wait, 0 if it may go. A request larger than the whole bucket goes
// when the bucket is full, and leaves a debt.
func (acc *account) wait(lim decl.Limits, tokens int64, share float64) time.Duration {
	var seconds float64
	if lim.RequestsPerSecond > 0 && acc.requests < 1 {
		seconds = (1 - acc.requests) / (lim.RequestsPerSecond * share)
	}
	if lim.TokensPerSecond > 0 {
		need := min(float64(tokens), burst(lim.TokensPerSecond, share))
		seconds = max(seconds, (need-acc.tokens)/(lim.TokensPerSecond*share))
	}
	return time.Duration(seconds * float64(time.Second))
}

// Release gives back what Admit took.
func (st *State) Release(name string, tokens int64) {
	acc, ok := st.orgs[name]
	if !ok {
		return
	}
	acc.inFlight--
	acc.tokensIn -= tokens
}

// InFlight returns what the organisation has admitted and not released.
func (st *State) InFlight(name string) (requests, tokens int64) {
	acc, ok := st.orgs[name]
	if !ok {
		return 0, 0
	}
	return acc.inFlight, acc.tokensIn
}

// Retry takes one retry from the organisation's budget, or reports false.
func (st *State) Retry(name string) bool {
	acc, ok := st.orgs[name]
	if !ok || acc.retries < 1 {
		return false
	}
	acc.retries--
	return true
}

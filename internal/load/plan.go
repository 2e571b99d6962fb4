package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// PlannedRequest is one planned request.
type PlannedRequest struct {
	// At is the time to send it, from the start of the run.
	At           time.Duration
	Organisation string
	// Plain marks a call of the plain service. PromptTokens to Session apply to completions only.
	Plain bool
	// Key is the idempotency key of a plain call.
	Key          uint64
	PromptTokens int64
	Answer       int64
	// Content is the seed of the prompt.
	Content uint64
	// Prefix is the number of tokens that the prompt shares with the others of its Session; 0 for none.
	Prefix  int64
	Session uint64
	// Deadline is the time allowed for the request.
	Deadline time.Duration
	// Instance selects the Instance, modulo their number.
	Instance uint64
}

// planner draws the requests of a run. Each kind of request has a random source of its own, so that the others stay the
// same if one kind changes.
type planner struct {
	sc   *Scenario
	seed uint64
	plan []PlannedRequest
}

// Plan returns the requests of a run in the order of time. The same scenario and seed give the same requests. Without the
// long prompts the other requests are unchanged.
func Plan(sc *Scenario, seed uint64, withLong bool) []PlannedRequest {
	pl := &planner{sc: sc, seed: seed}
	pl.completions(withLong)
	pl.floods()
	pl.plain()
	slices.SortStableFunc(pl.plan, func(a, b PlannedRequest) int { return int(a.At - b.At) })
	return pl.plan
}

// Streams of the random sources.
const (
	streamMix = iota + 1
	streamPlain
	streamFlood
)

func (pl *planner) completions(withLong bool) {
	random := rand.New(rand.NewPCG(pl.seed, streamMix))
	for _, at := range pl.times(random, pl.sc.Rate()) {
		req := pl.completion(random, at, pl.organisation(random))
		if withLong || req.PromptTokens <= pl.sc.Mix.SplitTokens {
			pl.plan = append(pl.plan, req)
		}
	}
}

// floods adds the requests that Organisations send in excess of their share.
func (pl *planner) floods() {
	for number, org := range pl.sc.Organisations {
		if org.Flood <= 1 {
			continue
		}
		random := rand.New(rand.NewPCG(pl.seed, streamFlood+uint64(number)))
		for _, at := range pl.times(random, pl.sc.Rate()*org.Share*(org.Flood-1)) {
			pl.plan = append(pl.plan, pl.completion(random, at, number))
		}
	}
}

func (pl *planner) plain() {
	random := rand.New(rand.NewPCG(pl.seed, streamPlain))
	for _, at := range pl.times(random, pl.sc.Plain.PerSecond) {
		pl.plan = append(pl.plan, PlannedRequest{
			At:           at,
			Organisation: pl.sc.Organisations[pl.organisation(random)].Name,
			Plain:        true,
			Key:          random.Uint64(),
			Deadline:     pl.sc.Scaled(pl.sc.Plain.Deadline),
			Instance:     random.Uint64(),
		})
	}
}

// times draws the times of a Poisson process with bursts. perSecond is the mean rate per second of the scenario.
func (pl *planner) times(random *rand.Rand, perSecond float64) []time.Duration {
	if perSecond <= 0 {
		return nil
	}
	end := pl.sc.Scaled(pl.sc.Mix.Duration)
	rate := perSecond * pl.sc.Scale
	peak := rate * max(1, pl.sc.Mix.BurstFactor)
	var times []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= end {
			return times
		}
		if random.Float64()*peak < rate*pl.burst(at) {
			times = append(times, at)
		}
	}
}

// burst returns the factor on the mean rate at a time.
func (pl *planner) burst(at time.Duration) float64 {
	mx := pl.sc.Mix
	if mx.BurstFactor <= 1 || mx.BurstPeriod <= mx.BurstTime {
		return 1
	}
	if at%pl.sc.Scaled(mx.BurstPeriod) < pl.sc.Scaled(mx.BurstTime) {
		return mx.BurstFactor
	}
	share := float64(mx.BurstTime) / float64(mx.BurstPeriod)
	return max(0, (1-mx.BurstFactor*share)/(1-share))
}

func (pl *planner) organisation(random *rand.Rand) int {
	total := 0.0
	for _, org := range pl.sc.Organisations {
		total += org.Share
	}
	draw := random.Float64() * total
	for number, org := range pl.sc.Organisations {
		draw -= org.Share
		if draw < 0 {
			return number
		}
	}
	return len(pl.sc.Organisations) - 1
}

func (pl *planner) completion(random *rand.Rand, at time.Duration, org int) PlannedRequest {
	mx := pl.sc.Mix
	// Each request takes the same number of random values, so that the following requests don't depend on its kind.
	long, length, answer := random.Float64() < mx.LongShare, random.Float64(), random.Float64()
	inSession, session, content := random.Float64() < mx.SessionShare, random.IntN(max(1, mx.Sessions)), random.Uint64()
	req := PlannedRequest{
		At:           at,
		Organisation: pl.sc.Organisations[org].Name,
		PromptTokens: logUniform(length, mx.MinTokens, mx.SplitTokens),
		Answer:       logUniform(answer, mx.MinAnswer, mx.MaxAnswer),
		Content:      content,
		Instance:     random.Uint64(),
	}
	switch {
	case long:
		req.PromptTokens = logUniform(length, mx.SplitTokens+1, mx.MaxTokens)
	case inSession:
		req.Prefix = mx.SessionPrefix
		req.Session = pl.seed<<48 | uint64(org)<<32 | uint64(session)
	}
	period := mx.Deadline.Std().Seconds() + float64(req.PromptTokens)/mx.DeadlineRate
	req.Deadline = time.Duration(period / pl.sc.Scale * float64(time.Second))
	return req
}

func logUniform(draw float64, low, high int64) int64 {
	return int64(math.Round(float64(low) * math.Pow(float64(high)/float64(low), draw)))
}

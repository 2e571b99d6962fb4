package steer

import "math"

// The worth of answers, by which requests are weighed against each other. Nobody declares it, so it is taken from what
// is asked: a kind of request is worth more the longer its prompts are, though less than in proportion, and within a
// kind a longer one is worth more.
const (
	// baseTokens is the mean prompt of a kind that is worth Tuning.BaseValue.
	baseTokens = 5000
	// meanGain is how much of a new prompt's length is taken over into its route's mean.
	meanGain = 0.1
)

// valueOf is what an answer in time is worth, and takes the prompt into its route's mean.
func (st *State) valueOf(route string, prompt int64) float64 {
	if prompt == 0 {
		return st.tune.BaseValue
	}
	mean, ok := st.means[route]
	if !ok {
		mean = float64(prompt)
	}
	mean += meanGain * (float64(prompt) - mean)
	st.means[route] = mean
	kind := st.tune.BaseValue * math.Pow(mean/baseTokens, st.tune.KindPower)
	return kind * min(st.tune.MostTimes, st.tune.FixedShare+(1-st.tune.FixedShare)*float64(prompt)/mean)
}

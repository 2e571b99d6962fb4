package steer

import "math"

// The value of answers, by which requests are weighed against each other. It is not declared but derived from the
// requests: a kind of request (a route) has a higher value the longer its prompts are, though less than in proportion,
// and within a kind a longer prompt has a higher value.
const (
	// basePromptTokens is the mean prompt, in tokens, of a kind whose value is Tuning.BaseValue.
	basePromptTokens = 5000
	// meanPromptGain is the weight of a new prompt's length in the moving average of its route.
	meanPromptGain = 0.1
)

// valueOf returns the value of an answer that begins in time, and adds the prompt to the moving average of its route.
func (st *State) valueOf(route string, prompt int64) float64 {
	if prompt == 0 {
		return st.tune.BaseValue
	}
	mean, ok := st.meanPrompts[route]
	if !ok {
		mean = float64(prompt)
	}
	mean += meanPromptGain * (float64(prompt) - mean)
	st.meanPrompts[route] = mean
	kindValue := st.tune.BaseValue * math.Pow(mean/basePromptTokens, st.tune.KindPower)
	return kindValue * min(st.tune.MaxLengthFactor, st.tune.FixedShare+(1-st.tune.FixedShare)*float64(prompt)/mean)
}

package decl

// Signals that an objective can apply to.
const (
	// SignalFirstToken is the time from arrival to the first token.
	SignalFirstToken = "FirstToken"
	// SignalBetweenTokens is the mean gap between the tokens of one answer.
	SignalBetweenTokens = "BetweenTokens"
	// SignalOutcome is whether the request was answered or failed. It has no threshold.
	SignalOutcome = "Outcome"
)

// Objective is a service-level objective whose error budget is tracked.
type Objective struct {
	// Signal is one of the Signal constants.
	Signal string
	// Service restricts the objective to one service; empty means all.
	Service string `json:",omitzero"`
	// Organisation restricts the objective to one organisation; empty means all.
	Organisation string `json:",omitzero"`
	// LengthClass restricts the objective to one length class; empty means all.
	LengthClass string `json:",omitzero"`
	// Threshold is the upper bound of a latency signal.
	Threshold Duration `json:",omitzero"`
	// Target is the share of requests that must meet the objective, between 0 and 1, both excluded.
	Target float64
}

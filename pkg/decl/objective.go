package decl

// Signals that an objective can bound.
const (
	// SignalFirstToken is the time from arrival to the first token.
	SignalFirstToken = "FirstToken"
	// SignalBetweenTokens is the mean gap between the tokens of one answer.
	SignalBetweenTokens = "BetweenTokens"
	// SignalOutcome counts answers against failures; it has no threshold.
	SignalOutcome = "Outcome"
)

// Objective is a promise whose error budget is watched.
type Objective struct {
	// Signal is one of the Signal constants.
	Signal string
	// Service, Organisation and LengthClass narrow the objective; an empty one means all.
	Service      string `json:",omitzero"`
	Organisation string `json:",omitzero"`
	LengthClass  string `json:",omitzero"`
	// Threshold is the bound of a latency signal.
	Threshold Duration `json:",omitzero"`
	// Target is the share of requests that must keep it, between 0 and 1, both excluded.
	Target float64
}

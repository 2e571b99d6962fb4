package decl

// Engine holds the declared performance of a model engine. An engine works in passes. While any of its requests are
// decoding, a pass has Stride steps. Each step generates one token for each of these requests and prefills up to Chunk
// prompt tokens.
type Engine struct {
	// Slots is how many requests the engine runs at once.
	Slots int
	// Memory is how many tokens, of prompts and answers together, the engine's memory holds.
	Memory int64
	// Step is the fixed part of a step's duration, in ms.
	Step float64
	// PerWriter is what each decoding request adds to a step, in ms.
	PerWriter float64
	// PerContext is what each thousand context tokens of the decoding requests add to a step, in ms.
	PerContext float64
	// ReadRate is the prefill speed in prompt tokens per ms, without the cost of PairCost.
	ReadRate float64
	// PairCost is the prefill time in ms per million pairs of a prompt token and an earlier one.
	PairCost float64
	// Chunk is the maximum number of prompt tokens that one step prefills.
	Chunk int64
	// Stride is how many tokens one event of a stream carries.
	Stride int
	// Hop is what a prompt that is split among several engines adds to a step, in ms.
	Hop float64
	// Helpers is how many other engines may prefill parts of one prompt.
	Helpers int
}

// PrefillWork is an amount of prefill work of one engine.
type PrefillWork struct {
	// Time is the time that the prompt tokens take, in ms.
	Time float64
	// Steps is the number of steps that the work is spread over. Their own duration, see Engine.StepTime, adds to Time.
	Steps float64
}

// PrefillWork returns the work of each engine when several engines prefill one prompt in equal parts.
func (eng *Engine) PrefillWork(prompt int64, engines int) PrefillWork {
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	return PrefillWork{
		Time:  (tokens/eng.ReadRate + pairs*eng.PairCost) / float64(engines),
		Steps: tokens / float64(eng.Chunk) / float64(engines),
	}
}

// StepTime returns the duration of one step in ms. writers is the number of decoding requests and contexts the sum of their
// contexts in tokens.
func (eng *Engine) StepTime(writers int, contexts int64) float64 {
	return eng.Step + float64(writers)*eng.PerWriter + float64(contexts)/1000*eng.PerContext
}

// AloneTime returns how long an engine that has no other work takes for the prefill, in ms.
func (pw PrefillWork) AloneTime(eng *Engine) float64 { return pw.Time + pw.Steps*eng.Step }

// Scale returns the work multiplied by a factor.
func (pw PrefillWork) Scale(part float64) PrefillWork {
	return PrefillWork{pw.Time * part, pw.Steps * part}
}

// Add returns the sum of the work.
func (pw PrefillWork) Add(other PrefillWork) PrefillWork {
	return PrefillWork{pw.Time + other.Time, pw.Steps + other.Steps}
}

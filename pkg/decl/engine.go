package decl

// Engine holds the declared figures by which a model engine works. It takes its requests in passes: with requests that
// write, a pass is Stride steps, each of which writes one token for each of them and reads up to Chunk prompt tokens.
type Engine struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Memory is how many tokens, prompts and answers together, it holds.
	Memory int64
	// Step is the time of one step in ms, PerWriter what each request that writes adds to it, and PerContext what each
	// thousand tokens of their contexts add.
	Step, PerWriter, PerContext float64
	// ReadRate is in prompt tokens a ms, PairCost in ms a million pairs of a token and one before it.
	ReadRate, PairCost float64
	// Chunk is the longest part of a prompt that one step reads, in tokens.
	Chunk int64
	// Stride is how many tokens one event of a stream holds.
	Stride int
	// Hop is what a prompt in several engines adds to a step, in ms; Helpers is how many others may read one prompt.
	Hop     float64
	Helpers int
}

// Reading is so much of a prompt that one engine reads.
type Reading struct {
	// Time is in ms. Steps are those that it is spread over, each of which takes its time besides.
	Time, Steps float64
}

// Reading is the part that each of so many engines has that read a prompt together.
func (eng *Engine) Reading(prompt int64, engines int) Reading {
	tokens := float64(prompt)
	pairs := tokens * tokens / 2 / 1e6
	return Reading{
		Time:  (tokens/eng.ReadRate + pairs*eng.PairCost) / float64(engines),
		Steps: tokens / float64(eng.Chunk) / float64(engines),
	}
}

// StepTime is how long in ms one step takes with the writers and their contexts, in tokens.
func (eng *Engine) StepTime(writers int, contexts int64) float64 {
	return eng.Step + float64(writers)*eng.PerWriter + float64(contexts)/1000*eng.PerContext
}

// Alone is how long in ms an engine takes for the reading that has nothing else to do.
func (rd Reading) Alone(eng *Engine) float64 { return rd.Time + rd.Steps*eng.Step }

// Times is so much of the reading.
func (rd Reading) Times(part float64) Reading { return Reading{rd.Time * part, rd.Steps * part} }

// Plus is both together.
func (rd Reading) Plus(other Reading) Reading {
	return Reading{rd.Time + other.Time, rd.Steps + other.Steps}
}

package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Scenario is a deployment and the load on it. All times and rates are those at time scale 1.
type Scenario struct {
	Name string
	// Scale makes everything this many times as fast, so that minutes fit into seconds.
	Scale float64
	// FailureDomains hold the instances and replicas in turn.
	FailureDomains []string
	// Instances is how many entry instances run.
	Instances     int
	Model         ModelPart
	Plain         PlainPart
	Mix           Mix
	Organisations []OrganisationPart
	// LengthClasses are declared in place of the default ones.
	LengthClasses []decl.LengthClass
}

// ModelPart is the model service.
type ModelPart struct {
	Service  string
	Replicas int
	// MemoryTokens is one engine's memory.
	MemoryTokens int64
	// Step, PrefillChunk, AttentionTokens and MaxBatch are as in stand.EngineOptions.
	Step            decl.Duration
	PrefillChunk    int64
	AttentionTokens int64
	MaxBatch        int
	ReportLag       decl.Duration
	CacheLag        decl.Duration
	CacheGap        float64
	// Discipline orders the waiting requests, see decl.Service.
	Discipline   string
	ClassWeights map[string]float64
}

// PlainPart is the plain service, all of whose calls are non-idempotent and carry a key.
type PlainPart struct {
	Service  string
	Path     string
	Replicas int
	Delay    decl.Duration
	// PerSecond is the mean rate of calls.
	PerSecond float64
	Deadline  decl.Duration
}

// Mix is the mix of completions.
type Mix struct {
	// Utilisation is the offered work as a share of the engines' capacity.
	Utilisation float64
	Duration    decl.Duration
	// Lengths are log-uniform from MinTokens to SplitTokens, and with LongShare from there to MaxTokens.
	MinTokens   int64
	SplitTokens int64
	MaxTokens   int64
	LongShare   float64
	// Answers are log-uniform between the bounds.
	MinAnswer int64
	MaxAnswer int64
	// A request's deadline is Deadline and the time of its prompt at DeadlineRate tokens a second.
	Deadline     decl.Duration
	DeadlineRate float64
	// SessionShare of the requests up to SplitTokens belong to one of each organisation's Sessions and share its first
	// SessionPrefix tokens.
	SessionShare  float64
	Sessions      int
	SessionPrefix int64
	// Every BurstPeriod the rate is BurstFactor times the mean for BurstTime, and lower in between.
	BurstPeriod decl.Duration
	BurstTime   decl.Duration
	BurstFactor float64
}

// OrganisationPart is one caller.
type OrganisationPart struct {
	Name string
	// Share is its part of the requests and its declared weight, as a share of all.
	Share float64
	// Flood multiplies its requests, over and above the load of the scenario; 0 counts as 1.
	Flood float64
}

// ReadScenario reads a scenario file, in which unknown fields are errors, and checks it.
func ReadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: the scenario cannot be read; give the path of one of scenarios/: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	sc := &Scenario{}
	if err := decoder.Decode(sc); err != nil {
		return nil, fmt.Errorf("load: %s does not parse; use the field names of load.Scenario: %w", path, err)
	}
	return sc, sc.check()
}

func (sc *Scenario) check() error {
	switch {
	case sc.Scale <= 0 || sc.Instances < 1 || len(sc.FailureDomains) == 0 || len(sc.Organisations) == 0:
		return fmt.Errorf("load: scenario %s: give Scale, Instances, FailureDomains and Organisations", sc.Name)
	case sc.Model.Replicas < 1 || sc.Model.Step <= 0 || sc.Model.PrefillChunk < 1:
		return fmt.Errorf("load: scenario %s: give Model.Replicas, Step and PrefillChunk", sc.Name)
	case sc.Mix.MinTokens < 1 || sc.Mix.SplitTokens <= sc.Mix.MinTokens || sc.Mix.MaxTokens <= sc.Mix.SplitTokens:
		return fmt.Errorf("load: scenario %s: let Mix.MinTokens, SplitTokens and MaxTokens rise", sc.Name)
	case sc.Mix.MinAnswer < 1 || sc.Mix.MaxAnswer < sc.Mix.MinAnswer || sc.Mix.Duration <= 0:
		return fmt.Errorf("load: scenario %s: give Mix.MinAnswer, MaxAnswer and Duration", sc.Name)
	}
	return nil
}

// Scaled turns a time of the scenario into one of the run.
func (sc *Scenario) Scaled(period decl.Duration) time.Duration {
	return time.Duration(float64(period) / sc.Scale)
}

// Capacity is the work in tokens that all engines together do in a second of the scenario: replicas times the token
// budget of a step over the time of a step.
func (sc *Scenario) Capacity() float64 {
	return float64(sc.Model.Replicas) * float64(sc.Model.PrefillChunk) / sc.Model.Step.Std().Seconds()
}

// Work is what one request costs an engine: each prompt position 1 and the part that attention adds, each token of the
// answer 1. What the prefix cache saves is not taken off.
func (sc *Scenario) Work(prompt, answer int64) float64 {
	work := float64(prompt + answer)
	if sc.Model.AttentionTokens > 0 {
		work += float64(prompt) * float64(prompt) / (2 * float64(sc.Model.AttentionTokens))
	}
	return work
}

// MeanWork is the mean of Work over the mix: the mean of a log-uniform length between a and b is (b-a)/ln(b/a), and of
// its square (b²-a²)/(2 ln(b/a)).
func (sc *Scenario) MeanWork() float64 {
	mx := sc.Mix
	short := sc.meanPrefill(mx.MinTokens, mx.SplitTokens)
	long := sc.meanPrefill(mx.SplitTokens, mx.MaxTokens)
	answer := logUniformMean(mx.MinAnswer, mx.MaxAnswer)
	return (1-mx.LongShare)*short + mx.LongShare*long + answer
}

func (sc *Scenario) meanPrefill(low, high int64) float64 {
	work := logUniformMean(low, high)
	if sc.Model.AttentionTokens > 0 {
		squares := (float64(high)*float64(high) - float64(low)*float64(low)) / (2 * math.Log(float64(high)/float64(low)))
		work += squares / (2 * float64(sc.Model.AttentionTokens))
	}
	return work
}

func logUniformMean(low, high int64) float64 {
	if high <= low {
		return float64(low)
	}
	return float64(high-low) / math.Log(float64(high)/float64(low))
}

// Rate is how many completions a second of the scenario make the utilisation.
func (sc *Scenario) Rate() float64 {
	return sc.Mix.Utilisation * sc.Capacity() / sc.MeanWork()
}

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

// Scenario is a deployment and its load, as read from a JSON file. All times and rates are at a time scale of 1.
type Scenario struct {
	Name string
	// Scale speeds everything up by this factor, so that minutes of load run in seconds.
	Scale float64
	// FailureDomains are the names over which Instances and replicas are spread round-robin.
	FailureDomains []string
	// Instances is the number of Instances.
	Instances     int
	Model         ModelPart
	Plain         PlainPart
	Mix           Mix
	Organisations []OrganisationPart
	// LengthClasses replaces the default length classes.
	LengthClasses []decl.LengthClass
}

// ModelPart is the model service.
type ModelPart struct {
	Service  string
	Replicas int
	// MemoryTokens is the memory of one engine in tokens.
	MemoryTokens int64
	// Step to CacheGap are the fields of stand.EngineOptions with the same names.
	Step            decl.Duration
	PrefillChunk    int64
	AttentionTokens int64
	MaxBatch        int
	ReportLag       decl.Duration
	CacheLag        decl.Duration
	CacheGap        float64
	// Discipline is the order in which waiting requests are served, see decl.Service.
	Discipline   string
	ClassWeights map[string]float64
}

// PlainPart is the plain service. All of its calls are non-idempotent and carry an idempotency key.
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
	// MinTokens is the minimum prompt length. Short prompts have log-uniform lengths from MinTokens to SplitTokens.
	MinTokens int64
	// SplitTokens separates short from long prompts.
	SplitTokens int64
	// MaxTokens is the maximum prompt length.
	MaxTokens int64
	// LongShare is the share of long prompts, which have log-uniform lengths from SplitTokens to MaxTokens.
	LongShare float64
	// MinAnswer is the minimum length of an answer in tokens. The lengths are log-uniform up to MaxAnswer.
	MinAnswer int64
	// MaxAnswer is the maximum length of an answer in tokens.
	MaxAnswer int64
	// Deadline is the fixed part of a request's deadline.
	Deadline decl.Duration
	// DeadlineRate adds the time for the prompt at this rate in tokens per second to the deadline.
	DeadlineRate float64
	// SessionShare is the share of the short prompts that belong to a session.
	SessionShare float64
	// Sessions is the number of sessions of each Organisation.
	Sessions int
	// SessionPrefix is the number of tokens at the start that the prompts of a session share.
	SessionPrefix int64
	// BurstPeriod is the time from one burst to the next.
	BurstPeriod decl.Duration
	// BurstTime is the duration of a burst.
	BurstTime decl.Duration
	// BurstFactor is the rate in a burst as a multiple of the mean. The rate between bursts is lower, so the mean stays.
	BurstFactor float64
}

// OrganisationPart is one Organisation.
type OrganisationPart struct {
	Name string
	// Share is its share of the requests, and its declared weight as a share of all weights.
	Share float64
	// Flood multiplies its requests in addition to the load of the scenario; 0 counts as 1.
	Flood float64
}

// ReadScenario reads and checks a scenario file. Unknown fields are errors.
func ReadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("load: the scenario cannot be read; give the path of a file in scenarios/: %w", err)
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
		return fmt.Errorf("load: scenario %s is incomplete; set Scale, Instances, FailureDomains and Organisations", sc.Name)
	case sc.Model.Replicas < 1 || sc.Model.Step <= 0 || sc.Model.PrefillChunk < 1:
		return fmt.Errorf("load: scenario %s is incomplete; set Model.Replicas, Model.Step and Model.PrefillChunk", sc.Name)
	case sc.Mix.MinTokens < 1 || sc.Mix.SplitTokens <= sc.Mix.MinTokens || sc.Mix.MaxTokens <= sc.Mix.SplitTokens:
		return fmt.Errorf("load: scenario %s has invalid prompt lengths; set Mix.MinTokens < Mix.SplitTokens < Mix.MaxTokens", sc.Name)
	case sc.Mix.MinAnswer < 1 || sc.Mix.MaxAnswer < sc.Mix.MinAnswer || sc.Mix.Duration <= 0:
		return fmt.Errorf("load: scenario %s has invalid answers or no duration; set Mix.MinAnswer, Mix.MaxAnswer and Mix.Duration", sc.Name)
	}
	return nil
}

// Scaled converts a time of the scenario to the time scale of the run.
func (sc *Scenario) Scaled(period decl.Duration) time.Duration {
	return time.Duration(float64(period) / sc.Scale)
}

// Capacity returns the work in tokens that all engines together do per second of the scenario: the number of replicas
// times the token budget of a step, divided by the time of a step.
func (sc *Scenario) Capacity() float64 {
	return float64(sc.Model.Replicas) * float64(sc.Model.PrefillChunk) / sc.Model.Step.Std().Seconds()
}

// Work returns the cost of a request for an engine in tokens: 1 per prompt token plus the cost of attention, and 1 per
// token of the answer. It ignores what the prefix cache saves.
func (sc *Scenario) Work(prompt, answer int64) float64 {
	work := float64(prompt + answer)
	if sc.Model.AttentionTokens > 0 {
		work += float64(prompt) * float64(prompt) / (2 * float64(sc.Model.AttentionTokens))
	}
	return work
}

// MeanWork returns the mean of Work over the mix. The mean of a log-uniform length between a and b is (b-a)/ln(b/a), and
// the mean of its square is (b²-a²)/(2 ln(b/a)).
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

// Rate returns the number of completions per second of the scenario that gives the utilisation.
func (sc *Scenario) Rate() float64 {
	return sc.Mix.Utilisation * sc.Capacity() / sc.MeanWork()
}

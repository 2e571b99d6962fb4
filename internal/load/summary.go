package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// ClassPlain is the name of the group of calls of the plain service.
const ClassPlain = "Plain"

// ClassAll is the name of the group of all completions.
const ClassAll = "All"

// maxTracked is the maximum time in the histograms, in microseconds.
const maxTracked = int64(10 * time.Minute / time.Microsecond)

// Distribution is a distribution of times, in microseconds.
type Distribution struct{ hist *hdrhistogram.Histogram }

// NewDistribution returns an empty distribution with two significant digits.
func NewDistribution() *Distribution {
	return &Distribution{hist: hdrhistogram.New(1, maxTracked, 2)}
}

// Add adds a time.
func (ds *Distribution) Add(period time.Duration) {
	_ = ds.hist.RecordValue(min(max(1, period.Microseconds()), maxTracked))
}

// Merge adds another distribution.
func (ds *Distribution) Merge(other *Distribution) {
	ds.hist.Merge(other.hist)
}

// Count returns the number of times in the distribution.
func (ds *Distribution) Count() int64 {
	return ds.hist.TotalCount()
}

// Quantile returns the quantile for a share from 0 to 1, or 0 if the distribution is empty.
func (ds *Distribution) Quantile(share float64) time.Duration {
	return time.Duration(ds.hist.ValueAtQuantile(100*share)) * time.Microsecond
}

// Counts counts requests by how they ended.
type Counts struct {
	Sent    int64
	Whole   int64
	Refused int64
	// NotRun is the number of refusals that state that the request did not run.
	NotRun int64
	// RefusedLate is the number of refusals that took longer than fastRefusal.
	RefusedLate int64
	Failed      int64
	Short       int64
	Wrong       int64
	Cut         int64
	Broken      int64
	// InTime is the number of complete answers before their deadline.
	InTime int64
	// Tokens is the number of prompt and answer tokens of the answers in time.
	Tokens int64
}

// Group holds the measurements of a group of requests.
type Group struct {
	Counts
	FirstToken *Distribution
	// Refusal is the distribution of the time to a refusal.
	Refusal *Distribution
}

func newGroup() *Group {
	return &Group{FirstToken: NewDistribution(), Refusal: NewDistribution()}
}

// Merge adds another group.
func (gr *Group) Merge(other *Group) {
	gr.FirstToken.Merge(other.FirstToken)
	gr.Refusal.Merge(other.Refusal)
	gr.Sent += other.Sent
	gr.Whole += other.Whole
	gr.Refused += other.Refused
	gr.NotRun += other.NotRun
	gr.RefusedLate += other.RefusedLate
	gr.Failed += other.Failed
	gr.Short += other.Short
	gr.Wrong += other.Wrong
	gr.Cut += other.Cut
	gr.Broken += other.Broken
	gr.InTime += other.InTime
	gr.Tokens += other.Tokens
}

// fastRefusal is the maximum time of a refusal that does not count as late.
const fastRefusal = 50 * time.Millisecond

func (gr *Group) add(rc *Record) {
	gr.Sent++
	res := &rc.Result
	switch res.Outcome {
	case OutcomeWhole:
		gr.addWhole(rc)
	case OutcomeRefused:
		gr.Refused++
		gr.Refusal.Add(rc.Late + res.Total)
		if res.Ran == string(effect.NotRun) {
			gr.NotRun++
		}
		if rc.Late+res.Total > fastRefusal {
			gr.RefusedLate++
		}
	case OutcomeFailed:
		gr.Failed++
	case OutcomeShort:
		gr.Short++
	case OutcomeWrong:
		gr.Wrong++
	case OutcomeCut:
		gr.Cut++
	case OutcomeBroken:
		gr.Broken++
	}
}

func (gr *Group) addWhole(rc *Record) {
	gr.Whole++
	gr.FirstToken.Add(rc.FirstToken())
	if rc.Late+rc.Result.Total <= rc.Planned.Deadline {
		gr.InTime++
		gr.Tokens += rc.Planned.PromptTokens + rc.Planned.Answer
	}
}

// Summary holds the measurements of one or several runs.
type Summary struct {
	// Classes has a group for each length class, ClassAll and ClassPlain.
	Classes map[string]*Group
	// Organisations has the completions of the shortest length class by Organisation.
	Organisations map[string]*Group
	// Whole has all completions by Organisation.
	Whole map[string]*Group
	// LateSends is the number of sends that were later than lateThreshold.
	LateSends int64
	// LateMax is the maximum delay of a send.
	LateMax time.Duration
	// Examples has the detail of one request for each outcome that has details.
	Examples map[Outcome]string
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		Classes: map[string]*Group{}, Organisations: map[string]*Group{}, Whole: map[string]*Group{}, Examples: map[Outcome]string{},
	}
}

// Summarise summarises the records of a run.
func Summarise(records []Record) *Summary {
	sm := NewSummary()
	cfg := &decl.Config{}
	for i := range records {
		rc := &records[i]
		sm.recordLate(rc)
		if rc.Planned.Plain {
			group(sm.Classes, ClassPlain).add(rc)
			continue
		}
		class, _ := cfg.ClassOf(rc.Planned.PromptTokens)
		group(sm.Classes, class.Name).add(rc)
		group(sm.Classes, ClassAll).add(rc)
		group(sm.Whole, rc.Planned.Organisation).add(rc)
		if class.Name == cfg.Classes()[0].Name {
			group(sm.Organisations, rc.Planned.Organisation).add(rc)
		}
	}
	return sm
}

func (sm *Summary) recordLate(rc *Record) {
	if rc.Late > lateThreshold {
		sm.LateSends++
	}
	sm.LateMax = max(sm.LateMax, rc.Late)
	if rc.Result.Detail != "" {
		sm.Examples[rc.Result.Outcome] = rc.Result.Detail
	}
}

func group(groups map[string]*Group, name string) *Group {
	gr, ok := groups[name]
	if !ok {
		gr = newGroup()
		groups[name] = gr
	}
	return gr
}

// Merge adds the measurements of another run.
func (sm *Summary) Merge(other *Summary) {
	for _, pair := range [][2]map[string]*Group{
		{sm.Classes, other.Classes}, {sm.Organisations, other.Organisations}, {sm.Whole, other.Whole},
	} {
		for name, gr := range pair[1] {
			group(pair[0], name).Merge(gr)
		}
	}
	sm.LateSends += other.LateSends
	sm.LateMax = max(sm.LateMax, other.LateMax)
	for outcome, text := range other.Examples {
		sm.Examples[outcome] = text
	}
}

// Figures holds a group's measurements as they are written to JSON. Times are in milliseconds.
type Figures struct {
	Counts
	P50, P95, P99, Max float64
	// RefusalP95 is the 95th percentile of the time to a refusal.
	RefusalP95 float64
}

// Figures returns the group's measurements.
func (gr *Group) Figures() Figures {
	return Figures{
		Counts: gr.Counts,
		P50:    Milliseconds(gr.FirstToken.Quantile(0.50)),
		P95:    Milliseconds(gr.FirstToken.Quantile(0.95)),
		P99:    Milliseconds(gr.FirstToken.Quantile(0.99)),
		Max:    Milliseconds(gr.FirstToken.Quantile(1)),

		RefusalP95: Milliseconds(gr.Refusal.Quantile(0.95)),
	}
}

// Milliseconds converts a duration to milliseconds.
func Milliseconds(period time.Duration) float64 {
	return float64(period.Microseconds()) / 1000
}

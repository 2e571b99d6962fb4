package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// ClassPlain is the class of calls to plain services.
const ClassPlain = "Plain"

// ClassAll sums up all completions.
const ClassAll = "All"

// maxTracked is the longest time the histograms hold, in microseconds.
const maxTracked = int64(10 * time.Minute / time.Microsecond)

// Times is a distribution, in microseconds.
type Times struct{ hist *hdrhistogram.Histogram }

// NewTimes returns an empty distribution with two significant digits.
func NewTimes() *Times {
	return &Times{hist: hdrhistogram.New(1, maxTracked, 2)}
}

// Add takes a time in.
func (ts *Times) Add(period time.Duration) {
	_ = ts.hist.RecordValue(min(max(1, period.Microseconds()), maxTracked))
}

// Merge takes another distribution in.
func (ts *Times) Merge(other *Times) {
	ts.hist.Merge(other.hist)
}

// Count is how many times were taken in.
func (ts *Times) Count() int64 {
	return ts.hist.TotalCount()
}

// Quantile returns the time that a share of all, from 0 to 1, is at or below; 0 if there are none.
func (ts *Times) Quantile(share float64) time.Duration {
	return time.Duration(ts.hist.ValueAtQuantile(100*share)) * time.Microsecond
}

// Counts are the ends of requests.
type Counts struct {
	Sent    int64
	Whole   int64
	Refused int64
	// NotRun counts the refusals that said so; RefusedLate those that came after more than 50 ms.
	NotRun      int64
	RefusedLate int64
	Failed      int64
	Short       int64
	Wrong       int64
	Cut         int64
	Broken      int64
	// InTime counts whole answers within their deadline.
	InTime int64
	// Tokens counts the prompt and answer tokens of whole answers in time.
	Tokens int64
}

// Group is the measurements of some of the requests.
type Group struct {
	Counts
	FirstToken *Times
	// Refusal is the time to a refusal.
	Refusal *Times
}

func newGroup() *Group {
	return &Group{FirstToken: NewTimes(), Refusal: NewTimes()}
}

// Merge takes another group in.
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

// promptRefusal is how fast a refusal has to come.
const promptRefusal = 50 * time.Millisecond

func (gr *Group) add(rc *Record) {
	gr.Sent++
	res := &rc.Result
	switch res.Outcome {
	case OutcomeWhole:
		gr.whole(rc)
	case OutcomeRefused:
		gr.Refused++
		gr.Refusal.Add(rc.Late + res.Total)
		if res.Ran == string(effect.NotRun) {
			gr.NotRun++
		}
		if rc.Late+res.Total > promptRefusal {
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

func (gr *Group) whole(rc *Record) {
	gr.Whole++
	gr.FirstToken.Add(rc.FirstToken())
	if rc.Late+rc.Result.Total <= rc.Planned.Deadline {
		gr.InTime++
		gr.Tokens += rc.Planned.PromptTokens + rc.Planned.Answer
	}
}

// Summary is the measurements of a run, or of several put together.
type Summary struct {
	// Classes has a group for each length class, ClassAll and ClassPlain.
	Classes map[string]*Group
	// Organisations has the short prompts of each, and Whole all its completions.
	Organisations map[string]*Group
	Whole         map[string]*Group
	// LateSends counts sends over 10 ms late, and LateMax is the latest.
	LateSends int64
	LateMax   time.Duration
	// Examples has a text for some bad ends, by outcome.
	Examples map[Outcome]string
}

// NewSummary returns an empty one.
func NewSummary() *Summary {
	return &Summary{
		Classes: map[string]*Group{}, Organisations: map[string]*Group{}, Whole: map[string]*Group{}, Examples: map[Outcome]string{},
	}
}

// Summarise measures a run.
func Summarise(records []Record) *Summary {
	sm := NewSummary()
	cfg := &decl.Config{}
	for i := range records {
		rc := &records[i]
		sm.late(rc)
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

func (sm *Summary) late(rc *Record) {
	if rc.Late > lateAfter {
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

// Merge takes the measurements of another run in.
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

// Figures are a group's measurements as they are written to JSON; times are in milliseconds.
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

// Milliseconds returns a time as a number of them.
func Milliseconds(period time.Duration) float64 {
	return float64(period.Microseconds()) / 1000
}

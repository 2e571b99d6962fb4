// Package model runs the decisions of several instances in virtual time against a model of engines, plain services and
// callers. The reducers are the real ones (package steer); what is modelled is what answers them. It has no store and no
// wire: it measures the policy, not the product. docs/POLICY.md has how far it is from played days.
package model

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Scenario is a deployment and the load on it.
type Scenario struct {
	Name string
	// Seconds is for how long requests arrive.
	Seconds float64
	// Instances and the replicas of both services are dealt over the failure domains in turn.
	Instances      int
	FailureDomains int
	// Engines is how many replicas the model service has, Engine what each can do.
	Engines int
	Engine  decl.Engine
	// Plain is how many replicas the plain service has, PlainSlots how many calls each runs at once.
	Plain      int
	PlainSlots int
	// NoteDelay is what a note, a request or an event takes on its way in ms, one way; NoteLoss the share of notes lost.
	NoteDelay, NoteLoss float64
	Classes             []Class
	Bursts              []Burst
	Outages             []Outage
	Slowdowns           []Slowdown
}

// Class is one kind of request.
type Class struct {
	Name string
	// PerSecond is the mean rate of first tries.
	PerSecond float64
	// MeanPrompt, Spread and MaxPrompt are of the log-normal lengths of prompts in tokens; 0 for calls of the plain service.
	MeanPrompt, Spread, MaxPrompt float64
	// MeanEvents is the mean number of events of an answer, log-normal with EventSpread, up to MaxEvents.
	MeanEvents, EventSpread, MaxEvents float64
	// Work is the mean time in ms of a plain call, ErrorShare the share of them that fail.
	Work, ErrorShare float64
	// Goal is the time to the first event in ms, Gap the longest pause, Timeout the caller's time.
	Goal, Gap, Timeout float64
	Attempts           int
	Repeats            decl.Repeats
	// Worth is what an answer in time earns, LateWorth what a late one does.
	Worth, LateWorth float64
}

// Burst makes a class arrive so many times as often for a while.
type Burst struct {
	Class   string
	At, For float64
	Times   float64
}

// Outage takes all instances away at At and brings them back after For seconds, which know nothing. Engines go on writing
// for those who died.
type Outage struct{ At, For float64 }

// Slowdown makes the first Share of the engines take so many times as long for everything from At on for For seconds.
type Slowdown struct{ At, For, Share, Times float64 }

// BadScenario is a scenario that cannot be run.
var BadScenario = errorx.NewNamespace("model").NewType("bad_scenario")

// Load reads a scenario from a JSON file.
func Load(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, BadScenario.Wrap(err, "model: %s cannot be read; name a scenario file", path)
	}
	sc := &Scenario{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(sc); err != nil {
		return nil, BadScenario.Wrap(err, "model: %s is no scenario; mend the field that the cause names", path)
	}
	return sc, sc.Check()
}

// Check returns a BadScenario error that names the figure and what is allowed.
func (sc *Scenario) Check() error {
	if sc.Seconds <= 0 || sc.Instances < 1 || sc.FailureDomains < 1 {
		return BadScenario.New("model: %s has %v seconds, %d instances and %d failure domains; give more than 0 of each", sc.Name, sc.Seconds, sc.Instances, sc.FailureDomains)
	}
	eng := &sc.Engine
	if sc.Engines < 0 || sc.Engines > 0 && (eng.Slots < 1 || eng.Memory < 1 || eng.Step <= 0 || eng.ReadRate <= 0 || eng.Chunk < 1 || eng.Stride < 1) {
		return BadScenario.New("model: %s has engines without slots, memory, step, read rate, chunk or stride; give more than 0 of each", sc.Name)
	}
	if sc.NoteDelay < 0 || sc.NoteLoss < 0 || sc.NoteLoss > 1 {
		return BadScenario.New("model: %s has a note delay of %v and a loss of %v; give 0 or more, and a share", sc.Name, sc.NoteDelay, sc.NoteLoss)
	}
	names := map[string]bool{}
	for i := range sc.Classes {
		cls := &sc.Classes[i]
		if cls.Name == "" || names[cls.Name] || cls.PerSecond < 0 || cls.Goal <= 0 || cls.Timeout <= 0 || cls.Worth <= 0 {
			return BadScenario.New("model: class %q of %s needs a name of its own, a rate of 0 or more, and a goal, a timeout and a worth above 0", cls.Name, sc.Name)
		}
		if cls.MeanPrompt > 0 && (sc.Engines == 0 || min(cls.MeanEvents, cls.MaxEvents) <= 0) || cls.MeanPrompt == 0 && sc.Plain == 0 {
			return BadScenario.New("model: class %q of %s has nobody to answer it or answers without events", cls.Name, sc.Name)
		}
		if cls.Repeats != decl.RepeatsNone && cls.Repeats != decl.RepeatsAny && cls.Repeats != decl.RepeatsResumed {
			return BadScenario.New("model: class %q of %s has %q for Repeats; give None, Any or Resumed", cls.Name, sc.Name, cls.Repeats)
		}
		names[cls.Name] = true
	}
	for _, slow := range sc.Slowdowns {
		if slow.Share < 0 || slow.Share > 1 || slow.Times < 1 {
			return BadScenario.New("model: a slowdown of %s has a share of %v and %v times; give a share from 0 to 1, and 1 or more times", sc.Name, slow.Share, slow.Times)
		}
	}
	for _, burst := range sc.Bursts {
		if !names[burst.Class] || burst.Times < 0 {
			return BadScenario.New("model: a burst of %s names class %q; name one that there is, with 0 or more times its rate", sc.Name, burst.Class)
		}
	}
	return nil
}

// rate is the class's rate at a time.
func (sc *Scenario) rate(cls *Class, at float64) float64 {
	rate := cls.PerSecond
	for _, burst := range sc.Bursts {
		if burst.Class == cls.Name && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Times
		}
	}
	return rate
}

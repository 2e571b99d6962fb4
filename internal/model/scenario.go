// Package model simulates several instances in virtual time against models of engines, plain services and callers. The
// reducers are the real ones of package steer; only what answers them is modelled. There is no store and no network, so
// it measures the policy, not the program. docs/POLICY.md states how far its results are from those of played days.
package model

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Scenario is a deployment and its load, as read from a JSON file.
type Scenario struct {
	Name string
	// Seconds is how long requests arrive.
	Seconds float64
	// Settle is how long in seconds the run continues after the last arrival; 0 is settleSeconds.
	Settle float64
	// Instances is the number of instances. They and the replicas of both services are spread round-robin over the
	// failure domains.
	Instances      int
	FailureDomains int
	// Engines is the number of replicas of the model service.
	Engines int
	// Engine declares the performance of each of them.
	Engine decl.Engine
	// Plain is the number of replicas of the plain service.
	Plain int
	// PlainSlots is the number of calls that each of them runs at once.
	PlainSlots int
	// NoteDelay is the one-way delay of a note, a request or an event in ms.
	NoteDelay float64
	// NoteLoss is the share of notes that are lost.
	NoteLoss float64
	// LinkMbps is the rate at which an instance sends its notes, one copy after the other; 0 is unlimited.
	LinkMbps  float64
	Classes   []Class
	Bursts    []Burst
	Outages   []Outage
	Slowdowns []Slowdown
	Restarts  []Restart
	Cuts      []Cut
}

// Class is one class of requests.
type Class struct {
	Name string
	// Organisation is the organisation of the callers, empty for none.
	Organisation string
	// Priority is the route's urgency; 0 is the most urgent.
	Priority int
	// PerSecond is the mean rate of calls, without retries.
	PerSecond float64
	// MeanPrompt is the mean of the log-normal lengths of prompts in tokens; 0 makes it a class of plain calls.
	MeanPrompt float64
	// Spread is the standard deviation of the logarithm of the length.
	Spread float64
	// MaxPrompt is the maximum length in tokens.
	MaxPrompt float64
	// MeanEvents is the mean of the log-normal number of events of an answer.
	MeanEvents float64
	// EventSpread is the standard deviation of the logarithm of the number of events.
	EventSpread float64
	// MaxEvents is the maximum number of events.
	MaxEvents float64
	// Work is the mean time of a plain call in ms.
	Work float64
	// ErrorShare is the share of plain calls that fail.
	ErrorShare float64
	// Goal is the maximum time to the first event in ms for an answer in time.
	Goal float64
	// Gap is the maximum time between two events in ms for an answer in time; 0 sets no limit.
	Gap float64
	// Timeout is the route's timeout in ms.
	Timeout  float64
	Attempts int
	Repeats  decl.RetryPolicy
	// Worth is what a mean answer in time earns.
	Worth float64
	// LateWorth is what a mean late answer earns.
	LateWorth float64
}

// Burst multiplies the rate of a class by Times from At for For seconds.
type Burst struct {
	Class   string
	At, For float64
	Times   float64
}

// Outage stops all instances at At and restarts them after For seconds without any state. The engines continue to decode
// the requests of the stopped instances.
type Outage struct{ At, For float64 }

// Slowdown multiplies the duration of the passes of the first Share of the engines by Times, from At for For seconds.
type Slowdown struct{ At, For, Share, Times float64 }

// Restart stops the first Share of the instances at At and starts them without any state after For seconds.
type Restart struct{ At, For, Share float64 }

// Cut drops all notes from and to the last Share of the instances, from At for For seconds. Their requests still reach the replicas.
type Cut struct{ At, For, Share float64 }

// BadScenario is the error type of an invalid scenario file.
var BadScenario = errorx.NewNamespace("model").NewType("bad_scenario")

// Load reads a scenario from a JSON file.
func Load(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, BadScenario.Wrap(err, "model: %s cannot be read; give the path of a scenario file", path)
	}
	sc := &Scenario{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(sc); err != nil {
		return nil, BadScenario.Wrap(err, "model: %s is not a valid scenario; correct the field that the cause names", path)
	}
	return sc, sc.Check()
}

// Check returns a BadScenario error that names the invalid value and the allowed ones.
func (sc *Scenario) Check() error {
	if sc.Seconds <= 0 || sc.Instances < 1 || sc.FailureDomains < 1 {
		return BadScenario.New("model: %s has Seconds %v, Instances %d and FailureDomains %d; set each above 0", sc.Name, sc.Seconds, sc.Instances, sc.FailureDomains)
	}
	eng := &sc.Engine
	if sc.Engines < 0 || sc.Engines > 0 && (eng.Slots < 1 || eng.Memory < 1 || eng.Step <= 0 || eng.ReadRate <= 0 || eng.Chunk < 1 || eng.Stride < 1) {
		return BadScenario.New("model: %s has engines without Slots, Memory, Step, ReadRate, Chunk or Stride; set each above 0", sc.Name)
	}
	if sc.NoteDelay < 0 || sc.NoteLoss < 0 || sc.NoteLoss > 1 || sc.LinkMbps < 0 {
		return BadScenario.New("model: %s has NoteDelay %v, NoteLoss %v and LinkMbps %v; set a delay and a rate of at least 0 and a loss from 0 to 1", sc.Name, sc.NoteDelay, sc.NoteLoss, sc.LinkMbps)
	}
	names := map[string]bool{}
	for i := range sc.Classes {
		cls := &sc.Classes[i]
		if cls.Name == "" || names[cls.Name] || cls.PerSecond < 0 || cls.Goal <= 0 || cls.Timeout <= 0 || cls.Worth <= 0 {
			return BadScenario.New("model: class %q of %s is incomplete; set a unique Name, PerSecond of at least 0, and Goal, Timeout and Worth above 0", cls.Name, sc.Name)
		}
		if cls.MeanPrompt > 0 && (sc.Engines == 0 || min(cls.MeanEvents, cls.MaxEvents) <= 0) || cls.MeanPrompt == 0 && sc.Plain == 0 {
			return BadScenario.New("model: class %q of %s has no replicas or no events; set Engines, MeanEvents and MaxEvents for prompts or Plain for plain calls", cls.Name, sc.Name)
		}
		if cls.Repeats != decl.RetryNone && cls.Repeats != decl.RetryAny && cls.Repeats != decl.RetryResumed {
			return BadScenario.New("model: class %q of %s has Repeats %q; set None, Any or Resumed", cls.Name, sc.Name, cls.Repeats)
		}
		names[cls.Name] = true
	}
	for _, slow := range sc.Slowdowns {
		if slow.Share < 0 || slow.Share > 1 || slow.Times < 1 {
			return BadScenario.New("model: a slowdown of %s has Share %v and Times %v; set Share from 0 to 1 and Times of at least 1", sc.Name, slow.Share, slow.Times)
		}
	}
	for _, share := range sc.disturbedShares() {
		if share < 0 || share > 1 {
			return BadScenario.New("model: a restart or cut of %s has Share %v; set a share from 0 to 1", sc.Name, share)
		}
	}
	for _, burst := range sc.Bursts {
		if !names[burst.Class] || burst.Times < 0 {
			return BadScenario.New("model: a burst of %s is of class %q; set Class to a class of the scenario and Times to at least 0", sc.Name, burst.Class)
		}
	}
	return nil
}

// disturbedShares returns the shares of the instances that the restarts and cuts affect.
func (sc *Scenario) disturbedShares() []float64 {
	var shares []float64
	for _, rs := range sc.Restarts {
		shares = append(shares, rs.Share)
	}
	for _, cut := range sc.Cuts {
		shares = append(shares, cut.Share)
	}
	return shares
}

// rate returns the rate of the class at a time in seconds, bursts included.
func (sc *Scenario) rate(cls *Class, at float64) float64 {
	rate := cls.PerSecond
	for _, burst := range sc.Bursts {
		if burst.Class == cls.Name && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Times
		}
	}
	return rate
}

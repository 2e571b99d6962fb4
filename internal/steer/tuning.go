package steer

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

// Tuning holds the figures by which one choice is weighed against another. Each is a weight of the policy and none follows
// from a deployment: what engines, routes and callers are like is declared or observed. A figure that switches its
// mechanism off says so. docs/POLICY.md has what each is worth and how flat it is.
type Tuning struct {
	// RiskFrom and RiskTo are the parts of the time left at which the estimate of a first event counts as safe and as
	// hopeless, RiskPower bends the chance of lateness between them. Later answers than reckoned are what they stand for:
	// what comes to an engine after the request is read in the same pass.
	RiskFrom, RiskTo, RiskPower float64
	// LateShare is the part of an answer's worth that is lost if it is late.
	LateShare float64
	// GiveUp is how late in ms an answer is as good as none.
	GiveUp float64
	// Safety is the part of the time to the first event that a request may wait for a cheaper place.
	Safety float64
	// GapSafety is the part of the longest pause of a stream that a pass of its engine may be reckoned to take: what comes to
	// the engine meanwhile is read in the same pass.
	GapSafety float64
	// LeaveSafety is the part of the pause after which callers leave that a pass may be reckoned to take, LeaveCost what is
	// lost then in parts of the answer's worth.
	LeaveSafety, LeaveCost float64
	// CalmShare is the part of its worth that a request may cost that has all its time left; 1 lets it go at once.
	CalmShare float64

	// TimeShare is the part of the worth that comes with each second of reading that a second of engine time costs which
	// nobody waits for; it parts choices that make nothing late.
	TimeShare float64
	// BacklogShare is the part of it that is added when as much reading waits at the average engine as there is time until
	// the goals; 0 switches it off.
	BacklogShare float64
	// SpreadCost keeps a stream that may not pause off engines that have none like it, which are thereby kept free for
	// long reads; 0 switches it off. FullShare is the part of its slots from which an engine counts as full of such streams.
	SpreadCost, FullShare float64
	// Crowding parts equal choices by chance, so that instances that choose at the same moment, before they hear of each
	// other, do not all take the same engine.
	Crowding float64
	// FarCost is the worth of staying in the own failure domain.
	FarCost float64

	// MaxEngines is how many engines may read one prompt at the most.
	MaxEngines int
	// MinSplit is the least reading in ms that is worth another engine.
	MinSplit float64
	// LongRead is the reading in ms from which a prompt has its engines to itself.
	LongRead float64
	// OverdueShare is the part of its pass that an engine is taken to have left which is later than was reckoned.
	OverdueShare float64

	// KindPower is how the worth of a kind of request grows with its mean prompt, BaseValue the worth of a kind with a mean
	// of 5,000 tokens and of plain requests, FixedShare the part of the worth that does not depend on the prompt's own
	// length, MostTimes bounds the rest.
	KindPower, BaseValue, FixedShare, MostTimes float64

	// LastCall is the part of the goal that is left when a waiting request is as good as late; 0 lets it wait to its goal.
	LastCall float64
	// VainShare is the part of its time that a caller may wait for a place that came back or whose attempt failed.
	VainShare float64
	// FirstTry is the part of the longest time given that a caller has at its first try, at the least.
	FirstTry float64
	// PatientShare is the part of the time left that callers wait when they are asked to.
	PatientShare float64
}

// DefaultTuning returns the figures that are in use where no others are set.
func DefaultTuning() Tuning {
	return Tuning{
		RiskFrom: 0.4, RiskTo: 1.3, RiskPower: 1.6, LateShare: 0.75, GiveUp: 5000, Safety: 0.8, GapSafety: 0.87, LeaveSafety: 0.87, LeaveCost: 1, CalmShare: 0.3,
		TimeShare: 0.025, BacklogShare: 0.7, SpreadCost: 0.1, FullShare: 1, Crowding: 0.03, FarCost: 0.005,
		MaxEngines: 16, MinSplit: 60, LongRead: 60, OverdueShare: 0.3,
		KindPower: 0.7, BaseValue: 1.3, FixedShare: 0.3, MostTimes: 4,
		LastCall: 0.4, VainShare: 0.2, FirstTry: 0.84, PatientShare: 1.0 / 3,
	}
}

// BadTuning is a figure that cannot be used.
var BadTuning = errorx.NewNamespace("steer").NewType("bad_tuning")

// UnmarshalFlag takes the defaults with the figures of a JSON object in their place. It implements flags.Unmarshaler.
func (tune *Tuning) UnmarshalFlag(text string) error {
	*tune = DefaultTuning()
	if text == "" {
		return nil
	}
	dec := json.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(tune); err != nil {
		return BadTuning.Wrap(err, "steer: the tuning is no JSON object of known figures; give one such as {\"RiskTo\":1.3}")
	}
	return tune.Check()
}

// Check returns a BadTuning error that names the figure and what is allowed.
func (tune *Tuning) Check() error {
	positive := map[string]float64{
		"RiskPower": tune.RiskPower, "GiveUp": tune.GiveUp, "MinSplit": tune.MinSplit, "BaseValue": tune.BaseValue,
		"FullShare": tune.FullShare, "MostTimes": tune.MostTimes,
	}
	for name, figure := range positive {
		if figure <= 0 {
			return BadTuning.New("steer: %s is %v; give more than 0", name, figure)
		}
	}
	shares := map[string]float64{
		"LateShare": tune.LateShare, "Safety": tune.Safety, "GapSafety": tune.GapSafety, "LeaveSafety": tune.LeaveSafety, "CalmShare": tune.CalmShare,
		"FixedShare": tune.FixedShare, "LastCall": tune.LastCall, "VainShare": tune.VainShare, "FirstTry": tune.FirstTry,
		"PatientShare": tune.PatientShare, "OverdueShare": tune.OverdueShare,
	}
	for name, share := range shares {
		if share < 0 || share > 1 {
			return BadTuning.New("steer: %s is %v; give a part from 0 to 1", name, share)
		}
	}
	costs := map[string]float64{
		"TimeShare": tune.TimeShare, "BacklogShare": tune.BacklogShare, "LeaveCost": tune.LeaveCost, "SpreadCost": tune.SpreadCost,
		"Crowding": tune.Crowding, "FarCost": tune.FarCost, "LongRead": tune.LongRead, "KindPower": tune.KindPower,
	}
	for name, cost := range costs {
		if cost < 0 {
			return BadTuning.New("steer: %s is %v; give 0 or more", name, cost)
		}
	}
	if tune.RiskFrom < 0 || tune.RiskTo <= tune.RiskFrom {
		return BadTuning.New("steer: RiskFrom is %v and RiskTo %v; give 0 or more, and RiskTo above RiskFrom", tune.RiskFrom, tune.RiskTo)
	}
	if tune.MaxEngines < 1 {
		return BadTuning.New("steer: MaxEngines is %d; give 1 or more", tune.MaxEngines)
	}
	return nil
}

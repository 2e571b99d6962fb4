package steer

import (
	"encoding/json"
	"strings"

	"github.com/joomcode/errorx"
)

// Tuning holds the weights by which one placement is compared with another. None of them depends on a deployment: what
// engines, routes and callers are like is declared or observed. The comment of a weight says which value disables its
// mechanism. docs/POLICY.md describes the effect of each and how sensitive the results are to it.
type Tuning struct {
	// RiskFrom is the share of the time left up to which an estimate of the first event counts as safe.
	RiskFrom float64
	// RiskTo is the share of the time left from which such an estimate counts as certainly late. The range in between
	// covers answers later than estimated: what reaches an engine after the request is read in the same pass.
	RiskTo float64
	// RiskPower is the exponent by which the probability of lateness grows from RiskFrom to RiskTo.
	RiskPower float64
	// LateShare is the share of an answer's value that is lost if it is late.
	LateShare float64
	// GiveUp is the lateness in ms up to which the loss goes on growing. By then callers have given up, and an answer has
	// almost no value.
	GiveUp float64
	// Safety is the share of the time until the first event that a request may wait for a cheaper placement.
	Safety float64
	// GapSafety is the share of a stream's longest allowed pause that a pass of its engine may be estimated to take. The
	// rest covers what reaches the engine meanwhile, which is read in the same pass.
	GapSafety float64
	// LeaveSafety is the share of the pause after which callers leave that a pass may be estimated to take.
	LeaveSafety float64
	// LeaveCost is what is lost by a longer pass, as a share of the answer's value.
	LeaveCost float64
	// MinCostShare is the share of its value that a request may cost while it has all its time left; 1 lets it be sent
	// at once.
	MinCostShare float64 `json:"CalmShare"`

	// TimeShare is the price of a second of engine time that nobody waits for, as a share of the value that comes with
	// each second of reading. It decides between placements that make nothing late.
	TimeShare float64
	// BacklogShare is added to TimeShare in the price of reading when as much reading waits at the average engine as
	// there is time until the goals; 0 disables it.
	BacklogShare float64
	// SpreadCost keeps a stream that may not pause off engines that have no stream like it, so that these stay free for
	// long reads; 0 disables it.
	SpreadCost float64
	// FullShare is the share of its slots from which an engine counts as full of such streams.
	FullShare float64
	// Crowding is the highest random cost of an engine. It decides between equal placements, so that instances that
	// place requests at the same moment, before they learn of each other's, do not all use the same engine.
	Crowding float64
	// FarCost is the cost of a replica outside of the instance's own failure domain.
	FarCost float64
	// NewConnectionCost is the cost of an engine that answers over a new connection, where the service declares how many connections
	// a replica accepts; 0 disables it. It decides between engines that cost nearly the same: it is above Crowding
	// and below SpreadCost, so that streams still gather.
	NewConnectionCost float64
	// PlainConnectionCost is the same for a plain replica, in requests in progress. It is less than the 0.5 of another failure
	// domain, so that an instance does not stay with a replica there, and more than the chance between equals; 0 disables it.
	PlainConnectionCost float64

	// MaxEngines is the maximum number of engines that read one prompt.
	MaxEngines int
	// MinSplit is the minimum reading in ms, for each of the engines, that justifies reading a prompt on several of
	// them.
	MinSplit float64
	// LongRead is the reading in ms above which a prompt has its engines to itself.
	LongRead float64
	// OverdueShare is the share of its estimated length by which a pass that is later than estimated is extended.
	OverdueShare float64

	// KindPower is the exponent by which the value of a kind of request grows with its mean prompt.
	KindPower float64
	// BaseValue is the value of a kind with a mean prompt of 5,000 tokens, and of requests to plain services.
	BaseValue float64
	// FixedShare is the share of the value that does not depend on the length of the request's own prompt.
	FixedShare float64
	// MaxLengthFactor bounds the factor by which a long prompt exceeds the value of its kind.
	MaxLengthFactor float64 `json:"MostTimes"`

	// LateGoalShare is the share of the goal that is left when a waiting request counts as late; 0 lets it wait until its
	// goal.
	LateGoalShare float64 `json:"LastCall"`
	// MaxRewaitShare is the share of its time that a caller may wait for a replica on a retry or after a failed attempt.
	MaxRewaitShare float64 `json:"VainShare"`
	// MinFirstTryShare is the minimum time that a caller has at its first try, as a share of the longest timeout that a
	// caller of the route has stated.
	MinFirstTryShare float64 `json:"FirstTry"`
	// PatientShare is the share of the time left for which callers wait when they are asked to retry later.
	PatientShare float64
	// ShareWeight is the share of what a placement may cost that is withheld from requests that give way to others while
	// capacity is scarce; 0, the default, disables shares of organisations and the balance of urgencies. FairShareWeight is the value
	// to set where a single organisation must not take from the others.
	ShareWeight float64
}

// DefaultTuning returns the weights that apply unless others are set.
func DefaultTuning() Tuning {
	return Tuning{
		RiskFrom: 0.4, RiskTo: 1.3, RiskPower: 1.6, LateShare: 0.75, GiveUp: 5000, Safety: 0.8, GapSafety: 0.87, LeaveSafety: 0.87, LeaveCost: 1, MinCostShare: 0.3,
		TimeShare: 0.025, BacklogShare: 0.7, SpreadCost: 0.1, FullShare: 1, Crowding: 0.03, FarCost: 0.005, NewConnectionCost: 0.06, PlainConnectionCost: 0.4,
		MaxEngines: 16, MinSplit: 60, LongRead: 60, OverdueShare: 0.3,
		KindPower: 0.7, BaseValue: 1.3, FixedShare: 0.3, MaxLengthFactor: 4,
		LateGoalShare: 0.4, MaxRewaitShare: 0.2, MinFirstTryShare: 0.84, PatientShare: 1.0 / 3,
	}
}

// FairShareWeight is the ShareWeight at which organisations that ask for their share at most are served nearly as well beside one that asks
// for ten times its share as without it. It is not the default: while capacity is scarce, it takes more from the large organisations than
// the others gain.
const FairShareWeight = 0.88

// BadTuning is the error type of weights that cannot be used.
var BadTuning = errorx.NewNamespace("steer").NewType("bad_tuning")

// UnmarshalFlag sets the defaults, overridden by the weights in a JSON object. It implements flags.Unmarshaler.
func (tune *Tuning) UnmarshalFlag(text string) error {
	*tune = DefaultTuning()
	if text == "" {
		return nil
	}
	dec := json.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(tune); err != nil {
		return BadTuning.Wrap(err, "steer: the tuning is not a JSON object with known keys; give one such as {\"RiskTo\":1.3}")
	}
	return tune.Check()
}

// Check returns a BadTuning error that names an invalid weight and the values that are allowed.
func (tune *Tuning) Check() error {
	positive := map[string]float64{
		"RiskPower": tune.RiskPower, "GiveUp": tune.GiveUp, "MinSplit": tune.MinSplit, "BaseValue": tune.BaseValue,
		"FullShare": tune.FullShare, "MostTimes": tune.MaxLengthFactor,
	}
	for name, figure := range positive {
		if figure <= 0 {
			return BadTuning.New("steer: %s is %v; give more than 0", name, figure)
		}
	}
	shares := map[string]float64{
		"LateShare": tune.LateShare, "Safety": tune.Safety, "GapSafety": tune.GapSafety, "LeaveSafety": tune.LeaveSafety, "CalmShare": tune.MinCostShare,
		"FixedShare": tune.FixedShare, "LastCall": tune.LateGoalShare, "VainShare": tune.MaxRewaitShare, "FirstTry": tune.MinFirstTryShare,
		"PatientShare": tune.PatientShare, "OverdueShare": tune.OverdueShare, "ShareWeight": tune.ShareWeight,
	}
	for name, share := range shares {
		if share < 0 || share > 1 {
			return BadTuning.New("steer: %s is %v; give a share from 0 to 1", name, share)
		}
	}
	costs := map[string]float64{
		"TimeShare": tune.TimeShare, "BacklogShare": tune.BacklogShare, "LeaveCost": tune.LeaveCost, "SpreadCost": tune.SpreadCost,
		"Crowding": tune.Crowding, "FarCost": tune.FarCost, "NewConnectionCost": tune.NewConnectionCost, "PlainConnectionCost": tune.PlainConnectionCost,
		"LongRead": tune.LongRead, "KindPower": tune.KindPower,
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

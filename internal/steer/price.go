package steer

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The price of engine time. What a second of engine time displaces depends on what callers ask for: the value that comes
// with each second of reading, and how much reading may wait before goals are missed. Both are learnt from the requests,
// so that neither the number of engines nor their speed nor the unit of value has to be configured. Load pattern: bursts
// of long prompts that all engines together could read, but not each of them in time, together with short ones that have
// many times their value for each second of engine time.

// Demand is what callers recently asked of the engines of all services, weighted by age. Refused requests count too:
// otherwise refusals would raise the price of engine time, and so cause more refusals.
type Demand struct {
	// Value is the sum of the values of the answers.
	Value float32 `cbor:"1,keyasint,omitempty"`
	// Reading is the time in s that one engine without other work would take to read the prompts.
	Reading float32 `cbor:"2,keyasint,omitempty"`
	// WeightedGoal is the sum over the prompts of their reading time in s times the time in s until their goal.
	WeightedGoal float32 `cbor:"3,keyasint,omitempty"`
}

const (
	// demandTimeConstant is the time in which past demand decays to 1/e: long enough to hold some of the rarest prompts,
	// short enough to follow the load over the hours of a day.
	demandTimeConstant = 30 * time.Second
	// priorReading is the weight of the prior, which is the demand assumed before any is known, in s of reading: the
	// prior outweighs the demand until callers have asked for as much.
	priorReading = 10.0
	// priorValuePerReading is the value for each second of reading in the prior.
	priorValuePerReading = 12.0
	// priorGoal is the time in s until the goal in the prior.
	priorGoal = 2.3
)

// plus returns the sum of both demands.
func (dm Demand) plus(other Demand) Demand {
	return Demand{Value: dm.Value + other.Value, Reading: dm.Reading + other.Reading, WeightedGoal: dm.WeightedGoal + other.WeightedGoal}
}

// valuePerReading is the mean value for each second of reading, with the prior included.
func (dm Demand) valuePerReading() float64 {
	return (float64(dm.Value) + priorValuePerReading*priorReading) / (float64(dm.Reading) + priorReading)
}

// meanGoal is the mean time in s until the goal, weighted by reading time, with the prior included.
func (dm Demand) meanGoal() float64 {
	return (float64(dm.WeightedGoal) + priorGoal*priorReading) / (float64(dm.Reading) + priorReading)
}

// valid reports whether the figures of a received demand are finite and not negative.
func (dm Demand) valid() bool {
	for _, figure := range []float32{dm.Value, dm.Reading, dm.WeightedGoal} {
		if !(figure >= 0 && figure <= math.MaxFloat32) {
			return false
		}
	}
	return true
}

// demandMeter is a Demand that has decayed up to the time at.
type demandMeter struct {
	Demand
	at time.Time
}

// decay changes the meter: it lets the demand decay up to now, and returns it.
func (mt *demandMeter) decay(now time.Time) Demand {
	if !mt.at.IsZero() {
		keep := float32(math.Exp(-now.Sub(mt.at).Seconds() / demandTimeConstant.Seconds()))
		mt.Value *= keep
		mt.Reading *= keep
		mt.WeightedGoal *= keep
	}
	mt.at = now
	return mt.Demand
}

// recordDemand adds the request's prompt to the demand. It is called at the caller's first try only.
func (st *State) recordDemand(eng *decl.Engine, req *request) {
	reading := eng.PrefillWork(req.Prompt, 1).AloneTime(eng) / 1000
	st.demand.decay(st.now)
	st.demand.Demand = st.demand.plus(Demand{
		Value: float32(req.value), Reading: float32(reading), WeightedGoal: float32(reading * req.Route.Goal.Std().Seconds()),
	})
}

// sumPeerDemand adds up the demand at the other instances in the order of their names: in another order the rounding would
// differ, and what an instance does must follow from its events alone.
func (st *State) sumPeerDemand() {
	st.peerDemand = Demand{}
	for _, from := range slices.Sorted(maps.Keys(st.peers)) {
		st.peerDemand = st.peerDemand.plus(st.peers[from].demand)
	}
}

// prices are the present prices of engine time in value per second.
type prices struct {
	// idle is the price of a second of engine time for which no other request waits.
	idle float64
	// reading is the price of a second of reading. It grows with the reading that waits: the engine time that a long
	// prompt takes grows with the square of its length while its value grows only in proportion, so that under overload
	// the longest prompts would displace requests of higher value. At this price they wait until the load falls.
	reading float64
}

// pricesOf returns the prices for the service, from its own backlog and the demand for all services.
func (st *State) pricesOf(svc *service) prices {
	dm := st.demand.decay(st.now).plus(st.peerDemand)
	valuePerReading := dm.valuePerReading()
	return prices{
		idle:    valuePerReading * st.tune.TimeShare,
		reading: valuePerReading * (st.tune.TimeShare + st.tune.BacklogShare*st.meanBacklog(svc)/dm.meanGoal()),
	}
}

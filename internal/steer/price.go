package steer

import (
	"maps"
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// The price of engine time. Load pattern: bursts of long prompts that all engines together could read, though not each of
// them in time, beside short ones that are worth many times as much for each second of an engine. What a second of engine
// time displaces depends on what callers ask for: on how much worth comes with each second of reading, and on how much
// reading may wait before goals are missed. Both are learnt, so that neither the number of engines nor their pace nor the
// unit of worth is set.

// Demand is what callers asked of the engines of all services lately, weighted by its age. Requests that were refused count
// too: otherwise what is refused would make engine time dear, and be refused the more.
type Demand struct {
	// Value is the worth of the answers, Reading the time in s that one engine would take to read the prompts, Room the sum
	// over the prompts of that time times the time in s until the goal.
	Value   float32 `cbor:"1,keyasint,omitempty"`
	Reading float32 `cbor:"2,keyasint,omitempty"`
	Room    float32 `cbor:"3,keyasint,omitempty"`
}

const (
	// demandMemory is the time in which what was asked for loses most of its weight: long enough for some of the rarest
	// prompts, short enough to follow the hours of a day.
	demandMemory = 30 * time.Second
	// priorReading is the weight in s of what is taken for granted before callers have asked for as much, priorDensity the
	// worth for each second of reading and priorGoal the time in s until the goal that are.
	priorReading = 10.0
	priorDensity = 12.0
	priorGoal    = 2.3
)

// plus is both together.
func (dm Demand) plus(other Demand) Demand {
	return Demand{Value: dm.Value + other.Value, Reading: dm.Reading + other.Reading, Room: dm.Room + other.Room}
}

// density is the worth for each second of reading.
func (dm Demand) density() float64 {
	return (float64(dm.Value) + priorDensity*priorReading) / (float64(dm.Reading) + priorReading)
}

// goal is the time in s until the goal of the mean second of reading.
func (dm Demand) goal() float64 {
	return (float64(dm.Room) + priorGoal*priorReading) / (float64(dm.Reading) + priorReading)
}

// valid tells that a demand that was heard can be one.
func (dm Demand) valid() bool {
	for _, figure := range []float32{dm.Value, dm.Reading, dm.Room} {
		if !(figure >= 0 && figure <= math.MaxFloat32) {
			return false
		}
	}
	return true
}

// demandMeter is a Demand with the time up to which its parts have lost weight.
type demandMeter struct {
	Demand
	at time.Time
}

// asked returns the demand as of now.
func (mt *demandMeter) asked(now time.Time) Demand {
	if !mt.at.IsZero() {
		keep := float32(math.Exp(-now.Sub(mt.at).Seconds() / demandMemory.Seconds()))
		mt.Value *= keep
		mt.Reading *= keep
		mt.Room *= keep
	}
	mt.at = now
	return mt.Demand
}

// ask counts a prompt at its caller's first try.
func (st *State) ask(eng *decl.Engine, req *request) {
	reading := eng.Reading(req.Prompt, 1).Alone(eng) / 1000
	st.demand.asked(st.now)
	st.demand.Demand = st.demand.plus(Demand{
		Value: float32(req.value), Reading: float32(reading), Room: float32(reading * req.Route.Goal.Std().Seconds()),
	})
}

// sumDemand adds up what callers asked of the other instances, in an order of its own: sums in another order differ a
// little, and what an instance does follows from its events alone.
func (st *State) sumDemand() {
	st.othersDemand = Demand{}
	for _, from := range slices.Sorted(maps.Keys(st.peers)) {
		st.othersDemand = st.othersDemand.plus(st.peers[from].demand)
	}
}

// prices are what engine time is worth now.
type prices struct {
	// idle is the worth of a second of it that nobody waits for, reading that of a second of reading, which grows with the
	// reading that waits: a long prompt takes engine time by the square of its length and is worth only in proportion to it, so
	// that under overload the longest would displace what is worth more, and wait for a lull instead.
	idle, reading float64
}

// pricesOf weighs the backlog of the one service against what is asked of all.
func (st *State) pricesOf(svc *service) prices {
	dm := st.demand.asked(st.now).plus(st.othersDemand)
	density := dm.density()
	return prices{
		idle:    density * st.tune.TimeShare,
		reading: density * (st.tune.TimeShare + st.tune.BacklogShare*st.meanBacklog(svc)/dm.goal()),
	}
}

package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// RandomScenario returns a random deployment. It varies the number of engines and their speed, memory and slots, the mix of
// lengths, the goals and worths, the instances, failure domains and bursts. Random deployments reveal policies that fit
// only one deployment.
func RandomScenario(seed uint64) *Scenario {
	random := rand.New(rand.NewPCG(seed, 77))
	between := func(low, high float64) float64 { return low * math.Exp(random.Float64()*math.Log(high/low)) }
	whole := func(low, high float64) int { return int(math.Round(between(low, high))) }
	sc := &Scenario{
		Name: fmt.Sprintf("drawn-%d", seed), Seconds: 34, Instances: whole(2, 16), FailureDomains: 1 + random.IntN(3),
		Engines: whole(5, 32), Plain: 1 + random.IntN(4), PlainSlots: whole(4, 12), NoteDelay: between(0.3, 3), NoteLoss: between(0.0005, 0.02),
	}
	sc.Engine = decl.Engine{
		Slots: whole(8, 48), Memory: int64(between(150_000, 1_200_000)), Step: between(0.4, 4), PerWriter: between(0.002, 0.02),
		PerContext: between(0.001, 0.006), ReadRate: between(60, 400), PairCost: between(0.05, 0.4), Chunk: int64(whole(1024, 8192)),
		Stride: whole(12, 60), Hop: 0.05, Helpers: 4 + random.IntN(13),
	}
	// The goals are several times the duration of a pass on a full engine; otherwise no request could be served in time.
	pass := float64(sc.Engine.Stride) * sc.Engine.StepTime(sc.Engine.Slots, 0)
	sc.classes(random, between, pass)
	sc.scale(between(0.35, 0.75))
	for at := 1.0; at < sc.Seconds-4; {
		long := between(3, 10)
		for i := range 3 {
			sc.Bursts = append(sc.Bursts, Burst{Class: sc.Classes[i].Name, At: at, For: long, Times: between(0.2, 3)})
		}
		at += long + between(0.5, 4)
	}
	return sc
}

// classes draws three classes of prompts and two of plain calls.
func (sc *Scenario) classes(random *rand.Rand, between func(low, high float64) float64, pass float64) {
	means := []float64{between(1500, 9000), between(20_000, 70_000), between(90_000, 250_000)}
	names := []string{"short", "middle", "long"}
	worth := between(0.5, 3)
	for i, mean := range means {
		eng := &sc.Engine
		alone := eng.PrefillWork(int64(mean), 1).AloneTime(eng)
		cls := Class{
			Name: names[i], PerSecond: between(0.6, 1.6), MeanPrompt: mean, Spread: between(0.3, 0.9), MeanEvents: between(8, 40),
			EventSpread: between(0.3, 0.7), Timeout: 10_000, Attempts: 2, Repeats: decl.RetryResumed, Worth: worth,
		}
		cls.MaxPrompt = mean * between(2.5, 5)
		cls.MaxEvents = cls.MeanEvents * between(2, 4)
		cls.Goal = between(3, 6)*pass + between(2, 5)*alone/float64(1+2*i)
		cls.Gap = between(3, 6) * pass * float64(1+2*i)
		cls.Timeout = max(cls.Timeout, 4*cls.Goal, 2*cls.MaxEvents*pass)
		cls.LateWorth = worth * (0.2 + 0.3*random.Float64())
		sc.Classes = append(sc.Classes, cls)
		worth *= between(2, 6)
	}
	// Shorter prompts arrive more often.
	sc.Classes[0].PerSecond *= 25
	sc.Classes[1].PerSecond *= 1.6
	sc.Classes = append(sc.Classes,
		Class{Name: "order", PerSecond: 3, Work: 15, ErrorShare: 0.005, Goal: 100, Timeout: 600, Attempts: 1, Repeats: decl.RetryNone, Worth: 1, LateWorth: 0.3},
		Class{Name: "lookup", PerSecond: 3, Work: 15, ErrorShare: 0.1, Goal: 100, Timeout: 600, Attempts: 2, Repeats: decl.RetryAny, Worth: 1, LateWorth: 0.3})
}

// scale sets the rates of the prompts so that prefill and decode use the given share of all engines' time on average.
func (sc *Scenario) scale(share float64) {
	used := 0.0
	for i := range sc.Classes {
		cls := &sc.Classes[i]
		if cls.MeanPrompt > 0 {
			used += cls.PerSecond * sc.cost(cls) / 1000
		}
	}
	for i := range sc.Classes {
		if sc.Classes[i].MeanPrompt > 0 {
			sc.Classes[i].PerSecond *= share * float64(sc.Engines) / used
		}
	}
}

// cost returns the engine time in ms of a mean request of the class: its prefill, in which the mean of the squared length
// follows from the spread, and its share of the passes that decode its answer.
func (sc *Scenario) cost(cls *Class) float64 {
	eng := &sc.Engine
	pw := eng.PrefillWork(int64(cls.MeanPrompt), 1)
	linear := cls.MeanPrompt / eng.ReadRate
	pairs := (pw.Time - linear) * math.Exp(cls.Spread*cls.Spread)
	write := cls.MeanEvents * float64(eng.Stride) * eng.StepTime(eng.Slots, 0) / float64(eng.Slots)
	return linear + pairs + pw.Steps*eng.Step + write
}

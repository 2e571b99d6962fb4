package model

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// epoch is when virtual time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	serviceModel = "model"
	servicePlain = "plain"
	// settling is for how long in seconds the run goes on after the last arrival.
	settling = 16.0
	// budgetRatio, budgetSlack and budgetWindow bound repeats.
	budgetRatio  = 0.2
	budgetSlack  = 100
	budgetWindow = 10 * time.Second
)

// world is one run.
type world struct {
	sc       *Scenario
	tune     steer.Tuning
	seed     uint64
	now      time.Time
	due      agenda
	order    uint64
	random   *rand.Rand
	arrivals *rand.Rand
	routing  *decl.Routing
	replicas []steer.Replica
	engines  map[string]*engine
	plains   map[string]*plain
	// instances holds nil for one that is down.
	instances []*instance
	runs      int64
	calls     uint64
	result    *Result
}

// item is something due.
type item struct {
	at    time.Time
	order uint64
	do    func()
}

type agenda []item

func (ag agenda) Len() int { return len(ag) }
func (ag agenda) Less(i, j int) bool {
	if ag[i].at.Equal(ag[j].at) {
		return ag[i].order < ag[j].order
	}
	return ag[i].at.Before(ag[j].at)
}
func (ag agenda) Swap(i, j int) { ag[i], ag[j] = ag[j], ag[i] }

// Push implements heap.Interface.
func (ag *agenda) Push(x any) { *ag = append(*ag, x.(item)) }

// Pop implements heap.Interface.
func (ag *agenda) Pop() any {
	old := *ag
	last := old[len(old)-1]
	old[len(old)-1] = item{}
	*ag = old[:len(old)-1]
	return last
}

// Run plays the scenario once. The same scenario, tuning and seed give the same result; the arrivals depend on the
// scenario and the seed alone.
func Run(sc *Scenario, tune steer.Tuning, seed uint64) *Result {
	wd := newWorld(sc, tune, seed)
	wd.start()
	wd.arrive(func(index int) { wd.draw(index).begin() })
	for _, out := range sc.Outages {
		wd.after(out.At*1000, wd.kill)
		wd.after((out.At+out.For)*1000, wd.start)
	}
	wd.play()
	wd.result.finish()
	return wd.result
}

func newWorld(sc *Scenario, tune steer.Tuning, seed uint64) *world {
	wd := &world{
		sc: sc, tune: tune, seed: seed, now: epoch,
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		engines: map[string]*engine{}, plains: map[string]*plain{}, instances: make([]*instance, sc.Instances),
		result: newResult(sc),
	}
	wd.build()
	return wd
}

// play does all that is due until some time after the last arrival.
func (wd *world) play() {
	end := epoch.Add(millis((wd.sc.Seconds + settling) * 1000))
	for len(wd.due) > 0 && wd.due[0].at.Before(end) {
		next := heap.Pop(&wd.due).(item)
		wd.now = next.at
		next.do()
	}
}

// after does something in so many ms.
func (wd *world) after(wait float64, do func()) {
	wd.order++
	heap.Push(&wd.due, item{wd.now.Add(millis(wait)), wd.order, do})
}

// build makes the replicas and the routes.
func (wd *world) build() {
	for i := range wd.sc.Engines {
		rep := steer.Replica{Name: fmt.Sprintf("engine-%03d", i), Born: 1, Service: serviceModel, Address: fmt.Sprintf("e%d", i), FailureDomain: wd.domainOf(i), Slots: wd.sc.Engine.Slots}
		wd.replicas = append(wd.replicas, rep)
		wd.engines[rep.Name] = &engine{wd: wd, replica: rep, index: i}
	}
	for i := range wd.sc.Plain {
		rep := steer.Replica{Name: fmt.Sprintf("plain-%03d", i), Born: 1, Service: servicePlain, Address: fmt.Sprintf("p%d", i), FailureDomain: wd.domainOf(i), Slots: wd.sc.PlainSlots}
		wd.replicas = append(wd.replicas, rep)
		wd.plains[rep.Name] = &plain{wd: wd, replica: rep}
	}
	figs := wd.sc.Engine
	wd.routing = &decl.Routing{Version: 1, Services: map[string]decl.Pool{serviceModel: {Engine: &figs}, servicePlain: {}}}
	for i := range wd.sc.Classes {
		cls := &wd.sc.Classes[i]
		service := serviceModel
		if cls.MeanPrompt == 0 {
			service = servicePlain
		}
		wd.routing.Routes = append(wd.routing.Routes, decl.Route{
			Name: cls.Name, Shares: []decl.Share{{Service: service, Weight: 1}}, Repeats: cls.Repeats, Stream: cls.MeanPrompt > 0,
			Timeout: decl.Duration(millis(cls.Timeout)), Goal: decl.Duration(millis(cls.Goal)), Gap: decl.Duration(millis(cls.Gap)), Attempts: max(1, cls.Attempts),
		})
	}
}

// start brings all instances up that are down, at moments that differ a little.
func (wd *world) start() {
	wd.runs++
	for i := range wd.instances {
		run := wd.runs
		wd.after(200*wd.random.Float64()*float64(min(1, run-1)), func() { wd.launch(i, run) })
	}
}

func (wd *world) launch(index int, run int64) {
	in := &instance{wd: wd, name: wd.nameOf(index), calls: map[steer.RequestID]*try{}}
	in.state = steer.New(steer.Options{
		Name: in.name, FailureDomain: wd.domainOf(index), Run: run, Seed: wd.seed*1000 + uint64(index) + uint64(run)*100,
		MissingTime: 2 * time.Second, Tuning: wd.tune,
		Budget: steer.Budget{Ratio: budgetRatio, Slack: budgetSlack, Window: budgetWindow},
	})
	wd.instances[index] = in
	in.reduce(steer.Configured{Routing: wd.routing})
	in.reduce(steer.Listed{Replicas: wd.replicas})
	var others []steer.Instance
	for i := range wd.instances {
		if i != index {
			others = append(others, steer.Instance{Name: wd.nameOf(i), FailureDomain: wd.domainOf(i)})
		}
	}
	in.reduce(steer.Peered{Instances: others})
	in.tick()
	wd.after(summaryPeriod*wd.random.Float64(), in.summarize)
}

func (wd *world) domainOf(index int) string {
	return fmt.Sprintf("domain-%d", index%wd.sc.FailureDomains)
}

func (wd *world) nameOf(index int) string { return fmt.Sprintf("instance-%03d", index) }

// kill takes all instances away with everything that they know.
func (wd *world) kill() {
	for i, in := range wd.instances {
		if in == nil {
			continue
		}
		in.dead = true
		wd.instances[i] = nil
		for _, id := range in.open() {
			tr := in.calls[id]
			tr.call.broke(tr)
		}
	}
}

// open lists what is open at the instance, in the order of arrival.
func (in *instance) open() []steer.RequestID {
	ids := make([]steer.RequestID, 0, len(in.calls))
	for id := range in.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// tell brings a note to the others.
func (wd *world) tell(from *instance, eff steer.SendNote) {
	for _, in := range wd.instances {
		if in == nil || in == from || eff.To != nil && !slices.Contains(eff.To, in.name) {
			continue
		}
		if wd.random.Float64() < wd.sc.NoteLoss {
			continue
		}
		// Each receiver decodes a note of its own.
		nt := eff.Note
		nt.Jobs = slices.Clone(nt.Jobs)
		wd.after(wd.sc.NoteDelay*(0.5+wd.random.Float64()), func() { in.reduce(steer.NoteReceived{Note: nt}) })
	}
}

// arrive lets each class arrive as a Poisson stream, thinned where its rate is below its highest.
func (wd *world) arrive(arrived func(index int)) {
	for i := range wd.sc.Classes {
		cls := &wd.sc.Classes[i]
		most := cls.PerSecond
		for _, burst := range wd.sc.Bursts {
			if burst.Class == cls.Name {
				most = max(most, cls.PerSecond*burst.Times)
			}
		}
		if most <= 0 {
			continue
		}
		source := rand.New(rand.NewPCG(wd.seed, uint64(i)+10))
		for at := source.ExpFloat64() / most; at < wd.sc.Seconds; at += source.ExpFloat64() / most {
			if source.Float64()*most >= wd.sc.rate(cls, at) {
				continue
			}
			wd.after(at*1000, func() { arrived(i) })
		}
	}
}

// round3 rounds for the report.
func round3(figure float64) float64 { return math.Round(figure*1000) / 1000 }

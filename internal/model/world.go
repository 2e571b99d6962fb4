package model

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	serviceModel = "model"
	servicePlain = "plain"
	// settleSeconds is how long in seconds the run continues after the last arrival.
	settleSeconds = 16.0
	// budgetRatio is the number of retries that the instances together may send per request in budgetWindow.
	budgetRatio = 0.2
	// budgetSlack is the number of retries that they may send in addition.
	budgetSlack = 100
	// budgetWindow is the time over which requests and retries are counted.
	budgetWindow = 10 * time.Second
)

// world is the state of one simulation run.
type world struct {
	sc       *Scenario
	tune     steer.Tuning
	seed     uint64
	now      time.Time
	queue    eventQueue
	sequence uint64
	// random is the source of all random values that the policy can influence.
	random *rand.Rand
	// arrivals is the source of the calls' timeouts and lengths. It is separate, so that a policy doesn't change the load.
	arrivals *rand.Rand
	routing  *decl.Routing
	replicas []steer.Replica
	engines  map[string]*engine
	plains   map[string]*plainReplica
	// instances holds nil for an instance that is stopped.
	instances []*instance
	// runs is the number of starts of the instances, from which each gets its run number.
	runs int64
	// calls is the number of calls so far.
	calls  uint64
	result *Result
}

// scheduledEvent is a function to be run at a virtual time. Events of the same time run in the order of sequence.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventQueue []scheduledEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	if eq[i].at.Equal(eq[j].at) {
		return eq[i].sequence < eq[j].sequence
	}
	return eq[i].at.Before(eq[j].at)
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }

// Push implements heap.Interface.
func (eq *eventQueue) Push(x any) { *eq = append(*eq, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (eq *eventQueue) Pop() any {
	old := *eq
	last := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*eq = old[:len(old)-1]
	return last
}

// Run simulates the scenario once. The same scenario, tuning and seed give the same result. The arrivals depend only on
// the scenario and the seed, so different tunings are compared under the same load.
func Run(sc *Scenario, tune steer.Tuning, seed uint64) *Result {
	wd := newWorld(sc, tune, seed)
	wd.startInstances(len(wd.instances))
	wd.scheduleArrivals(func(index int) { wd.newCall(index).sendRequest() })
	for _, out := range sc.Outages {
		wd.after(out.At*1000, func() { wd.stopInstances(len(wd.instances)) })
		wd.after((out.At+out.For)*1000, func() { wd.startInstances(len(wd.instances)) })
	}
	for _, rs := range sc.Restarts {
		count := int(math.Ceil(rs.Share * float64(len(wd.instances))))
		wd.after(rs.At*1000, func() { wd.stopInstances(count) })
		wd.after((rs.At+rs.For)*1000, func() { wd.startInstances(count) })
	}
	wd.runEvents()
	wd.result.computeTotals()
	return wd.result
}

func newWorld(sc *Scenario, tune steer.Tuning, seed uint64) *world {
	wd := &world{
		sc: sc, tune: tune, seed: seed, now: epoch,
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		engines: map[string]*engine{}, plains: map[string]*plainReplica{}, instances: make([]*instance, sc.Instances),
		result: newResult(sc),
	}
	wd.build()
	return wd
}

// runEvents runs the scheduled events in order until the run has settled after the last arrival.
func (wd *world) runEvents() {
	end := epoch.Add(millis((wd.sc.Seconds + cmp.Or(wd.sc.Settle, settleSeconds)) * 1000))
	for len(wd.queue) > 0 && wd.queue[0].at.Before(end) {
		next := heap.Pop(&wd.queue).(scheduledEvent)
		wd.now = next.at
		next.do()
	}
}

// after schedules a function to run in wait ms.
func (wd *world) after(wait float64, do func()) {
	wd.sequence++
	heap.Push(&wd.queue, scheduledEvent{wd.now.Add(millis(wait)), wd.sequence, do})
}

// build creates the replicas and the routing.
func (wd *world) build() {
	for i := range wd.sc.Engines {
		rep := steer.Replica{Name: fmt.Sprintf("engine-%03d", i), Born: 1, Service: serviceModel, Address: fmt.Sprintf("e%d", i), FailureDomain: wd.failureDomain(i), Slots: wd.sc.Engine.Slots}
		wd.replicas = append(wd.replicas, rep)
		wd.engines[rep.Name] = &engine{wd: wd, replica: rep, index: i}
	}
	for i := range wd.sc.Plain {
		rep := steer.Replica{Name: fmt.Sprintf("plain-%03d", i), Born: 1, Service: servicePlain, Address: fmt.Sprintf("p%d", i), FailureDomain: wd.failureDomain(i), Slots: wd.sc.PlainSlots}
		wd.replicas = append(wd.replicas, rep)
		wd.plains[rep.Name] = &plainReplica{wd: wd, replica: rep}
	}
	eng := wd.sc.Engine
	wd.routing = &decl.Routing{Version: 1, Services: map[string]decl.Pool{serviceModel: {Engine: &eng}, servicePlain: {}}, Tokens: map[string]string{}}
	for i := range wd.sc.Classes {
		cls := &wd.sc.Classes[i]
		if cls.Organisation != "" {
			wd.routing.Tokens[decl.TokenDigest(cls.Organisation)] = cls.Organisation
		}
		service := serviceModel
		if cls.MeanPrompt == 0 {
			service = servicePlain
		}
		wd.routing.Routes = append(wd.routing.Routes, decl.Route{
			Name: cls.Name, Shares: []decl.Share{{Service: service, Weight: 1}}, Repeats: cls.Repeats, Stream: cls.MeanPrompt > 0,
			Priority: cls.Priority, Timeout: decl.Duration(millis(cls.Timeout)), Goal: decl.Duration(millis(cls.Goal)), Gap: decl.Duration(millis(cls.Gap)), Attempts: max(1, cls.Attempts),
		})
	}
}

// startInstances starts the first instances, after an outage with random delays of up to 200 ms.
func (wd *world) startInstances(count int) {
	wd.runs++
	for i := range count {
		run := wd.runs
		wd.after(200*wd.random.Float64()*float64(min(1, run-1)), func() { wd.startInstance(i, run) })
	}
}

func (wd *world) startInstance(index int, run int64) {
	in := &instance{wd: wd, index: index, name: wd.instanceName(index), requests: map[steer.RequestID]*request{}}
	in.state = steer.New(steer.Options{
		Name: in.name, FailureDomain: wd.failureDomain(index), Run: run, Seed: wd.seed*1000 + uint64(index) + uint64(run)*100,
		MissingTime: 2 * time.Second, Tuning: wd.tune,
		Budget: budget.Rule{Ratio: budgetRatio, Slack: budgetSlack, Window: budgetWindow},
	})
	wd.instances[index] = in
	in.reduce(steer.Configured{Routing: wd.routing})
	in.reduce(steer.Listed{Replicas: wd.replicas})
	var others []steer.Instance
	for i := range wd.instances {
		if i != index {
			others = append(others, steer.Instance{Name: wd.instanceName(i), FailureDomain: wd.failureDomain(i)})
		}
	}
	in.reduce(steer.Peered{Instances: others, Listed: true})
	in.tick()
	wd.after(summaryPeriod*wd.random.Float64(), in.summarize)
}

func (wd *world) failureDomain(index int) string {
	return fmt.Sprintf("domain-%d", index%wd.sc.FailureDomains)
}

func (wd *world) instanceName(index int) string { return fmt.Sprintf("instance-%03d", index) }

// stopInstances stops the first instances, which lose their state, and breaks the connections of their callers.
func (wd *world) stopInstances(count int) {
	for i, in := range wd.instances[:count] {
		if in == nil {
			continue
		}
		in.stopped = true
		wd.instances[i] = nil
		for _, id := range in.openRequests() {
			req := in.requests[id]
			req.call.connectionLost(req)
		}
	}
}

// openRequests lists the open requests of the instance in the order of their arrival.
func (in *instance) openRequests() []steer.RequestID {
	ids := make([]steer.RequestID, 0, len(in.requests))
	for id := range in.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

const (
	// noteBytes is the size in bytes of a note without jobs, with the headers of its datagram.
	noteBytes = 120
	// jobBytes is the size in bytes of a job in a note.
	jobBytes = 90
	// idBytes is the size in bytes of the ID of a job that has begun or ended.
	idBytes = 9
)

// linkDelay returns how long in ms a copy of the note waits until it has left the instance.
func (in *instance) linkDelay(nt *steer.Note) float64 {
	if in.wd.sc.LinkMbps == 0 {
		return 0
	}
	size := noteBytes + jobBytes*(len(nt.Jobs)+len(nt.SlotRequests)) + idBytes*(len(nt.Begun)+len(nt.Ended)+len(nt.OpenJobs))
	if in.linkFreeAt.Before(in.wd.now) {
		in.linkFreeAt = in.wd.now
	}
	in.linkFreeAt = in.linkFreeAt.Add(time.Duration(float64(size) * 8000 / in.wd.sc.LinkMbps))
	return ms(in.linkFreeAt.Sub(in.wd.now))
}

// deliverNote delivers a note to its receivers after a random delay. Each copy may be lost.
func (wd *world) deliverNote(from *instance, eff steer.SendNote) {
	fromCut := wd.cutOff(from.index)
	for _, in := range wd.instances {
		if in != nil && in != from && (fromCut || wd.cutOff(in.index)) {
			continue
		}
		if in == nil || in == from || eff.To != nil && !slices.Contains(eff.To, in.name) {
			continue
		}
		sent := from.linkDelay(&eff.Note)
		if wd.random.Float64() < wd.sc.NoteLoss {
			continue
		}
		// Each receiver gets a copy of its own, as if it decoded the note.
		nt := eff.Note
		nt.Jobs = slices.Clone(nt.Jobs)
		nt.SlotRequests = slices.Clone(nt.SlotRequests)
		wd.after(sent+wd.sc.NoteDelay*(0.5+wd.random.Float64()), func() { in.reduce(steer.NoteReceived{Note: nt}) })
	}
}

// cutOff reports whether notes from and to the instance are lost now.
func (wd *world) cutOff(index int) bool {
	at := wd.now.Sub(epoch).Seconds()
	for _, cut := range wd.sc.Cuts {
		if at >= cut.At && at < cut.At+cut.For && float64(index) >= (1-cut.Share)*float64(len(wd.instances)) {
			return true
		}
	}
	return false
}

// scheduleArrivals schedules the arrivals of each class as a Poisson process, thinned from the peak rate to the current
// one.
func (wd *world) scheduleArrivals(arrived func(index int)) {
	for i := range wd.sc.Classes {
		cls := &wd.sc.Classes[i]
		peak := cls.PerSecond
		for _, burst := range wd.sc.Bursts {
			if burst.Class == cls.Name {
				peak = max(peak, cls.PerSecond*burst.Times)
			}
		}
		if peak <= 0 {
			continue
		}
		source := rand.New(rand.NewPCG(wd.seed, uint64(i)+10))
		for at := source.ExpFloat64() / peak; at < wd.sc.Seconds; at += source.ExpFloat64() / peak {
			if source.Float64()*peak >= wd.sc.rate(cls, at) {
				continue
			}
			wd.after(at*1000, func() { arrived(i) })
		}
	}
}

// round3 rounds to three decimals for the report.
func round3(value float64) float64 { return math.Round(value*1000) / 1000 }

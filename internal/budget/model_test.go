package budget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/clock/steps"
)

const (
	window = 10 * time.Second
	lag    = 2 * time.Second
)

// start is a time with a monotonic clock reading.
var start = time.Now()

// openUse is a use that is decided.
type openUse struct {
	// sentAt is when it is sent, and arrivesAt when it arrives after that.
	sentAt, arrivesAt time.Duration
}

// process is one run of an instance.
type process struct {
	name string
	div  budget.Division
	al   *budget.Allowance
	// cutUntil is until when the process reads no list.
	cutUntil time.Duration
	// pausedUntil is until when the process does nothing.
	pausedUntil time.Duration
	// clockStep is by how many seconds its time of day is off.
	clockStep int
	// open holds the open uses.
	open []openUse
	// writesAt is when it writes its entry next.
	writesAt time.Duration
}

func (pr *process) clock(at time.Duration) time.Time {
	return steps.Stepped(start.Add(at), pr.clockStep)
}

// flight is a use on its way.
type flight struct {
	from *process
	at   time.Duration
}

// model is a fleet of processes that share a budget through a list of instances.
type model struct {
	rt       *rapid.T
	random   *rand.Rand
	rule     budget.Rule
	now      time.Duration
	inFlight []flight
	// processes are the living ones.
	processes []*process
	// listed holds the names in the list, whether their processes live or not, and until when.
	listed map[string]time.Duration
	names  int
	// requests and uses hold when each request came and each use arrived, over all processes.
	requests, uses []time.Duration
}

const (
	// entryLife is how long the entry of a process that ended stays in the list.
	entryLife = 40 * time.Second
	// writeInterval is how often a process writes its entry.
	writeInterval = 15 * time.Second
)

func (md *model) startProcess(name string) {
	rule := md.rule
	md.processes = append(md.processes, &process{name: name, div: budget.Division{Window: rule.Window, Lag: lag}, al: budget.NewAllowance(rule)})
}

func (md *model) newName() string {
	md.names++
	return fmt.Sprintf("instance-%d", md.names)
}

// step lets a tenth of a second pass.
func (md *model) step(perSecond float64, failing int) {
	const tick = 100 * time.Millisecond
	md.now += tick
	for _, pr := range md.processes {
		if md.now < pr.pausedUntil {
			continue
		}
		md.readList(pr)
		if md.random.Float64() < perSecond*tick.Seconds() {
			md.request(pr, failing)
		}
		md.advanceOpen(pr)
	}
	md.arrive()
}

// readList lets the process read the list and write its own entry, unless it is cut off.
func (md *model) readList(pr *process) {
	if md.now < pr.cutUntil {
		return
	}
	if md.now >= pr.writesAt {
		md.listed[pr.name] = md.now + entryLife
		pr.writesAt = md.now + writeInterval
	}
	var others []string
	for name, until := range md.listed {
		if name != pr.name && md.now < until {
			others = append(others, name)
		}
	}
	pr.div.ListRead(pr.clock(md.now), others, md.now < md.listed[pr.name])
	pr.div.Confirm(pr.clock(md.now), 0)
}

// request counts a request at the process, which fails failing times and wants a use each time.
func (md *model) request(pr *process, failing int) {
	md.requests = append(md.requests, md.now)
	pr.al.CountRequest(pr.clock(md.now))
	for range failing {
		if _, taken := pr.al.Take(pr.clock(md.now), pr.div.Part(pr.clock(md.now))); taken {
			// Most are sent at once. Some wait for room at a replica first, or for a connection.
			wait := time.Duration([]int{0, 0, 0, 0, 300, 6000}[md.random.IntN(6)]) * time.Millisecond
			pr.open = append(pr.open, openUse{sentAt: md.now + wait, arrivesAt: md.now + wait + time.Duration(md.random.IntN(200))*time.Millisecond})
		}
	}
}

// advanceOpen sends the open uses whose time has come, unless they are not allowed any more, and lets those arrive that were sent.
// One in ten is given up before it is sent.
func (md *model) advanceOpen(pr *process) {
	now := pr.clock(md.now)
	pr.open = slices.DeleteFunc(pr.open, func(us openUse) bool {
		if us.sentAt > md.now {
			return false
		}
		_, allowed := pr.al.StillAllowed(now, pr.div.Part(now))
		if !allowed || md.random.IntN(10) == 0 {
			pr.al.Release()
			return true
		}
		md.inFlight = append(md.inFlight, flight{pr, us.arrivesAt})
		return true
	})
}

// arrive lets the uses arrive that were sent. Their processes learn of it unless they have ended.
func (md *model) arrive() {
	md.inFlight = slices.DeleteFunc(md.inFlight, func(fl flight) bool {
		if fl.at > md.now {
			return false
		}
		md.uses = append(md.uses, md.now)
		fl.from.al.Settle(fl.from.clock(md.now))
		return true
	})
}

// disturb does one of the things that make instances differ in what they know.
func (md *model) disturb() {
	// reach is how many of four processes are disturbed.
	reach := rapid.IntRange(1, 4).Draw(md.rt, "reach")
	var some []int
	for at := range md.processes {
		if md.random.IntN(4) < reach {
			some = append(some, at)
		}
	}
	kind := rapid.SampledFrom([]string{"kill", "replace", "cut", "pause", "clock", "expire", "add"}).Draw(md.rt, "disturbance")
	period := time.Duration(rapid.IntRange(1, 15).Draw(md.rt, "period")) * 4 * time.Second
	clockStep := rapid.IntRange(-30, 30).Draw(md.rt, "step")
	switch kind {
	case "expire":
		// Entries expire while the store is away. Their processes write them again when they notice.
		md.listed = map[string]time.Duration{}
		for _, pr := range md.processes {
			pr.writesAt = md.now + time.Duration(md.random.IntN(4000))*time.Millisecond
		}
		return
	case "add":
		md.startProcess(md.newName())
		return
	}
	for _, at := range some {
		pr := md.processes[at]
		switch kind {
		case "kill", "replace":
			name := pr.name
			if kind == "replace" {
				name = md.newName()
			}
			md.startProcess(name)
			md.processes[len(md.processes)-1].writesAt = md.now + time.Duration(md.random.IntN(1000))*time.Millisecond
			md.processes[at] = md.processes[len(md.processes)-1]
			md.processes = md.processes[:len(md.processes)-1]
		case "cut":
			pr.cutUntil = md.now + period
		case "pause":
			pr.pausedUntil = md.now + period
		case "clock":
			pr.clockStep += clockStep
		}
	}
}

// check fails if more uses arrived in some window than the budget allows. The requests of a window are those in it, in the window
// before, or in the one half a window before, whichever are most.
func (md *model) check() {
	for _, first := range md.uses {
		uses := within(md.uses, first, first+window)
		requests := max(within(md.requests, first, first+window), within(md.requests, first-window, first), within(md.requests, first-window/2, first+window/2))
		if allowed := md.rule.Ratio*float64(requests) + md.rule.Slack; float64(uses) > allowed {
			md.rt.Fatalf("%d uses of %d requests in the window from %s, allowed %.1f", uses, requests, first, allowed)
		}
	}
}

// within counts the times from the first bound on, before the second.
func within(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

func TestAllowancesAddUpToTheBudget(t *testing.T) {
	// Instances start, are killed and replaced, are cut off from the list, pause and have their clocks stepped, entries expire, and uses
	// wait for seconds. In every window, the uses of all together must stay within the budget.
	rapid.Check(t, func(rt *rapid.T) {
		md := &model{rt: rt, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), listed: map[string]time.Duration{}, rule: budget.Rule{
			Ratio: 0.2, Slack: float64(rapid.SampledFrom([]int{0, 6, 100}).Draw(rt, "slack")), Window: window,
		}}
		for range rapid.IntRange(1, 12).Draw(rt, "instances") {
			md.startProcess(md.newName())
		}
		perSecond := rapid.SampledFrom(rates).Draw(rt, "rate")
		md.advance(25*time.Second, perSecond, 0)
		for range rapid.IntRange(1, 10).Draw(rt, "phases") {
			// A burst of failures uses up what is allowed; the next one comes soon after or when the window is over.
			md.advance(time.Duration(rapid.SampledFrom([]int{200, 1000, 3000}).Draw(rt, "burst"))*time.Millisecond, perSecond, 6)
			for range rapid.IntRange(0, 2).Draw(rt, "disturbances") {
				md.disturb()
			}
			md.advance(time.Duration(rapid.SampledFrom([]int{0, 0, 500, 1500, 3000, 9000, 45000}).Draw(rt, "quiet"))*time.Millisecond, perSecond, 0)
			if rapid.IntRange(0, 3).Draw(rt, "rate changes") == 0 {
				perSecond = rapid.SampledFrom(rates).Draw(rt, "rate")
			}
		}
		md.check()
	})
}

// rates are numbers of requests a second at each process.
var rates = []float64{0, 0.3, 1, 5, 10}

// advance lets the period pass. The requests fail failing times.
func (md *model) advance(period time.Duration, perSecond float64, failing int) {
	for until := md.now + period; md.now < until; {
		md.step(perSecond, failing)
	}
}

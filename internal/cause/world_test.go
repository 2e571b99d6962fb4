package cause_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionsail.example/dandelionsail/internal/cause"
)

// way is how the instances of a world decide.
type way int

const (
	// bySets is the way of the package.
	bySets way = iota
	// byCount refuses each part under which enough upstreams have crashed since it was last answered.
	byCount
	// oneAtATime sends one request with a suspect part at a time in the whole system, to an engine that runs nothing else.
	oneAtATime
)

const (
	step = 10 * time.Millisecond
	// beginAfter is when an engine begins an answer, answerFor how long that takes, downFor how long an engine is down.
	beginAfter = 130 * time.Millisecond
	answerFor  = 1400 * time.Millisecond
	downFor    = 4 * time.Second
	// contact is the time within which instances have to know of crashes.
	contact = 3 * time.Second
)

// worldPlan is what happens in a world.
type worldPlan struct {
	way       way
	instances int
	engines   int
	// soundPerS and badPerS are rates of requests.
	soundPerS, badPerS float64
	// topics is the number of second parts of sound requests.
	topics int
	// bad are the parts that crash engines; badBeside returns the other parts of such a request.
	bad       []cause.Feature
	badBeside func(number int) []cause.Feature
	otherPerS float64 // crashes for other reasons
	lostNotes float64 // share of notes that arrive only when they are repeated
	duration  time.Duration
	badStarts time.Duration
	seed      uint64
}

// simRequest is a request in a world.
type simRequest struct {
	id       uint64
	parts    []cause.Feature
	bad      cause.Feature
	at       time.Duration
	sentAt   time.Duration
	instance int
	died     bool
	delayed  bool
}

type simNote struct {
	due    time.Duration
	to     int
	death  cause.Death
	part   cause.Feature
	clears bool
	at     time.Time
}

// world is a fleet in steps of time.
type world struct {
	plan    worldPlan
	rnd     *rand.Rand
	start   time.Time
	now     time.Duration
	tables  []*cause.Table
	engines [][]*simRequest
	upAt    []time.Duration
	lives   []uint64
	waiting []*simRequest
	notes   []simNote
	nextID  uint64
	// counts holds what countAll returned for each instance at the time in countedAt.
	counts    []map[cause.Feature]map[uint64]bool
	countedAt []time.Duration
	// crashes holds the times of the crashes by each bad part, lateArrivals the requests with it that arrived too late.
	crashes      map[cause.Feature][]time.Duration
	lateArrivals map[cause.Feature]int
	// sound, refused, delayed and lateRefused count sound requests: all, those refused, those that waited, and those refused later than
	// twice the contact time after the last crash so far.
	sound, refused, delayed, lateSound, lateRefused int
	messages                                        int
}

func newWorld(plan worldPlan) *world {
	wd := &world{
		plan: plan, rnd: rand.New(rand.NewPCG(plan.seed, 1)), start: time.Unix(1_000_000, 0),
		crashes: map[cause.Feature][]time.Duration{}, lateArrivals: map[cause.Feature]int{},
	}
	for range plan.instances {
		wd.tables = append(wd.tables, cause.New(rules))
		wd.counts, wd.countedAt = append(wd.counts, nil), append(wd.countedAt, -1)
	}
	for range plan.engines {
		wd.engines = append(wd.engines, nil)
		wd.upAt = append(wd.upAt, 0)
		wd.lives = append(wd.lives, 0)
	}
	return wd
}

func (wd *world) clock() time.Time { return wd.start.Add(wd.now) }

func (wd *world) run() *world {
	for wd.now = 0; wd.now < wd.plan.duration; wd.now += step {
		wd.deliver()
		if wd.happens(wd.plan.soundPerS) {
			wd.arrive([]cause.Feature{system, cause.Feature(100 + wd.rnd.IntN(wd.plan.topics))}, 0)
		}
		if wd.now >= wd.plan.badStarts && len(wd.plan.bad) > 0 && wd.happens(wd.plan.badPerS) {
			number := int(wd.nextID)
			bad := wd.plan.bad[number%len(wd.plan.bad)]
			wd.arrive(append(wd.plan.badBeside(number), bad), bad)
		}
		if wd.happens(wd.plan.otherPerS) {
			wd.crash(wd.rnd.IntN(len(wd.engines)))
		}
		wd.work()
		wd.dispatch()
	}
	return wd
}

func (wd *world) happens(perS float64) bool { return wd.rnd.Float64() < perS*step.Seconds() }

func (wd *world) arrive(parts []cause.Feature, bad cause.Feature) {
	wd.nextID++
	slices.Sort(parts)
	wd.waiting = append(wd.waiting, &simRequest{id: wd.nextID, parts: slices.Compact(parts), bad: bad, at: wd.now, instance: wd.rnd.IntN(len(wd.tables))})
	if bad == 0 {
		wd.sound++
		if wd.isLate() {
			wd.lateSound++
		}
	}
}

// isLate reports whether twice the contact time has passed since the fifth crash under each bad part, or the last one.
func (wd *world) isLate() bool {
	for _, bad := range wd.plan.bad {
		times := wd.crashes[bad]
		if len(times) == 0 || wd.now < times[min(4, len(times)-1)]+2*contact {
			return false
		}
	}
	return true
}

// deliver hands out the notes that are due.
func (wd *world) deliver() {
	due := wd.notes
	wd.notes = nil
	for _, note := range due {
		if note.due > wd.now {
			wd.notes = append(wd.notes, note)
			continue
		}
		if note.clears {
			wd.tables[note.to].ClearAt(note.part, note.at)
		} else {
			wd.announceAnswered(note.to, wd.tables[note.to].Add(note.death))
		}
	}
}

// announce sends a note to all other instances. One that is lost is repeated.
func (wd *world) announce(from int, note simNote) {
	for to := range wd.tables {
		if to == from {
			continue
		}
		note.to, note.due = to, wd.now+2*step
		wd.messages++
		if wd.rnd.Float64() < wd.plan.lostNotes {
			note.due += time.Second
		}
		wd.notes = append(wd.notes, note)
	}
}

// work lets the engines begin and end answers.
func (wd *world) work() {
	for i, running := range wd.engines {
		for _, req := range slices.Clone(running) {
			wrote := wd.now - req.sentAt - beginAfter
			switch {
			case wrote < 0:
			case req.bad != 0:
				wd.crashes[req.bad] = append(wd.crashes[req.bad], wd.now)
				wd.crash(i)
			case wrote >= answerFor:
				wd.engines[i] = slices.DeleteFunc(wd.engines[i], func(other *simRequest) bool { return other == req })
				wd.clear(req)
			}
			if wd.upAt[i] > wd.now {
				break
			}
		}
	}
}

func (wd *world) crash(engine int) {
	running := wd.engines[engine]
	wd.engines[engine] = nil
	defer wd.clearProven()
	wd.upAt[engine] = wd.now + downFor
	wd.lives[engine]++
	upstream := uint64(engine)<<32 | wd.lives[engine]
	for _, req := range running {
		if wd.now-req.sentAt-beginAfter < time.Second {
			wd.nextID++
			death := cause.Death{ID: wd.nextID, Upstream: upstream, Content: req.id, Caller: req.id, At: wd.clock(), Features: req.parts}
			wd.announceAnswered(req.instance, wd.tables[req.instance].Add(death))
			wd.announce(req.instance, simNote{death: death})
		}
		if !req.died {
			req.died = true
			wd.waiting = append(wd.waiting, req)
		}
	}
}

// clearProven clears the parts of the answers that have gone on for a second.
func (wd *world) clearProven() {
	for _, running := range wd.engines {
		for _, req := range running {
			if wd.now-req.sentAt-beginAfter >= time.Second {
				wd.clear(req)
			}
		}
	}
}

func (wd *world) clear(req *simRequest) {
	wd.announceAnswered(req.instance, wd.tables[req.instance].Clear(wd.clock(), req.parts))
}

// announceAnswered announces that the parts are answered at the instance.
func (wd *world) announceAnswered(instance int, parts []cause.Feature) {
	for _, part := range parts {
		wd.announce(instance, simNote{part: part, clears: true, at: wd.clock()})
	}
}

// dispatch sends the requests that may be sent to the engine with the fewest requests.
func (wd *world) dispatch() {
	var kept []*simRequest
	for _, req := range wd.waiting {
		switch wd.decide(req) {
		case "wait":
			if !req.delayed && req.bad == 0 {
				req.delayed = true
				wd.delayed++
			}
			kept = append(kept, req)
		case "refuse":
			if req.bad == 0 {
				wd.refused++
				if wd.isLate() {
					wd.lateRefused++
				}
			}
		case "send":
			if !wd.send(req) {
				kept = append(kept, req)
			}
		}
	}
	wd.waiting = kept
}

func (wd *world) decide(req *simRequest) string {
	tb := wd.tables[req.instance]
	switch wd.plan.way {
	case byCount:
		if wd.counted(req.instance, req.parts) >= rules.Threshold {
			return "refuse"
		}
	case oneAtATime:
		if wd.counted(req.instance, req.parts) >= 1 && wd.suspectsRun() {
			return "wait"
		}
	case bySets:
		found := tb.Judge(wd.clock(), req.id, req.parts)
		if found.Refused {
			return "refuse"
		}
		if found.Cause != nil && wd.clock().Sub(found.Cause.First) >= rules.MinSpan && wd.touchingRuns(req, found.Cause) {
			return "wait"
		}
	}
	return "send"
}

// counted returns the highest number of crashes under one of the parts since it was last answered.
func (wd *world) counted(instance int, parts []cause.Feature) int {
	if wd.countedAt[instance] != wd.now {
		wd.countedAt[instance] = wd.now
		wd.counts[instance] = countAll(wd.tables[instance])
	}
	most := 0
	for _, part := range parts {
		most = max(most, len(wd.counts[instance][part]))
	}
	return most
}

// countAll returns, for each feature, the upstreams that have crashed under it since it was last answered.
func countAll(tb *cause.Table) map[cause.Feature]map[uint64]bool {
	counts := map[cause.Feature]map[uint64]bool{}
	for _, death := range tb.Deaths() {
		for _, part := range death.Features {
			if tb.Cleared()[part].After(death.At) {
				continue
			}
			if counts[part] == nil {
				counts[part] = map[uint64]bool{}
			}
			counts[part][death.Upstream] = true
		}
	}
	return counts
}

// suspectsRun reports whether a request with a suspect part runs anywhere.
func (wd *world) suspectsRun() bool {
	for _, running := range wd.engines {
		for _, req := range running {
			if wd.counted(req.instance, req.parts) >= 1 {
				return true
			}
		}
	}
	return false
}

func (wd *world) touchingRuns(req *simRequest, ca *cause.Cause) bool {
	for _, running := range wd.engines {
		for _, other := range running {
			if other.instance == req.instance && wd.now-other.sentAt-beginAfter < time.Second && ca.Touches(other.parts) {
				return true
			}
		}
	}
	return false
}

func (wd *world) send(req *simRequest) bool {
	best := -1
	for i, running := range wd.engines {
		if wd.upAt[i] <= wd.now && len(running) < 16 && (best < 0 || len(running) < len(wd.engines[best])) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	if wd.plan.way == oneAtATime && len(wd.engines[best]) > 0 && wd.counted(req.instance, req.parts) >= 1 {
		return false
	}
	req.sentAt = wd.now
	wd.engines[best] = append(wd.engines[best], req)
	if times := wd.crashes[req.bad]; req.bad != 0 && len(times) >= 5 && wd.now > times[4]+contact {
		wd.lateArrivals[req.bad]++
	}
	return true
}

// usualPlan is the load of the smallest site, with one bad part beside the first part of all prompts.
func usualPlan() worldPlan {
	return worldPlan{
		instances: 6, engines: 14, soundPerS: 28, badPerS: 4, topics: 20, bad: []cause.Feature{bad},
		badBeside: func(int) []cause.Feature { return of(system) }, duration: 30 * time.Second, badStarts: 5 * time.Second, seed: 1,
	}
}

func TestWaysToFindParts(t *testing.T) {
	// The three ways that the design page weighs, at the load of the smallest site.
	for way, name := range map[way]string{bySets: "sets", byCount: "count", oneAtATime: "one at a time"} {
		for _, plan := range []struct {
			name   string
			change func(plan *worldPlan)
		}{
			{"usual", func(*worldPlan) {}},
			{"with a companion", func(plan *worldPlan) {
				plan.badBeside = func(int) []cause.Feature { return of(system, 100) }
				plan.topics = 400
			}},
			{"no bad part, crashes", func(plan *worldPlan) { plan.bad, plan.otherPerS, plan.topics = nil, 1.6, 400 }},
			{"100 instances", func(plan *worldPlan) { plan.instances = 100 }},
		} {
			usual := usualPlan()
			usual.way = way
			plan.change(&usual)
			if way == oneAtATime && usual.instances > 6 {
				continue
			}
			wd := newWorld(usual).run()
			t.Logf("%s, %s: %d crashes, %d late arrivals; of %d sound %d refused, %d delayed; %d messages", name, plan.name, len(wd.crashes[bad]), wd.lateArrivals[bad], wd.sound, wd.refused, wd.delayed, wd.messages)
		}
	}
}

func TestWorldsKeepThePromises(t *testing.T) {
	// Instances, prompts, crashes for other reasons and lost notes are drawn. Later than the contact time after the fifth crash, at most three
	// more requests with a bad part reach engines, and later than twice that time sound requests are not refused.
	rapid.Check(t, func(rt *rapid.T) {
		plan := usualPlan()
		plan.instances = rapid.IntRange(1, 8).Draw(rt, "instances")
		plan.badPerS = rapid.Float64Range(0.3, 10).Draw(rt, "bad a second")
		plan.soundPerS = rapid.Float64Range(4, 40).Draw(rt, "sound a second")
		plan.topics = rapid.IntRange(1, 100).Draw(rt, "topics")
		plan.lostNotes = rapid.Float64Range(0, 0.5).Draw(rt, "lost notes")
		plan.otherPerS = rapid.SampledFrom([]float64{0, 0, 0.2, 0.5}).Draw(rt, "other crashes")
		plan.bad = plan.bad[:rapid.IntRange(0, 1).Draw(rt, "bad parts")]
		if len(plan.bad) > 0 && rapid.Bool().Draw(rt, "two") {
			plan.bad = append(plan.bad, other)
		}
		plan.seed = rapid.Uint64().Draw(rt, "seed")
		switch rapid.IntRange(0, 2).Draw(rt, "beside") {
		case 0:
			plan.badBeside = func(int) []cause.Feature { return nil }
		case 1:
			plan.badBeside = func(number int) []cause.Feature { return of(system, cause.Feature(100+number%plan.topics)) }
		}
		wd := newWorld(plan).run()
		for _, part := range plan.bad {
			assert.Assert(rt, wd.lateArrivals[part] <= 3, "%d late arrivals of %d, crashes %v", wd.lateArrivals[part], part, wd.crashes[part])
		}
		assert.Assert(rt, 20*wd.lateRefused <= wd.lateSound, "%d of %d sound requests refused", wd.lateRefused, wd.lateSound)
	})
}

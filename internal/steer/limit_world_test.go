package steer_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/budget"
	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// limitWorld simulates several reducers that share replicas with rate limits. Notes are delayed and may be lost.
type limitWorld struct {
	now      time.Time
	random   *rand.Rand
	delay    time.Duration
	loss     float64
	steps    stepHeap
	count    int
	nodes    []*limitNode
	budget   budget.Rule
	replicas []steer.Replica
	// limits holds the rate that each limited replica states, by name, in requests a second.
	limits map[string]float64
	// routing is the configuration of the instances that start from now on.
	routing *decl.Routing
	// limitedSince holds when each replica first stated a limit.
	limitedSince map[string]time.Time
	// limitedUntil holds when each replica last ended its limit.
	limitedUntil map[string]time.Time
	received     []replicaRequest
	refusals     []steer.Refusal
	// partitioned reports whether notes between two instances are lost. If it is nil, none are.
	partitioned func(a, b *limitNode) bool
	// duplicated is the share of notes that arrive twice.
	duplicated float64
	// slow is the share of notes that arrive up to slowNote later.
	slow float64
	// announced returns what the replica's answer to a request announces besides its limit, and whether the replica refuses the
	// request. If it is nil, no replica announces anything else.
	announced func(replica string) (ann notice.Announced, refused bool)
	// told is called when the instance receives that answer.
	told func(node *limitNode, replica string, ann notice.Announced)
	// outcome draws the end of an attempt and the time until then. If it is nil, all attempts succeed.
	outcome func(eff steer.Send) (steer.AttemptEnded, time.Duration)
	// ended is called at each end of a request.
	ended  func(fin steer.Finish)
	nextID steer.RequestID
	// routes holds the route of each request.
	routes map[steer.RequestID]string
	// arrived counts requests by route.
	arrived map[string]int
	// served counts the requests that were not refused, by route.
	served map[string]int
}

// limitNode is one instance.
type limitNode struct {
	name   string
	domain string
	st     *steer.State
	run    int64
	// frozen is the time until which the instance handles no events.
	frozen time.Time
	// cut is the time until which all notes from and to the instance are lost.
	cut time.Time
	// disturbedUntil is when the latest freeze, cut or restart ends.
	disturbedUntil time.Time
	// passedOnAt holds when the instance first passed on an answer of a replica that stated its limit.
	passedOnAt map[string]time.Time
}

// replicaRequest is one request that reached a replica.
type replicaRequest struct {
	at      time.Time
	replica string
	node    *limitNode
}

type step struct {
	at    time.Time
	order int
	do    func()
}

type stepHeap []step

func (sh stepHeap) Len() int { return len(sh) }

func (sh stepHeap) Less(i, j int) bool {
	return cmp.Or(sh[i].at.Compare(sh[j].at), cmp.Compare(sh[i].order, sh[j].order)) < 0
}

func (sh stepHeap) Swap(i, j int) { sh[i], sh[j] = sh[j], sh[i] }

func (sh *stepHeap) Push(value any) { *sh = append(*sh, value.(step)) }

func (sh *stepHeap) Pop() any {
	last := (*sh)[len(*sh)-1]
	*sh = (*sh)[:len(*sh)-1]
	return last
}

// usualBudget is the retry budget of simulations whose requests seldom fail.
var usualBudget = budget.Rule{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

func newLimitWorld(seed uint64, instances int, list []steer.Replica, budget budget.Rule) *limitWorld {
	return newStartedWorld(seed, instances, list, budget, warmUp)
}

// newStartedWorld returns a world whose instances started the given time ago.
func newStartedWorld(seed uint64, instances int, list []steer.Replica, budget budget.Rule, uptime time.Duration) *limitWorld {
	lw := &limitWorld{
		now: start.Add(-uptime), random: rand.New(rand.NewPCG(seed, 1)), delay: 2 * time.Millisecond,
		budget: budget, replicas: list, routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures}, "board": {}}}, limits: map[string]float64{}, limitedSince: map[string]time.Time{}, limitedUntil: map[string]time.Time{},
		routes: map[steer.RequestID]string{}, arrived: map[string]int{}, served: map[string]int{},
	}
	for i := range instances {
		lw.nodes = append(lw.nodes, &limitNode{name: fmt.Sprintf("instance-%03d", i), domain: domainOf(i, list), passedOnAt: map[string]time.Time{}})
	}
	for _, node := range lw.nodes {
		lw.boot(node)
		lw.every(node, 200*time.Millisecond, steer.Ticked{})
		lw.every(node, time.Second, steer.Summarized{})
		lw.every(node, 200*time.Millisecond, steer.ListConfirmed{})
	}
	lw.advance(uptime)
	return lw
}

// domainOf returns the failure domain of an instance. It distributes instances over the domains of the replicas in turn.
func domainOf(number int, list []steer.Replica) string {
	return list[number%len(list)].FailureDomain
}

// boot starts a new run of the instance, without any state of earlier runs.
func (lw *limitWorld) boot(node *limitNode) {
	node.run++
	node.st = steer.New(steer.Options{
		Name: node.name, FailureDomain: node.domain, Run: node.run, Seed: lw.random.Uint64(), MissingTime: 2 * time.Second,
		Budget: lw.budget,
	})
	lw.reduce(node, steer.Configured{Routing: lw.routing})
	var others []steer.Instance
	for _, other := range lw.nodes {
		if other != node {
			others = append(others, steer.Instance{Name: other.name, FailureDomain: other.domain})
		}
	}
	lw.reduce(node, steer.Peered{Instances: others, Listed: true})
	lw.reduce(node, steer.Listed{Replicas: lw.replicas})
}

func (lw *limitWorld) after(period time.Duration, do func()) {
	lw.count++
	heap.Push(&lw.steps, step{lw.now.Add(period), lw.count, do})
}

func (lw *limitWorld) every(node *limitNode, period time.Duration, ev steer.Event) {
	lw.after(time.Duration(lw.random.Int64N(int64(period))), func() {
		var repeat func()
		repeat = func() {
			lw.reduce(node, ev)
			lw.after(period, repeat)
		}
		repeat()
	})
}

func (lw *limitWorld) advance(period time.Duration) {
	until := lw.now.Add(period)
	for len(lw.steps) > 0 && !lw.steps[0].at.After(until) {
		next := heap.Pop(&lw.steps).(step)
		lw.now = next.at
		next.do()
	}
	lw.now = until
}

// inRun calls do after the period if the instance is still in the same run.
func (lw *limitWorld) inRun(node *limitNode, period time.Duration, do func()) {
	st := node.st
	lw.after(period, func() {
		if node.st == st {
			do()
		}
	})
}

// reduce passes the event to the instance. While the instance is frozen, the event is delayed until the end of the freeze.
func (lw *limitWorld) reduce(node *limitNode, ev steer.Event) {
	if lw.now.Before(node.frozen) {
		lw.inRun(node, node.frozen.Sub(lw.now), func() { lw.reduce(node, ev) })
		return
	}
	for _, eff := range slices.Clone(node.st.Reduce(lw.now, ev)) {
		switch eff := eff.(type) {
		case steer.SendNote:
			lw.sendNote(node, eff)
		case steer.Wake:
			lw.inRun(node, eff.After, func() { lw.reduce(node, steer.Ticked{}) })
		case steer.Send:
			lw.send(node, eff)
		case steer.Abort:
			lw.inRun(node, time.Millisecond, func() {
				lw.reduce(node, steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultCancelled})
			})
		case steer.Finish:
			if lw.ended != nil {
				lw.ended(eff)
			}
			if eff.Refusal != nil {
				lw.refusals = append(lw.refusals, *eff.Refusal)
				continue
			}
			lw.served[lw.routes[eff.ID]]++
		}
	}
}

func (lw *limitWorld) sendNote(from *limitNode, eff steer.SendNote) {
	for _, node := range lw.nodes {
		if node == from || eff.To != nil && !slices.Contains(eff.To, node.name) {
			continue
		}
		if lw.partitioned != nil && lw.partitioned(from, node) || lw.now.Before(node.cut) || lw.now.Before(from.cut) || lw.random.Float64() < lw.loss {
			continue
		}
		for range 1 + lw.chance(lw.duplicated) {
			late := time.Duration(lw.chance(lw.slow)) * time.Duration(lw.random.Int64N(int64(slowNote)))
			lw.after(lw.delay+late+time.Duration(lw.random.Int64N(int64(lw.delay))), func() { lw.reduce(node, steer.NoteReceived{Note: eff.Note}) })
		}
	}
}

// slowNote is the maximum extra delay of a slow note.
const slowNote = 1500 * time.Millisecond

// chance returns 1 with the given probability and 0 otherwise.
func (lw *limitWorld) chance(probability float64) int {
	if probability > 0 && lw.random.Float64() < probability {
		return 1
	}
	return 0
}

const (
	// answerTime is the time from a send until its answer begins.
	answerTime = 80 * time.Millisecond
	// finishTime is the time from a send until its answer ends.
	finishTime = 400 * time.Millisecond
)

// mayPass asks the instance whether the attempt may be sent, as the shell does just before it sends it.
func (lw *limitWorld) mayPass(node *limitNode, eff steer.Send) bool {
	ev := steer.Sending{ID: eff.ID, Targets: []steer.Target{{Replica: eff.Replica, Kind: eff.Kind, Granted: eff.Granted}}, DecidedAt: eff.DecidedAt}
	for _, helper := range eff.Helpers {
		ev.Targets = append(ev.Targets, steer.Target{Replica: helper.Replica, Kind: notice.Part})
	}
	for _, sent := range node.st.Reduce(lw.now, ev) {
		if vd, ok := sent.(steer.Verdict); ok {
			return !vd.Held()
		}
	}
	return false
}

func (lw *limitWorld) send(node *limitNode, eff steer.Send) {
	if !lw.mayPass(node, eff) {
		lw.inRun(node, time.Millisecond, func() {
			lw.reduce(node, steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultHeld, Proof: norun.Unwritten})
		})
		return
	}
	sent := lw.now
	lw.received = append(lw.received, replicaRequest{lw.now, eff.Replica.Name, node})
	for _, helper := range eff.Helpers {
		lw.received = append(lw.received, replicaRequest{lw.now, helper.Name, node})
	}
	at := func(period time.Duration, do func()) { lw.inRun(node, period, do) }
	perS, limited := 0.0, false
	if lw.outcome != nil {
		end, lasts := lw.outcome(eff)
		at(lasts, func() {
			perS, limited = lw.limits[eff.Replica.Name]
			lw.reduce(node, steer.ResponseReceived{Replica: eff.Replica.Name, Born: eff.Replica.Born, Sent: sent, Announced: notice.Announced{Limited: limited, PerS: perS}})
			lw.reduce(node, end)
		})
		return
	}
	if lw.announced != nil {
		ann, refused := lw.announced(eff.Replica.Name)
		at(answerTime, func() {
			lw.told(node, eff.Replica.Name, ann)
			lw.reduce(node, steer.ResponseReceived{Replica: eff.Replica.Name, Born: eff.Replica.Born, Sent: sent, Announced: ann})
			if refused {
				lw.reduce(node, steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultNotRun, Proof: norun.Refused, Status: 503})
				return
			}
			lw.reduce(node, steer.Began{ID: eff.ID, Attempt: eff.Attempt})
		})
		if !refused {
			at(finishTime, func() {
				lw.reduce(node, steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultDone})
			})
		}
		return
	}
	at(answerTime, func() {
		if perS, limited = lw.limits[eff.Replica.Name]; limited {
			if _, ok := node.passedOnAt[eff.Replica.Name]; !ok {
				node.passedOnAt[eff.Replica.Name] = lw.now
			}
		}
		lw.reduce(node, steer.ResponseReceived{Replica: eff.Replica.Name, Born: eff.Replica.Born, Sent: sent, Announced: notice.Announced{Limited: limited, PerS: perS}})
		lw.reduce(node, steer.Began{ID: eff.ID, Attempt: eff.Attempt})
	})
	at(finishTime, func() {
		lw.reduce(node, steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Result: steer.ResultDone})
	})
}

// setLimit makes the replica state a limit from now on.
func (lw *limitWorld) setLimit(replica string, perS float64) {
	lw.limits[replica] = perS
	if _, ok := lw.limitedSince[replica]; !ok {
		lw.limitedSince[replica] = lw.now
	}
}

// endLimit makes the replica state no limit any more.
func (lw *limitWorld) endLimit(replica string) {
	if _, ok := lw.limits[replica]; ok {
		delete(lw.limits, replica)
		lw.limitedUntil[replica] = lw.now
	}
}

// arrive delivers a request to the instance.
func (lw *limitWorld) arrive(node *limitNode, route *decl.Route, prompt int64) {
	lw.nextID++
	lw.routes[lw.nextID] = route.Name
	lw.arrived[route.Name]++
	ev := steer.Arrived{
		ID: lw.nextID, Route: route, Name: "request", Organisation: "parish", Prompt: prompt, Digest: steer.Digest(lw.nextID),
		Deadline: lw.now.Add(route.Timeout.Std()), LeavesAt: lw.now.Add(max(2*time.Second, 4*route.Goal.Std())),
	}
	if prompt > 0 {
		ev.Answer = 1000
	}
	lw.reduce(node, ev)
}

// load makes requests arrive at random instances, at random intervals with a mean rate of perS requests a second.
func (lw *limitWorld) load(perS float64, period time.Duration, route *decl.Route, prompt int64) {
	until := lw.now.Add(period)
	var next func()
	next = func() {
		if lw.now.After(until) {
			return
		}
		lw.arrive(lw.nodes[lw.random.IntN(len(lw.nodes))], route, prompt)
		lw.after(time.Duration(lw.random.ExpFloat64()*float64(time.Second)/perS), next)
	}
	lw.after(0, next)
}

// Parameters of the operators' rule on how much a limited replica may receive.
const (
	// limitSettle is the time after a limit is first stated in which it need not be kept.
	limitSettle = 3 * time.Second
	// limitWindow is the length of the windows over which requests are summed.
	limitWindow = 4 * time.Second
	// passOnTime is the time after which an instance that has passed on an answer with the limit must keep the limit.
	passOnTime = 500 * time.Millisecond
)

// maxExcess returns the largest number of requests by which the replica received more than the rule allows in any window,
// below zero if it always received less. The rule applies from limitSettle after the limit was first stated, to the sum over
// the instances that must keep it. Each window ends with a request of such an instance and includes its requests from before
// the limit was stated.
func (lw *limitWorld) maxExcess(replica string, perS float64) int {
	since, ok := lw.limitedSince[replica]
	if !ok {
		return 0
	}
	var got []replicaRequest
	for _, gt := range lw.received {
		if gt.replica == replica {
			got = append(got, gt)
		}
	}
	allowed := int(1.5*perS*limitWindow.Seconds() + 5)
	excess := -allowed
	for i, last := range got {
		if until, ok := lw.limitedUntil[replica]; last.at.Sub(since) < limitSettle || ok && !last.at.Before(until) {
			continue
		}
		if !last.node.mustKeepLimit(replica, last.at) {
			continue
		}
		count := 0
		for _, gt := range got[:i+1] {
			if last.at.Sub(gt.at) < limitWindow && gt.node.mustKeepLimit(replica, last.at) {
				count++
			}
		}
		excess = max(excess, count-allowed)
	}
	return excess
}

// mustKeepLimit reports whether the instance passed on an answer with the limit at least passOnTime ago, and was not
// disturbed within the last limitWindow plus limitSettle.
func (node *limitNode) mustKeepLimit(replica string, at time.Time) bool {
	passedOn, ok := node.passedOnAt[replica]
	return ok && at.Sub(passedOn) >= passOnTime && !node.disturbedUntil.After(at.Add(-limitWindow-limitSettle))
}

// receivedIn returns the number of requests that the replica received in the period before now.
func (lw *limitWorld) receivedIn(replica string, period time.Duration) int {
	count := 0
	for _, gt := range lw.received {
		if gt.replica == replica && lw.now.Sub(gt.at) < period {
			count++
		}
	}
	return count
}

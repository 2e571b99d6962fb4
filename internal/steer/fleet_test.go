package steer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/norun"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// fleet simulates the reducers of many instances, some of which lose their links to all replicas of a service. What the shell of an instance
// does is reduced to its times: a hop, a connection that hangs, an answer.
type fleet struct {
	now    time.Time
	random *rand.Rand
	steps  stepHeap
	count  int
	nodes  []*fleetNode
	byName map[string]*fleetNode
	// silent reports whether connections over a cut link hang. Otherwise they are refused.
	silent bool
	// noteLoss is the share of notes that are lost.
	noteLoss float64
	// connections is the number of connections that each replica accepts, 0 if that is not declared.
	connections int
	// connect, unless nil, is called for each attempt that reaches its replica and returns what is called at its end.
	connect func(node *fleetNode, eff steer.Send, bound steer.ConnectionBound) (disconnect func())
	// tuning holds the weights of all instances; the zero value stands for the defaults.
	tuning   steer.Tuning
	nextID   steer.RequestID
	requests map[steer.RequestID]*fleetRequest
	// down holds the replicas that respond to no instance.
	down map[string]bool
	// engines is the number of engines.
	engines int
	// answeredBy counts the answers of each replica.
	answeredBy map[string]int
}

// fleetNode is one instance.
type fleetNode struct {
	name   string
	domain string
	st     *steer.State
	// cut holds the services whose replicas the instance does not reach.
	cut map[string]bool
	// passedOn counts the messages that the instance passed on for others.
	passedOn int
	// avoidedByReport counts the replicas that the instance came to avoid because another one reported them.
	avoidedByReport int
	// lostByAll counts the times that the instance concluded that nobody has a path.
	lostByAll int
	// lines counts the log lines by message.
	lines map[string]int
	// probes counts the connections that carried nothing, and unanswered the attempts whose connection failed.
	probes, unanswered int
}

// fleetRequest is one request of a caller.
type fleetRequest struct {
	node  *fleetNode
	at    time.Time
	endAt time.Time
	// service is the name of the service.
	service string
	// attempt is the number of the last attempt, and via the instance that passed it on, empty if it was sent directly.
	attempt int
	via     string
	// refusals counts the instances that did not pass the request on.
	refusals int
	refusal  *steer.Refusal
	// beganAt is when the answer began, zero if it did not.
	beganAt time.Time
	// done reports whether the instance has finished the request, and left whether the caller left before.
	done, left bool
}

const (
	// hopTime is the time that a message takes from one instance to another and is decided on.
	hopTime = 3 * time.Millisecond
	// hangTime is the timeout of a connection for a message, and probeHangTime that of a probe.
	hangTime      = 600 * time.Millisecond
	probeHangTime = 250 * time.Millisecond
)

// fleetReplicas returns engines and plain replicas in the failure domains.
func fleetReplicas(engines int, domains []string) []steer.Replica {
	var list []steer.Replica
	for i := range engines {
		list = append(list, steer.Replica{Name: fmt.Sprint("lyric-", i), Born: 1, Service: "lyric", Address: fmt.Sprint("a", i), FailureDomain: domains[i%len(domains)], Slots: 16})
	}
	for i := range 6 {
		list = append(list, steer.Replica{Name: fmt.Sprint("board-", i), Born: 1, Service: "board", Address: fmt.Sprint("b", i), FailureDomain: domains[i%len(domains)], Slots: 6})
	}
	return list
}

var fleetDomains = []string{"a", "b", "c"}

// newFleet starts the instances, with three engines for every four of them.
func newFleet(seed uint64, instances int) *fleet {
	return newFleetBefore(seed, instances, max(3, instances*3/4))
}

// newFleetBefore starts the instances before the number of engines.
func newFleetBefore(seed uint64, instances, engines int) *fleet {
	return newTunedFleet(seed, instances, engines, 0, steer.Tuning{})
}

// newTunedFleet does the same for replicas that accept the number of connections, with the weights.
func newTunedFleet(seed uint64, instances, engines, connections int, tuning steer.Tuning) *fleet {
	fl := &fleet{
		connections: connections, tuning: tuning, now: start.Add(-warmUp), random: rand.New(rand.NewPCG(seed, 1)), requests: map[steer.RequestID]*fleetRequest{}, byName: map[string]*fleetNode{},
		down: map[string]bool{}, answeredBy: map[string]int{}, engines: engines,
	}
	list := fleetReplicas(engines, fleetDomains)
	for i := range instances {
		node := &fleetNode{name: fmt.Sprintf("instance-%03d", i), domain: fleetDomains[i%len(fleetDomains)], cut: map[string]bool{}, lines: map[string]int{}}
		fl.nodes, fl.byName[node.name] = append(fl.nodes, node), node
	}
	for _, node := range fl.nodes {
		fl.boot(node, list)
	}
	fl.advance(warmUp)
	return fl
}

func (fl *fleet) boot(node *fleetNode, list []steer.Replica) {
	node.st = steer.New(steer.Options{Name: node.name, FailureDomain: node.domain, Run: 1, Seed: fl.random.Uint64(), MissingTime: 2 * time.Second, Budget: usualBudget, Tuning: fl.tuning})
	fl.reduce(node, steer.Configured{Routing: &decl.Routing{Version: 1, Services: map[string]decl.Pool{"lyric": {Engine: &figures, Connections: fl.connections}, "board": {Connections: fl.connections}}}})
	var others []steer.Instance
	for _, other := range fl.nodes {
		if other != node {
			others = append(others, steer.Instance{Name: other.name, FailureDomain: other.domain})
		}
	}
	fl.reduce(node, steer.Peered{Instances: others, Listed: true})
	fl.reduce(node, steer.Listed{Replicas: list})
	fl.every(node, 200*time.Millisecond, steer.Ticked{})
	fl.every(node, time.Second, steer.Summarized{})
	fl.every(node, 200*time.Millisecond, steer.ListConfirmed{})
}

func (fl *fleet) after(period time.Duration, do func()) {
	fl.count++
	heap.Push(&fl.steps, step{fl.now.Add(period), fl.count, do})
}

func (fl *fleet) every(node *fleetNode, period time.Duration, ev steer.Event) {
	var repeat func()
	repeat = func() {
		fl.reduce(node, ev)
		fl.after(period, repeat)
	}
	fl.after(time.Duration(fl.random.Int64N(int64(period))), repeat)
}

func (fl *fleet) advance(period time.Duration) {
	until := fl.now.Add(period)
	for len(fl.steps) > 0 && !fl.steps[0].at.After(until) {
		next := heap.Pop(&fl.steps).(step)
		fl.now = next.at
		next.do()
	}
	fl.now = until
}

// reduce passes the event to the instance and returns the Verdict among its effects, if there is one.
func (fl *fleet) reduce(node *fleetNode, ev steer.Event) (verdict steer.Verdict) {
	for _, eff := range slices.Clone(node.st.Reduce(fl.now, ev)) {
		switch eff := eff.(type) {
		case steer.Verdict:
			verdict = eff
		case steer.SendNote:
			fl.sendNote(node, eff)
		case steer.Wake:
			fl.after(eff.After, func() { fl.reduce(node, steer.Ticked{}) })
		case steer.Send:
			fl.send(node, eff)
		case steer.ProbePaths:
			node.probes += len(eff.Replicas)
			for _, replica := range eff.Replicas {
				fl.dial(node, replica, probeHangTime, func(reached bool) {
					fl.reduce(node, steer.PathObserved{Replica: replica.Name, Reached: reached})
				})
			}
		case steer.Abort:
			ended := steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Via: fl.requests[eff.ID].via, Result: steer.ResultCancelled, End: eff.Proof}
			if eff.Proof.IsResumption() {
				ended.Result = steer.ResultSilent
			}
			fl.end(node, ended)
		case steer.Finish:
			fl.finish(eff)
		case steer.LogLine:
			fl.countLine(node, eff)
		}
	}
	return verdict
}

func (fl *fleet) countLine(node *fleetNode, line steer.LogLine) {
	node.lines[line.Message]++
	switch {
	case line.Message == "replica avoided" && line.Source == "note":
		node.avoidedByReport++
	case line.Message == "path lost by all instances":
		node.lostByAll++
	}
}

func (fl *fleet) sendNote(from *fleetNode, eff steer.SendNote) {
	recipients := fl.nodes
	if eff.To != nil {
		recipients = nil
		for _, name := range eff.To {
			recipients = append(recipients, fl.byName[name])
		}
	}
	for _, node := range recipients {
		if node == from || fl.random.Float64() < fl.noteLoss {
			continue
		}
		fl.after(time.Millisecond+time.Duration(fl.random.Int64N(int64(3*time.Millisecond))), func() { fl.reduce(node, steer.NoteReceived{Note: eff.Note}) })
	}
}

// dial calls done with whether a new connection of the instance to the replica succeeds. One that hangs fails at the timeout.
func (fl *fleet) dial(node *fleetNode, replica steer.Replica, timeout time.Duration, done func(reached bool)) {
	switch {
	case !node.cut[replica.Service] && !fl.down[replica.Name]:
		fl.after(time.Millisecond, func() { done(true) })
	case fl.silent:
		fl.after(timeout, func() { done(false) })
	default:
		fl.after(time.Millisecond, func() { done(false) })
	}
}

// end reports the end of an attempt to its instance.
func (fl *fleet) end(node *fleetNode, ended steer.AttemptEnded) {
	fl.after(time.Millisecond, func() { fl.reduce(node, ended) })
}

// send carries out an attempt as relay.Instance does.
func (fl *fleet) send(node *fleetNode, eff steer.Send) {
	target := steer.Target{Replica: eff.Replica, Kind: eff.Kind, Granted: eff.Granted}
	verdict := fl.reduce(node, steer.Sending{ID: eff.ID, Targets: []steer.Target{target}, DecidedAt: eff.DecidedAt})
	ended := steer.AttemptEnded{ID: eff.ID, Attempt: eff.Attempt, Via: verdict.Via}
	fl.requests[eff.ID].attempt, fl.requests[eff.ID].via = eff.Attempt, verdict.Via
	switch {
	case verdict.Held():
		ended.Result, ended.Proof = steer.ResultHeld, norun.Unwritten
		fl.end(node, ended)
	case verdict.Via == "":
		fl.dial(node, eff.Replica, hangTime, func(reached bool) {
			if reached && fl.connect != nil {
				fl.after(finishTime, fl.connect(node, eff, verdict.Connections))
			}
			fl.answer(node, eff, ended, reached)
		})
	default:
		fl.after(hopTime, func() { fl.passOn(node, fl.byName[verdict.Via], eff, ended) })
	}
}

// answer ends an attempt whose connection to the replica succeeded, or did not.
func (fl *fleet) answer(node *fleetNode, eff steer.Send, ended steer.AttemptEnded, reached bool) {
	if !reached {
		node.unanswered++
		ended.Result, ended.Proof = steer.ResultNotSent, norun.Unwritten
		fl.end(node, ended)
		return
	}
	if node.st.PathsInDoubt() && ended.Via == "" {
		fl.reduce(node, steer.PathObserved{Replica: eff.Replica.Name, Reached: true})
	}
	sent := fl.now
	fl.after(answerTime, func() {
		if fl.down[eff.Replica.Name] {
			return
		}
		fl.answeredBy[eff.Replica.Name]++
		fl.reduce(node, steer.ResponseReceived{Replica: eff.Replica.Name, Born: eff.Replica.Born, Sent: sent})
		fl.reduce(node, steer.Began{ID: eff.ID, Attempt: eff.Attempt})
		if req := fl.requests[eff.ID]; req.beganAt.IsZero() {
			req.beganAt = fl.now
		}
	})
	ended.Result = steer.ResultDone
	fl.after(finishTime, func() {
		if fl.down[eff.Replica.Name] {
			fl.broken(node, eff, ended)
			return
		}
		fl.end(node, ended)
	})
}

// broken ends an attempt whose replica went down while it answered, as relay.Instance does: a connection that is reset is followed by a new
// connection. One that is silent is reported, and ends at the deadline unless another attempt is granted.
func (fl *fleet) broken(node *fleetNode, eff steer.Send, ended steer.AttemptEnded) {
	if fl.silent {
		ended.Result = steer.ResultExpired
		fl.after(eff.Deadline.Sub(fl.now), func() { fl.end(node, ended) })
		fl.watch(node, eff, ended.Via)
		return
	}
	ended.Result = steer.ResultBroken
	node.probes++
	fl.dial(node, eff.Replica, probeHangTime, func(reached bool) {
		ended.Unreachable = !reached
		fl.end(node, ended)
	})
}

// watch reports the silence of an attempt's replica after each of its limits until the deadline. The reducer ignores the reports after the attempt.
func (fl *fleet) watch(node *fleetNode, eff steer.Send, via string) {
	if !fl.now.Add(eff.FirstTimeout).Before(eff.Deadline) {
		return
	}
	fl.after(eff.FirstTimeout, func() {
		if req := fl.requests[eff.ID]; req.done || req.attempt != eff.Attempt {
			return
		}
		node.probes++
		fl.dial(node, eff.Replica, probeHangTime, func(reached bool) {
			fl.reduce(node, steer.FellSilent{ID: eff.ID, Attempt: eff.Attempt, Silent: eff.FirstTimeout, Unreachable: !reached, Via: via})
			fl.watch(node, eff, via)
		})
	})
}

// passOn carries out an attempt of the node at the peer.
func (fl *fleet) passOn(node, peer *fleetNode, eff steer.Send, ended steer.AttemptEnded) {
	verdict := fl.reduce(peer, steer.Sending{Targets: []steer.Target{{Replica: eff.Replica, Kind: eff.Kind, Granted: eff.Granted}}, ForPeer: true})
	if verdict.Held() {
		fl.after(hopTime, func() { fl.refused(node, peer, eff, ended, verdict) })
		return
	}
	fl.dial(peer, eff.Replica, hangTime, func(reached bool) {
		if reached {
			peer.passedOn++
			fl.answer(node, eff, ended, true)
			return
		}
		fl.confirm(peer, eff.Replica, func(confirmed bool) {
			if confirmed {
				fl.answer(node, eff, ended, false)
				return
			}
			fl.refused(node, peer, eff, ended, steer.Verdict{NoPath: true})
		})
	})
}

// confirm calls done with whether it is the replica's fault that the instance has not reached it: the instance reaches another one.
func (fl *fleet) confirm(node *fleetNode, replica steer.Replica, done func(confirmed bool)) {
	fl.reduce(node, steer.PathObserved{Replica: replica.Name})
	witness, ok := node.st.Witness(replica.Name)
	if !ok {
		done(false)
		return
	}
	node.probes++
	fl.dial(node, witness, probeHangTime, func(reached bool) {
		fl.reduce(node, steer.PathObserved{Replica: witness.Name, Reached: reached})
		done(reached)
	})
}

// refused tells the node that the peer passes its message not on.
func (fl *fleet) refused(node, peer *fleetNode, eff steer.Send, ended steer.AttemptEnded, verdict steer.Verdict) {
	fl.countRefusal(eff.ID)
	ev := steer.DetourFailed{Instance: peer.name, Service: eff.Replica.Service, Cause: steer.DetourNoPath}
	if !verdict.NoPath {
		ev.Replica, ev.Cause = eff.Replica.Name, steer.DetourHeldBack
	}
	fl.reduce(node, ev)
	ended.Result, ended.Proof = steer.ResultHeld, norun.Unwritten
	fl.end(node, ended)
}

func (fl *fleet) countRefusal(id steer.RequestID) { fl.requests[id].refusals++ }

func (fl *fleet) finish(eff steer.Finish) {
	req := fl.requests[eff.ID]
	req.done, req.endAt, req.refusal = true, fl.now, eff.Refusal
}

// load makes requests arrive at all instances, at each with the given rates a second, for the period.
func (fl *fleet) load(perS map[*decl.Route]float64, period time.Duration) {
	routes := slices.SortedFunc(maps.Keys(perS), func(a, b *decl.Route) int { return int(perS[b] - perS[a]) })
	for until := fl.now.Add(period); fl.now.Before(until); fl.advance(10 * time.Millisecond) {
		for _, node := range fl.nodes {
			for _, route := range routes {
				if fl.random.Float64() < perS[route]/100 {
					fl.arrive(node, route)
				}
			}
		}
	}
}

// patience is the time after which a caller leaves if no answer has begun.
const patience = 2 * time.Second

func (fl *fleet) arrive(node *fleetNode, route *decl.Route) {
	fl.nextID++
	id := fl.nextID
	req := &fleetRequest{node: node, at: fl.now, service: route.Shares[0].Service}
	fl.requests[id] = req
	ev := steer.Arrived{
		ID: id, Route: route, Name: fmt.Sprint(id), Organisation: "parish", Digest: steer.Digest(id),
		Deadline: fl.now.Add(route.Timeout.Std()), LeavesAt: fl.now.Add(patience),
	}
	if route.Stream {
		ev.Prompt, ev.Answer = 5000, 1000
	}
	fl.reduce(node, ev)
	fl.after(patience, func() {
		if !req.done {
			req.left = true
			fl.reduce(node, steer.CallerGone{ID: id})
		}
	})
}

// served returns the share of the requests in the time that were answered, among those of the chosen instances.
func (fl *fleet) served(from, to time.Time, chosen func(req *fleetRequest) bool) (share float64, number int) {
	answered := 0
	for _, req := range fl.requests {
		if req.at.Before(from) || !req.at.Before(to) || !chosen(req) {
			continue
		}
		number++
		if req.done && !req.left && req.refusal == nil {
			answered++
		}
	}
	if number == 0 {
		return 1, 0
	}
	return float64(answered) / float64(number), number
}

// usualLoad is what callers ask of each instance in a second.
var usualLoad = map[*decl.Route]float64{&short: 1.5, &lookup: 0.15}

// cutNodes cuts the instances off from all services, in three parts 0.1 s apart.
func (fl *fleet) cutNodes(nodes []*fleetNode) {
	for i, node := range nodes {
		fl.after(time.Duration(i%3)*100*time.Millisecond, func() { node.cut["lyric"], node.cut["board"] = true, true })
	}
}

func TestCallersBehindLostPathsAreServedInLargeFleets(t *testing.T) {
	// Many of a fleet's instances lose their links to all replicas at nearly the same moment. Each has few requests, so that it cannot
	// find out alone, request by request, who else is cut off and which replicas are sound.
	sizes := map[string]int{"6": 6, "18": 18, "60": 60, "300": 300}
	cuts := map[string]func(number, fleet int) bool{
		"one":           func(number, _ int) bool { return number == 0 },
		"half":          func(number, _ int) bool { return number%2 == 0 },
		"domain":        func(number, _ int) bool { return number%3 == 0 },
		"two of three":  func(number, _ int) bool { return number/3%3 != 0 },
		"all but three": func(number, size int) bool { return number < size-3 },
		"all but one":   func(number, size int) bool { return number < size-1 },
	}
	for sizeName, size := range sizes {
		for cutName, chosen := range cuts {
			for _, silent := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/silent=%t", sizeName, cutName, silent), func(t *testing.T) {
					t.Parallel()
					checkServedBehindCut(t, size, chosen, silent)
				})
			}
		}
	}
}

// checkServedBehindCut checks what callers get behind a cut, from 3 s after it began.
func checkServedBehindCut(t *testing.T, size int, chosen func(number, fleet int) bool, silent bool) {
	fl := newFleet(1, size)
	fl.silent = silent
	var cut []*fleetNode
	for i, node := range fl.nodes {
		if chosen(i, size) {
			cut = append(cut, node)
		}
	}
	fl.load(usualLoad, 2*time.Second)
	began := fl.now
	fl.cutNodes(cut)
	fl.load(usualLoad, 10*time.Second)
	fl.advance(3 * time.Second)
	from, to := began.Add(3*time.Second), began.Add(10*time.Second)
	behind, number := fl.served(from, to, func(req *fleetRequest) bool { return slices.Contains(cut, req.node) })
	others, _ := fl.served(from, to, func(req *fleetRequest) bool { return !slices.Contains(cut, req.node) })
	allowed := others - 0.02
	if size-len(cut) <= 2 {
		allowed = 0.85
	}
	refusals := fl.refusalsOf(from, to)
	avoided, lostByAll := 0, 0
	for _, node := range fl.nodes {
		avoided = max(avoided, node.avoidedByReport)
		lostByAll += node.lostByAll
	}
	t.Logf("%d of %d cut off: served %.3f of %d, others %.3f; refusals %d (95 in 100); avoided by report %d at most; lost by all %d",
		len(cut), size, behind, number, others, refusals, avoided, lostByAll)
	assert.Check(t, behind >= allowed, "served %.3f", behind)
	assert.Check(t, refusals <= 3, "refusals: %d", refusals)
	assert.Check(t, avoided <= 1, "replicas avoided by report: %d", avoided)
	assert.Check(t, lostByAll == 0, "lost by all: %d", lostByAll)
}

func TestCallersAreRefusedAtOnceIfNobodyHasAPath(t *testing.T) {
	// All instances lose their links to the replicas. Their callers must not wait while one instance after the other is asked, and must
	// be served soon after the first instance has its links again.
	fl := newFleet(1, 60)
	fl.silent = true
	fl.load(usualLoad, 2*time.Second)
	began := fl.now
	fl.cutNodes(fl.nodes)
	fl.load(usualLoad, 6*time.Second)
	healed := fl.now
	delete(fl.nodes[7].cut, "lyric")
	fl.load(usualLoad, 4*time.Second)
	fl.advance(3 * time.Second)
	for _, req := range fl.requests {
		if req.service != "lyric" || req.at.Before(began.Add(3*time.Second)) || !req.at.Before(healed.Add(-100*time.Millisecond)) {
			continue
		}
		assert.Assert(t, req.done && !req.left && req.refusal != nil && req.refusal.NotRun && req.refusal.RetryAfter > 0, "%+v", req)
		assert.Assert(t, req.endAt.Sub(req.at) < 100*time.Millisecond, "refused after %v", req.endAt.Sub(req.at))
	}
	share, number := fl.served(healed.Add(time.Second), healed.Add(4*time.Second), func(req *fleetRequest) bool { return req.service == "lyric" })
	t.Logf("served again: %.3f of %d", share, number)
	assert.Assert(t, share >= 0.85, "served again: %.3f", share)
}

func TestLostPathsToSeldomUsedServicesAreKnown(t *testing.T) {
	// Half of sixty instances lose their links to a service of which each has a request in six seconds. Each request behind the cut must
	// not wait for connections that hang, since other instances have found out before.
	fl := newFleet(1, 60)
	fl.silent = true
	fl.load(usualLoad, 2*time.Second)
	began := fl.now
	for i, node := range fl.nodes {
		node.cut["board"] = i%2 == 0
	}
	fl.load(usualLoad, 12*time.Second)
	fl.advance(3 * time.Second)
	timely, number := 0, 0
	for _, req := range fl.requests {
		if req.node.cut["board"] && req.service == "board" && !req.at.Before(began.Add(3*time.Second)) {
			number++
			if !req.beganAt.IsZero() && req.beganAt.Sub(req.at) <= lookup.Goal.Std() {
				timely++
			}
		}
	}
	t.Logf("in time: %d of %d", timely, number)
	assert.Assert(t, 100*timely >= 98*number, "in time: %d of %d", timely, number)
}

// refusalsOf returns how many instances refused to pass on a request in the time, for 95 in 100 requests.
func (fl *fleet) refusalsOf(from, to time.Time) int {
	counts := []int{0}
	for _, req := range fl.requests {
		if !req.at.Before(from) && req.at.Before(to) {
			counts = append(counts, req.refusals)
		}
	}
	slices.Sort(counts)
	return counts[len(counts)*95/100]
}

func TestCallersBehindLostPathsAreServedThoughNotesAreLost(t *testing.T) {
	// A tenth of the notes is lost, among them those that state lost paths. What refusals show must make up for it.
	fl := newFleet(1, 60)
	fl.silent, fl.noteLoss = true, 0.1
	fl.load(usualLoad, 2*time.Second)
	began := fl.now
	fl.cutNodes(fl.nodes[3:])
	fl.checkAllButThree(t, began)
}

func TestSecondCutHitsThoseThatHelp(t *testing.T) {
	// Half of the instances are cut off, and four seconds later all others but three, through which the messages of the first half went.
	fl := newFleet(1, 60)
	fl.silent = true
	fl.load(usualLoad, 2*time.Second)
	fl.cutNodes(fl.nodes[30:])
	fl.load(usualLoad, 4*time.Second)
	began := fl.now
	fl.cutNodes(fl.nodes[3:30])
	fl.checkAllButThree(t, began)
}

// checkAllButThree plays on for eight seconds after a cut of all instances but three began, and checks what the callers behind it get from three
// seconds after that on.
func (fl *fleet) checkAllButThree(t *testing.T, began time.Time) {
	t.Helper()
	fl.load(usualLoad, 8*time.Second)
	fl.advance(3 * time.Second)
	from, to := began.Add(3*time.Second), began.Add(8*time.Second)
	share, number := fl.served(from, to, func(req *fleetRequest) bool { return slices.Contains(fl.nodes[3:], req.node) })
	t.Logf("served %.3f of %d, refusals %d", share, number, fl.refusalsOf(from, to))
	assert.Assert(t, share >= 0.98, "served %.3f", share)
	assert.Assert(t, fl.refusalsOf(from, to) <= 3)
}

package steer_test

import (
	"maps"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// coldWorld simulates several reducers that share replicas with slow start. The replicas write entries into the list that state for
// how long they are cold, and may state it in their answers.
type coldWorld struct {
	*limitWorld
	// coldFrom and coldUntil hold, by replica name, when the latest cold state began and when it ends.
	coldFrom, coldUntil map[string]time.Time
	// inAnswers reports whether answers state the cold state, and inEntries whether entries do.
	inAnswers, inEntries bool
	// down holds the names of the replicas that do not run.
	down map[string]bool
	// withoutList reports whether the instance receives no entries. If it is nil, all do.
	withoutList func(node *limitNode) bool
	// entryDelay is the longest time from writing an entry until an instance reads it.
	entryDelay time.Duration
}

const (
	// coldUptime is for how long the instances have run at the beginning: until each has received notes of all others.
	coldUptime = 2200 * time.Millisecond
	// coldPerS is what a cold replica accepts in the simulations.
	coldPerS = 14
	// coldTime is how long a replica is cold after a start.
	coldTime = 3 * time.Second
	// entryInterval is the interval at which a replica writes its entry.
	entryInterval = 1200 * time.Millisecond
	// maxColdPerS is the operators' bound on the requests that arrive at a cold replica in any second.
	maxColdPerS = 1.5*coldPerS + 5
)

// slowStartRouting returns a configuration in which cold replicas accept coldPerS requests a second.
func slowStartRouting(version int64) *decl.Routing {
	slow := decl.SlowStart{Duration: decl.Duration(coldTime), PerS: coldPerS}
	return &decl.Routing{Version: version, Services: map[string]decl.Pool{"lyric": {Engine: &figures, SlowStart: slow}, "board": {SlowStart: slow}}}
}

func newColdWorld(seed uint64, instances int, list []steer.Replica) *coldWorld {
	cw := &coldWorld{
		limitWorld: newStartedWorld(seed, instances, list, usualBudget, coldUptime), coldFrom: map[string]time.Time{}, coldUntil: map[string]time.Time{},
		inAnswers: true, inEntries: true, down: map[string]bool{}, entryDelay: 60 * time.Millisecond,
	}
	cw.routing = slowStartRouting(2)
	cw.announced = func(replica string) (notice.Announced, bool) {
		return notice.Announced{ColdKnown: cw.inAnswers, Cold: cw.coldLeft(replica)}, false
	}
	cw.told = func(*limitNode, string, notice.Announced) {}
	for _, node := range cw.nodes {
		cw.reduce(node, steer.Configured{Routing: cw.routing})
	}
	for i := range cw.replicas {
		name := cw.replicas[i].Name
		cw.after(time.Duration(cw.random.Int64N(int64(entryInterval))), func() { cw.writeEntries(name) })
	}
	return cw
}

// coldLeft returns how much longer the replica is cold.
func (cw *coldWorld) coldLeft(replica string) time.Duration {
	return max(0, cw.coldUntil[replica].Sub(cw.now))
}

// writeEntries makes the replica write its entry now and at each interval.
func (cw *coldWorld) writeEntries(replica string) {
	cw.writeEntry(replica)
	cw.after(entryInterval, func() { cw.writeEntries(replica) })
}

// writeEntry makes the replica write its entry, which all instances but those of withoutList read after up to entryDelay.
func (cw *coldWorld) writeEntry(replica string) {
	if cw.down[replica] {
		return
	}
	i := slices.IndexFunc(cw.replicas, func(rep steer.Replica) bool { return rep.Name == replica })
	cw.replicas[i].ColdMs = steer.ColdUnknown
	if cw.inEntries {
		cw.replicas[i].ColdMs = cw.coldLeft(replica).Milliseconds()
	}
	entry := cw.replicas[i]
	for _, node := range cw.nodes {
		if cw.withoutList != nil && cw.withoutList(node) {
			continue
		}
		cw.inRun(node, time.Duration(cw.random.Int64N(int64(cw.entryDelay))), func() {
			cw.reduce(node, steer.ListChanged{Replicas: []steer.Replica{entry}})
		})
	}
}

// turnCold makes the replica cold for the time, with the same incarnation. It states so with its next entry and answers, or at once
// in an entry if its answers state nothing.
func (cw *coldWorld) turnCold(replica string, lasts time.Duration) {
	cw.coldFrom[replica], cw.coldUntil[replica] = cw.now, cw.now.Add(lasts)
	if !cw.inAnswers {
		cw.writeEntry(replica)
	}
}

// stop ends the replicas and removes their entries at all instances.
func (cw *coldWorld) stop(replicas []string) {
	for _, name := range replicas {
		cw.down[name] = true
	}
	for _, node := range cw.nodes {
		cw.reduce(node, steer.ListChanged{Gone: replicas})
	}
}

// restart makes the replica start again, as a cold one that writes its entry at once. It is cold for the given time.
func (cw *coldWorld) restart(replica string, lasts time.Duration) {
	cw.down[replica] = false
	i := slices.IndexFunc(cw.replicas, func(rep steer.Replica) bool { return rep.Name == replica })
	cw.replicas[i].Born++
	cw.coldFrom[replica], cw.coldUntil[replica] = cw.now, cw.now.Add(lasts)
	cw.writeEntry(replica)
}

// names returns the names of the service's replicas.
func (cw *coldWorld) names(service string) []string {
	var names []string
	for _, rep := range cw.replicas {
		if rep.Service == service {
			names = append(names, rep.Name)
		}
	}
	return names
}

// coldArrivals returns when requests arrived at the replica during its latest cold state.
func (cw *coldWorld) coldArrivals(replica string) []time.Time {
	var list []time.Time
	for _, gt := range cw.received {
		if gt.replica == replica && !gt.at.Before(cw.coldFrom[replica]) && gt.at.Before(cw.coldUntil[replica]) {
			list = append(list, gt.at)
		}
	}
	return list
}

// worstSecond returns the largest number of requests that arrived at any replica in any second of its latest cold state.
func (cw *coldWorld) worstSecond() (worst int) {
	for _, replica := range slices.Sorted(maps.Keys(cw.coldFrom)) {
		list := cw.coldArrivals(replica)
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) >= time.Second {
				first++
			}
			worst = max(worst, i-first+1)
		}
	}
	return worst
}

// leastSecond returns the smallest number of requests that arrived at any replica in any full second of its latest cold state,
// from the given time after its beginning on, and the mean rate of all replicas in that time.
func (cw *coldWorld) leastSecond(settled time.Duration) (least int, mean float64) {
	least = maxColdPerS
	count, seconds := 0, 0.0
	for replica, from := range cw.coldFrom {
		from := from.Add(settled)
		until := cw.coldUntil[replica]
		list := cw.coldArrivals(replica)
		within := func(from, until time.Time) int {
			begin, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
			end, _ := slices.BinarySearchFunc(list, until, time.Time.Compare)
			return end - begin
		}
		count += within(from, until)
		seconds += until.Sub(from).Seconds()
		for ; !from.Add(time.Second).After(until); from = from.Add(50 * time.Millisecond) {
			least = min(least, within(from, from.Add(time.Second)))
		}
	}
	return least, float64(count) / seconds
}

// receivedBetween returns how many requests arrived at the replica in the time.
func (cw *coldWorld) receivedBetween(replica string, from, until time.Time) int {
	count := 0
	for _, gt := range cw.received {
		if gt.replica == replica && !gt.at.Before(from) && gt.at.Before(until) {
			count++
		}
	}
	return count
}

// coldNodes counts the instances that take the replica for cold.
func (cw *coldWorld) coldNodes(replica string) int {
	count := 0
	for _, node := range cw.nodes {
		if node.takesForCold(cw.now, replica) {
			count++
		}
	}
	return count
}

func (node *limitNode) takesForCold(now time.Time, replica string) bool {
	return slices.ContainsFunc(node.st.InForce(now), func(status steer.AnnouncementStatus) bool {
		return status.Replica == replica && status.Announcement == notice.Warming
	})
}

// coldAnswer is what an answer of a replica announces that is cold for the time.
func coldAnswer(left time.Duration) notice.Announced {
	return notice.Announced{ColdKnown: true, Cold: left}
}

// maxEndSpread is the longest time by which the instances' ends of a cold state differ.
const maxEndSpread = 260 * time.Millisecond

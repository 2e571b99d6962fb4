package admit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionsail.example/dandelionsail/internal/admit"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// simulation is a queue in front of several servers that each process one item at a time without preemption.
type simulation struct {
	st     *admit.State
	disc   admit.Discipline
	random *rand.Rand
	now    time.Time
	// freeAt is when each server becomes free.
	freeAt []time.Time
	// waits holds the waiting times in seconds by class.
	waits map[string][]float64
	// missed counts the items that ended after their deadline, by class.
	missed map[string]int
	// refuseLate refuses items on arrival that are not expected to end by their deadline.
	refuseLate bool
	// offered counts the items that arrived, refused ones included, by class.
	offered map[string]int
}

const (
	simServers = 8
	// simTokensPerSecond is the speed of one server.
	simTokensPerSecond = 20_000
	simItems           = 40_000
)

// promptLength returns a length in tokens, log-uniform from 1,000 to 100,000. Longer prompts are admitted by permit and do
// not pass this queue.
func (sim *simulation) promptLength() int64 {
	return int64(1000 * math.Pow(100, sim.random.Float64()))
}

// run offers simItems items at the load, a fraction of the capacity of all servers.
func (sim *simulation) run(load float64) {
	mean := 99_000 / math.Log(100) / simTokensPerSecond
	gap := mean / (load * simServers)
	for id := range simItems {
		arrived := sim.now.Add(time.Duration(sim.random.ExpFloat64() * gap * float64(time.Second)))
		sim.serve(arrived)
		sim.now = arrived
		tokens := sim.promptLength()
		class, _ := (&decl.Config{}).ClassOf(tokens)
		organisation := fmt.Sprint(sim.random.IntN(10))
		work := time.Duration(tokens) * time.Second / simTokensPerSecond
		sim.offered[class.Name]++
		if sim.refuseLate && sim.st.Wait("lyric", organisation, class, 1, simServers)+work > time.Minute {
			continue
		}
		sim.st.Push(admit.Item{
			ID:           event.RequestID(id),
			Organisation: organisation,
			Service:      "lyric",
			Class:        class,
			Tokens:       tokens,
			Work:         work,
			Arrived:      arrived,
			Deadline:     arrived.Add(time.Minute),
		}, 1, sim.disc)
	}
	sim.serve(sim.now.Add(time.Hour))
}

// serve lets the servers take waiting items until the time.
func (sim *simulation) serve(until time.Time) {
	for {
		first := 0
		for i, at := range sim.freeAt {
			if at.Before(sim.freeAt[first]) {
				first = i
			}
		}
		at := sim.freeAt[first]
		if at.Before(sim.now) {
			at = sim.now
		}
		if at.After(until) {
			return
		}
		it := sim.st.Head(at, "lyric")
		sim.st.MarkBlocked(at, "lyric")
		if it == nil {
			return
		}
		sim.st.Take(it)
		sim.freeAt[first] = at.Add(it.Work)
		if sim.refuseLate && at.Add(it.Work).After(it.Deadline) {
			// The item is dropped, as the reducer does once the latest possible start has passed.
			sim.freeAt[first] = at
			continue
		}
		sim.waits[it.Class.Name] = append(sim.waits[it.Class.Name], at.Sub(it.Arrived).Seconds())
		if sim.freeAt[first].After(it.Deadline) {
			sim.missed[it.Class.Name]++
		}
	}
}

// BenchmarkDisciplines compares the queueing disciplines under the same load. It reports, by class, the 95th percentile of
// the wait and the percentage of the offered items that end by their deadline. All but first-come refuse items that are not
// expected to end in time.
func BenchmarkDisciplines(b *testing.B) {
	disciplines := map[string]admit.Discipline{
		"first-come":      admit.FirstCome{},
		"priority":        admit.Priority{},
		"weighted-equal":  admit.Weighted{},
		"weighted-4-2-1":  admit.Weighted{Weights: map[string]float64{"Short": 4, "Medium": 2, "Large": 1}},
		"weighted-16-4-1": admit.Weighted{Weights: map[string]float64{"Short": 16, "Medium": 4, "Large": 1}},
		"weighted-1-1-8":  admit.Weighted{Weights: map[string]float64{"Short": 1, "Medium": 1, "Large": 8}},
	}
	for _, load := range []float64{0.75, 0.95, 1.2} {
		for name, disc := range disciplines {
			b.Run(fmt.Sprintf("load=%g/%s", load, name), func(b *testing.B) {
				for b.Loop() {
					sim := &simulation{
						st: admit.New(), disc: disc, random: rand.New(rand.NewPCG(1, 1)), now: start,
						freeAt: make([]time.Time, simServers), waits: map[string][]float64{}, missed: map[string]int{},
						offered: map[string]int{}, refuseLate: name != "first-come",
					}
					sim.run(load)
					for _, class := range classes[:3] {
						waits := sim.waits[class.Name]
						slices.Sort(waits)
						b.ReportMetric(1000*waits[len(waits)*95/100], class.Name+"-p95-ms")
						inTime := len(waits) - sim.missed[class.Name]
						b.ReportMetric(100*float64(inTime)/float64(sim.offered[class.Name]), class.Name+"-in-time-%")
					}
				}
			})
		}
	}
}

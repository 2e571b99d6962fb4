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

// line is one queue before a few servers that each take one item at a time and are not preempted.
type line struct {
	st     *admit.State
	disc   admit.Discipline
	random *rand.Rand
	now    time.Time
	// free is when each server is free again.
	free []time.Time
	// waits holds the waits by class in seconds; missed counts items that ended after their deadline.
	waits  map[string][]float64
	missed map[string]int
	// refuse turns away at once what cannot end in time; offered counts all that came.
	refuse  bool
	offered map[string]int
}

const (
	lineServers = 8
	// lineRate is what one server does in tokens a second.
	lineRate  = 20_000
	lineItems = 40_000
)

// length is log-uniform from a thousand to a hundred thousand tokens: longer prompts go by permit, not by this queue.
func (ln *line) length() int64 {
	return int64(1000 * math.Pow(100, ln.random.Float64()))
}

// run offers items at the load, 1 for as much as the servers can do.
func (ln *line) run(load float64) {
	mean := 99_000 / math.Log(100) / lineRate
	gap := mean / (load * lineServers)
	for id := range lineItems {
		arrived := ln.now.Add(time.Duration(ln.random.ExpFloat64() * gap * float64(time.Second)))
		ln.serve(arrived)
		ln.now = arrived
		tokens := ln.length()
		class, _ := (&decl.Config{}).ClassOf(tokens)
		organisation := fmt.Sprint(ln.random.IntN(10))
		work := time.Duration(tokens) * time.Second / lineRate
		ln.offered[class.Name]++
		if ln.refuse && ln.st.Wait("lyric", organisation, class, 1, lineServers)+work > time.Minute {
			continue
		}
		ln.st.Push(admit.Item{
			ID:           event.RequestID(id),
			Organisation: organisation,
			Service:      "lyric",
			Class:        class,
			Tokens:       tokens,
			Work:         work,
			Arrived:      arrived,
			Deadline:     arrived.Add(time.Minute),
		}, 1, ln.disc)
	}
	ln.serve(ln.now.Add(time.Hour))
}

// serve lets the servers take what waits until the time.
func (ln *line) serve(until time.Time) {
	for {
		first := 0
		for i, at := range ln.free {
			if at.Before(ln.free[first]) {
				first = i
			}
		}
		at := ln.free[first]
		if at.Before(ln.now) {
			at = ln.now
		}
		if at.After(until) {
			return
		}
		it := ln.st.Head(at, "lyric")
		ln.st.Blocked(at, "lyric")
		if it == nil {
			return
		}
		ln.st.Take(it)
		ln.free[first] = at.Add(it.Work)
		if ln.refuse && at.Add(it.Work).After(it.Deadline) {
			// Given up on, as the reducer does when its latest start has passed.
			ln.free[first] = at
			continue
		}
		ln.waits[it.Class.Name] = append(ln.waits[it.Class.Name], at.Sub(it.Arrived).Seconds())
		if ln.free[first].After(it.Deadline) {
			ln.missed[it.Class.Name]++
		}
	}
}

// BenchmarkDisciplines compares the orders of one queue on the same load: the 95th percentile of the wait by class,
// and how many in a hundred of those offered end in time. All but the first-come order refuse what cannot.
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
					ln := &line{
						st: admit.New(), disc: disc, random: rand.New(rand.NewPCG(1, 1)), now: start,
						free: make([]time.Time, lineServers), waits: map[string][]float64{}, missed: map[string]int{},
						offered: map[string]int{}, refuse: name != "first-come",
					}
					ln.run(load)
					for _, class := range classes[:3] {
						waits := ln.waits[class.Name]
						slices.Sort(waits)
						b.ReportMetric(1000*waits[len(waits)*95/100], class.Name+"-p95-ms")
						inTime := len(waits) - ln.missed[class.Name]
						b.ReportMetric(100*float64(inTime)/float64(ln.offered[class.Name]), class.Name+"-in-time-%")
					}
				}
			})
		}
	}
}

package cmds

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// maxLatency is the longest time that the histograms hold, in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// classReport is what the requests of one length class saw.
type classReport struct {
	firstToken *hdrhistogram.Histogram
	outcomes   map[load.Outcome]int
}

// demoReport gathers the results of a demonstration.
type demoReport struct {
	mu      sync.Mutex
	classes map[string]*classReport
	updates int
	failed  int
	keys    int
	bad     int
}

func (rp *demoReport) add(tokens int64, res load.Result) {
	cfg := &decl.Config{}
	class, _ := cfg.ClassOf(tokens)
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.classes == nil {
		rp.classes = map[string]*classReport{}
	}
	cr, ok := rp.classes[class.Name]
	if !ok {
		cr = &classReport{firstToken: hdrhistogram.New(1, maxLatency, 3), outcomes: map[load.Outcome]int{}}
		rp.classes[class.Name] = cr
	}
	cr.outcomes[res.Outcome]++
	if res.Outcome != load.OutcomeWhole {
		rp.bad++
		return
	}
	_ = cr.firstToken.RecordValue(res.FirstToken.Microseconds())
}

func (rp *demoReport) updated(status int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.updates++
	if status/100 != 2 {
		rp.failed++
	}
}

func (rp *demoReport) write(out io.Writer) {
	fmt.Fprintf(out, "%-8s %8s %12s %12s %12s\n", "length", "whole", "first p50", "first p95", "first max")
	for _, class := range decl.DefaultClasses() {
		cr, ok := rp.classes[class.Name]
		if !ok {
			continue
		}
		fmt.Fprintf(out, "%-8s %8d %12s %12s %12s\n", class.Name, cr.outcomes[load.OutcomeWhole],
			micros(cr.firstToken.ValueAtQuantile(50)), micros(cr.firstToken.ValueAtQuantile(95)), micros(cr.firstToken.Max()))
		for outcome, count := range cr.outcomes {
			if outcome != load.OutcomeWhole {
				fmt.Fprintf(out, "%-8s %8d %s\n", "", count, outcome)
			}
		}
	}
}

func micros(value int64) time.Duration {
	return (time.Duration(value) * time.Microsecond).Round(100 * time.Microsecond)
}

// verdict fails the demonstration if an answer was not whole or an update not run exactly once.
func (rp *demoReport) verdict(ran int) error {
	if rp.bad > 0 || rp.failed > 0 || ran != rp.keys {
		return fmt.Errorf("demo: %d answers not whole, %d updates failed, %d of %d keys run; see --verbose", rp.bad, rp.failed, ran, rp.keys)
	}
	return nil
}

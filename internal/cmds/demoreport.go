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

// maxLatency is the longest time that the histograms can record, in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// classReport holds the results of the requests of one length class.
type classReport struct {
	// firstToken holds the times to the first token of whole answers, in microseconds.
	firstToken *hdrhistogram.Histogram
	outcomes   map[load.Outcome]int
}

// demoReport collects the results of a demonstration.
type demoReport struct {
	mu            sync.Mutex
	classes       map[string]*classReport
	updates       int
	failedUpdates int
	keys          int
	incomplete    int
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
		rp.incomplete++
		return
	}
	_ = cr.firstToken.RecordValue(res.FirstToken.Microseconds())
}

func (rp *demoReport) addUpdate(status int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.updates++
	if status/100 != 2 {
		rp.failedUpdates++
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
			roundMicros(cr.firstToken.ValueAtQuantile(50)), roundMicros(cr.firstToken.ValueAtQuantile(95)), roundMicros(cr.firstToken.Max()))
		for outcome, count := range cr.outcomes {
			if outcome != load.OutcomeWhole {
				fmt.Fprintf(out, "%-8s %8d %s\n", "", count, outcome)
			}
		}
	}
}

// roundMicros converts microseconds to a duration rounded to 0.1 ms.
func roundMicros(value int64) time.Duration {
	return (time.Duration(value) * time.Microsecond).Round(100 * time.Microsecond)
}

// check returns an error if an answer was incomplete or if an update was not executed exactly once. Its argument is the
// number of updates that the service executed.
func (rp *demoReport) check(ran int) error {
	if rp.incomplete > 0 || rp.failedUpdates > 0 || ran != rp.keys {
		return fmt.Errorf("demo: %d answers not whole, %d updates failed, %d of %d keys run; see --verbose", rp.incomplete, rp.failedUpdates, ran, rp.keys)
	}
	return nil
}

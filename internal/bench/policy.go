package bench

import (
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/model"
	"dandelionsail.example/dandelionsail/internal/steer"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type policyCommand struct {
	Scenarios []string `long:"scenario" description:"scenario file; repeat the flag for several"`
	Draw      int      `long:"draw" description:"number of randomly drawn deployments to add to the scenarios"`
	From      uint64   `long:"from" description:"first seed of the drawn deployments" default:"1"`
	Seeds     int      `long:"seeds" description:"number of runs of each scenario, with seeds from 1" default:"3"`
	Tunings   []string `long:"tuning" description:"NAME={...}, a policy to compare with the default one; repeat the flag for several"`
	Jobs      int      `long:"jobs" description:"number of concurrent runs; 0 uses half of the CPUs" default:"0"`
	Classes   bool     `long:"classes" description:"show the results of each class"`
	Bound     bool     `long:"bound" description:"show what the same decisions earn with immediate knowledge of everything, and an upper bound for any policy"`
	JSON      string   `long:"json" description:"file to write all results to as JSON; empty writes none"`
}

// trial is one of the policies that are compared.
type trial struct {
	Name   string
	Tuning steer.Tuning
	// Results holds the results of the runs, indexed by scenario and seed.
	Results [][]*model.Result
}

// Execute implements flags.Commander.
func (cmd *policyCommand) Execute(_ []string) error {
	scenarios, trials, err := cmd.read()
	if err != nil {
		return tool.Usage(err)
	}
	jobs := cmd.Jobs
	if jobs <= 0 {
		jobs = max(1, runtime.NumCPU()/2)
	}
	var group errgroup.Group
	group.SetLimit(jobs)
	for _, tr := range trials {
		tr.Results = make([][]*model.Result, len(scenarios))
		for i, sc := range scenarios {
			tr.Results[i] = make([]*model.Result, cmd.Seeds)
			for seed := range cmd.Seeds {
				group.Go(func() error {
					tr.Results[i][seed] = model.Run(sc, tr.Tuning, uint64(seed)+1)
					return nil
				})
			}
		}
	}
	_ = group.Wait()
	for i, sc := range scenarios {
		writeScenario(os.Stdout, sc.Name, i, trials, cmd.Classes)
	}
	writeDifferences(os.Stdout, trials, len(scenarios))
	if cmd.Bound {
		cmd.writeBounds(os.Stdout, scenarios, trials[0], jobs)
	}
	return writeJSON(cmd.JSON, trials)
}

func (cmd *policyCommand) read() ([]*model.Scenario, []*trial, error) {
	if cmd.Seeds < 1 || cmd.Draw < 0 || len(cmd.Scenarios)+cmd.Draw == 0 {
		return nil, nil, fmt.Errorf("bench: invalid --seeds (%d) or no scenario to simulate; give --seeds 1 or more, and a --scenario or --draw", cmd.Seeds)
	}
	var scenarios []*model.Scenario
	for _, path := range cmd.Scenarios {
		sc, err := model.Load(path)
		if err != nil {
			return nil, nil, err
		}
		scenarios = append(scenarios, sc)
	}
	for i := range cmd.Draw {
		scenarios = append(scenarios, model.RandomScenario(cmd.From+uint64(i)))
	}
	trials := []*trial{{Name: "default", Tuning: steer.DefaultTuning()}}
	for _, text := range cmd.Tunings {
		name, figures, ok := strings.Cut(text, "=")
		if !ok {
			return nil, nil, fmt.Errorf("bench: --tuning is %q; give a name, = and a JSON object", text)
		}
		tr := &trial{Name: name}
		if err := tr.Tuning.UnmarshalFlag(figures); err != nil {
			return nil, nil, err
		}
		trials = append(trials, tr)
	}
	return scenarios, trials, nil
}

// writeBounds prints the share of the value owed that the trial earns, the share that the same decisions earn with immediate
// knowledge of everything, and the share that no policy can exceed.
func (cmd *policyCommand) writeBounds(out io.Writer, scenarios []*model.Scenario, tr *trial, jobs int) {
	type bounds struct{ earned, known, limit float64 }
	all := make([]bounds, len(scenarios)*cmd.Seeds)
	var group errgroup.Group
	group.SetLimit(jobs)
	for i, sc := range scenarios {
		for seed := range cmd.Seeds {
			group.Go(func() error {
				known := model.Run(model.FullInformation(sc), tr.Tuning, uint64(seed)+1)
				all[i*cmd.Seeds+seed] = bounds{tr.Results[i][seed].Whole, known.Whole, model.Bound(sc, uint64(seed)+1)}
				return nil
			})
		}
	}
	_ = group.Wait()
	fmt.Fprintf(out, "%-26s %7s %10s %6s\n", "value earned of value owed", "earned", "all known", "bound")
	for i, sc := range scenarios {
		var sum bounds
		for _, run := range all[i*cmd.Seeds : (i+1)*cmd.Seeds] {
			sum.earned += run.earned / float64(cmd.Seeds)
			sum.known += run.known / float64(cmd.Seeds)
			sum.limit += run.limit / float64(cmd.Seeds)
		}
		fmt.Fprintf(out, "%-26s %7.3f %10.3f %6.3f\n", sc.Name, sum.earned, sum.known, sum.limit)
	}
}

// writeScenario prints the mean results of each policy on one scenario.
func writeScenario(out io.Writer, name string, index int, trials []*trial, classes bool) {
	fmt.Fprintf(out, "%-14s %-18s %6s %6s %6s %8s %6s %8s %7s\n", name, "policy", "mark", "error", "whole", "windows", "class", "refused", "again")
	for _, tr := range trials {
		var sum model.Result
		var marks []float64
		count := float64(len(tr.Results[index]))
		for _, res := range tr.Results[index] {
			marks = append(marks, res.Mark)
			sum.Whole += res.Whole / count
			sum.Windows += res.Windows / count
			sum.Class += res.Class / count
			sum.Refusals += res.Refusals
			sum.Again += res.Again
		}
		mean, stderr := meanAndError(marks)
		fmt.Fprintf(out, "%-14s %-18s %6.3f %6.3f %6.3f %8.3f %6.3f %8.1f %7.1f\n", "", tr.Name, mean, stderr, sum.Whole, sum.Windows, sum.Class,
			float64(sum.Refusals)/count, sum.Again/count)
		if classes {
			writeClasses(out, tr.Results[index])
		}
	}
}

func writeClasses(out io.Writer, results []*model.Result) {
	for i := range results[0].Classes {
		var sum model.ClassResult
		count := float64(len(results))
		for _, res := range results {
			cr := &res.Classes[i]
			sum.Asked += cr.Asked
			sum.InTime += cr.InTime
			sum.Late += cr.Late
			sum.Paused += cr.Paused
			sum.Refused += cr.Refused
			sum.Fail += cr.Fail
			sum.Worth += cr.Worth / count
			sum.P50 += cr.P50 / count
			sum.P90 += cr.P90 / count
		}
		fmt.Fprintf(out, "  %-12s asked %5d in time %5d late %4d (%d by a pause) refused %4d failed %4d value %.3f first event %.0f ms, %.0f ms in the worst tenth\n",
			results[0].Classes[i].Name, sum.Asked, sum.InTime, sum.Late, sum.Paused, sum.Refused, sum.Fail, sum.Worth, sum.P50, sum.P90)
	}
}

// writeDifferences prints the difference in mark between each policy and the first one. It compares runs in pairs that
// have the same arrivals.
func writeDifferences(out io.Writer, trials []*trial, scenarios int) {
	for _, tr := range trials[1:] {
		var diffs []float64
		lower := 0
		for i := range scenarios {
			var runDiffs []float64
			for seed, res := range tr.Results[i] {
				runDiffs = append(runDiffs, res.Mark-trials[0].Results[i][seed].Mark)
			}
			diff, _ := meanAndError(runDiffs)
			diffs = append(diffs, diff)
			if diff < 0 {
				lower++
			}
		}
		mean, stderr := meanAndError(diffs)
		minDiff, maxDiff := math.Inf(1), math.Inf(-1)
		for _, diff := range diffs {
			minDiff, maxDiff = min(minDiff, diff), max(maxDiff, diff)
		}
		fmt.Fprintf(out, "%-18s minus %s: %+.4f (standard error %.4f), from %+.3f to %+.3f, lower on %d of %d\n", tr.Name, trials[0].Name, mean, stderr, minDiff, maxDiff, lower, scenarios)
	}
}

// meanAndError returns the mean and its standard error, which is 0 for a single figure.
func meanAndError(figures []float64) (mean, stderr float64) {
	count := float64(len(figures))
	for _, figure := range figures {
		mean += figure / count
	}
	if count < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, figure := range figures {
		squares += (figure - mean) * (figure - mean)
	}
	return mean, math.Sqrt(squares / (count - 1) / count)
}

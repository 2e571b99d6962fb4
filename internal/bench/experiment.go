package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/load"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type experimentCommand struct {
	Scenarios string        `long:"scenarios" description:"directory of the scenario files" default:"scenarios"`
	Seeds     []uint64      `long:"seed" description:"seed of a run; repeat the flag for several" default:"1" default:"2" default:"3"`
	Policies  []string      `long:"policy" description:"policy to compare; repeat the flag for several" default:"dandelionsail" default:"least-requests" default:"round-robin"`
	Time      time.Duration `long:"time" description:"duration of one run; 0 uses the scenario's"`
	Out       string        `long:"out" description:"directory for JSON and plots; empty writes none"`
	Lock      string        `long:"lock" description:"file to lock during each run, so that measurements on the same machine do not disturb each other"`
	Parallel  int           `long:"parallel" description:"number of concurrent runs, each with its own processes" default:"1"`
	Logs      bool          `long:"logs" description:"print the logs of the processes"`
	Args      struct {
		Name string `positional-arg-name:"NAME" required:"yes" description:"sreekovil, sundarban, flood, overload, faults, disciplines or control"`
	} `positional-args:"yes"`
}

// variant is one of the set-ups that an experiment compares: a scenario under a policy.
type variant struct {
	Name     string
	scenario *load.Scenario
	policy   string
	// withLong includes the long prompts.
	withLong bool
	// loadPeriod is the time between load reports; 0 uses the scenario's.
	loadPeriod time.Duration
	// disrupt injects faults while the load runs; nil injects none.
	disrupt func(ctx context.Context, rg *rig) error
}

// outcome aggregates the runs of a variant.
type outcome struct {
	mu      sync.Mutex
	Name    string
	Runs    int
	summary *load.Summary
	// Figures is the summary as written to JSON.
	Figures summaryFigures
	// HeldTokens is the number of tokens that the engines still held settleTime after the last request.
	HeldTokens int64
	// LostSteps counts the steps that the engines missed because the machine was too busy.
	LostSteps int64
	// Work is the work that the engines did, as a share of their capacity over the duration of the load.
	Work float64
	// Doubled counts the idempotency keys that plain services executed more than once.
	Doubled int
	// CoreShare is the mean CPU usage of one entry instance, in cores.
	CoreShare float64
	// PeerBytes is the mean number of bytes per second that an instance exchanges with its peers, in both directions.
	PeerBytes float64
	// ResidentBytes is the largest resident memory of an entry instance at the end of a run.
	ResidentBytes int64
	// GoodputTokens is the tokens per second of complete answers that arrived in time.
	GoodputTokens float64
	// seconds is the total duration of the load over all runs.
	seconds float64
}

// Execute implements flags.Commander.
func (cmd *experimentCommand) Execute(_ []string) error {
	ctx, stop := tool.Context()
	defer stop()
	if cmd.Parallel < 1 {
		return tool.Usage(fmt.Errorf("bench: --parallel is %d; give 1 or more", cmd.Parallel))
	}
	variants, err := cmd.variants()
	if err != nil {
		return tool.Usage(err)
	}
	outcomes, err := cmd.measure(ctx, variants)
	if err != nil {
		return err
	}
	writeTable(os.Stdout, outcomes)
	if cmd.Out == "" {
		return nil
	}
	return cmd.save(outcomes)
}

// measure iterates over the seeds and runs all variants for each of them, so that a disturbance of the machine affects all
// variants alike.
func (cmd *experimentCommand) measure(ctx context.Context, variants []variant) ([]*outcome, error) {
	progress := tool.Progress()
	lock := &fileLock{path: cmd.Lock}
	defer lock.release()
	outcomes := make([]*outcome, len(variants))
	for i, va := range variants {
		outcomes[i] = &outcome{Name: va.Name, summary: load.NewSummary()}
	}
	for group := range slices.Chunk(cmd.jobs(variants, outcomes), cmd.Parallel) {
		progress(fmt.Sprintf("seed %d: %s", group[0].seed, group[0].Name))
		if err := lock.acquire(); err != nil {
			return nil, err
		}
		if err := runParallel(ctx, group, cmd.Logs); err != nil {
			return nil, err
		}
		lock.releaseIfExpired()
	}
	for _, oc := range outcomes {
		oc.finish()
	}
	return outcomes, nil
}

// job is one run of a variant with one seed.
type job struct {
	variant
	seed    uint64
	outcome *outcome
}

func (cmd *experimentCommand) jobs(variants []variant, outcomes []*outcome) []job {
	var jobs []job
	for _, seed := range cmd.Seeds {
		for i, va := range variants {
			jobs = append(jobs, job{va, seed, outcomes[i]})
		}
	}
	return jobs
}

func runParallel(ctx context.Context, jobs []job, showLogs bool) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, jb := range jobs {
		group.Go(func() error {
			if err := jb.run(ctx, showLogs); err != nil {
				return fmt.Errorf("bench: seed %d, %s: %w", jb.seed, jb.Name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (jb *job) run(ctx context.Context, showLogs bool) error {
	var logs io.Writer
	if showLogs {
		logs = os.Stderr
	}
	rg, err := newRig(ctx, jb.variant, logs)
	if err != nil {
		return err
	}
	defer rg.fleet.Close()
	before := rg.processorTimes()
	bytesBefore, err := rg.peerBytes(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	disrupted := make(chan error, 1)
	if jb.disrupt != nil {
		go func() { disrupted <- jb.disrupt(ctx, rg) }()
	} else {
		disrupted <- nil
	}
	records := rg.run(ctx, load.Plan(jb.scenario, jb.seed, jb.withLong))
	if err := <-disrupted; err != nil {
		return err
	}
	elapsed := time.Since(started)
	after := rg.processorTimes()
	bytesAfter, err := rg.peerBytes(ctx)
	if err != nil {
		return err
	}
	jb.outcome.mu.Lock()
	defer jb.outcome.mu.Unlock()
	jb.outcome.add(records, jb.scenario)
	jb.outcome.addUsage(before, after, elapsed)
	jb.outcome.PeerBytes += float64(bytesAfter-bytesBefore) / elapsed.Seconds() / float64(len(rg.entries))
	return jb.outcome.addFinalState(ctx, rg)
}

func (oc *outcome) add(records []load.Record, sc *load.Scenario) {
	oc.Runs++
	oc.summary.Merge(load.Summarise(records))
	oc.seconds += sc.Scaled(sc.Mix.Duration).Seconds()
}

// addFinalState adds the state of the engines and the duplicate executions at the end of the run.
func (oc *outcome) addFinalState(ctx context.Context, rg *rig) error {
	st, err := rg.waitIdle(ctx)
	if err != nil {
		return err
	}
	oc.HeldTokens += st.UsedTokens
	oc.LostSteps += st.LostSteps
	oc.Work += st.Work / (rg.sc.Capacity() * rg.sc.Mix.Duration.Std().Seconds())
	doubled, err := rg.countDuplicates(ctx)
	oc.Doubled += doubled
	return err
}

// processorTimes returns the CPU time that each entry instance has used, by process ID. It omits processes that cannot
// be read.
func (rg *rig) processorTimes() map[int]time.Duration {
	used := map[int]time.Duration{}
	for _, pr := range rg.entries {
		if period, err := processorTime(pr.ProcessID()); err == nil {
			used[pr.ProcessID()] = period
		}
	}
	return used
}

// addUsage adds the CPU and memory usage of the entry instances that run at the end.
func (oc *outcome) addUsage(before, after map[int]time.Duration, elapsed time.Duration) {
	var total time.Duration
	for pid, used := range after {
		total += used - before[pid]
		if resident, err := residentBytes(pid); err == nil {
			oc.ResidentBytes = max(oc.ResidentBytes, resident)
		}
	}
	oc.CoreShare += total.Seconds() / elapsed.Seconds() / float64(len(after))
}

// finish turns the sums over all runs into means and computes the derived figures.
func (oc *outcome) finish() {
	oc.CoreShare /= float64(oc.Runs)
	oc.Work /= float64(oc.Runs)
	oc.PeerBytes /= float64(oc.Runs)
	oc.Figures = figuresOf(oc.summary)
	oc.GoodputTokens = float64(oc.Figures.Classes[load.ClassAll].Tokens) / oc.seconds
}

// tableClasses returns the classes in the order in which a table lists them.
func tableClasses() []string {
	return []string{"Short", "Medium", "Large", "Long", "Huge", load.ClassAll, load.ClassPlain}
}

func writeTable(out io.Writer, outcomes []*outcome) {
	for _, oc := range outcomes {
		fmt.Fprintf(out, "\n%s (%d runs, engines %.0f%% busy, goodput %.0f tokens/s, %d tokens held after, %d keys run twice,\n"+
			"  %.3f cores, %.0f peer bytes/s and %d MB an instance, %d sends late by at most %.0f ms, %d engine steps lost)\n", oc.Name, oc.Runs, 100*oc.Work,
			oc.GoodputTokens, oc.HeldTokens, oc.Doubled, oc.CoreShare, oc.PeerBytes, oc.ResidentBytes>>20, oc.Figures.LateSends, oc.Figures.LateMax, oc.LostSteps)
		fmt.Fprintf(out, "%-8s %6s %6s %7s %9s %9s %9s %7s %7s %7s %9s %6s %4s %6s\n", "class", "sent", "whole", "in time", "first p50",
			"p95", "p99", "refused", "not run", "> 50 ms", "refuse p95", "failed", "cut", "broken")
		for _, class := range tableClasses() {
			if fg, ok := oc.Figures.Classes[class]; ok {
				writeClass(out, class, fg)
			}
		}
		writeOrganisations(out, oc)
		for kind, text := range oc.Figures.Examples {
			fmt.Fprintf(out, "  %s: %s\n", kind, strings.TrimSpace(text))
		}
	}
}

func writeClass(out io.Writer, class string, fg load.Figures) {
	fmt.Fprintf(out, "%-8s %6d %6d %7d %9.0f %9.0f %9.0f %7d %7d %7d %10.0f %6d %4d %6d", class, fg.Sent, fg.Whole, fg.InTime,
		fg.P50, fg.P95, fg.P99, fg.Refused, fg.NotRun, fg.RefusedLate, fg.RefusalP95, fg.Failed, fg.Cut, fg.Broken)
	if fg.Short+fg.Wrong > 0 {
		fmt.Fprintf(out, "  SHORT %d WRONG %d", fg.Short, fg.Wrong)
	}
	fmt.Fprintln(out)
}

// writeOrganisations prints the latency of each organisation's short prompts, which is where a flood by another organisation
// shows, and the counts of all its completions.
func writeOrganisations(out io.Writer, oc *outcome) {
	names := make([]string, 0, len(oc.summary.Organisations))
	for name := range oc.summary.Organisations {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		short, all := oc.summary.Organisations[name].Figures(), oc.Figures.Organisations[name]
		fmt.Fprintf(out, "  %-14s short p95 %6.0f ms, %5d sent, %5d in time, %5d refused, %11d tokens\n",
			name, short.P95, all.Sent, all.InTime, all.Refused, all.Tokens)
	}
}

func (cmd *experimentCommand) save(outcomes []*outcome) error {
	if err := os.MkdirAll(cmd.Out, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(outcomes, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(cmd.Out, cmd.Args.Name)
	if err := os.WriteFile(base+".json", raw, 0o644); err != nil {
		return err
	}
	return drawOutcomes(base+".png", cmd.Args.Name, outcomes)
}

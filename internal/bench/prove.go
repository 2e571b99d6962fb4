package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/proof"
	"dandelionsail.example/dandelionsail/internal/tool"
)

type proveCommand struct {
	Faults string        `long:"faults" description:"faults to inject: names joined by + are injected together, names joined by commas in separate runs; all runs each fault alone, pairs each pair" default:"all"`
	Seeds  uint64        `long:"seeds" description:"number of runs for each, with seeds from 1" default:"1"`
	Rate   float64       `long:"rate" description:"requests per second" default:"80"`
	Before time.Duration `long:"before" description:"duration of the load before the faults" default:"3s"`
	Hold   time.Duration `long:"hold" description:"how long lasting faults are held" default:"4s"`
	After  time.Duration `long:"after" description:"duration of the load after the faults" default:"5s"`
	JSON   string        `long:"json" description:"file to write the reports to as JSON; empty writes none"`
	Logs   bool          `long:"logs" description:"print the logs of the processes"`
}

var errViolations = errors.New("bench: an invariant was violated; see the lines marked BROKEN")

// Execute implements flags.Commander.
func (cmd *proveCommand) Execute(_ []string) error {
	if cmd.Rate <= 0 || cmd.Before <= 0 || cmd.Hold <= 0 || cmd.After <= 0 || cmd.Seeds == 0 {
		return tool.Usage(errors.New("bench: --rate, --before, --hold, --after and --seeds must be above 0"))
	}
	ctx, stop := tool.Context()
	defer stop()
	var logs io.Writer
	if cmd.Logs {
		logs = os.Stderr
	}
	progress := tool.Progress()
	fmt.Printf("%-40s %4s %8s %6s %9s %9s %9s %9s  %s\n", "faults", "seed", "requests", "broken", "before", "during", "after", "recovery", "what callers saw")
	var reports []*proof.Report
	violated := false
	for _, names := range cmd.runs() {
		for seed := uint64(1); seed <= cmd.Seeds; seed++ {
			progress(strings.Join(names, "+"))
			rp, err := proof.Run(ctx, proof.Options{
				Faults: names, Seed: seed, Rate: cmd.Rate, Before: cmd.Before, Hold: cmd.Hold, After: cmd.After, Logs: logs,
			})
			if err != nil {
				return err
			}
			progress("")
			printReport(rp)
			reports = append(reports, rp)
			violated = violated || len(rp.Violations) > 0
		}
	}
	if err := cmd.write(reports); err != nil {
		return err
	}
	if violated {
		return errViolations
	}
	return nil
}

// runs returns the faults that are injected together in each run.
func (cmd *proveCommand) runs() [][]string {
	names := proof.Names()
	var runs [][]string
	switch cmd.Faults {
	case "all":
		for _, name := range names {
			runs = append(runs, []string{name})
		}
	case "pairs":
		for i, a := range names {
			for _, b := range names[i+1:] {
				runs = append(runs, []string{a, b})
			}
		}
	default:
		for run := range strings.SplitSeq(cmd.Faults, ",") {
			runs = append(runs, strings.Split(run, "+"))
		}
	}
	return runs
}

func printReport(rp *proof.Report) {
	fmt.Printf("%-40s %4d %8d %6d %9s %9s %9s %9s  %s\n", strings.Join(rp.Faults, "+"), rp.Seed, rp.Requests, len(rp.Violations),
		rp.ShortBefore.Round(time.Millisecond), rp.ShortDuring.Round(time.Millisecond), rp.ShortAfter.Round(time.Millisecond), rp.Recovery, rp.Seen())
	for _, note := range rp.Notes {
		fmt.Println("    note:", note)
	}
	for _, refusal := range rp.Refusals {
		fmt.Println("    seen:", refusal)
	}
	for _, violation := range rp.Violations {
		fmt.Println("    BROKEN:", violation)
	}
}

func (cmd *proveCommand) write(reports []*proof.Report) error {
	if cmd.JSON == "" {
		return nil
	}
	raw, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.JSON, append(raw, '\n'), 0o644)
}

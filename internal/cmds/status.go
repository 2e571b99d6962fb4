package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/entry"
	"dandelionsail.example/dandelionsail/internal/oper"
	"dandelionsail.example/dandelionsail/internal/permit"
)

type statusCommand struct {
	oper.Options
	JSON  bool          `long:"json" description:"print JSON"`
	Watch time.Duration `long:"watch" optional:"yes" optional-value:"2s" description:"print again at this interval until interrupted"`
}

// fleetStatus holds the status of every instance.
type fleetStatus struct {
	Instances []entry.Status
	// Missing names the instances that did not respond.
	Missing []string
}

// Execute implements flags.Commander.
func (cmd *statusCommand) Execute(_ []string) error {
	return withClient(cmd.Options, cmd.run)
}

func (cmd *statusCommand) run(ctx context.Context, client *oper.Client) error {
	for {
		if err := cmd.printOnce(ctx, client, os.Stdout); err != nil {
			return err
		}
		if cmd.Watch <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(cmd.Watch):
		}
	}
}

func (cmd *statusCommand) printOnce(ctx context.Context, client *oper.Client, out io.Writer) error {
	statuses, missing, err := client.Fleet(ctx)
	if err != nil {
		return err
	}
	fleet := fleetStatus{Instances: statuses, Missing: missing}
	if cmd.JSON {
		return json.NewEncoder(out).Encode(fleet)
	}
	return fleet.write(out)
}

func (fs *fleetStatus) write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tFAILURE DOMAIN\tVERSION\tSTATE\tREQUESTS")
	for _, sts := range fs.Instances {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", sts.Instance, sts.FailureDomain, sts.Version, stateText(sts), formatPhases(sts.Requests))
	}
	for _, name := range fs.Missing {
		fmt.Fprintf(table, "%s\t?\t?\tNo answer\t?\n", name)
	}
	fs.writeUpstreams(table)
	fs.writePools(table)
	fs.writeQuarantine(table)
	return table.Flush()
}

func stateText(sts entry.Status) string {
	switch {
	case sts.Draining:
		return "Draining"
	case !sts.Ready:
		return "Not ready"
	}
	return "Ready"
}

func formatPhases(requests map[string]int) string {
	var parts []string
	for phase, count := range requests {
		parts = append(parts, fmt.Sprintf("%d %s", count, phase))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// writeUpstreams prints each upstream once, with the requests and tokens of all instances and each state other than Live
// that an instance reports.
func (fs *fleetStatus) writeUpstreams(out io.Writer) {
	fmt.Fprintln(out, "\nUPSTREAM\tSERVICE\tFAILURE DOMAIN\tRUNNING\tTOKENS\tMEMORY\tSTATE")
	var names []string
	totals := map[string]entry.UpstreamStatus{}
	states := map[string][]string{}
	for _, sts := range fs.Instances {
		for _, us := range sts.Upstreams {
			total, ok := totals[us.Name]
			if !ok {
				names = append(names, us.Name)
				total = us
				total.Running, total.Tokens = 0, 0
			}
			total.Running += us.Running
			total.Tokens += us.Tokens
			totals[us.Name] = total
			if us.Why != "" {
				states[us.Name] = append(states[us.Name], fmt.Sprintf("%s at %s: %s", us.State, sts.Instance, us.Why))
			}
		}
	}
	sort.Strings(names)
	for _, name := range names {
		us := totals[name]
		state := strings.Join(states[name], "; ")
		if state == "" {
			state = "Live"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n", name, us.Service, us.FailureDomain, us.Running, us.Tokens, formatMemory(us), state)
	}
}

// writePools prints each pool with its coordinator, or with all coordinators if the instances disagree.
func (fs *fleetStatus) writePools(out io.Writer) {
	var keys []permit.Pool
	rows := map[permit.Pool]*poolRow{}
	for _, sts := range fs.Instances {
		for _, pl := range sts.Pools {
			row, ok := rows[pl.Pool]
			if !ok {
				row = &poolRow{}
				rows[pl.Pool] = row
				keys = append(keys, pl.Pool)
			}
			row.add(pl)
		}
	}
	for i, key := range keys {
		if i == 0 {
			fmt.Fprintln(out, "\nPOOL\tFAILURE DOMAIN\tREPLICAS\tCOORDINATOR\tRESERVED TOKENS")
		}
		row := rows[key]
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d\n", key.Service, key.FailureDomain, row.replicas, strings.Join(row.coordinators, " or "), row.reserved)
	}
}

// poolRow aggregates the views that all instances have of one pool.
type poolRow struct {
	replicas     int
	coordinators []string
	reserved     int64
}

func (pr *poolRow) add(pl core.Pool) {
	pr.replicas = max(pr.replicas, pl.Replicas)
	if pl.Coordinator != "" && !slices.Contains(pr.coordinators, pl.Coordinator) {
		pr.coordinators = append(pr.coordinators, pl.Coordinator)
	}
	for _, tokens := range pl.Reserved {
		pr.reserved += tokens
	}
}

func formatMemory(us entry.UpstreamStatus) string {
	if us.Load.MemoryTokens == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*us.Load.UsedTokens/us.Load.MemoryTokens)
}

func (fs *fleetStatus) writeQuarantine(out io.Writer) {
	seen := map[string]bool{}
	for _, sts := range fs.Instances {
		for _, entry := range sts.Quarantine {
			if seen[entry.Digest] {
				continue
			}
			if len(seen) == 0 {
				fmt.Fprintln(out, "\nQUARANTINED CONTENT\tUPSTREAMS LOST\tUNTIL")
			}
			seen[entry.Digest] = true
			fmt.Fprintf(out, "%s\t%d\t%s\n", entry.Digest[:16], entry.Deaths, entry.Until.Format(time.RFC3339))
		}
	}
}

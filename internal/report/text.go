// Package report renders service-level reports as text and as an HTML page with plots.
package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"dandelionsail.example/dandelionsail/internal/meter"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Text writes the report as aligned tables.
func Text(out io.Writer, rp meter.Report) error {
	fmt.Fprintf(out, "service-level burn at %s over %s\n", rp.At.UTC().Format(time.RFC3339), strings.Join(rp.Instances, ", "))
	if len(rp.Missing) > 0 {
		fmt.Fprintf(out, "PARTIAL: no answer from %s\n", strings.Join(rp.Missing, ", "))
	}
	table := tabwriter.NewWriter(out, 2, 4, 2, ' ', 0)
	fmt.Fprint(table, "\nOBJECTIVE\tWHAT\tTARGET\tALERT")
	for _, window := range windowsOf(rp) {
		fmt.Fprintf(table, "\tBURN %s", window)
	}
	fmt.Fprintln(table, "\tEVENTS 1h")
	for _, or := range rp.Objectives {
		writeObjective(table, or)
	}
	fmt.Fprintln(table, "\nFIRST TOKEN\tREQUESTS\tP50\tP95\tP99")
	for _, lr := range rp.Latencies {
		fmt.Fprintf(table, "%s %s\t%d\t%s\t%s\t%s\n", lr.Service, classLabel(lr.Class), lr.Total(),
			round(lr.Quantile(50)), round(lr.Quantile(95)), round(lr.Quantile(99)))
	}
	return table.Flush()
}

func windowsOf(rp meter.Report) []decl.Duration {
	if len(rp.Objectives) == 0 {
		return nil
	}
	var windows []decl.Duration
	for _, wr := range rp.Objectives[0].Windows {
		windows = append(windows, wr.Window)
	}
	return windows
}

func writeObjective(out io.Writer, or meter.ObjectiveReport) {
	alert := or.Alert
	if alert == "" {
		alert = "-"
	}
	fmt.Fprintf(out, "%s\t%s\t%g%%\t%s", or.Name, Describe(or.Objective), 100*or.Objective.Target, alert)
	var lastHour int64
	for _, wr := range or.Windows {
		fmt.Fprintf(out, "\t%.2f", wr.Rate)
		if wr.Window.Std() == time.Hour {
			lastHour = wr.Count.Total()
		}
	}
	fmt.Fprintf(out, "\t%d\n", lastHour)
}

// Describe returns a short description of what an objective limits.
func Describe(obj decl.Objective) string {
	var parts []string
	switch obj.Signal {
	case decl.SignalFirstToken:
		parts = append(parts, "first token within "+obj.Threshold.String())
	case decl.SignalBetweenTokens:
		parts = append(parts, "between tokens within "+obj.Threshold.String())
	default:
		parts = append(parts, "answered")
	}
	for _, part := range []string{obj.Service, obj.Organisation, obj.LengthClass} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ", ")
}

func classLabel(class string) string {
	if class == "" {
		return "Plain"
	}
	return class
}

func round(value time.Duration) time.Duration {
	return value.Round(100 * time.Microsecond)
}

package meter

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of the summaries in the text exposition format.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes the registry in the Prometheus text exposition format. The first two parts of a name are the family;
// what follows them, as Overloaded in "Requests.Refused.Overloaded", becomes the label "kind".
func WriteText(out io.Writer, registry metrics.Registry) error {
	var names []string
	byName := map[string]any{}
	registry.Each(func(name string, metric any) {
		names = append(names, name)
		byName[name] = metric
	})
	sort.Strings(names)
	// declared holds the metrics whose TYPE line is written; the format allows one for each.
	declared := map[string]bool{}
	for _, name := range names {
		if err := writeMetric(out, declared, name, byName[name]); err != nil {
			return err
		}
	}
	return nil
}

// family splits a name into its family and the value of the label "kind".
func family(name string) (base, label string) {
	parts := strings.SplitN(name, ".", 3)
	base = "dandelionsail_" + strings.ToLower(strings.Join(parts[:min(2, len(parts))], "_"))
	if len(parts) == 3 {
		label = parts[2]
	}
	return base, label
}

func writeMetric(out io.Writer, declared map[string]bool, name string, metric any) error {
	base, label := family(name)
	switch metric := metric.(type) {
	case metrics.Counter:
		return writeSample(out, declared, base+"_total", "counter", label, float64(metric.Count()))
	case metrics.Gauge:
		return writeSample(out, declared, base, "gauge", label, float64(metric.Value()))
	case metrics.GaugeFloat64:
		return writeSample(out, declared, base, "gauge", label, metric.Value())
	case metrics.Timer:
		return writeSummary(out, declared, base+"_seconds", label, metric.Snapshot(), 1e-9)
	}
	return nil
}

func writeType(out io.Writer, declared map[string]bool, base, kind string) error {
	if declared[base] {
		return nil
	}
	declared[base] = true
	_, err := fmt.Fprintf(out, "# TYPE %s %s\n", base, kind)
	return err
}

func writeSample(out io.Writer, declared map[string]bool, base, kind, label string, value float64) error {
	if err := writeType(out, declared, base, kind); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s%s %g\n", base, labels(label, ""), value)
	return err
}

func labels(kind, quantile string) string {
	var parts []string
	if kind != "" {
		parts = append(parts, fmt.Sprintf("kind=%q", kind))
	}
	if quantile != "" {
		parts = append(parts, fmt.Sprintf("quantile=%q", quantile))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func writeSummary(out io.Writer, declared map[string]bool, base, label string, timer metrics.Timer, scale float64) error {
	if err := writeType(out, declared, base, "summary"); err != nil {
		return err
	}
	for i, value := range timer.Percentiles(quantiles) {
		quantile := fmt.Sprintf("%g", quantiles[i])
		if _, err := fmt.Fprintf(out, "%s%s %g\n", base, labels(label, quantile), value*scale); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(out, "%s_sum%s %g\n", base, labels(label, ""), float64(timer.Sum())*scale); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%s_count%s %d\n", base, labels(label, ""), timer.Count())
	return err
}

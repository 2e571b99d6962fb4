package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// lossTotal is the total loss of one cause, route or time span.
type lossTotal struct {
	name  string
	count int
	worth float64
}

// totalsBy sums the losses by a name, the largest loss first.
func (rp *Report) totalsBy(name func(*Loss) string) []lossTotal {
	sums := map[string]*lossTotal{}
	for i := range rp.Losses {
		ls := &rp.Losses[i]
		text := name(ls)
		if sums[text] == nil {
			sums[text] = &lossTotal{name: text}
		}
		sums[text].count++
		sums[text].worth += ls.Worth
	}
	list := make([]lossTotal, 0, len(sums))
	for _, text := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, *sums[text])
	}
	slices.SortStableFunc(list, func(a, b lossTotal) int { return cmp.Compare(b.worth, a.worth) })
	return list
}

// Write writes the report as tables: by cause, by route and cause, and by time span and cause. Each table has the largest
// losses.
func (rp *Report) Write(out io.Writer, span time.Duration) {
	fmt.Fprintf(out, "%d requests, %d in time; worth %.1f, lost %.1f (%.1f%%); %d lines skipped\n", rp.Requests, rp.InTime, rp.Worth, rp.Lost, rp.percent(rp.Lost), rp.Skipped)
	rp.writeTable(out, "cause", rp.totalsBy(func(ls *Loss) string { return string(ls.Cause) }))
	rp.writeTable(out, "route and cause", rp.totalsBy(func(ls *Loss) string { return ls.Route + ", " + string(ls.Cause) }))
	rp.writeTable(out, "seconds and cause", rp.totalsBy(func(ls *Loss) string {
		from := ls.At.Sub(rp.From).Truncate(span)
		return fmt.Sprintf("%3.0f to %3.0f s, %s", from.Seconds(), (from + span).Seconds(), ls.Cause)
	}))
}

// maxRows is the maximum number of rows of a table.
const maxRows = 12

func (rp *Report) writeTable(out io.Writer, title string, sums []lossTotal) {
	fmt.Fprintf(out, "\n%-44s %6s %8s %6s\n", title, "count", "lost", "of all")
	for _, sm := range sums[:min(maxRows, len(sums))] {
		fmt.Fprintf(out, "%-44s %6d %8.1f %5.1f%%\n", sm.name, sm.count, sm.worth, rp.percent(sm.worth))
	}
	if len(sums) > maxRows {
		fmt.Fprintf(out, "and %d more\n", len(sums)-maxRows)
	}
}

func (rp *Report) percent(worth float64) float64 {
	if rp.Worth == 0 {
		return 0
	}
	return 100 * worth / rp.Worth
}

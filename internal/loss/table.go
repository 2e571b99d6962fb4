package loss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// sum is what one cause, route or span of time lost.
type sum struct {
	name  string
	count int
	worth float64
}

// by adds the losses up by a name, the largest first.
func (rp *Report) by(name func(*Loss) string) []sum {
	sums := map[string]*sum{}
	for i := range rp.Losses {
		ls := &rp.Losses[i]
		text := name(ls)
		if sums[text] == nil {
			sums[text] = &sum{name: text}
		}
		sums[text].count++
		sums[text].worth += ls.Worth
	}
	list := make([]sum, 0, len(sums))
	for _, text := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, *sums[text])
	}
	slices.SortStableFunc(list, func(one, two sum) int { return cmp.Compare(two.worth, one.worth) })
	return list
}

// Write shows the report: by cause, by route and cause, and the spans of time that lost most.
func (rp *Report) Write(out io.Writer, span time.Duration) {
	fmt.Fprintf(out, "%d requests, %d in time; worth %.1f, lost %.1f (%.1f%%); %d lines skipped\n", rp.Requests, rp.InTime, rp.Worth, rp.Lost, rp.percent(rp.Lost), rp.Skipped)
	rp.table(out, "cause", rp.by(func(ls *Loss) string { return string(ls.Cause) }))
	rp.table(out, "route and cause", rp.by(func(ls *Loss) string { return ls.Route + ", " + string(ls.Cause) }))
	rp.table(out, "seconds and cause", rp.by(func(ls *Loss) string {
		from := ls.At.Sub(rp.From).Truncate(span)
		return fmt.Sprintf("%3.0f to %3.0f s, %s", from.Seconds(), (from + span).Seconds(), ls.Cause)
	}))
}

// mostRows bounds a table.
const mostRows = 12

func (rp *Report) table(out io.Writer, title string, sums []sum) {
	fmt.Fprintf(out, "\n%-44s %6s %8s %6s\n", title, "count", "lost", "of all")
	for _, sm := range sums[:min(mostRows, len(sums))] {
		fmt.Fprintf(out, "%-44s %6d %8.1f %5.1f%%\n", sm.name, sm.count, sm.worth, rp.percent(sm.worth))
	}
	if len(sums) > mostRows {
		fmt.Fprintf(out, "and %d more\n", len(sums)-mostRows)
	}
}

func (rp *Report) percent(worth float64) float64 {
	if rp.Worth == 0 {
		return 0
	}
	return 100 * worth / rp.Worth
}

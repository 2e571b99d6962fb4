package burn

import "time"

// Alert is a pair of windows with the burn rate that both must reach for the alert to fire: the long window shows that the
// failures are significant, the short one that they are still going on.
type Alert struct {
	Name string
	// Long is the length of the long window.
	Long time.Duration
	// Short is the length of the short window.
	Short time.Duration
	// Rate is the burn rate at which the alert fires.
	Rate float64
}

// The alerts of the Site Reliability Workbook for a period of 30 days. The fast and steady ones need a person at once; the
// slow one can wait until the morning.
var (
	// FastBurn fires when 2% of the budget is used in an hour.
	FastBurn = Alert{Name: "Fast", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4}
	// SteadyBurn fires when 5% of the budget is used in six hours.
	SteadyBurn = Alert{Name: "Steady", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6}
	// SlowBurn fires when 10% of the budget is used in three days.
	SlowBurn = Alert{Name: "Slow", Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1}
)

// Alerts returns all alerts, in descending order of urgency.
func Alerts() []Alert {
	return []Alert{FastBurn, SteadyBurn, SlowBurn}
}

// Windows returns the lengths of the windows of all alerts, in ascending order and without duplicates.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// Counts maps the length of each window to its count.
type Counts map[time.Duration]Count

// Counts returns the counts of all windows.
func (tr *Tracker) Counts(now time.Time) Counts {
	counts := Counts{}
	for _, window := range Windows() {
		counts[window] = tr.Within(now, window)
	}
	return counts
}

// Firing returns the most urgent alert that fires for the target, or false if none does. An alert does not fire if its long
// window has fewer than minBadEvents bad events; otherwise one failure among three requests at a time of low traffic would
// be reported as an incident.
func Firing(counts Counts, target float64) (Alert, bool) {
	for _, alert := range Alerts() {
		long, short := counts[alert.Long], counts[alert.Short]
		if long.Bad < minBadEvents {
			continue
		}
		if long.Rate(target) >= alert.Rate && short.Rate(target) >= alert.Rate {
			return alert, true
		}
	}
	return Alert{}, false
}

// minBadEvents is the minimum number of bad events in the long window of an alert that fires.
const minBadEvents = 5

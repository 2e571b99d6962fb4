package burn

import "time"

// Alert is one pair of windows with the burn rate that both must pass: the long one shows that it matters, the short
// one that it goes on.
type Alert struct {
	Name  string
	Long  time.Duration
	Short time.Duration
	// Rate is the burn rate at which the alert fires.
	Rate float64
}

// The alerts of the Site Reliability Workbook for a period of 30 days: the fast ones want a person now, the slow one
// in the morning.
var (
	// FastBurn uses 2% of the budget in an hour.
	FastBurn = Alert{Name: "Fast", Long: time.Hour, Short: 5 * time.Minute, Rate: 14.4}
	// SteadyBurn uses 5% of the budget in six hours.
	SteadyBurn = Alert{Name: "Steady", Long: 6 * time.Hour, Short: 30 * time.Minute, Rate: 6}
	// SlowBurn uses 10% of the budget in three days.
	SlowBurn = Alert{Name: "Slow", Long: 72 * time.Hour, Short: 6 * time.Hour, Rate: 1}
)

// Alerts returns all alerts, the most urgent first.
func Alerts() []Alert {
	return []Alert{FastBurn, SteadyBurn, SlowBurn}
}

// Windows returns the windows that the alerts look at, the shortest first, without repeats.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// Counts holds the count of each of Windows.
type Counts map[time.Duration]Count

// Counts returns the counts of all windows.
func (tr *Tracker) Counts(now time.Time) Counts {
	counts := Counts{}
	for _, window := range Windows() {
		counts[window] = tr.Within(now, window)
	}
	return counts
}

// Firing returns the most urgent alert that fires for the target, or false. A window with fewer than minEvents bad
// events fires nothing: one failure among three requests of a quiet night is no incident.
func Firing(counts Counts, target float64) (Alert, bool) {
	for _, alert := range Alerts() {
		long, short := counts[alert.Long], counts[alert.Short]
		if long.Bad < minEvents {
			continue
		}
		if long.Rate(target) >= alert.Rate && short.Rate(target) >= alert.Rate {
			return alert, true
		}
	}
	return Alert{}, false
}

const minEvents = 5

package cause

import "time"

// recentAnswers remembers which features were answered a short while ago, for when a request with one of them dies: in the first crashes nothing
// may have been answered since, and what all requests have looks like the cause. It holds two generations, of which the older one goes.
type recentAnswers struct {
	newer, older map[Feature]time.Time
	// turnedAt is when newer was begun.
	turnedAt time.Time
}

// maxRecent is the maximum number of features in a generation.
const maxRecent = 2048

// add records that the features were answered. A generation lasts for the given time.
func (ra *recentAnswers) add(now time.Time, features []Feature, lasts time.Duration) {
	if ra.newer == nil || now.Sub(ra.turnedAt) >= lasts || len(ra.newer) >= maxRecent {
		ra.older, ra.newer, ra.turnedAt = ra.newer, map[Feature]time.Time{}, now
	}
	for _, feature := range features[:min(len(features), maxRecent)] {
		ra.newer[feature] = now
	}
}

// at returns when the feature was answered last, zero if that is not known.
func (ra *recentAnswers) at(feature Feature) time.Time {
	return latest(ra.older[feature], ra.newer[feature])
}

package admit

import "time"

// demandTime is over how long an organisation's demand is averaged.
const demandTime = 2 * time.Second

// share returns the part of the organisation's limits that is this instance's: what it was told lately, else an equal
// split.
func (st *State) share(now time.Time, acc *account) float64 {
	if now.Before(acc.shareUntil) {
		return acc.share
	}
	return 1 / float64(max(1, st.Instances))
}

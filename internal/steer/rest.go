package steer

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Rest of replicas. A replica that refuses a request may state for how long it wants no others from the instance that sent
// it. Load pattern: some engines of a service are overloaded by work that this instance does not see, and refuse part of what
// they receive while the rest of their requests go on. Only the instance that was refused holds back: others may have
// capacity that the replica still grants them.

// lastRenewalTime is how long before it expires a reservation is renewed at a resting replica: the next attempt to renew it
// would be too late.
const lastRenewalTime = ReservationRenewInterval + 500*time.Millisecond

// startRest applies the rest that the replica asked for.
func (st *State) startRest(rep *replica, period time.Duration) {
	st.emit(LogLine{Message: "announcement received", Replica: rep.Name, Announcement: notice.Resting.String(), Source: sourceAnswer, Rest: period})
	until := st.now.Add(period)
	if spread := notice.MaxSpread(period); st.live > 1 && spread > 0 {
		until = until.Add(time.Duration(st.random.Int64N(int64(spread))))
	}
	rep.rest.Start(st.now, until)
}

// logEndsOfRest logs, once for each of the replicas, that its rest is over.
func (st *State) logEndsOfRest(reps []*replica) {
	slices.SortFunc(reps, func(a, b *replica) int { return cmp.Compare(a.Name, b.Name) })
	for _, rep := range reps {
		rep.rest.Logged = true
		st.emit(LogLine{Message: "announcement ended", Replica: rep.Name, Announcement: notice.Resting.String(), Source: sourceAnswer, Age: st.now.Sub(rep.rest.Until)})
	}
}

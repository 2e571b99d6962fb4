package budget

import "time"

// Division determines this instance's part of the slack of the budgets that all instances share. The part is one divided by the
// number of instances that may use one, and none for an instance that the others may not count.
//
// The instances differ in what they know: lists are late, entries expire while their instances live, and some instances are cut
// off. The parts add up to one all the same, because
//
//   - an instance uses a part only after its entry has been listed for so long that every other one which still reads the list has divided
//     by it for a window. That covers new instances, those that do not know their peers yet, and a process that takes the place of
//     another one, under its name or a new one.
//   - an entry that is gone is counted for so long that its instance, which may live, has stopped using its part for a window.
//   - an instance whose list may lack new instances uses half of its part, and none after maxListAge.
//
// A Division is not safe for concurrent use.
type Division struct {
	// Window is the longest window of the budgets.
	Window time.Duration
	// Lag is the time within which a change of the list reaches an instance that reads it.
	Lag time.Duration

	// others holds for each other instance when it was found missing from the list, zero while it is listed.
	others map[string]time.Time
	// memberSince is since when this instance has been listed without a gap of maxListAge, zero if it is not.
	memberSince time.Time
	// confirmedAt is when the list was last known to be current.
	confirmedAt time.Time
	// listed reports whether this instance's entry is in the list.
	listed bool
	// listedAt is when this instance's entry was last known to be in the list, which is as old as the list.
	listedAt time.Time
}

// maxListAge is how long an instance uses its part after its list was last known to be current, or its own entry in it. It outlasts
// short outages of the list's store. An entry that is gone counts for as long, since its instance may go on that long.
const maxListAge = 30 * time.Second

// Part is this instance's part of a slack.
type Part struct {
	// Share is the part, from 0 to 1.
	Share float64
	// Instances is the number of instances that the slack was divided by. One of them is in reserve, for an instance of which
	// this one does not know.
	Instances int
	// Reason says why the part is smaller than one of Instances, empty if it is not.
	Reason Reason
}

// Reason says why an instance uses less than its part.
type Reason string

// The reasons.
const (
	// ReasonNew means that an earlier process may have used the part within the window, or that others do not divide by this
	// instance yet.
	ReasonNew Reason = "New"
	// ReasonUnlisted means that this instance has no entry in the list.
	ReasonUnlisted Reason = "Unlisted"
	// ReasonOldList means that the list is old, so that new instances may be missing from it.
	ReasonOldList Reason = "OldList"
	// ReasonNoList means that the list is so old that the others may not count this instance any more.
	ReasonNoList Reason = "NoList"
)

// oldListShare is the share of its part that an instance uses while its list is old: half is left to new instances.
const oldListShare = 0.5

// ListRead applies the list of instances, of which the names are the others, and whether it has this instance's entry. The list
// need not be current; Confirm says how old it is.
func (dv *Division) ListRead(now time.Time, others []string, listed bool) {
	dv.advance(now)
	if dv.others == nil {
		dv.others = map[string]time.Time{}
	}
	present := make(map[string]bool, len(others))
	for _, name := range others {
		present[name] = true
		dv.others[name] = time.Time{}
	}
	for name, missingSince := range dv.others {
		if missingSince.IsZero() && !present[name] {
			dv.others[name] = now
		}
	}
	dv.listed = listed
	dv.advance(now)
}

// Confirm records that the list was current the given time ago.
func (dv *Division) Confirm(now time.Time, age time.Duration) {
	dv.advance(now)
	if at := now.Add(-age); at.After(dv.confirmedAt) {
		dv.confirmedAt = at
	}
	dv.advance(now)
}

// Part returns this instance's part now.
func (dv *Division) Part(now time.Time) Part {
	dv.advance(now)
	part := Part{Instances: dv.count()}
	full := 1 / float64(part.Instances)
	switch {
	case dv.listedAt.IsZero(), dv.memberSince.IsZero() && !dv.listed:
		part.Reason = ReasonUnlisted
	case dv.memberSince.IsZero():
		part.Reason = ReasonNoList
	case now.Sub(dv.memberSince) < dv.Window+dv.Lag:
		part.Reason = ReasonNew
	case now.Sub(dv.confirmedAt) > dv.Lag:
		part.Reason, part.Share = ReasonOldList, oldListShare*full
	default:
		part.Share = full
	}
	return part
}

// count returns the number of instances that may use a part, with this one and the one in reserve.
func (dv *Division) count() int { return len(dv.others) + 2 }

// advance ends what time ends: the membership of this instance, and the entries that were gone for long enough.
func (dv *Division) advance(now time.Time) {
	if dv.listed {
		dv.listedAt = dv.confirmedAt
	}
	switch {
	case dv.listedAt.IsZero() || now.Sub(dv.listedAt) > maxListAge:
		dv.memberSince = time.Time{}
	case dv.memberSince.IsZero():
		dv.memberSince = now
	}
	for name, missingSince := range dv.others {
		if !missingSince.IsZero() && now.Sub(missingSince) > maxListAge+dv.Window+dv.Lag {
			delete(dv.others, name)
		}
	}
}

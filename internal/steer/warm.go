package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Slow start. A replica that has just started, or has dropped its caches, is cold: for some seconds it accepts only a few requests
// a second from all instances together and crashes if it gets far more. Load pattern: in the middle of a burst all replicas of a
// service restart, or a failure domain returns with empty caches, while hundreds of instances send to them. This file decides
// which replicas are cold and until when; grant.go paces the sends to them as it does for replicas with a rate limit.
//
// The cold state is derived from three kinds of signs: the entry in the list, observations (answers, the end of an evacuation,
// notes of other instances), and failures after which the replica may have restarted. They are kept apart since they are
// withdrawn for different reasons. The replica is cold until the latest end of the three.

const (
	// coldSpan is the sliding window over which the sends to a cold replica are counted.
	coldSpan = time.Second
	// maxEntryAge is the maximum time between the writing and the reading of an entry: replicas write theirs every 1.2 s, and the
	// list's store may be slow. An observation from within this time before an entry was read may be newer than the entry.
	maxEntryAge = 2 * time.Second
	// coldMargin is the difference in time up to which two statements about the cold state count as the same. A statement that
	// another instance repeats arrives a few milliseconds late; without a margin each repetition would prolong the cold state.
	coldMargin = 100 * time.Millisecond
	// maxColdEndSpread is the time over which the instances' ends of the cold state are spread. If it ended at all of them at
	// the same moment, each would take the replica for idle and send it all waiting requests before the notes of the others arrive.
	maxColdEndSpread = 250 * time.Millisecond
)

// Sources of the cold state in the log, in addition to those of announcements.
const (
	sourceStart      = "start"
	sourceEvacuation = "evacuation"
)

// coldState is what is known of a replica's cold state.
type coldState struct {
	// entryMs is the value in the entry that was read last.
	entryMs int64
	// entryAt is when that entry was read.
	entryAt time.Time
	// entryUntil is until when the replica is cold by that entry.
	entryUntil time.Time
	// observedAt is when the newest observation was made.
	observedAt time.Time
	// observedProvenAt is the earliest time to which that observation can refer: another instance may have read it in an entry,
	// which is older than its reading.
	observedProvenAt time.Time
	// observedUntil is until when the replica is cold by that observation.
	observedUntil time.Time
	// failedAt is when the replica last failed in a way after which it may have restarted, zero if there was no such failure or
	// it is withdrawn.
	failedAt time.Time
	// failedUntil is until when the replica is cold if it has restarted.
	failedUntil time.Time
	// announced is when this instance last sent the cold state to all others.
	announced time.Time
}

// until returns until when the replica is cold.
func (cd *coldState) until() time.Time {
	return later(later(cd.entryUntil, cd.observedUntil), cd.failedUntil)
}

// newestAt returns the time of the newest sign, with an entry counted from when it was read.
func (cd *coldState) newestAt() time.Time {
	return later(later(cd.entryAt, cd.observedAt), cd.failedAt)
}

// provenAt returns the earliest time to which the newest sign can refer, since an entry may have been written before it was read.
func (cd *coldState) provenAt() time.Time {
	return later(later(cd.entryAt.Add(-maxEntryAge), cd.observedProvenAt), cd.failedAt)
}

// known reports whether there is any sign that the replica is cold or is not.
func (cd *coldState) known() bool {
	return !cd.entryAt.IsZero() || !cd.observedAt.IsZero() || !cd.failedAt.IsZero()
}

// replaceBefore drops the signs from before the given time.
func (cd *coldState) replaceBefore(at time.Time) {
	if cd.entryAt.Before(at) {
		cd.entryUntil = time.Time{}
	}
	if cd.observedAt.Before(at) {
		cd.observedUntil = time.Time{}
	}
	if cd.failedAt.Before(at) {
		cd.failedUntil = time.Time{}
	}
}

// observe records an observation that was made at the given time and refers to no time before provenAt.
func (cd *coldState) observe(at, provenAt, until time.Time) {
	cd.observedAt, cd.observedProvenAt, cd.observedUntil = at, provenAt, until
}

// usableSlowStart returns the slow start with a rate that the grants can work with, the zero value if it does not apply.
func usableSlowStart(ss decl.SlowStart) decl.SlowStart {
	if !ss.Applies() {
		return decl.SlowStart{}
	}
	ss.PerS = min(ss.PerS, maxPerS)
	ss.Duration = min(ss.Duration, decl.Duration(notice.MaxCold))
	return ss
}

// slowStartOf returns the slow start of the replica's service.
func (st *State) slowStartOf(rep *replica) decl.SlowStart { return st.serviceOf(rep.Service).slowStart }

// isCold reports whether the replica counts as cold here.
func (st *State) isCold(rep *replica) bool { return st.now.Before(rep.coldUntil) }

// knowsCold reports whether there is any sign that the replica, whose service has slow start, is cold or is not.
func (st *State) knowsCold(rep *replica) bool {
	return st.slowStartOf(rep).Applies() && rep.cold.known()
}

// coldDelay returns the time until the next send at the rate leaves no window of coldSpan with more sends than the rate allows,
// including those from before the replica was known to be cold. recent is how many sends of the last coldSpan the asking instance
// knows of.
func (rep *replica) coldDelay(now time.Time, perS float64, recent int) time.Duration {
	maxInSpan := int(perS*coldSpan.Seconds()) + 1
	if len(rep.sends) >= maxInSpan {
		if delay := rep.sends[len(rep.sends)-maxInSpan].Add(coldSpan).Sub(now); delay > 0 {
			return delay
		}
	}
	// Both instances receive notes of the same sends a few milliseconds apart, so that a difference of one proves nothing.
	if recent >= maxInSpan && recent > rep.recentSends(now, coldSpan)+1 {
		return duration(1000 / perS)
	}
	return 0
}

// newReplica returns the replica of the entry. before is its earlier incarnation, nil if none is known. Requests that were recently
// sent to that may arrive at the new one if it has the same address, so they count against what the new one accepts while cold.
func (st *State) newReplica(item Replica, before *replica) *replica {
	rep := &replica{Replica: item, slow: 1, announcedSlow: 1}
	if before != nil && st.slowStartOf(rep).Applies() {
		rep.sends = slices.Clone(before.sends)
	}
	return rep
}

// receiveColdEntry applies what the replica's entry, which has just been read, states of the cold state. written reports whether
// the entry is known to have been written since it was last read; if it is not, the same value may be the same old entry.
func (st *State) receiveColdEntry(rep *replica, written bool) {
	cd := &rep.cold
	lasts, source := time.Duration(min(rep.ColdMs, notice.MaxCold.Milliseconds()))*time.Millisecond, sourceList
	switch {
	case rep.ColdMs < 0 && (!cd.entryAt.IsZero() || !st.listRead):
		// It is not known when the replica started, or its start was taken into account already.
		return
	case rep.ColdMs < 0:
		lasts, source = st.slowStartOf(rep).Duration.Std(), sourceStart
	case !written && rep.ColdMs == cd.entryMs:
		return
	}
	cd.entryMs, cd.entryAt, cd.entryUntil = rep.ColdMs, st.now, st.now.Add(lasts)
	// The entry replaces what was observed before it can have been written.
	cd.replaceBefore(st.now.Add(-maxEntryAge))
	if st.reviewCold(rep, source) && st.granter(rep) == st.Options.Name {
		// The other instances read the list, too. The note is for those without contact to its store, so that of one instance suffices.
		st.announceCold(rep)
	}
}

// receiveColdAnswer applies what an answer of the replica states of its cold state.
func (st *State) receiveColdAnswer(rep *replica, ev *ResponseReceived) {
	if !ev.ColdKnown {
		return
	}
	cd := &rep.cold
	until := st.now.Add(ev.Cold)
	if !ev.Sent.After(cd.observedAt) && !until.After(cd.until()) {
		// A newer observation is known: answers on different connections overtake each other.
		return
	}
	cd.replaceBefore(ev.Sent)
	if until.Before(cd.observedUntil) {
		until = cd.observedUntil
	}
	cd.observe(st.now, ev.Sent, until)
	if st.reviewCold(rep, sourceAnswer) {
		st.announceCold(rep)
	}
}

// markColdAfterEvacuation records that the replica is cold, since the evacuation of its failure domain has ended: the replica got no
// requests during it and may have restarted or dropped its caches. No note is sent, since each instance receives the end itself.
func (st *State) markColdAfterEvacuation(rep *replica) {
	if ss := st.slowStartOf(rep); ss.Applies() {
		rep.cold.observe(st.now, st.now, later(rep.cold.observedUntil, st.now.Add(ss.Duration.Std())))
		st.reviewCold(rep, sourceEvacuation)
	}
}

// suspectRestart records that the replica has failed in a way after which it may have restarted: it is cold for the pause that
// the failure causes and for a whole slow start after that.
func (st *State) suspectRestart(rep *replica) {
	if ss := st.slowStartOf(rep); ss.Applies() {
		rep.cold.failedAt = st.now
		rep.cold.failedUntil = later(rep.downUntil, st.now).Add(ss.Duration.Std())
		st.reviewCold(rep, sourceAttempt)
	}
}

// dropSuspectedRestart withdraws what suspectRestart has recorded, since the path of this instance or of the reporter had failed and
// not the replica.
func (st *State) dropSuspectedRestart(rep *replica) {
	rep.cold.failedAt, rep.cold.failedUntil = time.Time{}, time.Time{}
	st.reviewCold(rep, sourceAttempt)
}

// reviewCold updates coldUntil from the signs. source is that of the newest sign. It reports whether other instances need a note: the
// replica has become cold, or stays so for more than coldMargin longer.
func (st *State) reviewCold(rep *replica, source string) (changed bool) {
	until := rep.cold.until()
	if !st.slowStartOf(rep).Applies() || !st.now.Before(until) {
		if st.isCold(rep) {
			st.warmed(rep, source)
		}
		return false
	}
	before := rep.coldUntil
	wasCold := st.isCold(rep)
	rep.coldUntil = until.Add(st.coldEndSpread(rep))
	if st.coldEndsAt.IsZero() || rep.coldUntil.Before(st.coldEndsAt) {
		st.coldEndsAt = rep.coldUntil
	}
	if !wasCold {
		st.updateSchedule(rep)
	}
	if wasCold && rep.coldUntil.Sub(before) <= coldMargin {
		return false
	}
	st.emit(LogLine{Message: "replica cold", Replica: rep.Name, Announcement: notice.Warming.String(), Source: source, PerS: st.slowStartOf(rep).PerS, Estimate: rep.coldUntil.Sub(st.now)})
	return true
}

// coldEndSpread returns by how much later than others this instance ends the replica's cold state.
func (st *State) coldEndSpread(rep *replica) time.Duration {
	if st.live == 1 {
		return 0
	}
	spread := min(maxColdEndSpread, st.slowStartOf(rep).Duration.Std()/8)
	return time.Duration(xxhash.Sum64String(rep.Name+"/"+st.Options.Name) % uint64(spread+1))
}

// reviewAllCold updates the cold state of all replicas after a change of the configuration.
func (st *State) reviewAllCold() {
	for _, name := range slices.Sorted(maps.Keys(st.replicas)) {
		st.reviewCold(st.replicas[name], sourceList)
	}
}

// warmed ends the replica's cold state. Requests that wait for a grant return to placement with the next dispatch.
func (st *State) warmed(rep *replica, source string) {
	st.emit(LogLine{Message: "replica cold ended", Replica: rep.Name, Announcement: notice.Warming.String(), Source: source, Age: st.now.Sub(rep.cold.newestAt())})
	rep.coldUntil = time.Time{}
	st.serviceOf(rep.Service).warmedAt = st.now
	st.updateSchedule(rep)
}

// sourceTime is the source in the log if a cold state ends because its time has passed.
const sourceTime = "time"

// endCold ends the cold states whose time has passed. It is called before each event.
func (st *State) endCold() {
	if st.coldEndsAt.IsZero() || st.now.Before(st.coldEndsAt) {
		return
	}
	st.coldEndsAt = time.Time{}
	for _, name := range slices.Sorted(maps.Keys(st.replicas)) {
		rep := st.replicas[name]
		switch {
		case rep.coldUntil.IsZero():
		case !st.isCold(rep):
			st.warmed(rep, sourceTime)
		case st.coldEndsAt.IsZero() || rep.coldUntil.Before(st.coldEndsAt):
			st.coldEndsAt = rep.coldUntil
		}
	}
}

// betterThanGrant reports whether the request, which waits for the granted time at one replica, can be sent at once to another one
// whose cold state has ended since.
func (st *State) betterThanGrant(req *request) bool {
	if !st.serviceOf(req.service).warmedAt.After(req.grant.at) {
		return false
	}
	pl, ok := st.place(req)
	return ok && pl.reps[0].schedule == nil
}

// firstColdEnd returns the earliest end of a cold state among the service's usable candidates without a rate limit: that replica then
// accepts requests without grants. ok is false if there is no such replica.
func (st *State) firstColdEnd(svc *service) (end time.Time, ok bool) {
	for _, rep := range st.candidates(svc) {
		if rep.usable(st.now) && rep.limit == nil && st.isCold(rep) && (!ok || rep.coldUntil.Before(end)) {
			end, ok = rep.coldUntil, true
		}
	}
	return end, ok
}

// Cold reports a replica's cold state in a note.
type Cold struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	// Born is the incarnation of the replica.
	Born int64 `cbor:"2,keyasint,omitempty"`
	// LeftMs is how much longer in ms the replica is cold, 0 if it is not any more.
	LeftMs int64 `cbor:"3,keyasint,omitempty"`
	// AgeMs is how long ago in ms the newest sign of the cold state arrived.
	AgeMs int32 `cbor:"4,keyasint,omitempty"`
	// ProvenAgeMs is the maximum age in ms of the newest sign: an entry may have been written long before it was read.
	ProvenAgeMs int32 `cbor:"5,keyasint,omitempty"`
	// Failed reports that the sign is a failure that the same note reports, after which the replica may have restarted.
	Failed bool `cbor:"6,keyasint,omitempty"`
}

func (cd *Cold) valid() bool {
	return cd.Replica != "" && cd.LeftMs >= 0 && cd.LeftMs <= maxColdLeft.Milliseconds() && cd.AgeMs >= 0 && cd.ProvenAgeMs >= 0
}

// maxColdLeft is the maximum of Cold.LeftMs: after a failure, a pause precedes the slow start.
const maxColdLeft = notice.MaxCold + maxFailurePause

// newestCold returns what is known of the replica's cold state for a note, nil if there is no sign or its service has no slow start.
func (st *State) newestCold(rep *replica) []Cold {
	if !st.knowsCold(rep) {
		return nil
	}
	left := max(0, rep.cold.until().Sub(st.now))
	return []Cold{{Replica: rep.Name, Born: rep.Born, LeftMs: left.Milliseconds(), AgeMs: st.ageMs(rep.cold.newestAt()), ProvenAgeMs: st.ageMs(rep.cold.provenAt())}}
}

// suspectedRestart returns the report of the replica's suspected restart for the note that reports its failure, nil if none is
// suspected.
func (st *State) suspectedRestart(rep *replica) []Cold {
	if !st.slowStartOf(rep).Applies() || !st.now.Before(rep.cold.failedUntil) {
		return nil
	}
	return []Cold{{Replica: rep.Name, Born: rep.Born, LeftMs: rep.cold.failedUntil.Sub(st.now).Milliseconds(), AgeMs: st.ageMs(rep.cold.failedAt), Failed: true}}
}

// announceCold sends the cold state to all other instances that may use the replica.
func (st *State) announceCold(rep *replica) {
	if st.now.Sub(rep.cold.announced) < limitAnnounceInterval {
		return
	}
	rep.cold.announced = st.now
	st.emit(SendNote{Note: st.note(Note{Cold: st.newestCold(rep)}), To: st.usersUnlessAll(st.grantingSubset(rep))})
}

// summarizeCold repeats the cold state of the replicas for which this instance grants sends, for instances that missed earlier notes.
func (st *State) summarizeCold() {
	if st.coldEndsAt.IsZero() {
		return
	}
	states := map[subset][]Cold{}
	for _, rep := range st.coldReplicas() {
		if st.granter(rep) == st.Options.Name {
			sub := st.grantingSubset(rep)
			states[sub] = append(states[sub], st.newestCold(rep)...)
		}
	}
	for _, sub := range sortedSubsets(states) {
		for part := range slices.Chunk(states[sub], maxSummaryJobs) {
			st.emit(SendNote{Note: st.note(Note{Cold: part}), To: st.usersUnlessAll(sub)})
		}
	}
}

// coldReplicas returns the cold replicas, sorted by name.
func (st *State) coldReplicas() []*replica {
	var list []*replica
	for _, rep := range st.replicas {
		if st.isCold(rep) && !rep.gone {
			list = append(list, rep)
		}
	}
	slices.SortFunc(list, func(a, b *replica) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// receiveCold applies the cold states from another instance's note, except suspected restarts.
func (st *State) receiveCold(states []Cold) {
	for i := range states {
		cold := &states[i]
		rep, ok := st.replicas[cold.Replica]
		// A later incarnation than the one known here is accepted: by it, an instance without contact to the list's store learns
		// that the replica has restarted.
		if !ok || rep.Born > cold.Born || cold.Failed {
			continue
		}
		newestAt := st.now.Add(-time.Duration(cold.AgeMs) * time.Millisecond)
		provenAt := st.now.Add(-time.Duration(cold.ProvenAgeMs) * time.Millisecond)
		until := st.now.Add(time.Duration(cold.LeftMs) * time.Millisecond)
		// If it is uncertain which of two statements is newer, the one with the later end of the cold state applies.
		switch {
		case cold.LeftMs > 0 && (newestAt.After(rep.cold.provenAt()) || cold.Born > rep.Born) && until.After(rep.cold.until().Add(coldMargin)):
			rep.cold.observe(newestAt, provenAt, until)
		case provenAt.After(rep.cold.newestAt().Add(coldMargin)):
			rep.cold.replaceBefore(provenAt)
			rep.cold.observe(newestAt, provenAt, until)
		default:
			continue
		}
		if st.reviewCold(rep, sourceNote) && st.granter(rep) == st.Options.Name {
			// The sender may have read the state in the list without sending it to all, and some may have no contact to the list's store.
			st.announceCold(rep)
		}
	}
}

// receiveSuspectedRestarts applies the suspected restarts from a note. The note's reports of failures must have been applied before: a
// suspected restart counts only if the failure does, since the sender may have lost its own path.
func (st *State) receiveSuspectedRestarts(states []Cold) {
	for i := range states {
		cold := &states[i]
		rep, ok := st.replicas[cold.Replica]
		if !ok || rep.Born != cold.Born || !cold.Failed || !st.now.Before(rep.downUntil) || rep.downCause != notice.Failing {
			continue
		}
		rep.cold.failedAt = later(rep.cold.failedAt, st.now.Add(-time.Duration(cold.AgeMs)*time.Millisecond))
		rep.cold.failedUntil = later(rep.cold.failedUntil, st.now.Add(time.Duration(cold.LeftMs)*time.Millisecond))
		st.reviewCold(rep, sourceNote)
	}
}

// logColdWait logs that the request waits for a cold replica, or finds no room at one. It reports whether the replica is cold.
func (st *State) logColdWait(req *request, message string, wait time.Duration) bool {
	rep := req.grant.rep
	if !st.isCold(rep) {
		return false
	}
	st.emit(LogLine{Message: message, Request: req.Name, Replica: rep.Name, Age: st.now.Sub(req.at), Estimate: wait, PerS: st.maxRate(rep)})
	return true
}

package steer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rate limits of replicas. An overloaded replica states in its answers how many requests a second it accepts from all
// instances together. Load pattern: short prompts concentrate on a few engines and each instance sends there on its own. If
// each instance applied the limit by itself, the replica would receive the limit times the number of instances. An instance
// therefore forwards each limit that it receives to the others; grant.go decides which instance may send. Everything that
// reaches the replica counts: first attempts, retries, resumed streams, parts of prompts and memory reservations.

const (
	// limitSpan is the sliding window over which sends are counted. Sends from before the limit was received count too.
	limitSpan = 4 * time.Second
	// limitBurst is the size of the token bucket: how many sends that were not used earlier may go at once.
	limitBurst = 2
	// minRate replaces any lower limit, in requests a second. A replica that receives no requests sends no answers, so it
	// could never announce that its limit has ended.
	minRate = 0.25
	// ReservationRenewInterval is the interval at which a memory reservation at a replica is renewed.
	ReservationRenewInterval = 1200 * time.Millisecond
	// reservationRate is the number of requests a second that renewing one reservation takes.
	reservationRate = float64(time.Second) / float64(ReservationRenewInterval)
	// limitProbeAge is the age of a limit from which placement prefers the replica, so that a request checks whether the limit
	// still holds.
	limitProbeAge = 2 * time.Second
	// limitProbeBonus is the bonus in value that placement gives to such a check.
	limitProbeBonus = 0.5
	// limitAnnounceInterval is the minimum time between two notes to all users of a replica about changes of its limit or of its
	// cold state.
	// Grant requests carry the changes in between to the granting instance, and its periodic summaries to the others.
	limitAnnounceInterval = 200 * time.Millisecond
	// maxPerS is the highest rate, in requests a second, that is accepted in a note from the network. A replica's higher limit
	// counts as this one, which no replica can reach.
	maxPerS = 1e6
)

// rateLimit is the newest rate limit that a replica stated. It applies to all instances together.
type rateLimit struct {
	// perS is the limit in requests a second.
	perS float64
	// reportedAt is when the newest answer that stated the limit reached any instance.
	reportedAt time.Time
	// announced is when this instance last sent the limit to all others.
	announced time.Time
}

// Limit reports a replica's rate limit in a note.
type Limit struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	// Born is the incarnation of the replica that stated the limit.
	Born int64 `cbor:"2,keyasint,omitempty"`
	// PerS is the limit in requests a second.
	PerS float64 `cbor:"3,keyasint,omitempty"`
	// AgeMs is how long ago in ms the answer arrived that stated the limit.
	AgeMs int32 `cbor:"4,keyasint,omitempty"`
	// Ended reports that the answer to a request sent AgeMs ago stated no limit any more.
	Ended bool `cbor:"5,keyasint,omitempty"`
}

func (lim *Limit) valid() bool {
	return lim.Replica != "" && lim.PerS >= 0 && lim.PerS <= maxPerS && lim.AgeMs >= 0
}

// responseReceived applies what an answer states about its replica's limit.
func (st *State) responseReceived(ev ResponseReceived) {
	rep, ok := st.replicas[ev.Replica]
	if !ok || rep.Born != ev.Born {
		return
	}
	rep.heardAt = st.now
	rep.rest.AnsweredSince(ev.Sent)
	st.receiveAnnounced(rep, &ev.Announced)
	st.receiveColdAnswer(rep, &ev)
	if !ev.Limited {
		if st.endLimit(rep, ev.Sent) {
			st.sendLimit(rep, st.limitOf(rep), true)
			st.dispatch()
		}
		return
	}
	wasOld := rep.limit != nil && st.now.Sub(rep.limit.reportedAt) >= limitProbeAge/2
	changed := st.updateLimit(rep, ev.PerS, st.now)
	switch {
	case rep.limit == nil:
		// updateLimit rejected the stated limit.
	case changed && st.now.Sub(rep.limit.announced) >= limitAnnounceInterval:
		rep.limit.announced = st.now
		st.sendLimit(rep, st.limitOf(rep), true)
	case wasOld:
		// The granting instance repeats the renewed limit to the others in its summaries.
		st.sendLimit(rep, st.limitOf(rep), false)
	}
}

// updateLimit applies the limit that the replica stated at the time reportedAt, unless something newer is known. It reports
// whether the limit is new or has changed.
func (st *State) updateLimit(rep *replica, perS float64, reportedAt time.Time) bool {
	if math.IsNaN(perS) || perS < 0 || !reportedAt.After(rep.limitEnded) {
		return false
	}
	perS = min(perS, maxPerS)
	if rep.limit == nil {
		rep.limit = &rateLimit{perS: perS, reportedAt: reportedAt}
		st.updateSchedule(rep)
		st.emit(LogLine{Message: "rate limit named", Replica: rep.Name, PerS: perS, Age: st.now.Sub(reportedAt)})
		return true
	}
	if !reportedAt.After(rep.limit.reportedAt) {
		return false
	}
	rep.limit.reportedAt = reportedAt
	if rep.limit.perS == perS {
		return false
	}
	rep.limit.perS = perS
	st.emit(LogLine{Message: "rate limit changed", Replica: rep.Name, PerS: perS, Age: st.now.Sub(reportedAt)})
	return true
}

// endLimit drops the limit after an answer that stated none. sent is when the request of that answer was sent: if the newest
// answer that stated a limit arrived later, the limit stays. Answers on different connections can overtake each other, so an
// older answer must not end the limit. The result reports whether the limit was dropped.
func (st *State) endLimit(rep *replica, sent time.Time) bool {
	if rep.limit == nil || !sent.After(rep.limit.reportedAt) {
		return false
	}
	rep.limit = nil
	rep.limitEnded = sent
	st.updateSchedule(rep)
	st.emit(LogLine{Message: "rate limit ended", Replica: rep.Name, Age: st.now.Sub(sent)})
	return true
}

// limitOf returns the known state of the replica's limit for a note.
func (st *State) limitOf(rep *replica) Limit {
	if rep.limit == nil {
		return Limit{Replica: rep.Name, Born: rep.Born, Ended: true, AgeMs: st.ageMs(rep.limitEnded)}
	}
	return Limit{Replica: rep.Name, Born: rep.Born, PerS: rep.limit.perS, AgeMs: st.ageMs(rep.limit.reportedAt)}
}

// newestLimit returns what is known of the replica's limit for a note, nothing if it never had one.
func (st *State) newestLimit(rep *replica) []Limit {
	if rep.limit == nil && rep.limitEnded.IsZero() {
		return nil
	}
	return []Limit{st.limitOf(rep)}
}

// ageMs returns the time since at in ms, for a note.
func (st *State) ageMs(at time.Time) int32 {
	return millis(min(max(0, st.now.Sub(at)), maxLimitAge))
}

// maxLimitAge caps the age of a limit in a note. An older limit thus looks newer than it is, which is harmless, since
// recipients hold no information that is older than the cap.
const maxLimitAge = time.Hour

// sendLimit sends the limit to all other instances that may use the replica or, without all, only to the one that grants
// sends to it.
func (st *State) sendLimit(rep *replica, lim Limit, all bool) {
	to := st.usersUnlessAll(st.grantingSubset(rep))
	if !all {
		granter := st.granter(rep)
		if granter == st.Options.Name {
			return
		}
		to = []string{granter}
	}
	st.emit(SendNote{Note: st.note(Note{Limits: []Limit{lim}}), To: to})
}

// summarizeLimits repeats the limits of the replicas for which this instance grants sends. The cost grows with the number of
// limited replicas, not with the number of instances times the number of replicas.
func (st *State) summarizeLimits() {
	limits := map[subset][]Limit{}
	for _, rep := range st.limitedReplicas() {
		if st.granter(rep) == st.Options.Name {
			sub := st.grantingSubset(rep)
			limits[sub] = append(limits[sub], st.limitOf(rep))
		}
	}
	for _, sub := range sortedSubsets(limits) {
		for part := range slices.Chunk(limits[sub], maxSummaryJobs) {
			st.emit(SendNote{Note: st.note(Note{Limits: part}), To: st.usersUnlessAll(sub)})
		}
	}
}

// limitedReplicas returns the replicas that have a rate limit, sorted by name.
func (st *State) limitedReplicas() []*replica {
	var list []*replica
	for _, rep := range st.replicas {
		if rep.limit != nil && !rep.gone {
			list = append(list, rep)
		}
	}
	slices.SortFunc(list, func(a, b *replica) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// receiveLimit applies a limit from another instance's note.
func (st *State) receiveLimit(lim *Limit) {
	rep, ok := st.replicas[lim.Replica]
	if !ok || rep.Born != lim.Born {
		return
	}
	at := st.now.Add(-time.Duration(lim.AgeMs) * time.Millisecond)
	if lim.Ended {
		st.endLimit(rep, at)
		return
	}
	st.updateLimit(rep, lim.PerS, at)
}

// recordSend counts a request that reaches the replica at the time at, which is in the future for a granted send. It forgets
// the sends that are older than limitSpan.
func (rep *replica) recordSend(now, at time.Time) {
	expired := 0
	for expired < len(rep.sends) && now.Sub(rep.sends[expired]) >= limitSpan {
		expired++
	}
	rep.sends = slices.Delete(rep.sends, 0, expired)
	idx := len(rep.sends)
	for idx > 0 && rep.sends[idx-1].After(at) {
		idx--
	}
	rep.sends = slices.Insert(rep.sends, idx, at)
}

// recentSends counts the requests that reached the replica within the last span, which is at most limitSpan.
func (rep *replica) recentSends(now time.Time, span time.Duration) int {
	count := 0
	for _, at := range rep.sends {
		if now.Sub(at) < span && !at.After(now) {
			count++
		}
	}
	return count
}

// reservations counts the parts of prompts for which memory is reserved at the replica.
func (rep *replica) reservations() int {
	count := 0
	for i := range rep.works {
		if wk := &rep.works[i]; !wk.first && wk.tokens > 0 {
			count++
		}
	}
	return count
}

// countSends counts what an attempt of this instance sends: the request, and to each helper its part of the prompt and the
// memory reservation for it.
func (st *State) countSends(req *request) {
	for i, rep := range req.reps {
		if rep.schedule != nil {
			rep.schedule.used++
		}
		if i == 0 && req.grant.granter == st.Options.Name && req.grant.rep == rep {
			// The send was counted when it was granted.
			if rep.schedule != nil {
				delete(rep.schedule.grants, jobKey{id: req.job})
			}
			continue
		}
		rep.recordSend(st.now, st.now)
		if i > 0 && i <= len(req.reservations) {
			rep.recordSend(st.now, st.now)
		}
	}
}

// countPeerSend counts what another instance's job sends to the replica, the one at index idx of the job's replicas.
func (st *State) countPeerSend(rep *replica, key jobKey, job *Job, idx int) {
	if isLoadReport(key.from) {
		return
	}
	if rep.schedule != nil && idx == 0 {
		if _, ok := rep.schedule.grants[key]; ok {
			// The send was counted when it was granted.
			delete(rep.schedule.grants, key)
			return
		}
	}
	at := st.now.Add(-time.Duration(job.Age) * time.Millisecond)
	rep.recordSend(st.now, at)
	if idx > 0 && idx <= len(job.Reservations) {
		rep.recordSend(st.now, at)
	}
}

// LimitStatus describes a rate limit in force as this instance knows it.
type LimitStatus struct {
	Replica string
	PerS    float64
	// Recent counts the sends of all instances within the last limitSpan, as far as they are known here.
	Recent int
	// Used counts the sends of this instance, without memory reservations, since it learnt that the replica has a limit.
	Used int64
}

// Limits returns the limits in force, sorted by the name of the replica.
func (st *State) Limits(now time.Time) []LimitStatus {
	var list []LimitStatus
	for _, rep := range st.limitedReplicas() {
		list = append(list, LimitStatus{Replica: rep.Name, PerS: rep.limit.perS, Recent: rep.recentSends(now, limitSpan), Used: rep.schedule.used})
	}
	return list
}

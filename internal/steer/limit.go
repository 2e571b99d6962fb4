package steer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Rate limits. A replica in need names in its answers how many requests a second it takes from all instances together. Load
// pattern: short prompts gather at few engines, each instance sends there for itself, and an instance that kept to the limit
// alone would still let the replica get the limit times the instances. What an instance hears it tells the others; who may
// send is in grant.go. All that reaches the replica counts: first tries, repeats, resumed streams, parts of prompts and
// orders for memory.

const (
	// limitSpan is the span over which sends are counted. What was sent before the limit was heard counts too.
	limitSpan = 4 * time.Second
	// limitBurst is how many sends may go at once that were not used before.
	limitBurst = 2
	// leastRate stands for a lower limit in requests a second: a replica that nobody asks cannot say that its limit has ended.
	leastRate = 0.25
	// TicketRenew is how often memory that is set aside at a replica is renewed, ticketRate the orders a second that it takes.
	TicketRenew = 1200 * time.Millisecond
	ticketRate  = float64(time.Second) / float64(TicketRenew)
	// limitStale is the age of a limit from which a request is welcome to find out whether it still holds.
	limitStale = 2 * time.Second
	// probeGain is the worth of finding that out.
	probeGain = 0.5
	// limitTold is how often at the most a limit that changes is told to all; the summaries bring what was left out.
	limitTold = 200 * time.Millisecond
	// maxPerS bounds what a limit from the network may claim.
	maxPerS = 1e6
)

// rateLimit is what a replica takes from all instances together, as it said last.
type rateLimit struct {
	perS float64
	// heard is when the newest answer that named it came to any instance, told when this instance last told all others.
	heard, told time.Time
	// roomAt is when the next send is likely to be granted, as this instance was told last.
	roomAt time.Time
	// bucket and granted are used where this instance grants. granted holds when the jobs may be sent whose sends are counted already.
	bucket  *rate.Limiter
	granted map[jobKey]time.Time
	// top is the highest worth that was asked for lately, topAt when; lesser counts the grants since one of less worth.
	top    float64
	topAt  time.Time
	lesser int
	// refused counts the asks since the last grant that came to nothing.
	refused int
	// used counts the sends of this instance under the limit.
	used int64
}

// Limit is a replica's rate limit in a note.
type Limit struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	// Born is the incarnation that named it.
	Born int64 `cbor:"2,keyasint,omitempty"`
	// PerS is in requests a second, AgeMs how long ago the answer came that named it.
	PerS  float64 `cbor:"3,keyasint,omitempty"`
	AgeMs int32   `cbor:"4,keyasint,omitempty"`
	// Ended tells that an answer to a request sent so long ago named none any more.
	Ended bool `cbor:"5,keyasint,omitempty"`
}

func (lim *Limit) valid() bool {
	return lim.Replica != "" && lim.PerS >= 0 && lim.PerS <= maxPerS && lim.AgeMs >= 0
}

// answered takes what an answer says of its replica's limit.
func (st *State) answered(ev Answered) {
	rep, ok := st.replicas[ev.Replica]
	if !ok || rep.Born != ev.Born {
		return
	}
	if !ev.Limited {
		if st.endLimit(rep, ev.Sent) {
			st.tellLimits(rep, st.limitOf(rep), true)
			st.dispatch()
		}
		return
	}
	stale := rep.limit != nil && st.now.Sub(rep.limit.heard) >= limitStale/2
	changed := st.takeLimit(rep, ev.PerS, st.now)
	switch {
	case rep.limit == nil:
	case changed && st.now.Sub(rep.limit.told) >= limitTold:
		rep.limit.told = st.now
		st.tellLimits(rep, st.limitOf(rep), true)
	case stale:
		st.tellLimits(rep, st.limitOf(rep), false)
	}
}

// takeLimit believes what the replica said at the time if nothing newer is known, and tells whether that is news.
func (st *State) takeLimit(rep *replica, perS float64, heard time.Time) bool {
	if math.IsNaN(perS) || perS < 0 || !heard.After(rep.limitEnded) {
		return false
	}
	if rep.limit == nil {
		rep.limit = &rateLimit{perS: perS, heard: heard, bucket: rate.NewLimiter(rate.Limit(perS), limitBurst), granted: map[jobKey]time.Time{}}
		st.emit(Line{Message: "rate limit named", Replica: rep.Name, PerS: perS, Age: st.now.Sub(heard)})
		return true
	}
	if !heard.After(rep.limit.heard) {
		return false
	}
	rep.limit.heard = heard
	if rep.limit.perS == perS {
		return false
	}
	rep.limit.perS = perS
	st.emit(Line{Message: "rate limit changed", Replica: rep.Name, PerS: perS, Age: st.now.Sub(heard)})
	return true
}

// endLimit drops the limit if the request whose answer named none was sent after the last answer that did: answers on
// different connections overtake each other.
func (st *State) endLimit(rep *replica, sent time.Time) bool {
	if rep.limit == nil || !sent.After(rep.limit.heard) {
		return false
	}
	rep.limit = nil
	rep.limitEnded = sent
	st.emit(Line{Message: "rate limit ended", Replica: rep.Name, Age: st.now.Sub(sent)})
	return true
}

// limitOf is what is known of the replica's limit, for others.
func (st *State) limitOf(rep *replica) Limit {
	if rep.limit == nil {
		return Limit{Replica: rep.Name, Born: rep.Born, Ended: true, AgeMs: st.ageMs(rep.limitEnded)}
	}
	return Limit{Replica: rep.Name, Born: rep.Born, PerS: rep.limit.perS, AgeMs: st.ageMs(rep.limit.heard)}
}

// ageMs is how long ago that was, as notes tell it.
func (st *State) ageMs(at time.Time) int32 {
	return millis(min(max(0, st.now.Sub(at)), maxLimitAge))
}

// maxLimitAge is the highest age of a limit in a note: who hears it has heard nothing older.
const maxLimitAge = time.Hour

// tellLimits tells all that may use the replica, or only the one that grants sends to it.
func (st *State) tellLimits(rep *replica, lim Limit, all bool) {
	to := st.users(st.granters(rep))
	if !all {
		granter := st.granter(rep)
		if granter == st.Options.Name {
			return
		}
		to = []string{granter}
	}
	st.emit(Tell{Note: st.note(Note{Limits: []Limit{lim}}), To: to})
}

// summarizeLimits tells again of the limits of the replicas for which this instance grants. The cost grows with the limited
// replicas, not with the instances times the replicas.
func (st *State) summarizeLimits() {
	limits := map[subset][]Limit{}
	for _, rep := range st.limited() {
		if st.granter(rep) == st.Options.Name {
			sub := st.granters(rep)
			limits[sub] = append(limits[sub], st.limitOf(rep))
		}
	}
	for _, sub := range inOrder(limits) {
		for part := range slices.Chunk(limits[sub], summaryJobs) {
			st.emit(Tell{Note: st.note(Note{Limits: part}), To: st.users(sub)})
		}
	}
}

// limited lists the replicas that are limited, by name.
func (st *State) limited() []*replica {
	var list []*replica
	for _, rep := range st.replicas {
		if rep.limit != nil && !rep.gone {
			list = append(list, rep)
		}
	}
	slices.SortFunc(list, func(one, two *replica) int { return cmp.Compare(one.Name, two.Name) })
	return list
}

// heardLimit takes what another instance tells of a limit.
func (st *State) heardLimit(lim *Limit) {
	rep, ok := st.replicas[lim.Replica]
	if !ok || rep.Born != lim.Born {
		return
	}
	at := st.now.Add(-time.Duration(lim.AgeMs) * time.Millisecond)
	if lim.Ended {
		st.endLimit(rep, at)
		return
	}
	st.takeLimit(rep, lim.PerS, at)
}

// sent counts a request that reaches the replica at the time, which lies ahead for one that was granted.
func (rep *replica) sent(now, at time.Time) {
	over := 0
	for over < len(rep.sends) && now.Sub(rep.sends[over]) >= limitSpan {
		over++
	}
	rep.sends = slices.Delete(rep.sends, 0, over)
	place := len(rep.sends)
	for place > 0 && rep.sends[place-1].After(at) {
		place--
	}
	rep.sends = slices.Insert(rep.sends, place, at)
}

// recent counts the requests that reached the replica in the last limitSpan.
func (rep *replica) recent(now time.Time) int {
	count := 0
	for _, at := range rep.sends {
		if now.Sub(at) < limitSpan && !at.After(now) {
			count++
		}
	}
	return count
}

// tickets counts the parts of prompts for which memory is set aside at the replica.
func (rep *replica) tickets() int {
	count := 0
	for i := range rep.works {
		if wk := &rep.works[i]; !wk.first && wk.tokens > 0 {
			count++
		}
	}
	return count
}

// countSends counts what an own attempt sends: the request, and at each helper its part and the order for its memory.
func (st *State) countSends(req *request) {
	for i, rep := range req.reps {
		if rep.limit != nil {
			rep.limit.used++
		}
		if i == 0 && req.ask.granter == st.Options.Name && req.ask.rep == rep {
			// The grant is counted.
			continue
		}
		rep.sent(st.now, st.now)
		if i > 0 && i <= len(req.tickets) {
			rep.sent(st.now, st.now)
		}
	}
}

// countJob counts what another instance's job sends to one of its replicas.
func (st *State) countJob(rep *replica, key jobKey, job *Job, place int) {
	if isSurvey(key.from) {
		return
	}
	if rep.limit != nil && place == 0 {
		if _, ok := rep.limit.granted[key]; ok {
			delete(rep.limit.granted, key)
			return
		}
	}
	at := st.now.Add(-time.Duration(job.Age) * time.Millisecond)
	rep.sent(st.now, at)
	if place > 0 && place <= len(job.Tickets) {
		rep.sent(st.now, at)
	}
}

// LimitStatus is a limit in force as this instance knows it.
type LimitStatus struct {
	Replica string
	PerS    float64
	// Recent counts the sends of all instances that are known here, in limitSpan; Used those of this instance so far.
	Recent int
	Used   int64
}

// Limits lists the limits in force.
func (st *State) Limits(now time.Time) []LimitStatus {
	var list []LimitStatus
	for _, rep := range st.limited() {
		list = append(list, LimitStatus{Replica: rep.Name, PerS: rep.limit.perS, Recent: rep.recent(now), Used: rep.limit.used})
	}
	return list
}

package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// What replicas announce about themselves, and the gate that every message to a replica passes. A replica states in its
// answers that it leaves, for how long it wants rest, or how many requests a second it accepts. Load pattern: a replica that is
// emptied or overloaded while the list of replicas cannot say so, since its store is unavailable or knows nothing of load. Each kind of announcement is a row of announcementRules, which states which kinds of messages it holds back. Placement
// considers the same rows earlier, so that the gate seldom holds anything back.

// SendKind is a kind of message from an instance to a replica.
type SendKind int

// The kinds of messages.
const (
	// SendFirst is the first attempt of a request.
	SendFirst SendKind = iota
	// SendRetry is a later attempt of a request whose answer has not begun.
	SendRetry
	// SendResumption is an attempt that continues a stream.
	SendResumption
	// SendPart is the part of a prompt that a helper receives from the replica that answers.
	SendPart
	// SendReservation is an order that reserves memory.
	SendReservation
	// SendRenewal is an order that renews a reservation.
	SendRenewal
	// SendRelease is an order that ends a reservation.
	SendRelease
	// SendLoadQuery is a request for the load report.
	SendLoadQuery
	// SendProbe opens a connection and sends nothing on it.
	SendProbe
	// SendKinds is the number of kinds.
	SendKinds
)

// Announcement is a kind of statement of a replica about itself.
type Announcement int

// The kinds of announcements.
const (
	// NotAnnounced is no announcement.
	NotAnnounced Announcement = iota
	// Unlisted is a replica that is missing from the list.
	Unlisted
	// Leaving is a replica that is about to shut down.
	Leaving
	// Resting is a replica that refused a request of this instance and stated for how long it wants no others.
	Resting
	// Returning is a replica whose rest is over and that has not answered the first request after it yet.
	Returning
	// RateLimited is a replica that stated how many requests a second it accepts from all instances together.
	RateLimited
	// Failing is a replica that broke off, fell silent or refused a connection.
	Failing
	// Misdirecting is a replica whose address another one has taken.
	Misdirecting
	// Refusing is a replica that refused a request for which it seemed to have room.
	Refusing
	// Announcements is the number of kinds.
	Announcements
)

// treatment is what an announcement in force means for a message.
type treatment int

const (
	// undecided holds the message back. No kind of message may be left undecided.
	undecided treatment = iota
	// allowed lets the message pass.
	allowed
	// held holds the message back.
	held
	// needsGrant holds the message back unless it has a grant.
	needsGrant
	// trialOnly holds the message back unless it belongs to the first request after a rest.
	trialOnly
	// lastMoment lets one renewal pass, shortly before its reservation would expire.
	lastMoment
)

// excludes reports whether the treatment keeps new requests from a replica.
func (tr treatment) excludes() bool { return tr == held || tr == trialOnly }

// announcementRule is what an announcement means.
type announcementRule struct {
	// name is the kind in the log and in metrics.
	name string
	// inForce reports whether the announcement is in force at the replica now.
	inForce func(rep *replica, now time.Time) bool
	// endsAt returns when an announcement in force ends. It is nil if that is not known in advance.
	endsAt func(rep *replica) time.Time
	// toAll reports whether the announcement applies to all instances, which are therefore told of it.
	toAll bool
	// reason is the reason of a refusal if the announcement keeps a request from all replicas. It is empty if the request waits.
	reason Reason
	// treatments holds what happens to each kind of message.
	treatments [SendKinds]treatment
}

// announcementRules has a row for each kind of announcement. Messages that only help to finish what a replica runs already, the
// renewals and releases of reservations, pass where the replica allows it.
var announcementRules = [Announcements]announcementRule{
	Unlisted: {
		name: "Unlisted", toAll: true,
		inForce: func(rep *replica, _ time.Time) bool { return rep.gone },
		treatments: [SendKinds]treatment{
			SendFirst: held, SendRetry: held, SendResumption: held, SendPart: held, SendReservation: held, SendRenewal: allowed,
			SendRelease: allowed, SendLoadQuery: held, SendProbe: allowed,
		},
	},
	Leaving: {
		name: "Leaving", toAll: true, reason: ReasonLeaving,
		inForce: func(rep *replica, _ time.Time) bool { return rep.Leaving },
		treatments: [SendKinds]treatment{
			SendFirst: held, SendRetry: held, SendResumption: held, SendPart: held, SendReservation: held, SendRenewal: allowed,
			SendRelease: allowed, SendLoadQuery: held, SendProbe: allowed,
		},
	},
	Resting: {
		name: "Resting", reason: ReasonResting,
		inForce: func(rep *replica, now time.Time) bool { return rep.rest.inForce(now) },
		endsAt:  func(rep *replica) time.Time { return rep.rest.until },
		treatments: [SendKinds]treatment{
			SendFirst: held, SendRetry: held, SendResumption: held, SendPart: held, SendReservation: held, SendRenewal: lastMoment,
			SendRelease: held, SendLoadQuery: held, SendProbe: allowed,
		},
	},
	Returning: {
		name: "Returning", reason: ReasonResting,
		inForce: func(rep *replica, now time.Time) bool { return rep.rest.onTrial(now) },
		endsAt:  func(rep *replica) time.Time { return rep.rest.trialAt.Add(trialTimeout) },
		treatments: [SendKinds]treatment{
			SendFirst: trialOnly, SendRetry: trialOnly, SendResumption: trialOnly, SendPart: trialOnly, SendReservation: trialOnly,
			SendRenewal: allowed, SendRelease: allowed, SendLoadQuery: allowed, SendProbe: allowed,
		},
	},
	RateLimited: {
		name: "RateLimited", toAll: true, reason: ReasonLimited,
		inForce: func(rep *replica, _ time.Time) bool { return rep.limit != nil },
		treatments: [SendKinds]treatment{
			SendFirst: needsGrant, SendRetry: needsGrant, SendResumption: needsGrant, SendPart: held, SendReservation: held,
			SendRenewal: allowed, SendRelease: allowed, SendLoadQuery: held, SendProbe: allowed,
		},
	},
	Failing:      failureRule("Failing", Failing),
	Misdirecting: failureRule("Misdirecting", Misdirecting),
	Refusing:     failureRule("Refusing", Refusing),
}

// failureRule returns the row of a failure, which makes the replica unusable for a pause.
func failureRule(name string, cause Announcement) announcementRule {
	return announcementRule{
		name: name, toAll: true,
		inForce: func(rep *replica, now time.Time) bool { return rep.downCause == cause && now.Before(rep.downUntil) },
		endsAt:  func(rep *replica) time.Time { return rep.downUntil },
		treatments: [SendKinds]treatment{
			SendFirst: held, SendRetry: held, SendResumption: held, SendPart: held, SendReservation: held, SendRenewal: allowed,
			SendRelease: allowed, SendLoadQuery: allowed, SendProbe: allowed,
		},
	}
}

// String returns the name of the kind for the log.
func (ann Announcement) String() string {
	if ann <= NotAnnounced || ann >= Announcements {
		return ""
	}
	return announcementRules[ann].name
}

// String returns the name of the kind for the log.
func (kind SendKind) String() string {
	names := [SendKinds]string{"First", "Retry", "Resumption", "Part", "Reservation", "Renewal", "Release", "LoadQuery", "Probe"}
	if kind < 0 || kind >= SendKinds {
		return "Unknown"
	}
	return names[kind]
}

// Sending reports that a message is about to be sent to its targets. Exactly one Verdict follows.
type Sending struct {
	// ID is the request that the message belongs to, 0 if there is none.
	ID RequestID
	// Request is the caller's ID of the request, for the log.
	Request string
	Targets []Target
	// DecidedAt is when the reducer decided on the message, zero if it did not.
	DecidedAt time.Time
}

// Target is a replica that a message reaches.
type Target struct {
	Replica Replica
	Kind    SendKind
	// Granted reports whether the message has a grant for a rate-limited replica.
	Granted bool
	// ExpiresAt is when the reservation expires that a SendRenewal renews.
	ExpiresAt time.Time
}

// Verdict answers a Sending.
type Verdict struct {
	// HeldBy is the announcement that holds the message back, NotAnnounced if none does.
	HeldBy Announcement
	// Outdated reports that the decision is too old to be carried out.
	Outdated bool
}

// Held reports whether the message must not be sent.
func (vd Verdict) Held() bool { return vd.HeldBy != NotAnnounced || vd.Outdated }

// maxDecisionAge is the age up to which a decision to send is carried out. An instance that stood still for longer has not
// received what replicas have announced since.
const maxDecisionAge = time.Second

// sending decides whether a message may be sent.
func (st *State) sending(ev Sending) {
	if !ev.DecidedAt.IsZero() && st.now.Sub(ev.DecidedAt) > maxDecisionAge {
		st.emit(LogLine{Message: "send held back", Request: ev.Request, Replica: ev.Targets[0].Replica.Name, Send: ev.Targets[0].Kind.String(), Age: st.now.Sub(ev.DecidedAt), Reason: ReasonOutdated})
		st.emit(Verdict{Outdated: true})
		return
	}
	for i := range ev.Targets {
		target := &ev.Targets[i]
		if ann := st.heldBy(ev.ID, target); ann != NotAnnounced {
			st.emit(LogLine{Message: "send held back", Request: ev.Request, Replica: target.Replica.Name, Send: target.Kind.String(), Announcement: ann.String()})
			st.emit(Verdict{HeldBy: ann})
			return
		}
	}
	for i := range ev.Targets {
		if rep, ok := st.replicas[ev.Targets[i].Replica.Name]; ok {
			rep.recordPassed(st.now, ev.ID, ev.Targets[i].Kind)
		}
	}
	st.emit(Verdict{})
}

// heldBy returns the announcement that holds the message, which belongs to the request with the ID, back from the target, or
// NotAnnounced.
func (st *State) heldBy(id RequestID, target *Target) Announcement {
	rep, ok := st.replicas[target.Replica.Name]
	if !ok || rep.Born != target.Replica.Born {
		// An incarnation that is not known any more: only what ends its work may still be sent to its address.
		if announcementRules[Unlisted].treatments[target.Kind] == allowed {
			return NotAnnounced
		}
		return Unlisted
	}
	for ann := Announcement(1); ann < Announcements; ann++ {
		rule := &announcementRules[ann]
		if !rule.inForce(rep, st.now) {
			continue
		}
		switch rule.treatments[target.Kind] {
		case allowed:
		case needsGrant:
			if !target.Granted {
				return ann
			}
		case trialOnly:
			if id != rep.rest.trial {
				return ann
			}
		case lastMoment:
			if !rep.rest.mayRenew(st.now, target.ExpiresAt) {
				return ann
			}
		default:
			return ann
		}
	}
	return NotAnnounced
}

// usable reports whether new requests may be placed at the replica. One with a rate limit is usable; its requests need
// grants.
func (rep *replica) usable(now time.Time) bool { return rep.blockedBy(SendFirst, now) == NotAnnounced }

// blockedBy returns an announcement in force that holds new messages of the kind back from the replica, whether they have a
// grant or not, or NotAnnounced.
func (rep *replica) blockedBy(kind SendKind, now time.Time) Announcement {
	for ann := Announcement(1); ann < Announcements; ann++ {
		if rule := &announcementRules[ann]; rule.treatments[kind].excludes() && rule.inForce(rep, now) {
			return ann
		}
	}
	return NotAnnounced
}

// Sources of an announcement in the log.
const (
	sourceAnswer = "answer"
	sourceList   = "list"
	sourceNote   = "note"
)

// Departure reports in a note that a replica leaves.
type Departure struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	// Born is the incarnation of the replica that leaves.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// receiveAnnounced applies what an answer of the replica announces, but for its rate limit.
func (st *State) receiveAnnounced(rep *replica, ann *Announced) {
	if ann.Leaving && st.markLeaving(rep, sourceAnswer) {
		// The others spare their callers a failed attempt if they are told. Each tells once, and what they are told they do not
		// repeat.
		st.emit(SendNote{Note: st.note(Note{Departures: []Departure{{Replica: rep.Name, Born: rep.Born}}}), To: st.usersUnlessAll(st.audience(rep))})
	}
	if ann.Rest > 0 {
		st.startRest(rep, ann.Rest)
	}
	for _, text := range ann.Invalid {
		text = text[:min(len(text), maxInvalidText)]
		if !slices.Contains(rep.invalidAnnouncements, text) && len(rep.invalidAnnouncements) < maxInvalidLines {
			rep.invalidAnnouncements = append(rep.invalidAnnouncements, text)
			st.emit(LogLine{Message: "announcement ignored", Replica: rep.Name, Source: sourceAnswer, Invalid: text})
		}
	}
}

const (
	// maxInvalidText is the maximum length in bytes at which an announcement with an unusable value is logged.
	maxInvalidText = 60
	// maxInvalidLines is the maximum number of such lines for one incarnation of a replica.
	maxInvalidLines = 8
)

// markLeaving records that the replica leaves, which is final for an incarnation: a list that is older than the announcement
// must not bring the replica back. It reports whether that is news.
func (st *State) markLeaving(rep *replica, source string) bool {
	if rep.Leaving {
		return false
	}
	rep.Leaving = true
	st.emit(LogLine{Message: "replica leaves", Replica: rep.Name, Announcement: Leaving.String(), Source: source})
	return true
}

// receiveDepartures applies the departures that another instance has reported.
func (st *State) receiveDepartures(departures []Departure) {
	for _, dep := range departures {
		if rep, ok := st.replicas[dep.Replica]; ok && rep.Born == dep.Born {
			st.markLeaving(rep, sourceNote)
		}
	}
	if len(departures) > 0 {
		st.dispatch()
	}
}

// passedOver lists the announcements for which replicas that the request could use are passed over now, each with the number
// of replicas, for the log.
func (st *State) passedOver(service string) []string {
	var counts [Announcements]int
	for _, rep := range st.candidates(st.serviceOf(service)) {
		counts[rep.blockedBy(SendFirst, st.now)]++
	}
	var list []string
	for _, ann := range []Announcement{Leaving, Resting, Returning} {
		if counts[ann] > 0 {
			list = append(list, fmt.Sprint(ann, " ", counts[ann]))
		}
	}
	return list
}

// AnnouncementStatus describes an announcement in force as this instance knows it.
type AnnouncementStatus struct {
	Replica      string
	Announcement Announcement
	// EndsAt is when it ends, zero if that is not known.
	EndsAt time.Time
}

// InForce returns the announcements in force at the listed replicas, sorted by kind and by the name of the replica.
func (st *State) InForce(now time.Time) []AnnouncementStatus {
	var list []AnnouncementStatus
	for ann := Unlisted + 1; ann < Announcements; ann++ {
		rule := &announcementRules[ann]
		for _, name := range slices.Sorted(maps.Keys(st.replicas)) {
			rep := st.replicas[name]
			if rep.gone || !rule.inForce(rep, now) {
				continue
			}
			status := AnnouncementStatus{Replica: name, Announcement: ann}
			if rule.endsAt != nil {
				status.EndsAt = rule.endsAt(rep)
			}
			list = append(list, status)
		}
	}
	return list
}

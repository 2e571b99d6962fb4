package steer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// What replicas announce about themselves, and the gate that every message to a replica passes. Load pattern: a replica that is
// emptied or overloaded while the list of replicas cannot say so, since its store is unavailable or knows nothing of load. Each
// kind of announcement is a row of announcementRules, which states which kinds of messages it holds back. Placement considers
// the same rows earlier, so that the gate seldom holds anything back.

// announcementRule completes a row of notice.Rules by what depends on the state kept here.
type announcementRule struct {
	notice.Rule
	// inForce reports whether the announcement is in force at the replica now.
	inForce func(rep *replica, now time.Time) bool
	// endsAt returns when an announcement in force ends. It is nil if that is not known in advance.
	endsAt func(rep *replica) time.Time
	// failure reports whether the announcement is a failure, which another instance may have reported.
	failure bool
	// reason is the reason of a refusal if the announcement keeps a request from all replicas. It is empty if the request waits.
	reason Reason
}

// announcementRules has a row for each kind of announcement.
var announcementRules = [notice.Announcements]announcementRule{
	notice.Unlisted: {
		Rule:    notice.Rules[notice.Unlisted],
		inForce: func(rep *replica, _ time.Time) bool { return rep.gone },
	},
	notice.Leaving: {
		Rule:    notice.Rules[notice.Leaving],
		inForce: func(rep *replica, _ time.Time) bool { return rep.Leaving },
		reason:  ReasonLeaving,
	},
	notice.Resting: {
		Rule:    notice.Rules[notice.Resting],
		inForce: func(rep *replica, now time.Time) bool { return rep.rest.InForce(now) },
		endsAt:  func(rep *replica) time.Time { return rep.rest.Until },
		reason:  ReasonResting,
	},
	notice.Returning: {
		Rule:    notice.Rules[notice.Returning],
		inForce: func(rep *replica, now time.Time) bool { return rep.rest.OnTrial(now) },
		endsAt:  func(rep *replica) time.Time { return rep.rest.TrialAt.Add(notice.TrialTimeout) },
		reason:  ReasonResting,
	},
	notice.RateLimited: {
		Rule:    notice.Rules[notice.RateLimited],
		inForce: func(rep *replica, _ time.Time) bool { return rep.limit != nil },
		reason:  ReasonLimited,
	},
	notice.Warming: {
		Rule:    notice.Rules[notice.Warming],
		inForce: func(rep *replica, now time.Time) bool { return now.Before(rep.coldUntil) },
		endsAt:  func(rep *replica) time.Time { return rep.coldUntil },
		reason:  ReasonLimited,
	},
	notice.Evacuated: {
		Rule:    notice.Rules[notice.Evacuated],
		inForce: func(rep *replica, _ time.Time) bool { return rep.evacuated },
		reason:  ReasonEvacuated,
	},
	notice.Failing:      failingRule(),
	notice.Misdirecting: failureRule(notice.Misdirecting),
	notice.Refusing:     failureRule(notice.Refusing),
}

// failureRule returns the row of a failure, which makes the replica unusable for a pause.
func failureRule(cause notice.Announcement) announcementRule {
	return announcementRule{
		Rule:    notice.Rules[cause],
		failure: true,
		inForce: func(rep *replica, now time.Time) bool { return rep.downCause == cause && now.Before(rep.downUntil) },
		endsAt:  func(rep *replica) time.Time { return rep.downUntil },
	}
}

// failingRule returns failureRule for notice.Failing, extended to be in force also while the replica's failure domain counts as down.
func failingRule() announcementRule {
	rule := failureRule(notice.Failing)
	failed := rule.inForce
	rule.inForce = func(rep *replica, now time.Time) bool { return failed(rep, now) || now.Before(rep.outageUntil) }
	rule.endsAt = func(rep *replica) time.Time { return later(rep.downUntil, rep.outageUntil) }
	return rule
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
	// Repeated reports whether the message has passed before and waited for its connection since.
	Repeated bool
	// ForPeer reports whether the message is passed on for another instance, which has lost its path to the replica.
	ForPeer bool
}

// Target is a replica that a message reaches.
type Target struct {
	Replica Replica
	Kind    notice.Kind
	// Granted reports whether the message has a grant for a rate-limited replica.
	Granted bool
	// ExpiresAt is when the reservation expires that a notice.Renewal renews.
	ExpiresAt time.Time
}

// Verdict answers a Sending.
type Verdict struct {
	// HeldBy is the announcement that holds the message back, notice.None if none does.
	HeldBy notice.Announcement
	// Outdated reports that the decision is too old to be carried out.
	Outdated bool
	// OverBudget reports that the message is a repeat that the budget does not allow any more.
	OverBudget bool
	// NoPath reports that the path to the replica is lost and that no other instance can pass the message on.
	NoPath bool
	// Via is the instance through which the message goes, empty if it is sent directly.
	Via string
	// RetryAt is when an instance may be able to pass the message on although none is now, zero if it is not known that one may.
	RetryAt time.Time
	// Connections is how many idle connections to the replica may be kept.
	Connections ConnectionBound
}

// Held reports whether the message must not be sent.
func (vd Verdict) Held() bool {
	return vd.HeldBy != notice.None || vd.Outdated || vd.OverBudget || vd.NoPath
}

// maxDecisionAge is the age up to which a decision to send is carried out. An instance that stood still for longer has not
// received what replicas have announced since.
const maxDecisionAge = time.Second

// sending decides whether a message may be sent.
func (st *State) sending(ev Sending) {
	// What was decided before the instance stood still may be wrong by what it has not received yet.
	if !ev.DecidedAt.IsZero() && (st.now.Sub(ev.DecidedAt) > maxDecisionAge || st.catchingUp()) {
		st.emit(LogLine{Message: "send held back", Request: ev.Request, Replica: ev.Targets[0].Replica.Name, Send: ev.Targets[0].Kind.String(), Age: st.now.Sub(ev.DecidedAt), Reason: ReasonOutdated})
		st.emit(Verdict{Outdated: true})
		return
	}
	for i := range ev.Targets {
		target := &ev.Targets[i]
		if ann := st.heldBy(&ev, target); ann != notice.None {
			if ann == notice.Failing && ev.ForPeer && st.pathInDoubt(target.Replica.Service) {
				// It may be this instance's path that fails.
				st.emit(Verdict{NoPath: true})
				return
			}
			st.emit(LogLine{Message: "send held back", Request: ev.Request, Replica: target.Replica.Name, Send: target.Kind.String(), Announcement: ann.String()})
			st.emit(Verdict{HeldBy: ann})
			return
		}
	}
	if !st.mayGo(&ev) {
		st.emit(Verdict{OverBudget: true})
		return
	}
	via, ok := st.via(&ev.Targets[0], ev.ForPeer)
	if !ok {
		st.emit(Verdict{NoPath: true, RetryAt: via.RetryAt})
		return
	}
	if via.Peer != "" && !ev.Repeated {
		st.emit(LogLine{Message: "sent through another instance", Request: ev.Request, Replica: ev.Targets[0].Replica.Name, Service: ev.Targets[0].Replica.Service, Send: ev.Targets[0].Kind.String(), Via: via.Peer})
	}
	for i := range ev.Targets {
		if rep, ok := st.replicas[ev.Targets[i].Replica.Name]; ok && !ev.Repeated {
			rep.rest.Pass(st.now, uint64(ev.ID), ev.Targets[i].Kind)
		}
	}
	verdict := Verdict{Via: via.Peer}
	if rep, ok := st.replicas[ev.Targets[0].Replica.Name]; ok {
		verdict.Connections = st.connectionBound(rep)
	}
	st.emit(verdict)
}

// heldBy returns the announcement that holds the message back from the target, or notice.None.
func (st *State) heldBy(ev *Sending, target *Target) notice.Announcement {
	rep, ok := st.replicas[target.Replica.Name]
	if !ok || rep.Born != target.Replica.Born {
		// An incarnation that is not known any more: only what ends its work may still be sent to its address.
		if announcementRules[notice.Unlisted].Treatments[target.Kind] == notice.Allowed {
			return notice.None
		}
		return notice.Unlisted
	}
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		rule := &announcementRules[ann]
		if !rule.inForce(rep, st.now) {
			continue
		}
		if rule.failure && ev.ForPeer && rep.downReporter != "" && !st.now.Before(rep.outageUntil) {
			// The report may come from the very instance that has lost its path.
			continue
		}
		switch rule.Treatments[target.Kind] {
		case notice.Allowed:
		case notice.NeedsGrant:
			if !target.Granted {
				return ann
			}
		case notice.TrialOnly:
			if uint64(ev.ID) != rep.rest.Trial {
				return ann
			}
		case notice.LastMoment:
			if !ev.Repeated && !rep.rest.MayRenew(st.now, target.ExpiresAt, lastRenewalTime) {
				return ann
			}
		default:
			return ann
		}
	}
	return notice.None
}

// usable reports whether new requests may be placed at the replica. One with a rate limit is usable; its requests need
// grants.
func (rep *replica) usable(now time.Time) bool {
	return rep.blockedBy(notice.First, now) == notice.None
}

// blockedBy returns an announcement in force that holds new messages of the kind back from the replica, whether they have a
// grant or not, or notice.None.
func (rep *replica) blockedBy(kind notice.Kind, now time.Time) notice.Announcement {
	for ann := notice.None + 1; ann < notice.Announcements; ann++ {
		if rule := &announcementRules[ann]; rule.Treatments[kind].Excludes() && rule.inForce(rep, now) {
			return ann
		}
	}
	return notice.None
}

// Sources of an announcement in the log.
const (
	sourceAnswer  = "answer"
	sourceAttempt = "attempt"
	sourceDetour  = "detour"
	sourceList    = "list"
	sourceNote    = "note"
)

// Departure reports in a note that a replica leaves.
type Departure struct {
	Replica string `cbor:"1,keyasint,omitempty"`
	// Born is the incarnation of the replica that leaves.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// receiveAnnounced applies what an answer of the replica announces, but for its rate limit and its cold state.
func (st *State) receiveAnnounced(rep *replica, ann *notice.Announced) {
	if ann.Leaving && st.markLeaving(rep, sourceAnswer) {
		// The others spare their callers a failed attempt if they are notified. Only an instance that received the announcement
		// itself notifies, once.
		st.notifyOthers(rep, notice.Leaving)
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

// notifyOthers informs the other instances of the announcement, if it applies to them, too. sendLimit does so for a rate
// limit and its end.
func (st *State) notifyOthers(rep *replica, ann notice.Announcement) {
	switch {
	case !announcementRules[ann].ToAll:
	case ann == notice.Leaving:
		st.emit(SendNote{Note: st.note(Note{Departures: []Departure{{Replica: rep.Name, Born: rep.Born}}}), To: st.usersUnlessAll(st.audience(rep))})
	default:
		st.emit(SendNote{Note: st.note(Note{Down: []string{rep.Name}, Cold: st.suspectedRestart(rep)})})
	}
}

// markLeaving records that the replica leaves, which is final for an incarnation: a list that is older than the announcement
// must not bring the replica back. It reports whether that is news.
func (st *State) markLeaving(rep *replica, source string) bool {
	if rep.Leaving {
		return false
	}
	rep.Leaving = true
	st.serviceOf(rep.Service).domainsKnown = false
	st.emit(LogLine{Message: "replica leaves", Replica: rep.Name, Announcement: notice.Leaving.String(), Source: source})
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
// of replicas, for the log. Failures that another instance reported are counted apart.
func (st *State) passedOver(service string) []string {
	var counts, reported [notice.Announcements]int
	svc := st.serviceOf(service)
	counts[notice.Evacuated] = len(svc.replicas) - len(st.inUse(svc))
	for _, rep := range st.candidates(svc) {
		ann := rep.blockedBy(notice.First, st.now)
		if announcementRules[ann].failure && rep.downReporter != "" {
			reported[ann]++
			continue
		}
		counts[ann]++
	}
	var list []string
	for ann := notice.Leaving; ann < notice.Announcements; ann++ {
		if counts[ann] > 0 {
			list = append(list, fmt.Sprint(ann, " ", counts[ann]))
		}
		if reported[ann] > 0 {
			list = append(list, fmt.Sprint(ann, "Reported ", reported[ann]))
		}
	}
	return list
}

// AnnouncementStatus describes an announcement in force as this instance knows it.
type AnnouncementStatus struct {
	Replica      string
	Announcement notice.Announcement
	// EndsAt is when it ends, zero if that is not known.
	EndsAt time.Time
	// FailureDomain is that of the replica.
	FailureDomain string
}

// InForce returns the announcements in force at the listed replicas, sorted by kind and by the name of the replica.
func (st *State) InForce(now time.Time) []AnnouncementStatus {
	var list []AnnouncementStatus
	names := slices.Sorted(maps.Keys(st.replicas))
	for ann := notice.Unlisted + 1; ann < notice.Announcements; ann++ {
		rule := &announcementRules[ann]
		for _, name := range names {
			rep := st.replicas[name]
			if rep.gone || !rule.inForce(rep, now) {
				continue
			}
			status := AnnouncementStatus{Replica: name, Announcement: ann, FailureDomain: rep.FailureDomain}
			if rule.endsAt != nil {
				status.EndsAt = rule.endsAt(rep)
			}
			list = append(list, status)
		}
	}
	return list
}

package steer

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/deaths"
)

// Quarantine of parts of prompts. A part may crash each replica that begins an answer on it, in requests of which no two are alike, so that no
// content is ever seen twice. What the crashed ones have in common, and the answered ones do not, is found by package cause. Load pattern:
// such requests come through all instances, beside sound ones that share all other parts with them.

// causeRules are the rules by which parts are held against prompts.
var causeRules = cause.DefaultRules(quarantineTime, sameCrash)

const (
	// clearAnnouncers is how many instances announce an answered part, on average. All that answer prompts with it could.
	clearAnnouncers = 8
	// maxSuspicionParts is the maximum number of parts in one Suspicion, which must fit into a datagram.
	maxSuspicionParts = 400
	// recordDelay is how long a cause is held before it is recorded, in which answers may end it.
	recordDelay = 500 * time.Millisecond
	// recordPeriod is the minimum time between two records of one cause.
	recordPeriod = time.Minute
)

// heldCause is a cause for which requests are refused.
type heldCause struct {
	cause.Cause
	// since is when it began to be held.
	since time.Time
	// recordedAt is when this instance recorded it, zero if it has not.
	recordedAt time.Time
}

func (st *State) callerOf(req *request) uint64 { return xxhash.Sum64String(req.Organisation) }

// judgeParts returns what is held against the request because of the parts of its prompt.
func (st *State) judgeParts(req *request) cause.Finding {
	if len(req.Parts) == 0 || st.causes.Empty() {
		return cause.Finding{}
	}
	found := st.causes.Judge(st.now, st.callerOf(req), req.Parts)
	if req.trial {
		found.Refused = false
	}
	return found
}

// refuseQuarantined refuses a request because of the deaths under its content or its parts.
func (st *State) refuseQuarantined(req *request) {
	found := st.judgeParts(req)
	if !found.Refused {
		st.refuse(req, ReasonQuarantine, quarantineTime)
		return
	}
	ca := found.Cause
	st.causes.NoteRefusal(st.now, ca)
	st.emit(LogLine{Message: "refused for a part of the prompt", Request: req.Name, Parts: ca.Features, Crashes: ca.Crashes, Age: st.now.Sub(ca.Last)})
	st.refuse(req, ReasonQuarantine, st.causes.Until(ca).Sub(st.now))
}

// allowTrial lets a request be sent although it has the parts of a refused cause, if a trial is due. One instance makes the trials of a
// cause, the same one at all that list the same instances.
func (st *State) allowTrial(req *request) {
	found := st.judgeParts(req)
	if !found.Refused || found.TrialAt.IsZero() || st.now.Before(found.TrialAt) || !found.Cause.Tries(st.Options.Name, st.otherNames) {
		return
	}
	for _, other := range st.requests {
		if other.trial {
			return
		}
	}
	req.trial = true
	st.emit(LogLine{Message: "part of prompts tried", Request: req.Name, Parts: found.Cause.Features, Crashes: found.Cause.Crashes, Age: st.now.Sub(found.Cause.Last)})
}

// heldByCause reports whether the request may not be sent now because of parts that may crash replicas.
func (st *State) heldByCause(req *request) bool {
	found := st.judgeParts(req)
	if found.Cause == nil || req.trial {
		return false
	}
	return found.Refused || st.causes.MustWait(st.now, req.diedAt, found, req.Parts, st.unprovenParts(req))
}

// unprovenParts yields the parts of the other requests under way whose answers have not gone on for long enough.
func (st *State) unprovenParts(req *request) iter.Seq[[]Part] {
	return func(yield func(parts []Part) bool) {
		for _, other := range st.requests {
			if other != req && !other.proven && (other.running || other.claiming) && !yield(other.Parts) {
				return
			}
		}
	}
}

// proveParts clears the parts of a prompt whose answer has gone on for long enough.
func (st *State) proveParts(req *request) {
	if !req.proven && req.wrote() >= cause.ProvenTime && req.events >= cause.ProvenEvents {
		req.proven = true
		st.clearParts(req)
	}
}

// clearParts records that a replica has answered a prompt with the parts, and informs the others if that is news.
func (st *State) clearParts(req *request) {
	if len(req.Parts) > 0 {
		st.announceCleared(st.causes.Clear(st.now, req.Parts))
	}
}

// announceCleared informs the others that replicas answer prompts with the parts.
func (st *State) announceCleared(news []Part) {
	if len(news) == 0 || st.random.IntN(st.live) >= clearAnnouncers {
		return
	}
	var cleared []ClearedPart
	for _, part := range news[:min(len(news), maxSuspicionParts)] {
		cleared = append(cleared, ClearedPart{Part: part})
	}
	st.emit(SendNote{Note: st.note(Note{Cleared: cleared})})
}

// repeatCleared announces again which parts were answered a short while ago. Without one such note an instance would go on holding a part
// against callers, and then see no answer with it any more.
func (st *State) repeatCleared() {
	if st.causes.Idle() || st.random.IntN(st.live) >= clearAnnouncers {
		return
	}
	if cleared := clearedParts(st.now, st.causes.RecentlyCleared(st.now)); len(cleared) > 0 {
		st.emit(SendNote{Note: st.note(Note{Cleared: cleared[:min(len(cleared), maxSuspicionParts)]})})
	}
}

// clearedParts returns the notes' form of the parts, sorted.
func clearedParts(now time.Time, cleared map[Part]time.Time) []ClearedPart {
	var list []ClearedPart
	for _, part := range slices.Sorted(maps.Keys(cleared)) {
		list = append(list, ClearedPart{Part: part, AgeMs: max(0, now.Sub(cleared[part]).Milliseconds())})
	}
	return list
}

// suspectParts holds the parts of the prompt for the death of its replica, and returns what is announced to the others. An answer that has gone on for
// long enough did not crash its replica.
func (st *State) suspectParts(req *request, death deaths.Death) []Suspicion {
	req.diedAt, req.trial = st.now, false
	if req.proven || len(req.Parts) == 0 {
		return nil
	}
	st.ownDeaths[death.ID] = true
	cd := cause.Death{ID: death.ID, Upstream: death.Upstream, Content: uint64(req.Digest), Caller: st.callerOf(req), At: death.At, Features: req.Parts}
	st.announceCleared(st.causes.Add(cd))
	st.clearProven()
	return suspicionsOf(st.now, &cd)
}

// clearProven clears the parts of the answers under way that have gone on for long enough: they show, at the first crash, what most prompts
// have and what replicas answer.
func (st *State) clearProven() {
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		if req := st.requests[id]; req.proven && req.running {
			st.clearParts(req)
		}
	}
}

// suspicionsOf returns the notes' form of a death. A long list of parts makes several.
func suspicionsOf(now time.Time, death *cause.Death) []Suspicion {
	var list []Suspicion
	for parts := range slices.Chunk(death.Features, maxSuspicionParts) {
		list = append(list, Suspicion{
			ID: death.ID, Upstream: death.Upstream, Content: death.Content, Caller: death.Caller,
			AgeMs: max(0, now.Sub(death.At).Milliseconds()), Parts: parts,
		})
	}
	return list
}

// receiveSuspicions adds what another instance reports of parts.
func (st *State) receiveSuspicions(note *Note) {
	var answered []Part
	for i := range note.Suspicions {
		sus := &note.Suspicions[i]
		slices.Sort(sus.Parts)
		answered = append(answered, st.causes.Add(cause.Death{
			ID: sus.ID, Upstream: sus.Upstream, Content: sus.Content, Caller: sus.Caller,
			At: st.now.Add(-time.Duration(sus.AgeMs) * time.Millisecond), Features: slices.Compact(sus.Parts),
		})...)
	}
	if len(note.Suspicions) > 0 {
		st.announceCleared(answered)
		st.clearProven()
	}
	for _, cp := range note.Cleared {
		st.causes.ClearAt(cp.Part, st.now.Add(-time.Duration(cp.AgeMs)*time.Millisecond))
	}
}

// suspicionNotes returns notes with all that is held against parts, for an instance that has just started.
func (st *State) suspicionNotes(now time.Time) []Note {
	var notes []Note
	var list []Suspicion
	size := 0
	flush := func() {
		if len(list) > 0 {
			notes = append(notes, st.note(Note{Suspicions: list}))
		}
		list, size = nil, 0
	}
	for _, death := range st.causes.Deaths() {
		for _, sus := range suspicionsOf(now, &death) {
			if size += suspicionOverhead + len(sus.Parts); size > maxSuspicionParts {
				flush()
				size = suspicionOverhead + len(sus.Parts)
			}
			list = append(list, sus)
		}
	}
	flush()
	for some := range slices.Chunk(clearedParts(now, st.causes.Cleared()), maxSuspicionParts) {
		notes = append(notes, st.note(Note{Cleared: some}))
	}
	return notes
}

// suspicionOverhead is the size of a Suspicion without its parts, in parts.
const suspicionOverhead = 6

// causeRead takes over a cause from the store, unless it is known here, or ends it.
func (st *State) causeRead(ev CauseRead) {
	if ev.Ended {
		// The record stays, and may be read again long after.
		at := ev.Cause.Last.Add(recordPeriod)
		if st.now.Before(at) {
			at = st.now
		}
		for _, part := range ev.Cause.Features {
			st.causes.ClearAt(part, at)
		}
		st.emit(LogLine{Message: "quarantine of a part ended by an operator", Parts: ev.Cause.Features})
		return
	}
	isKnown := slices.ContainsFunc(st.causes.Causes(st.now), func(ca cause.Cause) bool {
		return ca.Refused && slices.Equal(ca.Features, ev.Cause.Features)
	})
	if !isKnown && st.now.Sub(ev.Cause.Last) < causeRules.Duration {
		st.causes.Impose(ev.Cause)
	}
}

// reviewCauses logs causes that have begun or ended to be held, and records one in the store if the last crash was observed here.
func (st *State) reviewCauses() {
	if st.causes.Empty() && len(st.heldCauses) == 0 {
		clear(st.ownDeaths)
		return
	}
	causes := st.causes.Causes(st.now)
	held := map[uint64]*heldCause{}
	for i := range causes {
		ca := &causes[i]
		if !ca.Refused {
			continue
		}
		key := ca.Key()
		hc, ok := st.heldCauses[key]
		if !ok {
			hc = &heldCause{since: st.now}
			st.emit(LogLine{Message: "part of prompts quarantined", Parts: ca.Features, Crashes: ca.Crashes, Age: st.now.Sub(ca.Last)})
		}
		hc.Cause = *ca
		held[key] = hc
		if st.ownDeaths[ca.LastDeath] && st.now.Sub(hc.since) >= recordDelay && (hc.recordedAt.IsZero() || st.now.Sub(hc.recordedAt) >= recordPeriod) {
			hc.recordedAt = st.now
			st.emit(RecordCause{Cause: hc.Cause})
		}
	}
	for key, hc := range st.heldCauses {
		if held[key] == nil {
			st.emit(LogLine{Message: "quarantine of a part ended", Parts: hc.Features, Crashes: hc.Crashes, Age: st.now.Sub(hc.Last)})
		}
	}
	st.heldCauses = held
}

// QuarantinedParts returns how many causes of crashes are held against prompts.
func (st *State) QuarantinedParts() int { return len(st.heldCauses) }

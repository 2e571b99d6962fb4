package core

import (
	"iter"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// Quarantine of what prompts share: a message of a conversation, or a beginning of a prompt, may crash each engine that begins an answer on
// it, in requests of which no two are alike. Package cause finds it.

// causeRules are the rules by which features are held against prompts.
var causeRules = cause.DefaultRules(deathTTL, sameCrash)

// excuseExplained makes crashes that a known cause explains count against no content.
func (st *State) excuseExplained() {
	st.quarantine.deaths.Excused = func(death deaths.Death) bool {
		return st.quarantine.causes.Explains(st.now, death.Upstream, death.At)
	}
}

func callerOf(ev *event.Arrived) uint64 { return xxhash.Sum64String(ev.Organisation) }

// judgeFeatures returns what is held against the request because of what it shares with others.
func (st *State) judgeFeatures(ev *event.Arrived) cause.Finding {
	if len(ev.Features) == 0 || st.quarantine.causes.Empty() {
		return cause.Finding{}
	}
	return st.quarantine.causes.Judge(st.now, callerOf(ev), ev.Features)
}

// checkFeatures returns the refusal of a request with the features of a cause of crashes, or nil.
func (st *State) checkFeatures(ev *event.Arrived) *effect.Refusal {
	found := st.judgeFeatures(ev)
	if !found.Refused || st.isTrial(ev, &found) {
		return nil
	}
	st.quarantine.causes.NoteRefusal(st.now, found.Cause)
	return &effect.Refusal{
		Reason:     effect.ReasonQuarantine,
		RunState:   effect.NotRun,
		RetryAfter: st.quarantine.causes.Until(found.Cause).Sub(st.now),
		Remedy:     "a part of this prompt took upstreams down in other requests; change it or tell the operators",
	}
}

// isTrial reports whether the request is the one that is sent although the cause is held against it. One instance makes the trials, one at a
// time.
func (st *State) isTrial(ev *event.Arrived, found *cause.Finding) bool {
	if found.TrialAt.IsZero() || st.now.Before(found.TrialAt) || !found.Cause.Tries(st.Options.Name, st.instanceNames()) {
		return false
	}
	for _, other := range st.Requests {
		if other.ID != ev.ID && found.Cause.Holds(other.Features) {
			return false
		}
	}
	return true
}

func (st *State) instanceNames() []string {
	var names []string
	for _, inst := range st.Instances {
		names = append(names, inst.Name)
	}
	return names
}

// heldByCause reports whether the request may not be sent now because of features that may crash upstreams.
func (st *State) heldByCause(req *Request) bool {
	found := st.judgeFeatures(&req.Arrived)
	if found.Cause == nil || found.Refused {
		return false
	}
	return st.quarantine.causes.MustWait(st.now, req.diedAt, found, req.Features, st.unprovenFeatures(req))
}

// unprovenFeatures yields the features of the other requests under way whose answers have not gone on for long enough.
func (st *State) unprovenFeatures(req *Request) iter.Seq[[]cause.Feature] {
	return func(yield func(features []cause.Feature) bool) {
		for _, other := range st.Requests {
			if other != req && other.Phase == PhaseRunning && !st.isProven(other) && !yield(other.Features) {
				return
			}
		}
	}
}

// isProven reports whether the answer of the attempt under way has gone on for so long that it does not crash the upstream.
func (st *State) isProven(req *Request) bool {
	return !req.answerStartedAt.IsZero() && st.now.Sub(req.answerStartedAt) >= cause.ProvenTime
}

// clearFeatures records that an upstream has answered the request, and informs the peers if that is news.
func (st *State) clearFeatures(req *Request) {
	if len(req.Features) > 0 {
		st.announceAnswered(st.quarantine.causes.Clear(st.now, req.Features))
	}
}

func (st *State) announceAnswered(news []cause.Feature) {
	if len(news) > 0 {
		st.emit(effect.AnnounceAnswered{Features: news})
	}
}

// clearProven clears the features of the answers under way that have gone on for long enough.
func (st *State) clearProven() {
	for _, req := range st.Requests {
		if req.Phase == PhaseRunning && st.isProven(req) {
			st.clearFeatures(req)
		}
	}
}

// suspectFeatures holds the features of the request for the crash of its upstream, and returns what is announced to the peers. An answer that has
// gone on for long enough did not crash its upstream.
func (st *State) suspectFeatures(req *Request, ev event.AttemptEnded, death deaths.Death) []cause.Death {
	req.diedAt = st.now
	wentOn := st.isProven(req) && ev.Offset-req.sentOffset >= cause.ProvenEvents
	if wentOn || len(req.Features) == 0 {
		return nil
	}
	cd := cause.Death{
		ID: death.ID, Upstream: death.Upstream, Content: xxhash.Sum64(req.Digest[:]), Caller: callerOf(&req.Arrived), At: death.At, Features: req.Features,
	}
	st.announceAnswered(st.quarantine.causes.Add(cd))
	st.clearProven()
	return []cause.Death{cd}
}

// receiveSuspicions adds what a peer reports of features.
func (st *State) receiveSuspicions(ev event.QuarantineReported) {
	for _, death := range ev.Suspicions {
		st.announceAnswered(st.quarantine.causes.Add(death))
	}
	for _, feature := range ev.Answered {
		st.quarantine.causes.ClearAt(feature, st.now)
	}
	if len(ev.Suspicions) > 0 {
		st.clearProven()
	}
}

// reviewCauses logs causes that have begun or ended to be held.
func (st *State) reviewCauses() {
	if st.quarantine.causes.Empty() && len(st.quarantine.held) == 0 {
		return
	}
	held := map[uint64]bool{}
	for _, ca := range st.quarantine.causes.Causes(st.now) {
		key := ca.Key()
		if !ca.Refused {
			continue
		}
		held[key] = true
		if !st.quarantine.held[key] {
			st.logCause("quarantined: prompts that share a part took upstreams down", &ca)
		}
	}
	for key := range st.quarantine.held {
		if !held[key] {
			st.emit(effect.CountAndLog{Counter: "Quarantine.PartsEnded", LogMessage: "quarantine of a part of prompts ended", Subject: strconv.FormatUint(key, 16)})
		}
	}
	st.quarantine.held = held
}

func (st *State) logCause(message string, ca *cause.Cause) {
	subject := strconv.FormatUint(ca.Key(), 16) + ": " + strconv.Itoa(ca.Crashes) + " crashes in " + ca.Last.Sub(ca.First).Round(time.Millisecond).String()
	st.emit(effect.CountAndLog{Counter: "Quarantine.Parts", LogMessage: message, Subject: subject})
}

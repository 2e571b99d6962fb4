package steer

import (
	"strings"
	"time"
)

// After a power failure of all instances the engines still write for those that died, and nobody knows how much: a fleet
// that starts with the notion that its engines are idle sends them more than they can take, just when the callers of the
// last seconds all come back. If no instance is heard that has lived for longer, the one of those that start together whose
// name comes first asks the engines for their load, once, and tells the others. Where an instance lives on, its notes say
// all that there is to know.

const (
	// surveyWait is how long a note of another instance is waited for.
	surveyWait = 120 * time.Millisecond
	// together is how much longer another instance may have lived that started for the same reason.
	together = 1500 * time.Millisecond
	// surveyName begins the name under which an engine's own load is kept, as that of an instance that falls silent: it
	// counts for peerSilence, in which most of what is written for the dead has ended.
	surveyName = "survey/"
	// maxSurveyed bounds what one report may claim.
	maxSurveyed = 256
)

// survey asks the engines when it is time.
func (st *State) survey() {
	if st.surveyDone || len(st.replicas) == 0 {
		return
	}
	if st.surveyAt.IsZero() {
		st.surveyAt = st.now.Add(surveyWait)
	}
	if st.now.Before(st.surveyAt) {
		return
	}
	st.surveyDone = true
	if st.olderHeard() {
		return
	}
	var engines []Replica
	for _, svc := range st.services {
		if svc.engine == nil {
			continue
		}
		for _, rep := range svc.replicas {
			if rep.limit == nil && st.surveyor(svc, rep) {
				engines = append(engines, rep.Replica)
			}
		}
	}
	if len(engines) > 0 {
		st.emit(Line{Message: "no older instance heard; engines asked for their load"})
		st.emit(Survey{Replicas: engines})
	}
}

// olderHeard tells that an instance was heard that has lived for longer, and tells of what it has sent itself.
func (st *State) olderHeard() bool {
	for _, pr := range st.peers {
		if pr.up > st.up()+together.Milliseconds() {
			return true
		}
	}
	return false
}

// needless tells that the note is of an engine's own load where an instance has lived on. What engines report is then
// known from notes as well: counted twice, engines half full look full, and callers are refused for peerSilence.
func (st *State) needless(nt *Note) bool {
	if isSurvey(nt.From) {
		return st.up() > nt.Up+together.Milliseconds() || st.olderHeard()
	}
	if nt.Up > st.up()+together.Milliseconds() {
		st.dropSurveys()
	}
	return false
}

func isSurvey(from string) bool { return strings.HasPrefix(from, surveyName) }

func (st *State) dropSurveys() {
	for from, pr := range st.peers {
		if isSurvey(from) {
			st.dropPeer(from, pr)
		}
	}
}

// surveyed books an engine's load and tells the others of it.
func (st *State) surveyed(ev Surveyed) {
	rep, ok := st.replicas[ev.Replica]
	if !ok {
		return
	}
	unknown := min(ev.Running, maxSurveyed) - rep.running()
	if unknown <= 0 {
		return
	}
	nt := Note{From: surveyName + ev.Replica, Run: st.Options.Run, Up: st.up(), Whole: true}
	for id := range unknown {
		nt.Kept = append(nt.Kept, JobID(id))
		nt.Jobs = append(nt.Jobs, Job{ID: JobID(id), Replicas: []string{ev.Replica}, Prompt: max(0, ev.Used) / int64(ev.Running), Begun: true})
	}
	st.heard(nt)
	st.emit(Tell{Note: nt, To: st.users(st.audience(rep))})
}

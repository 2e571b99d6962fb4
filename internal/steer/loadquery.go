package steer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Load queries after a restart of all instances. If all instances fail at once, the engines go on generating answers for
// the dead ones. Restarted instances that took the engines for idle would overload them just when the callers of the last
// seconds all retry. So if no longer-running instance is known, one of those that started together queries the engines for
// their load once and informs the others. Each engine is queried by the first by name of the known instances that use it.
// Where an instance has survived, its notes contain the whole load.

const (
	// loadQueryDelay is how long an instance waits for notes of others before it queries.
	loadQueryDelay = 120 * time.Millisecond
	// sameStartTolerance is the largest difference in uptime of instances that count as started together.
	sameStartTolerance = 1500 * time.Millisecond
	// loadReportPrefix begins the name of the pseudo-instance under which an engine's reported load is booked. It sends nothing
	// more, so it is dropped after peerTimeout. By then most answers for dead instances have ended.
	loadReportPrefix = "survey/"
	// maxReportedRequests bounds the requests that are booked from one report.
	maxReportedRequests = 256
)

// queryLoad queries the engines for their load, once, if no longer-running instance is known after loadQueryDelay. Engines
// are left out whose announcements hold load queries back.
func (st *State) queryLoad() {
	if st.loadQueryDone || len(st.replicas) == 0 {
		return
	}
	if st.loadQueryAt.IsZero() {
		st.loadQueryAt = st.now.Add(loadQueryDelay)
	}
	if st.now.Before(st.loadQueryAt) {
		return
	}
	st.loadQueryDone = true
	if st.hasOlderPeer() {
		return
	}
	var engines []Replica
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		svc := st.services[name]
		if svc.engine == nil {
			continue
		}
		for _, rep := range svc.replicas {
			if rep.blockedBy(notice.LoadQuery, st.now) == notice.None && st.queriesLoad(svc, rep) {
				engines = append(engines, rep.Replica)
			}
		}
	}
	if len(engines) > 0 {
		st.emit(LogLine{Message: "no older instance heard; engines asked for their load"})
		st.emit(QueryLoad{Replicas: engines})
	}
}

// hasOlderPeer reports whether a longer-running instance is known. Its notes contain the load that it has sent.
func (st *State) hasOlderPeer() bool {
	for _, pr := range st.peers {
		if pr.uptimeMs > st.uptimeMs()+sameStartTolerance.Milliseconds() {
			return true
		}
	}
	return false
}

// isRedundantReport reports whether the note must be ignored: it is a load report, and a longer-running instance, this one
// or a peer, has announced the same load. Counted twice, half-full engines would look full and callers would be refused for
// peerTimeout. A note from a longer-running peer also drops the load reports booked so far.
func (st *State) isRedundantReport(nt *Note) bool {
	if isLoadReport(nt.From) {
		return st.uptimeMs() > nt.UptimeMs+sameStartTolerance.Milliseconds() || st.hasOlderPeer()
	}
	if nt.UptimeMs > st.uptimeMs()+sameStartTolerance.Milliseconds() {
		st.dropLoadReports()
	}
	return false
}

// isLoadReport reports whether a note's sender is the pseudo-instance of a load report.
func isLoadReport(from string) bool { return strings.HasPrefix(from, loadReportPrefix) }

// dropLoadReports removes the load booked from all load reports.
func (st *State) dropLoadReports() {
	for _, from := range slices.Sorted(maps.Keys(st.peers)) {
		if isLoadReport(from) {
			st.dropPeer(from, st.peers[from])
		}
	}
}

// loadReported books the part of an engine's load that is not known from notes and announces it to the other instances. Each
// such request gets an equal share of the reported memory.
func (st *State) loadReported(ev LoadReported) {
	rep, ok := st.replicas[ev.Replica]
	if !ok {
		return
	}
	unknown := min(ev.Running, maxReportedRequests) - rep.running()
	if unknown <= 0 {
		return
	}
	nt := Note{From: loadReportPrefix + ev.Replica, Run: st.Options.Run, UptimeMs: st.uptimeMs(), Full: true}
	for id := range unknown {
		nt.OpenJobs = append(nt.OpenJobs, JobID(id))
		nt.Jobs = append(nt.Jobs, Job{ID: JobID(id), Replicas: []string{ev.Replica}, Prompt: max(0, ev.Used) / int64(ev.Running), Begun: true})
	}
	st.receiveNote(nt)
	st.emit(SendNote{Note: nt, To: st.usersUnlessAll(st.audience(rep))})
}

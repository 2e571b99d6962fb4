package steer

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
)

// Reports of failing replicas. An instance reports a replica that it does not reach, which spares the others a failed attempt. The report is wrong if
// that instance has lost its own path.

const (
	// lifeFreshness is how long an answer of a replica counts for more than another instance's report that it fails.
	lifeFreshness = 500 * time.Millisecond
	// reportWindow is the time in which the reports of one instance are counted.
	reportWindow = 5 * time.Second
	// minDoubtfulReports is the number of replicas from which the reports of an instance may be due to its own path.
	minDoubtfulReports = 3
)

// reported applies another instance's report that the replica fails, unless this instance has just heard from the replica or the
// reporter seems to have lost its path.
func (st *State) reported(pr *peer, reporter string, rep *replica) {
	if pr.reports == nil {
		pr.reports = map[string]time.Time{}
	}
	pr.reports[rep.Name] = st.now
	svc := st.serviceOf(rep.Service)
	if st.fleet.Lost(st.now, reporter, svc.name) {
		return
	}
	count := 0
	for _, other := range st.candidates(svc) {
		if at, ok := pr.reports[other.Name]; ok && st.now.Sub(at) < reportWindow {
			count++
		}
	}
	if count >= minDoubtfulReports && 2*count >= len(st.candidates(svc)) {
		st.distrust(svc, reporter)
		return
	}
	if st.now.Sub(rep.heardAt) < lifeFreshness {
		return
	}
	st.markDownByReport(rep, reporter)
	st.updateDomains(svc)
	if st.drain == nil {
		st.probe(svc, svc.path.Reported(st.now, st.random, rep.Name, reporter))
	}
}

// distrust makes the replicas usable again that are avoided only because the instance reported them.
func (st *State) distrust(svc *service, reporter string) {
	svc.path.Distrust(reporter)
	for _, rep := range svc.replicas {
		if rep.downReporter == reporter && rep.downCause == notice.Failing && st.now.Before(rep.downUntil) {
			rep.succeeded()
			st.dropSuspectedRestart(rep)
			st.emit(LogLine{Message: "report ignored: its sender seems cut off", Replica: rep.Name, Reporter: reporter})
		}
	}
	st.dispatch()
}

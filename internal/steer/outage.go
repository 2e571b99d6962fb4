package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/paths"
)

// Failure domains that are down. Load pattern: the replicas of one failure domain, or of all but one, respond to no instance for seconds.
// Package paths infers this from this instance's connections and from the reports of others. While it lasts, the replicas of the failure
// domain count as failing and only probes are sent there, so that the number of connections depends on the number of instances and not on
// that of requests.

const (
	// outageLease is how long replicas of a failure domain that is down are avoided after the last failed probe. An outage ends by it only
	// if no probes are sent, such as while the path is lost.
	outageLease = 2 * time.Second
	// outageProbeTime is the minimum time until a replica whose failure domain is down can be used again: the interval of the probes.
	outageProbeTime = 400 * time.Millisecond
	// lossLogInterval is the minimum interval between the log lines of one service that state why failures are not attributed to the path.
	lossLogInterval = 5 * time.Second
)

// updateDomains sets in the service's path the failure domains of the replicas that requests may be sent to.
func (st *State) updateDomains(svc *service) {
	if svc.domainsKnown {
		return
	}
	svc.domainsKnown = true
	domains := make(map[string]string, len(svc.replicas))
	for _, rep := range svc.replicas {
		if !rep.Leaving && !rep.evacuated {
			domains[rep.Name] = rep.FailureDomain
		}
	}
	svc.path.SetDomains(domains)
	st.reviewOutages(svc)
}

// reviewOutages updates the replicas after changes in which failure domains count as down, and sends the probes that are due.
func (st *State) reviewOutages(svc *service) {
	began, ended := svc.path.OutageChanges()
	for _, domain := range began {
		st.emit(LogLine{Message: "failure domain down", Service: svc.name, FailureDomain: domain, Attempt: svc.path.OutageFailures(domain)})
	}
	for _, domain := range ended {
		st.emit(LogLine{Message: "failure domain up", Service: svc.name, FailureDomain: domain})
		st.endOutage(svc, domain)
	}
	svc.downDomains = svc.path.DownDomains()
	if len(svc.downDomains) == 0 {
		return
	}
	if !svc.path.Lost() {
		for _, rep := range svc.replicas {
			if svc.path.Down(rep.Name) {
				rep.outageUntil = st.now.Add(outageLease)
			}
		}
	}
	if st.drain == nil {
		st.probe(svc, svc.path.OutageProbes(st.now, st.random))
	}
}

// failedElsewhere records that another instance does not reach the replica or avoids it, while the path of this one is lost. It prolongs
// the outage of the replica's failure domain, if that is down, by outageLease.
func (st *State) failedElsewhere(rep *replica) {
	svc := st.serviceOf(rep.Service)
	svc.path.FailedElsewhere(st.now, rep.Name)
	st.reviewOutages(svc)
	if !slices.Contains(svc.downDomains, rep.FailureDomain) {
		return
	}
	for _, other := range svc.replicas {
		if other.FailureDomain == rep.FailureDomain {
			other.outageUntil = st.now.Add(outageLease)
		}
	}
}

// servedElsewhere records that the replica answered through another instance.
func (st *State) servedElsewhere(rep *replica) {
	svc := st.serviceOf(rep.Service)
	if slices.Contains(svc.downDomains, rep.FailureDomain) {
		svc.path.ServedElsewhere(rep.Name)
		st.reviewOutages(svc)
	}
}

// endOutage makes the replicas of the failure domain usable again, including those that failed during the outage.
func (st *State) endOutage(svc *service, domain string) {
	for _, rep := range svc.replicas {
		if rep.FailureDomain == domain {
			st.endFailure(rep)
		}
	}
}

// endFailure makes a replica usable again after it was reached.
func (st *State) endFailure(rep *replica) {
	rep.outageUntil = time.Time{}
	if rep.downCause == notice.Failing && st.now.Before(rep.downUntil) {
		rep.succeeded()
	}
}

// DownDomains returns how many failure domains count as down, summed over the services.
func (st *State) DownDomains() int {
	count := 0
	for _, svc := range st.services {
		count += len(svc.downDomains)
	}
	return count
}

// reviewAllOutages calls reviewOutages for each service that has failure domains that are down.
func (st *State) reviewAllOutages() {
	for _, svc := range st.services {
		if len(svc.downDomains) > 0 {
			st.updateDomains(svc)
			st.reviewOutages(svc)
		}
	}
}

// logNoLoss logs why failures of several replicas are not attributed to the path.
func (st *State) logNoLoss(svc *service) {
	judged := svc.path.Judged
	if judged != paths.DomainsLeft && judged != paths.ReportedByOthers {
		return
	}
	if !svc.noLossLoggedAt.IsZero() && st.now.Sub(svc.noLossLoggedAt) < lossLogInterval {
		return
	}
	svc.noLossLoggedAt = st.now
	st.emit(LogLine{Message: "failures not put down to the path", Service: svc.name, Cause: judged.String(), Attempt: svc.path.Failures(), FailureDomains: svc.path.DownDomains()})
}

// avoidsUnreached reports whether the replica must not be chosen: this instance does not reach it, no other instance has a path, and other
// replicas are reached. A request placed there would be refused although those can serve it.
func (st *State) avoidsUnreached(svc *service, rep *replica) bool {
	return svc.lostByAll && svc.path.ReachesSome() && !svc.path.Direct(rep.Name)
}

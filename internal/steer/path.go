package steer

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/paths"
)

// Lost paths. Load pattern: some instances lose their links to all replicas of a service for seconds, while callers, the list's store
// and the other instances reach them. To such an instance every replica seems to fail. It must not conclude that they do: it sends
// through another instance, and does not tell the others to avoid replicas that they reach. Package paths decides when a
// path is lost.

// detourPause is how long an instance that did not pass a message on is not asked again for the same service.
const detourPause = time.Second

// PathObserved reports whether a new connection of this instance to a replica succeeded.
type PathObserved struct {
	Replica string
	Reached bool
}

// DetourFailed reports that another instance did not pass a message on to a replica of the service.
type DetourFailed struct {
	Instance string
	Service  string
	// Replica is the replica to which that instance sends nothing now, empty if it passes nothing on to any replica of the service.
	Replica string
	// Reason is what that instance stated, or why it was not reached, for the log.
	Reason string
}

// ProbePaths requests new connections to the replicas. A PathObserved follows for each.
type ProbePaths struct{ Replicas []Replica }

func (PathObserved) isEvent() {}
func (DetourFailed) isEvent() {}
func (ProbePaths) isEffect()  {}

// detourKey identifies an instance through which messages to a service go.
type detourKey struct{ instance, service string }

// pathObserved applies what a new connection shows of the path to the replica's service.
func (st *State) pathObserved(ev PathObserved) {
	rep, ok := st.replicas[ev.Replica]
	if !ok || rep.gone {
		return
	}
	if !ev.Reached {
		st.unreached(rep)
		return
	}
	svc := st.serviceOf(rep.Service)
	lostAt := svc.path.LostAt
	if svc.path.Reached(st.now, rep.Name, st.candidateNames(svc)) {
		st.logRegained(svc, lostAt)
	}
	st.probePaths(svc)
	st.dispatch()
}

func (st *State) logRegained(svc *service, lostAt time.Time) {
	st.emit(LogLine{Message: "path regained", Service: svc.name, Age: st.now.Sub(lostAt)})
}

// unreachedByOthers records that another instance did not reach the replica either.
func (st *State) unreachedByOthers(rep *replica, via string) {
	st.failedBehindDetour(rep, "", via)
	svc := st.serviceOf(rep.Service)
	lostAt := svc.path.LostAt
	if svc.path.Dead(st.now, rep.Name, st.candidateNames(svc)) {
		st.logRegained(svc, lostAt)
	}
}

// unreached records that a new connection of this instance to the replica failed. It reports whether that is put down to the
// instance's own path, which it is from the failure that makes the path count as lost.
func (st *State) unreached(rep *replica) bool {
	svc := st.serviceOf(rep.Service)
	if !svc.path.Failed(st.now, rep.Name, len(st.candidates(svc)), st.otherPathLost(svc)) {
		return svc.path.Lost()
	}
	if st.detourPeer(svc) == "" {
		svc.path.GiveUp(st.now)
		return false
	}
	st.emit(LogLine{Message: "path lost", Service: svc.name, Replica: rep.Name, Attempt: svc.path.Failures()})
	for _, other := range svc.replicas {
		if other.downCause == notice.Failing && other.downReporter == "" {
			other.succeeded()
		}
	}
	st.probePaths(svc)
	return true
}

// otherPathLost reports whether the path to another service is lost.
func (st *State) otherPathLost(svc *service) bool {
	for _, other := range st.services {
		if other != svc && other.path.Lost() {
			return true
		}
	}
	return false
}

// probePaths probes the service's replicas if its path is lost and a probe is due. An instance that shuts down probes nothing, since it
// waits for the probes under way before it ends.
func (st *State) probePaths(svc *service) {
	if svc.path.Lost() && st.drain == nil {
		st.probe(svc, svc.path.Probes(st.now, st.candidateNames(svc)))
	}
}

// probeLostPaths does so for all services.
func (st *State) probeLostPaths() {
	for _, svc := range st.services {
		st.probePaths(svc)
	}
}

func (st *State) probe(svc *service, names []string) {
	var replicas []Replica
	for _, rep := range svc.replicas {
		if slices.Contains(names, rep.Name) {
			replicas = append(replicas, rep.Replica)
		}
	}
	if len(replicas) > 0 {
		st.emit(ProbePaths{Replicas: replicas})
	}
}

// candidateNames returns the names of the replicas that this instance uses.
func (st *State) candidateNames(svc *service) []string {
	var names []string
	for _, rep := range st.candidates(svc) {
		names = append(names, rep.Name)
	}
	return names
}

// via returns the instance through which a message to the replica goes, empty if it is sent directly. ok is false if the path is
// lost and no other instance can pass the message on, or may, since it is passed on for another instance already. A probe shows
// whether this instance reaches the replica, and so takes no detour.
func (st *State) via(target *Target, forPeer bool) (name string, ok bool) {
	svc, known := st.services[target.Replica.Service]
	if !known || target.Kind == notice.Probe || svc.path.Direct(target.Replica.Name) {
		return "", true
	}
	if forPeer {
		return "", false
	}
	if name = st.detourPeer(svc); name != "" {
		return name, true
	}
	st.giveUpPath(svc)
	return "", false
}

// giveUpPath concludes that the replicas of the service fail, since no other instance reaches them either.
func (st *State) giveUpPath(svc *service) {
	st.emit(LogLine{Message: "path lost by all instances", Service: svc.name, Age: st.now.Sub(svc.path.LostAt)})
	for _, rep := range svc.replicas {
		if !svc.path.Direct(rep.Name) {
			rep.failed(st.now, notice.Failing, "")
		}
	}
	svc.path.GiveUp(st.now)
}

// detourPeer returns an instance that may pass messages on to the replicas of the service, empty if there is none. One of the own failure
// domain is preferred, and otherwise the choice is random, which spreads the messages.
func (st *State) detourPeer(svc *service) string {
	var near, far []string
	for _, other := range st.others {
		if _, heard := st.peers[other.Name]; !heard && len(st.peers) > 0 {
			continue
		}
		if st.now.Before(st.detourPauses[detourKey{other.Name, svc.name}]) {
			continue
		}
		if other.FailureDomain == st.Options.FailureDomain {
			near = append(near, other.Name)
			continue
		}
		far = append(far, other.Name)
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[st.random.IntN(len(near))]
}

// detourFailed passes the instance, or the replica, over for a while.
func (st *State) detourFailed(ev DetourFailed) {
	if rep, ok := st.replicas[ev.Replica]; ok {
		st.failedBehindDetour(rep, ev.Instance, ev.Instance)
	} else {
		st.pauseDetours(ev.Instance, ev.Service)
	}
	st.emit(LogLine{Message: "detour failed", Replica: ev.Replica, Service: ev.Service, Via: ev.Instance, Invalid: ev.Reason})
}

// failedBehindDetour makes the replica unusable for a while because of what became of a message through the named instance.
func (st *State) failedBehindDetour(rep *replica, reporter, via string) {
	wasUsable := rep.usable(st.now)
	rep.failed(st.now, notice.Failing, reporter)
	if wasUsable {
		st.emit(LogLine{Message: "replica avoided", Replica: rep.Name, Attempt: rep.failures, Source: sourceDetour, Reporter: via})
	}
}

func (st *State) pauseDetours(instance, service string) {
	st.detourPauses[detourKey{instance, service}] = st.now.Add(detourPause)
}

// dropDetourPauses drops the pauses that are over.
func (st *State) dropDetourPauses() {
	for key, until := range st.detourPauses {
		if !st.now.Before(until) {
			delete(st.detourPauses, key)
		}
	}
}

// PathsInDoubt reports whether a new connection that succeeds would change anything.
func (st *State) PathsInDoubt() bool {
	for _, svc := range st.services {
		if svc.path.InDoubt() {
			return true
		}
	}
	return false
}

// LostPaths returns for how long each service to which this instance has lost its path has been unreachable.
func (st *State) LostPaths(now time.Time) map[string]time.Duration {
	lost := map[string]time.Duration{}
	for name, svc := range st.services {
		if svc.path.Lost() {
			lost[name] = now.Sub(svc.path.LostAt)
		}
	}
	return lost
}

// Witness returns another replica of the service, whose connection shows whether it is the named replica that does not accept any, or
// the path to all that is lost. It is the one that was heard last; ok is false if there is no other that has not died since.
func (st *State) Witness(name string) (witness Replica, ok bool) {
	rep, known := st.replicas[name]
	if !known {
		return Replica{}, false
	}
	var best *replica
	for _, other := range st.candidates(st.serviceOf(rep.Service)) {
		if other.Name == name || other.diedAt.After(other.heardAt) {
			continue
		}
		if best == nil || other.heardAt.After(best.heardAt) {
			best = other
		}
	}
	if best == nil {
		return Replica{}, false
	}
	return best.Replica, true
}

// Lookup returns the registered replica of the name and incarnation.
func (st *State) Lookup(name string, born int64) (Replica, bool) {
	rep, ok := st.replicas[name]
	if !ok || rep.gone || rep.Born != born {
		return Replica{}, false
	}
	return rep.Replica, true
}

// pathOf is the path to the replica's service.
func (st *State) pathOf(rep *replica) *paths.Path { return &st.serviceOf(rep.Service).path }

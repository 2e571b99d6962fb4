package steer

import (
	"maps"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/notice"
	"dandelionsail.example/dandelionsail/internal/paths"
)

// Lost paths. Load pattern: some instances, up to nearly all, lose their links to all replicas of a service for seconds, while callers, the
// list's store and the other instances reach them. To such an instance every replica seems to fail. It must not conclude that they do: it sends
// through another instance, and does not tell the others to avoid replicas that they reach. Package paths decides when a
// path is lost and through whom messages go. All notes of an instance name the services to which it has lost its path, so that nobody
// has to ask.

// PathObserved reports whether a new connection of this instance to a replica succeeded.
type PathObserved struct {
	Replica string
	Reached bool
}

// DetourFailed reports that another instance did not pass a message on to a replica of the service.
type DetourFailed struct {
	Instance string
	Service  string
	// Cause is why it did not.
	Cause DetourCause
	// Replica is the replica to which that instance sends nothing now if the Cause is DetourHeldBack.
	Replica string
	// Reason is what that instance stated, or why it was not reached, for the log.
	Reason string
}

// DetourCause is why another instance did not pass a message on.
type DetourCause int

// The causes.
const (
	// DetourUnreached means that the instance does not answer or leaves.
	DetourUnreached DetourCause = iota
	// DetourNoPath means that the instance has lost its path, too.
	DetourNoPath
	// DetourNoPathUnstated means the same at an instance of an earlier release, whose notes do not state it.
	DetourNoPathUnstated
	// DetourBusy means that the instance has too much under way.
	DetourBusy
	// DetourHeldBack means that the instance sends nothing to the replica now.
	DetourHeldBack
)

// ProbePaths requests new connections to the replicas. A PathObserved follows for each.
type ProbePaths struct{ Replicas []Replica }

func (PathObserved) isEvent() {}
func (DetourFailed) isEvent() {}
func (ProbePaths) isEffect()  {}

// pathObserved applies what a new connection shows of the path to the replica's service.
func (st *State) pathObserved(ev PathObserved) {
	rep, ok := st.replicas[ev.Replica]
	if !ok || rep.gone || rep.evacuated {
		return
	}
	if !ev.Reached {
		if !st.unreached(rep) {
			st.probeFurther(rep)
		}
		return
	}
	svc := st.serviceOf(rep.Service)
	st.updateDomains(svc)
	lostAt, wasDown := svc.path.LostAt, svc.path.Down(rep.Name)
	if svc.path.Reached(st.now, rep.Name, st.candidateNames(svc)) {
		st.regained(svc, lostAt)
	}
	if wasDown {
		st.endFailure(rep)
	}
	st.reviewOutages(svc)
	st.confirmFailures(svc, rep)
	st.probePaths(svc)
	st.dispatch()
}

// regained records that the path to the service is not lost any more.
func (st *State) regained(svc *service, lostAt time.Time) {
	svc.lostByAll = false
	st.emit(LogLine{Message: "path regained", Service: svc.name, Age: st.now.Sub(lostAt)})
	st.stateLostPaths()
}

// confirmFailures tells the others which replicas of the service fail, since a connection to another one has succeeded after they failed.
// While the path is lost nothing is concluded, since links may work again one after the other.
func (st *State) confirmFailures(svc *service, reached *replica) {
	if svc.path.Lost() {
		return
	}
	for _, rep := range svc.replicas {
		if rep.unconfirmed && rep != reached {
			rep.unconfirmed = false
			st.notifyOthers(rep, notice.Failing)
		}
	}
}

// probeWitness probes another replica of the service after a failure: only if that one is reached, the failure is the replica's.
func (st *State) probeWitness(rep *replica) {
	st.probeFurther(rep)
	svc := st.serviceOf(rep.Service)
	witness, ok := st.Witness(rep.Name)
	if ok && st.drain == nil && !svc.path.SeveralDomains() && svc.path.NeedsWitness(st.now, witness.Name) {
		st.emit(ProbePaths{Replicas: []Replica{witness}})
	}
}

// probeFurther probes other failure domains after a replica was not reached, to determine within a few probes whether its whole failure
// domain is down.
func (st *State) probeFurther(rep *replica) {
	svc := st.serviceOf(rep.Service)
	if st.drain != nil || svc.path.Down(rep.Name) {
		return
	}
	if names, ok := svc.path.Witnesses(st.now, st.random, rep.Name); ok {
		st.probe(svc, names)
	}
}

// unreachedByOthers records that another instance did not reach the replica either.
func (st *State) unreachedByOthers(rep *replica, via string) {
	st.failedBehindDetour(rep, "", via)
	st.suspectRestart(rep)
	if rep.evacuated {
		return
	}
	svc := st.serviceOf(rep.Service)
	lostAt := svc.path.LostAt
	if svc.path.Dead(st.now, rep.Name, st.candidateNames(svc)) {
		st.regained(svc, lostAt)
	}
}

// unreached records that a new connection of this instance to the replica failed. It reports whether that is put down to the
// instance's own path, which it is from the failure that makes the path count as lost.
func (st *State) unreached(rep *replica) bool {
	if rep.evacuated {
		// The operators may be about to switch it off.
		return false
	}
	svc := st.serviceOf(rep.Service)
	st.updateDomains(svc)
	lost := svc.path.Failed(st.now, rep.Name, len(st.candidates(svc)), st.otherPathLost(svc))
	st.reviewOutages(svc)
	if !lost {
		if !svc.path.Lost() {
			st.logNoLoss(svc)
		}
		st.stateLostPaths()
		return svc.path.Lost()
	}
	if len(st.others) == 0 {
		svc.path.GiveUp(st.now)
		return false
	}
	st.emit(LogLine{Message: "path lost", Service: svc.name, Replica: rep.Name, Attempt: svc.path.Failures()})
	for _, other := range svc.replicas {
		if other.downCause == notice.Failing && !svc.path.Down(other.Name) && (other.downReporter == "" || st.fleet.Lost(st.now, other.downReporter, svc.name)) {
			other.succeeded()
			st.dropSuspectedRestart(other)
		}
	}
	st.probePaths(svc)
	return true
}

// stateLostPaths tells all others at once which paths are lost if that has changed.
func (st *State) stateLostPaths() {
	var names []string
	for name, svc := range st.services {
		if svc.path.Confirmed() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if slices.Equal(names, st.statedLostPaths) {
		return
	}
	another := len(names) > len(st.statedLostPaths)
	st.statedLostPaths = names
	st.emit(SendNote{Note: st.note(Note{})})
	if another {
		st.checkPaths()
	}
}

// checkPaths finds out whether more paths are lost without waiting until requests fail.
func (st *State) checkPaths() {
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		st.checkPath(st.services[name])
	}
}

func (st *State) checkPath(svc *service) {
	st.updateDomains(svc)
	if st.drain == nil {
		st.probe(svc, svc.path.Check(st.now, st.random, st.candidateNames(svc)))
	}
}

// receiveLostPaths applies what another instance states of its paths. If one is lost there that is not lost here, this instance finds out
// whether it has lost its own without waiting until a request fails. What the sender reported of the service's replicas does not
// count any more.
func (st *State) receiveLostPaths(nt *Note) {
	for _, name := range st.fleet.Stated(st.now, nt.From, nt.LostPaths) {
		svc, ok := st.services[name]
		if !ok {
			continue
		}
		st.distrust(svc, nt.From)
		st.checkPath(svc)
	}
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

// via returns the instance through which a message to the replica goes, none if it is sent directly. ok is false if the path is
// lost and no other instance can pass the message on, or may, since it is passed on for another instance already. A probe shows
// whether this instance reaches the replica, and so takes no detour.
func (st *State) via(target *Target, forPeer bool) (choice paths.Choice, ok bool) {
	rep, known := st.replicas[target.Replica.Name]
	if !known || target.Kind == notice.Probe {
		return paths.Choice{}, true
	}
	if forPeer {
		return paths.Choice{}, st.pathOf(rep).Direct(rep.Name)
	}
	return st.wayTo(rep)
}

// wayTo returns the instance through which messages to the replica go now, none if they are sent directly. ok is false if there is no way.
func (st *State) wayTo(rep *replica) (choice paths.Choice, ok bool) {
	svc := st.serviceOf(rep.Service)
	if svc.path.Direct(rep.Name) {
		return paths.Choice{}, true
	}
	choice = st.fleet.Choose(st.now, st.random, svc.name, st.pathPeers())
	lostByAll := choice == paths.Choice{}
	if lostByAll && !svc.lostByAll {
		st.emit(LogLine{Message: "path lost by all instances", Service: svc.name, Age: st.now.Sub(svc.path.LostAt)})
	}
	svc.lostByAll = lostByAll
	return choice, choice.Peer != ""
}

// pathPeers returns the other instances as package paths takes them.
func (st *State) pathPeers() []paths.Peer {
	peers := make([]paths.Peer, 0, len(st.others))
	for _, other := range st.others {
		_, alive := st.peers[other.Name]
		peers = append(peers, paths.Peer{Name: other.Name, Near: other.FailureDomain == st.Options.FailureDomain, Alive: alive})
	}
	return peers
}

// noPathRetryAfter is how long a caller should wait whose request no instance can send. It is spread so that the callers do not return
// together.
func (st *State) noPathRetryAfter() time.Duration {
	return busyRetryAfter + time.Duration(st.random.Int64N(int64(busyRetryAfter)))
}

// pathInDoubt reports whether the path to the service may be lost.
func (st *State) pathInDoubt(service string) bool { return st.serviceOf(service).path.InDoubt() }

// detourFailed passes the instance, or the replica, over for a while.
func (st *State) detourFailed(ev DetourFailed) {
	switch ev.Cause {
	case DetourHeldBack:
		if rep, ok := st.replicas[ev.Replica]; ok {
			st.failedBehindDetour(rep, ev.Instance, ev.Instance)
		}
	case DetourNoPath, DetourNoPathUnstated:
		st.fleet.Refused(st.now, ev.Instance, ev.Service, ev.Cause == DetourNoPath)
	case DetourBusy:
		st.fleet.Busy(st.now, ev.Instance, ev.Service)
	case DetourUnreached:
		st.fleet.Unreached(st.now, ev.Instance, ev.Service)
	}
	st.emit(LogLine{Message: "detour failed", Replica: ev.Replica, Service: ev.Service, Via: ev.Instance, Cause: ev.Reason})
}

// failedBehindDetour makes the replica unusable for a while because of what became of a message through the named instance.
func (st *State) failedBehindDetour(rep *replica, reporter, via string) {
	wasUsable := rep.usable(st.now)
	rep.failed(st.now, notice.Failing, reporter)
	if wasUsable {
		st.emit(LogLine{Message: "replica avoided", Replica: rep.Name, Attempt: rep.failures, Source: sourceDetour, Reporter: via})
	}
	st.failedElsewhere(rep)
}

// PathsInDoubt reports whether a new connection that succeeds would change anything.
func (st *State) PathsInDoubt() bool {
	for _, svc := range st.services {
		if svc.path.Observed() {
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

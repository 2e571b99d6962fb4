package core

import (
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// Quarantine of requests that crash their upstreams. A death is such a crash. Content with deaths, but fewer than
// deathsToQuarantine, is suspect.
const (
	// deathsToQuarantine is the number of upstreams that the same content must crash to be quarantined.
	deathsToQuarantine = 2
	// quarantineTTL is the time for which a quarantined digest is refused.
	quarantineTTL = 30 * time.Minute
	// deathTTL is the time for which content is suspect after a single crash.
	deathTTL = 10 * time.Minute
	// sameCrash is the time within which deaths of one upstream are the same crash. It is longer than instances differ in
	// noticing a crash, and shorter than an engine takes to start again.
	sameCrash = 2 * time.Second
	// maxQuarantineEntries is the maximum number of contents whose deaths are counted, and likewise of entries of deadSince.
	maxQuarantineEntries = 10000
)

var deathRules = deaths.Rules{
	Threshold: deathsToQuarantine, SuspectTime: deathTTL, QuarantineTime: quarantineTTL, SameCrash: sameCrash, MaxContents: maxQuarantineEntries,
}

// quarantine records the digests of the requests that were in flight on upstreams that broke off. Crashes are counted by
// content, since a caller resends a request under a new ID.
type quarantine struct {
	// deaths holds the deaths that this instance and its peers observed.
	deaths *deaths.Table[event.Digest]
	// causes finds what requests that crash upstreams have in common.
	causes *cause.Table
	// held holds the causes for which requests are refused, by key, as they were logged.
	held map[uint64]bool
	// observed is the number of deaths that this instance observed.
	observed uint64
	// deadSince holds the upstreams that crashed and have shown no sign of life since, with the time of the crash.
	deadSince map[string]time.Time
	// standstills counts how often the instance has stood still.
	standstills int
	// catchUpUntil is until when requests wait for what the peers know, after the instance has stood still.
	catchUpUntil time.Time
}

func newQuarantine() quarantine {
	return quarantine{
		deaths: deaths.New[event.Digest](deathRules), causes: cause.New(causeRules), held: map[uint64]bool{}, deadSince: map[string]time.Time{},
	}
}

// checkQuarantine returns the refusal of a request whose content, or something that it shares with others, has crashed upstreams, or nil.
func (st *State) checkQuarantine(ev *event.Arrived) *effect.Refusal {
	if refusal := st.checkFeatures(ev); refusal != nil {
		return refusal
	}
	vd := st.quarantine.deaths.Judge(st.now, ev.Digest)
	if !vd.Quarantined {
		return nil
	}
	return &effect.Refusal{
		Reason:     effect.ReasonQuarantine,
		RunState:   effect.NotRun,
		RetryAfter: vd.Until.Sub(st.now),
		Remedy:     "this content took upstreams down before; change it or tell the operators",
	}
}

// countDeath records that an upstream crashed while running the request, and returns a refusal once deathsToQuarantine is
// reached. An upstream that broke off and accepts new connections has not crashed: idle timeouts also close connections.
func (st *State) countDeath(req *Request, ev event.AttemptEnded) *effect.Refusal {
	if ev.Alive || ev.Result != event.ResultFailed && ev.Result != event.ResultBroken {
		return nil
	}
	if st.wasAlreadyDead(req, ev.Upstream) {
		return nil
	}
	req.Suspect = true
	death := st.observeDeath(ev.Upstream)
	st.quarantine.deaths.Add(st.now, req.Digest, death)
	suspicions := st.suspectFeatures(req, ev, death)
	vd := st.quarantine.deaths.Judge(st.now, req.Digest)
	// A peer may have missed the earlier deaths of this content.
	report := quarantineReport(req.Digest, vd, st.quarantine.deaths.Deaths(req.Digest))
	report.Suspicions = suspicions
	st.emit(effect.AnnounceQuarantine{Quarantined: report})
	if !vd.Quarantined && st.checkFeatures(&req.Arrived) == nil {
		return nil
	}
	st.emit(effect.CountAndLog{Counter: "Requests.Quarantined", LogMessage: "request quarantined: upstreams broke off while running it", Subject: req.Organisation})
	return &effect.Refusal{
		Reason:   effect.ReasonQuarantine,
		RunState: effect.HasRun,
		Remedy:   "it ran and took its upstream down; change it or tell the operators",
	}
}

// observeDeath returns the death of the upstream that this instance observes now.
func (st *State) observeDeath(upstream string) deaths.Death {
	st.quarantine.observed++
	id := st.Options.Name + "/" + strconv.FormatUint(st.Options.Incarnation, 10) + "/" + strconv.FormatUint(st.quarantine.observed, 10)
	return deaths.Death{ID: xxhash.Sum64String(id), Upstream: xxhash.Sum64String(upstream), At: st.now}
}

func quarantineReport(digest event.Digest, vd deaths.Verdict, observed []deaths.Death) event.QuarantineReported {
	return event.QuarantineReported{Digest: digest, Deaths: vd.Crashes, Until: vd.Until, Observed: observed}
}

// wasAlreadyDead reports whether the upstream had crashed before the attempt was sent and has shown no sign of life since,
// so that the attempt did not crash it. Where something in between accepts connections for a dead process, each request
// sent there looks like a crash, and two dead replicas would quarantine everything tried on both. An upstream that was not
// known to be dead is recorded as crashed now.
func (st *State) wasAlreadyDead(req *Request, upstream string) bool {
	since, dead := st.quarantine.deadSince[upstream]
	if dead {
		return !req.SentAt.Before(since)
	}
	if len(st.quarantine.deadSince) >= maxQuarantineEntries {
		clear(st.quarantine.deadSince)
	}
	st.quarantine.deadSince[upstream] = st.now
	return false
}

// markAlive records that the upstream was alive at the given time.
func (st *State) markAlive(upstream string, at time.Time) {
	if since, dead := st.quarantine.deadSince[upstream]; dead && at.After(since) {
		delete(st.quarantine.deadSince, upstream)
	}
}

// clearSuspicion clears suspect content that an upstream has run to its end. Quarantined content stays quarantined.
// Everything in flight on a replica that crashes becomes suspect, although at most one of these requests crashed it.
func (st *State) clearSuspicion(req *Request) {
	st.quarantine.deaths.Clear(st.now, req.Digest)
	st.clearFeatures(req)
}

// isSuspect reports whether an upstream has crashed while running the request's content.
func (st *State) isSuspect(req *Request) bool {
	return st.quarantine.deaths.Judge(st.now, req.Digest).Crashes > 0
}

// quarantineRefusal returns the refusal of a request that was admitted and has been quarantined since, or nil.
func (st *State) quarantineRefusal(req *Request) *effect.Refusal {
	refusal := st.checkQuarantine(&req.Arrived)
	if refusal != nil && req.MayHaveRun {
		refusal.RunState = effect.HasRun
	}
	return refusal
}

// suspectPause is the pause after which a request is tried again that was put off while another one with its content runs.
const suspectPause = 50 * time.Millisecond

// heldByDeaths ends the queued request if its content is in quarantine, or puts it off if the content is suspect and runs
// already. It reports whether it did either. Of suspect content, one request runs at a time and shows whether it crashes what
// runs it: of several copies each would otherwise take an upstream down before the first crash is seen.
func (st *State) heldByDeaths(req *Request) bool {
	if refusal := st.quarantineRefusal(req); refusal != nil {
		st.finish(req, refusal)
		return true
	}
	if !st.heldByCause(req) && (!st.isSuspect(req) || !st.runsElsewhere(req)) {
		return false
	}
	st.Admit.Remove(req.Service, req.ID)
	req.NotBefore = st.now.Add(suspectPause)
	st.pushToQueue(req)
	return true
}

// runsElsewhere reports whether another request with the same content is running.
func (st *State) runsElsewhere(req *Request) bool {
	for _, other := range st.Requests {
		if other != req && other.Phase == PhaseRunning && other.Digest == req.Digest {
			return true
		}
	}
	return false
}

// suspectReplicas returns the names of the replicas that run suspect requests of the service. Another suspect goes to a
// different replica if there is one: with two on one replica, one crash would quarantine both, although one is innocent.
func (st *State) suspectReplicas(req *Request) []string {
	var names []string
	for _, other := range st.Requests {
		if other != req && other.Phase == PhaseRunning && other.Suspect && other.Service == req.Service {
			names = append(names, other.Upstreams[len(other.Upstreams)-1].Name)
		}
	}
	return names
}

// sendQuarantineToNew sends the entries to the instances that are not in the present list: they have just started, or were cut
// off and missed announcements.
func (st *State) sendQuarantineToNew(instances []event.Instance) {
	var entries []event.QuarantineReported
	for _, inst := range instances {
		isKnown := slices.ContainsFunc(st.Instances, func(known event.Instance) bool { return known.Name == inst.Name })
		if isKnown || inst.Name == st.Options.Name || inst.Peer == "" {
			continue
		}
		if entries == nil {
			entries = st.SuspectDigests()
		}
		if len(entries) > 0 {
			st.emit(effect.SendQuarantine{To: inst.Peer, Entries: entries})
		}
	}
}

// maxCatchUp is how long requests wait at most for what the peers know after the instance has stood still.
const maxCatchUp = 500 * time.Millisecond

// handleStoodStill requests the quarantine entries of the peers. Their announcements may be waiting behind a caller's request,
// which would then be sent although its content is in quarantine.
func (st *State) handleStoodStill(ev event.StoodStill) {
	st.emit(effect.CountAndLog{Counter: "Instance.StoodStill", LogMessage: "instance stood still", Subject: ev.Gap.String()})
	st.quarantine.standstills++
	st.quarantine.catchUpUntil = st.now.Add(maxCatchUp)
	st.emit(effect.RequestQuarantine{Standstill: st.quarantine.standstills})
}

// handleQuarantineReceived ends the wait after a standstill. The answer to a request from before a further standstill does not:
// deaths may have been announced since.
func (st *State) handleQuarantineReceived(ev event.QuarantineReceived) {
	if ev.Standstill == st.quarantine.standstills {
		st.quarantine.catchUpUntil = time.Time{}
		st.dispatchAll()
	}
}

// catchingUp reports whether requests wait for what the peers know.
func (st *State) catchingUp() bool { return st.now.Before(st.quarantine.catchUpUntil) }

// handleQuarantineReported adds the deaths that a peer reports.
func (st *State) handleQuarantineReported(ev event.QuarantineReported) {
	st.receiveSuspicions(ev)
	observed := ev.Observed
	if len(observed) == 0 && ev.Deaths > 0 {
		observed = countedDeaths(ev)
	}
	for _, death := range observed {
		st.quarantine.deaths.Add(st.now, ev.Digest, death)
	}
}

// countedDeaths returns as many deaths as a peer of an earlier release counts, which does not say which ones they are. Their
// time is the one that makes the entry expire when that peer says.
func countedDeaths(ev event.QuarantineReported) []deaths.Death {
	at := ev.Until.Add(-deathTTL)
	if ev.Deaths >= deathsToQuarantine {
		at = ev.Until.Add(-quarantineTTL)
	}
	var counted []deaths.Death
	for i := range min(ev.Deaths, deathsToQuarantine) {
		id := xxhash.Sum64String(hex.EncodeToString(ev.Digest[:]) + "/" + strconv.Itoa(i))
		counted = append(counted, deaths.Death{ID: id, Upstream: id, At: at})
	}
	return counted
}

// QuarantinedDigests returns the entries of the digests that are refused now.
func (st *State) QuarantinedDigests() []event.QuarantineReported {
	return st.quarantineReports(func(vd deaths.Verdict) bool { return vd.Quarantined })
}

// SuspectDigests returns the entries of the digests that are suspect or quarantined now, and one with what is known of features.
func (st *State) SuspectDigests() []event.QuarantineReported {
	reports := st.quarantineReports(func(deaths.Verdict) bool { return true })
	if !st.quarantine.causes.Empty() {
		reports = append(reports, event.QuarantineReported{Suspicions: st.quarantine.causes.Deaths()})
	}
	return reports
}

func (st *State) quarantineReports(selected func(vd deaths.Verdict) bool) []event.QuarantineReported {
	var reports []event.QuarantineReported
	for digest, vd := range st.quarantine.deaths.Verdicts(st.now) {
		if selected(vd) {
			reports = append(reports, quarantineReport(digest, vd, st.quarantine.deaths.Deaths(digest)))
		}
	}
	return reports
}

package core

import (
	"time"

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
	// maxQuarantineEntries is the maximum number of entries of byDigest, and likewise of deadSince.
	maxQuarantineEntries = 10000
)

// quarantine records the digests of the requests that were in flight on upstreams that broke off. Crashes are counted by
// content, since a caller resends a request under a new ID.
type quarantine struct {
	// byDigest holds the suspect and the quarantined digests. Expired entries stay until the room is needed.
	byDigest map[event.Digest]event.QuarantineReported
	// deadSince holds the upstreams that crashed and have shown no sign of life since, with the time of the crash.
	deadSince map[string]time.Time
}

func newQuarantine() quarantine {
	return quarantine{byDigest: map[event.Digest]event.QuarantineReported{}, deadSince: map[string]time.Time{}}
}

func (st *State) checkQuarantine(digest event.Digest) *effect.Refusal {
	entry, ok := st.quarantine.byDigest[digest]
	if !ok || entry.Deaths < deathsToQuarantine || !st.now.Before(entry.Until) {
		return nil
	}
	return &effect.Refusal{
		Reason:     effect.ReasonQuarantine,
		RunState:   effect.NotRun,
		RetryAfter: entry.Until.Sub(st.now),
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
	entry := st.quarantine.byDigest[req.Digest]
	entry.Digest = req.Digest
	entry.Deaths++
	entry.Until = st.now.Add(deathTTL)
	if entry.Deaths >= deathsToQuarantine {
		entry.Until = st.now.Add(quarantineTTL)
	}
	st.storeEntry(entry)
	st.emit(effect.AnnounceQuarantine{Quarantined: entry})
	if entry.Deaths < deathsToQuarantine {
		return nil
	}
	st.emit(effect.CountAndLog{Counter: "Requests.Quarantined", LogMessage: "request quarantined: upstreams broke off while running it", Subject: req.Organisation})
	return &effect.Refusal{
		Reason:   effect.ReasonQuarantine,
		RunState: effect.HasRun,
		Remedy:   "it ran and took its upstream down; change it or tell the operators",
	}
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
	entry, ok := st.quarantine.byDigest[req.Digest]
	if ok && entry.Deaths < deathsToQuarantine {
		delete(st.quarantine.byDigest, req.Digest)
	}
}

// isSuspect reports whether the request's content has an unexpired entry: an upstream has crashed while running it.
func (st *State) isSuspect(req *Request) bool {
	entry, ok := st.quarantine.byDigest[req.Digest]
	return ok && st.now.Before(entry.Until)
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

func (st *State) handleQuarantineReported(ev event.QuarantineReported) {
	known := st.quarantine.byDigest[ev.Digest]
	if ev.Deaths > known.Deaths || ev.Until.After(known.Until) {
		st.storeEntry(ev)
	}
}

func (st *State) storeEntry(entry event.QuarantineReported) {
	if len(st.quarantine.byDigest) >= maxQuarantineEntries {
		st.dropExpiredEntries()
	}
	if _, known := st.quarantine.byDigest[entry.Digest]; !known && len(st.quarantine.byDigest) >= maxQuarantineEntries {
		// None of the entries has expired. Leaving out a new one, so that one crash of its content is not counted, does less
		// harm than dropping one of these.
		return
	}
	st.quarantine.byDigest[entry.Digest] = entry
}

func (st *State) dropExpiredEntries() {
	for digest, entry := range st.quarantine.byDigest {
		if !st.now.Before(entry.Until) {
			delete(st.quarantine.byDigest, digest)
		}
	}
}

// QuarantinedDigests returns the entries of the digests that are refused now.
func (st *State) QuarantinedDigests() []event.QuarantineReported {
	var refused []event.QuarantineReported
	for _, entry := range st.quarantine.byDigest {
		if entry.Deaths >= deathsToQuarantine && st.now.Before(entry.Until) {
			refused = append(refused, entry)
		}
	}
	return refused
}

// SuspectDigests returns the entries of the digests that are suspect or quarantined now.
func (st *State) SuspectDigests() []event.QuarantineReported {
	var unexpired []event.QuarantineReported
	for _, entry := range st.quarantine.byDigest {
		if st.now.Before(entry.Until) {
			unexpired = append(unexpired, entry)
		}
	}
	return unexpired
}

package core

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// Quarantine of requests that take their upstreams down.
const (
	// deathsToQuarantine is how many upstreams may die of one request.
	deathsToQuarantine = 2
	// quarantineTime is how long a digest stays refused.
	quarantineTime = 30 * time.Minute
	// deathMemory is how long a single death is remembered.
	deathMemory = 10 * time.Minute
	// maxQuarantine bounds the digests remembered.
	maxQuarantine = 10000
)

// quarantine remembers the digests that were in flight on upstreams that broke off. A caller resends a poisonous
// request under a new id, so deaths are counted by content.
type quarantine struct {
	byDigest map[event.Digest]event.Quarantined
	// deadSince holds the upstreams that died and have shown no life since.
	deadSince map[string]time.Time
}

func newQuarantine() quarantine {
	return quarantine{byDigest: map[event.Digest]event.Quarantined{}, deadSince: map[string]time.Time{}}
}

func (st *State) checkQuarantine(digest event.Digest) *effect.Refusal {
	entry, ok := st.poison.byDigest[digest]
	if !ok || entry.Deaths < deathsToQuarantine || !st.now.Before(entry.Until) {
		return nil
	}
	return &effect.Refusal{
		Reason:     effect.ReasonQuarantine,
		Ran:        effect.NotRun,
		RetryAfter: entry.Until.Sub(st.now),
		Remedy:     "this content took upstreams down before; change it or tell the operators",
	}
}

// countDeath notes that an upstream died while running the request, and refuses the request at the second one. An
// upstream that broke off and takes new connections has not died: kept connections also end by an idle timeout.
func (st *State) countDeath(req *Request, ev event.AttemptEnded) *effect.Refusal {
	if ev.Alive || ev.Result != event.ResultFailed && ev.Result != event.ResultBroken {
		return nil
	}
	if st.wasDead(req, ev.Upstream) {
		return nil
	}
	req.Suspect = true
	entry := st.poison.byDigest[req.Digest]
	entry.Digest = req.Digest
	entry.Deaths++
	entry.Until = st.now.Add(deathMemory)
	if entry.Deaths >= deathsToQuarantine {
		entry.Until = st.now.Add(quarantineTime)
	}
	st.remember(entry)
	st.emit(effect.TellQuarantine{Quarantined: entry})
	if entry.Deaths < deathsToQuarantine {
		return nil
	}
	st.emit(effect.Note{Counter: "Requests.Quarantined", Line: "request quarantined: upstreams broke off while running it", Subject: req.Organisation})
	return &effect.Refusal{
		Reason: effect.ReasonQuarantine,
		Ran:    effect.HasRun,
		Remedy: "it ran and took its upstream down; change it or tell the operators",
	}
}

// wasDead tells that the upstream had died before the attempt was sent and has shown no life since, so that the attempt
// killed nothing. Where something in between accepts connections for a dead process, each request sent there looks like
// a death, and two dead replicas put whatever was tried on both under quarantine. The first death is remembered here.
func (st *State) wasDead(req *Request, upstream string) bool {
	since, dead := st.poison.deadSince[upstream]
	if dead {
		return !req.SentAt.Before(since)
	}
	if len(st.poison.deadSince) >= maxQuarantine {
		clear(st.poison.deadSince)
	}
	st.poison.deadSince[upstream] = st.now
	return false
}

// showedLife notes that the upstream was alive at the time.
func (st *State) showedLife(upstream string, at time.Time) {
	if since, dead := st.poison.deadSince[upstream]; dead && at.After(since) {
		delete(st.poison.deadSince, upstream)
	}
}

// clear takes the blame off content that an upstream has run to its end. Everything in flight on a replica that dies is
// under suspicion, and all but one of it is innocent.
func (st *State) clear(req *Request) {
	entry, ok := st.poison.byDigest[req.Digest]
	if ok && entry.Deaths < deathsToQuarantine {
		delete(st.poison.byDigest, req.Digest)
	}
}

// isSuspect tells whether an upstream has died while running the request's content.
func (st *State) isSuspect(req *Request) bool {
	entry, ok := st.poison.byDigest[req.Digest]
	return ok && st.now.Before(entry.Until)
}

// suspected names the replicas that run suspects now. A suspect goes to another one if there is any: were two on one
// replica, its death would put the innocent one into quarantine together with the guilty.
func (st *State) suspected(req *Request) []string {
	var names []string
	for _, other := range st.Requests {
		if other != req && other.Phase == PhaseRunning && other.Suspect && other.Service == req.Service {
			names = append(names, other.Upstreams[len(other.Upstreams)-1].Name)
		}
	}
	return names
}

func (st *State) quarantined(ev event.Quarantined) {
	known := st.poison.byDigest[ev.Digest]
	if ev.Deaths > known.Deaths || ev.Until.After(known.Until) {
		st.remember(ev)
	}
}

func (st *State) remember(entry event.Quarantined) {
	if len(st.poison.byDigest) >= maxQuarantine {
		st.forgetOld()
	}
	if _, known := st.poison.byDigest[entry.Digest]; !known && len(st.poison.byDigest) >= maxQuarantine {
		// Full of entries still in force: one more death of an unknown content is the lesser harm.
		return
	}
	st.poison.byDigest[entry.Digest] = entry
}

func (st *State) forgetOld() {
	for digest, entry := range st.poison.byDigest {
		if !st.now.Before(entry.Until) {
			delete(st.poison.byDigest, digest)
		}
	}
}

// Quarantine returns the digests that are refused now.
func (st *State) Quarantine() []event.Quarantined {
	var refused []event.Quarantined
	for _, entry := range st.poison.byDigest {
		if entry.Deaths >= deathsToQuarantine && st.now.Before(entry.Until) {
			refused = append(refused, entry)
		}
	}
	return refused
}

// Deaths returns all that is under suspicion or quarantine now.
func (st *State) Deaths() []event.Quarantined {
	var known []event.Quarantined
	for _, entry := range st.poison.byDigest {
		if st.now.Before(entry.Until) {
			known = append(known, entry)
		}
	}
	return known
}

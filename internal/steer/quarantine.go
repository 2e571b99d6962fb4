package steer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/deaths"
)

// Quarantine of requests that crash the replicas that run them. Callers retry such a request under a new request ID and at
// other instances, so deaths are counted by content and announced to all instances.

const (
	// deathsToQuarantine is how many crashes put a content into quarantine.
	deathsToQuarantine = 2
	// quarantineTime is how long a content stays in quarantine, or suspect, after its last crash.
	quarantineTime = 10 * time.Minute
	// sameCrash is the time within which deaths of one replica are the same crash. It is longer than instances differ in noticing
	// a crash, and shorter than a replica takes to start again.
	sameCrash = 2 * time.Second
	// maxDeathContents is the maximum number of contents whose deaths are counted.
	maxDeathContents = 4096
)

func newDeaths() *deaths.Table[Digest] {
	return deaths.New[Digest](deaths.Rules{
		Threshold: deathsToQuarantine, SuspectTime: quarantineTime, QuarantineTime: quarantineTime, SameCrash: sameCrash, MaxContents: maxDeathContents,
	})
}

// quarantined reports whether the request is to be refused because of the deaths under its content or under what it shares with others.
func (st *State) quarantined(req *request) bool {
	return st.deaths.Judge(st.now, req.Digest).Quarantined || st.judgeParts(req).Refused
}

// MaxCatchUp is how long requests wait at most for what the others know after the instance has stood still.
const MaxCatchUp = 300 * time.Millisecond

// stoodStill requests the deaths that others know. Their announcements may be waiting behind a caller's request, which would
// then be sent although its content is in quarantine.
func (st *State) stoodStill(ev StoodStill) {
	st.emit(LogLine{Message: "instance stood still", Age: ev.Gap})
	if len(st.others) == 0 {
		return
	}
	st.standstills++
	st.catchUpUntil = st.now.Add(MaxCatchUp)
	st.emit(RequestDeaths{Standstill: st.standstills})
}

// deathsReceived ends the wait after a standstill. The answer to a request from before a further standstill does not: deaths
// may have been announced since.
func (st *State) deathsReceived(ev DeathsReceived) {
	if ev.Standstill == st.standstills {
		st.catchUpUntil = time.Time{}
		st.dispatch()
	}
}

// catchingUp reports whether requests wait for what the others know.
func (st *State) catchingUp() bool { return st.now.Before(st.catchUpUntil) }

// heldByDeaths reports whether the request may not be sent now because of deaths under its content. Content in quarantine is
// refused by expire. Of suspect content, one request runs at a time and shows whether it crashes what runs it: of several
// copies each would otherwise take a replica down before the first crash is seen. All are held while the instance catches up.
func (st *State) heldByDeaths(req *request) bool {
	if st.catchingUp() {
		return true
	}
	if st.heldByCause(req) {
		return true
	}
	vd := st.deaths.Judge(st.now, req.Digest)
	if !vd.Suspect() {
		return vd.Quarantined
	}
	for _, other := range st.requests {
		if other != req && other.Digest == req.Digest && (other.running || other.claiming) {
			return true
		}
	}
	return false
}

// countDeath counts the replica that died while running the request, and announces the death.
func (st *State) countDeath(req *request) {
	rep := req.reps[0]
	st.deathsSeen++
	death := deaths.Death{
		ID:       xxhash.Sum64String(st.Options.Name + "/" + strconv.FormatInt(st.Options.Run, 10) + "/" + strconv.Itoa(st.deathsSeen)),
		Upstream: xxhash.Sum64String(rep.Name + "/" + strconv.FormatInt(rep.Born, 10)),
		At:       st.now,
	}
	st.deaths.Add(st.now, req.Digest, death)
	suspicions := st.suspectParts(req, death)
	crashes := st.deaths.Judge(st.now, req.Digest).Crashes
	// Another instance may have missed the earlier deaths of this content.
	st.emit(SendNote{Note: st.note(Note{Deaths: st.deathsOf(st.now, req.Digest, crashes), Suspicions: suspicions[:min(1, len(suspicions))]}), Acked: true, AckDigest: req.Digest})
	for i := 1; i < len(suspicions); i++ {
		st.emit(SendNote{Note: st.note(Note{Suspicions: suspicions[i : i+1]}), Acked: true, AckDigest: req.Digest})
	}
	st.emit(LogLine{Message: "replica died under request", Request: req.Name, Replica: rep.Name, Attempt: crashes, Content: req.Digest, Parts: req.Parts, Wrote: req.wrote()})
}

// receiveDeaths adds the deaths that another instance observed.
func (st *State) receiveDeaths(from string, list []Death) {
	for i := range list {
		death := &list[i]
		if death.ID == 0 {
			st.receiveDeathCount(from, death)
			continue
		}
		at := st.now.Add(-time.Duration(death.AgeMs) * time.Millisecond)
		st.deaths.Add(st.now, death.Digest, deaths.Death{ID: death.ID, Upstream: death.Upstream, At: at})
	}
}

// receiveDeathCount adds as many deaths as an instance of an earlier release counts, which does not say which ones they are.
func (st *State) receiveDeathCount(from string, death *Death) {
	for i := range min(death.Count, deathsToQuarantine) {
		id := xxhash.Sum64String(from + "/" + strconv.FormatUint(uint64(death.Digest), 10) + "/" + strconv.Itoa(i))
		st.deaths.Add(st.now, death.Digest, deaths.Death{ID: id, Upstream: id, At: st.now})
	}
}

// maxNoteDeaths is the maximum number of deaths in a note, which must fit into a datagram. A death takes some 40 bytes.
const maxNoteDeaths = 100

// DeathNotes returns notes with all deaths that count, for an instance that has just started.
func (st *State) DeathNotes(now time.Time) []Note {
	var all []Death
	for digest, vd := range st.deaths.Verdicts(now) {
		all = append(all, st.deathsOf(now, digest, vd.Crashes)...)
	}
	var notes []Note
	for part := range slices.Chunk(all, maxNoteDeaths) {
		notes = append(notes, st.note(Note{Deaths: part}))
	}
	return append(notes, st.suspicionNotes(now)...)
}

// deathsOf returns the deaths under the content, which amount to this number of crashes.
func (st *State) deathsOf(now time.Time, digest Digest, crashes int) []Death {
	var list []Death
	for _, death := range st.deaths.Deaths(digest) {
		list = append(list, Death{Digest: digest, Count: crashes, ID: death.ID, Upstream: death.Upstream, AgeMs: max(0, now.Sub(death.At).Milliseconds())})
	}
	return list
}

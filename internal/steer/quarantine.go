package steer

import (
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

func (st *State) quarantined(digest Digest) bool { return st.deaths.Judge(st.now, digest).Quarantined }

// heldByDeaths reports whether the request may not be sent now because of deaths under its content. Content in quarantine is
// refused by expire. Of suspect content, one request runs at a time and shows whether it crashes what runs it: of several
// copies each would otherwise take a replica down before the first crash is seen.
func (st *State) heldByDeaths(req *request) bool {
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
	crashes := st.deaths.Judge(st.now, req.Digest).Crashes
	st.emit(SendNote{Note: st.note(Note{Deaths: []Death{{Digest: req.Digest, Count: crashes, ID: death.ID, Upstream: death.Upstream}}})})
	st.emit(LogLine{Message: "replica died under request", Request: req.Name, Replica: rep.Name, Attempt: crashes})
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

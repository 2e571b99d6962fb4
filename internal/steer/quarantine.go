package steer

import "time"

// Quarantine of requests that crash the replicas that run them. Callers retry such a request under a new request ID and at
// other instances, so deaths are counted by content and announced to all instances.

const (
	// deathsToQuarantine is how many deaths put a content into quarantine.
	deathsToQuarantine = 2
	// quarantineTime is how long a content stays in quarantine after its last death.
	quarantineTime = 10 * time.Minute
	// maxDeaths bounds how many contents are counted. Contents that come beyond it are not counted until others expire.
	maxDeaths = 4096
)

// quarantine counts replica deaths by request content.
type quarantine struct {
	// deaths counts the replicas that died while running a content.
	deaths map[Digest]int
	// until is when the quarantine of a content ends. From then on its count may be evicted.
	until map[Digest]time.Time
}

func newQuarantine() quarantine {
	return quarantine{deaths: map[Digest]int{}, until: map[Digest]time.Time{}}
}

func (st *State) quarantined(digest Digest) bool {
	return st.quarantine.deaths[digest] >= deathsToQuarantine && st.now.Before(st.quarantine.until[digest])
}

// countDeath counts a replica that died while running the request and announces the new count.
func (st *State) countDeath(req *request) {
	count := st.quarantine.deaths[req.Digest] + 1
	st.rememberDeath(req.Digest, count)
	st.emit(SendNote{Note: st.note(Note{Deaths: []Death{{Digest: req.Digest, Count: count}}})})
	st.emit(LogLine{Message: "replica died under request", Request: req.Name, Replica: req.reps[0].Name, Attempt: count})
}

// rememberDeath raises the death count of the content to count and restarts its quarantine time.
func (st *State) rememberDeath(digest Digest, count int) {
	if len(st.quarantine.deaths) >= maxDeaths {
		for old, until := range st.quarantine.until {
			if !st.now.Before(until) {
				delete(st.quarantine.deaths, old)
				delete(st.quarantine.until, old)
			}
		}
	}
	if len(st.quarantine.deaths) >= maxDeaths || st.quarantine.deaths[digest] >= count {
		return
	}
	st.quarantine.deaths[digest] = count
	st.quarantine.until[digest] = st.now.Add(quarantineTime)
}

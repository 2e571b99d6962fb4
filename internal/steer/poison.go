package steer

import "time"

// Quarantine of requests that take their replicas down. A caller sends such a request again under a new name, so deaths
// are counted by content, and all instances are told.
const (
	deathsToQuarantine = 2
	quarantineTime     = 10 * time.Minute
	maxDeaths          = 4096
)

type poison struct {
	deaths map[Digest]int
	until  map[Digest]time.Time
}

func newPoison() poison {
	return poison{deaths: map[Digest]int{}, until: map[Digest]time.Time{}}
}

func (st *State) quarantined(digest Digest) bool {
	return st.poison.deaths[digest] >= deathsToQuarantine && st.now.Before(st.poison.until[digest])
}

func (st *State) countDeath(req *request) {
	count := st.poison.deaths[req.Digest] + 1
	st.rememberDeath(req.Digest, count)
	st.emit(Tell{Note: st.note(Note{Deaths: []Death{{Digest: req.Digest, Count: count}}})})
	st.emit(Line{Message: "replica died under request", Request: req.Name, Replica: req.reps[0].Name, Attempt: count})
}

func (st *State) rememberDeath(digest Digest, count int) {
	if len(st.poison.deaths) >= maxDeaths {
		for old, until := range st.poison.until {
			if !st.now.Before(until) {
				delete(st.poison.deaths, old)
				delete(st.poison.until, old)
			}
		}
	}
	if len(st.poison.deaths) >= maxDeaths || st.poison.deaths[digest] >= count {
		return
	}
	st.poison.deaths[digest] = count
	st.poison.until[digest] = st.now.Add(quarantineTime)
}

package steer

import "slices"

// Evacuation of failure domains. Load pattern: the operators empty a failure domain at the peak, and its callers and work move to the
// others at once; later they bring it back, perhaps with replicas that have become cold.

// evacuate applies the set of evacuated failure domains.
func (st *State) evacuate(ev Evacuated) {
	for _, rep := range st.replicas {
		rep.evacuated = slices.Contains(ev.FailureDomains, rep.FailureDomain)
	}
	st.dispatch()
}

package core

import "dandelionsail.example/dandelionsail/internal/event"

// witness returns the address of an upstream of the service that is not among those of the attempt and not known to be dead, empty if
// there is none.
func (st *State) witness(service string, attempted []event.Upstream) string {
	for _, rep := range st.Route.Services[service] {
		_, dead := st.quarantine.deadSince[rep.Upstream.Name]
		if !dead && !rep.Upstream.Leaving && addressOf(attempted, rep.Upstream.Name) == "" {
			return rep.Upstream.Address
		}
	}
	return ""
}

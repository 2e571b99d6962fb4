package steer

import (
	"slices"
	"time"
)

// goneMemory is how long a replica that is gone is remembered for the work that is still under way there.
const goneMemory = 30 * time.Second

// listed takes the replicas that are registered now.
func (st *State) listed(ev Listed) {
	named := make(map[string]bool, len(ev.Replicas))
	for _, item := range ev.Replicas {
		named[item.Name] = true
		st.register(item)
	}
	for name, rep := range st.replicas {
		if named[name] || rep.gone {
			continue
		}
		st.unlisted(name, rep, ev.Away)
	}
	st.dispatch()
}

// relisted takes what has changed of the list. Its cost follows the changes, not the number of replicas.
func (st *State) relisted(ev Relisted) {
	for _, item := range ev.Replicas {
		st.register(item)
	}
	for _, name := range ev.Gone {
		if rep, ok := st.replicas[name]; ok && !rep.gone {
			st.unlisted(name, rep, ev.Away)
		}
	}
	st.dispatch()
}

func (st *State) register(item Replica) {
	delete(st.missing, item.Name)
	rep, ok := st.replicas[item.Name]
	if ok && rep.Born == item.Born && rep.Address == item.Address && rep.Service == item.Service {
		// Leaving is final for an incarnation, whatever an older list says.
		item.Leaving = item.Leaving || rep.Leaving
		if item.Leaving && !rep.Leaving {
			st.emit(Line{Message: "replica leaves", Replica: item.Name})
		}
		rep.Replica = item
		if rep.gone {
			rep.gone = false
			st.enlist(rep)
		}
		return
	}
	if ok {
		st.drop(rep)
	}
	rep = &replica{Replica: item, slow: 1, slowTold: 1}
	st.replicas[item.Name] = rep
	st.enlist(rep)
}

// enlist adds the replica to those of its service, from which drop took it if it was there before.
func (st *State) enlist(rep *replica) {
	svc := st.serviceOf(rep.Service)
	svc.replicas = append(svc.replicas, rep)
	svc.relayout()
	st.emit(Line{Message: "replica joins", Replica: rep.Name})
}

// unlisted takes a replica out that the list leaves out. After an outage of the list's store, entries of live replicas
// may be missing until these have written again, so they stay in use for MissingTime.
func (st *State) unlisted(name string, rep *replica, away bool) {
	until, waits := st.missing[name]
	if away && !waits {
		st.missing[name] = st.now.Add(st.Options.MissingTime)
		return
	}
	if waits && st.now.Before(until) {
		return
	}
	delete(st.missing, name)
	st.emit(Line{Message: "replica is gone", Replica: name})
	st.drop(rep)
}

func (st *State) drop(rep *replica) {
	rep.gone = true
	rep.goneAt = st.now
	svc := st.serviceOf(rep.Service)
	svc.replicas = slices.DeleteFunc(svc.replicas, func(other *replica) bool { return other == rep })
	svc.relayout()
}

// forget drops what is over: missing replicas whose time has passed, gone ones without work, silent peers.
func (st *State) forget() {
	for name, until := range st.missing {
		if rep, ok := st.replicas[name]; ok && !st.now.Before(until) {
			st.unlisted(name, rep, false)
		}
	}
	for name, rep := range st.replicas {
		if rep.gone && len(rep.works) == 0 && st.now.Sub(rep.goneAt) > goneMemory {
			delete(st.replicas, name)
		}
	}
	st.forgetPeers()
	st.forgetGrants()
}

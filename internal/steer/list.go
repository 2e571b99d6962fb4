package steer

import (
	"maps"
	"slices"
	"time"
)

// goneRetention is how long a replica that is not registered any more is kept at least, for the work that is still in
// progress there.
const goneRetention = 30 * time.Second

// listed applies the whole list of registered replicas.
func (st *State) listed(ev Listed) {
	named := make(map[string]bool, len(ev.Replicas))
	for _, item := range ev.Replicas {
		named[item.Name] = true
		if !st.holdsBack(item, ev.FromCopy) {
			st.register(item, false)
		}
	}
	st.listRead = true
	maps.DeleteFunc(st.heldBack, func(name string, _ heldEntry) bool { return !named[name] })
	var missing []string
	for name, rep := range st.replicas {
		if !named[name] && !rep.gone {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		st.removeMissing(name, st.replicas[name], ev.AfterOutage)
	}
	st.dispatch()
}

// listChanged applies the changes of the list. Its cost grows with the changes, not with the number of replicas.
func (st *State) listChanged(ev ListChanged) {
	for _, item := range ev.Replicas {
		st.register(item, true)
	}
	for _, name := range ev.Gone {
		delete(st.heldBack, name)
		if rep, ok := st.replicas[name]; ok && !rep.gone {
			st.removeMissing(name, rep, ev.AfterOutage)
		}
	}
	st.dispatch()
}

// heldEntry is an entry that is not used yet.
type heldEntry struct {
	Replica
	// until is when the entry counts, if it is still registered.
	until time.Time
}

// copiedEntryLife is how long the entry of a replica that has ended stays registered after the list's store has returned
// from a copy that contains the entry again: it expires as soon as the replica has not renewed it for a few seconds.
const copiedEntryLife = 10 * time.Second

// holdsBack reports whether the entry must not be used. A store that has returned from a copy may list a replica that was gone
// already, which would get requests again, or an earlier incarnation. A replica that is gone counts again once it changes its entry,
// or if the entry has not expired after copiedEntryLife.
func (st *State) holdsBack(item Replica, fromCopy bool) bool {
	rep, known := st.replicas[item.Name]
	if known && fromCopy && rep.gone && item.Born <= rep.Born {
		st.heldBack[item.Name] = heldEntry{item, st.now.Add(copiedEntryLife)}
		st.emit(LogLine{Message: "replica that is gone not used again: its entry is from a copy", Replica: item.Name})
	}
	_, held := st.heldBack[item.Name]
	return held || known && fromCopy && item.Born < rep.Born
}

// register applies the entry of a replica. written reports whether the entry is known to have been written since it was last read.
func (st *State) register(item Replica, written bool) {
	delete(st.missing, item.Name)
	delete(st.heldBack, item.Name)
	rep, ok := st.replicas[item.Name]
	if ok && item.Born <= rep.Born && rep.Address == item.Address && rep.Service == item.Service {
		// An entry with an earlier start is older than the known incarnation.
		current := item.Born == rep.Born
		item.Born = rep.Born
		if item.Leaving {
			st.markLeaving(rep, sourceList)
		}
		item.Leaving = rep.Leaving
		if item.FailureDomain != rep.FailureDomain && len(st.evacuations.since) > 0 {
			rep.evacuated = st.evacuations.has(item.FailureDomain)
			st.serviceOf(rep.Service).resetLayout()
		}
		rep.Replica = item
		if rep.gone {
			rep.gone = false
			st.addToService(rep)
		}
		if current {
			st.receiveColdEntry(rep, written)
		}
		return
	}
	if ok {
		st.detach(rep)
	}
	if ok {
		// Its failures are those of the process that has ended.
		st.serviceOf(item.Service).path.Forget(item.Name)
	}
	rep = st.newReplica(item, rep)
	rep.evacuated = st.evacuations.has(item.FailureDomain)
	st.replicas[item.Name] = rep
	st.addToService(rep)
	st.receiveColdEntry(rep, true)
}

// addToService adds the replica to its service, from which detach removed it if it was registered before.
func (st *State) addToService(rep *replica) {
	svc := st.serviceOf(rep.Service)
	svc.replicas = append(svc.replicas, rep)
	svc.resetLayout()
	st.generation++
	st.emit(LogLine{Message: "replica joins", Replica: rep.Name})
}

// removeMissing removes a replica that the list omits. If afterOutage is set, the list's store was unavailable until now:
// entries of live replicas may be missing until these have written them again, so such replicas stay in use for
// Options.MissingTime.
func (st *State) removeMissing(name string, rep *replica, afterOutage bool) {
	until, waits := st.missing[name]
	if afterOutage && !waits {
		st.missing[name] = st.now.Add(st.Options.MissingTime)
		return
	}
	if waits && st.now.Before(until) {
		return
	}
	delete(st.missing, name)
	st.emit(LogLine{Message: "replica is gone", Replica: name})
	st.detach(rep)
}

func (st *State) detach(rep *replica) {
	rep.gone = true
	rep.goneAt = st.now
	svc := st.serviceOf(rep.Service)
	svc.replicas = slices.DeleteFunc(svc.replicas, func(other *replica) bool { return other == rep })
	svc.resetLayout()
	st.generation++
}

// dropExpired drops what has expired: missing replicas whose time has passed, entries that were held back long enough, removed ones without work, timed-out peers
// and old grants.
func (st *State) dropExpired() {
	for _, name := range slices.Sorted(maps.Keys(st.missing)) {
		if rep, ok := st.replicas[name]; ok && !st.now.Before(st.missing[name]) {
			st.removeMissing(name, rep, false)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(st.heldBack)) {
		if entry := st.heldBack[name]; !st.now.Before(entry.until) {
			st.register(entry.Replica, false)
		}
	}
	var rested []*replica
	for name, rep := range st.replicas {
		if rep.rest.Open && !rep.rest.Logged && !rep.rest.InForce(st.now) {
			rested = append(rested, rep)
		}
		if rep.gone && len(rep.works) == 0 && st.now.Sub(rep.goneAt) > goneRetention {
			delete(st.replicas, name)
		}
	}
	st.logEndsOfRest(rested)
	st.dropExpiredPeers()
	st.dropExpiredGrants()
}

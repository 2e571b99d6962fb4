package relay

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"dandelionsail.example/dandelionsail/internal/posit"
	"dandelionsail.example/dandelionsail/internal/steer"
)

// The evacuated failure domains are followed like the rest of the directory: read as a whole, updated by changes, passed on by peers. The
// reducer is told the whole set whenever it has changed.

const (
	// lostEvacuationTime is how long an evacuation stays in force that a return of the store has lost, so that the operators can write it
	// again: they do within some seconds.
	lostEvacuationTime = 10 * time.Second
	// maxDomainName is the maximum length in bytes of a failure domain's name that can be evacuated. A change must fit into a datagram
	// to the other instances together with others.
	maxDomainName = 256
	// maxDomainLogged is the maximum length in bytes at which the name of a failure domain is logged.
	maxDomainLogged = 60
	// evacuatedPrefix is the name prefix of the gauges of evacuated replicas.
	evacuatedPrefix = "Evacuated.Replicas."
)

// evacuations is what the follower knows of evacuated failure domains.
type evacuations struct {
	// stored holds those that the store names, and whether the name was compared with those of the replicas' failure domains.
	stored map[string]bool
	// lost holds, by name, until when those stay in force that a return of the store has lost.
	lost map[string]time.Time
	// inForce is the sorted set that the reducer was told last.
	inForce []string
	// ignored holds the unusable names for which a line was written.
	ignored map[string]bool
	// settled holds the names that are not taken from other instances any more, since the store has named them or one was taken.
	settled map[string]bool
}

// keptEvacuation is an evacuation that a return of the store has lost and that stays in force for a while, as one Instance states it to
// another that may have started since.
type keptEvacuation struct {
	FailureDomain string `cbor:"1,keyasint,omitempty"`
	// LeftMs is for how long in ms it stays in force.
	LeftMs int64 `cbor:"2,keyasint,omitempty"`
}

// maxKeptEvacuations is the maximum number of them in a packet, which must fit into a datagram.
const maxKeptEvacuations = 8

// missesEvacuations reports whether changes that an Instance of an earlier version sent may have been evacuations.
func (conf *confirmation) missesEvacuations() bool {
	return !conf.Evacuations && slices.ContainsFunc(conf.Changes, func(chg Change) bool { return chg == Change{Revision: chg.Revision} })
}

// readEvacuations has the whole directory read soon, since the evacuations may have changed without this Instance knowing how.
func (fl *follower) readEvacuations() {
	if fl.reread.IsZero() {
		fl.reread = time.Now().Add(rand.N(fl.in.returnWindow()))
	}
}

// replaceEvacuations applies the whole set that the store names. returned reports whether the store has returned from a copy, so that the set
// may lack some that are in force.
func (fl *follower) replaceEvacuations(names []string, at posit.Position, returned bool) {
	evs := &fl.evacuations
	before := evs.stored
	evs.stored = make(map[string]bool, len(names))
	for _, name := range names {
		if !fl.usableDomain(name, at) {
			continue
		}
		warned, known := before[name]
		evs.stored[name] = warned
		delete(evs.lost, name)
		evs.settle(name)
		if !known {
			fl.logEvacuation("evacuation seen", name, at, nil)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := evs.stored[name]; ok {
			continue
		}
		if !returned {
			fl.logEvacuation("end of evacuation seen", name, at, nil)
			continue
		}
		fl.keepEvacuation(name, lostEvacuationTime)
		fl.logEvacuation("evacuation lost by the store; it stays in force until it can be written again", name, at, nil)
	}
	fl.publishEvacuations(at)
}

// applyEvacuations applies the changes up to the position, which come from the Instance at the address or from the store. Changes of unusable
// names are cleared, so that they are not passed on.
func (fl *follower) applyEvacuations(changes []Change, upTo posit.Position, from *net.UDPAddr) {
	changed := false
	for i := range changes {
		chg := &changes[i]
		if chg.Evacuation == nil {
			continue
		}
		name, at := chg.Evacuation.FailureDomain, upTo.At(chg.Revision)
		if !fl.usableDomain(name, at) {
			chg.Evacuation = nil
			continue
		}
		changed = true
		// The operators have written or removed the key since the store returned.
		delete(fl.evacuations.lost, name)
		fl.evacuations.settle(name)
		_, known := fl.evacuations.stored[name]
		switch {
		case chg.Evacuation.Ended:
			delete(fl.evacuations.stored, name)
			fl.logEvacuation("end of evacuation seen", name, at, from)
		case !known:
			fl.evacuations.store(name)
			fl.logEvacuation("evacuation seen", name, at, from)
		}
	}
	if changed {
		fl.publishEvacuations(upTo)
	}
}

// settle records that the name is not taken from other instances any more.
func (evs *evacuations) settle(name string) {
	if evs.settled == nil {
		evs.settled = map[string]bool{}
	}
	evs.settled[name] = true
}

// store records that the store names the failure domain.
func (evs *evacuations) store(name string) {
	if evs.stored == nil {
		evs.stored = map[string]bool{}
	}
	evs.stored[name] = false
}

// usableDomain reports whether the name may be that of a failure domain, and writes a line the first time it may not.
func (fl *follower) usableDomain(name string, at posit.Position) bool {
	if name != "" && len(name) <= maxDomainName {
		return true
	}
	if fl.evacuations.ignored[name] {
		return false
	}
	if fl.evacuations.ignored == nil {
		fl.evacuations.ignored = map[string]bool{}
	}
	if len(fl.evacuations.ignored) < maxIgnoredDomains {
		fl.evacuations.ignored[name] = true
	}
	reason := "the name is longer than 256 bytes"
	if name == "" {
		reason = "it names no failure domain"
	}
	fl.in.count("Evacuations.Ignored")
	withDomain(withPosition(fl.in.log.Warn(), at), name).Str("Cause", reason).Msg("evacuation ignored")
	return false
}

// maxIgnoredDomains is the maximum number of unusable names that are remembered so that each is logged once.
const maxIgnoredDomains = 64

// publishEvacuations tells the reducer the set if it has changed.
func (fl *follower) publishEvacuations(at posit.Position) {
	evs := &fl.evacuations
	union := maps.Clone(evs.lost)
	if union == nil {
		union = map[string]time.Time{}
	}
	for name := range evs.stored {
		union[name] = time.Time{}
	}
	names := slices.Sorted(maps.Keys(union))
	fl.in.entries.setEvacuated(slices.Sorted(maps.Keys(evs.stored)))
	lost := maps.Clone(evs.lost)
	fl.in.keptEvacuations.Store(&lost)
	if slices.Equal(names, evs.inForce) {
		return
	}
	evs.inForce = names
	fl.in.apply(steer.Evacuated{FailureDomains: names, At: at})
}

// warnOfUnknownDomains writes one line for each evacuated failure domain that no replica is in. The evacuation is kept, since replicas may
// appear there.
func (fl *follower) warnOfUnknownDomains(at posit.Position) {
	for _, name := range slices.Sorted(maps.Keys(fl.evacuations.stored)) {
		if checked := fl.evacuations.stored[name]; checked {
			continue
		}
		fl.evacuations.stored[name] = true
		if !fl.in.entries.hasReplicaIn(name) {
			withDomain(withPosition(fl.in.log.Warn(), at), name).Msg("evacuated failure domain has no replicas; check its name")
		}
	}
}

// keepEvacuation keeps an evacuation in force that the store has lost.
func (fl *follower) keepEvacuation(name string, period time.Duration) {
	if fl.evacuations.lost == nil {
		fl.evacuations.lost = map[string]time.Time{}
	}
	fl.evacuations.lost[name] = time.Now().Add(period)
}

// dropLostEvacuations ends the evacuations that the store has lost and that were not written again in time.
func (fl *follower) dropLostEvacuations() {
	dropped := false
	for _, name := range slices.Sorted(maps.Keys(fl.evacuations.lost)) {
		if !time.Now().Before(fl.evacuations.lost[name]) {
			delete(fl.evacuations.lost, name)
			dropped = true
			fl.logEvacuation("evacuation lost by the store was not written again", name, fl.position(), nil)
		}
	}
	if dropped {
		fl.publishEvacuations(fl.position())
	}
}

// kept returns the evacuations that the store has lost and that are still in force here.
func (in *Instance) kept() (kept []keptEvacuation) {
	lost := in.keptEvacuations.Load()
	if lost == nil {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(*lost)) {
		if left := time.Until((*lost)[name]).Milliseconds(); left > 0 && len(kept) < maxKeptEvacuations {
			kept = append(kept, keptEvacuation{FailureDomain: name, LeftMs: left})
		}
	}
	return kept
}

// missesEvacuation reports whether another Instance keeps an evacuation that this one does not.
func (in *Instance) missesEvacuation(kept []keptEvacuation) bool {
	known := in.keptEvacuations.Load()
	return slices.ContainsFunc(kept, func(item keptEvacuation) bool {
		if known == nil {
			return true
		}
		_, ok := (*known)[item.FailureDomain]
		return !ok && !in.entries.isEvacuated(item.FailureDomain)
	})
}

// adoptEvacuations puts those evacuations into force here that the store has lost and another Instance keeps. Only an Instance that has
// started since the store returned does so, since any other keeps them itself.
func (fl *follower) adoptEvacuations(from *net.UDPAddr, conf *confirmation) {
	if len(conf.Kept) == 0 || !fl.returnedAt.IsZero() || !fl.position().SameEra(conf.position()) {
		return
	}
	adopted := false
	for _, kept := range conf.Kept[:min(len(conf.Kept), maxKeptEvacuations)] {
		if fl.evacuations.settled[kept.FailureDomain] || kept.LeftMs <= 0 || !fl.usableDomain(kept.FailureDomain, conf.position()) {
			continue
		}
		fl.evacuations.settle(kept.FailureDomain)
		fl.keepEvacuation(kept.FailureDomain, min(time.Duration(kept.LeftMs)*time.Millisecond, lostEvacuationTime))
		fl.logEvacuation("evacuation that the store has lost taken from another instance", kept.FailureDomain, conf.position(), from)
		adopted = true
	}
	if adopted {
		fl.publishEvacuations(fl.position())
	}
}

// logEvacuation logs what is known of the evacuation as of the position, and counts it. The age of the state is how long the change
// may have been in the store.
func (fl *follower) logEvacuation(message, name string, at posit.Position, from *net.UDPAddr) {
	fl.in.count("Evacuations.Count." + message)
	source := "store"
	if from != nil {
		source = from.String()
	}
	entry := withDomain(withPosition(fl.in.log.Info(), at), name).Str("Source", source)
	if fl.in.confirmed.Load() != 0 {
		entry.Int64("ConfirmedMs", fl.in.confirmedAge().Milliseconds())
	}
	entry.Msg(message)
}

// withDomain adds the name of a failure domain to a line.
func withDomain(entry *log.Entry, name string) *log.Entry {
	return entry.Str("FailureDomain", strings.ToValidUTF8(name[:min(len(name), maxDomainLogged)], ""))
}

// updateEvacuationMetrics replaces the gauges of the replicas in each evacuated failure domain.
func (in *Instance) updateEvacuationMetrics() {
	in.mu.Lock()
	counts := in.state.EvacuatedReplicas()
	in.mu.Unlock()
	in.unregister(evacuatedPrefix)
	in.gauge("Evacuated.Domains", int64(len(counts)))
	for name, count := range counts {
		in.gauge(evacuatedPrefix+name, int64(count))
	}
}

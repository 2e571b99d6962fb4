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

// The follower keeps the set of evacuated failure domains like the rest of the directory: it reads the set as a whole, updates it by
// changes, and receives both from peers as well. The reducer gets the whole set whenever it has changed.

const (
	// lostEvacuationTime is how long an evacuation stays in force after a return of the store has lost it. The operators write it again
	// within some seconds.
	lostEvacuationTime = 10 * time.Second
	// maxDomainName is the maximum length in bytes of the name of a failure domain that can be evacuated. The change must fit into a
	// datagram together with others.
	maxDomainName = 256
	// maxDomainLogged is the length in bytes to which the name of a failure domain is cut in the log.
	maxDomainLogged = 60
	// evacuatedPrefix is the name prefix of the gauges of evacuated replicas.
	evacuatedPrefix = "Evacuated.Replicas."
)

// evacuations is what the follower knows of evacuated failure domains.
type evacuations struct {
	// stored holds the names that the store contains, each with whether warnOfUnknownDomains has checked it.
	stored map[string]bool
	// lost holds the evacuations that a return of the store has lost, each with the time until which it stays in force.
	lost map[string]time.Time
	// inForce is the sorted set that the reducer received last.
	inForce []string
	// ignored holds the unusable names that were logged.
	ignored map[string]bool
	// settled holds the names that adoptEvacuations no longer takes from other instances: those that the store has contained or changed,
	// and those that were taken before.
	settled map[string]bool
}

// keptEvacuation is an evacuation that a return of the store has lost and that stays in force for LeftMs. An Instance sends it to others,
// since they may have started after the return.
type keptEvacuation struct {
	FailureDomain string `cbor:"1,keyasint,omitempty"`
	// LeftMs is the time in ms for which it stays in force.
	LeftMs int64 `cbor:"2,keyasint,omitempty"`
}

// maxKeptEvacuations is the maximum number of kept evacuations in a packet, which must fit into a datagram.
const maxKeptEvacuations = 8

// missesEvacuations reports whether changes that an Instance of an earlier version sent may have been evacuations.
func (conf *confirmation) missesEvacuations() bool {
	return !conf.Evacuations && slices.ContainsFunc(conf.Changes, func(chg Change) bool { return chg == Change{Revision: chg.Revision} })
}

// readEvacuations schedules a read of the whole directory within the return window, because a peer of an earlier version cannot pass
// evacuations on.
func (fl *follower) readEvacuations() {
	if fl.reread.IsZero() {
		fl.reread = time.Now().Add(rand.N(fl.in.returnWindow()))
	}
}

// replaceEvacuations replaces the stored set by names. returned reports whether the store has returned from a copy: evacuations that are
// then missing from names stay in force for lostEvacuationTime.
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

// applyEvacuations applies the changes up to the position. They come from the Instance at the address, or from the store if from is nil.
// Changes with unusable names are cleared, so that they are not passed on.
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
		// The change shows that the operators have written or removed the key since the store returned.
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

// settle adds the name to settled.
func (evs *evacuations) settle(name string) {
	if evs.settled == nil {
		evs.settled = map[string]bool{}
	}
	evs.settled[name] = true
}

// store adds the name to stored, not yet checked by warnOfUnknownDomains.
func (evs *evacuations) store(name string) {
	if evs.stored == nil {
		evs.stored = map[string]bool{}
	}
	evs.stored[name] = false
}

// usableDomain reports whether a failure domain of that name can be evacuated. It logs each unusable name once.
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

// publishEvacuations updates what is served to peers, and sends the set in force to the reducer if it has changed.
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

// warnOfUnknownDomains logs each evacuated failure domain without replicas once. The evacuation is kept, since replicas may register there
// later.
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

// keepEvacuation keeps an evacuation that the store has lost in force for the period.
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

// kept returns at most maxKeptEvacuations evacuations that the store has lost and that are still in force here.
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

// adoptEvacuations puts evacuations into force that the store has lost and the Instance at the address keeps. Only an Instance that has
// started since the store returned needs them: any other keeps them itself.
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

// logEvacuation logs and counts a change of the evacuation. ConfirmedMs in the line is the maximum time for which the change may have been
// in the store.
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

// withDomain adds the name of a failure domain, cut to maxDomainLogged, to a log line.
func withDomain(entry *log.Entry, name string) *log.Entry {
	return entry.Str("FailureDomain", strings.ToValidUTF8(name[:min(len(name), maxDomainLogged)], ""))
}

// updateEvacuationMetrics replaces the gauges of the evacuated failure domains and of the replicas in each.
func (in *Instance) updateEvacuationMetrics() {
	var counts map[string]int
	in.view(func(st *steer.State) { counts = st.EvacuatedReplicas() })
	in.unregister(evacuatedPrefix)
	in.gauge("Evacuated.Domains", int64(len(counts)))
	for name, count := range counts {
		in.gauge(evacuatedPrefix+name, int64(count))
	}
}

// Package paths decides whether an instance has lost its own path to the upstreams of a service, which looks like a failure of
// every one of them. The evidence is that new connections to several upstreams, of all failure domains, fail in a row while none succeeds. What is
// concluded from it holds for one service and one instance, until connections succeed again. Fleet holds what the other instances
// state of theirs, and chooses the one through which a message goes. Both fronts use it.
package paths

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minFailures is the number of upstreams that must fail in a row before the path counts as lost.
	minFailures = 2
	// maxAge is the age from which a failure is no evidence any more.
	maxAge = 5 * time.Second
	// relapseTime is the time after a path was regained in which one failure suffices, since links that failed often fail again.
	relapseTime = 10 * time.Second
	// probeInterval is the interval of the probes while a path is lost.
	probeInterval = 400 * time.Millisecond
	// probeAllDelay is how soon after an upstream was reached all others are probed, so that several that are reached at once cause one round
	// of probes.
	probeAllDelay = 40 * time.Millisecond
	// firstProbes is the number of upstreams that are probed at once when a path is lost: if one answers, several upstreams
	// failed at the same moment.
	firstProbes = 3
	// partialProbes is the number of upstreams in a round of probes after a round in which some have failed.
	partialProbes = 8
	// aloneTime is how long a path does not count as lost after it was found that there are no other instances.
	aloneTime = time.Second
	// checkInterval is the minimum interval of the checks that the lost paths of other instances give rise to.
	checkInterval = 500 * time.Millisecond
	// probeMaxAge is how long the result of a probe is waited for.
	probeMaxAge = time.Second
)

// Path is what an instance knows of its path to the upstreams of one service.
type Path struct {
	// LostAt is when the path was lost, zero while it is not.
	LostAt time.Time
	// RegainedAt is when it was last regained.
	RegainedAt time.Time
	// failed holds when a new connection to an upstream failed, for those that failed since one succeeded.
	failed map[string]time.Time
	// reached names the upstreams to which a connection succeeded since the path was lost.
	reached map[string]bool
	// dead names the upstreams that another instance did not reach either since the path was lost.
	dead map[string]bool
	// probeAt is when the next probe is due.
	probeAt time.Time
	// probeAll reports whether that one is of all upstreams, since one was reached.
	probeAll bool
	// aloneUntil is until when the path does not count as lost, since there are no other instances.
	aloneUntil time.Time
	// checkedAt is when upstreams were last probed because another instance has lost its path.
	checkedAt time.Time
	// probedAt holds when each upstream was probed whose result is not known yet.
	probedAt map[string]time.Time
	// confirmed reports whether the first probes after the loss have failed, too.
	confirmed bool
	// Judged is the verdict on the last failure that occurred while the path was not lost.
	Judged Verdict
	// domains holds the failure domain of each upstream in use, and members the upstreams of each failure domain, sorted. Both are nil if
	// nothing is known of failure domains.
	domains map[string]string
	members map[string][]string
	// outages holds what is known of the failures in each failure domain.
	outages map[string]*outage
	// lastDown names the failure domains that OutageChanges last found down.
	lastDown []string
	// reachedAt holds when a connection to an upstream of each failure domain last succeeded.
	reachedAt map[string]time.Time
	// reports holds the last report of another instance about each upstream.
	reports map[string]report
	// partial reports whether a connection has failed since the last round of probes began, so that only some upstreams are back.
	partial bool
	// roundSize is the number of upstreams in the last such round, 0 before the first.
	roundSize int
}

// Lost reports whether the path is lost.
func (pa *Path) Lost() bool { return !pa.LostAt.IsZero() }

// Confirmed reports whether the path is lost and none of the first probes after the loss succeeded, so that it is not a matter of several
// upstreams that failed at the same moment. Only then do others learn of it.
func (pa *Path) Confirmed() bool { return pa.Lost() && pa.confirmed }

// InDoubt reports whether the path is or may be lost.
func (pa *Path) InDoubt() bool { return pa.Lost() || len(pa.failed) > 0 }

// Observed reports whether a connection that succeeds would change anything.
func (pa *Path) Observed() bool { return pa.InDoubt() || pa.outageKnown() }

// Direct reports whether messages to the upstream should be sent without a detour.
func (pa *Path) Direct(upstream string) bool { return !pa.Lost() || pa.reached[upstream] }

// ReachesSome reports whether the path is lost although some upstreams are reached.
func (pa *Path) ReachesSome() bool { return pa.Lost() && len(pa.reached) > 0 }

// Failures returns the number of upstreams that failed since a connection succeeded.
func (pa *Path) Failures() int { return len(pa.failed) }

// Failed records that a new connection to the upstream failed, of which the service has the given number in all. doubtful reports whether
// one failure suffices since the path to another service is lost. The result reports whether this path is lost by that, and was not
// before.
func (pa *Path) Failed(now time.Time, upstream string, upstreams int, doubtful bool) bool {
	delete(pa.reached, upstream)
	delete(pa.probedAt, upstream)
	pa.failedInDomain(now, upstream)
	pa.conclude(now)
	if !pa.Lost() && pa.isDown(pa.domains[upstream]) && !pa.allDown() {
		pa.Judged = DomainsLeft
		return false
	}
	if pa.failed == nil {
		pa.failed = map[string]time.Time{}
	}
	maps.DeleteFunc(pa.failed, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
	pa.failed[upstream] = now
	needed := min(minFailures, upstreams)
	if doubtful || !pa.RegainedAt.IsZero() && now.Sub(pa.RegainedAt) < relapseTime {
		needed = 1
	}
	if pa.Lost() {
		pa.partial = true
		pa.confirmed = pa.confirmed || len(pa.reached) == 0 && !pa.probing(now)
		return false
	}
	pa.Judged = pa.judge(now, needed)
	if pa.Judged != PathLost || now.Before(pa.aloneUntil) {
		return false
	}
	pa.LostAt, pa.probeAt, pa.probeAll, pa.confirmed, pa.roundSize = now, now, false, false, 0
	pa.reached, pa.dead = map[string]bool{}, map[string]bool{}
	return true
}

// Reached records that a new connection to the upstream succeeded. The path is regained once all of the service's upstreams are reached,
// but for those that no other instance reaches either. It reports whether it is regained by that.
func (pa *Path) Reached(now time.Time, upstream string, upstreams []string) bool {
	delete(pa.probedAt, upstream)
	pa.reachedInDomain(now, upstream)
	if !pa.Lost() {
		clear(pa.failed)
		pa.conclude(now)
		return false
	}
	delete(pa.failed, upstream)
	delete(pa.dead, upstream)
	if !pa.reached[upstream] && !pa.probeAll {
		pa.probeAll = true
		if soon := now.Add(probeAllDelay); soon.Before(pa.probeAt) && (!pa.partial || pa.roundSize == 0) {
			pa.probeAt = soon
		}
	}
	pa.reached[upstream] = true
	return pa.endIfWhole(now, upstreams)
}

// Dead records that another instance did not reach the upstream either. It reports whether the path is regained by that.
func (pa *Path) Dead(now time.Time, upstream string, upstreams []string) bool {
	if !pa.Lost() || pa.reached[upstream] {
		return false
	}
	pa.dead[upstream] = true
	return len(pa.reached) > 0 && pa.endIfWhole(now, upstreams)
}

// endIfWhole ends the loss if no upstream is left that others may reach and this instance does not. It does not
// wait for upstreams of failure domains that are down.
func (pa *Path) endIfWhole(now time.Time, upstreams []string) bool {
	if slices.ContainsFunc(upstreams, func(name string) bool { return !pa.reached[name] && !pa.dead[name] && !pa.isDown(pa.domains[name]) }) {
		return false
	}
	pa.end()
	clear(pa.failed)
	pa.RegainedAt = now
	return true
}

func (pa *Path) end() { pa.LostAt, pa.reached, pa.dead = time.Time{}, nil, nil }

// GiveUp records that there are no other instances. The failures still count.
func (pa *Path) GiveUp(now time.Time) {
	pa.end()
	pa.aloneUntil = now.Add(aloneTime)
}

// probing reports whether the result of a probe is not known yet.
func (pa *Path) probing(now time.Time) bool {
	maps.DeleteFunc(pa.probedAt, func(_ string, at time.Time) bool { return now.Sub(at) > probeMaxAge })
	return len(pa.probedAt) > 0
}

// probe records that the upstreams are probed.
func (pa *Path) probe(now time.Time, upstreams ...string) {
	if pa.probedAt == nil {
		pa.probedAt = map[string]time.Time{}
	}
	for _, name := range upstreams {
		pa.probedAt[name] = now
	}
}

// Check returns which of the upstreams to probe because another instance has lost its path, as this one may have without having
// noticed: as many as must fail for that.
func (pa *Path) Check(now time.Time, random *rand.Rand, upstreams []string) []string {
	if pa.Lost() || len(upstreams) == 0 || !pa.checkedAt.IsZero() && now.Sub(pa.checkedAt) < checkInterval {
		return nil
	}
	pa.checkedAt = now
	first := random.IntN(len(upstreams))
	chosen := slices.Concat(upstreams[first:], upstreams[:first])[:min(minFailures, len(upstreams))]
	if pa.SeveralDomains() {
		chosen = pa.oneOfEach(random)
	}
	pa.probe(now, chosen...)
	return chosen
}

// NeedsWitness reports whether another upstream is to be probed after a failure, to find out whether it was the upstream's, and records that it is.
func (pa *Path) NeedsWitness(now time.Time, witness string) bool {
	if pa.Lost() || pa.probing(now) {
		return false
	}
	pa.probe(now, witness)
	return true
}

// Probes returns which of the upstreams to probe now, none if no probe is due. While none is reached that is one at a time.
func (pa *Path) Probes(now time.Time, upstreams []string) []string {
	if !pa.Lost() || now.Before(pa.probeAt) {
		return nil
	}
	count := 1
	switch {
	case pa.probeAll:
		count = pa.nextRoundSize(len(upstreams))
	case now.Equal(pa.LostAt):
		count = firstProbes
	}
	pa.probeAt, pa.probeAll = now.Add(probeInterval), false
	left := slices.DeleteFunc(slices.Clone(upstreams), func(name string) bool { return pa.reached[name] })
	// Those that have not failed come first, and then those that failed longest ago.
	slices.SortStableFunc(left, func(a, b string) int { return pa.failed[a].Compare(pa.failed[b]) })
	left = left[:min(count, len(left))]
	for _, name := range left {
		pa.failed[name] = now
	}
	pa.probe(now, left...)
	return left
}

// Drop removes the record of an upstream that is not used any more. upstreams are the remaining ones. It reports whether the path is
// regained by that.
func (pa *Path) Drop(now time.Time, upstream string, upstreams []string) bool {
	for _, times := range []map[string]time.Time{pa.failed, pa.probedAt} {
		delete(times, upstream)
	}
	for _, marks := range []map[string]bool{pa.reached, pa.dead} {
		delete(marks, upstream)
	}
	return pa.Lost() && (len(upstreams) == 0 || len(pa.reached) > 0) && pa.endIfWhole(now, upstreams)
}

// nextRoundSize returns how many of the upstreams to probe after one was reached. The first round probes all. If some of them fail, the
// upstreams come back one by one, and probing all after each would open a connection from each instance to each upstream several times a
// second. The next round is then partialProbes, and each round in which none fails doubles the size.
func (pa *Path) nextRoundSize(upstreams int) int {
	size := upstreams
	switch {
	case pa.roundSize == 0:
	case pa.partial:
		size = partialProbes
	default:
		size = min(upstreams, 2*pa.roundSize)
	}
	pa.roundSize, pa.partial = size, false
	return size
}

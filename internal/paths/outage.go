package paths

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// An outage makes all upstreams of a failure domain unresponsive to all instances for seconds, and those of another failure domain may
// follow soon after. To an instance that prefers the upstreams of one failure domain, an outage looks like the loss of its path. Two
// observations distinguish an outage: connections to upstreams of other failure domains succeed, and instances that state no loss have
// reported the same upstreams. A failure domain whose upstreams fail in a row while another one is reached counts as down. Until its
// upstreams are reached again, only a few probes are sent to it.

const (
	// maxWitnessDomains is the maximum number of failure domains in which upstreams must fail before the path counts as lost. It bounds
	// the probes after a failure if there are many failure domains.
	maxWitnessDomains = 3
	// minOutageFailures is the number of upstreams of a failure domain that must fail in a row before the failure domain counts as down. With two,
	// a failure domain would often count as down because of two independent crashes.
	minOutageFailures = 3
	// returnProbes is the number of further upstreams of a failure domain that are probed at once after the first was reached. If all of
	// them are reached, the failure domain no longer counts as down.
	returnProbes = 4
)

// Verdict is the conclusion from a failure.
type Verdict int

const (
	// TooFew means that too few upstreams have failed for any conclusion.
	TooFew Verdict = iota
	// DomainsLeft means that failures are missing in some failure domain, which may still be reached.
	DomainsLeft
	// ReportedByOthers means that instances that state no loss have reported the same upstreams as failing.
	ReportedByOthers
	// PathLost means that the path is lost.
	PathLost
)

// String returns the name of the verdict for the log.
func (vd Verdict) String() string {
	return [...]string{"TooFew", "DomainsLeft", "ReportedByOthers", "PathLost"}[vd]
}

// outage is what is known of the failures in one failure domain.
type outage struct {
	// failed holds the times of the failures by upstream. It is cleared when an upstream of the failure domain is reached, unless the
	// failure domain is down: then only that upstream is removed.
	failed map[string]time.Time
	// down reports whether the failure domain counts as down.
	down bool
	// reached names the upstreams that were reached since the failure domain went down.
	reached map[string]bool
	// round names the upstreams of the last round of probes whose result is not known yet.
	round map[string]bool
	// roundFailed reports whether a probe of that round has failed.
	roundFailed bool
	// probeAt is when the next round is due.
	probeAt time.Time
	// checkedAt is when the failure domain was last probed because other instances reported its upstreams.
	checkedAt time.Time
}

// begin records that the failure domain counts as down, and when the first round of probes is due.
func (out *outage) begin(probeAt time.Time) {
	out.down, out.reached, out.round, out.probeAt = true, map[string]bool{}, nil, probeAt
}

// report is another instance's report that an upstream fails.
type report struct {
	// at is when the report arrived.
	at time.Time
	// reporter is the name of the other instance.
	reporter string
}

// FailedElsewhere records that another instance, through which a message went while the path is lost, does not reach the upstream or avoids
// it. The failure domain counts as down if that holds for several of its upstreams. Probes of this instance could not show it, since they
// fail while its path is lost.
func (pa *Path) FailedElsewhere(now time.Time, upstream string) {
	out := pa.outageOf(upstream)
	if out == nil || !pa.Lost() {
		return
	}
	out.failed[upstream] = now
	maps.DeleteFunc(out.failed, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
	if !out.down && len(out.failed) >= min(minOutageFailures, len(pa.members[pa.domains[upstream]])) {
		out.begin(now)
	}
}

// ServedElsewhere records that the upstream answered through another instance, so that its failure domain is not down.
func (pa *Path) ServedElsewhere(upstream string) { pa.endOutage(pa.domains[upstream]) }

// SetDomains sets the failure domain of each upstream in use, and drops the failures of all other upstreams.
func (pa *Path) SetDomains(domains map[string]string) {
	pa.domains = domains
	pa.members = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		pa.members[domains[name]] = append(pa.members[domains[name]], name)
	}
	unknown := func(name string, _ time.Time) bool { _, ok := domains[name]; return !ok }
	maps.DeleteFunc(pa.failed, unknown)
	maps.DeleteFunc(pa.outages, func(domain string, out *outage) bool {
		maps.DeleteFunc(out.failed, unknown)
		return len(pa.members[domain]) == 0
	})
}

// Forget drops the failures of the upstream. It is called when the list shows that the upstream has restarted, which explains them.
func (pa *Path) Forget(upstream string) {
	delete(pa.failed, upstream)
	delete(pa.reports, upstream)
	if out := pa.outages[pa.domains[upstream]]; out != nil {
		delete(out.failed, upstream)
	}
}

// SeveralDomains reports whether the upstreams are in several failure domains.
func (pa *Path) SeveralDomains() bool { return len(pa.members) > 1 }

// Down reports whether the upstream's failure domain counts as down and the upstream has not been reached since it went down.
func (pa *Path) Down(upstream string) bool {
	out := pa.outages[pa.domains[upstream]]
	return out != nil && out.down && !out.reached[upstream]
}

// DownDomains returns the failure domains that count as down, sorted.
func (pa *Path) DownDomains() []string {
	var list []string
	for domain, out := range pa.outages {
		if out.down {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

// OutageChanges returns the failure domains that began to count as down since the previous call and those that ceased to, both sorted.
func (pa *Path) OutageChanges() (began, ended []string) {
	down := pa.DownDomains()
	began = slices.DeleteFunc(slices.Clone(down), func(domain string) bool { return slices.Contains(pa.lastDown, domain) })
	ended = slices.DeleteFunc(slices.Clone(pa.lastDown), func(domain string) bool { return slices.Contains(down, domain) })
	pa.lastDown = down
	return began, ended
}

// OutageFailures returns the number of upstreams of the failure domain that have failed and were not reached since.
func (pa *Path) OutageFailures(domain string) int {
	if out := pa.outages[domain]; out != nil {
		return len(out.failed)
	}
	return 0
}

// outageOf returns the record of the upstream's failure domain and creates it if needed. It returns nil if the failure domain is unknown,
// or if it is the only one and has no record.
func (pa *Path) outageOf(upstream string) *outage {
	domain, ok := pa.domains[upstream]
	if !ok || !pa.SeveralDomains() && pa.outages[domain] == nil {
		return nil
	}
	if pa.outages == nil {
		pa.outages = map[string]*outage{}
	}
	out := pa.outages[domain]
	if out == nil {
		out = &outage{failed: map[string]time.Time{}}
		pa.outages[domain] = out
	}
	return out
}

// isDown reports whether the failure domain counts as down.
func (pa *Path) isDown(domain string) bool {
	out := pa.outages[domain]
	return out != nil && out.down
}

// failedInDomain records the failure in the upstream's failure domain.
func (pa *Path) failedInDomain(now time.Time, upstream string) {
	out := pa.outageOf(upstream)
	if out == nil {
		return
	}
	out.failed[upstream] = now
	delete(out.reached, upstream)
	if out.round[upstream] {
		delete(out.round, upstream)
		out.roundFailed = true
	}
}

// reachedInDomain records that the upstream was reached.
func (pa *Path) reachedInDomain(now time.Time, upstream string) {
	domain, ok := pa.domains[upstream]
	if !ok {
		return
	}
	if pa.reachedAt == nil {
		pa.reachedAt = map[string]time.Time{}
	}
	pa.reachedAt[domain] = now
	out := pa.outages[domain]
	if out == nil {
		return
	}
	delete(pa.reports, upstream)
	if !out.down {
		clear(out.failed)
		return
	}
	delete(out.failed, upstream)
	if len(out.reached) == 0 {
		out.probeAt = now
	}
	out.reached[upstream] = true
	if len(out.round) > 0 && out.round[upstream] {
		delete(out.round, upstream)
		if len(out.round) == 0 && !out.roundFailed && len(out.reached) > 1 {
			pa.endOutage(domain)
		}
	}
	if len(out.reached) >= len(pa.members[domain]) {
		pa.endOutage(domain)
	}
}

// endOutage records that the failure domain is not down any more, and drops the reports of other instances about it.
func (pa *Path) endOutage(domain string) {
	if out := pa.outages[domain]; out != nil {
		*out = outage{failed: map[string]time.Time{}, checkedAt: out.checkedAt}
	}
	maps.DeleteFunc(pa.reports, func(name string, _ report) bool { return pa.domains[name] == domain })
}

// conclude marks the failure domains as down whose upstreams fail while an upstream of another failure domain is reached.
func (pa *Path) conclude(now time.Time) {
	if pa.Lost() {
		return
	}
	for domain, out := range pa.outages {
		if out.down {
			continue
		}
		maps.DeleteFunc(out.failed, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
		count := 0
		for _, name := range pa.members[domain] {
			if _, failed := out.failed[name]; failed || pa.reported(now, name) {
				count++
			}
		}
		if len(out.failed) == 0 || count < min(minOutageFailures, len(pa.members[domain])) || !pa.reachedElsewhere(out, domain) {
			continue
		}
		out.begin(now.Add(probeInterval))
		maps.DeleteFunc(pa.failed, func(name string, _ time.Time) bool { return pa.domains[name] == domain })
	}
}

// reachedElsewhere reports whether an upstream of another failure domain was reached after the first of the failures. An earlier connection
// proves nothing, since the path may have been lost after it.
func (pa *Path) reachedElsewhere(out *outage, domain string) bool {
	first := slices.MinFunc(slices.Collect(maps.Values(out.failed)), time.Time.Compare)
	for other, at := range pa.reachedAt {
		if other != domain && at.After(first) {
			return true
		}
	}
	return false
}

// Reported records that the reporter, which states no loss, does not reach the upstream but reaches others. If several upstreams of the
// failure domain are reported, it returns an upstream of it to probe, which shows whether the failure domain is down.
func (pa *Path) Reported(now time.Time, random *rand.Rand, upstream, reporter string) []string {
	if pa.reports == nil {
		pa.reports = map[string]report{}
	}
	pa.reports[upstream] = report{now, reporter}
	out := pa.outageOf(upstream)
	if out == nil || out.down || pa.Lost() || !out.checkedAt.IsZero() && now.Sub(out.checkedAt) < checkInterval {
		return nil
	}
	domain := pa.domains[upstream]
	count := 0
	for _, name := range pa.members[domain] {
		if pa.reported(now, name) {
			count++
		}
	}
	if count < min(minOutageFailures, len(pa.members[domain])) {
		return nil
	}
	out.checkedAt = now
	chosen := pa.pick(random, domain)
	pa.probe(now, chosen)
	return []string{chosen}
}

// Distrust drops the reports of an instance that has lost its path.
func (pa *Path) Distrust(reporter string) {
	maps.DeleteFunc(pa.reports, func(_ string, rp report) bool { return rp.reporter == reporter })
}

// reported reports whether another instance that states no loss did not reach the upstream.
func (pa *Path) reported(now time.Time, upstream string) bool {
	rp, ok := pa.reports[upstream]
	return ok && now.Sub(rp.at) <= maxAge
}

// judge returns the verdict on the path if the given number of failures is needed for its loss.
func (pa *Path) judge(now time.Time, needed int) Verdict {
	if len(pa.failed) < needed {
		return TooFew
	}
	failures, left := 0, 0
	domains := map[string]bool{}
	for name := range pa.failed {
		if !pa.reported(now, name) {
			failures++
		}
		domains[pa.domains[name]] = true
	}
	for domain, names := range pa.members {
		if !pa.isDown(domain) {
			left += len(names)
		}
	}
	if pa.SeveralDomains() && left > 0 {
		if len(domains) < min(maxWitnessDomains, len(pa.members)-len(pa.DownDomains())) {
			return DomainsLeft
		}
		if left < len(pa.domains) {
			// With few failure domains left, a single failure may be due to the upstream instead of the path.
			needed = min(max(needed, minFailures), left)
		}
	}
	if failures < needed {
		return ReportedByOthers
	}
	return PathLost
}

// Witnesses returns the upstreams to probe after the given one has failed, to find out whether the path is lost. They are one upstream in
// each of up to maxWitnessDomains-1 failure domains that have no failures and are not down or, if there are none, another one of the same
// failure domain. ok is false unless the upstream's failure domain is known and there are several.
func (pa *Path) Witnesses(now time.Time, random *rand.Rand, upstream string) (names []string, ok bool) {
	domain, known := pa.domains[upstream]
	if !known || !pa.SeveralDomains() {
		return nil, false
	}
	if pa.Lost() || pa.probing(now) {
		return nil, true
	}
	failed := map[string]bool{domain: true}
	for name := range pa.failed {
		failed[pa.domains[name]] = true
	}
	for _, other := range pa.shuffledDomains(random) {
		if len(names) < maxWitnessDomains-1 && !failed[other] && !pa.isDown(other) {
			names = append(names, pa.pick(random, other))
		}
	}
	if len(names) == 0 {
		others := slices.DeleteFunc(slices.Clone(pa.members[domain]), func(name string) bool { return name == upstream })
		if len(others) == 0 {
			return nil, true
		}
		names = append(names, others[random.IntN(len(others))])
	}
	pa.probe(now, names...)
	return names, true
}

// OutageProbes returns the upstreams to probe now in failure domains that are down: one in each, and returnProbes once one was reached.
func (pa *Path) OutageProbes(now time.Time, random *rand.Rand) []string {
	if pa.Lost() {
		return nil
	}
	var chosen []string
	for _, domain := range pa.DownDomains() {
		out := pa.outages[domain]
		if now.Before(out.probeAt) {
			continue
		}
		count := 1
		if len(out.reached) > 0 {
			count = returnProbes
		}
		left := slices.DeleteFunc(slices.Clone(pa.members[domain]), func(name string) bool { return out.reached[name] })
		random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		left = left[:min(count, len(left))]
		out.round, out.roundFailed, out.probeAt = map[string]bool{}, false, now.Add(probeInterval)
		for _, name := range left {
			out.round[name] = true
		}
		chosen = append(chosen, left...)
	}
	return chosen
}

// shuffledDomains returns the failure domains in random order.
func (pa *Path) shuffledDomains(random *rand.Rand) []string {
	domains := slices.Sorted(maps.Keys(pa.members))
	random.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	return domains
}

// oneOfEach returns one upstream of each of up to maxWitnessDomains failure domains that are not down. If these are fewer than minFailures, it
// adds further upstreams of the same failure domains.
func (pa *Path) oneOfEach(random *rand.Rand) []string {
	var chosen, rest []string
	for _, domain := range pa.shuffledDomains(random) {
		if pa.isDown(domain) || len(chosen) == maxWitnessDomains {
			continue
		}
		name := pa.pick(random, domain)
		chosen = append(chosen, name)
		rest = append(rest, slices.DeleteFunc(slices.Clone(pa.members[domain]), func(other string) bool { return other == name })...)
	}
	if len(chosen) < minFailures {
		chosen = append(chosen, rest[:min(minFailures-len(chosen), len(rest))]...)
	}
	return chosen
}

// pick returns an upstream of the failure domain, if possible one that has not failed.
func (pa *Path) pick(random *rand.Rand, domain string) string {
	names := pa.members[domain]
	if out := pa.outages[domain]; out != nil && len(out.failed) > 0 {
		left := slices.DeleteFunc(slices.Clone(names), func(name string) bool { _, failed := out.failed[name]; return failed })
		if len(left) > 0 {
			names = left
		}
	}
	return names[random.IntN(len(names))]
}

// allDown reports whether all failure domains count as down. Then no failure domain can show that the path is not lost.
func (pa *Path) allDown() bool {
	for domain := range pa.members {
		if !pa.isDown(domain) {
			return false
		}
	}
	return true
}

// outageKnown reports whether a failure domain is down or has failures that no success has followed.
func (pa *Path) outageKnown() bool {
	for _, out := range pa.outages {
		if out.down || len(out.failed) > 0 {
			return true
		}
	}
	return false
}

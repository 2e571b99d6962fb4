package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Limits are declared for the whole fleet, and each instance enforces its share of them alone. The shares follow the demand:
// each instance periodically reports what fraction of an organisation's limits its callers request from it. One instance,
// the same for all reporters, divides the limits of an organisation in proportion to the reports and replies with the shares.
// Admitting a request needs no other instance, and an instance that has received no share uses an equal one.
const (
	// minDemandPeriod is the minimum time between two reports of demand.
	minDemandPeriod = time.Second
	// demandPeriodPerInstance times the number of instances is the period in a large fleet. So the cost of the instance that
	// divides the limits does not grow with the fleet.
	demandPeriodPerInstance = 25 * time.Millisecond
	// minReportedDemand is the demand, as a fraction of an equal share, that an instance must exceed to report it.
	minReportedDemand = 0.25
	// equalFraction is the part of a limit that is always divided equally. Otherwise an organisation that moves to another
	// instance would be refused there until the next report.
	equalFraction = 0.1
	// shareTTLPeriods is the number of periods after which a share or a reported demand expires.
	shareTTLPeriods = 3
)

// demand is the demand of one organisation at one instance, as last reported.
type demand struct {
	// fraction is the demand as a fraction of the organisation's limits over the whole fleet.
	fraction float64
	at       time.Time
}

// DemandPeriod returns the time between two reports of demand.
func (st *State) DemandPeriod() time.Duration {
	return max(minDemandPeriod, time.Duration(st.Instances)*demandPeriodPerInstance)
}

// share returns this instance's share of the organisation's limits: the allocated one, or an equal one if it has expired.
func (st *State) share(now time.Time, acc *account) float64 {
	if now.Before(acc.shareUntil) {
		return acc.share
	}
	return 1 / float64(max(1, st.Instances))
}

// recordOffered counts an offered request, refused or not.
func (acc *account) recordOffered(now time.Time, tokens int64, period time.Duration) {
	acc.decayOffered(now, period)
	acc.offeredRequests++
	acc.offeredTokens += float64(tokens)
}

// decayOffered decays the offered counts up to now, with the period as the time constant.
func (acc *account) decayOffered(now time.Time, period time.Duration) {
	decay := math.Exp(-now.Sub(acc.offeredAt).Seconds() / period.Seconds())
	acc.offeredRequests *= decay
	acc.offeredTokens *= decay
	acc.offeredAt = now
}

// demandedFraction returns the demand at this instance as a fraction of the organisation's limit, for the one of its limits
// with the largest such fraction.
func (acc *account) demandedFraction(lim decl.Limits, period time.Duration) float64 {
	var fraction float64
	if lim.RequestsPerSecond > 0 {
		fraction = acc.offeredRequests / period.Seconds() / lim.RequestsPerSecond
	}
	if lim.TokensPerSecond > 0 {
		fraction = max(fraction, acc.offeredTokens/period.Seconds()/lim.TokensPerSecond)
	}
	if lim.RequestsInFlight > 0 {
		fraction = max(fraction, float64(acc.requestsInFlight)/float64(lim.RequestsInFlight))
	}
	if lim.TokensInFlight > 0 {
		fraction = max(fraction, float64(acc.tokensInFlight)/float64(lim.TokensInFlight))
	}
	return fraction
}

// Demands returns the demands that this instance has to report, in the order of the organisations' names.
func (st *State) Demands(now time.Time, organisations map[string]decl.Organisation) []event.Demand {
	var demands []event.Demand
	minFraction := minReportedDemand / float64(max(1, st.Instances))
	for name, acc := range st.orgs {
		lim := organisations[name].Limits
		if lim == (decl.Limits{}) {
			continue
		}
		acc.decayOffered(now, st.DemandPeriod())
		if fraction := acc.demandedFraction(lim, st.DemandPeriod()); fraction > minFraction {
			demands = append(demands, event.Demand{Organisation: name, Fraction: float32(fraction)})
		}
	}
	slices.SortFunc(demands, func(a, b event.Demand) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return demands
}

// AllocateShares records the demands that an instance, the reporter, has reported and returns its shares of the limits.
func (st *State) AllocateShares(now time.Time, reporter string, demands []event.Demand) []event.Share {
	shares := make([]event.Share, 0, len(demands))
	for _, dem := range demands {
		byInstance, ok := st.demands[dem.Organisation]
		if !ok {
			byInstance = map[string]demand{}
			st.demands[dem.Organisation] = byInstance
		}
		byInstance[reporter] = demand{fraction: float64(dem.Fraction), at: now}
		shares = append(shares, event.Share{Organisation: dem.Organisation, Fraction: float32(st.allocation(now, byInstance, reporter))})
	}
	return shares
}

// allocation returns the share of one organisation's limits that the reporter gets, from the demands of all instances for
// that organisation. It removes the expired ones.
func (st *State) allocation(now time.Time, byInstance map[string]demand, reporter string) float64 {
	var total float64
	for instance, dem := range byInstance {
		if now.Sub(dem.at) > shareTTLPeriods*st.DemandPeriod() {
			delete(byInstance, instance)
			continue
		}
		total += dem.fraction
	}
	equal := 1 / float64(max(1, st.Instances))
	if total <= 0 {
		return equal
	}
	return equalFraction*equal + (1-equalFraction)*byInstance[reporter].fraction/total
}

// ApplyShares sets the shares of the limits that were allocated to this instance.
func (st *State) ApplyShares(now time.Time, shares []event.Share) {
	for _, sh := range shares {
		acc, ok := st.orgs[sh.Organisation]
		if !ok || sh.Fraction <= 0 {
			continue
		}
		acc.share = min(1, float64(sh.Fraction))
		acc.shareUntil = now.Add(shareTTLPeriods * st.DemandPeriod())
	}
}

// DropExpiredDemands removes the expired demands and the organisations that have none left.
func (st *State) DropExpiredDemands(now time.Time) {
	for organisation, byInstance := range st.demands {
		for instance, dem := range byInstance {
			if now.Sub(dem.at) > shareTTLPeriods*st.DemandPeriod() {
				delete(byInstance, instance)
			}
		}
		if len(byInstance) == 0 {
			delete(st.demands, organisation)
		}
	}
}

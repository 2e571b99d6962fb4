package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Limits are declared for the whole fleet, and each instance enforces its part alone. The parts follow the demand: an
// instance tells now and then which part of its limits an organisation asks for here, and one of the instances, the
// same for all, adds up and answers with the parts. Nobody is asked for a request; who hears nothing uses an equal
// part.
const (
	// minTellPeriod and tellPeriodStep make the telling rarer in a large fleet, so that the cost of an instance that
	// shares out stays flat.
	minTellPeriod  = time.Second
	tellPeriodStep = 25 * time.Millisecond
	// worthTelling is the part of its equal share that an organisation must ask for here.
	worthTelling = 0.25
	// equalPart is the part of a limit that stays split equally, so that an organisation that turns to another
	// instance is not refused there until the next telling.
	equalPart = 0.1
	// shareLife is how many periods a share or a demand is good for.
	shareLife = 3
)

// demand is what one organisation asks of one instance.
type demand struct {
	part float64
	at   time.Time
}

// TellPeriod is the time between two tellings of demand.
func (st *State) TellPeriod() time.Duration {
	return max(minTellPeriod, time.Duration(st.Instances)*tellPeriodStep)
}

// share returns the part of the organisation's limits that is this instance's.
func (st *State) share(now time.Time, acc *account) float64 {
	if now.Before(acc.shareUntil) {
		return acc.share
	}
	return 1 / float64(max(1, st.Instances))
}

// offer counts what is asked for, refused or not, and forgets the old over the period.
func (acc *account) offer(now time.Time, tokens int64, period time.Duration) {
	acc.forget(now, period)
	acc.offeredRequests++
	acc.offeredTokens += float64(tokens)
}

func (acc *account) forget(now time.Time, period time.Duration) {
	keep := math.Exp(-now.Sub(acc.offeredAt).Seconds() / period.Seconds())
	acc.offeredRequests *= keep
	acc.offeredTokens *= keep
	acc.offeredAt = now
}

// part is the largest part of any of its limits that the organisation asks for here.
func (acc *account) part(lim decl.Limits, period time.Duration) float64 {
	var part float64
	if lim.RequestsPerSecond > 0 {
		part = acc.offeredRequests / period.Seconds() / lim.RequestsPerSecond
	}
	if lim.TokensPerSecond > 0 {
		part = max(part, acc.offeredTokens/period.Seconds()/lim.TokensPerSecond)
	}
	if lim.RequestsInFlight > 0 {
		part = max(part, float64(acc.inFlight)/float64(lim.RequestsInFlight))
	}
	if lim.TokensInFlight > 0 {
		part = max(part, float64(acc.tokensIn)/float64(lim.TokensInFlight))
	}
	return part
}

// Demands returns the demands that are worth telling, in the order of the organisations' names.
func (st *State) Demands(now time.Time, organisations map[string]decl.Organisation) []event.Demand {
	var demands []event.Demand
	least := worthTelling / float64(max(1, st.Instances))
	for name, acc := range st.orgs {
		lim := organisations[name].Limits
		if lim == (decl.Limits{}) {
			continue
		}
		acc.forget(now, st.TellPeriod())
		if part := acc.part(lim, st.TellPeriod()); part > least {
			demands = append(demands, event.Demand{Organisation: name, Part: float32(part)})
		}
	}
	slices.SortFunc(demands, func(one, two event.Demand) int { return cmp.Compare(one.Organisation, two.Organisation) })
	return demands
}

// ShareOut takes an instance's demands and returns its parts of the limits.
func (st *State) ShareOut(now time.Time, from string, demands []event.Demand) []event.Share {
	shares := make([]event.Share, 0, len(demands))
	for _, told := range demands {
		byInstance, ok := st.demands[told.Organisation]
		if !ok {
			byInstance = map[string]demand{}
			st.demands[told.Organisation] = byInstance
		}
		byInstance[from] = demand{part: float64(told.Part), at: now}
		shares = append(shares, event.Share{Organisation: told.Organisation, Part: float32(st.partOf(now, byInstance, from))})
	}
	return shares
}

func (st *State) partOf(now time.Time, byInstance map[string]demand, from string) float64 {
	var all float64
	for name, dem := range byInstance {
		if now.Sub(dem.at) > shareLife*st.TellPeriod() {
			delete(byInstance, name)
			continue
		}
		all += dem.part
	}
	equal := 1 / float64(max(1, st.Instances))
	if all <= 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*byInstance[from].part/all
}

// TakeShares takes this instance's parts of limits.
func (st *State) TakeShares(now time.Time, shares []event.Share) {
	for _, told := range shares {
		acc, ok := st.orgs[told.Organisation]
		if !ok || told.Part <= 0 {
			continue
		}
		acc.share = min(1, float64(told.Part))
		acc.shareUntil = now.Add(shareLife * st.TellPeriod())
	}
}

// ForgetDemands drops organisations that nobody asks for any more.
func (st *State) ForgetDemands(now time.Time) {
	for name, byInstance := range st.demands {
		for from, dem := range byInstance {
			if now.Sub(dem.at) > shareLife*st.TellPeriod() {
				delete(byInstance, from)
			}
		}
		if len(byInstance) == 0 {
			delete(st.demands, name)
		}
	}
}

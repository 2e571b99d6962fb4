package steer

import (
	"cmp"
	"slices"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Placement. Each plan is priced by the value of the answers that it would make late: the request's own and those of the
// callers whose streams would pause while an engine reads for it. Load pattern: short prompts whose streams may pause
// for a quarter of a second share the engines with prompts that an engine reads for seconds, in a mix that changes
// several times a minute, so that no fixed partition of the engines fits both.

// plan is the placement of a request.
type plan struct {
	// reps holds the replica that answers, followed by its helpers.
	reps []*replica
	// reservations holds how many tokens of memory each helper reserves, in the order of reps. Helpers beyond its end
	// reserve none; it is nil if the replica that answers holds all.
	reservations []int64
	// part is the time in ms that each replica takes for its part of the prompt if it has no other work.
	part float64
	// first is the estimated time to the first event of the answer in ms.
	first float64
	// cost is the value that callers are expected to lose: that of the request, of other requests on the same engines,
	// and of requests that the engine time displaces (see prices).
	cost float64
	// ownLoss is the part of cost that the request's own caller is expected to lose.
	ownLoss float64
	// spreadCost is added to cost when plans are compared with each other, but not when a plan is compared with the value
	// of the request, since no caller loses it.
	spreadCost float64
	// elsewhere reports whether the engine is in another subset, see placeElsewhere.
	elsewhere bool
}

// placeAt returns the plan with the one replica alone, or false if it has no room.
func (st *State) placeAt(req *request, rep *replica) (plan, bool) {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil {
		return plan{reps: []*replica{rep}}, len(rep.works) < rep.Slots+plainQueue
	}
	cand := st.candidateOf(svc, req, rep)
	cand.canAnswer = rep.freeSlots() > 0
	return st.planFor(svc.engine, req, []candidate{cand}, 1, st.pricesOf(svc))
}

// engineCounts are the numbers of engines that are considered for reading one prompt.
var engineCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 16}

// place returns the cheapest plan, or false if no replica has room or if the cheapest plan with engines costs more than
// the request may cost now.
func (st *State) place(req *request) (plan, bool) {
	svc := st.services[req.service]
	if svc == nil || req.yields != yieldsNot && st.loadUnknown() {
		return plan{}, false
	}
	if svc.engine == nil {
		return st.placePlain(svc, req)
	}
	return st.placePrompt(svc, req)
}

// placePlain picks the plain replica with the fewest requests, with a preference for one in the same failure domain.
// The requests of a slow replica count more; recent failures and a wait for a rate limit count as further requests.
func (st *State) placePlain(svc *service, req *request) (plan, bool) {
	var best *replica
	var minCost float64
	near := st.nearDomain()
	for _, rep := range st.candidates(svc) {
		if !rep.usable(st.now) || st.avoidsUnreached(svc, rep) || slices.Contains(req.tried, rep.Name) {
			continue
		}
		wait, ok := st.limitWait(rep, req)
		if !ok || len(rep.works) >= plainCapacity(rep, req) || st.connectionsFull(rep) {
			continue
		}
		cost := float64(len(rep.works))*rep.slow + float64(rep.failures) + wait.Seconds()*waitSecondCost
		if rep.FailureDomain != near {
			cost += 0.5
		}
		cost += st.connectionCost(rep, st.tune.PlainConnectionCost)
		cost += 0.1 * st.random.Float64()
		if best == nil || cost < minCost {
			best, minCost = rep, cost
		}
	}
	if best == nil {
		return plan{}, false
	}
	return plan{reps: []*replica{best}}, true
}

// plainQueue is how many requests may wait at a plain replica beyond its slots. All others wait at the instance, in
// order of urgency.
const plainQueue = 2

// plainCapacity returns the number of requests at the plain replica from which on the request is not sent there. A request that gives
// way to others uses the slots only and not the queue behind them.
func plainCapacity(rep *replica, req *request) int {
	if req.yields != yieldsNot {
		return max(1, rep.Slots)
	}
	return rep.Slots + plainQueue
}

// waitSecondCost is the number of requests in progress at a plain replica that cost as much as a wait of one second for
// its rate limit.
const waitSecondCost = 20

// candidate is an engine that a request may use, with all that does not depend on how much of the prompt it would read.
type candidate struct {
	rep      *replica
	estimate forecast
	// readsLong is set while the engine reads a long prompt. Meanwhile it takes no long part of another prompt.
	readsLong bool
	// penalty is added to the cost when engines are compared, although no caller loses it. A bonus is subtracted from it
	// if a request should check whether the engine's rate limit still holds.
	penalty float64
	// spreadCost is added likewise, but only if the engine is the one that answers. It includes the cost of a new connection.
	spreadCost float64
	// canAnswer is set if the engine has a free slot that the request may take, and not only room to help.
	canAnswer bool
	// freeTokens is the free memory in tokens.
	freeTokens int64
	// limited is set while the engine states a rate limit or is cold. Each part of a prompt and each reservation of memory would
	// count against that limit, so the engine takes no part of a prompt that several engines read.
	limited bool
}

// quote is what a candidate costs with a given part of the prefill work.
type quote struct {
	*candidate
	// harm is the value that the callers of the engine's other requests lose.
	harm float64
	// answerTime is the time in ms until the answer would begin if the engine answers.
	answerTime float64
	// helperTime is the time in ms until the part would be read if the engine helps.
	helperTime float64
	// latenessLoss is the request's own value that is lost if the engine answers and begins late.
	latenessLoss float64
	// pauseLoss is the request's own value that is lost by the pauses of its stream if the engine answers.
	pauseLoss float64
}

// helperCost is the cost of the engine as a helper, where idle is the price of a second of engine time.
func (qt *quote) helperCost(idle float64) float64 {
	return qt.harm + qt.penalty + idle*qt.helperTime/1000
}

// answerCost is the cost of the engine that answers, where idle is the price of a second of engine time.
func (qt *quote) answerCost(idle float64) float64 {
	return qt.harm + qt.latenessLoss + qt.pauseLoss + qt.penalty + qt.spreadCost + idle*qt.answerTime/1000
}

// placePrompt returns the cheapest plan with any number of engines, or false if there is none or if it costs more than
// the request may cost now.
func (st *State) placePrompt(svc *service, req *request) (plan, bool) {
	eng := svc.engine
	price := st.pricesOf(svc)
	engines := st.engines(svc, req)
	var best plan
	found := false
	for _, count := range engineCounts {
		if count > 1 && (count > st.maxEngines(eng) || eng.PrefillWork(req.Prompt, 1).AloneTime(eng) < st.tune.MinSplit*float64(count)) {
			break
		}
		pl, ok := st.planFor(eng, req, engines, count, price)
		if !ok {
			continue
		}
		if !found || pl.cost+pl.spreadCost < best.cost+best.spreadCost {
			best, found = pl, true
		}
	}
	return best, found && st.worthCost(req, &best)
}

// worthCost reports whether the cost of the plan is within what the request may cost, in all and to other requests.
func (st *State) worthCost(req *request, pl *plan) bool {
	allowed := req.value * st.maxCostShare(req, pl)
	return pl.cost < allowed && pl.cost-pl.ownLoss < allowed*st.costShareWhileScarce(req)
}

// maxEngines is how many engines may read one prompt together.
func (st *State) maxEngines(eng *decl.Engine) int { return min(eng.Helpers+1, st.tune.MaxEngines) }

// maxCostShare is the share of its value that a request may cost now. A request that can wait and still be in time takes
// only a cheap placement: engines that are busy, or write for callers that tolerate no pause, are often free a moment
// later.
func (st *State) maxCostShare(req *request, pl *plan) float64 {
	if float64(len(pl.reps))*pl.part <= st.tune.LongRead {
		// A short read has no time to wait for a better moment.
		return 1
	}
	spare := st.tune.Safety*ms(req.Route.Goal.Std()) - pl.first
	age := ms(st.now.Sub(req.at))
	if spare <= 0 || age >= spare {
		return 1
	}
	return st.tune.MinCostShare + (1-st.tune.MinCostShare)*age/spare
}

// planFor returns the cheapest plan for reading the request on count engines, or false if there is none.
func (st *State) planFor(eng *decl.Engine, req *request, engines []candidate, count int, price prices) (plan, bool) {
	part := eng.PrefillWork(req.Prompt, count)
	quotes := st.quotes(eng, req, engines, part, count)
	slices.SortStableFunc(quotes, func(a, b quote) int { return cmp.Compare(a.helperCost(price.idle), b.helperCost(price.idle)) })
	answering := answeringEngine(eng, req, quotes, price.idle)
	if answering < 0 || len(quotes) < count {
		return plan{}, false
	}
	pl := plan{part: part.AloneTime(eng), reps: []*replica{quotes[answering].rep}}
	pl.cost, pl.first = quotes[answering].harm+quotes[answering].pauseLoss, quotes[answering].answerTime
	pl.spreadCost = quotes[answering].spreadCost
	missing := req.tokens() - quotes[answering].freeTokens
	for i := range quotes {
		if len(pl.reps) == count {
			break
		}
		if i == answering || quotes[i].rep.helping() >= quotes[i].rep.Slots {
			continue
		}
		pl.reps = append(pl.reps, quotes[i].rep)
		pl.cost += quotes[i].harm
		pl.first = max(pl.first, quotes[i].helperTime)
		if missing > 0 {
			reserved := min(missing, quotes[i].freeTokens)
			pl.reservations = append(pl.reservations, reserved)
			missing -= reserved
		}
	}
	if missing > 0 {
		return plan{}, false
	}
	if len(pl.reps) < count {
		return plan{}, false
	}
	lateness := st.lateness(req, pl.first)
	pl.ownLoss = quotes[answering].pauseLoss + lateness
	pl.cost += lateness
	pl.cost += (price.reading*float64(count)*pl.part + price.idle*pl.first) / 1000
	return pl, true
}

// engines returns the engines that may read the prompt or a part of it.
func (st *State) engines(svc *service, req *request) []candidate {
	replicas := st.candidates(svc)
	engines := make([]candidate, 0, len(replicas))
	waiting := st.waitingRequests(svc)
	for _, rep := range replicas {
		if !rep.usable(st.now) || st.avoidsUnreached(svc, rep) || slices.Contains(req.tried, rep.Name) {
			continue
		}
		wait, ok := st.limitWait(rep, req)
		if !ok {
			continue
		}
		refused := st.now.Before(rep.fullUntil) || st.now.Before(req.avoidUntil[rep.Name])
		cand := st.candidateOf(svc, req, rep)
		// A wait for the rate limit delays the request as a longer rest of the current pass would.
		cand.estimate.left += ms(wait)
		cand.canAnswer = !refused && rep.running() < svc.engine.Slots && !st.connectionsFull(rep) && st.mayTakeSlot(rep, req, waiting)
		engines = append(engines, cand)
	}
	return engines
}

// candidateOf returns the replica as a candidate for the request. canAnswer is left to the calling function.
func (st *State) candidateOf(svc *service, req *request, rep *replica) candidate {
	cand := candidate{rep: rep, limited: rep.schedule != nil, estimate: rep.forecast(svc.engine, &st.tune, st.now), freeTokens: rep.free(svc.engine)}
	cand.readsLong = st.readsLong(rep, &cand.estimate)
	cand.spreadCost = st.tune.spreadCost(rep, req) + st.connectionCost(rep, st.tune.NewConnectionCost)
	cand.penalty = st.tune.Crowding * st.random.Float64()
	if rep.FailureDomain != st.Options.FailureDomain {
		cand.penalty += st.tune.FarCost
	}
	if rep.limit != nil && st.now.Sub(rep.limit.reportedAt) > limitProbeAge {
		cand.penalty -= limitProbeBonus
	}
	return cand
}

// quotes returns what each engine costs if it reads the part, as one of count engines. It leaves out the engines that
// may not read it.
func (st *State) quotes(eng *decl.Engine, req *request, engines []candidate, part decl.PrefillWork, count int) []quote {
	quotes := make([]quote, 0, len(engines))
	long := part.AloneTime(eng) > st.tune.LongRead
	for i := range engines {
		cand := &engines[i]
		if long && cand.readsLong || cand.limited && count > 1 {
			continue
		}
		qt := quote{candidate: cand, answerTime: cand.estimate.firstEvent(part), helperTime: cand.estimate.partRead(part)}
		qt.latenessLoss = st.lateness(req, qt.answerTime)
		qt.pauseLoss = st.ownPauseLoss(eng, req, &cand.estimate)
		qt.harm = st.harmToOthers(cand.rep, &cand.estimate, part)
		quotes = append(quotes, qt)
	}
	return quotes
}

// memoryShare is the share of an engine's memory that can be relied on, since engines allocate memory in blocks.
const memoryShare = 0.97

// free is the memory in tokens that no known work holds.
func (rep *replica) free(eng *decl.Engine) int64 {
	return max(0, int64(memoryShare*float64(eng.Memory))-rep.usedTokens())
}

// readsLong reports whether the replica is reading a long prompt, or a part of one, and will not be done soon. An
// engine reads the newest part before all others, so a sequence of new parts would hold back the earlier ones until the
// load falls. Requests that wait at the instance instead keep their order.
func (st *State) readsLong(rep *replica, fc *forecast) bool {
	for i := range rep.works {
		wk := &rep.works[i]
		if !wk.long || wk.begun || !wk.first && wk.stage == stageDone {
			continue
		}
		if wk.first || wk.stage == stageWaiting || wk.passShare < 1 || fc.left > 0 {
			return true
		}
	}
	return false
}

// tokens is the memory in tokens that the request needs.
func (req *request) tokens() int64 { return req.Prompt + req.Answer }

// answeringEngine returns the index in quotes of the engine that should answer, or -1 if none can. A request that fits
// into one engine waits for one that has the memory. A larger one takes the free memory of the engine that answers, and
// its helpers reserve the rest.
func answeringEngine(eng *decl.Engine, req *request, quotes []quote, idle float64) int {
	cheapest := -1
	large := req.tokens() > int64(memoryShare*float64(eng.Memory))
	for i := range quotes {
		if !quotes[i].canAnswer || !large && quotes[i].freeTokens < req.tokens() {
			continue
		}
		if cheapest < 0 || quotes[i].answerCost(idle) < quotes[cheapest].answerCost(idle) {
			cheapest = i
		}
	}
	return cheapest
}

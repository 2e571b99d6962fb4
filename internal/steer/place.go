package steer

import (
	"cmp"
	"slices"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Placement. Each choice is priced in the worth of answers that it would make late: the request's own and those of the
// callers whose streams would pause while an engine reads for it. Load pattern: short prompts whose streams may pause
// a quarter of a second share the engines with prompts that an engine reads for seconds, in a mix that turns several
// times a minute, so that no fixed part of the engines is right for either.

// plan is where a request goes.
type plan struct {
	reps []*replica
	// tickets holds how many tokens each of the helpers sets aside, nil if the first replica holds all.
	tickets []int64
	// part is the reading of each in ms.
	part float64
	// first is the estimated time to the first byte in ms, cost the worth lost, bias what parts plans besides.
	first, cost, bias float64
}

// placeAt places the request at one replica alone, or returns false if that has no room.
func (st *State) placeAt(req *request, rep *replica) (plan, bool) {
	svc := st.serviceOf(rep.Service)
	if svc.engine == nil {
		return plan{reps: []*replica{rep}}, len(rep.works) < rep.Slots+plainQueue
	}
	cand := st.candidateOf(svc, req, rep)
	cand.slot = rep.freeSlots() > 0
	return st.planFor(svc.engine, req, []candidate{cand}, 1, st.pricesOf(svc))
}

// engineCounts are the numbers of engines that may read one prompt.
var engineCounts = []int{1, 2, 3, 4, 6, 8, 10, 12, 14, 16}

// place finds the best plan, or false if no replica has room.
func (st *State) place(req *request) (plan, bool) {
	svc := st.services[req.service]
	if svc == nil {
		return plan{}, false
	}
	if svc.engine == nil {
		return st.placePlain(svc, req)
	}
	return st.placePrompt(svc, req)
}

// placePlain takes the replica with the fewest requests, a near one of several.
func (st *State) placePlain(svc *service, req *request) (plan, bool) {
	var best *replica
	var least float64
	for _, rep := range st.candidates(svc) {
		if !rep.usable(st.now) || slices.Contains(req.tried, rep.Name) {
			continue
		}
		wait, ok := st.limitWait(rep, req)
		if !ok || len(rep.works) >= rep.Slots+plainQueue {
			continue
		}
		cost := float64(len(rep.works))*rep.slow + float64(rep.failures) + wait.Seconds()*waitCost
		if rep.FailureDomain != st.Options.FailureDomain {
			cost += 0.5
		}
		cost += 0.1 * st.random.Float64()
		if best == nil || cost < least {
			best, least = rep, cost
		}
	}
	if best == nil {
		return plan{}, false
	}
	return plan{reps: []*replica{best}}, true
}

// plainQueue is how many requests may wait at a plain replica beyond its slots; more wait here, in order of urgency.
const plainQueue = 2

// waitCost is how many calls under way at a plain replica count for as much as a wait of a second for its rate limit.
const waitCost = 20

// candidate is one engine as a request finds it, whatever part of the reading it would have.
type candidate struct {
	rep *replica
	out outlook
	// reads tells that it reads a long prompt and takes no part of another.
	reads bool
	// bias makes the engine less of a choice without costing any caller anything, spread does if it answers.
	bias, spread float64
	// slot tells that it has room to answer, and not only to help; free is its free memory in tokens.
	slot bool
	free int64
	// limited tells that it names a rate limit. Each part of a prompt and each order for its memory would count, so that it
	// helps with no prompt.
	limited bool
}

// option is a candidate with a part of the reading.
type option struct {
	*candidate
	// harm is what the callers of its other requests lose in worth.
	harm float64
	// wait is the time in ms until the answer would begin or the part be read if it answers, waitHelp if it helps.
	wait, waitHelp float64
	// late is the request's own worth lost if it is answered here and begins late, pauses that lost by its pauses.
	late, pauses float64
}

// asHelper and asFirst are what the engine costs in the one and the other part.
func (opt *option) asHelper(idle float64) float64 {
	return opt.harm + opt.bias + idle*opt.waitHelp/1000
}

func (opt *option) asFirst(idle float64) float64 {
	return opt.harm + opt.late + opt.pauses + opt.bias + opt.spread + idle*opt.wait/1000
}

func (st *State) placePrompt(svc *service, req *request) (plan, bool) {
	eng := svc.engine
	price := st.pricesOf(svc)
	engines := st.engines(svc, req)
	var best plan
	found := false
	for _, count := range engineCounts {
		if count > 1 && (count > st.mostEngines(eng) || eng.Reading(req.Prompt, 1).Alone(eng) < st.tune.MinSplit*float64(count)) {
			break
		}
		pl, ok := st.planFor(eng, req, engines, count, price)
		if !ok {
			continue
		}
		if !found || pl.cost+pl.bias < best.cost+best.bias {
			best, found = pl, true
		}
	}
	return best, found && best.cost < req.value*st.urgency(req, &best)
}

// mostEngines is how many engines may read one prompt together.
func (st *State) mostEngines(eng *decl.Engine) int { return min(eng.Helpers+1, st.tune.MaxEngines) }

// urgency is the part of its worth that a request may cost now. One that can wait and still be in time takes only a cheap
// place: engines that are busy or write for callers who may not wait are often free a moment later.
func (st *State) urgency(req *request, pl *plan) float64 {
	if float64(len(pl.reps))*pl.part <= st.tune.LongRead {
		// A short one has no time to wait for a better moment.
		return 1
	}
	spare := st.tune.Safety*ms(req.Route.Goal.Std()) - pl.first
	age := ms(st.now.Sub(req.at))
	if spare <= 0 || age >= spare {
		return 1
	}
	return st.tune.CalmShare + (1-st.tune.CalmShare)*age/spare
}

// planFor reckons the request read by so many engines.
func (st *State) planFor(eng *decl.Engine, req *request, engines []candidate, count int, price prices) (plan, bool) {
	part := eng.Reading(req.Prompt, count)
	options := st.options(eng, req, engines, part, count)
	slices.SortStableFunc(options, func(one, two option) int { return cmp.Compare(one.asHelper(price.idle), two.asHelper(price.idle)) })
	first := firstOf(eng, req, options, price.idle)
	if first < 0 || len(options) < count {
		return plan{}, false
	}
	pl := plan{part: part.Alone(eng), reps: []*replica{options[first].rep}}
	pl.cost, pl.first = options[first].harm+options[first].pauses, options[first].wait
	pl.bias = options[first].spread
	missing := req.tokens() - options[first].free
	for i := range options {
		if len(pl.reps) == count {
			break
		}
		if i == first || options[i].rep.helping() >= options[i].rep.Slots {
			continue
		}
		pl.reps = append(pl.reps, options[i].rep)
		pl.cost += options[i].harm
		pl.first = max(pl.first, options[i].waitHelp)
		if missing > 0 {
			ticket := min(missing, options[i].free)
			pl.tickets = append(pl.tickets, ticket)
			missing -= ticket
		}
	}
	if missing > 0 {
		return plan{}, false
	}
	if len(pl.reps) < count {
		return plan{}, false
	}
	pl.cost += st.lateness(req, pl.first)
	pl.cost += (price.reading*float64(count)*pl.part + price.idle*pl.first) / 1000
	return pl, true
}

// engines lists the engines that may take a part of the reading.
func (st *State) engines(svc *service, req *request) []candidate {
	replicas := st.candidates(svc)
	engines := make([]candidate, 0, len(replicas))
	rivals := st.rivals(svc)
	for _, rep := range replicas {
		if !rep.usable(st.now) || slices.Contains(req.tried, rep.Name) {
			continue
		}
		wait, ok := st.limitWait(rep, req)
		if !ok {
			continue
		}
		cand := st.candidateOf(svc, req, rep)
		cand.out.left += ms(wait)
		cand.slot = rep.running() < svc.engine.Slots && st.myTurn(rep, req, rivals)
		engines = append(engines, cand)
	}
	return engines
}

// candidateOf is the replica as the request finds it, without its slots.
func (st *State) candidateOf(svc *service, req *request, rep *replica) candidate {
	cand := candidate{rep: rep, limited: rep.limit != nil, out: rep.outlook(svc.engine, &st.tune, st.now), free: rep.free(svc.engine)}
	cand.reads = st.readsLong(rep, &cand.out)
	cand.spread = st.tune.spread(rep, req)
	cand.bias = st.tune.Crowding * st.random.Float64()
	if rep.FailureDomain != st.Options.FailureDomain {
		cand.bias += st.tune.FarCost
	}
	if cand.limited && st.now.Sub(rep.limit.heard) > limitStale {
		cand.bias -= probeGain
	}
	return cand
}

// options prices a part of so much reading at each engine.
func (st *State) options(eng *decl.Engine, req *request, engines []candidate, part decl.Reading, count int) []option {
	options := make([]option, 0, len(engines))
	long := part.Alone(eng) > st.tune.LongRead
	for i := range engines {
		cand := &engines[i]
		if long && cand.reads || cand.limited && count > 1 {
			continue
		}
		opt := option{candidate: cand, wait: cand.out.first(part), waitHelp: cand.out.help(part)}
		opt.late = st.lateness(req, opt.wait)
		opt.pauses = st.ownPauses(eng, req, &cand.out)
		opt.harm = st.harm(cand.rep, &cand.out, part)
		options = append(options, opt)
	}
	return options
}

// memoryShare is the part of an engine's memory that is counted on: it is given out in blocks.
const memoryShare = 0.97

// free is the memory in tokens that nothing known here takes.
func (rep *replica) free(eng *decl.Engine) int64 {
	return max(0, int64(memoryShare*float64(eng.Memory))-rep.held())
}

// readsLong tells that the replica is reading a long prompt or a part of one and will not be done soon. An engine reads
// the part that came last before all others, so that parts that keep coming hold back the earlier ones until the load
// falls; what waits here keeps its order.
func (st *State) readsLong(rep *replica, out *outlook) bool {
	for i := range rep.works {
		wk := &rep.works[i]
		if !wk.long || wk.begun || !wk.first && wk.stage == stageRead {
			continue
		}
		if wk.first || wk.stage == stageWaits || wk.taken < 1 || out.left > 0 {
			return true
		}
	}
	return false
}

// tokens is the memory that the request needs.
func (req *request) tokens() int64 { return req.Prompt + req.Answer }

// firstOf returns the place of the engine that should answer, -1 if none can. A request that fits into one engine waits
// for one that has the memory; a larger one takes what there is, and its helpers set the rest aside.
func firstOf(eng *decl.Engine, req *request, options []option, idle float64) int {
	first := -1
	large := req.tokens() > int64(memoryShare*float64(eng.Memory))
	for i := range options {
		if !options[i].slot || !large && options[i].free < req.tokens() {
			continue
		}
		if first < 0 || options[i].asFirst(idle) < options[first].asFirst(idle) {
			first = i
		}
	}
	return first
}

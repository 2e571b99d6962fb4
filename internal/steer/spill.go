package steer

import (
	"slices"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Help between subsets. Load pattern: the callers of one failure domain ask for more than its engines can do in time, while the engines
// of another one have capacity. A request that finds no place in time in the own subset is placed at an engine of another one, whose load
// is not known here. Its granting instance, which knows the load, is asked for a slot and refuses requests that would be late or would
// delay others at the engine. So subsets need not announce their load to each other, and outdated reports of load cannot direct all
// requests to the same engine.

const (
	// minSpillLoss is the share of a request's value that its placement in the own subset must be expected to cost before another
	// subset is asked.
	minSpillLoss = 0.5
	// maxSpillTries is the number of engines of other subsets that a request asks.
	maxSpillTries = 4
	// spillSample is the maximum number of engines of other subsets, chosen at random, of which the cheapest is asked.
	spillSample = 4
)

// placeElsewhere returns a plan with an engine of another subset, and true, if there is no plan in the own subset or it costs too much.
// own is that plan; ok reports whether there is one.
func (st *State) placeElsewhere(req *request, own *plan, ok bool) (plan, bool) {
	svc := st.services[req.service]
	if svc == nil || svc.engine == nil || req.yields != yieldsNot || req.slotRefusals >= maxSpillTries || ok && own.cost < minSpillLoss*req.value {
		return plan{}, false
	}
	if req.tokens() > int64(memoryShare*float64(svc.engine.Memory)) {
		// Several engines would have to be asked.
		return plan{}, false
	}
	engines := st.spillEngines(svc, req)
	if len(engines) == 0 {
		return plan{}, false
	}
	pl, found := st.planFor(svc.engine, req, engines, 1, st.pricesOf(svc))
	if !found || pl.cost >= minSpillLoss*req.value || ok && pl.cost >= own.cost {
		return plan{}, false
	}
	pl.elsewhere = true
	return pl, true
}

// spillEngines returns up to spillSample random engines of other subsets that may be asked for a slot.
func (st *State) spillEngines(svc *service, req *request) []candidate {
	all, own := st.inUse(svc), st.candidates(svc)
	if len(all) == len(own) {
		return nil
	}
	subset := st.ownSubset(svc)
	var engines []candidate
	for range spillTries {
		rep := all[st.random.IntN(len(all))]
		if len(engines) == spillSample {
			break
		}
		if st.subsetOf(rep) == subset || !st.mayTakeSpill(svc.engine, req, rep) || slices.ContainsFunc(engines, func(cand candidate) bool { return cand.rep == rep }) {
			continue
		}
		cand := st.candidateOf(svc, req, rep)
		cand.canAnswer = true
		engines = append(engines, cand)
	}
	return engines
}

// spillTries is the number of random draws with which spillEngines looks for spillSample engines.
const spillTries = 4 * spillSample

// mayTakeSpill reports whether the engine of another subset may be asked for a slot for the request.
func (st *State) mayTakeSpill(eng *decl.Engine, req *request, rep *replica) bool {
	if !rep.usable(st.now) || rep.schedule != nil || st.now.Before(rep.fullUntil) || st.now.Before(req.avoidUntil[rep.Name]) {
		return false
	}
	return !slices.Contains(req.tried, rep.Name) && rep.running() < eng.Slots
}

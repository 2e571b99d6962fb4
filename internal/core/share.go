package core

import (
	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// maxDemands keeps a message under a kilobyte.
const maxDemands = 24

// tellDemands tells each instance that shares out limits what the organisations ask for here.
func (st *State) tellDemands() {
	if st.now.Before(st.nextDemands) || len(st.Instances) == 0 {
		return
	}
	st.nextDemands = st.now.Add(st.Admit.TellPeriod())
	st.Admit.ForgetDemands(st.now)
	bySharer := map[event.Instance][]event.Demand{}
	var order []event.Instance
	for _, dem := range st.Admit.Demands(st.now, st.Config.Organisations) {
		sharer := st.sharerOf(dem.Organisation)
		if len(bySharer[sharer]) == 0 {
			order = append(order, sharer)
		}
		bySharer[sharer] = append(bySharer[sharer], dem)
	}
	for _, sharer := range order {
		st.tellSharer(sharer, bySharer[sharer])
	}
}

func (st *State) tellSharer(sharer event.Instance, demands []event.Demand) {
	if sharer.Name == st.Options.Name {
		st.Admit.TakeShares(st.now, st.Admit.ShareOut(st.now, sharer.Name, demands))
		return
	}
	for len(demands) > 0 {
		count := min(len(demands), maxDemands)
		st.emit(effect.TellDemand{To: sharer, Demands: demands[:count]})
		demands = demands[count:]
	}
}

// sharerOf is the instance that shares out the organisation's limits: the one of the highest hash, so that all
// instances name the same one as long as they know the same instances, and a lost one moves only its own.
func (st *State) sharerOf(organisation string) event.Instance {
	var sharer event.Instance
	var highest uint64
	for _, inst := range st.Instances {
		if inst.Leaving {
			continue
		}
		if hash := xxhash.Sum64String(inst.Name + "/" + organisation); sharer.Name == "" || hash > highest {
			sharer, highest = inst, hash
		}
	}
	return sharer
}

func (st *State) demandHeard(ev event.DemandHeard) {
	shares := st.Admit.ShareOut(st.now, ev.From, ev.Demands)
	for _, inst := range st.Instances {
		if inst.Name == ev.From {
			st.emit(effect.TellShares{To: inst, Shares: shares})
			return
		}
	}
}

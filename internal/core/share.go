package core

import (
	"github.com/cespare/xxhash/v2"

	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
)

// maxDemands is the maximum number of demands in a message, which keeps it smaller than a kilobyte.
const maxDemands = 24

// sendDemands sends the organisations' demands at this instance to the instances that divide their limits.
func (st *State) sendDemands() {
	if st.now.Before(st.nextDemands) || len(st.Instances) == 0 {
		return
	}
	st.nextDemands = st.now.Add(st.Admit.DemandPeriod())
	st.Admit.DropExpiredDemands(st.now)
	byAllocator := map[event.Instance][]event.Demand{}
	var order []event.Instance
	for _, dem := range st.Admit.Demands(st.now, st.Config.Organisations) {
		allocator := st.allocatorOf(dem.Organisation)
		if len(byAllocator[allocator]) == 0 {
			order = append(order, allocator)
		}
		byAllocator[allocator] = append(byAllocator[allocator], dem)
	}
	for _, allocator := range order {
		st.sendDemandsTo(allocator, byAllocator[allocator])
	}
}

func (st *State) sendDemandsTo(allocator event.Instance, demands []event.Demand) {
	if allocator.Name == st.Options.Name {
		st.Admit.ApplyShares(st.now, st.Admit.AllocateShares(st.now, allocator.Name, demands))
		return
	}
	for len(demands) > 0 {
		count := min(len(demands), maxDemands)
		st.emit(effect.SendDemand{To: allocator, Demands: demands[:count]})
		demands = demands[count:]
	}
}

// allocatorOf returns the instance that divides the organisation's limits, chosen by rendezvous hashing: instances that know
// the same instances choose the same one, and the loss of an instance moves only the organisations that it served.
func (st *State) allocatorOf(organisation string) event.Instance {
	var allocator event.Instance
	var highest uint64
	for _, inst := range st.Instances {
		if inst.Leaving {
			continue
		}
		if hash := xxhash.Sum64String(inst.Name + "/" + organisation); allocator.Name == "" || hash > highest {
			allocator, highest = inst, hash
		}
	}
	return allocator
}

func (st *State) handleDemandReceived(ev event.DemandReceived) {
	shares := st.Admit.AllocateShares(st.now, ev.From, ev.Demands)
	for _, inst := range st.Instances {
		if inst.Name == ev.From {
			st.emit(effect.SendShares{To: inst, Shares: shares})
			return
		}
	}
}

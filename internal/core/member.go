package core

import (
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/member"
)

// reduceMembership passes an event to the membership and applies the resulting changes.
func (st *State) reduceMembership(ev event.Event) {
	if st.Member == nil {
		return
	}
	st.effects = append(st.effects, st.Member.Reduce(st.now, ev)...)
	for _, upd := range st.Member.LeavingUpstreams {
		st.markUpstreamLeaving(upd)
	}
	st.Member.LeavingUpstreams = st.Member.LeavingUpstreams[:0]
	if st.Member.Changed {
		st.Member.Changed = false
		st.setInstances(st.Member.Instances())
		st.updateCoordinators()
	}
}

// markUpstreamLeaving applies a peer's report that an upstream is leaving, which may arrive before the platform's list
// shows it here.
func (st *State) markUpstreamLeaving(upd event.StatusUpdate) {
	rep, ok := st.Route.Replicas[upd.Name]
	if ok && member.AddressHash(rep.Upstream.Address) == upd.Incarnation {
		st.Route.MarkLeaving(rep)
	}
}

func (st *State) handleInstancesListed(ev event.InstancesListed) {
	st.divideRetryBudgets(ev.Instances)
	if st.Member == nil {
		st.setInstances(ev.Instances)
		return
	}
	st.reduceMembership(ev)
}

// divideRetryBudgets divides the organisations' retry budgets among the instances of the platform's list, which was just read.
func (st *State) divideRetryBudgets(instances []event.Instance) {
	var others []string
	listed := false
	for _, inst := range instances {
		if inst.Name == st.Options.Name {
			listed = true
			continue
		}
		others = append(others, inst.Name)
	}
	st.Admit.Division.ListRead(st.now, others, listed)
	st.Admit.Division.Confirm(st.now, 0)
}

func (st *State) setInstances(instances []event.Instance) {
	st.sendQuarantineToNew(instances)
	st.Instances = instances
	live := 0
	for _, inst := range instances {
		if !inst.Leaving {
			live++
		}
	}
	st.Admit.Instances = max(1, live)
	st.Route.SetInstances(live)
}

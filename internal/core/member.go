package core

import (
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/member"
)

// followMembers hands the membership its events and acts on what it found out.
func (st *State) followMembers(ev event.Event) {
	if st.Member == nil {
		return
	}
	st.effects = append(st.effects, st.Member.Reduce(st.now, ev)...)
	for _, word := range st.Member.Left {
		st.upstreamLeaves(word)
	}
	st.Member.Left = st.Member.Left[:0]
	if st.Member.Changed {
		st.Member.Changed = false
		st.instancesChanged(st.Member.Instances())
		st.coordinatorsChanged()
	}
}

// upstreamLeaves takes a peer's word that an upstream is leaving, which is ahead of the list read here.
func (st *State) upstreamLeaves(word event.Word) {
	rep, ok := st.Route.Replicas[word.Name]
	if ok && member.AddressHash(rep.Upstream.Address) == word.Incarnation {
		st.Route.Leave(rep)
	}
}

func (st *State) instancesListed(ev event.InstancesListed) {
	if st.Member == nil {
		st.instancesChanged(ev.Instances)
		return
	}
	st.followMembers(ev)
}

func (st *State) instancesChanged(instances []event.Instance) {
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

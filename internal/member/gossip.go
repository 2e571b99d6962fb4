package member

import (
	"math/bits"
	"slices"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Parameters of the gossip.
const (
	// fanout is the number of members to which an urgent update is sent at once. Each of them forwards it to as many, so
	// that all but a few percent of the members receive it within about as many hops as the fleet's size has decimal
	// digits. Probes carry it to the rest.
	fanout = 4
	// retransmitMult limits how often an update is sent with probes and their answers: retransmitMult times the number of
	// bits of the fleet's size, which is about its binary logarithm.
	retransmitMult = 3
	// maxPiggybacked is the maximum number of queued updates in one message.
	maxPiggybacked = 6
)

// queuedUpdate is an update that still has to be sent with probes.
type queuedUpdate struct {
	update event.StatusUpdate
	// sent is the number of probes and answers that have carried the update.
	sent int
}

func (st *State) applyAll(updates []event.StatusUpdate) {
	for _, upd := range updates {
		st.apply(upd)
	}
}

// apply applies an update that supersedes what is known, and forwards it.
func (st *State) apply(upd event.StatusUpdate) {
	switch {
	case upd.State == event.StatusUpstreamLeaving:
		st.applyUpstreamLeaving(upd)
	case upd.Name == st.Self.Name:
		st.refute(upd)
	default:
		st.applyMember(upd)
	}
}

func (st *State) applyUpstreamLeaving(upd event.StatusUpdate) {
	if _, known := st.leavingSeenAt[upd]; known || len(st.leavingSeenAt) >= maxLeavingUpstreams {
		return
	}
	st.leavingSeenAt[upd] = st.now
	st.LeavingUpstreams = append(st.LeavingUpstreams, upd)
	st.broadcast(upd)
}

// refute answers a suspicion of this instance, or a report of its death, with a higher incarnation. No other instance may
// raise it.
func (st *State) refute(upd event.StatusUpdate) {
	if upd.Incarnation == 0 {
		upd.Incarnation = st.Incarnation
	}
	if upd.Incarnation < st.Incarnation || upd.State == event.StatusAlive || upd.State == event.StatusLeaving {
		return
	}
	st.Incarnation = upd.Incarnation + 1
	st.broadcast(st.selfUpdate())
}

func (st *State) applyMember(upd event.StatusUpdate) {
	mb, ok := st.Members[upd.Name]
	if !ok {
		return
	}
	if upd.Incarnation == 0 {
		// The sender suspects a member from which it has received nothing, so it means the current run.
		upd.Incarnation = mb.Incarnation
	}
	if !mb.overriddenBy(upd) {
		return
	}
	if mb.State != upd.State {
		st.Changed = true
	}
	isNew := mb.State != upd.State || upd.State == event.StatusAlive && mb.Incarnation != 0
	mb.Incarnation = upd.Incarnation
	mb.State = upd.State
	switch {
	case upd.State == event.StatusSuspect:
		mb.SuspectedAt = st.now
		st.suspects[upd.Name] = true
		st.send(mb.Instance.Peer, st.gossipMessage(upd))
		st.broadcast(upd)
	case isNew:
		st.broadcast(upd)
	}
}

// overriddenBy reports whether the update supersedes what is known about the member. The higher incarnation wins, so that
// a suspicion or death older than the member's own last update is ignored. Within one incarnation the higher state wins,
// so that a leaving member cannot become alive or suspect again.
func (mb *Member) overriddenBy(upd event.StatusUpdate) bool {
	if upd.Incarnation != mb.Incarnation {
		return upd.Incarnation > mb.Incarnation
	}
	return upd.State > mb.State
}

// broadcast sends the update to fanout random members at once and queues it for the others, who receive it with probes. It
// replaces queued updates about the same member.
func (st *State) broadcast(upd event.StatusUpdate) {
	st.broadcasts = slices.DeleteFunc(st.broadcasts, func(qu *queuedUpdate) bool {
		return qu.update.Name == upd.Name && qu.update.State != event.StatusUpstreamLeaving
	})
	st.broadcasts = append(st.broadcasts, &queuedUpdate{update: upd})
	for _, mb := range st.pickLive(fanout, upd.Name) {
		st.send(mb.Instance.Peer, st.gossipMessage(upd))
	}
}

// piggyback returns the queued updates to add to one message, those sent least often first. It adds times to their send
// counts and removes the updates that have reached the limit.
func (st *State) piggyback(times int) []event.StatusUpdate {
	if len(st.broadcasts) == 0 {
		return nil
	}
	slices.SortStableFunc(st.broadcasts, func(a, b *queuedUpdate) int { return a.sent - b.sent })
	updates := make([]event.StatusUpdate, 0, maxPiggybacked+1)
	for _, qu := range st.broadcasts[:min(len(st.broadcasts), maxPiggybacked)] {
		qu.sent += times
		updates = append(updates, qu.update)
	}
	limit := retransmitMult * bits.Len(uint(len(st.Members)+1))
	st.broadcasts = slices.DeleteFunc(st.broadcasts, func(qu *queuedUpdate) bool { return qu.sent >= limit })
	return updates
}

func (st *State) gossipMessage(upd event.StatusUpdate) wire.Gossip {
	return wire.Gossip{From: st.Self.Name, Words: []event.StatusUpdate{upd}}
}

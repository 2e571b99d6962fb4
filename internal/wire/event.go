package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Event converts a message into an event for the reducers. It returns false for messages that are handled without the
// reducers.
func Event(msg Message) (event.Event, bool) {
	switch msg := msg.(type) {
	case Demand:
		return event.DemandHeard{From: msg.From, Demands: msg.Demands}, true
	case Shares:
		return event.SharesHeard{Shares: msg.Shares}, true
	case PermitAsk:
		return event.PermitAsked(msg), true
	case PermitGrant:
		return event.PermitGranted(msg), true
	case PermitReturn:
		return event.PermitReturned(msg), true
	case PermitRenew:
		return event.PermitRenewed(msg), true
	case PermitState:
		return event.PermitsKnown(msg), true
	case Probe:
		return event.Probed(msg), true
	case ProbeAck:
		return event.ProbeAcked(msg), true
	case Gossip:
		return event.Gossiped(msg), true
	}
	return nil, false
}

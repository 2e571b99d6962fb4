package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Event converts a message into an event for the reducers. It returns false for messages that are handled without the
// reducers.
func Event(msg Message) (event.Event, bool) {
	switch msg := msg.(type) {
	case Demand:
		return event.DemandReceived{From: msg.From, Demands: msg.Demands}, true
	case Shares:
		return event.SharesReceived{Shares: msg.Shares}, true
	case PermitRequest:
		return event.PermitRequested(msg), true
	case PermitDecision:
		return event.PermitDecided(msg), true
	case PermitReturn:
		return event.PermitReturned(msg), true
	case PermitRenew:
		return event.PermitRenewed(msg), true
	case PermitStatus:
		return event.PermitStatusReceived(msg), true
	case Probe:
		return event.ProbeReceived(msg), true
	case ProbeAck:
		return event.ProbeAcked(msg), true
	case Gossip:
		return event.GossipReceived(msg), true
	}
	return nil, false
}

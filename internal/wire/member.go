package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Messages of the membership protocol. Each has the fields of an event type, so that one converts to the other without
// copying fields.
type (
	// Probe asks for a ProbeAck.
	Probe event.ProbeReceived
	// ProbeAck answers a Probe.
	ProbeAck event.ProbeAcked
	// Gossip carries membership updates that cannot wait for the next probe.
	Gossip event.GossipReceived
)

func (Probe) isMessage()    {}
func (ProbeAck) isMessage() {}
func (Gossip) isMessage()   {}

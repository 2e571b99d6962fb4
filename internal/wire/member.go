package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Messages of the membership. They are the events of the same names, so that nothing is copied between the two.
type (
	// Probe wants a ProbeAck.
	Probe event.Probed
	// ProbeAck answers a Probe.
	ProbeAck event.ProbeAcked
	// Gossip is news that could not wait for the next probe.
	Gossip event.Gossiped
)

func (Probe) isMessage()    {}
func (ProbeAck) isMessage() {}
func (Gossip) isMessage()   {}

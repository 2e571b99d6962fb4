package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Messages about permits. Each has the fields of an event type, so that one converts to the other without copying fields.
type (
	// PermitRequest asks a pool's coordinator for a reservation, or reports an existing reservation to a new coordinator.
	PermitRequest event.PermitRequested
	// PermitDecision answers a PermitRequest, at once or later.
	PermitDecision event.PermitDecided
	// PermitReturn releases a reservation or a place in the queue.
	PermitReturn event.PermitReturned
	// PermitRenew renews reservations and places in the queue.
	PermitRenew event.PermitRenewed
	// PermitStatus answers a PermitRenew.
	PermitStatus event.PermitStatusReceived
)

func (PermitRequest) isMessage()  {}
func (PermitDecision) isMessage() {}
func (PermitReturn) isMessage()   {}
func (PermitRenew) isMessage()    {}
func (PermitStatus) isMessage()   {}

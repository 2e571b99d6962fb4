package wire

import "dandelionsail.example/dandelionsail/internal/event"

// Messages of the permits. They are the events of like names, so that nothing is copied between the two.
type (
	// PermitAsk asks a pool's coordinator for a reservation, or tells a new one of a reservation held.
	PermitAsk event.PermitAsked
	// PermitGrant answers a PermitAsk, now or later.
	PermitGrant event.PermitGranted
	// PermitReturn gives a reservation or a place in the queue back.
	PermitReturn event.PermitReturned
	// PermitRenew keeps reservations and places in the queue.
	PermitRenew event.PermitRenewed
	// PermitState answers a PermitRenew.
	PermitState event.PermitsKnown
)

func (PermitAsk) isMessage()    {}
func (PermitGrant) isMessage()  {}
func (PermitReturn) isMessage() {}
func (PermitRenew) isMessage()  {}
func (PermitState) isMessage()  {}

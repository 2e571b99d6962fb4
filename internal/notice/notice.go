// Package notice contains what upstreams announce about themselves: how an announcement is parsed, what each kind of it means
// for each kind of message to the upstream, and how a rest passes. An upstream states in its answers that it leaves, for how
// long it wants rest, or how many requests a second it accepts.
package notice

// Kind is a kind of message from an instance to an upstream.
type Kind int

// The kinds of messages.
const (
	// First is the first attempt of a request.
	First Kind = iota
	// Retry is a later attempt of a request whose answer has not begun.
	Retry
	// Resumption is an attempt that continues a stream.
	Resumption
	// Part is a part of a prompt that an upstream processes for the one that answers.
	Part
	// Reservation is an order that reserves memory.
	Reservation
	// Renewal is an order that renews a reservation.
	Renewal
	// Release is an order that frees memory.
	Release
	// LoadQuery is a request for the load report or for cache events.
	LoadQuery
	// Order is an order to load or unload weights or to take a role.
	Order
	// Probe finds out whether the upstream lives. It asks for nothing.
	Probe
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of the kind for the log.
func (kind Kind) String() string {
	names := [Kinds]string{"First", "Retry", "Resumption", "Part", "Reservation", "Renewal", "Release", "LoadQuery", "Order", "Probe"}
	if kind < 0 || kind >= Kinds {
		return "Unknown"
	}
	return names[kind]
}

// IsAttempt reports whether the message is an attempt of a request.
func (kind Kind) IsAttempt() bool { return kind == First || kind == Retry || kind == Resumption }

// Announcement is a kind of statement of an upstream about itself.
type Announcement int

// The kinds of announcements.
const (
	// None is no announcement.
	None Announcement = iota
	// Unlisted is an upstream that is missing from the list.
	Unlisted
	// Leaving is an upstream that is about to shut down.
	Leaving
	// Resting is an upstream that refused a request of this instance and stated for how long it wants no others.
	Resting
	// Returning is an upstream whose rest is over and that has not answered the first request after it yet.
	Returning
	// RateLimited is an upstream that stated how many requests a second it accepts from all instances together.
	RateLimited
	// Warming is an upstream that is cold and accepts a limited number of requests a second from all instances together.
	Warming
	// Evacuated is an upstream in a failure domain that the operators have evacuated.
	Evacuated
	// Failing is an upstream that broke off, fell silent or refused a connection.
	Failing
	// Misdirecting is an upstream whose address another one has taken.
	Misdirecting
	// Refusing is an upstream that refused a request for which it seemed to have room.
	Refusing
	// Announcements is the number of kinds.
	Announcements
)

// String returns the name of the kind for the log, empty for None.
func (ann Announcement) String() string {
	if ann <= None || ann >= Announcements {
		return ""
	}
	return Rules[ann].Name
}

// Treatment is what an announcement in force means for a message.
type Treatment int

const (
	// Undecided holds the message back. No kind of message may be left undecided.
	Undecided Treatment = iota
	// Allowed lets the message pass.
	Allowed
	// Held holds the message back.
	Held
	// NeedsGrant holds the message back unless it has a grant.
	NeedsGrant
	// TrialOnly holds the message back unless it belongs to the first request after a rest.
	TrialOnly
	// LastMoment lets one renewal pass, shortly before its reservation would expire.
	LastMoment
)

// Excludes reports whether the treatment keeps new requests from an upstream.
func (tr Treatment) Excludes() bool { return tr == Held || tr == TrialOnly }

// Rule is what an announcement means.
type Rule struct {
	// Name is the kind in the log and in metrics.
	Name string
	// ToAll reports whether the announcement applies to all instances, which are therefore informed of it.
	ToAll bool
	// Treatments holds what happens to each kind of message.
	Treatments [Kinds]Treatment
}

// Rules has a row for each kind of announcement. Messages that only help to finish what an upstream runs already, the renewals
// and releases of reservations, pass where the upstream allows it.
var Rules = [Announcements]Rule{
	Unlisted: {Name: "Unlisted", ToAll: true, Treatments: [Kinds]Treatment{
		First: Held, Retry: Held, Resumption: Held, Part: Held, Reservation: Held, Renewal: Allowed, Release: Allowed,
		LoadQuery: Held, Order: Held, Probe: Allowed,
	}},
	Leaving: {Name: "Leaving", ToAll: true, Treatments: [Kinds]Treatment{
		First: Held, Retry: Held, Resumption: Held, Part: Held, Reservation: Held, Renewal: Allowed, Release: Allowed,
		LoadQuery: Held, Order: Held, Probe: Allowed,
	}},
	Resting: {Name: "Resting", Treatments: [Kinds]Treatment{
		First: Held, Retry: Held, Resumption: Held, Part: Held, Reservation: Held, Renewal: LastMoment, Release: Held,
		LoadQuery: Held, Order: Held, Probe: Allowed,
	}},
	Returning: {Name: "Returning", Treatments: [Kinds]Treatment{
		First: TrialOnly, Retry: TrialOnly, Resumption: TrialOnly, Part: TrialOnly, Reservation: TrialOnly, Renewal: Allowed,
		Release: Allowed, LoadQuery: Allowed, Order: Allowed, Probe: Allowed,
	}},
	RateLimited: {Name: "RateLimited", ToAll: true, Treatments: [Kinds]Treatment{
		First: NeedsGrant, Retry: NeedsGrant, Resumption: NeedsGrant, Part: Held, Reservation: Held, Renewal: Allowed,
		Release: Allowed, LoadQuery: Held, Order: Held, Probe: Allowed,
	}},
	Warming: {Name: "Warming", ToAll: true, Treatments: [Kinds]Treatment{
		First: NeedsGrant, Retry: NeedsGrant, Resumption: NeedsGrant, Part: Held, Reservation: Held, Renewal: Allowed,
		Release: Allowed, LoadQuery: Held, Order: Held, Probe: Allowed,
	}},
	Evacuated: {Name: "Evacuated", ToAll: true, Treatments: [Kinds]Treatment{
		First: Held, Retry: Held, Resumption: Held, Part: Held, Reservation: Held, Renewal: Allowed, Release: Allowed,
		LoadQuery: Held, Order: Held, Probe: Held,
	}},
	Failing:      failureRule("Failing"),
	Misdirecting: failureRule("Misdirecting"),
	Refusing:     failureRule("Refusing"),
}

// failureRule returns the row of a failure, which makes the upstream unusable for a pause.
func failureRule(name string) Rule {
	return Rule{Name: name, ToAll: true, Treatments: [Kinds]Treatment{
		First: Held, Retry: Held, Resumption: Held, Part: Held, Reservation: Held, Renewal: Allowed, Release: Allowed,
		LoadQuery: Allowed, Order: Allowed, Probe: Allowed,
	}}
}

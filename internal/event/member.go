package event

// MemberStatus is the status that a StatusUpdate reports.
type MemberStatus uint8

// The statuses in order of precedence: a later one replaces an earlier one of the same incarnation.
const (
	// StatusAlive is sent by the member itself.
	StatusAlive MemberStatus = iota + 1
	// StatusSuspect reports that a member did not answer a probe. The member can refute it with a higher incarnation.
	StatusSuspect
	// StatusLeaving is sent by a member that is shutting down.
	StatusLeaving
	// StatusDead reports that a suspected member did not refute the suspicion in time, or that a leaving member no longer
	// answers.
	StatusDead
	// StatusUpstreamLeaving reports that the platform lists an upstream as leaving.
	StatusUpstreamLeaving
)

// StatusUpdate is a gossiped status update about one instance or upstream.
type StatusUpdate struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	State MemberStatus
	// Incarnation orders the updates about one name; only the named instance raises it. For an upstream it is a hash of
	// its address, so that the update does not apply to a later upstream of the same name.
	Incarnation uint64
}

// ProbeReceived carries another instance's probe of this one, or its request to probe a third instance on its behalf.
type ProbeReceived struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Peer is the address to which the answer is sent.
	Peer string
	Seq  uint64
	// For is the name of the instance to probe, empty for the receiver.
	For   string
	Words []StatusUpdate
}

// ProbeAcked carries the answer to a probe.
type ProbeAcked struct {
	_ struct{} `cbor:",toarray"`
	// From is the instance that was probed, also if another instance forwards its answer.
	From  string
	Seq   uint64
	Words []StatusUpdate
}

// GossipReceived carries updates that are sent without waiting for the next probe.
type GossipReceived struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Words []StatusUpdate
}

// PeerListening carries the address at which this instance receives messages from its peers.
type PeerListening struct{ Address string }

func (PeerListening) isEvent()  {}
func (ProbeReceived) isEvent()  {}
func (ProbeAcked) isEvent()     {}
func (GossipReceived) isEvent() {}

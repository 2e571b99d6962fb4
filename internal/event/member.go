package event

// WordState is the status that a Word reports.
type WordState uint8

// The states in order of precedence: a later one replaces an earlier one of the same incarnation.
const (
	// WordAlive is sent by the member itself.
	WordAlive WordState = iota + 1
	// WordSuspect reports that a member did not answer a probe. The member can refute it with a higher incarnation.
	WordSuspect
	// WordLeaving is sent by a member that is shutting down.
	WordLeaving
	// WordDead reports that a suspected member did not refute the suspicion in time, or that a leaving member no longer
	// answers.
	WordDead
	// WordUpstreamLeaving reports that the platform lists an upstream as leaving.
	WordUpstreamLeaving
)

// Word is a gossiped status update about one instance or upstream.
type Word struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	State WordState
	// Incarnation orders the updates about one name; only the named instance raises it. For an upstream it is a hash of
	// its address, so that the update does not apply to a later upstream of the same name.
	Incarnation uint64
}

// Probed carries another instance's probe of this one, or its request to probe a third instance on its behalf.
type Probed struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Peer is the address to which the answer is sent.
	Peer string
	Seq  uint64
	// For is the name of the instance to probe, empty for the receiver.
	For   string
	Words []Word
}

// ProbeAcked carries the answer to a probe.
type ProbeAcked struct {
	_ struct{} `cbor:",toarray"`
	// From is the instance that was probed, also if another instance forwards its answer.
	From  string
	Seq   uint64
	Words []Word
}

// Gossiped carries updates that are sent without waiting for the next probe.
type Gossiped struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Words []Word
}

// PeerOpened carries the address at which this instance receives messages from its peers.
type PeerOpened struct{ Address string }

func (PeerOpened) isEvent() {}
func (Probed) isEvent()     {}
func (ProbeAcked) isEvent() {}
func (Gossiped) isEvent()   {}

package event

// WordState is what a Word says.
type WordState uint8

// The states, in the order in which one takes the place of another of the same incarnation.
const (
	// WordAlive comes from the member itself.
	WordAlive WordState = iota + 1
	// WordSuspect tells that a member did not answer; it can refute that with a higher incarnation.
	WordSuspect
	// WordLeaving comes from a member that is on its way out.
	WordLeaving
	// WordDead tells that a suspected member did not refute in time, or that a leaving one answers no more.
	WordDead
	// WordUpstreamLeaving passes on that the platform lists an upstream as leaving.
	WordUpstreamLeaving
)

// Word is news of one instance or upstream, passed from instance to instance.
type Word struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	State WordState
	// Incarnation orders the words about one name; only the named instance raises it. For an upstream it is a hash of
	// its address, so that the word does not stick to a later upstream of the name.
	Incarnation uint64
}

// Probed brings a probe of another instance, or its wish to have a third one probed.
type Probed struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Peer is where the answer goes.
	Peer string
	Seq  uint64
	// For names the instance to probe, empty for the one that hears this.
	For   string
	Words []Word
}

// ProbeAcked brings the answer to a probe.
type ProbeAcked struct {
	_ struct{} `cbor:",toarray"`
	// From is who was probed, also if another instance passes its answer on.
	From  string
	Seq   uint64
	Words []Word
}

// Gossiped brings news that could not wait for the next probe.
type Gossiped struct {
	_     struct{} `cbor:",toarray"`
	From  string
	Words []Word
}

// PeerOpened tells at which address this instance hears its peers.
type PeerOpened struct{ Address string }

func (PeerOpened) isEvent() {}
func (Probed) isEvent()     {}
func (ProbeAcked) isEvent() {}
func (Gossiped) isEvent()   {}

// Package wire defines the messages between entry instances and their CBOR form.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Message is what one entry instance says to another.
type Message interface{ isMessage() }

// Ack answers a message that wants nothing but to be heard.
type Ack struct{}

// QuarantineWant asks for all that is under suspicion or quarantine, and to be told what follows.
type QuarantineWant struct {
	// From is the address of the peer that asks.
	From string
}

// Quarantines answers a QuarantineWant.
type Quarantines struct{ Entries []Quarantine }

// Quarantine passes on that a content took upstreams down.
type Quarantine struct {
	Digest [32]byte
	Deaths int
	Lasts  time.Duration
}

// ConfigWant asks for the patches after a version.
type ConfigWant struct{ After int64 }

// ConfigPatches answers with patches in order, or with a whole configuration if the patches are trimmed.
type ConfigPatches struct {
	First    int64
	Patches  [][]byte
	Snapshot []byte
}

// Demand tells the instance that shares out organisations' limits what they ask for at another one.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Demands []event.Demand
}

// Shares answers a Demand.
type Shares struct {
	_      struct{} `cbor:",toarray"`
	Shares []event.Share
}

func (Demand) isMessage() {}
func (Shares) isMessage() {}

// ConfigNews tells that a version is in force at the teller; who has a lower one asks there for the patches.
type ConfigNews struct {
	Version int64
	// Teller is the peer address of who has the version.
	Teller string
}

// ClaimAsk asks a shard's home to record the claim of an idempotency key under the asker's nonce.
type ClaimAsk struct {
	Shard  int
	Hash   [16]byte
	Digest [16]byte
	Nonce  string
	// Lasts is the time that the request has left.
	Lasts time.Duration
	// Wait is how long the asker waits for the answer.
	Wait time.Duration
}

// ClaimOutcome is the recorded end of a claimed request, see event.Outcome.
type ClaimOutcome struct {
	Known       bool
	Running     bool
	Status      int
	Body        []byte
	ContentType string
	Truncated   bool
}

// ClaimAnswer answers a ClaimAsk or a ClaimSettle with an event.ClaimResult.
type ClaimAnswer struct {
	Result  int
	Outcome ClaimOutcome
}

// ClaimSettle asks a shard's home to record the end of a claimed request.
type ClaimSettle struct {
	Shard   int
	Hash    [16]byte
	Nonce   string
	Outcome ClaimOutcome
	// Release takes the claim away: the request was certainly not run.
	Release bool
	Wait    time.Duration
}

func (Ack) isMessage()            {}
func (Quarantine) isMessage()     {}
func (QuarantineWant) isMessage() {}
func (Quarantines) isMessage()    {}
func (ConfigWant) isMessage()     {}
func (ConfigPatches) isMessage()  {}
func (ConfigNews) isMessage()     {}
func (ClaimAsk) isMessage()       {}
func (ClaimAnswer) isMessage()    {}
func (ClaimSettle) isMessage()    {}

// MaxMessage bounds the encoded length of a message in bytes.
const MaxMessage = 4 << 20

var (
	// Errors groups what this package returns.
	Errors = errorx.NewNamespace("wire")
	// Malformed tells that bytes are no message.
	Malformed = Errors.NewType("malformed")
)

// kinds gives every message type its number on the wire. A number is never used again for another type.
var kinds = map[uint64]func(raw []byte) (Message, error){
	1:  decode[Ack],
	2:  decode[PermitAsk],
	3:  decode[PermitGrant],
	4:  decode[PermitReturn],
	5:  decode[Quarantine],
	10: decode[QuarantineWant],
	11: decode[Quarantines],
	6:  decode[ConfigWant],
	7:  decode[ConfigPatches],

	8: decode[PermitRenew],
	9: decode[PermitState],

	20: decode[Probe],
	21: decode[ProbeAck],
	22: decode[Gossip],

	60: decode[Demand],
	61: decode[Shares],
	40: decode[ConfigNews],
	41: decode[ClaimAsk],
	42: decode[ClaimAnswer],
	43: decode[ClaimSettle],
}

func kindOf(msg Message) uint64 {
	switch msg.(type) {
	case Ack:
		return 1
	case PermitAsk:
		return 2
	case PermitGrant:
		return 3
	case PermitReturn:
		return 4
	case Quarantine:
		return 5
	case QuarantineWant:
		return 10
	case Quarantines:
		return 11
	case ConfigWant:
		return 6
	case ConfigPatches:
		return 7
	case ConfigNews:
		return 40
	case ClaimAsk:
		return 41
	case ClaimAnswer:
		return 42
	case ClaimSettle:
		return 43
	}
	switch msg.(type) {
	case PermitRenew:
		return 8
	case PermitState:
		return 9
	case Probe:
		return 20
	case ProbeAck:
		return 21
	case Gossip:
		return 22
	case Demand:
		return 60
	case Shares:
		return 61
	}
	return 0
}

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind uint64
	Body cbor.RawMessage
}

func decode[M Message](raw []byte) (Message, error) {
	var msg M
	if err := cbor.Unmarshal(raw, &msg); err != nil {
		return nil, Malformed.Wrap(err, "wire: the body does not decode; run the same release on all instances")
	}
	return msg, nil
}

// Encode returns the bytes of a message.
func Encode(msg Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, Malformed.Wrap(err, "wire: %T does not encode", msg)
	}
	return cbor.Marshal(envelope{Kind: kindOf(msg), Body: body})
}

// Decode returns the message that the bytes hold.
func Decode(raw []byte) (Message, error) {
	var env envelope
	if err := cbor.Unmarshal(raw, &env); err != nil {
		return nil, Malformed.Wrap(err, "wire: the envelope does not decode")
	}
	decodeBody, ok := kinds[env.Kind]
	if !ok {
		return nil, Malformed.New("wire: message kind %d is unknown; run the same release on all instances", env.Kind)
	}
	return decodeBody(env.Body)
}

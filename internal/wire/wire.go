// Package wire defines the messages between entry instances and their CBOR encoding.
package wire

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Message is a message from one entry instance to another.
type Message interface{ isMessage() }

// Ack acknowledges a message that needs no other answer.
type Ack struct{}

// QuarantineRequest asks for all digests under suspicion or quarantine, and to be sent those that are added later.
type QuarantineRequest struct {
	// From is the peer address of the instance that asks.
	From string
}

// QuarantineList answers a QuarantineRequest.
type QuarantineList struct{ Entries []Quarantine }

// Quarantine reports that upstreams died while they processed requests with the same content.
type Quarantine struct {
	// Digest is the digest of the content.
	Digest [32]byte
	// Deaths is the number of upstreams that died while they processed such a request.
	Deaths int
	// TTL is the remaining time of the quarantine.
	TTL time.Duration `cbor:"Lasts"`
	// Observed holds the deaths themselves, all or the new ones. Instances of earlier releases neither send nor read it.
	Observed []Death
	// Suspicions are deaths with the features of their requests. Instances of earlier releases neither send nor read them, nor Answered.
	Suspicions []Suspicion `cbor:",omitempty"`
	// Answered are features that an upstream has answered since others crashed under them.
	Answered []uint64 `cbor:",omitempty"`
}

// Suspicion is a death with the features of the request, as one instance observed it.
type Suspicion struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the observation among those of all instances.
	ID uint64
	// Upstream identifies the upstream that died.
	Upstream uint64
	// Content identifies what the request asked for.
	Content uint64
	// Caller identifies the organisation.
	Caller uint64
	// Age is how long ago it died.
	Age time.Duration
	// Features are those of the request.
	Features []uint64
}

// Death is one death as one instance observed it.
type Death struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the observation among those of all instances.
	ID uint64
	// Upstream identifies the upstream that died.
	Upstream uint64
	// Age is how long ago it died.
	Age time.Duration
}

// ConfigRequest asks for the configuration patches after a version.
type ConfigRequest struct{ After int64 }

// ConfigPatches answers a ConfigRequest with the patches in order of their versions, or with a snapshot of the whole
// configuration if the peer no longer holds all of the patches.
type ConfigPatches struct {
	// First is the version of the first patch.
	First int64
	// Patches are the encoded patches of consecutive versions.
	Patches [][]byte
	// Snapshot is a whole configuration in its JSON form, empty if Patches suffices. Its version is First-1.
	Snapshot []byte
}

// Demand reports what organisations demand at one instance. It is sent to the instance that divides their limits among all
// instances.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Demands []event.Demand
}

// Shares answers a Demand with the part of each organisation's limits that the instance may use.
type Shares struct {
	_      struct{} `cbor:",toarray"`
	Shares []event.Share
}

func (Demand) isMessage() {}
func (Shares) isMessage() {}

// ConfigAnnouncement announces a configuration version. An instance that has a lower version requests the patches from the
// sender.
type ConfigAnnouncement struct {
	Version int64
	// Announcer is the peer address of the instance that sends the announcement and has the version.
	Announcer string `cbor:"Teller"`
	// Era is the store's era that the instance knows of. Instances of earlier releases neither send nor read it.
	Era int64
}

// ClaimRequest asks the home of a shard, the instance that batches the shard's writes, to record a claim of an idempotency
// key.
type ClaimRequest struct {
	Shard int
	// Hash identifies the key within the shard.
	Hash [16]byte
	// Digest is the start of the request's digest. A request with another digest conflicts with the claim.
	Digest [16]byte
	// Nonce identifies the claim, so that the claimant recognises its own claim in the store if the answer is lost.
	Nonce string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration `cbor:"Lasts"`
	// Wait is how long the sender waits for the answer.
	Wait time.Duration
}

// ClaimOutcome is the recorded outcome of a claimed request; its fields are those of event.Outcome.
type ClaimOutcome struct {
	Known       bool
	Running     bool
	Status      int
	Body        []byte
	ContentType string
	Truncated   bool
}

// ClaimResponse answers a ClaimRequest or a ClaimSettle.
type ClaimResponse struct {
	// Result is an event.ClaimResult.
	Result  int
	Outcome ClaimOutcome
}

// ClaimSettle asks the home of a shard to record the outcome of a claimed request, or to remove the claim.
type ClaimSettle struct {
	Shard   int
	Hash    [16]byte
	Nonce   string
	Outcome ClaimOutcome
	// Release removes the claim, because the request was certainly not run.
	Release bool
	// Wait is how long the sender waits for the answer.
	Wait time.Duration
}

func (Ack) isMessage()                {}
func (Quarantine) isMessage()         {}
func (QuarantineRequest) isMessage()  {}
func (QuarantineList) isMessage()     {}
func (ConfigRequest) isMessage()      {}
func (ConfigPatches) isMessage()      {}
func (ConfigAnnouncement) isMessage() {}
func (ClaimRequest) isMessage()       {}
func (ClaimResponse) isMessage()      {}
func (ClaimSettle) isMessage()        {}

// MaxMessage is the maximum length of an encoded message, in bytes.
const MaxMessage = 4 << 20

var (
	// Errors is the namespace of this package's errors.
	Errors = errorx.NewNamespace("wire")
	// Malformed is returned if a message cannot be encoded or decoded.
	Malformed = Errors.NewType("malformed")
)

// decoders maps the number of each message type on the wire to its decoder. A number is never reused for another type.
var decoders = map[uint64]func(raw []byte) (Message, error){
	1:  decode[Ack],
	2:  decode[PermitRequest],
	3:  decode[PermitDecision],
	4:  decode[PermitReturn],
	5:  decode[Quarantine],
	10: decode[QuarantineRequest],
	11: decode[QuarantineList],
	6:  decode[ConfigRequest],
	7:  decode[ConfigPatches],

	8: decode[PermitRenew],
	9: decode[PermitStatus],

	20: decode[Probe],
	21: decode[ProbeAck],
	22: decode[Gossip],

	60: decode[Demand],
	61: decode[Shares],
	40: decode[ConfigAnnouncement],
	41: decode[ClaimRequest],
	42: decode[ClaimResponse],
	43: decode[ClaimSettle],
}

// kindOf returns the number of the message's type on the wire, the key of its decoder.
func kindOf(msg Message) uint64 {
	switch msg.(type) {
	case Ack:
		return 1
	case PermitRequest:
		return 2
	case PermitDecision:
		return 3
	case PermitReturn:
		return 4
	case Quarantine:
		return 5
	case QuarantineRequest:
		return 10
	case QuarantineList:
		return 11
	case ConfigRequest:
		return 6
	case ConfigPatches:
		return 7
	case ConfigAnnouncement:
		return 40
	case ClaimRequest:
		return 41
	case ClaimResponse:
		return 42
	case ClaimSettle:
		return 43
	}
	switch msg.(type) {
	case PermitRenew:
		return 8
	case PermitStatus:
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

// envelope is the encoded form of every message.
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

// Encode returns the encoded form of a message.
func Encode(msg Message) ([]byte, error) {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return nil, Malformed.Wrap(err, "wire: %T does not encode", msg)
	}
	return cbor.Marshal(envelope{Kind: kindOf(msg), Body: body})
}

// Decode returns the message of an encoded form. If the bytes are no valid message, the error is Malformed.
func Decode(raw []byte) (Message, error) {
	var env envelope
	if err := cbor.Unmarshal(raw, &env); err != nil {
		return nil, Malformed.Wrap(err, "wire: the envelope does not decode")
	}
	decodeBody, ok := decoders[env.Kind]
	if !ok {
		return nil, Malformed.New("wire: message kind %d is unknown; run the same release on all instances", env.Kind)
	}
	return decodeBody(env.Body)
}

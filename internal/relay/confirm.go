package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Confirmations: instances that do not ask the store learn from those that do how fresh their state is.

// question asks when the store last confirmed the other instance's state, and what has changed since the revision here.
type question struct {
	Nonce uint64 `cbor:"1,keyasint,omitempty"`
	Have  int64  `cbor:"2,keyasint,omitempty"`
}

// confirmation answers a question; one without a nonce is news of a revision and proves nothing.
type confirmation struct {
	Nonce    uint64 `cbor:"1,keyasint,omitempty"`
	Revision int64  `cbor:"2,keyasint,omitempty"`
	// AgeMs is how long before this answer the store was asked, rounded up.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
	// Changes are all after the revision that was asked from up to UpTo, which is below Revision if there are more; none if
	// the other instance does not know them.
	Changes []Change `cbor:"4,keyasint,omitempty"`
	UpTo    int64    `cbor:"5,keyasint,omitempty"`
}

// follows tells that the changes can be taken by one that has reached the revision. They come from the network.
func (conf *confirmation) follows(have int64) bool {
	if len(conf.Changes) == 0 || conf.UpTo > conf.Revision {
		return false
	}
	last := have + 1
	for i := range conf.Changes {
		chg := &conf.Changes[i]
		if chg.Revision < last || chg.Revision > conf.UpTo {
			return false
		}
		if chg.Replica != nil && chg.Replica.Name == "" || chg.Peer != nil && chg.Peer.Name == "" {
			return false
		}
		last = chg.Revision
	}
	return true
}

const (
	// storePollers is how many instances ask the store. Two may be lost at the same time without the others noticing.
	storePollers = 3
	// mostPollers is how many do while none of the first can confirm anything.
	mostPollers = 8 * storePollers
	// pollersTried is how many of them are asked one after the other.
	pollersTried = 3
	// answerTime is how long a question to another instance waits.
	answerTime = 120 * time.Millisecond
)

// answer tells when the store last confirmed the state here and what has changed. An instance that was not confirmed at all
// says nothing.
func (ns *notes) answer(qst question, to *net.UDPAddr) {
	if qst.Nonce == 0 || ns.in.confirmed.Load() == 0 {
		return
	}
	// The revision is read after the age: between the two it can only have become newer than what the age proves.
	age := ns.in.confirmedAge()
	conf := confirmation{Nonce: qst.Nonce, AgeMs: age.Milliseconds() + 1}
	conf.Changes, conf.UpTo = ns.in.view.since(qst.Have)
	conf.Revision = ns.in.view.revision()
	ns.post(ns.encode(packet{Answer: &conf}), to)
}

// pollsStore tells that this instance is one of so many that ask the store.
func (ns *notes) pollsStore(pollers int) bool {
	ranked := *ns.ranked.Load()
	return slices.Contains(ranked[:min(pollers, len(ranked))], nil)
}

// knowsOthers tells that there is another instance.
func (ns *notes) knowsOthers() bool { return len(*ns.ranked.Load()) > 1 }

// somePollers are some of the other instances among so many that ask the store, in random order, so that the questions
// spread over them.
func (ns *notes) somePollers(pollers int) []*net.UDPAddr {
	ranked := *ns.ranked.Load()
	others := slices.DeleteFunc(slices.Clone(ranked[:min(pollers, len(ranked))]), func(address *net.UDPAddr) bool { return address == nil })
	rand.Shuffle(len(others), func(one, two int) { others[one], others[two] = others[two], others[one] })
	return others[:min(pollersTried, len(others))]
}

// ask asks another instance when the store last confirmed its state and what has changed since the revision.
func (ns *notes) ask(ctx context.Context, to *net.UDPAddr, have int64) (confirmation, bool) {
	nonce := rand.Uint64() | 1
	ns.post(ns.encode(packet{Question: &question{Nonce: nonce, Have: have}}), to)
	return ns.awaitAnswer(ctx, nonce)
}

func (ns *notes) awaitAnswer(ctx context.Context, nonce uint64) (confirmation, bool) {
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return confirmation{}, false
		case <-timer.C:
			return confirmation{}, false
		case conf := <-ns.answers:
			if conf.Nonce == nonce && conf.AgeMs >= 0 {
				return conf, true
			}
		}
	}
}

// spread tells all others of the revision that is new here; who does not hear it learns it with its next question.
func (ns *notes) spread() {
	raw := ns.encode(packet{Answer: &confirmation{Revision: ns.in.view.revision()}})
	for _, address := range *ns.peers.Load() {
		ns.post(raw, address)
	}
}

package entry

import (
	"context"
	"time"

	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Learning the quarantine at the start.
const (
	// learnPeers is how many peers are asked. Each was told of every death since it started or learnt of it then.
	learnPeers = 3
	// learnTime bounds the wait for one of them, which delays readiness.
	learnTime = time.Second
)

func (in *Instance) tellQuarantine(eff effect.TellQuarantine) {
	in.tellAll(quarantineMessage(eff.Quarantined))
}

func quarantineMessage(qr event.Quarantined) wire.Quarantine {
	return wire.Quarantine{Digest: qr.Digest, Deaths: qr.Deaths, Lasts: time.Until(qr.Until)}
}

func (in *Instance) hearQuarantine(msg wire.Quarantine) {
	in.loop.Submit(event.Quarantined{Digest: msg.Digest, Deaths: msg.Deaths, Until: time.Now().Add(msg.Lasts)})
}

// quarantines answers a peer that has just started.
func (in *Instance) quarantines() wire.Quarantines {
	var known []event.Quarantined
	in.loop.View(func(st *core.State) { known = st.Deaths() })
	answer := wire.Quarantines{Entries: make([]wire.Quarantine, 0, len(known))}
	for _, qr := range known {
		answer.Entries = append(answer.Entries, quarantineMessage(qr))
	}
	return answer
}

// learnQuarantine asks some peers, once, for what took upstreams down before this instance started. The instance is not
// ready until they answered or had their time: with every instance replaced in turn nobody would remember a poisonous
// request, and each resend of it would take another upstream down.
func (in *Instance) learnQuarantine(addresses []string) {
	if in.asked {
		return
	}
	in.asked = true
	if in.peers == nil || len(addresses) == 0 {
		in.learned.Store(true)
		return
	}
	in.pending.Go(func() {
		defer in.learned.Store(true)
		for _, address := range addresses[:min(len(addresses), learnPeers)] {
			in.askQuarantine(address)
		}
	})
}

func (in *Instance) askQuarantine(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), learnTime)
	defer cancel()
	answer, err := in.peers.Ask(ctx, address, wire.QuarantineWant{})
	if err != nil {
		return
	}
	if msg, ok := answer.(wire.Quarantines); ok {
		for _, entry := range msg.Entries {
			in.hearQuarantine(entry)
		}
	}
}

// leaveQuarantine tells the peers once more before this instance ends, for those that were not there when it learnt.
func (in *Instance) leaveQuarantine() {
	for _, entry := range in.quarantines().Entries {
		in.tellAll(entry)
	}
}

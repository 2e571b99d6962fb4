package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
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
	in.tellOfQuarantine(quarantineMessage(eff.Quarantined))
}

// tellOfQuarantine tells every live peer and those that have just asked: the platform's list shows a new instance late, and
// a resend that reaches it before would take another upstream down.
func (in *Instance) tellOfQuarantine(msg wire.Quarantine) {
	in.tellAll(msg)
	if in.peers == nil {
		return
	}
	for _, address := range in.newcomers.recent() {
		if !slices.Contains(*in.livePeers.Load(), address) {
			in.peers.Tell(address, msg)
		}
	}
}

// newcomers are the peers that asked for the quarantine of late. Its methods may be called from several goroutines.
type newcomers struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

const (
	// newcomerTime is how long one is told by its own word: the platform's list shows it by then.
	newcomerTime = 30 * time.Second
	// maxNewcomers bounds them, far above the instances that start within that time.
	maxNewcomers = 1000
)

func (nc *newcomers) add(address string) {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	if nc.asked == nil {
		nc.asked = map[string]time.Time{}
	}
	if address != "" && len(nc.asked) < maxNewcomers {
		nc.asked[address] = time.Now()
	}
}

// recent returns those that asked within newcomerTime and forgets the others.
func (nc *newcomers) recent() []string {
	nc.mu.Lock()
	defer nc.mu.Unlock()
	maps.DeleteFunc(nc.asked, func(_ string, at time.Time) bool { return time.Since(at) > newcomerTime })
	return slices.Collect(maps.Keys(nc.asked))
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
			if err := in.askQuarantine(address); err != nil {
				in.log.Warn().Str("Peer", address).Err(err).Msg("quarantine not learnt from this peer")
			}
		}
	})
}

func (in *Instance) askQuarantine(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), learnTime)
	defer cancel()
	answer, err := in.peers.Ask(ctx, address, wire.QuarantineWant{From: in.peers.Address()})
	if err != nil {
		return err
	}
	if msg, ok := answer.(wire.Quarantines); ok {
		for _, entry := range msg.Entries {
			in.hearQuarantine(entry)
		}
	}
	return nil
}

// leaveQuarantine tells the peers once more before this instance ends, for those that were not there when it learnt.
func (in *Instance) leaveQuarantine() {
	for _, entry := range in.quarantines().Entries {
		in.tellOfQuarantine(entry)
	}
}

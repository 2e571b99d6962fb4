package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dandelionsail.example/dandelionsail/internal/cause"
	"dandelionsail.example/dandelionsail/internal/core"
	"dandelionsail.example/dandelionsail/internal/deaths"
	"dandelionsail.example/dandelionsail/internal/delay"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/tasks"
	"dandelionsail.example/dandelionsail/internal/wire"
)

const (
	// quarantinePeers is the number of peers that an instance requests the quarantine list from when it starts. A few are
	// enough: each peer received every announcement since its own start, and the list of earlier deaths when it started.
	quarantinePeers = 3
	// quarantineTimeout is the maximum wait for one of these peers. The wait delays readiness.
	quarantineTimeout = time.Second
)

const (
	// quarantineAckTimeout is how long the peers have to acknowledge a death before the caller of the request gets its answer.
	// A peer that stands still delays that answer, and no other.
	quarantineAckTimeout = 500 * time.Millisecond
	// catchUpPause is the pause between two requests for the quarantine list after a standstill, and between two announcements of a
	// death to one peer.
	catchUpPause = 20 * time.Millisecond
	// quarantineSenders is the maximum number of peers that are sent a death at the same time.
	quarantineSenders = 64
)

// announceQuarantine sends the peers a death that this instance observed. The caller of the request waits for their
// acknowledgements in awaitQuarantineAcks: it may send the request again, through any of them.
func (in *Instance) announceQuarantine(eff effect.AnnounceQuarantine) {
	if in.peers == nil {
		return
	}
	acked := make(chan struct{})
	digest := eff.Quarantined.Digest
	in.quarantineAcks.Store(digest, acked)
	in.pending.Go(tasks.Guard("quarantine announcement", func() {
		defer close(acked)
		defer in.quarantineAcks.CompareAndDelete(digest, acked)
		in.sendQuarantine(quarantineMessage(eff.Quarantined))
	}))
}

// announceAnswered sends the peers the features once. What is lost is announced again with the next answer.
func (in *Instance) announceAnswered(eff effect.AnnounceAnswered) {
	if in.peers == nil {
		return
	}
	msg := quarantineMessage(event.QuarantineReported{Answered: eff.Features})
	for _, address := range *in.listedPeers.Load() {
		in.peers.Send(address, msg)
	}
}

// sendQuarantine sends the entry to the peers and waits until all have acknowledged it, at most quarantineAckTimeout.
func (in *Instance) sendQuarantine(msg wire.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineAckTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(quarantineSenders)
	var acked atomic.Int64
	started, recipients := time.Now(), in.quarantineRecipients()
	for _, address := range recipients {
		group.Go(tasks.GuardError("quarantine message", func() error {
			if err := in.requestUntilAnswered(ctx, address, msg); err != nil {
				in.incCounter("Quarantine.NotAcknowledged")
				in.peers.Send(address, msg)
				return nil
			}
			acked.Add(1)
			return nil
		}))
	}
	_ = group.Wait()
	in.log.Info().Hex("Digest", msg.Digest[:digestLogged]).Int("Deaths", msg.Deaths).Strs("Peers", recipients).Int64("Acked", acked.Load()).
		Int64("WaitedMs", time.Since(started).Milliseconds()).Msg("death announced")
}

// requestUntilAnswered repeats the request until the peer answers or the context ends. The connection to a peer that stands still is
// closed as silent for whatever was sent first, and a request that waits on it fails long before its own time is over. The peer must be able
// to receive the message several times.
func (in *Instance) requestUntilAnswered(ctx context.Context, address string, msg wire.Message) error {
	for {
		_, err := in.peers.Request(ctx, address, msg)
		if err == nil || !delay.For(ctx, catchUpPause) {
			return err
		}
		in.log.Info().Str("Peer", address).Err(err).Msg("a death was not acknowledged; it is announced again")
	}
}

// digestLogged is how many bytes of a content's digest are logged.
const digestLogged = 8

// awaitQuarantineAcks waits, before the caller gets the answer to a request that took upstreams down, until the peers have
// acknowledged that. Otherwise its next try could reach a peer before the announcement and take a further upstream down.
func (in *Instance) awaitQuarantineAcks(cl *call) {
	acked, ok := in.quarantineAcks.Load(cl.digest)
	if !ok {
		return
	}
	select {
	case <-acked.(chan struct{}):
	case <-cl.req.Context().Done():
	}
}

// quarantineRecipients returns the listed peers and those that have just requested the list. The platform's list shows a new
// instance late; without the entry, a resend of the request to that instance would kill another upstream.
func (in *Instance) quarantineRecipients() []string {
	recipients := slices.Clone(*in.listedPeers.Load())
	for _, address := range in.quarantineRequesters.Recent() {
		if !slices.Contains(recipients, address) {
			recipients = append(recipients, address)
		}
	}
	return recipients
}

func quarantineMessage(qr event.QuarantineReported) wire.Quarantine {
	msg := wire.Quarantine{Digest: qr.Digest, Deaths: qr.Deaths, TTL: time.Until(qr.Until)}
	for _, death := range qr.Observed {
		msg.Observed = append(msg.Observed, wire.Death{ID: death.ID, Upstream: death.Upstream, Age: time.Since(death.At)})
	}
	for i := range qr.Suspicions {
		msg.Suspicions = append(msg.Suspicions, suspicionMessage(&qr.Suspicions[i]))
	}
	for _, feature := range qr.Answered {
		msg.Answered = append(msg.Answered, uint64(feature))
	}
	return msg
}

func suspicionMessage(death *cause.Death) wire.Suspicion {
	sus := wire.Suspicion{ID: death.ID, Upstream: death.Upstream, Content: death.Content, Caller: death.Caller, Age: time.Since(death.At)}
	for _, feature := range death.Features {
		sus.Features = append(sus.Features, uint64(feature))
	}
	return sus
}

func (in *Instance) applyQuarantine(msg wire.Quarantine) {
	now := time.Now()
	ev := event.QuarantineReported{Digest: msg.Digest, Deaths: msg.Deaths, Until: now.Add(msg.TTL)}
	for _, death := range msg.Observed {
		ev.Observed = append(ev.Observed, deaths.Death{ID: death.ID, Upstream: death.Upstream, At: now.Add(-max(0, death.Age))})
	}
	for i := range msg.Suspicions {
		sus := &msg.Suspicions[i]
		death := cause.Death{ID: sus.ID, Upstream: sus.Upstream, Content: sus.Content, Caller: sus.Caller, At: now.Add(-max(0, sus.Age))}
		for _, feature := range sus.Features {
			death.Features = append(death.Features, cause.Feature(feature))
		}
		slices.Sort(death.Features)
		death.Features = slices.Compact(death.Features)
		ev.Suspicions = append(ev.Suspicions, death)
	}
	for _, feature := range msg.Answered {
		ev.Answered = append(ev.Answered, cause.Feature(feature))
	}
	in.loop.Submit(ev)
}

// quarantineSnapshot returns all content under suspicion or quarantine, as the answer to a peer that has just started.
func (in *Instance) quarantineSnapshot() wire.QuarantineList {
	var known []event.QuarantineReported
	in.loop.View(func(st *core.State) { known = st.SuspectDigests() })
	answer := wire.QuarantineList{Entries: make([]wire.Quarantine, 0, len(known))}
	for _, qr := range known {
		answer.Entries = append(answer.Entries, quarantineMessage(qr))
	}
	return answer
}

// fetchQuarantine requests from some peers, once, the list of content that killed upstreams before this instance started.
// The instance is not ready until they have answered or timed out. Without this, a rolling replacement of all instances
// would lose the quarantine, and each resend of a quarantined request would kill another upstream.
func (in *Instance) fetchQuarantine(addresses []string) {
	if in.quarantineRequested {
		return
	}
	in.quarantineRequested = true
	if in.peers == nil || len(addresses) == 0 {
		in.quarantineReady.Store(true)
		return
	}
	in.pending.Go(tasks.Guard("quarantine list", func() {
		defer in.quarantineReady.Store(true)
		for _, address := range addresses[:min(len(addresses), quarantinePeers)] {
			if err := in.requestQuarantine(address); err != nil {
				in.log.Warn().Str("Peer", address).Err(err).Msg("cannot get the quarantine list from a peer")
			}
		}
	}))
}

// catchUpQuarantine requests the quarantine entries of some peers, after this instance has stood still, and reports the first
// answer to the reducer. One is enough: a peer that is not standing still has received all announcements. The connections to
// the peers may have ended meanwhile, and the first request on them fails, so requests are repeated until one is answered.
func (in *Instance) catchUpQuarantine(standstill int) {
	defer in.loop.Submit(event.QuarantineReceived{Standstill: standstill})
	addresses := *in.listedPeers.Load()
	addresses = addresses[:min(len(addresses), quarantinePeers)]
	if in.peers == nil || len(addresses) == 0 {
		return
	}
	for until := time.Now().Add(quarantineAckTimeout); time.Now().Before(until); time.Sleep(catchUpPause) {
		if in.requestFromAny(addresses) {
			return
		}
	}
}

// requestFromAny requests the entries of the peers at the same time and reports whether one has answered.
func (in *Instance) requestFromAny(addresses []string) bool {
	answered := make(chan error, len(addresses))
	for _, address := range addresses {
		in.pending.Go(tasks.Guard("quarantine request", func() {
			answered <- tasks.GuardError("quarantine request", func() error { return in.requestQuarantine(address) })()
		}))
	}
	for range addresses {
		err := <-answered
		if err == nil {
			return true
		}
		in.log.Warn().Err(err).Msg("cannot get the quarantine list from a peer after a standstill")
	}
	return false
}

func (in *Instance) requestQuarantine(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	answer, err := in.peers.Request(ctx, address, wire.QuarantineRequest{From: in.peers.Address()})
	if err != nil {
		return err
	}
	if msg, ok := answer.(wire.QuarantineList); ok {
		for _, entry := range msg.Entries {
			in.applyQuarantine(entry)
		}
	}
	return nil
}

// rebroadcastQuarantine sends the peers all entries again before this instance ends, for peers that were not running when it
// received them.
func (in *Instance) rebroadcastQuarantine() {
	if in.peers == nil {
		return
	}
	for _, entry := range in.quarantineSnapshot().Entries {
		for _, address := range in.quarantineRecipients() {
			in.peers.Send(address, entry)
		}
	}
}

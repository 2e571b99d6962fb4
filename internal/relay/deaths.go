package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/steer"
)

// Deaths of replicas are the one kind of note that must not be lost: a caller whose request took replicas down resends it at
// once, through any Instance, and where that one does not know of the deaths, a further replica goes down. Such notes are
// repeated until their recipients acknowledge them, and the failed request is answered only then. An Instance that starts
// requests the deaths from a few others before it is ready.

const (
	// deathAckTimeout is how long the answer to a failed request waits for the acknowledgements of the deaths under it. An
	// Instance that stands still delays that answer, and no other.
	deathAckTimeout = 350 * time.Millisecond
	// deathRepeat is the interval at which a note is repeated within deathAckTimeout.
	deathRepeat = 60 * time.Millisecond
	// minDeathBackoff is the interval at which a note is repeated afterwards, to instances that are cut off or stand still. It
	// doubles up to maxDeathBackoff.
	minDeathBackoff = time.Second
	// maxDeathBackoff is the maximum interval.
	maxDeathBackoff = 10 * time.Second
	// deathRepeatTime is how long a note is repeated at all.
	deathRepeatTime = 10 * time.Minute
	// maxUnacked is how many notes are repeated at most. Beyond it, the oldest is given up.
	maxUnacked = 256
	// deathSources is how many instances are asked for the deaths at start. One answer is enough: each has received every
	// announcement since its own start, and those before from its own sources.
	deathSources = 3
)

// ack acknowledges a packet.
type ack struct {
	id   uint64
	from string
}

// unacked is a packet that not all recipients have acknowledged.
type unacked struct {
	id uint64
	// note reports deaths; it is nil in a request for the deaths that others know.
	note *steer.Note
	// digest is the content that the deaths are of.
	digest steer.Digest
	// sentAt is when the packet was sent first.
	sentAt time.Time
	// nextAt is when it is repeated.
	nextAt time.Time
	// backoff is the interval after the next repetition, 0 while deathAckTimeout has not passed.
	backoff time.Duration
	// missing holds the recipients that have not acknowledged the packet, by address.
	missing map[string]*net.UDPAddr
	// done is closed once the packet is acknowledged or deathAckTimeout has passed.
	done   chan struct{}
	isDone bool
}

// announceDeaths sends the note to all other instances until they acknowledge it. It does not block.
func (gs *gossip) announceDeaths(eff steer.SendNote) {
	if gs == nil {
		return
	}
	ua := newUnacked(gs.deathRecipients())
	ua.note, ua.digest = &eff.Note, eff.AckDigest
	gs.deathAcks.Store(ua.digest, ua.done)
	gs.sendUntilAcked(ua)
}

// requestDeaths requests the deaths that a few other instances know. known is closed when the first has answered, or after
// deathAckTimeout.
func (gs *gossip) requestDeaths() (known <-chan struct{}) {
	recipients := map[string]*net.UDPAddr{}
	for _, address := range *gs.peers.Load() {
		if len(recipients) < deathSources {
			recipients[address.String()] = address
		}
	}
	ua := newUnacked(recipients)
	gs.sendUntilAcked(ua)
	return ua.done
}

func newUnacked(recipients map[string]*net.UDPAddr) *unacked {
	return &unacked{id: rand.Uint64() | 1, sentAt: time.Now(), missing: recipients, done: make(chan struct{})}
}

// sendUntilAcked hands the packet to repeatUnacked if it has any recipients.
func (gs *gossip) sendUntilAcked(ua *unacked) {
	if len(ua.missing) == 0 {
		gs.finishUnacked(ua)
		return
	}
	select {
	case gs.unacked <- ua:
	default:
		gs.in.count("Deaths.Dropped")
		gs.finishUnacked(ua)
	}
}

// deathRecipients returns the other instances and those that requested the deaths a short while ago, by address. An Instance
// that has just started is not in the list of all others yet.
func (gs *gossip) deathRecipients() map[string]*net.UDPAddr {
	recipients := map[string]*net.UDPAddr{}
	for _, address := range *gs.peers.Load() {
		recipients[address.String()] = address
	}
	for _, text := range gs.deathRequesters.Recent() {
		if address, err := net.ResolveUDPAddr("udp", text); err == nil {
			recipients[text] = address
		}
	}
	return recipients
}

// repeatUnacked sends packets and repeats them until they are acknowledged.
func (gs *gossip) repeatUnacked(ctx context.Context) error {
	open := map[uint64]*unacked{}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ua := <-gs.unacked:
			gs.giveUpOldest(open)
			open[ua.id] = ua
		case received := <-gs.acks:
			gs.handleAck(open, received)
		case <-timer.C:
		}
		timer.Reset(gs.repeatDue(open))
	}
}

func (gs *gossip) handleAck(open map[uint64]*unacked, received ack) {
	ua, ok := open[received.id]
	if !ok {
		return
	}
	delete(ua.missing, received.from)
	if ua.note == nil || len(ua.missing) == 0 {
		gs.finishUnacked(ua)
	}
	if len(ua.missing) == 0 {
		delete(open, ua.id)
	}
}

// giveUpOldest makes room for one more packet.
func (gs *gossip) giveUpOldest(open map[uint64]*unacked) {
	if len(open) < maxUnacked {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(open)), func(a, b *unacked) int { return a.sentAt.Compare(b.sentAt) })
	gs.in.count("Deaths.GivenUp")
	gs.finishUnacked(oldest)
	delete(open, oldest.id)
}

// repeatDue sends the packets that are due and returns the time until the next one is.
func (gs *gossip) repeatDue(open map[uint64]*unacked) time.Duration {
	now, next := time.Now(), time.Hour
	for id, ua := range open {
		if !now.Before(ua.nextAt) && !gs.repeat(now, ua) {
			delete(open, id)
			continue
		}
		next = min(next, ua.nextAt.Sub(now))
	}
	return next
}

// repeat sends the packet to those that have not acknowledged it and reports whether it is to be repeated again.
func (gs *gossip) repeat(now time.Time, ua *unacked) bool {
	age := now.Sub(ua.sentAt)
	ua.nextAt = now.Add(deathRepeat)
	if age >= deathAckTimeout {
		gs.finishUnacked(ua)
		gs.dropUnregistered(ua)
		ua.backoff = min(max(minDeathBackoff, 2*ua.backoff), maxDeathBackoff)
		ua.nextAt = now.Add(ua.backoff)
	}
	if ua.note == nil && age >= deathAckTimeout || age >= deathRepeatTime || len(ua.missing) == 0 {
		return false
	}
	raw := gs.encode(ua.packet(age))
	for _, address := range ua.missing {
		gs.writeDatagram(raw, address)
	}
	return true
}

// dropUnregistered gives up recipients that are not registered any more.
func (gs *gossip) dropUnregistered(ua *unacked) {
	registered := gs.deathRecipients()
	maps.DeleteFunc(ua.missing, func(address string, _ *net.UDPAddr) bool { return registered[address] == nil })
}

// packet returns what is sent when the deaths are older by age than they were first.
func (ua *unacked) packet(age time.Duration) packet {
	if ua.note == nil {
		return packet{AckID: ua.id, DeathsRequested: true}
	}
	note := *ua.note
	note.Age(age)
	return packet{AckID: ua.id, Note: &note}
}

// finishUnacked ends the wait for the acknowledgements of the packet.
func (gs *gossip) finishUnacked(ua *unacked) {
	if ua.isDone {
		return
	}
	ua.isDone = true
	if len(ua.missing) > 0 && ua.note != nil {
		gs.in.count("Deaths.NotAcknowledged")
		gs.in.log.Info().Int("Instances", len(ua.missing)).Int64("WaitedMs", time.Since(ua.sentAt).Milliseconds()).Msg("death of a replica not acknowledged by all instances in time; it is repeated")
	}
	close(ua.done)
	gs.deathAcks.CompareAndDelete(ua.digest, ua.done)
}

// awaitDeathAcks waits, before the caller gets its failure, until the other instances have acknowledged the deaths of the
// replicas that ran its request.
func (gs *gossip) awaitDeathAcks(ctx context.Context, digest steer.Digest) {
	done, ok := gs.deathAcks.Load(digest)
	if !ok {
		return
	}
	select {
	case <-done.(chan struct{}):
	case <-ctx.Done():
	}
}

// answerDeathsRequest sends the deaths known here to an Instance that has just started, with the acknowledgement.
func (gs *gossip) answerDeathsRequest(id uint64, to *net.UDPAddr) {
	gs.deathRequesters.Add(to.String())
	notes := gs.in.deathNotes()
	if len(notes) == 0 {
		gs.writeDatagram(gs.encode(packet{Ack: id}), to)
		return
	}
	for i := range notes {
		gs.writeDatagram(gs.encode(packet{Ack: id, Note: &notes[i]}), to)
	}
}

// deathNotes returns notes with the deaths known here.
func (in *Instance) deathNotes() []steer.Note {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state.DeathNotes(time.Now())
}

// awaitDeaths requests the deaths that the others know once this Instance knows of others, and marks it ready for callers as
// far as those are concerned.
func (in *Instance) awaitDeaths(ctx context.Context) error {
	defer in.deathsKnown.Store(true)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-in.peersListed:
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-in.gossip.requestDeaths():
	}
	return nil
}

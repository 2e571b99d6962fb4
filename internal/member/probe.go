package member

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// probe is a probe that has not been answered yet.
type probe struct {
	target string
	at     time.Time
	// indirect reports whether other members were asked to probe the target too.
	indirect bool
	// relayTo is the peer address of the member that asked for this probe and to which the answer is forwarded. It is empty
	// for this instance's own probes.
	relayTo string
	// relaySeq is the sequence number that the asking member gave the probe.
	relaySeq uint64
}

// startProbe probes the next member. Each round probes every member once, in a new random order, so that no member waits
// longer than two rounds.
func (st *State) startProbe() {
	for range 2 {
		for len(st.round) > 0 {
			name := st.round[len(st.round)-1]
			st.round = st.round[:len(st.round)-1]
			if mb, ok := st.Members[name]; ok {
				st.sendProbe(mb, &probe{target: name, at: st.now})
				return
			}
		}
		st.round = st.names()
		st.random.Shuffle(len(st.round), func(i, j int) { st.round[i], st.round[j] = st.round[j], st.round[i] })
	}
}

// names returns the names of the members, sorted, so that random choices depend on the seed alone.
func (st *State) names() []string {
	names := make([]string, 0, len(st.Members))
	for name := range st.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (st *State) sendProbe(mb *Member, pr *probe) {
	st.seq++
	st.probes[st.seq] = pr
	updates := st.piggyback(1)
	if mb.State != event.StatusAlive {
		// Sends the member the state that is recorded for it here, so that it can refute it.
		updates = append(updates, event.StatusUpdate{Name: pr.target, State: mb.State, Incarnation: mb.Incarnation})
	}
	st.send(mb.Instance.Peer, wire.Probe{From: st.Self.Name, Peer: st.Self.Peer, Seq: st.seq, Words: updates})
}

func (st *State) handleProbeReceived(ev event.ProbeReceived) {
	st.applyAll(ev.Words)
	if ev.For != "" {
		if mb, ok := st.Members[ev.For]; ok {
			st.sendProbe(mb, &probe{target: ev.For, at: st.now, relayTo: ev.Peer, relaySeq: ev.Seq})
		}
		return
	}
	st.send(ev.Peer, wire.ProbeAck{From: st.Self.Name, Seq: ev.Seq, Words: append(st.piggyback(1), st.selfUpdate())})
}

func (st *State) selfUpdate() event.StatusUpdate {
	state := event.StatusAlive
	if st.leaving {
		state = event.StatusLeaving
	}
	return event.StatusUpdate{Name: st.Self.Name, State: state, Incarnation: st.Incarnation}
}

func (st *State) handleProbeAcked(ev event.ProbeAcked) {
	st.applyAll(ev.Words)
	pr, ok := st.probes[ev.Seq]
	if !ok || pr.target != ev.From {
		return
	}
	delete(st.probes, ev.Seq)
	if pr.relayTo != "" {
		st.send(pr.relayTo, wire.ProbeAck{From: ev.From, Seq: pr.relaySeq, Words: ev.Words})
	}
}

// checkProbes probes members indirectly whose answer is late, and handles the probes that have timed out.
func (st *State) checkProbes() {
	late := make([]uint64, 0, len(st.probes))
	for seq, pr := range st.probes {
		if st.now.Sub(pr.at) >= AckTimeout {
			late = append(late, seq)
		}
	}
	slices.SortFunc(late, cmp.Compare)
	for _, seq := range late {
		pr := st.probes[seq]
		if st.now.Sub(pr.at) >= ProbeTimeout {
			delete(st.probes, seq)
			st.handleTimeout(pr)
			continue
		}
		if !pr.indirect && pr.relayTo == "" {
			pr.indirect = true
			st.probeIndirectly(seq, pr.target)
		}
	}
}

func (st *State) handleTimeout(pr *probe) {
	mb, ok := st.Members[pr.target]
	if !ok || pr.relayTo != "" {
		return
	}
	switch mb.State {
	case event.StatusAlive:
		st.apply(event.StatusUpdate{Name: pr.target, State: event.StatusSuspect, Incarnation: mb.Incarnation})
	case event.StatusLeaving:
		// A leaving member gets no new work in any case. Declaring it dead lets what it left behind be swept.
		st.apply(event.StatusUpdate{Name: pr.target, State: event.StatusDead, Incarnation: mb.Incarnation})
	}
}

func (st *State) probeIndirectly(seq uint64, target string) {
	for _, mb := range st.pickLive(indirectProbes, target) {
		st.send(mb.Instance.Peer, wire.Probe{From: st.Self.Name, Peer: st.Self.Peer, Seq: seq, For: target})
	}
}

// pickLive returns up to count random live members other than except.
func (st *State) pickLive(count int, except string) []*Member {
	names := st.names()
	st.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	picked := make([]*Member, 0, count)
	for _, name := range names {
		mb := st.Members[name]
		if name != except && mb.Live() && len(picked) < count {
			picked = append(picked, mb)
		}
	}
	return picked
}

package member

import (
	"cmp"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// probe is one under way.
type probe struct {
	target string
	at     time.Time
	// helped tells that others were asked to probe the target too.
	helped bool
	// relay is who asked for the probe, with its number; empty for an own probe.
	relay    string
	relaySeq uint64
}

// startProbe probes the members in turn, each round in a new random order, so that none waits longer than two rounds.
func (st *State) startProbe() {
	for range 2 {
		for len(st.round) > 0 {
			name := st.round[len(st.round)-1]
			st.round = st.round[:len(st.round)-1]
			if mb, ok := st.Members[name]; ok {
				st.send(mb, &probe{target: name, at: st.now})
				return
			}
		}
		st.round = st.names()
		st.random.Shuffle(len(st.round), func(i, j int) { st.round[i], st.round[j] = st.round[j], st.round[i] })
	}
}

// names returns the members in a fixed order, so that the seed alone decides what is drawn.
func (st *State) names() []string {
	names := make([]string, 0, len(st.Members))
	for name := range st.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (st *State) send(mb *Member, pr *probe) {
	st.seq++
	st.probes[st.seq] = pr
	words := st.words(1)
	if mb.State != event.WordAlive {
		// The member learns what is said of it and can refute it.
		words = append(words, event.Word{Name: pr.target, State: mb.State, Incarnation: mb.Incarnation})
	}
	st.tell(mb.Instance.Peer, wire.Probe{From: st.Self.Name, Peer: st.Self.Peer, Seq: st.seq, Words: words})
}

func (st *State) probed(ev event.Probed) {
	st.hearAll(ev.Words)
	if ev.For != "" {
		if mb, ok := st.Members[ev.For]; ok {
			st.send(mb, &probe{target: ev.For, at: st.now, relay: ev.Peer, relaySeq: ev.Seq})
		}
		return
	}
	st.tell(ev.Peer, wire.ProbeAck{From: st.Self.Name, Seq: ev.Seq, Words: append(st.words(1), st.aboutSelf())})
}

func (st *State) aboutSelf() event.Word {
	state := event.WordAlive
	if st.leaving {
		state = event.WordLeaving
	}
	return event.Word{Name: st.Self.Name, State: state, Incarnation: st.Incarnation}
}

func (st *State) acked(ev event.ProbeAcked) {
	st.hearAll(ev.Words)
	pr, ok := st.probes[ev.Seq]
	if !ok || pr.target != ev.From {
		return
	}
	delete(st.probes, ev.Seq)
	if pr.relay != "" {
		st.tell(pr.relay, wire.ProbeAck{From: ev.From, Seq: pr.relaySeq, Words: ev.Words})
	}
}

// followProbes asks for help with late answers, and suspects members from whom none came.
func (st *State) followProbes() {
	late := make([]uint64, 0, len(st.probes))
	for seq, pr := range st.probes {
		if st.now.Sub(pr.at) >= AckTime {
			late = append(late, seq)
		}
	}
	slices.SortFunc(late, cmp.Compare)
	for _, seq := range late {
		pr := st.probes[seq]
		if st.now.Sub(pr.at) >= ProbeTime {
			delete(st.probes, seq)
			st.unanswered(pr)
			continue
		}
		if !pr.helped && pr.relay == "" {
			pr.helped = true
			st.askHelp(seq, pr.target)
		}
	}
}

func (st *State) unanswered(pr *probe) {
	mb, ok := st.Members[pr.target]
	if !ok || pr.relay != "" {
		return
	}
	switch mb.State {
	case event.WordAlive:
		st.hear(event.Word{Name: pr.target, State: event.WordSuspect, Incarnation: mb.Incarnation})
	case event.WordLeaving:
		// It takes nothing new in any case; what it left behind can be swept.
		st.hear(event.Word{Name: pr.target, State: event.WordDead, Incarnation: mb.Incarnation})
	}
}

func (st *State) askHelp(seq uint64, target string) {
	for _, mb := range st.draw(helpers, target) {
		st.tell(mb.Instance.Peer, wire.Probe{From: st.Self.Name, Peer: st.Self.Peer, Seq: seq, For: target})
	}
}

// draw returns up to count random live members other than the one named.
func (st *State) draw(count int, except string) []*Member {
	names := st.names()
	st.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	drawn := make([]*Member, 0, count)
	for _, name := range names {
		mb := st.Members[name]
		if name != except && mb.Live() && len(drawn) < count {
			drawn = append(drawn, mb)
		}
	}
	return drawn
}

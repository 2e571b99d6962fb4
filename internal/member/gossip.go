package member

import (
	"math/bits"
	"slices"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/wire"
)

// Spreading of news.
const (
	// fanout is how many members are told of urgent news at once. Each of them tells as many again, so that all but a
	// few in a hundred hear it within as many hops as the fleet's size has digits; the probes bring it to the rest.
	fanout = 4
	// repeat is how often a word goes out with probes, times the logarithm of the fleet's size.
	repeat = 3
	// maxWords bounds the words in one message.
	maxWords = 6
)

// item is a word on its way with the number of times it was sent.
type item struct {
	word event.Word
	sent int
}

func (st *State) hearAll(words []event.Word) {
	for _, word := range words {
		st.hear(word)
	}
}

// hear takes a word if it says more than what is known, and passes it on.
func (st *State) hear(word event.Word) {
	switch {
	case word.State == event.WordUpstreamLeaving:
		st.hearLeaver(word)
	case word.Name == st.Self.Name:
		st.refute(word)
	default:
		st.hearMember(word)
	}
}

func (st *State) hearLeaver(word event.Word) {
	if _, known := st.leavers[word]; known || len(st.leavers) >= maxLeavers {
		return
	}
	st.leavers[word] = st.now
	st.Left = append(st.Left, word)
	st.spread(word)
}

// refute answers a suspicion of this instance with a higher incarnation, which only this instance may do.
func (st *State) refute(word event.Word) {
	if word.Incarnation == 0 {
		word.Incarnation = st.Incarnation
	}
	if word.Incarnation < st.Incarnation || word.State == event.WordAlive || word.State == event.WordLeaving {
		return
	}
	st.Incarnation = word.Incarnation + 1
	st.spread(st.aboutSelf())
}

func (st *State) hearMember(word event.Word) {
	mb, ok := st.Members[word.Name]
	if !ok {
		return
	}
	if word.Incarnation == 0 {
		// Who suspects a member that it never heard itself means the one that is there now.
		word.Incarnation = mb.Incarnation
	}
	if !mb.overriddenBy(word) {
		return
	}
	if mb.State != word.State {
		st.Changed = true
	}
	news := mb.State != word.State || word.State == event.WordAlive && mb.Incarnation != 0
	mb.Incarnation = word.Incarnation
	mb.State = word.State
	switch {
	case word.State == event.WordSuspect:
		mb.SuspectedAt = st.now
		st.suspects[word.Name] = true
		st.tell(mb.Instance.Peer, st.gossip(word))
		st.spread(word)
	case news:
		st.spread(word)
	}
}

// overriddenBy orders the words about one member. Leaving is final for an incarnation, and a suspicion or death that
// is older than the member's own last word says nothing.
func (mb *Member) overriddenBy(word event.Word) bool {
	if word.Incarnation != mb.Incarnation {
		return word.Incarnation > mb.Incarnation
	}
	return word.State > mb.State
}

// spread tells some members at once and the others with the next probes.
func (st *State) spread(word event.Word) {
	st.news = slices.DeleteFunc(st.news, func(it *item) bool {
		return it.word.Name == word.Name && it.word.State != event.WordUpstreamLeaving
	})
	st.news = append(st.news, &item{word: word})
	for _, mb := range st.draw(fanout, word.Name) {
		st.tell(mb.Instance.Peer, st.gossip(word))
	}
}

// words returns news for one message, those sent least often first, and counts them as sent.
func (st *State) words(times int) []event.Word {
	if len(st.news) == 0 {
		return nil
	}
	slices.SortStableFunc(st.news, func(one, two *item) int { return one.sent - two.sent })
	words := make([]event.Word, 0, maxWords+1)
	for _, it := range st.news[:min(len(st.news), maxWords)] {
		it.sent += times
		words = append(words, it.word)
	}
	limit := repeat * bits.Len(uint(len(st.Members)+1))
	st.news = slices.DeleteFunc(st.news, func(it *item) bool { return it.sent >= limit })
	return words
}

func (st *State) gossip(word event.Word) wire.Gossip {
	return wire.Gossip{From: st.Self.Name, Words: []event.Word{word}}
}

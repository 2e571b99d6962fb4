package route

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/event"
)

// The prefix index remembers which replicas hold which leading blocks of prompts, from own dispatches and from the
// engines' cache events. Events come late and with gaps, so what is known ages: a gap makes it uncertain, and what
// nothing confirms is forgotten.
const (
	// maxPrefixes bounds the index; the oldest entries go first. At about 90 bytes an entry it stays under 12 MB.
	maxPrefixes = 1 << 17
	// maxHolders bounds the replicas known for one prefix.
	maxHolders = 3
	// hintLife is how long an own dispatch is believed without an event, if the engine sends none at all; with events
	// it is believed for confirmTime.
	hintLife    = time.Minute
	confirmTime = 10 * time.Second
	// uncertainLife is how long an entry is believed by half after a gap in the events.
	uncertainLife = 30 * time.Second
	// eventLag is how late a removal may be: one that comes this soon after a dispatch may be older than it.
	eventLag = time.Second
)

// The shares of a prefix that are counted as cached.
const (
	beliefConfirmed = 1
	beliefHint      = 0.9
	beliefUncertain = 0.5
)

// cacheView is what is known of one replica's cache as a whole.
type cacheView struct {
	// next is the sequence number that the next batch should begin with, 0 before the first.
	next int64
	// epoch counts how often the cache was lost.
	epoch uint32
	// gapAt is when the last gap was seen.
	gapAt time.Time
}

type holder struct {
	rep       *Replica
	epoch     uint32
	confirmed bool
	at        time.Time
}

// prefixIndex finds holders by prefix hash.
type prefixIndex struct {
	holders map[uint64][]holder
	// ring holds the hashes in the order of entry; next is the oldest one's place once it is full.
	ring []uint64
	next int
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{holders: map[uint64][]holder{}}
}

func (pi *prefixIndex) add(hash uint64, hd holder) {
	known, ok := pi.holders[hash]
	if !ok {
		pi.enter(hash)
	}
	for i := range known {
		if known[i].rep == hd.rep {
			hd.confirmed = hd.confirmed || (known[i].confirmed && known[i].epoch == hd.epoch && !known[i].at.Before(hd.rep.cache.gapAt))
			known[i] = hd
			return
		}
	}
	if len(known) == maxHolders {
		copy(known, known[1:])
		known[maxHolders-1] = hd
		return
	}
	pi.holders[hash] = append(known, hd)
}

func (pi *prefixIndex) enter(hash uint64) {
	if len(pi.ring) < maxPrefixes {
		pi.ring = append(pi.ring, hash)
		return
	}
	delete(pi.holders, pi.ring[pi.next])
	pi.ring[pi.next] = hash
	pi.next = (pi.next + 1) % maxPrefixes
}

func (pi *prefixIndex) remove(now time.Time, hash uint64, rep *Replica) {
	known := pi.holders[hash]
	for i := range known {
		if known[i].rep != rep {
			continue
		}
		if known[i].confirmed || now.Sub(known[i].at) > eventLag {
			known[i].rep = nil
			pi.holders[hash] = append(known[:i], known[i+1:]...)
		}
		return
	}
}

// belief is how much of the prefix the replica is believed to hold, from 0 to 1.
func (hd *holder) belief(now time.Time) float64 {
	view := &hd.rep.cache
	if hd.epoch != view.epoch {
		return 0
	}
	if !hd.confirmed {
		life := hintLife
		if view.next > 0 {
			life = confirmTime
		}
		if now.Sub(hd.at) < life {
			return beliefHint
		}
		return 0
	}
	if !hd.at.Before(view.gapAt) {
		return beliefConfirmed
	}
	if now.Sub(view.gapAt) < uncertainLife {
		return beliefUncertain
	}
	return 0
}

// Not every block of a long prompt is remembered: all of the first fineBlocks, then every coarse one, so that the
// longest prompt costs about a hundred entries.
const (
	fineBlocks   = 16
	middleBlocks = 256
	middleStep   = 16
	coarseStep   = 64
)

// rungs is how many prefixes of a prompt of that many blocks are remembered, the whole one not counted.
func rungs(blocks int) int {
	switch {
	case blocks <= fineBlocks:
		return blocks
	case blocks <= middleBlocks:
		return fineBlocks + (blocks-fineBlocks)/middleStep
	default:
		return fineBlocks + (middleBlocks-fineBlocks)/middleStep + (blocks-middleBlocks)/coarseStep
	}
}

// rung returns the number of blocks of the prefix at the place, counted from 0.
func rung(place int) int {
	const middleRungs = fineBlocks + (middleBlocks-fineBlocks)/middleStep
	switch {
	case place < fineBlocks:
		return place + 1
	case place < middleRungs:
		return fineBlocks + (place-fineBlocks+1)*middleStep
	default:
		return middleBlocks + (place-middleRungs+1)*coarseStep
	}
}

// hint notes that the replica was sent the prompt and will soon hold it.
func (pi *prefixIndex) hint(now time.Time, rep *Replica, prefixes []uint64) {
	hd := holder{rep: rep, epoch: rep.cache.epoch, at: now}
	count := rungs(len(prefixes))
	for place := range count {
		pi.add(prefixes[rung(place)-1], hd)
	}
	if count > 0 && rung(count-1) != len(prefixes) {
		pi.add(prefixes[len(prefixes)-1], hd)
	}
}

// longest returns the holders of the longest known prefix and its length in tokens. A cache that holds a prefix holds
// all shorter ones, so the search halves the range each time.
func (pi *prefixIndex) longest(prefixes []uint64) ([]holder, int64) {
	low, high := 0, rungs(len(prefixes))
	var best []holder
	for low < high {
		middle := (low + high) / 2
		known := pi.holders[prefixes[rung(middle)-1]]
		if len(known) == 0 {
			high = middle
			continue
		}
		best = known
		low = middle + 1
	}
	if low == 0 {
		return nil, 0
	}
	return best, int64(rung(low-1)) * body.BlockTokens
}

// CacheChanged takes a batch of an engine's cache events.
func (st *State) CacheChanged(now time.Time, ev event.CacheChanged) {
	rep, ok := st.Replicas[ev.Upstream]
	if !ok {
		return
	}
	view := &rep.cache
	restarted := ev.First <= 1 && view.next > 1
	switch {
	case ev.Cleared || restarted:
		view.epoch++
	case view.next > 0 && ev.Last < view.next:
		return
	case view.next > 0 && ev.First > view.next:
		view.gapAt = now
	}
	view.next = ev.Last + 1
	for _, hash := range ev.Removed {
		st.prefixes.remove(now, hash, rep)
	}
	for _, hash := range ev.Added {
		st.prefixes.add(hash, holder{rep: rep, epoch: view.epoch, confirmed: true, at: now})
	}
}

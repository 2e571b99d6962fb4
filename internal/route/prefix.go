package route

import (
	"time"

	"dandelionsail.example/dandelionsail/internal/body"
	"dandelionsail.example/dandelionsail/internal/event"
)

// The prefix index records which replicas have which prefixes of prompts in their cache. A prefix is a number of leading
// blocks of a prompt. An entry is either a hint, recorded when this instance sent a request, or confirmed, by one of the
// engine's cache events. Events arrive late and with gaps, so entries expire: a gap makes confirmed ones uncertain, and
// hints that no event confirms no longer count after a while.
const (
	// maxPrefixes is the maximum number of prefixes in the index; those inserted first are evicted first. At about 90 bytes per
	// prefix the index stays under 12 MB.
	maxPrefixes = 1 << 17
	// maxHolders is the maximum number of replicas recorded for one prefix.
	maxHolders = 3
	// hintTTL is how long a hint is valid if the replica has sent no cache events at all.
	hintTTL = time.Minute
	// confirmTimeout is how long a hint is valid if the replica sends cache events, one of which should confirm it by then.
	confirmTimeout = 10 * time.Second
	// uncertainTTL is how long after a gap in the events a confirmed entry from before it is still used, with
	// confidenceUncertain.
	uncertainTTL = 30 * time.Second
	// maxEventLag is the assumed maximum delay of a removal event. An event that arrives sooner than this after a request was
	// sent may be older than the request, so it does not remove the request's hint.
	maxEventLag = time.Second
)

// The confidence in an entry is the share of the prefix's tokens that counts as cached at the replica.
const (
	// confidenceConfirmed is for an entry that a cache event confirmed.
	confidenceConfirmed = 1
	// confidenceHint is for a hint that is still valid.
	confidenceHint = 0.9
	// confidenceUncertain is for a confirmed entry from before a gap in the events.
	confidenceUncertain = 0.5
)

// cacheState tracks the sequence of a replica's cache events.
type cacheState struct {
	// nextSequence is the sequence number that the next batch should start with, 0 before the first batch.
	nextSequence int64
	// epoch counts how often the cache was cleared or the engine restarted. Holders of an older epoch are invalid.
	epoch uint32
	// gapAt is when the last gap was detected, zero if there was none.
	gapAt time.Time
}

// holder is an entry of the index: it records that a replica has a prefix in its cache.
type holder struct {
	rep *Replica
	// epoch is the epoch of the replica's cache when the holder was recorded.
	epoch uint32
	// confirmed reports whether a cache event confirmed the holder. Otherwise it is a hint.
	confirmed bool
	// at is when the holder was recorded last.
	at time.Time
}

// prefixIndex finds holders by prefix hash.
type prefixIndex struct {
	holders map[uint64][]holder
	// ring holds the hashes of holders in the order of insertion. Once it is full, new hashes overwrite the oldest ones.
	ring []uint64
	// oldest is the index in ring of the oldest hash once ring is full.
	oldest int
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{holders: map[uint64][]holder{}}
}

// add records a holder of the prefix, in place of an earlier one for the same replica. If that one was confirmed, the new
// one is as well, unless the cache was cleared or a gap was detected since. If there are maxHolders for other replicas, the
// one that was added first is dropped.
func (pi *prefixIndex) add(hash uint64, hd holder) {
	known, ok := pi.holders[hash]
	if !ok {
		pi.addToRing(hash)
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

// addToRing adds a new hash to the ring and evicts the oldest one if the ring is full.
func (pi *prefixIndex) addToRing(hash uint64) {
	if len(pi.ring) < maxPrefixes {
		pi.ring = append(pi.ring, hash)
		return
	}
	delete(pi.holders, pi.ring[pi.oldest])
	pi.ring[pi.oldest] = hash
	pi.oldest = (pi.oldest + 1) % maxPrefixes
}

// remove removes the replica from the holders of the prefix, unless its entry is a hint that is not older than maxEventLag.
func (pi *prefixIndex) remove(now time.Time, hash uint64, rep *Replica) {
	known := pi.holders[hash]
	for i := range known {
		if known[i].rep != rep {
			continue
		}
		if known[i].confirmed || now.Sub(known[i].at) > maxEventLag {
			known[i].rep = nil
			pi.holders[hash] = append(known[:i], known[i+1:]...)
		}
		return
	}
}

// confidence returns the share of the prefix that counts as cached at the replica, from 0 to 1.
func (hd *holder) confidence(now time.Time) float64 {
	cache := &hd.rep.cache
	if hd.epoch != cache.epoch {
		return 0
	}
	if !hd.confirmed {
		ttl := hintTTL
		if cache.nextSequence > 0 {
			ttl = confirmTimeout
		}
		if now.Sub(hd.at) < ttl {
			return confidenceHint
		}
		return 0
	}
	if !hd.at.Before(cache.gapAt) {
		return confidenceConfirmed
	}
	if now.Sub(cache.gapAt) < uncertainTTL {
		return confidenceUncertain
	}
	return 0
}

// Not every prefix of a long prompt is indexed, so that even the longest prompt takes only about a hundred entries.
const (
	// denseBlocks is the number of blocks up to which each prefix is indexed.
	denseBlocks = 16
	// middleBlocks is the number of blocks up to which, beyond denseBlocks, every middleStep-th prefix is indexed.
	middleBlocks = 256
	// middleStep is the distance in blocks between the indexed prefixes from denseBlocks to middleBlocks.
	middleStep = 16
	// coarseStep is the distance in blocks between the indexed prefixes beyond middleBlocks.
	coarseStep = 64
)

// indexedCount returns the number of indexed prefixes of a prompt with that many blocks. addHint also indexes the whole
// prompt, which is counted only if its number of blocks is one of those that indexedBlocks returns.
func indexedCount(blocks int) int {
	switch {
	case blocks <= denseBlocks:
		return blocks
	case blocks <= middleBlocks:
		return denseBlocks + (blocks-denseBlocks)/middleStep
	default:
		return denseBlocks + (middleBlocks-denseBlocks)/middleStep + (blocks-middleBlocks)/coarseStep
	}
}

// indexedBlocks returns the length in blocks of an indexed prefix. Index 0 is the shortest one.
func indexedBlocks(index int) int {
	const middleCount = denseBlocks + (middleBlocks-denseBlocks)/middleStep
	switch {
	case index < denseBlocks:
		return index + 1
	case index < middleCount:
		return denseBlocks + (index-denseBlocks+1)*middleStep
	default:
		return middleBlocks + (index-middleCount+1)*coarseStep
	}
}

// addHint records that the replica was sent the prompt and will soon have it in its cache.
func (pi *prefixIndex) addHint(now time.Time, rep *Replica, prefixes []uint64) {
	hd := holder{rep: rep, epoch: rep.cache.epoch, at: now}
	count := indexedCount(len(prefixes))
	for index := range count {
		pi.add(prefixes[indexedBlocks(index)-1], hd)
	}
	if count > 0 && indexedBlocks(count-1) != len(prefixes) {
		pi.add(prefixes[len(prefixes)-1], hd)
	}
}

// longest returns the holders of the longest indexed prefix of the prompt that has any, and the length of that prefix in
// tokens. A cache that holds a prefix holds all shorter ones, so a binary search finds it.
func (pi *prefixIndex) longest(prefixes []uint64) ([]holder, int64) {
	low, high := 0, indexedCount(len(prefixes))
	var best []holder
	for low < high {
		probe := (low + high) / 2
		known := pi.holders[prefixes[indexedBlocks(probe)-1]]
		if len(known) == 0 {
			high = probe
			continue
		}
		best = known
		low = probe + 1
	}
	if low == 0 {
		return nil, 0
	}
	return best, int64(indexedBlocks(low-1)) * body.BlockTokens
}

// CacheChanged applies a batch of an engine's cache events to the index.
func (st *State) CacheChanged(now time.Time, ev event.CacheChanged) {
	rep, ok := st.Replicas[ev.Upstream]
	if !ok {
		return
	}
	cache := &rep.cache
	restarted := ev.First <= 1 && cache.nextSequence > 1
	switch {
	case ev.Cleared || restarted:
		cache.epoch++
	case cache.nextSequence > 0 && ev.Last < cache.nextSequence:
		return
	case cache.nextSequence > 0 && ev.First > cache.nextSequence:
		cache.gapAt = now
	}
	cache.nextSequence = ev.Last + 1
	for _, hash := range ev.Removed {
		st.prefixes.remove(now, hash, rep)
	}
	for _, hash := range ev.Added {
		st.prefixes.add(hash, holder{rep: rep, epoch: cache.epoch, confirmed: true, at: now})
	}
}

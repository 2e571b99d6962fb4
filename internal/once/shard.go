package once

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
	"dandelionsail.example/dandelionsail/internal/store"
)

// maxSegments bounds the segments of a shard, because an instance that is new to a shard reads them all.
const maxSegments = 48

// cachedSegment is a segment as last read from or written to the store.
type cachedSegment struct {
	// number is the segment's position in the shard, which is part of its key.
	number int64
	// pair is the segment's pair in the store, without its value; a key without a position for one that is not stored yet.
	pair store.Pair
	seg  *Segment
	// dirty reports that seg has changes to write.
	dirty bool
}

// shard is all segments of one shard, in ascending order of their numbers. Only the last one takes claims. The others are
// sealed, so they gain no claims after they were read, and a claim that is in none of them and is swapped into the last
// one is the only claim of its key.
type shard struct {
	segments []cachedSegment
	// restoring reports whether the store has just returned from a copy. No key counts as free then, since instances are still
	// writing again the claims that the store has lost.
	restoring bool
}

// clone shares the segments; writable copies those that change.
func (sh *shard) clone() *shard {
	return &shard{segments: slices.Clone(sh.segments), restoring: sh.restoring}
}

func (sh *shard) last() int {
	return len(sh.segments) - 1
}

// ensureOpen appends an empty segment unless the last one takes claims.
func (sh *shard) ensureOpen() {
	number := int64(0)
	if len(sh.segments) > 0 {
		last := sh.segments[sh.last()]
		if !last.seg.Sealed {
			return
		}
		number = last.number + 1
	}
	sh.segments = append(sh.segments, cachedSegment{number: number, seg: newSegment()})
}

// writable returns the segment for changes, after copying it at the first one.
func (sh *shard) writable(index int) *Segment {
	sg := &sh.segments[index]
	if !sg.dirty {
		sg.seg = sg.seg.clone()
		sg.dirty = true
	}
	return sg.seg
}

// find returns the index of the segment that has a claim of the key, -1 if none has.
func (sh *shard) find(hash Hash) int {
	for i := range sh.segments {
		if _, ok := sh.segments[i].seg.Records[hash]; ok {
			return i
		}
	}
	return -1
}

func (sh *shard) abandoned(nonce string) bool {
	for i := range sh.segments {
		if _, ok := sh.segments[i].seg.Abandoned[nonce]; ok {
			return true
		}
	}
	return false
}

// claim records the key if it is free. The returned segment is the index of the one where another request holds the key,
// -1 if none does.
func (sh *shard) claim(op *claimOp, now time.Time) (res claimResult, segment int) {
	found := sh.find(op.hash)
	if found >= 0 {
		rec := sh.segments[found].seg.Records[op.hash]
		switch {
		case rec.Nonce == op.nonce && sh.restoring:
			// The claim may have been recorded after the return, when no key counts as free.
			return claimResult{result: event.ClaimUnavailable}, -1
		case rec.Nonce == op.nonce:
			return claimResult{result: event.ClaimWon}, -1
		case rec.Digest != op.digest:
			return claimResult{result: event.ClaimConflict}, found
		}
		return claimResult{result: event.ClaimRepeated, out: rec.outcome(now)}, found
	}
	if sh.restoring || sh.abandoned(op.nonce) || len(sh.segments) > maxSegments {
		return claimResult{result: event.ClaimUnavailable}, -1
	}
	sh.writable(sh.last()).Records[op.hash] = Record{Digest: op.digest, Nonce: op.nonce, ClaimedAt: now.Unix(), Deadline: op.deadline.Unix()}
	return claimResult{result: event.ClaimWon}, -1
}

// settle records the end of a run, or removes the claim if the request certainly was not run.
func (sh *shard) settle(op *settleOp, now time.Time) {
	found := sh.find(op.hash)
	own := found >= 0 && sh.segments[found].seg.Records[op.hash].Nonce == op.nonce
	if op.release && !sh.abandoned(op.nonce) {
		// Another write of the claim may be in flight, from this instance or from the shard's home. The nonce keeps it from
		// taking effect: a write prepared before this one fails at the swap, a later one finds the nonce.
		sh.writable(sh.last()).Abandoned[op.nonce] = now.Unix()
	}
	switch {
	case op.release && own:
		delete(sh.writable(found).Records, op.hash)
	case own:
		sh.writable(found).settle(op)
	}
}

// seal seals the last segment if it changed and has reached the length in bytes.
func (sh *shard) seal(length int) {
	last := sh.segments[sh.last()]
	if last.dirty && last.seg.size() >= length {
		last.seg.Sealed = true
	}
}

// prune removes the expired segments at the start of the shard and returns them. It always leaves the last segment.
func (sh *shard) prune(now time.Time, retention time.Duration) []cachedSegment {
	oldest := now.Add(-retention).Unix()
	var pruned []cachedSegment
	for len(sh.segments) > 1 && sh.segments[0].seg.expired(oldest) {
		pruned = append(pruned, sh.segments[0])
		sh.segments = sh.segments[1:]
	}
	return pruned
}

// maxCopyAge is the maximum age of a copy from which the store returns, in seconds. Older claims are in the copy.
const maxCopyAge = 60

// restore adds the claims, outcomes and releases of the shard as it was before the store returned from a copy that lacks them. A key that
// another request has claimed since the return belongs to the claim from before it. Of two claims from before it the later one counts: the
// earlier had been released.
func (sh *shard) restore(before *shard, returned, now time.Time) {
	oldest := now.Unix() - maxCopyAge
	for i := range before.segments {
		seg := before.segments[i].seg
		for nonce, at := range seg.Abandoned {
			if at >= oldest && !sh.abandoned(nonce) {
				sh.writable(sh.last()).Abandoned[nonce] = at
			}
		}
		for hash, rec := range seg.Records {
			sh.restoreRecord(hash, rec, rec.ClaimedAt >= oldest, returned.Unix())
		}
	}
}

// restoreRecord adds the record, if it is recent, or its outcome, which the store may lack also if the claim is older than the copy.
func (sh *shard) restoreRecord(hash Hash, rec Record, recent bool, returned int64) {
	found := sh.find(hash)
	if found < 0 {
		if recent && !sh.abandoned(rec.Nonce) {
			sh.writable(sh.last()).Records[hash] = rec
		}
		return
	}
	have := sh.segments[found].seg.Records[hash]
	replaces := rec.Settled && !have.Settled
	if have.Nonce != rec.Nonce {
		replaces = recent && (have.ClaimedAt >= returned || rec.ClaimedAt > have.ClaimedAt)
	}
	if replaces {
		sh.writable(found).Records[hash] = rec
	}
}

// hasRecentClaims reports whether the store may lose claims or releases of the shard with a return from a copy.
func (sh *shard) hasRecentClaims(now time.Time) bool {
	oldest := now.Unix() - maxCopyAge
	for i := range sh.segments {
		if !sh.segments[i].seg.expired(oldest) {
			return true
		}
	}
	return false
}

package once

import (
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// maxSegments bounds a shard: a reader that is new to it reads them all.
const maxSegments = 48

// part is one segment as it was read or written last.
type part struct {
	number int64
	// revision is the store's, 0 for a segment that is not there yet.
	revision int64
	seg      *Segment
	// dirty tells that seg is to be written.
	dirty bool
}

// shard is all segments of one shard, by rising number. Only the last one takes claims; the others are sealed, so the
// set of their claims is known for good once it was read, and a claim that is in none of them and is swapped into the
// last one is the only one of its key.
type shard struct{ parts []part }

// clone shares the segments; edit copies those that change.
func (sh *shard) clone() *shard {
	return &shard{parts: slices.Clone(sh.parts)}
}

func (sh *shard) last() int {
	return len(sh.parts) - 1
}

// open makes sure that the last segment takes claims.
func (sh *shard) open() {
	number := int64(0)
	if len(sh.parts) > 0 {
		last := sh.parts[sh.last()]
		if !last.seg.Sealed {
			return
		}
		number = last.number + 1
	}
	sh.parts = append(sh.parts, part{number: number, seg: newSegment()})
}

func (sh *shard) edit(index int) *Segment {
	pt := &sh.parts[index]
	if !pt.dirty {
		pt.seg = pt.seg.clone()
		pt.dirty = true
	}
	return pt.seg
}

// find returns the segment that has a claim of the key, -1 if none has.
func (sh *shard) find(hash Hash) int {
	for i := range sh.parts {
		if _, ok := sh.parts[i].seg.Records[hash]; ok {
			return i
		}
	}
	return -1
}

func (sh *shard) abandoned(nonce string) bool {
	for i := range sh.parts {
		if _, ok := sh.parts[i].seg.Abandoned[nonce]; ok {
			return true
		}
	}
	return false
}

// claim records the key if it is free. The segment is the one where the key was found, -1 if nowhere.
func (sh *shard) claim(op *claimOp, now time.Time) (res claimed, segment int) {
	found := sh.find(op.hash)
	if found >= 0 {
		there := sh.parts[found].seg.Records[op.hash]
		switch {
		case there.Nonce == op.nonce:
			return claimed{result: event.ClaimWon}, -1
		case there.Digest != op.digest:
			return claimed{result: event.ClaimConflict}, found
		}
		return claimed{result: event.ClaimRepeated, out: there.outcome(now)}, found
	}
	if sh.abandoned(op.nonce) || len(sh.parts) > maxSegments {
		return claimed{result: event.ClaimUnavailable}, -1
	}
	sh.edit(sh.last()).Records[op.hash] = Record{Digest: op.digest, Nonce: op.nonce, At: now.Unix(), Ends: op.ends.Unix()}
	return claimed{result: event.ClaimWon}, -1
}

// settle records the end of a run, or takes the claim away if it certainly was not run.
func (sh *shard) settle(op *settleOp, now time.Time) {
	found := sh.find(op.hash)
	own := found >= 0 && sh.parts[found].seg.Records[op.hash].Nonce == op.nonce
	if op.release && !sh.abandoned(op.nonce) {
		// Another write of the claim may be on its way, by this instance or by the shard's home. It cannot land any
		// more: one made before this write fails at the swap, one made after it finds the nonce.
		sh.edit(sh.last()).Abandoned[op.nonce] = now.Unix()
	}
	switch {
	case op.release && own:
		delete(sh.edit(found).Records, op.hash)
	case own:
		sh.edit(found).settle(op)
	}
}

// seal ends the last segment if it has the length.
func (sh *shard) seal(length int) {
	last := sh.parts[sh.last()]
	if last.dirty && last.seg.size() >= length {
		last.seg.Sealed = true
	}
}

// prune forgets the segments of which nobody can ask anything any more and returns them.
func (sh *shard) prune(now time.Time, retention time.Duration) []part {
	oldest := now.Add(-retention).Unix()
	var gone []part
	for len(sh.parts) > 1 && sh.parts[0].seg.expired(oldest) {
		gone = append(gone, sh.parts[0])
		sh.parts = sh.parts[1:]
	}
	return gone
}

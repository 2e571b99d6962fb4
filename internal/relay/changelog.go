package relay

import (
	"sync"

	"dandelionsail.example/dandelionsail/internal/posit"
)

// changeLog holds the latest changes of the Directory that this Instance has applied, for other instances that request
// them. It is safe for concurrent use.
type changeLog struct {
	mu sync.Mutex
	// changes holds every change after from up to and including upTo, in order. Both are in the same era.
	changes    []Change
	from, upTo posit.Position
}

const (
	// changeLogSize is the maximum number of changes held. An Instance that has missed more reads the whole Directory.
	changeLogSize = 4096
	// changesPerResponse is how many changes one response holds. They must fit into a datagram; a replica takes about
	// 120 bytes.
	changesPerResponse = 24
	// maxExtraChanges is how many changes may exceed changesPerResponse so that the changes of one revision stay
	// together.
	maxExtraChanges = 32
	// maxChangesBytes is the maximum size in bytes of the changes in one response. It leaves room for maxKeptEvacuations in the datagram.
	maxChangesBytes = maxDatagram - maxKeptEvacuations*(maxDomainName+32) - 256
)

// reset discards all changes after the whole Directory was read at the position.
func (chl *changeLog) reset(at posit.Position) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	chl.changes = nil
	chl.from, chl.upTo = at, at
}

// add appends the changes after the current position up to upTo, which is in the same era.
func (chl *changeLog) add(changes []Change, upTo posit.Position) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	chl.changes = append(chl.changes, changes...)
	chl.upTo = upTo
	if over := len(chl.changes) - changeLogSize; over > 0 {
		chl.from = upTo.At(chl.changes[over-1].Revision)
		chl.changes = append([]Change(nil), chl.changes[over:]...)
	}
}

// position returns the position that the log has reached.
func (chl *changeLog) position() posit.Position {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	return chl.upTo
}

// since returns the first changes after the position, and the position up to which they are complete. It returns no
// changes and the given position if there are none, if they are no longer held, if the position is in another era or if
// a single response cannot hold them.
func (chl *changeLog) since(have posit.Position) (changes []Change, upTo posit.Position) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	if !have.SameEra(chl.upTo) || have.Before(chl.from) || !have.Before(chl.upTo) {
		return nil, have
	}
	first := 0
	for first < len(chl.changes) && !have.Before(have.At(chl.changes[first].Revision)) {
		first++
	}
	last, size := first, 0
	for end := first; end < len(chl.changes) && end-first < changesPerResponse; {
		end, size = chl.endOfRevision(end, size)
		if size > maxChangesBytes {
			break
		}
		last = end
	}
	switch {
	case last == len(chl.changes):
		return chl.changes[first:], chl.upTo
	case last == first, last-first > changesPerResponse+maxExtraChanges:
		return nil, have
	}
	return chl.changes[first:last], have.At(chl.changes[last-1].Revision)
}

// endOfRevision returns the index after the changes that were made together with the one at the index, and adds their size.
func (chl *changeLog) endOfRevision(at, size int) (end, total int) {
	for end = at; end < len(chl.changes) && sameRevision(&chl.changes[end], &chl.changes[at]); end++ {
		size += chl.changes[end].size()
	}
	return end, size
}

// size returns an upper bound of the encoded size of the change in bytes.
func (chg *Change) size() int {
	size := 32 + len(chg.RemovedReplica) + len(chg.RemovedPeer)
	if rep := chg.Replica; rep != nil {
		size += 64 + len(rep.Name) + len(rep.Service) + len(rep.Address) + len(rep.FailureDomain)
	}
	if peer := chg.Peer; peer != nil {
		size += 32 + len(peer.Name) + len(peer.Address) + len(peer.FailureDomain)
	}
	if qua := chg.Quarantine; qua != nil {
		size += 64 + 9*(len(qua.Parts)+len(qua.Callers))
	}
	if chg.Evacuation != nil {
		size += 16 + len(chg.Evacuation.FailureDomain)
	}
	if chg.Invalid != nil {
		size += 32 + len(chg.Invalid.Name) + len(chg.Invalid.Reason)
	}
	return size
}

// sameRevision reports whether two changes of one era were made together.
func sameRevision(a, b *Change) bool {
	var era posit.Position
	return era.At(a.Revision) == era.At(b.Revision)
}

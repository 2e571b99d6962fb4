package relay

import "sync"

// changeLog holds the latest changes of the Directory that this Instance has applied, for other instances that request
// them. It is safe for concurrent use.
type changeLog struct {
	mu sync.Mutex
	// changes holds every change after revision from up to and including revision upTo, in order.
	changes    []Change
	from, upTo int64
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
)

// reset discards all changes after the whole Directory was read at the revision.
func (chl *changeLog) reset(revision int64) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	chl.changes = nil
	chl.from, chl.upTo = revision, revision
}

// add appends the changes after the current revision up to upTo.
func (chl *changeLog) add(changes []Change, upTo int64) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	chl.changes = append(chl.changes, changes...)
	chl.upTo = upTo
	if over := len(chl.changes) - changeLogSize; over > 0 {
		chl.from = chl.changes[over-1].Revision
		chl.changes = append([]Change(nil), chl.changes[over:]...)
	}
}

// revision returns the revision that the log has reached.
func (chl *changeLog) revision() int64 {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	return chl.upTo
}

// since returns the first changes after the revision, and the revision up to which they are complete. It returns no
// changes and the given revision if there are none, if they are no longer held or if a single response cannot hold
// them.
func (chl *changeLog) since(revision int64) (changes []Change, upTo int64) {
	chl.mu.Lock()
	defer chl.mu.Unlock()
	if revision < chl.from || revision >= chl.upTo {
		return nil, revision
	}
	first := 0
	for first < len(chl.changes) && chl.changes[first].Revision <= revision {
		first++
	}
	last := min(first+changesPerResponse, len(chl.changes))
	if last == len(chl.changes) {
		return chl.changes[first:], chl.upTo
	}
	for last < len(chl.changes) && chl.changes[last].Revision == chl.changes[last-1].Revision {
		last++
	}
	if last-first > changesPerResponse+maxExtraChanges {
		return nil, revision
	}
	return chl.changes[first:last], chl.changes[last-1].Revision
}

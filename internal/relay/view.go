package relay

import "sync"

// view is the last changes of the directory that this instance has taken, for other instances that ask for them. Its
// methods may be called from several goroutines.
type view struct {
	mu sync.Mutex
	// changes holds every change after the revision from up to the revision upTo, in order.
	changes    []Change
	from, upTo int64
}

const (
	// keptChanges is how many changes are kept. An instance that has missed more reads everything.
	keptChanges = 4096
	// toldChanges is how many go into one answer, which a datagram must hold: a replica takes some 120 bytes.
	toldChanges = 24
	// moreChanges bounds those of one revision that may come on top, so that none is cut in two.
	moreChanges = 32
)

// reset forgets all changes: everything was read at the revision.
func (vw *view) reset(revision int64) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	vw.changes = nil
	vw.from, vw.upTo = revision, revision
}

// add takes the changes after the view's revision up to the other.
func (vw *view) add(changes []Change, upTo int64) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	vw.changes = append(vw.changes, changes...)
	vw.upTo = upTo
	if over := len(vw.changes) - keptChanges; over > 0 {
		vw.from = vw.changes[over-1].Revision
		vw.changes = append([]Change(nil), vw.changes[over:]...)
	}
}

// revision is the one that the view has reached.
func (vw *view) revision() int64 {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	return vw.upTo
}

// since returns the first changes after the revision and up to which one they are all, or the revision itself if there
// are none or they are not known any more.
func (vw *view) since(revision int64) (changes []Change, upTo int64) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if revision < vw.from || revision >= vw.upTo {
		return nil, revision
	}
	first := 0
	for first < len(vw.changes) && vw.changes[first].Revision <= revision {
		first++
	}
	last := min(first+toldChanges, len(vw.changes))
	if last == len(vw.changes) {
		return vw.changes[first:], vw.upTo
	}
	for last < len(vw.changes) && vw.changes[last].Revision == vw.changes[last-1].Revision {
		last++
	}
	if last-first > toldChanges+moreChanges {
		return nil, revision
	}
	return vw.changes[first:last], vw.changes[last-1].Revision
}

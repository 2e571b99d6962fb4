package core

import (
	"container/heap"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

type deadline struct {
	at time.Time
	id event.RequestID
}

type deadlineList []deadline

func (dl deadlineList) Len() int           { return len(dl) }
func (dl deadlineList) Less(i, j int) bool { return dl[i].at.Before(dl[j].at) }
func (dl deadlineList) Swap(i, j int)      { dl[i], dl[j] = dl[j], dl[i] }

// Push implements heap.Interface.
func (dl *deadlineList) Push(item any) { *dl = append(*dl, item.(deadline)) }

// Pop implements heap.Interface.
func (dl *deadlineList) Pop() any {
	last := len(*dl) - 1
	item := (*dl)[last]
	*dl = (*dl)[:last]
	return item
}

// deadlineHeap holds deadlines ordered by time.
type deadlineHeap struct{ list deadlineList }

func (dh *deadlineHeap) push(at time.Time, id event.RequestID) {
	heap.Push(&dh.list, deadline{at: at, id: id})
}

// pop removes the earliest deadline and returns its request, or false if that deadline is after now.
func (dh *deadlineHeap) pop(now time.Time) (event.RequestID, bool) {
	if len(dh.list) == 0 || dh.list[0].at.After(now) {
		return 0, false
	}
	return heap.Pop(&dh.list).(deadline).id, true
}

// next returns the earliest deadline, or false if there is none.
func (dh *deadlineHeap) next() (time.Time, bool) {
	if len(dh.list) == 0 {
		return time.Time{}, false
	}
	return dh.list[0].at, true
}

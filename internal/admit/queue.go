package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Aging under Priority. Aged items are ordered by deadline. While they take no more than maxAgedShare of the tokens, they go
// right behind the highest class; above that, they only go first among the items of their own priority. Without this bound,
// everything that waits under overload is aged, and the aged long prompts make all others wait as long as they do.
const (
	// agedAfterFraction is the fraction of the time from arrival to deadline after which an item is aged.
	agedAfterFraction = 0.5
	// maxAgedShare is the largest share of the tokens taken at which aged items still go right behind the highest class.
	maxAgedShare = 0.2
	// agedShareWindow is the number of tokens over which the share of aged items is averaged.
	agedShareWindow = 4_000_000
)

// maxFlows is the number of flows at which the idle ones are removed before another one is added.
const maxFlows = 4096

// queue holds the waiting items of one service. Adding or removing an item costs O(log items).
type queue struct {
	discipline Discipline
	items      map[event.RequestID]*Item
	// tokens is the sum of the tokens of items.
	tokens int64
	// lanes holds the items that are neither delayed nor aged, by descending priority: one lane for each class, or one for
	// all under FirstCome.
	lanes []*lane
	// aged holds the aged items by deadline.
	aged itemHeap
	// aging holds the items of the lanes that are to become aged, by the time at which they do.
	aging itemHeap
	// delayed holds the items that may not be sent yet, by NotBefore.
	delayed itemHeap
	// takenTokens is the sum of the tokens taken, decayed over agedShareWindow.
	takenTokens float64
	// takenAgedTokens is the part of takenTokens that aged items took.
	takenAgedTokens float64
	classes         map[string]*class
	flows           map[flowKey]*flow
	// virtualTime is the highest start tag that a lane had when an item was taken from it. It is used under Weighted.
	virtualTime float64
	// headBuffer is the slice that heads returns.
	headBuffer []*Item
}

// lane is a heap of items that go in the order of their organisations' fair shares, or of arrival under FirstCome.
type lane struct {
	priority int
	class    string
	// weight is the lane's weight under Weighted.
	weight float64
	// startTag grows by the tokens of each item taken, divided by weight. Under Weighted the lane with the lowest start tag
	// goes next. Start tags of lanes and those of items are not comparable.
	startTag float64
	heap     itemHeap
}

// class holds the sums over the waiting items of one length class.
type class struct {
	priority int
	// virtualTime is the highest start tag of the items taken.
	virtualTime float64
	// work is the sum of the work of the waiting items.
	work time.Duration
	// items is the number of waiting items.
	items int
	drain drainRate
	// weights is the sum of the weights of the organisations that have waiting items.
	weights float64
}

type flowKey struct{ organisation, class string }

// flow holds the fair-share state of one organisation in one class, and the sums over its waiting items there.
type flow struct {
	// finishTag is the virtual time at which the organisation's fair share has served all items that it queued.
	finishTag float64
	// weight is the weight that the organisation had when the flow last became non-empty.
	weight float64
	items  int
	work   time.Duration
}

func newQueue() *queue {
	qu := &queue{
		discipline: Priority{},
		items:      map[event.RequestID]*Item{},
		classes:    map[string]*class{},
		flows:      map[flowKey]*flow{},
	}
	qu.aged = itemHeap{less: func(a, b *Item) bool { return a.Deadline.Before(b.Deadline) }, index: func(it *Item) *int { return &it.orderIndex }}
	qu.aging = itemHeap{less: func(a, b *Item) bool { return a.agesAt.Before(b.agesAt) }, index: func(it *Item) *int { return &it.agingIndex }}
	qu.delayed = itemHeap{less: func(a, b *Item) bool { return a.NotBefore.Before(b.NotBefore) }, index: func(it *Item) *int { return &it.delayIndex }}
	return qu
}

// setDiscipline switches to the discipline and reorders the waiting items.
func (qu *queue) setDiscipline(disc Discipline) {
	if sameDiscipline(qu.discipline, disc) {
		return
	}
	qu.discipline = disc
	qu.lanes = nil
	qu.aged.items = nil
	for _, it := range qu.items {
		if it.delayIndex < 0 {
			qu.stopAging(it)
			it.aged = false
			qu.enqueue(it)
		}
	}
}

func sameDiscipline(a, b Discipline) bool {
	switch a := a.(type) {
	case Weighted:
		other, ok := b.(Weighted)
		return ok && sameWeights(a.Weights, other.Weights)
	case Priority:
		_, ok := b.(Priority)
		return ok
	case FirstCome:
		_, ok := b.(FirstCome)
		return ok
	}
	return false
}

func sameWeights(a, b map[string]float64) bool {
	if len(a) != len(b) {
		return false
	}
	for name, weight := range a {
		if b[name] != weight {
			return false
		}
	}
	return true
}

func (qu *queue) push(it *Item) {
	it.orderIndex, it.agingIndex, it.delayIndex = -1, -1, -1
	qu.items[it.ID] = it
	qu.tokens += it.Tokens
	qu.addToFlow(it)
	if !it.NotBefore.IsZero() {
		qu.delayed.push(it)
		return
	}
	qu.enqueue(it)
}

// addToFlow adds the item to its class and flow and sets its start tag.
func (qu *queue) addToFlow(it *Item) {
	cl, ok := qu.classes[it.Class.Name]
	if !ok {
		cl = &class{}
		qu.classes[it.Class.Name] = cl
	}
	cl.priority = it.Class.Priority
	cl.work += it.Work
	cl.items++
	key := flowKey{it.Organisation, it.Class.Name}
	fl, ok := qu.flows[key]
	if !ok {
		qu.dropIdleFlows()
		fl = &flow{}
		qu.flows[key] = fl
	}
	if fl.items == 0 {
		fl.weight = it.weight
		cl.weights += fl.weight
	}
	fl.items++
	fl.work += it.Work
	it.startTag = max(cl.virtualTime, fl.finishTag)
	fl.finishTag = it.startTag + float64(it.Tokens)/it.weight
}

// dropIdleFlows removes the empty flows once there are maxFlows flows. It keeps those whose finish tag is ahead of the
// class's virtual time: they still record service that the organisation received ahead of that time.
func (qu *queue) dropIdleFlows() {
	if len(qu.flows) < maxFlows {
		return
	}
	for key, fl := range qu.flows {
		if fl.items == 0 && fl.finishTag <= qu.classes[key.class].virtualTime {
			delete(qu.flows, key)
		}
	}
}

// enqueue adds to its lane an item that is not, or no longer, delayed.
func (qu *queue) enqueue(it *Item) {
	it.lane = qu.laneFor(it)
	it.lane.heap.push(it)
	if _, ok := qu.discipline.(Priority); ok && it.agingIndex < 0 {
		qu.startAging(it)
	}
}

// startAging schedules the time at which the item becomes aged. If its deadline is not after its arrival, it never does.
func (qu *queue) startAging(it *Item) {
	total := it.Deadline.Sub(it.Arrived)
	if total <= 0 {
		return
	}
	it.agesAt = it.Arrived.Add(time.Duration(agedAfterFraction * float64(total)))
	qu.aging.push(it)
}

// markAged moves an item from its lane to the aged heap.
func (qu *queue) markAged(it *Item) {
	qu.aging.remove(it)
	it.lane.heap.remove(it)
	it.lane = nil
	it.aged = true
	qu.aged.push(it)
}

// laneFor returns the lane of the item under the present discipline, and creates it if there is none.
func (qu *queue) laneFor(it *Item) *lane {
	want := lane{weight: 1}
	switch disc := qu.discipline.(type) {
	case Priority:
		want.priority, want.class = it.Class.Priority, it.Class.Name
	case Weighted:
		want.class = it.Class.Name
		if weight, ok := disc.Weights[it.Class.Name]; ok {
			want.weight = weight
		}
	}
	for _, ln := range qu.lanes {
		if ln.priority == want.priority && ln.class == want.class {
			qu.advanceIdleTag(ln)
			return ln
		}
	}
	ln := &want
	ln.heap = itemHeap{less: qu.itemOrder(), index: func(it *Item) *int { return &it.orderIndex }}
	ln.startTag = qu.virtualTime
	qu.lanes = append(qu.lanes, ln)
	slices.SortFunc(qu.lanes, func(a, b *lane) int { return cmp.Compare(b.priority, a.priority) })
	return ln
}

// advanceIdleTag raises the start tag of a lane that is empty to the present virtual time. Otherwise an idle lane would save up
// its unused share and then hold up the others.
func (qu *queue) advanceIdleTag(ln *lane) {
	if len(ln.heap.items) == 0 {
		ln.startTag = max(ln.startTag, qu.virtualTime)
	}
}

// itemOrder returns the order of the items within a lane.
func (qu *queue) itemOrder() func(a, b *Item) bool {
	if _, ok := qu.discipline.(FirstCome); ok {
		return func(a, b *Item) bool { return a.ID < b.ID }
	}
	return func(a, b *Item) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.ID < b.ID
	}
}

// heads returns the first item of each lane and the first aged item, in the order of preference. It first moves the items
// whose time has come: from delayed to their lanes, and from their lanes to aged.
func (qu *queue) heads(now time.Time) []*Item {
	for it := qu.delayed.first(); it != nil && !now.Before(it.NotBefore); it = qu.delayed.first() {
		qu.delayed.remove(it)
		qu.enqueue(it)
	}
	for it := qu.aging.first(); it != nil && !now.Before(it.agesAt); it = qu.aging.first() {
		qu.markAged(it)
	}
	qu.headBuffer = qu.headBuffer[:0]
	for _, ln := range qu.lanes {
		if it := ln.heap.first(); it != nil {
			qu.headBuffer = append(qu.headBuffer, it)
		}
	}
	switch qu.discipline.(type) {
	case Weighted:
		slices.SortStableFunc(qu.headBuffer, func(a, b *Item) int { return cmp.Compare(a.lane.startTag, b.lane.startTag) })
	case Priority:
		// Classes of equal priority go in the order of arrival. Start tags of different classes cannot be compared: the
		// class that has served more would have to wait until the other one had caught up.
		slices.SortStableFunc(qu.headBuffer, func(a, b *Item) int {
			return cmp.Or(cmp.Compare(b.Class.Priority, a.Class.Priority), a.Arrived.Compare(b.Arrived))
		})
	}
	if it := qu.aged.first(); it != nil {
		qu.headBuffer = slices.Insert(qu.headBuffer, qu.agedPosition(it), it)
	}
	return qu.headBuffer
}

// agedPosition returns the index at which the first aged item belongs among the heads of the lanes, which are in the order
// of priority.
func (qu *queue) agedPosition(aged *Item) int {
	withinShare := qu.takenAgedTokens <= maxAgedShare*qu.takenTokens
	for i, it := range qu.headBuffer {
		if aged.Class.Priority >= it.Class.Priority || (withinShare && it.lane.priority < qu.lanes[0].priority) {
			return i
		}
	}
	return len(qu.headBuffer)
}

// charge adds an item that is about to be sent to the accounts of its class and of its lane.
func (qu *queue) charge(it *Item) {
	cl := qu.classes[it.Class.Name]
	cl.virtualTime = max(cl.virtualTime, it.startTag)
	if it.lane != nil {
		qu.virtualTime = max(qu.virtualTime, it.lane.startTag)
		it.lane.startTag += float64(it.Tokens) / it.lane.weight
	}
	qu.countTaken(it)
	cl.drain.work += it.Work
}

// countTaken updates the tokens taken and the part of them that aged items took.
func (qu *queue) countTaken(it *Item) {
	tokens := float64(it.Tokens)
	decay := max(0, 1-tokens/agedShareWindow)
	qu.takenTokens = qu.takenTokens*decay + tokens
	qu.takenAgedTokens *= decay
	if it.aged {
		qu.takenAgedTokens += tokens
	}
}

// refund takes back what an item that ends unsent has added to its flow's finish tag, unless the organisation has queued
// another item behind it.
func (qu *queue) refund(it *Item) {
	fl := qu.flows[flowKey{it.Organisation, it.Class.Name}]
	if fl.finishTag == it.startTag+float64(it.Tokens)/it.weight {
		fl.finishTag = it.startTag
	}
}

// remove removes the item from all heaps and sums.
func (qu *queue) remove(it *Item) {
	delete(qu.items, it.ID)
	qu.tokens -= it.Tokens
	cl := qu.classes[it.Class.Name]
	cl.work -= it.Work
	cl.items--
	fl := qu.flows[flowKey{it.Organisation, it.Class.Name}]
	fl.items--
	fl.work -= it.Work
	if fl.items == 0 {
		cl.weights -= fl.weight
	}
	switch {
	case it.aged:
		qu.aged.remove(it)
	case it.lane != nil:
		it.lane.heap.remove(it)
		it.lane = nil
	}
	qu.stopAging(it)
	if it.delayIndex >= 0 {
		qu.delayed.remove(it)
	}
}

func (qu *queue) stopAging(it *Item) {
	if it.agingIndex >= 0 {
		qu.aging.remove(it)
	}
}

// itemHeap is a heap whose items store their index, so that any of them can be removed.
type itemHeap struct {
	items []*Item
	less  func(a, b *Item) bool
	// index returns the field of the item that stores its index in this heap.
	index func(it *Item) *int
}

func (ih *itemHeap) first() *Item {
	if len(ih.items) == 0 {
		return nil
	}
	return ih.items[0]
}

func (ih *itemHeap) push(it *Item)   { heap.Push(ih, it) }
func (ih *itemHeap) remove(it *Item) { heap.Remove(ih, *ih.index(it)) }

// Len implements heap.Interface.
func (ih *itemHeap) Len() int { return len(ih.items) }

// Less implements heap.Interface.
func (ih *itemHeap) Less(i, j int) bool { return ih.less(ih.items[i], ih.items[j]) }

// Swap implements heap.Interface.
func (ih *itemHeap) Swap(i, j int) {
	ih.items[i], ih.items[j] = ih.items[j], ih.items[i]
	*ih.index(ih.items[i]) = i
	*ih.index(ih.items[j]) = j
}

// Push implements heap.Interface.
func (ih *itemHeap) Push(item any) {
	it := item.(*Item)
	*ih.index(it) = len(ih.items)
	ih.items = append(ih.items, it)
}

// Pop implements heap.Interface.
func (ih *itemHeap) Pop() any {
	last := len(ih.items) - 1
	it := ih.items[last]
	ih.items[last] = nil
	ih.items = ih.items[:last]
	*ih.index(it) = -1
	return it
}

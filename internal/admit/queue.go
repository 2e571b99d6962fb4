package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dandelionsail.example/dandelionsail/internal/event"
)

// Ageing under Priority. An item is old when ageAfter of its time is gone. Old items go right behind the highest class,
// by deadline, with up to oldShare of the work; beyond it they go first within their own class. Without the bound, under
// overload everything that waits is old, and the old long prompts would make all others wait as long as they.
const (
	ageAfter = 0.5
	oldShare = 0.2
	// shareMemory is how many tokens taken the share is reckoned over.
	shareMemory = 4_000_000
)

// maxFlows is how many flows are kept before the empty ones are forgotten.
const maxFlows = 4096

// queue holds the waiting items of one service. All operations cost O(log items).
type queue struct {
	discipline Discipline
	items      map[event.RequestID]*Item
	tokens     int64
	// lanes holds the items that may go now: one lane for each class, or one for all.
	lanes []*lane
	// old holds the items that are old, by deadline. ages orders the others by when they will be, delays those kept
	// back by the end of that.
	old, ages, delays itemHeap
	// taken counts the tokens taken lately, and takenOld those of old items.
	taken, takenOld float64
	classes         map[string]*class
	flows           map[flowKey]*flow
	// virtual is the start tag of the lane served last, under Weighted.
	virtual float64
	next    []*Item
}

// lane is a heap of items that are ordered among themselves by their organisations' fair shares.
type lane struct {
	priority int
	class    string
	// weight and tag are the lane's share and how much of it was used, under Weighted.
	weight float64
	tag    float64
	heap   itemHeap
}

// class is what waits of one length class.
type class struct {
	priority int
	// virtual is the start tag of the item taken last.
	virtual float64
	work    time.Duration
	items   int
	drain   drain
	// weights adds up the weights of the organisations that wait.
	weights float64
}

type flowKey struct{ organisation, class string }

// flow is what waits of one organisation in one class.
type flow struct {
	// last is the virtual time at which its share ends all that it sent.
	last   float64
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
	qu.old = itemHeap{less: func(one, two *Item) bool { return one.Deadline.Before(two.Deadline) }, place: func(it *Item) *int { return &it.place }}
	qu.ages = itemHeap{less: func(one, two *Item) bool { return one.ages.Before(two.ages) }, place: func(it *Item) *int { return &it.aging }}
	qu.delays = itemHeap{less: func(one, two *Item) bool { return one.NotBefore.Before(two.NotBefore) }, place: func(it *Item) *int { return &it.delay }}
	return qu
}

// use switches to the discipline; waiting items are put in its order.
func (qu *queue) use(disc Discipline) {
	if sameDiscipline(qu.discipline, disc) {
		return
	}
	qu.discipline = disc
	qu.lanes = nil
	qu.old.items = nil
	for _, it := range qu.items {
		if it.delay < 0 {
			qu.leaveAges(it)
			it.old = false
			qu.enter(it)
		}
	}
}

func sameDiscipline(one, two Discipline) bool {
	switch one := one.(type) {
	case Weighted:
		other, ok := two.(Weighted)
		return ok && sameWeights(one.Weights, other.Weights)
	case Priority:
		_, ok := two.(Priority)
		return ok
	case FirstCome:
		_, ok := two.(FirstCome)
		return ok
	}
	return false
}

func sameWeights(one, two map[string]float64) bool {
	if len(one) != len(two) {
		return false
	}
	for name, weight := range one {
		if two[name] != weight {
			return false
		}
	}
	return true
}

func (qu *queue) push(it *Item) {
	it.place, it.aging, it.delay = -1, -1, -1
	qu.items[it.ID] = it
	qu.tokens += it.Tokens
	qu.join(it)
	if !it.NotBefore.IsZero() {
		qu.delays.push(it)
		return
	}
	qu.enter(it)
}

// join gives the item its place in its organisation's share.
func (qu *queue) join(it *Item) {
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
		qu.forgetFlows()
		fl = &flow{}
		qu.flows[key] = fl
	}
	if fl.items == 0 {
		fl.weight = it.weight
		cl.weights += fl.weight
	}
	fl.items++
	fl.work += it.Work
	it.start = max(cl.virtual, fl.last)
	fl.last = it.start + float64(it.Tokens)/it.weight
}

func (qu *queue) forgetFlows() {
	if len(qu.flows) < maxFlows {
		return
	}
	for key, fl := range qu.flows {
		if fl.items == 0 && fl.last <= qu.classes[key.class].virtual {
			delete(qu.flows, key)
		}
	}
}

// enter puts the item into its lane.
func (qu *queue) enter(it *Item) {
	it.lane = qu.laneOf(it)
	it.lane.heap.push(it)
	if _, ok := qu.discipline.(Priority); ok && it.aging < 0 {
		qu.startAging(it)
	}
}

func (qu *queue) startAging(it *Item) {
	total := it.Deadline.Sub(it.Arrived)
	if total <= 0 {
		return
	}
	it.ages = it.Arrived.Add(time.Duration(ageAfter * float64(total)))
	qu.ages.push(it)
}

// grow makes an item old.
func (qu *queue) grow(it *Item) {
	qu.ages.remove(it)
	it.lane.heap.remove(it)
	it.lane = nil
	it.old = true
	qu.old.push(it)
}

func (qu *queue) laneOf(it *Item) *lane {
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
			qu.reopen(ln)
			return ln
		}
	}
	ln := &want
	ln.heap = itemHeap{less: qu.order(), place: func(it *Item) *int { return &it.place }}
	ln.tag = qu.virtual
	qu.lanes = append(qu.lanes, ln)
	slices.SortFunc(qu.lanes, func(one, two *lane) int { return cmp.Compare(two.priority, one.priority) })
	return ln
}

// reopen keeps an empty lane from saving up the share that it did not use.
func (qu *queue) reopen(ln *lane) {
	if len(ln.heap.items) == 0 {
		ln.tag = max(ln.tag, qu.virtual)
	}
}

func (qu *queue) order() func(one, two *Item) bool {
	if _, ok := qu.discipline.(FirstCome); ok {
		return func(one, two *Item) bool { return one.ID < two.ID }
	}
	return func(one, two *Item) bool {
		if one.start != two.start {
			return one.start < two.start
		}
		return one.ID < two.ID
	}
}

// heads returns the first item of each lane in the order of preference.
func (qu *queue) heads(now time.Time) []*Item {
	for it := qu.delays.first(); it != nil && !now.Before(it.NotBefore); it = qu.delays.first() {
		qu.delays.remove(it)
		qu.enter(it)
	}
	for it := qu.ages.first(); it != nil && !now.Before(it.ages); it = qu.ages.first() {
		qu.grow(it)
	}
	qu.next = qu.next[:0]
	for _, ln := range qu.lanes {
		if it := ln.heap.first(); it != nil {
			qu.next = append(qu.next, it)
		}
	}
	switch qu.discipline.(type) {
	case Weighted:
		slices.SortStableFunc(qu.next, func(one, two *Item) int { return cmp.Compare(one.lane.tag, two.lane.tag) })
	case Priority:
		// Classes of one priority go in the order of arrival: the shares within two classes cannot be compared, and the
		// one that has served more would wait until the other has caught up.
		slices.SortStableFunc(qu.next, func(one, two *Item) int {
			return cmp.Or(cmp.Compare(two.Class.Priority, one.Class.Priority), one.Arrived.Compare(two.Arrived))
		})
	}
	if it := qu.old.first(); it != nil {
		qu.next = slices.Insert(qu.next, qu.oldPlace(it), it)
	}
	return qu.next
}

// oldPlace is the place of the first old item among the next ones, which are in the order of priority.
func (qu *queue) oldPlace(old *Item) int {
	may := qu.takenOld <= oldShare*qu.taken
	for i, it := range qu.next {
		if old.Class.Priority >= it.Class.Priority || (may && it.lane.priority < qu.lanes[0].priority) {
			return i
		}
	}
	return len(qu.next)
}

// charge counts an item that goes against its class and lane.
func (qu *queue) charge(it *Item) {
	cl := qu.classes[it.Class.Name]
	cl.virtual = max(cl.virtual, it.start)
	if it.lane != nil {
		qu.virtual = max(qu.virtual, it.lane.tag)
		it.lane.tag += float64(it.Tokens) / it.lane.weight
	}
	qu.countTaken(it)
	cl.drain.work += it.Work
}

func (qu *queue) countTaken(it *Item) {
	tokens := float64(it.Tokens)
	keep := max(0, 1-tokens/shareMemory)
	qu.taken = qu.taken*keep + tokens
	qu.takenOld *= keep
	if it.old {
		qu.takenOld += tokens
	}
}

// refund gives the share of an item that never went back to its organisation, if nothing was queued after it.
func (qu *queue) refund(it *Item) {
	fl := qu.flows[flowKey{it.Organisation, it.Class.Name}]
	if fl.last == it.start+float64(it.Tokens)/it.weight {
		fl.last = it.start
	}
}

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
	case it.old:
		qu.old.remove(it)
	case it.lane != nil:
		it.lane.heap.remove(it)
		it.lane = nil
	}
	qu.leaveAges(it)
	if it.delay >= 0 {
		qu.delays.remove(it)
	}
}

func (qu *queue) leaveAges(it *Item) {
	if it.aging >= 0 {
		qu.ages.remove(it)
	}
}

// itemHeap is a heap whose items know their places in it.
type itemHeap struct {
	items []*Item
	less  func(one, two *Item) bool
	place func(it *Item) *int
}

func (ih *itemHeap) first() *Item {
	if len(ih.items) == 0 {
		return nil
	}
	return ih.items[0]
}

func (ih *itemHeap) push(it *Item)   { heap.Push(ih, it) }
func (ih *itemHeap) remove(it *Item) { heap.Remove(ih, *ih.place(it)) }

// Len implements heap.Interface.
func (ih *itemHeap) Len() int { return len(ih.items) }

// Less implements heap.Interface.
func (ih *itemHeap) Less(i, j int) bool { return ih.less(ih.items[i], ih.items[j]) }

// Swap implements heap.Interface.
func (ih *itemHeap) Swap(i, j int) {
	ih.items[i], ih.items[j] = ih.items[j], ih.items[i]
	*ih.place(ih.items[i]) = i
	*ih.place(ih.items[j]) = j
}

// Push implements heap.Interface.
func (ih *itemHeap) Push(item any) {
	it := item.(*Item)
	*ih.place(it) = len(ih.items)
	ih.items = append(ih.items, it)
}

// Pop implements heap.Interface.
func (ih *itemHeap) Pop() any {
	last := len(ih.items) - 1
	it := ih.items[last]
	ih.items[last] = nil
	ih.items = ih.items[:last]
	*ih.place(it) = -1
	return it
}

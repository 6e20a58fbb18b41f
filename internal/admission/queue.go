// Package admission decides which requests wait and in which order they are
// served: queue limits and weighted fair queueing over client accounts, and
// refusal of what cannot finish by its deadline. It is pure: callers pass the
// time in.
package admission

import (
	"container/heap"
	"time"

	"dragonflyyard/internal/model"
)

// Item is one waiting request.
type Item struct {
	ID      model.RequestID
	Account model.ClientAccountID
	// Cost is the expected slot time of the request.
	Cost     time.Duration
	Slots    int
	Deadline time.Time
	start    float64
}

// flow is one account's queue in order of arrival.
type flow struct {
	account model.ClientAccountID
	weight  float64
	items   []*Item
	// finish is the virtual finish time of the last item that entered.
	finish float64
	// queued is the summed cost of the items in slot seconds.
	queued float64
	// index is the flow's place in the heap of waiting flows, -1 while it has none.
	index int
	// visited is set while Each holds the flow outside the heap.
	visited bool
}

// flowHeap orders the waiting flows by the virtual start of their first item.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.items[0].start != b.items[0].start {
		return a.items[0].start < b.items[0].start
	}
	return a.account < b.account
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.index = -1
	*h = old[:len(old)-1]
	return f
}

// Queue is a weighted fair queue over client accounts (start-time fair
// queueing): the account with the lowest virtual start time is next, and
// the virtual time advances with the cost of what is served, by weight.
type Queue struct {
	flows   map[model.ClientAccountID]*flow
	waiting flowHeap
	visits  []*flow
	virtual float64
	length  int
	fifo    bool
	arrival float64
	// queued and weight are sums over the flows with waiting requests.
	queued float64
	weight float64
}

// NewQueue returns an empty queue. With fifo set it serves in order of arrival
// whatever the account, as a baseline for measurements.
func NewQueue(fifo bool) *Queue {
	return &Queue{flows: map[model.ClientAccountID]*flow{}, fifo: fifo}
}

// SetWeight sets an account's weight, at least 1.
func (q *Queue) SetWeight(account model.ClientAccountID, weight int) {
	f := q.flow(account)
	next := float64(max(1, weight))
	if len(f.items) > 0 {
		q.weight += next - f.weight
	}
	f.weight = next
}

// Len returns the number of waiting requests of all accounts.
func (q *Queue) Len() int { return q.length }

// LenOf returns the number of waiting requests of one account.
func (q *Queue) LenOf(account model.ClientAccountID) int {
	if f := q.flows[account]; f != nil {
		return len(f.items)
	}
	return 0
}

// Push appends a request to its account's queue.
func (q *Queue) Push(item *Item) {
	f := q.flow(item.Account)
	item.start = max(q.virtual, f.finish)
	f.finish = item.start + item.Cost.Seconds()/f.weight
	if q.fifo {
		q.arrival++
		item.start = q.arrival
	}
	f.items = append(f.items, item)
	q.added(f, item)
}

// PushFront returns a request that was popped to the head of its account's queue.
func (q *Queue) PushFront(item *Item) {
	f := q.flow(item.Account)
	f.items = append([]*Item{item}, f.items...)
	q.added(f, item)
}

func (q *Queue) added(f *flow, item *Item) {
	q.length++
	f.queued += item.Cost.Seconds()
	q.queued += item.Cost.Seconds()
	if len(f.items) == 1 {
		q.weight += f.weight
	}
	switch {
	case f.index >= 0:
		heap.Fix(&q.waiting, f.index)
	case !f.visited:
		heap.Push(&q.waiting, f)
	}
}

// Each calls visit with the first request of each account, the next one to
// serve first, until visit returns true or limit accounts were visited. Visit
// may add and remove requests. Each reports whether visit returned true.
func (q *Queue) Each(limit int, visit func(*Item) bool) bool {
	done := false
	q.visits = q.visits[:0]
	for !done && len(q.visits) < limit && len(q.waiting) > 0 {
		f := heap.Pop(&q.waiting).(*flow)
		f.visited = true
		q.visits = append(q.visits, f)
		done = visit(f.items[0])
	}
	for _, f := range q.visits {
		f.visited = false
		if len(f.items) > 0 && f.index < 0 {
			heap.Push(&q.waiting, f)
		}
	}
	return done
}

// IsHead reports whether a request is the first one of its account.
func (q *Queue) IsHead(item *Item) bool {
	f := q.flows[item.Account]
	return f != nil && len(f.items) > 0 && f.items[0] == item
}

// Serve takes a waiting request out to be dispatched and advances the virtual
// time, so that accounts without waiting requests save up nothing. The virtual
// time is the lowest start among this and all first requests: one that is
// served before its turn, as others found no room, does not move it ahead.
func (q *Queue) Serve(item *Item) {
	if !q.Remove(item.Account, item.ID) {
		return
	}
	lowest := item.start
	if len(q.waiting) > 0 {
		lowest = min(lowest, q.waiting[0].items[0].start)
	}
	for _, f := range q.visits {
		if f.visited && len(f.items) > 0 {
			lowest = min(lowest, f.items[0].start)
		}
	}
	q.virtual = max(q.virtual, lowest)
}

// Remove takes a waiting request out. It reports whether the request waited.
func (q *Queue) Remove(account model.ClientAccountID, id model.RequestID) bool {
	f := q.flows[account]
	if f == nil {
		return false
	}
	for i, item := range f.items {
		if item.ID != id {
			continue
		}
		if i == 0 {
			f.items[0] = nil
			f.items = f.items[1:]
		} else {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
		}
		q.removed(f, item)
		return true
	}
	return false
}

func (q *Queue) removed(f *flow, item *Item) {
	q.length--
	f.queued -= item.Cost.Seconds()
	q.queued -= item.Cost.Seconds()
	if len(f.items) == 0 {
		f.queued = 0
		q.weight -= f.weight
	}
	if q.length == 0 {
		q.queued, q.weight = 0, 0
	}
	switch {
	case f.index < 0:
	case len(f.items) == 0:
		heap.Remove(&q.waiting, f.index)
	default:
		heap.Fix(&q.waiting, f.index)
	}
}

// Share returns the share of the capacity that an account gets while all
// accounts with waiting requests, and this one, compete.
func (q *Queue) Share(account model.ClientAccountID) float64 {
	own := q.flow(account)
	total := q.weight
	if len(own.items) == 0 {
		total += own.weight
	}
	return own.weight / total
}

// QueuedSlotSeconds returns the waiting slot seconds of one account and of all.
func (q *Queue) QueuedSlotSeconds(account model.ClientAccountID) (own, all float64) {
	return q.flow(account).queued, q.queued
}

func (q *Queue) flow(account model.ClientAccountID) *flow {
	f := q.flows[account]
	if f == nil {
		f = &flow{account: account, weight: 1, index: -1}
		q.flows[account] = f
	}
	return f
}

// Package admission decides which requests are queued and in which order they are
// served. It limits the queues, shares capacity among client accounts by weighted
// fair queueing, and refuses requests that cannot finish by their deadline. It
// does no I/O and reads no clock: callers pass the time in.
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
	// Cost is the expected slot time of the request: its slots times its service
	// time.
	Cost     time.Duration
	Slots    int
	Deadline time.Time
	// virtualStart is the virtual start time in slot seconds per unit of weight; in a
	// FIFO queue it is the number of the arrival.
	virtualStart float64
}

// flow is the queue of one account, in order of arrival.
type flow struct {
	account model.ClientAccountID
	weight  float64
	items   []*Item
	// virtualFinish is the virtual finish time of the last item added by Push.
	virtualFinish float64
	// queuedSlotSeconds is the total cost of the items in slot seconds.
	queuedSlotSeconds float64
	// heapIndex is the flow's index in the heap of waiting flows, -1 if it is not
	// in the heap.
	heapIndex int
	// visited is set while Each keeps the flow out of the heap.
	visited bool
}

// flowHeap orders the waiting flows by the virtual start time of their first item.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.items[0].virtualStart != b.items[0].virtualStart {
		return a.items[0].virtualStart < b.items[0].virtualStart
	}
	return a.account < b.account
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.heapIndex = -1
	*h = old[:len(old)-1]
	return f
}

// Queue is a weighted fair queue over client accounts (start-time fair queueing).
// The account whose first request has the lowest virtual start time is next. An
// account's virtual times advance by the cost of its requests divided by its
// weight.
type Queue struct {
	flows        map[model.ClientAccountID]*flow
	waiting      flowHeap
	visitedFlows []*flow
	virtualTime  float64
	length       int
	fifo         bool
	// arrivals is the number of requests added by Push to a FIFO queue.
	arrivals float64
	// queuedSlotSeconds and weight are totals over the flows with waiting requests.
	queuedSlotSeconds float64
	weight            float64
}

// NewQueue returns an empty queue. With fifo set, it serves requests in order of
// arrival, whatever their account, as a baseline for comparisons.
func NewQueue(fifo bool) *Queue {
	return &Queue{flows: map[model.ClientAccountID]*flow{}, fifo: fifo}
}

// SetWeight sets an account's weight. Values below 1 count as 1.
func (q *Queue) SetWeight(account model.ClientAccountID, weight int) {
	f := q.flow(account)
	newWeight := float64(max(1, weight))
	if len(f.items) > 0 {
		q.weight += newWeight - f.weight
	}
	f.weight = newWeight
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
	item.virtualStart = max(q.virtualTime, f.virtualFinish)
	f.virtualFinish = item.virtualStart + item.Cost.Seconds()/f.weight
	if q.fifo {
		q.arrivals++
		item.virtualStart = q.arrivals
	}
	f.items = append(f.items, item)
	q.updateAfterAdd(f, item)
}

// PushFront puts a request that was taken out back at the head of its account's
// queue. Its virtual start time does not change.
func (q *Queue) PushFront(item *Item) {
	f := q.flow(item.Account)
	f.items = append([]*Item{item}, f.items...)
	q.updateAfterAdd(f, item)
}

// updateAfterAdd updates the totals and the heap after an item was added to f.
func (q *Queue) updateAfterAdd(f *flow, item *Item) {
	q.length++
	f.queuedSlotSeconds += item.Cost.Seconds()
	q.queuedSlotSeconds += item.Cost.Seconds()
	if len(f.items) == 1 {
		q.weight += f.weight
	}
	switch {
	case f.heapIndex >= 0:
		heap.Fix(&q.waiting, f.heapIndex)
	case !f.visited:
		heap.Push(&q.waiting, f)
	}
}

// Each calls visit with the first request of each account, in serving order, until
// visit returns true or limit accounts have been visited. The visit function may
// add and remove requests. Each reports whether visit returned true.
func (q *Queue) Each(limit int, visit func(*Item) bool) bool {
	done := false
	q.visitedFlows = q.visitedFlows[:0]
	for !done && len(q.visitedFlows) < limit && len(q.waiting) > 0 {
		f := heap.Pop(&q.waiting).(*flow)
		f.visited = true
		q.visitedFlows = append(q.visitedFlows, f)
		done = visit(f.items[0])
	}
	for _, f := range q.visitedFlows {
		f.visited = false
		if len(f.items) > 0 && f.heapIndex < 0 {
			heap.Push(&q.waiting, f)
		}
	}
	return done
}

// IsHead reports whether a request is the first in its account's queue.
func (q *Queue) IsHead(item *Item) bool {
	f := q.flows[item.Account]
	return f != nil && len(f.items) > 0 && f.items[0] == item
}

// Serve removes a waiting request for dispatch and advances the virtual time, so
// that accounts without waiting requests accrue no credit. The virtual time is the
// lowest virtual start time of this request and the first requests of all
// accounts. A request that is served before its turn, because no backend server
// has room for the others, therefore does not advance it too far.
func (q *Queue) Serve(item *Item) {
	if !q.Remove(item.Account, item.ID) {
		return
	}
	lowest := item.virtualStart
	if len(q.waiting) > 0 {
		lowest = min(lowest, q.waiting[0].items[0].virtualStart)
	}
	for _, f := range q.visitedFlows {
		if f.visited && len(f.items) > 0 {
			lowest = min(lowest, f.items[0].virtualStart)
		}
	}
	q.virtualTime = max(q.virtualTime, lowest)
}

// Remove removes a waiting request. It reports whether the request was waiting.
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
		q.updateAfterRemove(f, item)
		return true
	}
	return false
}

// updateAfterRemove updates the totals and the heap after an item was removed
// from f. The totals of an empty queue are set to zero.
func (q *Queue) updateAfterRemove(f *flow, item *Item) {
	q.length--
	f.queuedSlotSeconds -= item.Cost.Seconds()
	q.queuedSlotSeconds -= item.Cost.Seconds()
	if len(f.items) == 0 {
		f.queuedSlotSeconds = 0
		q.weight -= f.weight
	}
	if q.length == 0 {
		q.queuedSlotSeconds, q.weight = 0, 0
	}
	switch {
	case f.heapIndex < 0:
	case len(f.items) == 0:
		heap.Remove(&q.waiting, f.heapIndex)
	default:
		heap.Fix(&q.waiting, f.heapIndex)
	}
}

// Share returns the fraction of the capacity that an account gets by weight when
// it competes with all accounts that have waiting requests.
func (q *Queue) Share(account model.ClientAccountID) float64 {
	own := q.flow(account)
	total := q.weight
	if len(own.items) == 0 {
		total += own.weight
	}
	return own.weight / total
}

// QueuedSlotSeconds returns the total cost, in slot seconds, of the waiting
// requests of one account and of all accounts.
func (q *Queue) QueuedSlotSeconds(account model.ClientAccountID) (own, all float64) {
	return q.flow(account).queuedSlotSeconds, q.queuedSlotSeconds
}

// flow returns the account's flow and creates it, with weight 1, if needed.
func (q *Queue) flow(account model.ClientAccountID) *flow {
	f := q.flows[account]
	if f == nil {
		f = &flow{account: account, weight: 1, heapIndex: -1}
		q.flows[account] = f
	}
	return f
}

// Package admission decides which requests wait and in which order they are
// served: queue limits and weighted fair queueing over client accounts, and
// refusal of what cannot finish by its deadline. It is pure: callers pass the
// time in.
package admission

import (
	"sort"
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
	// served is the summed cost of the items dispatched and not yet ended.
	served float64
}

// Queue is a weighted fair queue over client accounts (start-time fair
// queueing): the account with the lowest virtual start time is next, and
// the virtual time advances with the cost of what is served, by weight.
type Queue struct {
	flows   map[model.ClientAccountID]*flow
	active  []*flow
	virtual float64
	length  int
	fifo    bool
	arrival float64
}

// NewQueue returns an empty queue. With fifo set it serves in order of arrival
// whatever the account, as a baseline for measurements.
func NewQueue(fifo bool) *Queue {
	return &Queue{flows: map[model.ClientAccountID]*flow{}, fifo: fifo}
}

// SetWeight sets an account's weight, at least 1.
func (q *Queue) SetWeight(account model.ClientAccountID, weight int) {
	q.flow(account).weight = float64(max(1, weight))
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
	if len(f.items) == 1 {
		q.active = append(q.active, f)
	}
}

// Heads returns the first request of up to limit accounts, the next one to
// serve first.
func (q *Queue) Heads(limit int) []*Item {
	sort.Slice(q.active, func(i, j int) bool {
		a, b := q.active[i], q.active[j]
		if a.items[0].start != b.items[0].start {
			return a.items[0].start < b.items[0].start
		}
		return a.account < b.account
	})
	n := min(limit, len(q.active))
	heads := make([]*Item, n)
	for i := range n {
		heads[i] = q.active[i].items[0]
	}
	return heads
}

// PopHead removes the first request of an account.
func (q *Queue) PopHead(account model.ClientAccountID) *Item {
	f := q.flows[account]
	if f == nil || len(f.items) == 0 {
		return nil
	}
	item := f.items[0]
	f.items[0] = nil
	f.items = f.items[1:]
	q.removed(f, item)
	q.virtual = max(q.virtual, item.start)
	return item
}

// Remove takes a waiting request out. It reports whether the request waited.
func (q *Queue) Remove(account model.ClientAccountID, id model.RequestID) bool {
	f := q.flows[account]
	if f == nil {
		return false
	}
	for i, item := range f.items {
		if item.ID == id {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			q.removed(f, item)
			return true
		}
	}
	return false
}

func (q *Queue) removed(f *flow, item *Item) {
	q.length--
	f.queued -= item.Cost.Seconds()
	if len(f.items) > 0 {
		return
	}
	f.queued = 0
	for i := range q.active {
		if q.active[i] == f {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

// Served tells the queue that slot time of an account came into use (positive)
// or ended (negative).
func (q *Queue) Served(account model.ClientAccountID, cost time.Duration) {
	f := q.flow(account)
	f.served = max(0, f.served+cost.Seconds())
}

// Share returns the share of the capacity that an account gets while all
// accounts with waiting requests, and this one, compete.
func (q *Queue) Share(account model.ClientAccountID) float64 {
	own := q.flow(account)
	total := own.weight
	for _, f := range q.active {
		if f != own {
			total += f.weight
		}
	}
	return own.weight / total
}

// QueuedSeconds returns the waiting slot seconds of one account and of all.
func (q *Queue) QueuedSeconds(account model.ClientAccountID) (own, all float64) {
	for _, f := range q.active {
		all += f.queued
	}
	return q.flow(account).queued, all
}

func (q *Queue) flow(account model.ClientAccountID) *flow {
	f := q.flows[account]
	if f == nil {
		f = &flow{account: account, weight: 1}
		q.flows[account] = f
	}
	return f
}

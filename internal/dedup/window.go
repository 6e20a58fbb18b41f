package dedup

import (
	"container/heap"
	"time"

	"dragonflyyard/internal/model"
)

// Window is a map from request IDs to records, bounded in time and size. It
// forgets the oldest IDs first and remembers how far it has forgotten:
// an absent ID minted after Floor was never put.
type Window[T any] struct {
	horizon time.Duration
	max     int
	floor   int64
	records map[model.RequestID]T
	oldest  mintHeap
}

// NewWindow returns a window that keeps at most max records, each for horizon
// after its ID was minted. It knows nothing of IDs minted at or before floorMS.
func NewWindow[T any](horizon time.Duration, maxRecords int, floorMS int64) *Window[T] {
	return &Window[T]{horizon: horizon, max: maxRecords, floor: floorMS, records: map[model.RequestID]T{}}
}

// Get returns the record of an ID.
func (w *Window[T]) Get(id model.RequestID) (T, bool) {
	record, ok := w.records[id]
	return record, ok
}

// Put sets the record of an ID minted after the floor.
func (w *Window[T]) Put(id model.RequestID, mintMS int64, record T) {
	if _, ok := w.records[id]; !ok {
		heap.Push(&w.oldest, minted{id: id, ms: mintMS})
	}
	w.records[id] = record
	for len(w.records) > w.max {
		w.forgetOldest()
	}
}

// Advance forgets what is older than the horizon.
func (w *Window[T]) Advance(nowMS int64) {
	limit := nowMS - w.horizon.Milliseconds()
	for len(w.oldest) > 0 && w.oldest[0].ms <= limit {
		w.forgetOldest()
	}
	w.floor = max(w.floor, limit)
}

// Floor returns the mint time, in milliseconds since the Unix epoch, up to
// which an absent ID may have been forgotten.
func (w *Window[T]) Floor() int64 { return w.floor }

// Len returns the number of records.
func (w *Window[T]) Len() int { return len(w.records) }

func (w *Window[T]) forgetOldest() {
	m := heap.Pop(&w.oldest).(minted)
	delete(w.records, m.id)
	w.floor = max(w.floor, m.ms)
}

type minted struct {
	id model.RequestID
	ms int64
}

type mintHeap []minted

func (h mintHeap) Len() int           { return len(h) }
func (h mintHeap) Less(i, j int) bool { return h[i].ms < h[j].ms }
func (h mintHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *mintHeap) Push(x any)        { *h = append(*h, x.(minted)) }
func (h *mintHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

package dedup

import (
	"container/heap"
	"time"

	"dragonflyyard/internal/model"
)

// Window is a map from request IDs to records, bounded in time and size. It evicts
// the IDs with the oldest mint times first and raises its floor with each eviction:
// an absent ID minted after Floor was never put.
type Window[T any] struct {
	horizon    time.Duration
	maxRecords int
	floorMS    int64
	records    map[model.RequestID]T
	oldest     mintHeap
}

// NewWindow returns an empty window that keeps at most maxRecords records, each
// until horizon after its ID was minted. It starts with the floor floorMS, in
// milliseconds since the Unix epoch: it does not know IDs minted until then.
func NewWindow[T any](horizon time.Duration, maxRecords int, floorMS int64) *Window[T] {
	return &Window[T]{horizon: horizon, maxRecords: maxRecords, floorMS: floorMS, records: map[model.RequestID]T{}}
}

// Get returns the record of an ID.
func (w *Window[T]) Get(id model.RequestID) (T, bool) {
	record, ok := w.records[id]
	return record, ok
}

// Put sets the record of an ID minted after the floor, and evicts the oldest ones
// beyond the maximum number.
func (w *Window[T]) Put(id model.RequestID, mintMS int64, record T) {
	if _, ok := w.records[id]; !ok {
		heap.Push(&w.oldest, mintedID{id: id, ms: mintMS})
	}
	w.records[id] = record
	for len(w.records) > w.maxRecords {
		w.evictOldest()
	}
}

// Advance evicts the records that are older than the horizon and raises the floor
// to the horizon.
func (w *Window[T]) Advance(nowMS int64) {
	expiredMS := nowMS - w.horizon.Milliseconds()
	for len(w.oldest) > 0 && w.oldest[0].ms <= expiredMS {
		w.evictOldest()
	}
	w.floorMS = max(w.floorMS, expiredMS)
}

// Floor returns the mint time, in milliseconds since the Unix epoch, up to
// which the record of an absent ID may have been evicted.
func (w *Window[T]) Floor() int64 { return w.floorMS }

// Len returns the number of records.
func (w *Window[T]) Len() int { return len(w.records) }

func (w *Window[T]) evictOldest() {
	m := heap.Pop(&w.oldest).(mintedID)
	delete(w.records, m.id)
	w.floorMS = max(w.floorMS, m.ms)
}

type mintedID struct {
	id model.RequestID
	ms int64
}

type mintHeap []mintedID

func (h mintHeap) Len() int           { return len(h) }
func (h mintHeap) Less(i, j int) bool { return h[i].ms < h[j].ms }
func (h mintHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *mintHeap) Push(x any)        { *h = append(*h, x.(mintedID)) }
func (h *mintHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

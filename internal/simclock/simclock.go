// Package simclock provides a simulated clock for replays and tests: functions
// run in order of their simulated time, with no goroutine and no wall clock.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock. It is not safe for concurrent use.
type Clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// New returns a clock that shows the given time.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// At runs a function after a delay. Functions of the same time run in the
// order in which they were given.
func (c *Clock) At(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{when: c.now.Add(delay), seq: c.seq, run: run})
}

// Run lets simulated time pass.
func (c *Clock) Run(d time.Duration) {
	until := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].when.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.when
		e.run()
	}
	c.now = until
}

type event struct {
	when time.Time
	seq  uint64
	run  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].when.Equal(h[j].when) {
		return h[i].when.Before(h[j].when)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

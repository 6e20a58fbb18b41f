package faultmatrix

import "time"

// The table service takes 300 writes and 2,000 reads a second of all processes
// together. A world is one of the 12 regions of the target size.
const (
	targetRegions = 12
	regionWrites  = 300 / targetRegions
	regionReads   = 2000 / targetRegions
	callWindow    = time.Second
)

// callCount holds the calls of a world's processes in the last second, and the
// most that there were in any second. Calls that the service refuses count too.
type callCount struct {
	last []time.Time
	peak int
}

// add notes a call.
func (c *callCount) add(now time.Time) {
	first := 0
	for first < len(c.last) && now.Sub(c.last[first]) >= callWindow {
		first++
	}
	c.last = append(c.last[first:], now)
	c.peak = max(c.peak, len(c.last))
}

// isOverBudget reports whether the processes of a world called the table service
// more often than its region's share, in outages and after them as well.
func (w *world) isOverBudget() bool {
	return w.reads.peak > regionReads || w.writes.peak > regionWrites
}

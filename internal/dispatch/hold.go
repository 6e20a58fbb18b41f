package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Holding capacity back for wide work.
const (
	// holdAfter is how long work of lower priority waits before capacity is held
	// back for it, so that small tasks don't keep it out for good.
	holdAfter = 3 * time.Second
	// maxHolds bounds the units of lower priority that capacity is held for.
	maxHolds = 1
	// unknownRunTime is taken for tasks without an estimate.
	unknownRunTime = 5 * time.Second
)

// mayHold reports whether capacity is held back for a unit of lower priority.
func (r *room) mayHold(u *unit) bool {
	waited := time.Duration(r.now.StoreMS-u.readyMS) * time.Millisecond
	if waited < holdAfter || r.holds >= maxHolds {
		return false
	}
	r.holds++
	return true
}

// holdFor holds room for missing tasks of a unit of lower priority.
func (r *room) holdFor(u *unit, missing int) {
	if missing > 0 && r.mayHold(u) {
		r.hold(u, missing)
	}
}

// hold keeps the room in which tasks of a unit will fit soonest from what comes
// later in the plan. A gang that would never fit holds nothing.
func (r *room) hold(u *unit, tasks int) {
	var best []*worker
	bestSeconds := math.Inf(1)
	for _, set := range r.workerSets(u) {
		held, seconds := r.takeSoonest(u, tasks, set)
		for _, w := range held {
			r.giveBack(u, w)
		}
		enough := len(held) == tasks || (!u.gang() && len(held) > len(best))
		if enough && seconds < bestSeconds {
			best, bestSeconds = held, seconds
		}
	}
	for _, w := range best {
		r.take(u, w)
	}
}

// takeSoonest takes the room for tasks of a unit on workers of a set, where
// they fit first, and returns the expected time until the last of them fits.
func (r *room) takeSoonest(u *unit, tasks int, set []*worker) (held []*worker, last float64) {
	c := newChoice(set, func(w *worker) (float64, bool) {
		if !r.allowed(u, w) || !r.underLimit(u, w) {
			return 0, false
		}
		seconds := r.secondsUntilFree(u, w)
		return seconds, !math.IsInf(seconds, 1)
	}, func(a, b *float64) bool { return *a < *b })
	for range tasks {
		w, seconds := c.best()
		if w == nil {
			break
		}
		r.take(u, w)
		c.changed(w)
		held = append(held, w)
		last = max(last, seconds)
	}
	return held, last
}

// ending is what comes free on a worker after some seconds.
type ending struct {
	seconds float64
	demand  workload.Resources
}

// endings returns the expected ends of what runs on a worker, the next one first.
func (r *room) endings(w *worker) []ending {
	if known, ok := r.ending[w]; ok {
		return known
	}
	ends := make([]ending, 0, len(w.orders))
	for _, o := range sortedOrders(w.orders) {
		if !o.step().LongRunning || o.stopWanted {
			ends = append(ends, ending{expectedSeconds(r.now, o), o.demand})
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return cmp.Compare(a.seconds, b.seconds) })
	r.ending[w] = ends
	return ends
}

// secondsUntilFree returns the expected time until a task of a unit fits into a
// worker; infinity when it won't.
func (r *room) secondsUntilFree(u *unit, w *worker) float64 {
	free, demand := r.free[w], u.spec().PerTask
	if demand.Fits(free) {
		return 0
	}
	for _, end := range r.endings(w) {
		if free = free.Add(end.demand); demand.Fits(free) {
			return end.seconds
		}
	}
	return math.Inf(1)
}

// leastPercent is the progress from which it tells how long a run takes.
const leastPercent = 5

// expectedSeconds returns how much longer a run is expected to take: by its
// progress where that is known, else by its estimate.
func expectedSeconds(now Now, o *order) float64 {
	if o.stopWanted {
		return 0
	}
	ran := now.ranSince(o.reportedMS)
	if o.report.Percent >= leastPercent && !o.step().LongRunning {
		atReport := max(0, time.Duration(o.reportMS-o.reportedMS)*time.Millisecond)
		left := atReport * time.Duration(100-o.report.Percent) / time.Duration(o.report.Percent)
		return max(left-now.ranSince(o.reportMS), 0).Seconds()
	}
	estimate := o.step().Estimate
	if estimate == 0 {
		estimate = unknownRunTime
	}
	// A run past its estimate is expected to take a quarter of it more.
	return max(estimate-ran, estimate/4).Seconds()
}

// ranSince returns the time since an instant of the store's clock, 0 for none.
func (n Now) ranSince(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	// Processes know the store's time to some milliseconds only.
	return max(0, time.Duration(n.StoreMS-ms)*time.Millisecond)
}

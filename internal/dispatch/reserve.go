package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Limits of reservations, which keep capacity free for wide units.
const (
	// reserveAfter is how long a unit of lower priority waits before capacity is
	// reserved for it; without a reservation, small tasks would starve it.
	reserveAfter = 3 * time.Second
	// maxReservations bounds the units of lower priority with a reservation.
	maxReservations = 1
	// defaultRunTime is the assumed run time of tasks without an estimate.
	defaultRunTime = 5 * time.Second
	// backfillSafety is the multiple of a task's estimate by which a gang must start later
	// for the task to run on the capacity that is reserved for it; estimates are wrong by
	// several times.
	backfillSafety = 3
)

// reservation is capacity of a worker that waits for a gang, which is expected to start
// after some seconds.
type reservation struct {
	amount  workload.Resources
	seconds float64
}

// add returns the reservation together with a further amount, for a gang that is expected
// to start after some seconds.
func (v reservation) add(amount workload.Resources, seconds float64) reservation {
	if v.amount == (workload.Resources{}) {
		return reservation{amount, seconds}
	}
	return reservation{v.amount.Add(amount), min(v.seconds, seconds)}
}

// freeFor returns the capacity of a worker that a task of a unit may use: what is free,
// and what is reserved for a gang that starts only after the task has ended.
func (r *schedulingRound) freeFor(u *unit, w *worker) workload.Resources {
	free, step := r.free[w], u.spec()
	longest := backfillSafety * step.Estimate.Seconds() / w.speed.Factor
	if step.PreferredRack != "" && string(w.Rack) != step.PreferredRack {
		longest *= r.core.settings.RemoteSlowdown
	}
	if held := r.reservedOn[w]; longest > 0 && !step.LongRunning && longest <= held.seconds {
		free = free.Add(held.amount)
	}
	return free
}

// mayReserve reports whether capacity may be reserved for a unit of lower
// priority, and counts the reservation if so.
func (r *schedulingRound) mayReserve(u *unit) bool {
	waited := time.Duration(r.now.StoreMS-u.readyMS) * time.Millisecond
	if waited < reserveAfter || r.reservations >= maxReservations {
		return false
	}
	r.reservations++
	return true
}

// reserveIfAllowed reserves capacity for the unplaced tasks of a unit of lower
// priority.
func (r *schedulingRound) reserveIfAllowed(u *unit, missing int) {
	if missing > 0 && r.mayReserve(u) {
		r.reserve(u, missing)
	}
}

// reserve allocates the capacity in which the unit's tasks are expected to fit
// soonest, so that no later unit of the plan uses it. It reserves nothing for a
// gang that would not fit as a whole.
func (r *schedulingRound) reserve(u *unit, tasks int) {
	var best []*worker
	bestSeconds := math.Inf(1)
	for _, set := range r.workerSets(u) {
		allocated, seconds := r.allocateEarliest(u, tasks, set)
		for _, w := range allocated {
			r.release(u, w)
		}
		enough := len(allocated) == tasks || (!u.gang() && len(allocated) > len(best))
		if enough && seconds < bestSeconds {
			best, bestSeconds = allocated, seconds
		}
	}
	for _, w := range best {
		r.allocate(u, w)
		if u.gang() {
			r.reservedOn[w] = r.reservedOn[w].add(u.spec().PerTask, bestSeconds)
		}
	}
}

// allocateEarliest allocates capacity on the workers of a set where the unit's
// tasks are expected to fit first, and returns the expected time in seconds until
// the last of them fits.
func (r *schedulingRound) allocateEarliest(u *unit, tasks int, set []*worker) (allocated []*worker, last float64) {
	candidates := newScoredWorkers(set, func(w *worker) (float64, bool) {
		if !r.allowed(u, w) || !r.underLimit(u, w) {
			return 0, false
		}
		seconds := r.secondsUntilFree(u, w)
		return seconds, !math.IsInf(seconds, 1)
	}, func(a, b *float64) bool { return *a < *b })
	for range tasks {
		w, seconds := candidates.best()
		if w == nil {
			break
		}
		r.allocate(u, w)
		candidates.rescore(w)
		allocated = append(allocated, w)
		last = max(last, seconds)
	}
	return allocated, last
}

// expectedEnd is the demand that a run is expected to release after some seconds.
type expectedEnd struct {
	seconds float64
	demand  workload.Resources
}

// expectedEnds returns the expected ends of the runs on a worker, the earliest
// first.
func (r *schedulingRound) expectedEnds(w *worker) []expectedEnd {
	if known, ok := r.endsByWorker[w]; ok {
		return known
	}
	ends := make([]expectedEnd, 0, len(w.orders))
	for _, o := range sortedOrders(w.orders) {
		if !o.step().LongRunning || o.stopRequested {
			ends = append(ends, expectedEnd{r.core.remainingSeconds(r.now, o), o.demand})
		}
	}
	slices.SortStableFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.seconds, b.seconds) })
	r.endsByWorker[w] = ends
	return ends
}

// secondsUntilFree returns the expected time until a task of the unit fits on a
// worker, or infinity if it never will.
func (r *schedulingRound) secondsUntilFree(u *unit, w *worker) float64 {
	free, demand := r.free[w], u.spec().PerTask
	if demand.Fits(free) {
		return 0
	}
	for _, end := range r.expectedEnds(w) {
		if free = free.Add(end.demand); demand.Fits(free) {
			return end.seconds
		}
	}
	return math.Inf(1)
}

// minPercentForProjection is the lowest reported progress from which a run's
// remaining time is projected.
const minPercentForProjection = 5

// remainingSeconds returns the expected remaining time of a run: projected from
// its progress where that is known, else from its estimate.
func (c *Core) remainingSeconds(now Now, o *order) float64 {
	if o.stopRequested {
		return 0
	}
	elapsed := now.elapsedSince(o.firstReportMS)
	if o.lastReport.Percent >= minPercentForProjection && !o.step().LongRunning {
		atReport := max(0, time.Duration(o.lastReportMS-o.firstReportMS)*time.Millisecond)
		left := atReport * time.Duration(100-o.lastReport.Percent) / time.Duration(o.lastReport.Percent)
		return max(left-now.elapsedSince(o.lastReportMS), 0).Seconds()
	}
	estimate := c.expectedTime(o)
	// A run past its estimate is expected to take a quarter of the estimate
	// longer.
	return max(estimate-elapsed, estimate/4).Seconds()
}

// elapsedSince returns the time since ms on the store's clock, or 0 if ms is 0.
func (n Now) elapsedSince(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	// Processes know the store's time only to within some milliseconds, so the
	// difference may be negative.
	return max(0, time.Duration(n.StoreMS-ms)*time.Millisecond)
}

package dispatch

import (
	"slices"
	"time"
)

// Placement of tasks after failures. Load pattern: some workers fail every task
// that they start, for seconds, while their health check passes, and a wide gang
// meets one of them at each attempt. A job that fails too often is lost to its
// caller.

const (
	// goodStartValidity is how long a good start vouches for a worker; workers
	// become faulty for 4 to 10 s at a time.
	goodStartValidity = 5 * time.Second
	// goodStartAfter is how long a run must go on to count as a good start. A
	// faulty worker fails a run within about a tenth of a second.
	goodStartAfter = 300 * time.Millisecond
	// fastFailureLimit is the longest time from the order to the end of a run
	// that a faulty worker fails, including the delivery of the order and of the
	// report. Tasks that fail through their own fault mostly fail later.
	fastFailureLimit = 800 * time.Millisecond
)

// maxFailures returns the highest failure count among the unit's tasks; a gang's
// failures are counted at its first task.
func (u *unit) maxFailures() int {
	tasks := u.job.progress.Occurrences[u.occurrence].Steps[u.step]
	if u.gang() {
		return tasks[0].Failures
	}
	most := 0
	for _, i := range u.tasks {
		most = max(most, tasks[i].Failures)
	}
	return most
}

// lastAttempt reports whether one more failure fails the job.
func (u *unit) lastAttempt() bool {
	return u.failures > 0 && u.failures+1 >= u.job.MaxAttempts
}

// avoidedWorkers returns the workers that a unit with a failure avoids: those on
// which a task recently failed right after its start. It returns none if the
// other workers could not hold the unit. Units without a failure use such workers
// only after all others; if they avoided them, a job that fails everywhere would
// take much of a deployment out of use.
func (r *schedulingRound) avoidedWorkers(u *unit) []*worker {
	if u.failures == 0 {
		return nil
	}
	if u.avoidComputed {
		return u.avoid
	}
	u.avoidComputed = true
	slots := 0
	for _, w := range r.workers {
		switch {
		case !eligible(u, w):
		case r.now.StoreMS < w.fastFailureUntilMS:
			u.avoid = append(u.avoid, w)
		default:
			slots += tasksThatFit(u.spec(), w.Capacity)
		}
	}
	if slots < len(u.tasks) {
		u.avoid = nil
	}
	return u.avoid
}

// allowed reports whether a task of the unit may go to a worker.
func (r *schedulingRound) allowed(u *unit, w *worker) bool {
	return eligible(u, w) && !slices.Contains(r.avoidedWorkers(u), w)
}

// hasGoodStart reports whether a run started well on a worker recently and the
// worker is not suspect.
func (r *schedulingRound) hasGoodStart(w *worker) bool {
	return w.lastGoodStartMS > 0 && r.now.StoreMS-w.lastGoodStartMS <= goodStartValidity.Milliseconds() && !r.suspect(w)
}

// recordFailure records that a run of the worker failed.
func (w *worker) recordFailure(o *order, atMS int64) {
	w.suspectUntilMS = atMS + suspectDuration.Milliseconds()
	if !o.ageUnknown && atMS-o.decidedMS < fastFailureLimit.Milliseconds() {
		w.fastFailureUntilMS = w.suspectUntilMS
	}
}

// recordGoodStart records that a run of the worker was still in progress at atMS.
func (w *worker) recordGoodStart(o *order, atMS int64) {
	if atMS-o.decidedMS >= goodStartAfter.Milliseconds() && !o.ageUnknown {
		w.lastGoodStartMS = max(w.lastGoodStartMS, o.decidedMS)
	}
}

// eligible reports whether a worker could run the unit's tasks when empty: it
// offers the service, the capacity and the label.
func eligible(u *unit, w *worker) bool {
	step := u.spec()
	return w.Service == u.job.Service && step.PerTask.Fits(w.Capacity) &&
		(step.Label == "" || slices.Contains(w.Labels, step.Label))
}

package dispatch

import (
	"slices"
	"time"
)

// Where tasks go that failed before. Load pattern: some workers fail all that they
// start for seconds while their health check is good, and a wide gang meets one of
// them at each attempt; a job that failed too often is lost to its caller.

const (
	// soundFor is how long a start that went well speaks for a worker; workers turn
	// bad for 4 to 10 s.
	soundFor = 5 * time.Second
	// soundAfter is how long a run goes on before its start counts as gone well. A
	// bad worker fails a run within about a tenth of a second.
	soundAfter = 300 * time.Millisecond
	// failedAtOnce is how soon after its order a run ends that a bad worker failed,
	// with the ways of the order and of the report. Tasks that fail by their own
	// fault mostly fail later.
	failedAtOnce = 800 * time.Millisecond
)

// failures returns the most failures of a task of the unit; a gang counts them
// at its first task.
func (u *unit) failures() int {
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
	return u.failed > 0 && u.failed+1 >= u.job.MaxAttempts
}

// avoided returns the workers that a unit with a failure keeps off: those that
// failed something at once lately; none when the other ones could not hold it.
// Units without a failure go there after all other workers only, since a job that
// fails everywhere would otherwise take much of a deployment out of use.
func (r *room) avoided(u *unit) []*worker {
	if u.failed == 0 {
		return nil
	}
	if u.avoidKnown {
		return u.avoid
	}
	u.avoidKnown = true
	slots := 0
	for _, w := range r.workers {
		switch {
		case !suits(u, w):
		case r.now.StoreMS < w.badUntilMS:
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
func (r *room) allowed(u *unit, w *worker) bool {
	return suits(u, w) && !slices.Contains(r.avoided(u), w)
}

// sound reports whether what a worker started lately went well.
func (r *room) sound(w *worker) bool {
	return w.soundMS > 0 && r.now.StoreMS-w.soundMS <= soundFor.Milliseconds() && !r.suspect(w)
}

// failed notes that a run of a worker failed.
func (w *worker) failed(o *order, atMS int64) {
	w.suspectUntilMS = atMS + suspectFor.Milliseconds()
	if !o.takenOver && atMS-o.decidedMS < failedAtOnce.Milliseconds() {
		w.badUntilMS = w.suspectUntilMS
	}
}

// startWentWell notes that a run of a worker was at work at an instant.
func (w *worker) startWentWell(o *order, atMS int64) {
	if atMS-o.decidedMS >= soundAfter.Milliseconds() && !o.takenOver {
		w.soundMS = max(w.soundMS, o.decidedMS)
	}
}

// suits reports whether a worker may run a unit's tasks at all.
func suits(u *unit, w *worker) bool {
	step := u.spec()
	return w.Service == u.job.Service && step.PerTask.Fits(w.Capacity) &&
		(step.Label == "" || slices.Contains(w.Labels, step.Label))
}

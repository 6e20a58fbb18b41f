package dispatch

import (
	"time"

	"dragonflyyard/internal/workload"
)

// Runs on workers that leave. Load pattern: a tenth of the workers announces that it
// leaves within two seconds. What runs there beyond that is lost, and with it the whole run
// of each gang that has a member there; and it is known only seconds later, when the leases
// have expired.
const (
	// stopLead is how long before a worker leaves a run is stopped that saves its work at a
	// stop: the order, the stop and the report of what was saved take less.
	stopLead = 700 * time.Millisecond
	// lostRunMargin is by how much the expected remaining time of other runs exceeds the time
	// that the worker has left at least when they are stopped. Workers may stay longer than
	// they say, and then a run that goes on loses nothing.
	lostRunMargin = 1500 * time.Millisecond
)

// recordLeave records when a worker leaves at the earliest. Announcements repeat the time
// that the worker had left when it said so, so the earliest one counts. A worker that
// has never stated a time may stay.
func (w *worker) recordLeave() {
	leavesAt := w.SentMS + w.MinRemainingMS
	switch {
	case w.State != workload.WorkerDraining:
		w.leavesAtMS = 0
	case w.leavesAtMS > 0:
		w.leavesAtMS = min(w.leavesAtMS, leavesAt)
	case w.MinRemainingMS > 0:
		w.leavesAtMS = leavesAt
	}
}

// stopLeaving requests a stop of runs that don't end before their worker leaves: at the
// last moment if they save their work then, and as soon as this is certain otherwise, so
// that they start again elsewhere at once.
func (c *Core) stopLeaving(now Now) {
	for _, w := range c.sortedWorkers() {
		if w.leavesAtMS == 0 {
			continue
		}
		left := time.Duration(w.leavesAtMS-now.StoreMS) * time.Millisecond
		for _, o := range sortedOrders(w.orders) {
			if o.stopRequested || o.version == 0 || !c.lostWithWorker(now, o, left) {
				continue
			}
			o.requestStop("the worker leaves before the run ends")
			c.recordDecision(Decision{Kind: "run_vacated", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: now.StoreMS - w.SentMS})
			if o.step().Gang {
				c.stopGangRun(o.job, o.id)
			}
		}
	}
}

// lostWithWorker reports whether a run is to be stopped because its worker leaves after
// the given time.
func (c *Core) lostWithWorker(now Now, o *order, left time.Duration) bool {
	if o.step().LongRunning {
		return left <= stopLead
	}
	remaining := time.Duration(c.groupRemainingSeconds(now, o) * float64(time.Second))
	if o.step().Checkpoints {
		return left <= stopLead && remaining > left
	}
	return remaining > max(0, left)+lostRunMargin
}

// groupRemainingSeconds returns the expected remaining time of a run; of a gang, that of
// its slowest member, since its members end together.
func (c *Core) groupRemainingSeconds(now Now, o *order) float64 {
	longest := 0.0
	for _, member := range o.groupOrders() {
		longest = max(longest, c.remainingSeconds(now, member))
	}
	return longest
}

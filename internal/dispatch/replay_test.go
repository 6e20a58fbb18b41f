package dispatch

import (
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// replay is a rig whose runs work at a pace, and are reported as agents do.
type replay struct {
	*rig
	runs []*replayRun
	// pace returns the work that a run does in a second. ended, if set, is called with a
	// run that is done.
	pace  func(*replayRun) float64
	ended func(*replayRun)
}

// roundingError is the work that is lost in sums, in seconds.
const roundingError = 1e-9

// replayRun is a run with its work and what is left of it, in seconds at a pace of 1.
type replayRun struct {
	workload.Order
	id                   workload.RunID
	work, left           float64
	percent              int
	startedMS, changedMS int64
}

// begin makes a plan, and starts the runs that it orders.
func (r *replay) begin(work func(workload.Order) float64) []workload.Order {
	orders := r.plan()
	for _, o := range orders {
		id, _ := o.ID()
		amount := work(o)
		r.runs = append(r.runs, &replayRun{Order: o, id: id, work: amount, left: amount, startedMS: r.now.StoreMS, changedMS: r.now.StoreMS})
	}
	return orders
}

// pass lets the runs work for a time, and ends those that are done.
func (r *replay) pass(d time.Duration) {
	for _, run := range r.runs {
		run.left -= d.Seconds() * r.pace(run)
		if percent := int(100 * (1 - run.left/run.work)); percent != run.percent {
			run.percent, run.changedMS = percent, r.now.StoreMS
		}
	}
	r.runs = slices.DeleteFunc(r.runs, func(run *replayRun) bool {
		if run.left > roundingError {
			return false
		}
		r.end(run.Order, workload.EndDone, "")
		if r.ended != nil {
			r.ended(run)
		}
		return true
	})
}

// report announces a worker with its runs.
func (r *replay) report(host, rack string) {
	r.worker(host, rack, func(a *workload.Announcement) {
		for _, run := range r.runs {
			if run.Host == host {
				a.Running = append(a.Running, workload.RunningTask{Task: run.Task, Run: run.Run, Percent: run.percent, StalledMS: r.now.StoreMS - run.changedMS})
			}
		}
	})
}

// estimated returns the work of tasks that take as long as estimated.
func (r *replay) estimated(o workload.Order) float64 {
	id, _ := o.ID()
	return r.core.jobs[id.Task.Job].Steps[0].Estimate.Seconds()
}

// atOnePace is the pace of runs that nothing slows down.
func atOnePace(*replayRun) float64 { return 1 }

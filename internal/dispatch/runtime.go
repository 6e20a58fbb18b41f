package dispatch

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// How long tasks run. Load pattern: submitters whose estimates are off by several
// times, so that short work looks long, and long work too late to be of use.

// subject describes a step to the predictor: tasks of one queue resemble each other.
func (j *job) subject(step *workload.Step) model.Job {
	return model.Job{Account: j.Account, JobClass: j.Queue, DeclaredRunTime: step.Estimate}
}

// runTime returns the expected run time of a step's tasks near their data, 0 when
// nothing is known.
func (c *Core) runTime(j *job, step *workload.Step) time.Duration {
	return c.runTimes.Predict(j.subject(step))
}

// learn learns from a run that is done. One task speaks for its step. Runs that
// were resumed, moved away from their data or begun under a former owner tell
// less than the whole.
func (c *Core) learn(now Now, o *order) {
	step := o.step()
	whole := o.Checkpoint == "" && !o.takenOver && o.reportedMS != 0 && !step.LongRunning
	if o.id.Task.Index != 0 || !whole || c.remote(o) {
		return
	}
	c.runTimes.Observe(o.job.subject(step), now.ranSince(o.reportedMS))
}

// remote reports whether a run is away from its data or from its gang.
func (c *Core) remote(o *order) bool {
	step := o.step()
	if step.PreferredRack != "" && string(o.worker.Rack) != step.PreferredRack {
		return true
	}
	if !step.SameRack {
		return false
	}
	for _, member := range o.group() {
		if member.worker.Rack != o.worker.Rack {
			return true
		}
	}
	return false
}

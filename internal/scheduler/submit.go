package scheduler

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// submit queues a job, or rejects it with a reason. A job that is already known
// is not queued again.
func (c *Core) submit(now time.Time, job model.Job) {
	if c.jobs[job.ID] != nil {
		return
	}
	if err := c.Admit(job); err != nil {
		c.record(event.JobRefused, job.ID, string(job.Account), err.Error())
		c.emit(Refuse{Job: job.ID, Reason: err.Error()})
		return
	}
	if job.Submitted.IsZero() {
		job.Submitted = now
	}
	j := &JobState{Job: job, Class: job.Capacity}
	c.jobs[job.ID] = j
	j.explain(now, "submitted by account %s: %s", job.Account, describeShape(job.Shape))
	c.record(event.JobSubmitted, job.ID, string(job.Account), "")
	c.enter(now, j, PhaseQueued)
}

// cancel cancels jobs in one pass. Freed capacity is reassigned only after all
// of them are processed.
func (c *Core) cancel(now time.Time, ids []model.JobID) {
	for _, id := range ids {
		if j := c.jobs[id]; j != nil {
			c.cancelJob(now, j)
		}
	}
}

func (c *Core) cancelJob(now time.Time, j *JobState) {
	switch j.Phase {
	case PhaseFinished, PhaseCancelled:
	case PhaseInDoubt, PhaseDeciding, PhaseRecovering:
		c.fire(now, j, eventCancelled)
		j.CancelRequested = true
		j.explain(now, "cancelled; it ends as soon as its decision row and its tasks are known")
	case PhaseQueued, PhaseParked:
		c.finalize(now, j, eventCancelled, "cancelled while it waited")
	default:
		c.endAttempt(now, j, eventCancelled, PhaseCancelled, wire.StopCancelled, 0, "cancelled")
	}
}

// finalize moves a job to its terminal phase, releases its resources and
// deletes its row.
func (c *Core) finalize(now time.Time, j *JobState, e statechart.Event, text string) {
	code := event.JobCancelled
	if e == eventAllFinished {
		code = event.JobFinished
	}
	j.explain(now, "%s", text)
	c.dropReservation(j.Job.ID)
	for i := range j.Tasks {
		c.unbook(j, i)
	}
	c.vacateCell(j)
	j.Tasks = nil
	c.record(code, j.Job.ID, string(j.Job.Account), text)
	c.fire(now, j, e)
	c.tracker.JobEnded(j.Job.ID)
	c.emit(DeleteRows{Jobs: []model.JobID{j.Job.ID}})
	c.retainEnded(j)
}

package scheduler

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// beginAttempt books a placement. It sends the reservations at once, or after
// the tasks that occupy the placement have ended.
func (c *Core) beginAttempt(now time.Time, j *JobState, workers []model.WorkerID, why string) {
	j.Attempt++
	j.Committed = false
	j.Tasks = make([]TaskState, len(workers))
	for i, w := range workers {
		j.Tasks[i].Worker = w
		c.book(j, i)
	}
	j.explain(now, "attempt %d placed on %s: %s", j.Attempt, workerList(workers), why)
	c.record(event.JobReserving, j.Job.ID, string(j.Job.Account), "")
	c.fire(now, j, eventPlaced)
	c.checkCleared(now, j)
}

// checkCleared sends a gang's reservations once no worker of its placement is
// overbooked.
func (c *Core) checkCleared(now time.Time, j *JobState) {
	for _, t := range j.Tasks {
		w := c.workers[t.Worker]
		if !w.Used.Fits(w.Worker.Capacity) {
			return
		}
	}
	c.fire(now, j, eventCleared)
	c.sendReserves(now, j)
}

func (c *Core) sendReserves(now time.Time, j *JobState) {
	j.ResendAt = now.Add(c.settings.ResendInterval)
	for i, t := range j.Tasks {
		if j.Phase == PhaseReserving && t.State == wire.TaskReserved {
			continue
		}
		c.send(t.Worker, &wire.Reserve{
			Epoch: c.epoch, Job: j.Job.ID, Attempt: j.Attempt, Task: j.Job.Task(i),
			Needs: j.Job.Shape.PerTask, HoldMS: c.settings.ReservationHold.Milliseconds(),
		})
	}
}

func (c *Core) reserveReply(now time.Time, from model.WorkerID, r *wire.ReserveReply) {
	j := c.jobs[r.Job]
	if j == nil || j.Attempt != r.Attempt {
		return
	}
	i, ok := j.taskIndex(r.Task)
	if !ok || j.Tasks[i].Worker != from {
		return
	}
	if r.OK && r.SentMS > j.Tasks[i].ReplyMS {
		j.Tasks[i].ReplyMS = r.SentMS
		j.Tasks[i].ReplyAt = now
	}
	if j.Phase != PhaseReserving {
		return
	}
	if !r.OK {
		c.reserveRefused(now, from, r)
		c.abandon(now, j, eventReserveRefused, string(from)+" refused a reservation: "+r.Reason)
		return
	}
	j.Tasks[i].State = wire.TaskReserved
	if j.allTasks(wire.TaskReserved) {
		c.fire(now, j, eventAllReserved)
		j.ResendAt = c.nextRenewal(now)
		c.emit(WriteDecision{Row: j.row(c.epoch)})
	}
}

// reserveRefused stops new attempts on a worker for Settings.AvoidTime.
func (c *Core) reserveRefused(now time.Time, from model.WorkerID, r *wire.ReserveReply) {
	if w := c.workers[from]; w != nil {
		w.AvoidUntil = now.Add(c.settings.AvoidTime)
		c.refreshWorker(now, w)
	}
	c.record(event.TaskRefused, r.Job, string(from), r.Reason)
}

// abandon cancels an attempt before any of its tasks was launched and schedules
// a retry with exponential backoff.
func (c *Core) abandon(now time.Time, j *JobState, e statechart.Event, text string) {
	for i, t := range j.Tasks {
		c.send(t.Worker, &wire.Release{Epoch: c.epoch, Job: j.Job.ID, Attempt: j.Attempt, Task: j.Job.Task(i)})
		c.unbook(j, i)
	}
	j.Refusals++
	delay := min(c.settings.InitialBackoff<<min(j.Refusals-1, 16), c.settings.MaxBackoff)
	j.NotBefore = now.Add(delay)
	c.requeue(now, j, e, text)
}

// requeue returns a job without live tasks to the queue, or ends it if its
// cancellation was requested.
func (c *Core) requeue(now time.Time, j *JobState, e statechart.Event, text string) {
	c.vacateCell(j)
	j.Tasks = nil
	j.StopAfterDecision = false
	j.StartedAt = time.Time{}
	if j.CancelRequested {
		if e == eventStoppedForRetry {
			e = eventStoppedForGood
		}
		if e != eventStoppedForGood && e != eventCancelled {
			c.fire(now, j, e)
			e = eventCancelled
		}
		c.finalize(now, j, e, "cancelled")
		return
	}
	j.explain(now, "%s; it waits again", text)
	c.record(event.JobRequeued, j.Job.ID, string(j.Job.Account), text)
	if j.Committed {
		c.emit(SaveJob{Row: j.row(c.epoch)})
	}
	j.Committed = false
	c.fire(now, j, e)
}

// vacateCell releases the guaranteed cell that an attempt occupied.
func (c *Core) vacateCell(j *JobState) {
	if j.Cell != "" {
		c.ledger.Vacate(j.Cell, j.Job.ID)
		j.Cell, j.CellWorkers = "", nil
		c.coverDue = true
	}
	j.Class = j.Job.Capacity
}

// decided handles the result of writing or reading a decision row.
func (c *Core) decided(now time.Time, d Decided) {
	j := c.jobs[d.Job]
	if j == nil || j.Attempt != d.Attempt || j.Phase != PhaseDeciding && j.Phase != PhaseInDoubt {
		return
	}
	switch d.Result {
	case DecisionCommitted:
		c.committed(now, j)
	case DecisionRefused:
		c.abandon(now, j, eventDecisionRefused, "the table service refused the decision row")
	case DecisionUnavailable:
		if j.Phase == PhaseInDoubt {
			return
		}
		c.pauseAttempts(now)
		c.abandon(now, j, eventDecisionRefused, "the table service was down")
		// No agent refused, so the next attempt must not be delayed further.
		j.Refusals--
	case DecisionInDoubt:
		if j.Phase == PhaseDeciding {
			j.explain(now, "the result of its decision row's write is not known; it is read back")
			c.record(event.DecisionInDoubt, j.Job.ID, "", "")
			c.fire(now, j, eventDecisionInDoubt)
		}
	}
}

func (c *Core) committed(now time.Time, j *JobState) {
	j.Committed = true
	c.fire(now, j, eventDecisionAccepted)
	if j.CancelRequested {
		c.endAttempt(now, j, eventCancelled, PhaseCancelled, wire.StopCancelled, 0, "cancelled")
		return
	}
	if j.StopAfterDecision {
		c.endAttempt(now, j, eventReclaimed, PhaseQueued, wire.StopReclaimed, 0, "stopped before its launch")
		return
	}
	c.record(event.JobPlaced, j.Job.ID, string(j.Job.Account), "")
	c.sendLaunches(now, j)
}

// sendLaunches sends Launch for each task that is not known to run. A worker
// without tasks sends no lease requests, so its silence is measured from the
// first launch.
func (c *Core) sendLaunches(now time.Time, j *JobState) {
	first := now.Equal(j.PhaseSince)
	j.ResendAt = now.Add(c.settings.ResendInterval)
	for i, t := range j.Tasks {
		if t.State == wire.TaskRunning || isEnded(t.State) {
			continue
		}
		c.send(t.Worker, &wire.Launch{
			Epoch: c.epoch, Job: j.Job.ID, Attempt: j.Attempt, Task: j.Job.Task(i),
			LeaseMS: c.settings.Lease.Milliseconds(), RunMS: max(1, j.Job.DeclaredRunTime.Milliseconds()-j.DoneMS),
			AnsweredMS: t.ReplyMS, StartWithinMS: c.settings.ReservationHold.Milliseconds(),
		})
		if w := c.workers[t.Worker]; w != nil && first {
			w.LastRequest = now
		}
	}
}
